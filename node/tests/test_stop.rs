//! A graceful stop completes the requests in progress.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{Endpoint, complete};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_reports_not_ready_and_aborts_no_request() {
    let (release, released) = std::sync::mpsc::channel();
    let released = std::sync::Mutex::new(released);
    let endpoint = Endpoint::start(move |number, _| {
        if number == 1 {
            tokio::task::block_in_place(|| released.lock().unwrap().recv().unwrap());
        }
        complete("done")
    });
    let mut cluster = Cluster::start(vec![endpoint.await]).await;
    let address = cluster.address();
    let slow = tokio::spawn(caller::send(address, caller::bill(None, "7")));
    cluster.endpoints[0].wait_for(1).await;
    let node = cluster.nodes.remove(0);
    let stopping = tokio::spawn(node.stop());
    let not_ready = loop {
        let request: Request<Full<Bytes>> = Request::get("/readyz")
            .header("host", "entry")
            .body(Full::default())
            .unwrap();
        let answer = caller::send(address, request).await;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            break answer;
        }
    };
    assert_eq!(not_ready.text(), "not ready\n");
    release.send(()).unwrap();
    let answer = slow.await.unwrap();
    assert_eq!(answer.text(), "done");
    assert_eq!(answer.headers["connection"], "close");
    stopping.await.unwrap();
}
