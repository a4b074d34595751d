//! `measure search`: histories that broke a rule, and short searches with a fixed seed.

use crate::measure;

/// Returns the violations of a history with one job of one task on two workers.
fn violations(nodes: u64, submit_ms: u64, faults: &serde_json::Value) -> serde_json::Value {
    let history = serde_json::json!({
        "setup": {
            "nodes": nodes, "vms": 2, "latency_ms": 1, "cores": 8, "jobs": 1, "every_ms": 0,
            "tasks": 1, "task_ms": 9_000, "submit_ms": submit_ms, "slow_clocks": false,
        },
        "faults": faults,
    });
    let mut result = measure(&["search", "--replay", &history.to_string()]);
    result["violations"].take()
}

fn assert_sound(nodes: u64, submit_ms: u64, faults: &serde_json::Value) {
    assert_eq!(
        violations(nodes, submit_ms, faults),
        serde_json::json!([]),
        "{faults}"
    );
}

/// Guards against a start that is sent again after the task was released, to the next incarnation under the same id.
#[test]
fn a_start_is_given_up_when_its_worker_has_ended() {
    let faults = serde_json::json!([
        {"at_ms": 2_000, "what": "crash", "vm": 0, "silent": true, "for_ms": 150, "same_id": true},
    ]);
    assert_sound(1, 1_990, &faults);
}

/// Guards against a list of machines that is older than the incarnation that it ends.
#[test]
fn a_list_from_before_a_restart_ends_no_worker() {
    let faults = serde_json::json!([
        {"at_ms": 950, "what": "cloud-slow", "delay_ms": 500, "for_ms": 800},
        {"at_ms": 1_400, "what": "crash", "vm": 0, "silent": false, "for_ms": 400, "same_id": true},
    ]);
    assert_sound(1, 2_100, &faults);
}

/// Guards against a lease on the clock of an earlier incarnation, which lasts longer on the clock of the next one.
#[test]
fn a_lease_from_before_a_restart_is_waited_for() {
    let faults = serde_json::json!([
        {"at_ms": 850, "what": "cloud-away", "executes": false, "for_ms": 400},
        {"at_ms": 1_800, "what": "crash", "vm": 0, "silent": true, "for_ms": 150, "same_id": true},
        {"at_ms": 2_850, "what": "isolate", "vm": 0, "how": "silent", "for_ms": 3_500},
    ]);
    assert_sound(1, 2_100, &faults);
}

/// Guards against refused connections that are taken for the end of a draining worker that is cut off.
#[test]
fn a_draining_worker_that_is_cut_off_keeps_its_lease() {
    let faults = serde_json::json!([
        {"at_ms": 1_400, "what": "drain", "vm": 0, "extra_ms": 3_500},
        {"at_ms": 3_200, "what": "isolate", "vm": 0, "how": "refused", "for_ms": 3_500},
    ]);
    assert_sound(1, 1_100, &faults);
}

/// Guards against a repeated maintenance command whose answer is taken for the end of the worker that came after it.
#[test]
fn a_repeated_upkeep_ends_no_worker() {
    let faults = serde_json::json!([
        {"at_ms": 800, "what": "wave", "vm": 0},
        {"at_ms": 850, "what": "cloud-away", "executes": true, "for_ms": 2_500},
    ]);
    assert_sound(1, 4_100, &faults);
}

/// Guards against commands of a replaced leader that reach machines after those of its successor.
#[test]
fn a_late_command_to_a_machine_is_not_followed_by_a_lower_fence() {
    let faults = serde_json::json!([
        {"at_ms": 950, "what": "hold-up", "message": "command", "vm": 1, "for_ms": 4_500},
        {"at_ms": 5_600, "what": "move", "vm": 1},
        {"at_ms": 5_850, "what": "freeze", "node": 0, "for_ms": 1_500, "first": "timers"},
    ]);
    assert_sound(2, 1_900, &faults);
}

/// Guards against starts of a leader that stood still, which its successor doesn't wait for.
#[test]
fn a_woken_leader_starts_nothing() {
    let history = serde_json::json!({
        "setup": {
            "nodes": 2, "vms": 2, "latency_ms": 1, "cores": 8, "jobs": 3, "every_ms": 300,
            "tasks": 1, "task_ms": 700, "submit_ms": 1_700, "slow_clocks": false,
        },
        "faults": [
            {"at_ms": 2_250, "what": "freeze", "node": 0, "for_ms": 2_500, "first": "feeds"},
            {"at_ms": 3_550, "what": "isolate", "vm": 0, "how": "silent", "for_ms": 4_500},
        ],
    });
    let result = measure(&["search", "--replay", &history.to_string()]);
    assert_eq!(result["violations"], serde_json::json!([]));
}

