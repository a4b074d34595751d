//! The receiving end of links: accepts connections and delivers their messages.

use std::sync::Arc;

use tokio::task::JoinSet;
use wasabiloft::peers::codec;
use wasabiloft::roster;

use super::{Inboxes, Links, Message, count_lost};

/// An accepted connection without traffic for this long is closed, in milliseconds; the dialling end closes it
/// earlier.
pub(super) const IDLE_MS: u64 = 60_000;
/// Maximum number of streams of one connection that are read concurrently.
const STREAMS_MAX: usize = 64;

/// Accepts connections until the links stop.
pub(super) async fn accept(endpoint: quinn::Endpoint, links: Arc<Links>, inboxes: Inboxes) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = links.stop.cancelled() => break,
            incoming = endpoint.accept() => {
                let Some(incoming) = incoming else { break };
                connections.spawn(serve(incoming, Arc::clone(&links), inboxes.clone()));
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    endpoint.close(quinn::VarInt::from_u32(0), b"");
    while connections.join_next().await.is_some() {}
    endpoint.wait_idle().await;
}

async fn serve(incoming: quinn::Incoming, links: Arc<Links>, inboxes: Inboxes) {
    let Ok(connection) = incoming.await else {
        metrics::counter!("wasabiloft_peer_handshakes_refused_total").increment(1);
        return;
    };
    let Some(from) = read_hello(&connection, &links).await else {
        return;
    };
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => {
                let Ok(datagram) = datagram else { break };
                deliver(&from, &datagram, &inboxes);
            }
            stream = connection.accept_uni(), if streams.len() < STREAMS_MAX => {
                let Ok(stream) = stream else { break };
                streams.spawn(read(stream));
            }
            Some(read) = streams.join_next(), if !streams.is_empty() => {
                if let Ok(Some(bytes)) = read {
                    deliver(&from, &bytes, &inboxes);
                }
            }
        }
    }
    streams.shutdown().await;
}

/// Reads the first message, which identifies the dialling node.
async fn read_hello(connection: &quinn::Connection, links: &Links) -> Option<roster::NodeId> {
    let stream = connection.accept_uni().await.ok()?;
    let bytes = read(stream).await?;
    match codec::decode(&bytes) {
        Ok(Message::Hello(member)) => {
            links.learn_address(&member);
            Some(member.id)
        }
        Ok(_) | Err(_) => {
            count_lost("no-hello");
            None
        }
    }
}

async fn read(mut stream: quinn::RecvStream) -> Option<Vec<u8>> {
    stream.read_to_end(codec::MESSAGE_MAX_BYTES).await.ok()
}

fn deliver(from: &roster::NodeId, bytes: &[u8], inboxes: &Inboxes) {
    match codec::decode(bytes) {
        Ok(message) => inboxes.deliver(from, message),
        Err(_) => count_lost("malformed"),
    }
}
