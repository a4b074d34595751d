//! The fleet duty on complete nodes with real sockets and the stand-in platform.

use std::time::Duration;

use tokio::time;
use wasabiloft_node::documents;
use wasabiloft_node::fleet::{DUTY, rows};
use wasabiloft_node::node;

use crate::test_nodes::Fleet;

/// Timeout for a step of a test, in seconds.
const STEP_TIMEOUT_S: u64 = 120;

/// Waits until a node has read rows that meet a condition.
async fn wait_for<F>(fleet: &Fleet, node: usize, condition: F)
where
    F: FnMut(&std::sync::Arc<rows::Rows>) -> bool,
{
    let mut rows = fleet.nodes[node].fleet_rows();
    let waited = time::timeout(
        Duration::from_secs(STEP_TIMEOUT_S),
        rows.wait_for(condition),
    )
    .await;
    waited.expect("timeout").expect("the node has stopped");
}

#[tokio::test]
async fn vms_are_drained_by_all_nodes_and_maintained_also_after_the_leader_has_stopped() {
    let mut fleet = Fleet::start().await;
    assert!(matches!(
        fleet.write(0, 0).await,
        documents::EditOutcome::Accepted(_)
    ));
    let maintained = |rows: &std::sync::Arc<rows::Rows>| {
        let rows = rows.by_vm.values();
        rows.filter(|row| row.maintained_ms > 0).count()
    };
    wait_for(&fleet, 1, |rows| maintained(rows) > 0).await;
    let leads = |node: &node::Node| {
        let state = node.control().state();
        let mut duties = state.duties.iter();
        duties.any(|(grant, _)| grant.duty.as_str() == DUTY)
    };
    // During a handover no node holds the lease, so the search is repeated.
    let leader = async {
        loop {
            if let Some(leader) = fleet.nodes.iter().position(leads) {
                return leader;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let leader = time::timeout(Duration::from_secs(STEP_TIMEOUT_S), leader).await;
    let leader = fleet.nodes.remove(leader.expect("no node holds the duty"));
    leader.stop().await;
    let before = maintained(&fleet.nodes[0].fleet_rows().borrow());
    wait_for(&fleet, 0, |rows| maintained(rows) > before).await;
    fleet.stop().await;
}
