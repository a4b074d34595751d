//! The fleet duty on whole nodes with real sockets and the stand-in platform.

use std::time::Duration;

use tokio::time;
use wasabiloft_node::documents;
use wasabiloft_node::fleet::{DUTY, rows};
use wasabiloft_node::node;

use crate::test_nodes::Fleet;

/// The longest that a step may take before the test gives up, in seconds.
const STEP_S: u64 = 120;

/// Waits until a node reads rows that meet a condition.
async fn wait_for<F>(fleet: &Fleet, node: usize, condition: F)
where
    F: FnMut(&std::sync::Arc<rows::Rows>) -> bool,
{
    let mut rows = fleet.nodes[node].fleet_rows();
    let waited = time::timeout(Duration::from_secs(STEP_S), rows.wait_for(condition)).await;
    waited.expect("it happens in time").expect("the node runs");
}

#[tokio::test]
async fn vms_are_drained_by_all_nodes_and_maintained_also_after_the_holder_has_stopped() {
    let mut fleet = Fleet::start().await;
    assert!(matches!(
        fleet.write(0, 0).await,
        documents::Edit::Accepted(_)
    ));
    let maintained = |rows: &std::sync::Arc<rows::Rows>| {
        let rows = rows.by_vm.values();
        rows.filter(|row| row.maintained_ms > 0).count()
    };
    wait_for(&fleet, 1, |rows| maintained(rows) > 0).await;
    let holds = |node: &node::Node| {
        let state = node.control().state();
        let mut duties = state.duties.iter();
        duties.any(|(grant, _)| grant.duty.as_str() == DUTY)
    };
    // A lease may just be on its way from one node to another.
    let holder = async {
        loop {
            if let Some(holder) = fleet.nodes.iter().position(holds) {
                return holder;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let holder = time::timeout(Duration::from_secs(STEP_S), holder).await;
    let holder = fleet.nodes.remove(holder.expect("a node holds the duty"));
    holder.stop().await;
    let before = maintained(&fleet.nodes[0].fleet_rows().borrow());
    wait_for(&fleet, 0, |rows| maintained(rows) > before).await;
    fleet.stop().await;
}
