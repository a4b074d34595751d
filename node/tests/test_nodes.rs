//! Complete nodes with real sockets and the stand-in platform: concurrent edits, a stopped node, silent connections
//! and an unavailable table.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use metrics_exporter_prometheus::PrometheusBuilder;
use wasabiloft::id;
use wasabiloft_node::documents;
use wasabiloft_node::node;
use wasabiloft_node::settings;
use wasabiloft_standins::{deployment, platform, proxy};

use crate::keys;

const NODES: usize = 3;

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Nodes that reach the stand-in platform through a proxy.
pub struct Fleet {
    pub platform: platform::Platform,
    /// The proxy through which the nodes reach the platform.
    proxy: proxy::Proxy,
    pub nodes: Vec<node::Node>,
    authority: keys::Authority,
    text: String,
    service: id::Service,
}

impl Fleet {
    pub async fn start() -> Self {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/cadenas");
        let deployment = deployment::read(&dir).expect("cannot read the example");
        let documents = deployment::read_documents(&dir).expect("cannot read the example");
        let platform = platform::Platform::start(any_port(), &deployment, 1).await;
        let (text, document) = documents
            .into_iter()
            .next()
            .expect("the example has no services");
        let platform = platform.expect("cannot bind a port");
        let proxy = proxy::Proxy::start(platform.address()).await;
        let mut fleet = Self {
            platform,
            proxy: proxy.expect("cannot bind a port"),
            nodes: Vec::new(),
            authority: keys::Authority::create(),
            text,
            service: document.service,
        };
        for number in 1..=NODES {
            let node = fleet.start_node(number).await;
            fleet.nodes.push(node);
        }
        fleet.wait_for_members(NODES).await;
        fleet
    }

    /// Returns the team that owns the document.
    pub fn team(&self) -> String {
        let document = wasabiloft::document::parse(&self.text).expect("cannot read the example");
        document.team.to_string()
    }

    async fn start_node(&self, number: usize) -> node::Node {
        let name = format!("entry-{number}");
        let settings = settings::Settings {
            name: id::Node::new(&name),
            data_centre: id::DataCentre::new("dc"),
            listen: any_port(),
            peer_listen: any_port(),
            platform: self.proxy.address(),
            tls: Some(self.authority.sign(&name)),
            fleet: settings::Fleet::default(),
            peers: BTreeMap::new(),
        };
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        node::Node::start(settings, metrics)
            .await
            .expect("cannot start the node")
    }

    /// Waits until all nodes have a roster of this size.
    async fn wait_for_members(&self, members: usize) {
        for node in &self.nodes {
            let mut state = node.control().watch();
            let has_members = |state: &std::sync::Arc<wasabiloft_node::control::State>| {
                state.roster.members.len() == members
            };
            state
                .wait_for(has_members)
                .await
                .expect("the node has stopped");
        }
    }

    pub async fn write(&self, node: usize, read_version: u64) -> documents::EditOutcome {
        self.nodes[node]
            .write_document(&self.service, read_version, &self.text)
            .await
    }

    /// Returns how many tasks of a job workers have started.
    pub fn starts_of(&self, job: &wasabiloft::id::Job) -> u32 {
        let starts = self.platform.starts_of_jobs();
        starts.get(job).copied().unwrap_or(0)
    }

    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
        self.proxy.stop().await;
        self.platform.stop().await;
    }
}

#[tokio::test]
async fn an_accepted_edit_reaches_every_node_and_an_outdated_one_is_refused() {
    let fleet = Fleet::start().await;
    let documents::EditOutcome::Accepted(version) = fleet.write(0, 0).await else {
        panic!("the first edit was not accepted");
    };
    for node in &fleet.nodes {
        let mut state = node.control().watch();
        state
            .wait_for(|state| state.head >= version)
            .await
            .expect("the node has stopped");
    }
    assert_eq!(
        fleet.write(1, 0).await,
        documents::EditOutcome::Raced(version)
    );
    assert!(matches!(
        fleet.write(2, version).await,
        documents::EditOutcome::Accepted(_)
    ));
    fleet.stop().await;
}

#[tokio::test]
async fn a_node_that_stops_leaves_the_roster() {
    let mut fleet = Fleet::start().await;
    let last = fleet.nodes.pop().expect("no node left");
    last.stop().await;
    fleet.wait_for_members(NODES - 1).await;
    assert!(matches!(
        fleet.write(0, 0).await,
        documents::EditOutcome::Accepted(_)
    ));
    fleet.stop().await;
}

#[tokio::test]
async fn connections_to_the_platform_that_went_silent_are_replaced() {
    let fleet = Fleet::start().await;
    fleet.proxy.silence_open();
    assert!(matches!(
        fleet.write(0, 0).await,
        documents::EditOutcome::Accepted(_)
    ));
    fleet.stop().await;
}

#[tokio::test]
async fn nodes_confirm_each_other_and_serve_while_the_table_is_unavailable() {
    let fleet = Fleet::start().await;
    fleet.proxy.set(proxy::Fault {
        black_hole: true,
        ..proxy::Fault::default()
    });
    for node in &fleet.nodes {
        let mut state = node.control().watch();
        state
            .wait_for(|state| state.table_unavailable)
            .await
            .expect("the node has stopped");
    }
    assert_eq!(fleet.write(0, 0).await, documents::EditOutcome::NotRun);
    // The wait for the edit was longer than an answer of the table stays valid.
    assert!(fleet.nodes.iter().all(|node| node.control().may_serve()));
    fleet.proxy.set(proxy::Fault::default());
    let mut state = fleet.nodes[0].control().watch();
    state
        .wait_for(|state| !state.table_unavailable)
        .await
        .expect("the node has stopped");
    assert!(matches!(
        fleet.write(0, 0).await,
        documents::EditOutcome::Accepted(_)
    ));
    fleet.stop().await;
}
