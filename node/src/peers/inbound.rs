//! The receiving end of links.

use std::sync::Arc;

use tokio::task::JoinSet;
use wasabiloft::peers::codec;
use wasabiloft::roster;

use super::{Inboxes, Links, Message, lost};

/// An accepted connection that is silent for this long is closed; the dialling end is quicker.
pub(super) const IDLE_MS: u64 = 60_000;
/// Streams of one connection that are read at once.
const STREAMS_MAX: usize = 64;

/// Accepts connections until the links are stopped.
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
    let Some(from) = hello(&connection, &links).await else {
        return;
    };
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => {
                let Ok(datagram) = datagram else { break };
                take(&from, &datagram, &inboxes);
            }
            stream = connection.accept_uni(), if streams.len() < STREAMS_MAX => {
                let Ok(stream) = stream else { break };
                streams.spawn(read(stream));
            }
            Some(read) = streams.join_next(), if !streams.is_empty() => {
                if let Ok(Some(bytes)) = read {
                    take(&from, &bytes, &inboxes);
                }
            }
        }
    }
    streams.shutdown().await;
}

/// Reads the first message, which says who dials.
async fn hello(connection: &quinn::Connection, links: &Links) -> Option<roster::NodeId> {
    let stream = connection.accept_uni().await.ok()?;
    let bytes = read(stream).await?;
    match codec::decode(&bytes) {
        Ok(Message::Hello(member)) => {
            links.meet(&member);
            Some(member.id)
        }
        Ok(_) | Err(_) => {
            lost("no-hello");
            None
        }
    }
}

async fn read(mut stream: quinn::RecvStream) -> Option<Vec<u8>> {
    stream.read_to_end(codec::MESSAGE_MAX_BYTES).await.ok()
}

fn take(from: &roster::NodeId, bytes: &[u8], inboxes: &Inboxes) {
    match codec::decode(bytes) {
        Ok(message) => inboxes.put(from, message),
        Err(_) => lost("malformed"),
    }
}
