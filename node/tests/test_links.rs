//! Links between nodes: keys, and connections that go silent.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::id;
use wasabiloft::peers as messages;
use wasabiloft::roster;
use wasabiloft_node::peers;
use wasabiloft_standins::udp_proxy;

use crate::keys;

type Inbox = mpsc::Receiver<peers::Incoming<messages::Message>>;

/// The links of one node with what arrives there.
struct End {
    links: Arc<peers::Links>,
    inbox: Inbox,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl End {
    fn start(name: &str, authority: &keys::Authority) -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        socket.set_nonblocking(true).expect("it is a socket");
        let address = socket.local_addr().expect("it is bound");
        let me = roster::Member {
            id: roster::NodeId {
                node: id::Node::new(name),
                incarnation: roster::Incarnation(1),
            },
            address,
            data_centre: id::DataCentre::new("dc"),
        };
        let config = peers::tls::read(&authority.sign(name)).expect("the files are whole");
        let (control, inbox) = mpsc::channel(64);
        let mut tasks = JoinSet::new();
        let (keys, _) = mpsc::channel(64);
        let (drains, _) = mpsc::channel(64);
        let (slots, _) = mpsc::channel(64);
        let inboxes = peers::Inboxes {
            control,
            keys,
            drains,
            slots,
        };
        let links = peers::Links::start(me, Some(config), socket, inboxes, &mut tasks);
        let links = links.expect("the socket works");
        Self {
            links,
            inbox,
            address,
            tasks,
        }
    }

    /// Sends the number until it arrives at `to`, as the slices repeat what they need.
    async fn send_until_heard(&self, to: &mut Self, number: u64) {
        let from = roster::NodeId {
            node: id::Node::new("entry-1"),
            incarnation: roster::Incarnation(1),
        };
        let message = messages::Message::Fetch {
            from,
            after: number,
        };
        let mut again = time::interval(Duration::from_millis(50));
        loop {
            tokio::select! {
                _ = again.tick() => {
                    let message = peers::Message::Control(message.clone());
                    self.links.send(&id::Node::new("entry-2"), message);
                }
                incoming = to.inbox.recv() => {
                    let incoming = incoming.expect("the links run");
                    if incoming.message == message {
                        return;
                    }
                }
            }
        }
    }

    async fn stop(mut self) {
        self.links.stop().await;
        while self.tasks.join_next().await.is_some() {}
    }
}

#[tokio::test]
async fn a_connection_that_went_silent_is_replaced() {
    let authority = keys::Authority::create();
    let one = End::start("entry-1", &authority);
    let mut two = End::start("entry-2", &authority);
    let proxy = udp_proxy::Proxy::start(two.address, 1)
        .await
        .expect("a port is free");
    one.links
        .set_address(&id::Node::new("entry-2"), proxy.address());
    one.send_until_heard(&mut two, 1).await;
    proxy.silence_open();
    one.send_until_heard(&mut two, 2).await;
    one.stop().await;
    two.stop().await;
    proxy.stop().await;
}

#[tokio::test]
async fn a_node_with_keys_of_another_authority_is_not_heard() {
    let authority = keys::Authority::create();
    let stranger = End::start("entry-1", &keys::Authority::create());
    let friend = End::start("entry-1", &authority);
    let mut two = End::start("entry-2", &authority);
    for end in [&stranger, &friend] {
        end.links
            .set_address(&id::Node::new("entry-2"), two.address);
    }
    let from = roster::NodeId {
        node: id::Node::new("stranger"),
        incarnation: roster::Incarnation(1),
    };
    let message = messages::Message::Fetch { from, after: 0 };
    for _ in 0..10 {
        let message = peers::Message::Control(message.clone());
        stranger.links.send(&id::Node::new("entry-2"), message);
    }
    // The friend's message comes through; until then nothing of the stranger has.
    let wanted = messages::Message::Fetch {
        from: roster::NodeId {
            node: id::Node::new("entry-1"),
            incarnation: roster::Incarnation(1),
        },
        after: 7,
    };
    friend.links.send(
        &id::Node::new("entry-2"),
        peers::Message::Control(wanted.clone()),
    );
    let first = two.inbox.recv().await.expect("the links run");
    assert_eq!(first.message, wanted);
    stranger.stop().await;
    friend.stop().await;
    two.stop().await;
}
