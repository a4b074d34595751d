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

use super::{Message, count_lost, tls};
use crate::log;

/// Minimum idle timeout of a connection, in milliseconds; larger systems, whose heartbeats are less frequent, use a
/// longer one.
pub(super) const IDLE_MIN_MS: u64 = 3_000;
/// Timeout for a handshake, in milliseconds.
const DIAL_TIMEOUT_MS: u64 = 1_500;
/// Delay between dials to a peer that does not answer, in milliseconds.
const REDIAL_DELAY_MS: u64 = 300;

/// The parameters for connecting to a peer.
#[derive(Debug)]
pub(super) struct Dialer {
    pub(super) me: roster::Member,
    pub(super) to: id::Node,
    pub(super) address: SocketAddr,
    pub(super) config: tls::Config,
    pub(super) idle_ms: u64,
}

/// A connection with its own endpoint and socket.
#[derive(Debug)]
struct Connected {
    endpoint: quinn::Endpoint,
    connection: quinn::Connection,
}

impl Connected {
    async fn close(self) {
        self.connection.close(quinn::VarInt::from_u32(0), b"");
        self.endpoint.wait_idle().await;
    }
}

/// Sends the messages of a queue until the queue is closed or the node stops.
pub(super) async fn run(
    dialer: Dialer,
    mut messages: mpsc::Receiver<Message>,
    stop: CancellationToken,
) {
    let mut connected: Option<Connected> = None;
    loop {
        let message = tokio::select! {
            () = stop.cancelled() => break,
            message = messages.recv() => message,
        };
        let Some(message) = message else { break };
        if connected.as_ref().is_some_and(is_closed) {
            metrics::counter!("wasabiloft_peer_connections_lost_total").increment(1);
            connected = None;
        }
        if connected.is_none() {
            connected = tokio::select! {
                () = stop.cancelled() => break,
                connected = dial(&dialer) => connected,
            };
        }
        match &connected {
            Some(connected) => send(&connected.connection, &message).await,
            None => {
                count_lost("not-connected");
                time::sleep(Duration::from_millis(REDIAL_DELAY_MS)).await;
                // Messages that were queued during the dial are outdated.
                while messages.try_recv().is_ok() {
                    count_lost("not-connected");
                }
            }
        }
    }
    if let Some(connected) = connected {
        connected.close().await;
    }
}

fn is_closed(connected: &Connected) -> bool {
    connected.connection.close_reason().is_some()
}

/// Connects from a new local port and sends the hello message.
async fn dial(dialer: &Dialer) -> Option<Connected> {
    let local_address = match dialer.address {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let endpoint = quinn::Endpoint::client(local_address).ok()?;
    let config = dialer.config.client(dialer.idle_ms);
    let connecting = endpoint
        .connect_with(config, dialer.address, dialer.to.as_str())
        .ok()?;
    let timeout = Duration::from_millis(DIAL_TIMEOUT_MS);
    let connection = match time::timeout(timeout, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            dial_failed(dialer, &error.to_string());
            return None;
        }
        Err(_) => {
            dial_failed(dialer, "timeout");
            return None;
        }
    };
    let hello = Message::Hello(dialer.me.clone());
    send(&connection, &hello).await;
    Some(Connected {
        endpoint,
        connection,
    })
}

fn dial_failed(dialer: &Dialer, reason: &str) {
    metrics::counter!("wasabiloft_peer_dials_failed_total").increment(1);
    log::warn(
        "peers",
        &format!(
            "dial failed to={} address={} reason={reason}",
            dialer.to, dialer.address
        ),
    );
}

/// Sends a heartbeat without deltas as a datagram, because only the newest matters, and any other message on a
/// stream.
async fn send(connection: &quinn::Connection, message: &Message) {
    let Ok(bytes) = codec::encode(message) else {
        count_lost("too-long");
        return;
    };
    let is_plain_heartbeat = matches!(
        message,
        Message::Control(peers::Message::Heartbeat(heartbeat)) if heartbeat.deltas.is_none()
    );
    let fits_datagram = connection
        .max_datagram_size()
        .is_some_and(|max| bytes.len() <= max);
    let sent = if is_plain_heartbeat && fits_datagram {
        connection.send_datagram(bytes.into()).is_ok()
    } else {
        send_stream(connection, &bytes).await.is_ok()
    };
    if !sent {
        count_lost("not-connected");
    }
}

async fn send_stream(
    connection: &quinn::Connection,
    bytes: &[u8],
) -> Result<(), quinn::WriteError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    // Fails only if the stream was already finished or reset.
    let _ = stream.finish();
    Ok(())
}
