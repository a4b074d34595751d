//! TCP socket options that let the kernel detect dead connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Disables Nagle's algorithm, and lets the kernel close a connection after `timeout` without acknowledgement of data
/// or of a keepalive probe.
pub fn set_options(stream: &TcpStream, timeout: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time(timeout)
        .with_interval(timeout)
        .with_retries(1);
    let socket = SockRef::from(stream);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(timeout)),
    ];
    if results.iter().any(Result::is_err) {
        metrics::counter!("wasabiloft_socket_options_failed_total").increment(1);
    }
}
