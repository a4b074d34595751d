//! What nodes see of the stand-in store's rows if each reaches the others at proxies of its own.

use std::sync::Arc;

use serde_json::json;
use wasabiloft_platform::store;
use wasabiloft_standins::hosted::store::Store;
use wasabiloft_standins::hosted::store::view::View;

const TIMEOUT_MS: u64 = 2_000;
const WRITER: &str = "127.0.0.1:20001";
/// Where the reader reaches the writer.
const SEEN: &str = "127.0.0.1:20002";

/// Guards against a writer that doesn't find what it wrote about itself, which it would take for another node's claim, and
/// against an address that a node passes on as it sees it.
#[tokio::test]
async fn a_value_comes_back_unchanged_to_its_writer() {
    let listening = Store::start().await.expect("a store");
    let view = Arc::new(View::default());
    view.substitute(WRITER.parse().expect("stored"), SEEN.parse().expect("seen"));
    let server = Store::listen(&listening.state, view).await;
    let server = server.expect("a server");
    let writer = store::Store::new(listening.address);
    let reader = store::Store::new(server.address);
    let name = store::Name::new("duty", "", "duty");
    let value = |address: &str| json!({"holder": "a", "address": address}).to_string();
    for (by, check, written) in [(&writer, 0, WRITER), (&reader, 1, SEEN)] {
        let transaction = store::Transaction {
            checks: vec![(name.clone(), check)],
            writes: vec![(name.clone(), value(written).into_bytes())],
            ..store::Transaction::default()
        };
        let outcome = by.transact(&transaction, TIMEOUT_MS).await;
        assert!(matches!(outcome, Ok(store::CommitOutcome::Applied(_))));
        for (node, expected) in [(&writer, WRITER), (&reader, SEEN)] {
            let row = node.row(&name, TIMEOUT_MS).await.expect("a response");
            let row = row.and_then(|row| row.value).expect("a row");
            assert_eq!(String::from_utf8_lossy(&row), value(expected));
            let changes = node.changes("duty", 0, 0).await.expect("a response");
            assert_eq!(changes.rows[0].value.as_ref(), Some(&row));
        }
    }
}
