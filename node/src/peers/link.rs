//! The sending end of a link.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::id;
use wasabiloft::peers;
use wasabiloft::peers::codec;
use wasabiloft::roster;

use super::{Message, lost, tls};
use crate::log;

/// A connection that is silent for this long in a small system is given up.
pub(super) const IDLE_MIN_MS: u64 = 3_000;
/// The longest time that a handshake may take.
const DIAL_TIMEOUT_MS: u64 = 1_500;
/// Time between two dials to a peer that does not answer.
const REDIAL_MS: u64 = 300;

/// What is needed to reach a peer.
#[derive(Debug)]
pub(super) struct Dialer {
    pub(super) me: roster::Member,
    pub(super) to: id::Node,
    pub(super) address: SocketAddr,
    pub(super) config: tls::Config,
    pub(super) idle_ms: u64,
}

/// A connection and the socket of its own.
#[derive(Debug)]
struct Dialled {
    endpoint: quinn::Endpoint,
    connection: quinn::Connection,
}

impl Dialled {
    async fn close(self) {
        self.connection.close(quinn::VarInt::from_u32(0), b"");
        self.endpoint.wait_idle().await;
    }
}

/// Sends the messages of a queue until it ends or the node stops.
pub(super) async fn run(
    dialer: Dialer,
    mut messages: mpsc::Receiver<Message>,
    stop: CancellationToken,
) {
    let mut dialled: Option<Dialled> = None;
    loop {
        let message = tokio::select! {
            () = stop.cancelled() => break,
            message = messages.recv() => message,
        };
        let Some(message) = message else { break };
        if dialled.as_ref().is_some_and(is_lost) {
            metrics::counter!("wasabiloft_peer_connections_lost_total").increment(1);
            dialled = None;
        }
        if dialled.is_none() {
            dialled = tokio::select! {
                () = stop.cancelled() => break,
                dialled = dial(&dialer) => dialled,
            };
        }
        match &dialled {
            Some(dialled) => send(&dialled.connection, &message).await,
            None => {
                lost("not-connected");
                time::sleep(Duration::from_millis(REDIAL_MS)).await;
                // What has waited during the dial is old by now.
                while messages.try_recv().is_ok() {
                    lost("not-connected");
                }
            }
        }
    }
    if let Some(dialled) = dialled {
        dialled.close().await;
    }
}

fn is_lost(dialled: &Dialled) -> bool {
    dialled.connection.close_reason().is_some()
}

/// Connects from a new local port and says who dials.
async fn dial(dialer: &Dialer) -> Option<Dialled> {
    let any = match dialer.address {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let endpoint = quinn::Endpoint::client(any).ok()?;
    let config = dialer.config.client(dialer.idle_ms);
    let connecting = endpoint
        .connect_with(config, dialer.address, dialer.to.as_str())
        .ok()?;
    let timeout = Duration::from_millis(DIAL_TIMEOUT_MS);
    let connection = match time::timeout(timeout, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            refused(dialer, &error.to_string());
            return None;
        }
        Err(_) => {
            refused(dialer, "timeout");
            return None;
        }
    };
    let hello = Message::Hello(dialer.me.clone());
    send(&connection, &hello).await;
    Some(Dialled {
        endpoint,
        connection,
    })
}

fn refused(dialer: &Dialer, reason: &str) {
    metrics::counter!("wasabiloft_peer_dials_failed_total").increment(1);
    log::warn(
        "peers",
        &format!(
            "no link to={} address={} reason={reason}",
            dialer.to, dialer.address
        ),
    );
}

/// Sends a heartbeat without changes as a datagram, since only the newest counts, and all else on a stream.
async fn send(connection: &quinn::Connection, message: &Message) {
    let Ok(bytes) = codec::encode(message) else {
        lost("too-long");
        return;
    };
    let newest_counts = matches!(
        message,
        Message::Control(peers::Message::Heartbeat(heartbeat)) if heartbeat.deltas.is_none()
    );
    let fits = connection
        .max_datagram_size()
        .is_some_and(|max| bytes.len() <= max);
    let sent = if newest_counts && fits {
        connection.send_datagram(bytes.into()).is_ok()
    } else {
        send_stream(connection, &bytes).await.is_ok()
    };
    if !sent {
        lost("not-connected");
    }
}

async fn send_stream(
    connection: &quinn::Connection,
    bytes: &[u8],
) -> Result<(), quinn::WriteError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    // Can fail only if the stream was finished or reset before.
    let _ = stream.finish();
    Ok(())
}
