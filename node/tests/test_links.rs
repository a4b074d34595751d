//! Links between nodes: authentication, and replacement of connections that have gone silent.

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

/// One node's links with the inbox of its control component.
struct End {
    links: Arc<peers::Links>,
    inbox: Inbox,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl End {
    fn start(name: &str, authority: &keys::Authority) -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("cannot bind a port");
        socket
            .set_nonblocking(true)
            .expect("cannot set the socket to non-blocking");
        let address = socket.local_addr().expect("the socket has no address");
        let me = roster::Member {
            id: roster::NodeId {
                node: id::Node::new(name),
                incarnation: roster::Incarnation(1),
            },
            address,
            data_centre: id::DataCentre::new("dc"),
        };
        let config =
            peers::tls::read(&authority.sign(name)).expect("cannot read keys and certificates");
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
        let links = links.expect("cannot start the links");
        Self {
            links,
            inbox,
            address,
            tasks,
        }
    }

    /// Sends a message with the number until it arrives at `to`, because links can lose messages.
    async fn send_until_received(&self, to: &mut Self, number: u64) {
        let from = roster::NodeId {
            node: id::Node::new("entry-1"),
            incarnation: roster::Incarnation(1),
        };
        let message = messages::Message::Fetch {
            from,
            after: number,
        };
        let mut resend = time::interval(Duration::from_millis(50));
        loop {
            tokio::select! {
                _ = resend.tick() => {
                    let message = peers::Message::Control(message.clone());
                    self.links.send(&id::Node::new("entry-2"), message);
                }
                incoming = to.inbox.recv() => {
                    let incoming = incoming.expect("the links have stopped");
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
        .expect("cannot bind a port");
    one.links
        .set_address(&id::Node::new("entry-2"), proxy.address());
    one.send_until_received(&mut two, 1).await;
    proxy.silence_open();
    one.send_until_received(&mut two, 2).await;
    one.stop().await;
    two.stop().await;
    proxy.stop().await;
}

#[tokio::test]
async fn a_node_with_keys_of_another_authority_is_rejected() {
    let authority = keys::Authority::create();
    let untrusted = End::start("entry-1", &keys::Authority::create());
    let trusted = End::start("entry-1", &authority);
    let mut two = End::start("entry-2", &authority);
    for end in [&untrusted, &trusted] {
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
        untrusted.links.send(&id::Node::new("entry-2"), message);
    }
    // The first message to arrive is from the trusted node, so none of the untrusted node's messages got through.
    let expected = messages::Message::Fetch {
        from: roster::NodeId {
            node: id::Node::new("entry-1"),
            incarnation: roster::Incarnation(1),
        },
        after: 7,
    };
    trusted.links.send(
        &id::Node::new("entry-2"),
        peers::Message::Control(expected.clone()),
    );
    let first = two.inbox.recv().await.expect("the links have stopped");
    assert_eq!(first.message, expected);
    untrusted.stop().await;
    trusted.stop().await;
    two.stop().await;
}
