//! Tests client accounts on the users' platform: keys, quotas, and accounts that are stated wrongly.

use std::time::Duration;

use serde_json::json;
use wasabiloft::batch::accounts::Limits;
use wasabiloft::id;
use wasabiloft_platform::configuration;

use crate::hosted::{Cluster, PREFIX, call_with_key, until};

const ID: &str = "00000000000000a1";

fn decode(accounts: &serde_json::Value) -> configuration::Decoded {
    let config = json!({"version": 3, "routes": [], "services": [], "tenants": accounts});
    configuration::decode_bytes(config.to_string().as_bytes()).expect("a configuration")
}

/// Guards against a mistake in one account that rejects a version of the configuration or closes other accounts.
#[test]
fn wrongly_stated_accounts_are_reported_and_do_no_harm() {
    let decoded = decode(&json!([
        {"name": "a", "apiKeys": ["k1", "k2"], "weight": 2.5, "maxCount": {"cpu": 0, "memMb": 100}},
        {"name": "b", "apiKeys": ["k2"], "weight": -1, "maxCount": {"cpu": -5, "memMb": "much"}},
        {"name": "c"},
        {"apiKeys": ["k3"]},
        {"name": "d", "apiKeys": [7, "", "k4"], "maxCount": null},
    ]));
    let accounts = decoded.config.accounts.expect("accounts");
    let of = |key: &str| accounts.authenticate(key).map(id::Account::as_str);
    assert_eq!(of("k1"), Some("a"));
    assert_eq!(of("k2"), Some("a"), "the first account by name");
    assert_eq!(of("k3"), None);
    assert_eq!(of(""), None);
    assert_eq!(of("k4"), Some("d"));
    let settings = |name: &str| *accounts.get(&id::Account::new(name)).expect("an account");
    let limits = Limits {
        memory_mib: Some(100),
        ..Limits::default()
    };
    assert_eq!(settings("a").limits, limits);
    assert_eq!(settings("a").weight_milli, 2_500);
    assert_eq!(settings("b").limits, Limits::default());
    assert_eq!(settings("b").weight_milli, 1_000);
    let warnings = decoded.warnings.join("; ");
    for what in [
        "maxCount.cpu",
        "maxCount.memMb",
        "weight",
        "shares a key",
        "c has no key",
    ] {
        assert!(warnings.contains(what), "{what}: {warnings}");
    }
    assert!(!warnings.contains("k2"), "{warnings}");
}

/// Guards against requirements for keys where a configuration states no accounts.
#[test]
fn a_configuration_without_accounts_needs_no_keys() {
    let config = json!({"version": 1, "routes": [], "services": []});
    let decoded = configuration::decode_bytes(config.to_string().as_bytes());
    assert_eq!(decoded.expect("a configuration").config.accounts, None);
}

async fn status(
    cluster: &Cluster,
    node: usize,
    method: &str,
    path: &str,
    key: Option<&str>,
) -> u16 {
    let body = json!({"spec": "text", "steps": [
        {"count": 6, "cpu": 1_000, "memMb": 256, "estimateMs": 300}
    ]});
    let body = if method == "POST" {
        body.to_string()
    } else {
        String::new()
    };
    let address = cluster.nodes[node].address;
    call_with_key(address, method, path, &body, key)
        .await
        .status
}

/// Guards against calls without a key, or with a revoked one, that run or tell something, and against a key that is
/// revoked on some nodes only.
#[tokio::test(flavor = "multi_thread")]
async fn calls_need_a_present_key_on_every_node() {
    let cluster = Cluster::start(2, 2, 100).await;
    cluster.configure_accounts(
        2,
        &json!([{"name": "a", "apiKeys": ["old", "new"], "weight": 5}]),
    );
    let path = format!("{PREFIX}{ID}");
    for node in 0..2 {
        until("keys are needed", async || {
            status(&cluster, node, "GET", PREFIX, None).await == 401
        })
        .await;
    }
    for (method, path) in [
        ("POST", path.as_str()),
        ("GET", &path),
        ("DELETE", &path),
        ("GET", PREFIX),
    ] {
        for key in [None, Some("other"), Some("")] {
            assert_eq!(
                status(&cluster, 0, method, path, key).await,
                401,
                "{method} {key:?}"
            );
        }
    }
    assert_eq!(
        status(&cluster, 0, "GET", &path, Some("old")).await,
        410,
        "nothing ran"
    );
    assert_eq!(status(&cluster, 0, "POST", &path, Some("old")).await, 200);
    cluster.configure_accounts(3, &json!([{"name": "a", "apiKeys": ["new"], "weight": 5}]));
    for node in 0..2 {
        until("the key is revoked", async || {
            status(&cluster, node, "GET", &path, Some("old")).await == 401
        })
        .await;
        assert_eq!(status(&cluster, node, "GET", &path, Some("new")).await, 200);
    }
    for node in 0..2 {
        let log = cluster.log(node);
        assert!(!log.contains("\"old\"") && !log.contains("Bearer"), "{log}");
    }
}

/// Guards against a quota that workers see exceeded.
#[tokio::test(flavor = "multi_thread")]
async fn workers_never_see_more_than_an_accounts_quota() {
    let cluster = Cluster::start(2, 4, 200).await;
    let quota = json!([{"name": "a", "apiKeys": ["key"], "weight": 5, "maxCount": {"cpu": 2_000}}]);
    cluster.configure_accounts(2, &quota);
    until("keys are needed", async || {
        status(&cluster, 0, "GET", PREFIX, None).await == 401
    })
    .await;
    let path = format!("{PREFIX}{ID}");
    assert_eq!(status(&cluster, 0, "POST", &path, Some("key")).await, 200);
    let address = cluster.nodes[0].address;
    let mut most = 0;
    until("the job is done", async || {
        let running = cluster
            .workers
            .iter()
            .map(|worker| worker.state.running_count());
        most = most.max(running.sum::<usize>());
        tokio::time::sleep(Duration::from_millis(5)).await;
        let response = call_with_key(address, "GET", &path, "", Some("key")).await;
        response.body.contains("completed")
    })
    .await;
    assert_eq!(most, 2);
}