/// Guards against starts of a leader that doesn't reach the store and runs on, which its successor doesn't wait for.
#[test]
fn a_leader_without_the_store_starts_nothing_once_it_may_be_replaced() {
    let faults = serde_json::json!([
        {"at_ms": 700, "what": "store-away", "node": 0, "for_ms": 1_500},
        {"at_ms": 2_450, "what": "isolate", "vm": 1, "how": "one-way", "for_ms": 4_500},
        {"at_ms": 3_650, "what": "cut", "node": null, "vm": 0, "how": "refused", "for_ms": 9_000},
        {"at_ms": 7_250, "what": "store-away", "node": 1, "for_ms": 5_500},
    ]);
    assert_sound(2, 1_100, &faults);
}

/// Returns the violations of a history with these changes to a deployment of three nodes and one job.
fn violations_of_several(
    setup: &serde_json::Value,
    faults: &serde_json::Value,
) -> serde_json::Value {
    let mut whole = serde_json::json!({
        "nodes": 3, "vms": 2, "latency_ms": 1, "cores": 8, "jobs": 1, "every_ms": 0, "tasks": 1,
        "task_ms": 9_000, "submit_ms": 1_990, "slow_clocks": false,
    });
    for (name, value) in setup.as_object().into_iter().flatten() {
        whole[name] = value.clone();
    }
    let history = serde_json::json!({"setup": whole, "faults": faults});
    let mut result = measure(&["search", "--replay", &history.to_string()]);
    result["violations"].take()
}

