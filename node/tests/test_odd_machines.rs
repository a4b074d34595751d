//! Tests daemons beside entries of the list of machines that cannot be read.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::hosted::{Cluster, until};

const ID: &str = "00000000000000a1";
const MACHINES: [&str; 3] = ["m-0", "m-1", "m-2"];

/// Returns entries that cannot be read, of a machine with a name or without.
fn odd_machines(name: &str) -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    vec![
        format!(
            r#"{{"machine":"{name}","pool":"counter","state":"resting","zone":"z","capacity":{{}}}}"#
        ),
        format!(
            r#"{{"machine":"{name}","pool":"counter","state":"up","zone":"z","capacity":{{"cpu":1e400}}}}"#
        ),
        format!(r#"{{"machine":"{name}","pool":{deep}}}"#),
        r#"{"machine":7,"pool":"counter","state":"up"}"#.into(),
        "null".into(),
        deep,
    ]
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

/// An odd entry makes the whole list unreadable, so that no machine is moved or maintained.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_is_completed_beside_odd_machines() {
    let cluster = Cluster::start_with_machines(1, 3, 200).await;
    let machines = &cluster.machines.as_ref().expect("machines").state;
    for (number, text) in odd_machines("a-odd").iter().enumerate() {
        let name = format!("{}-odd-{number}", ["a", "m-0", "z"][number % 3]);
        machines.list_as(&name, Some(text));
    }
    machines.add_wave(1, &MACHINES.map(str::to_owned), 1);
    let wave = json!({"wave": 1, "machines": MACHINES, "deadlineS": 10, "maxCount": 1});
    cluster.put("op", "wave/1", &wave.to_string());
    until("the wave has begun on all machines", async || {
        machines.wave_started(1)
    })
    .await;
    let log = cluster.log(0);
    let lines = log
        .lines()
        .filter(|line| line.contains("machine unreadable"));
    let lines = lines.count();
    assert!((1..=10).contains(&lines), "{lines} lines");
}

/// A machine whose entry turns odd is taken for gone: its worker's tasks are started elsewhere while they run.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_machine_turns_odd_keeps_its_runs() {
    let cluster = Cluster::start_with_machines(1, 3, 4_000).await;
    let machines = &cluster.machines.as_ref().expect("machines").state;
    until("machines are listed", async || {
        cluster.log(0).contains("machines listed count=3")
    })
    .await;
    assert_eq!(cluster.submit(0, ID, 48).await, 200);
    until("all workers are full", async || {
        cluster
            .workers
            .iter()
            .all(|worker| worker.state.running_count() == 16)
    })
    .await;
    for text in odd_machines("m-1") {
        machines.list_as("m-1", Some(&text));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    cluster.until_state(0, ID, "completed").await;
    assert_eq!(starts_twice(&cluster), Vec::<String>::new());
    let log = cluster.log(0);
    assert!(!log.contains("worker gone"), "a worker was taken for gone");
    assert!(!log.contains("cannot list machines"), "a list was not read");
}

/// A machine that is unreadable for a while is still taken for gone when the list shows that it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_machine_that_is_gone_beside_an_odd_one_is_noticed() {
    let cluster = Cluster::start_with_machines(1, 2, 60_000).await;
    let machines = &cluster.machines.as_ref().expect("machines").state;
    until("machines are listed", async || {
        cluster.log(0).contains("machines listed count=2")
    })
    .await;
    let named = &odd_machines("m-9")[0];
    machines.list_as("m-9", Some(named));
    assert_eq!(cluster.submit(0, ID, 4).await, 200);
    until("tasks run", async || {
        let running = cluster.workers.iter();
        running
            .map(|worker| worker.state.running_count())
            .sum::<usize>()
            == 4
    })
    .await;
    let used = usize::from(cluster.workers[0].state.running_count() == 0);
    let gone = json!({
        "machine": format!("m-{used}"), "pool": "counter", "state": "down", "zone": "andes",
        "labels": ["a", "r1"], "capacity": {"cpu": 8_000, "memMb": 16_000, "gpu": 0},
    });
    machines.list_as(&format!("m-{used}"), Some(&gone.to_string()));
    until("the worker is taken for gone", async || {
        cluster.log(0).contains("reason=machine-without")
    })
    .await;
}
