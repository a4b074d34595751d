//! A cluster of entry nodes with its own platform and endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use wasabiloft_node::documents;
use wasabiloft_node::node;
use wasabiloft_node::settings;

use crate::endpoint;
use crate::fake_platform;
use crate::keys;

/// Interval between checks whether the nodes are ready, in milliseconds.
const READY_POLL_MS: u64 = 10;

const DOCUMENT: &str = r#"
service = "billing"
team = "finance"

[capacity]
pool = "billing"
runners = 2

[availability]
min_runners = 1
absence_budget_min = 100

[[kind]]
name = "bill"
method = "POST"
path = "/bills"
deadline_ms = 1500
body_max_kib = 64

[[kind]]
name = "statement"
method = "GET"
path = "/statements/*"
idempotent = true
deadline_ms = 4000
"#;

/// Nodes, platform and endpoints of a test.
pub struct Cluster {
    pub platform: fake_platform::FakePlatform,
    pub endpoints: Vec<endpoint::Endpoint>,
    pub nodes: Vec<node::Node>,
    _keys: keys::Authority,
}

impl Cluster {
    /// Starts one node.
    pub async fn start(endpoints: Vec<endpoint::Endpoint>) -> Self {
        Self::with_nodes(1, endpoints, &[]).await
    }

    /// Starts nodes with a list of VMs that has the `dead` addresses, where nothing listens, before the endpoints.
    pub async fn with_nodes(
        count: usize,
        endpoints: Vec<endpoint::Endpoint>,
        dead: &[SocketAddr],
    ) -> Self {
        let live = endpoints.iter().map(endpoint::Endpoint::address);
        let addresses: Vec<SocketAddr> = dead.iter().copied().chain(live).collect();
        let platform = fake_platform::FakePlatform::start(&addresses).await;
        let keys = keys::Authority::create();
        let names: Vec<String> = (1..=count)
            .map(|number| format!("entry-{number}"))
            .collect();
        let mut nodes = Vec::new();
        for name in &names {
            let settings = settings(name, platform.address(), keys.sign(name));
            let metrics = PrometheusBuilder::new().build_recorder().handle();
            nodes.push(node::Node::start(settings, metrics).await.unwrap());
        }
        let cluster = Self {
            platform,
            endpoints,
            nodes,
            _keys: keys,
        };
        cluster.put_document().await;
        cluster.wait_until_ready(count).await;
        cluster
    }

    /// Returns the first node's address for callers.
    pub fn address(&self) -> SocketAddr {
        self.nodes[0].address()
    }

    /// Stops all nodes.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }

    async fn put_document(&self) {
        loop {
            let service = "billing".into();
            let written = self.nodes[0].write_document(&service, 0, DOCUMENT);
            if matches!(
                written.await,
                documents::EditOutcome::Accepted(_) | documents::EditOutcome::Pending(_)
            ) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
    }

    async fn wait_until_ready(&self, count: usize) {
        let ready = || {
            self.nodes.iter().all(|node| {
                let roster = node.control().state().roster.members.len();
                node.is_ready() && node.documents_total() == 1 && roster == count
            })
        };
        while !ready() {
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
    }
}

fn settings(name: &str, platform: SocketAddr, tls: settings::Tls) -> settings::Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    settings::Settings {
        name: name.into(),
        data_centre: "dc-1".into(),
        listen: any_port,
        peer_listen: any_port,
        platform,
        tls: Some(tls),
        fleet: settings::Fleet::default(),
        peers: Default::default(),
    }
}
