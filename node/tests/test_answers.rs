//! Answers reach callers only if complete, and only for their own request.

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wasabiloft::verdict::{Reason, Verdict};

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{After, Endpoint, complete, raw};

/// Sends a bill to an endpoint that answers with raw bytes, and checks that the endpoint received it once.
async fn bill_answered_by(text: &'static str, after: After) -> caller::Answer {
    let endpoint = Endpoint::start(move |_, _| raw(text, after)).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(cluster.endpoints[0].received().len(), 1);
    answer
}

#[tokio::test]
async fn complete_answer_is_forwarded() {
    let endpoint = Endpoint::start(|_, request| complete(&request[request.len() - 1..])).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    assert_eq!(answer.verdict(), Verdict::Ran);
    assert_eq!(answer.text(), "7");
    let received = cluster.endpoints[0].received();
    assert!(
        received[0].contains("wasabiloft-deadline-ms: "),
        "{received:?}"
    );
    cluster.stop().await;
}

#[tokio::test]
async fn truncated_answer_is_not_forwarded() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc";
    let answer = bill_answered_by(text, After::Close).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::AnswerCut);
}

#[tokio::test]
async fn truncated_chunked_answer_is_not_forwarded() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let answer = bill_answered_by(text, After::Close).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::AnswerCut);
}

#[tokio::test]
async fn answer_without_length_is_not_forwarded() {
    let answer = bill_answered_by("HTTP/1.1 200 OK\r\n\r\nabc", After::Close).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::AnswerCut);
}

#[tokio::test]
async fn answer_with_an_invalid_length_is_not_forwarded() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: abc\r\n\r\nabc";
    let answer = bill_answered_by(text, After::Keep).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
}

#[tokio::test]
async fn bytes_after_an_answer_never_reach_the_next_request() {
    let endpoint = Endpoint::start(|number, _| match number {
        1 => raw(
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
            After::Keep,
        ),
        _ => complete("right"),
    })
    .await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let first = caller::send(cluster.address(), caller::bill(None, "1")).await;
    assert_eq!(first.text(), "a");
    let second = caller::send(cluster.address(), caller::bill(None, "2")).await;
    assert_eq!(second.text(), "right");
}

#[tokio::test]
async fn large_answer_is_streamed_completely() {
    let endpoint = Endpoint::start(|_, _| complete(&"x".repeat(1_000_000))).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let answer = caller::send(cluster.address(), caller::statement("a")).await;
    assert_eq!(answer.body.unwrap().len(), 1_000_000);
}

#[tokio::test]
async fn large_truncated_answer_aborts_the_callers_stream() {
    let endpoint = Endpoint::start(|_, _| {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n";
        raw(&(head.to_owned() + &"x".repeat(300_000)), After::Close)
    })
    .await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let answer = caller::send(cluster.address(), caller::statement("a")).await;
    assert_eq!(answer.body, None);
}

#[tokio::test]
async fn too_large_body_reaches_no_endpoint() {
    let endpoint = Endpoint::start(|_, _| complete("")).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let mut request = caller::bill(None, "");
    *request.body_mut() = Full::from(Bytes::from(vec![b'x'; 65 * 1_024]));
    let answer = caller::send(cluster.address(), request).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert!(cluster.endpoints[0].received().is_empty());
}

#[tokio::test]
async fn pipelined_requests_get_their_own_answers_in_order() {
    let endpoint = Endpoint::start(|_, request| {
        let name = request.split(['/', ' ']).nth(4).unwrap();
        complete(&format!("<{name}>"))
    })
    .await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let mut stream = TcpStream::connect(cluster.address()).await.unwrap();
    let mut text = String::new();
    for number in 0..20 {
        let close = if number == 19 {
            "connection: close\r\n"
        } else {
            ""
        };
        text += &format!("GET /billing/statements/n{number} HTTP/1.1\r\nhost: a\r\n{close}\r\n");
    }
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    let bodies: Vec<&str> = answers.split('<').skip(1).collect();
    let names: Vec<&str> = bodies
        .iter()
        .filter_map(|body| body.split('>').next())
        .collect();
    let expected: Vec<String> = (0..20).map(|number| format!("n{number}")).collect();
    assert_eq!(names, expected);
}
