//! Tests daemons beside registry entries and reports that another writer, or a newer version, may have written.

use std::collections::BTreeMap;

use rustix::process::Signal;
use serde_json::json;

use crate::hosted::{Cluster, PREFIX, call, until};

const ID: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";
/// Depth of nesting at which a recursive parser has no stack left.
const DEPTH: usize = 200_000;
/// Tasks of 500 thousandths of a core that a worker holds.
const TASKS_PER_WORKER: usize = 16;
/// Maximum lines of the log about entries that cannot be read, for each time that they are read at first.
const LINES_MAX: usize = 40;

fn nested() -> String {
    format!("{}1{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Returns odd entries: a sound one in which one field has another value.
fn odd_entries(sound: &serde_json::Value) -> Vec<(String, String)> {
    let fields: &[(&str, &[&str])] = &[
        ("service", &["7", "null", "NESTED", "\"elsewhere\""]),
        (
            "address",
            &[
                "\"127.0.0.1:0\"",
                "\"127.0.0.1:65536\"",
                "\"127.0.0.1:99999\"",
                "\"127.0.0.1:http\"",
                "\"127.0.0.1\"",
                "\"0.0.0.0:80\"",
                "8080",
            ],
        ),
        (
            "capacity",
            &[
                "NESTED",
                "{\"cpu\":1e400}",
                "{\"cpu\":1e30}",
                "{\"cpu\":-1}",
                "{\"cpu\":1.5}",
                "{\"cpu\":18446744073709551615,\"memMb\":18446744073709551615}",
                "{\"cpu\":9223372036854775808,\"memMb\":9223372036854775808}",
                "{\"cpu\":18446744073709551616}",
                "{\"cpu\":1000,\"memMb\":1000,\"gpu\":4294967295}",
                "{\"cpu\":NaN}",
                "{\"cpu\":1,\"cpu\":2}",
                "7",
            ],
        ),
        ("state", &["\"resting\"", "1"]),
        ("labels", &["\"a\"", "[1,2]", "NESTED"]),
        ("version", &["NESTED", "{\"a\":1}"]),
        ("seq", &["1e400", "-1", "\"1\""]),
        ("coldLeftMs", &["1e400", "\"soon\"", "NESTED"]),
        ("born", &["1e30", "1.5"]),
        ("slots", &["18446744073709551616", "[]"]),
    ];
    let mut entries = Vec::new();
    for (field, values) in fields {
        for value in *values {
            let value = value.replace("NESTED", &nested());
            let mut entry: BTreeMap<String, String> = sound
                .as_object()
                .expect("an object")
                .iter()
                .map(|(name, value)| (name.clone(), value.to_string()))
                .collect();
            entry.insert((*field).to_owned(), value);
            let members: Vec<String> = entry
                .iter()
                .map(|(name, value)| format!("\"{name}\":{value}"))
                .collect();
            entries.push(format!("{{{}}}", members.join(",")));
        }
    }
    entries.extend([nested(), String::new(), "null".into(), "x".repeat(65_536)]);
    // Keys before, between and after those of the sound entries.
    let key = |number: usize| format!("{}-odd-{number}", ["a", "i-0", "z"][number % 3]);
    entries
        .into_iter()
        .enumerate()
        .map(|(number, entry)| (key(number), entry))
        .collect()
}

fn running(cluster: &Cluster, worker: usize) -> usize {
    cluster.workers[worker].state.running_count()
}

fn starts_twice(cluster: &Cluster) -> Vec<String> {
    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    for worker in &cluster.workers {
        for (task, count) in worker.state.start_counts() {
            *starts.entry(task).or_default() += count;
        }
    }
    starts.retain(|_, count| *count > 1);
    starts.into_keys().collect()
}

/// Checks that a worker added after odd entries is used, and that the node's process has not ended.
async fn check_follows(cluster: &mut Cluster, id: &str) {
    cluster.add_worker().await;
    let worker = cluster.workers.len() - 1;
    let tasks = u32::try_from(TASKS_PER_WORKER).expect("a small number");
    assert_eq!(cluster.submit(0, id, tasks).await, 200);
    until("the added worker has tasks", async || {
        running(cluster, worker) > 0
    })
    .await;
    assert!(!cluster.nodes[0].has_exited(), "the process ended");
}

async fn unreadable(cluster: &Cluster, what: &str) -> u64 {
    let metrics = call(cluster.nodes[0].metrics, "GET", "/metrics", "").await;
    let prefix = format!("wasabiloft_entries_unreadable_total{{what=\"{what}\"}} ");
    let mut lines = metrics.body.lines();
    let value = lines.find_map(|line| line.strip_prefix(&prefix));
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// A node ends, or no longer follows the registry, because of an entry that another writer wrote.
#[tokio::test(flavor = "multi_thread")]
async fn sound_entries_are_followed_beside_odd_ones() {
    let mut cluster = Cluster::start(1, 1, 60_000).await;
    assert_eq!(cluster.submit(0, ID, 16).await, 200);
    until("the worker is full", async || running(&cluster, 0) == 16).await;
    let odd = odd_entries(&cluster.entry(0));
    for (key, entry) in &odd {
        cluster.put("servers", key, entry);
    }
    cluster.store.state.put("servers", "i-0-bytes", "!!!");
    check_follows(&mut cluster, OTHER).await;
    // The same entries in the list that is read after a gap of the history.
    cluster.store.state.compact();
    check_follows(&mut cluster, "00000000000000a3").await;
    let log = cluster.log(0);
    let lines = log
        .lines()
        .filter(|line| line.contains("can't be used"))
        .count();
    assert!((1..=LINES_MAX).contains(&lines), "{lines} lines");
    assert!(log.contains("entry i-0-odd-1 can't be used"));
    for line in log.lines() {
        assert!(line.len() < 2_000, "a line of {} bytes", line.len());
    }
    for (key, _) in &odd {
        let polled = log.contains(&format!("worker listed worker={key} "));
        assert!(!polled, "{key} was used as a worker");
    }
    let counted = unreadable(&cluster, "registry").await;
    assert!(counted >= odd.len() as u64, "{counted} of {}", odd.len());
    // The same entries in the first list that a leader reads.
    cluster.nodes[0].signal(Signal::KILL);
    let ended = cluster.nodes[0].process.wait();
    assert!(ended.is_ok());
    cluster.nodes[0].restart().expect("the daemon starts");
    cluster.until_ready(0).await;
    check_follows(&mut cluster, "00000000000000a4").await;
    assert_eq!(starts_twice(&cluster), Vec::<String>::new());
}

/// A row that can't be decoded makes all rows of the store's response unreadable.
#[tokio::test(flavor = "multi_thread")]
async fn sound_entries_are_followed_beside_rows_that_the_store_sends_oddly() {
    let mut cluster = Cluster::start(1, 1, 60_000).await;
    assert_eq!(cluster.submit(0, ID, 16).await, 200);
    until("the worker is full", async || running(&cluster, 0) == 16).await;
    let rows = [
        format!(
            r#"{{"table":"servers","part":"","key":"a-odd","value":{}}}"#,
            nested()
        ),
        r#"{"table":"servers","part":"","key":"i-0-odd","value":7,"recordVersion":3}"#.into(),
        r#"{"table":"servers","part":"","key":"i-0-odder","value":"","recordVersion":1e400}"#
            .into(),
        r#"{"table":"servers","part":"","key":17,"value":""}"#.into(),
        r#"{"table":"servers","part":"","key":"\ud800","value":""}"#.into(),
        nested(),
        "null".into(),
    ];
    for (number, row) in rows.iter().enumerate() {
        let key = format!("{}-odd-{number}", ["a", "i-0", "z"][number % 3]);
        cluster.store.state.put_text("servers", &key, row);
    }
    check_follows(&mut cluster, OTHER).await;
    cluster.store.state.compact();
    check_follows(&mut cluster, "00000000000000a3").await;
    cluster.nodes[0].signal(Signal::KILL);
    let ended = cluster.nodes[0].process.wait();
    assert!(ended.is_ok());
    cluster.nodes[0].restart().expect("the daemon starts");
    cluster.until_ready(0).await;
    check_follows(&mut cluster, "00000000000000a4").await;
    assert_eq!(starts_twice(&cluster), Vec::<String>::new());
}

/// A worker of a service that a later configuration adds is never used, or it is used before.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_of_an_unknown_service_is_used_once_the_configuration_names_it() {
    let cluster = Cluster::start(1, 1, 50).await;
    let mut entry = cluster.entry(0);
    entry["service"] = json!("added");
    cluster.put("servers", "i-9", &entry.to_string());
    until("the entry is named", async || {
        cluster.log(0).contains("entry i-9 can't be used")
    })
    .await;
    assert!(!cluster.log(0).contains("worker listed worker=i-9"));
    let mut config = cluster.config(2, &[PREFIX]);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({"name": "added"}));
    cluster.put("op", "config", &config.to_string());
    until("the worker is used", async || {
        cluster.log(0).contains("worker listed worker=i-9")
    })
    .await;
}

/// A worker whose entry turns odd while it runs tasks is taken for gone, or gets tasks meanwhile, or none afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_entry_turns_odd_and_back_keeps_its_runs() {
    let cluster = Cluster::start(1, 2, 2_500).await;
    assert_eq!(cluster.submit(0, ID, 32).await, 200);
    until("both workers are full", async || {
        running(&cluster, 0) + running(&cluster, 1) == 32
    })
    .await;
    for odd in ["{\"service\":7}", "[[[]]]", "\u{0}"] {
        cluster.put("servers", "i-0", odd);
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    cluster.store.state.put("servers", "i-0", "!!!");
    cluster.store.state.compact();
    cluster.until_state(0, ID, "completed").await;
    assert_eq!(cluster.submit(0, OTHER, 8).await, 200);
    cluster.until_state(0, OTHER, "completed").await;
    let other = |worker: usize| {
        let starts = cluster.workers[worker].state.start_counts();
        starts.keys().filter(|task| task.starts_with(OTHER)).count()
    };
    assert_eq!((other(0), other(1)), (0, 8), "the odd worker was used");
    cluster.put_entry(0);
    assert_eq!(cluster.submit(0, "00000000000000a3", 32).await, 200);
    until("the worker is used again", async || {
        running(&cluster, 0) > 0
    })
    .await;
    assert_eq!(starts_twice(&cluster), Vec::<String>::new());
    assert!(!cluster.log(0).contains("worker gone"));
}

/// One odd row of a report makes the worker silent, so that its tasks lapse and are started elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_with_an_odd_row_in_its_report_keeps_its_runs() {
    let cluster = Cluster::start(1, 2, 8_000).await;
    let rows = [
        json!(["x"]),
        json!([ID, 1.5, 0, null]),
        json!(null),
        json!([[]]),
    ];
    assert_eq!(cluster.submit(0, ID, 20).await, 200);
    until("all tasks run", async || {
        running(&cluster, 0) + running(&cluster, 1) == 20
    })
    .await;
    for row in rows {
        cluster.workers[0].state.report_beside(Some(row));
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    }
    cluster.until_state(0, ID, "completed").await;
    let lapsed = cluster.workers.iter();
    let lapsed: usize = lapsed.map(|worker| worker.state.lapsed_count()).sum();
    assert_eq!(lapsed, 0, "leases lapsed");
    assert_eq!(starts_twice(&cluster), Vec::<String>::new());
    assert!(unreadable(&cluster, "report").await > 0);
}