/// Guards against a leader without the store that renews leases by the confirmations of its followers, while a node that it
/// never heard takes over.
#[test]
fn a_node_that_its_predecessor_never_heard_starts_nothing_beside_it() {
    let setup = serde_json::json!({"joins_ms": 3_000});
    let faults = serde_json::json!([
        {
            "at_ms": 1_000, "what": "partition", "nodes": [0, 1], "vms": [0], "writes_only": false,
            "for_ms": 9_000,
        },
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against the same while a node takes over that the leader has forgotten, as it was silent for over a minute.
#[test]
fn a_node_that_its_predecessor_forgot_starts_nothing_beside_it() {
    let setup = serde_json::json!({
        "vms": 3, "cores": 2, "tasks": 30, "task_ms": 700, "submit_ms": 65_900, "run_ms": 82_000,
    });
    let faults = serde_json::json!([
        {
            "at_ms": 1_650, "what": "split", "node": 2, "other": 0, "how": "silent",
            "for_ms": 82_000,
        },
        {
            "at_ms": 66_650, "what": "partition", "nodes": [0, 1], "vms": [1],
            "writes_only": false, "for_ms": 5_500,
        },
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against a leader that takes new jobs up at once, since the duty was released, while the leader before the last one
/// takes them up as well.
#[test]
fn a_released_duty_does_not_mean_that_no_earlier_leader_acts() {
    let setup = serde_json::json!({
        "joins_ms": 2_800, "jobs": 7, "every_ms": 500, "task_ms": 5_000, "submit_ms": 3_000,
    });
    let faults = serde_json::json!([
        {
            "at_ms": 2_800, "what": "partition", "nodes": [0], "vms": [1], "writes_only": true,
            "for_ms": 3_500,
        },
        {"at_ms": 4_950, "what": "step-down", "node": 2},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against the same where the duty's row names an earlier process of the node that takes over.
#[test]
fn a_restarted_leader_does_not_forget_its_predecessor() {
    let setup = serde_json::json!({
        "jobs": 4, "every_ms": 500, "task_ms": 5_000, "submit_ms": 2_900,
    });
    let faults = serde_json::json!([
        {
            "at_ms": 2_000, "what": "partition", "nodes": [0, 1], "vms": [0], "writes_only": true,
            "for_ms": 2_500,
        },
        {"at_ms": 3_800, "what": "restart", "node": 2, "for_ms": 150},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against a replaced leader that starts a task again whose end its successor has taken note of, as it learns only that
/// the worker ended.
#[test]
fn a_replaced_leader_starts_no_task_again_that_its_successor_saw_done() {
    let setup = serde_json::json!({
        "nodes": 2, "cores": 2, "task_ms": 1_500, "submit_ms": 1_400,
    });
    let faults = serde_json::json!([
        {
            "at_ms": 2_200, "what": "partition", "nodes": [0], "vms": [1], "writes_only": true,
            "for_ms": 2_500,
        },
        {"at_ms": 3_800, "what": "crash", "vm": 0, "silent": true, "for_ms": 150, "same_id": true},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against the same where the successor has started the task elsewhere, as the worker ended.
#[test]
fn a_replaced_leader_starts_no_task_again_that_its_successor_started() {
    let setup = serde_json::json!({"nodes": 2, "submit_ms": 750});
    let faults = serde_json::json!([
        {
            "at_ms": 900, "what": "partition", "nodes": [0], "vms": [0], "writes_only": false,
            "for_ms": 3_500,
        },
        {"at_ms": 2_550, "what": "crash", "vm": 0, "silent": true, "for_ms": 150, "same_id": true},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against the same where the replaced leader's lease of the worker lapses, and the successor goes on with its runs.
#[test]
fn a_replaced_leader_starts_no_task_again_whose_lease_lapsed() {
    let setup = serde_json::json!({"nodes": 2, "jobs": 2, "every_ms": 400});
    let faults = serde_json::json!([
        {"at_ms": 2_500, "what": "cut", "node": 0, "vm": 0, "how": "silent", "for_ms": 1_500},
        {
            "at_ms": 5_000, "what": "partition", "nodes": [0], "vms": [1], "writes_only": false,
            "for_ms": 2_500,
        },
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against a lease on the clock of an earlier incarnation, which the next one takes for its longest lease, so that it
/// lasts longer than the wait of a successor.
#[test]
fn a_lease_from_before_a_restart_does_not_outlast_the_wait_of_a_successor() {
    let setup = serde_json::json!({"nodes": 2});
    let faults = serde_json::json!([
        {
            "at_ms": 1_000, "what": "partition", "nodes": [0], "vms": [0], "writes_only": true,
            "for_ms": 7_000,
        },
        {"at_ms": 1_500, "what": "crash", "vm": 0, "silent": true, "for_ms": 150, "same_id": true},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against a start under way that the next incarnation of its worker carries out, after the leader has learned from the
/// list of machines that the worker ended.
#[test]
fn a_start_under_way_is_not_carried_out_by_the_next_incarnation() {
    let setup = serde_json::json!({
        "nodes": 1, "vms": 3, "latency_ms": 20, "cores": 2, "jobs": 30, "every_ms": 300,
        "task_ms": 700, "submit_ms": 0,
    });
    let faults = serde_json::json!([
        {
            "at_ms": 600, "what": "partition", "nodes": [0], "vms": [2], "writes_only": false,
            "for_ms": 800,
        },
        {"at_ms": 750, "what": "move", "vm": 1},
        {"at_ms": 5_350, "what": "cloud-slow", "delay_ms": 400, "for_ms": 2_500},
        {"at_ms": 7_150, "what": "crash", "vm": 2, "silent": true, "for_ms": 800, "same_id": true},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against leases that count from the answer to a claim, which another node can have replaced before it arrived.
#[test]
fn leases_count_from_when_the_claim_was_sent() {
    let setup = serde_json::json!({
        "tasks": 4, "task_ms": 14_000, "submit_ms": 500, "slow_clocks": true,
    });
    let faults = serde_json::json!([
        {"at_ms": 300, "what": "split", "node": 2, "other": 0, "how": "silent", "for_ms": 15_000},
        {"at_ms": 300, "what": "split", "node": 2, "other": 1, "how": "silent", "for_ms": 15_000},
        {"at_ms": 300, "what": "cut", "node": 2, "vm": 0, "how": "silent", "for_ms": 15_000},
        {"at_ms": 300, "what": "cut", "node": 1, "vm": 1, "how": "silent", "for_ms": 15_000},
        {"at_ms": 1_100, "what": "restart", "node": 0, "for_ms": 15_000},
        {"at_ms": 1_120, "what": "hold-up", "message": "commit-answer", "vm": 0, "for_ms": 1_480},
        {"at_ms": 2_728, "what": "store-away", "node": 1, "for_ms": 15_000},
    ]);
    let seen = violations_of_several(&setup, &faults);
    assert_eq!(seen, serde_json::json!([]));
}

/// Guards against new ways of breaking a rule with one leader, beside the listed histories.
#[test]
fn faults_but_restarts_under_the_same_id_break_nothing() {
    let args = ["search", "--runs", "600", "--seed", "11", "--threads", "2"];
    let result = measure(&[&args[..], &["--without", "same-id"]].concat());
    assert_eq!(result["violations"], 0, "{result}");
    assert_eq!(result["runs"], 600);
}

/// Guards against checks that see nothing.
#[test]
fn workers_without_fences_are_noticed() {
    let args = [
        "search",
        "--nodes",
        "2",
        "--runs",
        "600",
        "--seed",
        "11",
        "--threads",
        "2",
    ];
    let without = "fences,same-id,drain,wave,move,hold-up";
    let result = measure(&[&args[..], &["--without", without]].concat());
    assert!(result["violations"].as_u64() > Some(0), "{result}");
}
