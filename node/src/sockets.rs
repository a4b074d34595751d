//! Options of TCP sockets, by which the kernel finds connections that have gone silent.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Sets the options: no delay, and an end after `silence` without acknowledgement or answer to a probe.
pub fn set_options(stream: &TcpStream, silence: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time(silence)
        .with_interval(silence)
        .with_retries(1);
    let socket = SockRef::from(stream);
    let set = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(silence)),
    ];
    if set.iter().any(Result::is_err) {
        metrics::counter!("wasabiloft_socket_options_failed_total").increment(1);
    }
}
