//! The proxy's faults as the connecting process sees them.

use std::io::ErrorKind;
use std::net::Ipv4Addr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wasabiloft_standins::proxy::{Fault, Proxy};

/// Guards against a fault that only closes connections: callers treat a reset and a refusal in other ways.
#[tokio::test]
async fn refusals_reset_open_connections_and_end() {
    let server = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let server = server.expect("a server");
    let proxy = Proxy::start(server.local_addr().expect("an address")).await;
    let proxy = proxy.expect("a proxy");
    let mut open = TcpStream::connect(proxy.address()).await.expect("open");
    let (_accepted, _) = server.accept().await.expect("accepted");
    proxy.set(Fault {
        refuse: true,
        ..Fault::default()
    });
    let reset = open.read_u8().await.expect_err("a reset");
    assert_eq!(reset.kind(), ErrorKind::ConnectionReset);
    let refused = TcpStream::connect(proxy.address()).await;
    let refused = refused.expect_err("a refusal");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    proxy.set(Fault::default());
    let mut again = loop {
        // The proxy listens again a moment after the fault ends.
        match TcpStream::connect(proxy.address()).await {
            Ok(stream) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let (mut accepted, _) = server.accept().await.expect("accepted again");
    again.write_u8(7).await.expect("written");
    assert_eq!(accepted.read_u8().await.expect("read"), 7);
}
