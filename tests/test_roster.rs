//! Changes of the roster affect one node at a time.

use proptest::prelude::*;
use wasabiloft::id;
use wasabiloft::roster;

fn member(name: u8, incarnation: u64, port: u16) -> roster::Member {
    roster::Member {
        id: roster::NodeId {
            node: id::Node::from(format!("entry-{name}")),
            incarnation: roster::Incarnation(incarnation),
        },
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: id::DataCentre::new("dc"),
    }
}

fn change() -> impl Strategy<Value = roster::Change> {
    let parts = (0u8..5, 0u64..3, 1u16..6);
    let member = parts.prop_map(|(name, incarnation, port)| member(name, incarnation, port));
    prop_oneof![
        member.clone().prop_map(roster::Change::Join),
        member.prop_map(|member| roster::Change::Remove(member.id, roster::Reason::Silent)),
    ]
}

proptest! {
    #![proptest_config(crate::fixed_seed(256))]

    #[test]
    fn a_change_touches_one_node(changes in proptest::collection::vec(change(), 1..30)) {
        let mut roster = roster::Roster::default();
        for (index, change) in changes.iter().enumerate() {
            let head = u64::try_from(index).expect("few") + 1;
            let Some(after) = roster.with_change(change, head) else { continue };
            let kept = roster.members.iter().filter(|member| after.contains(&member.id)).count();
            prop_assert!(kept + 1 >= roster.members.len());
            prop_assert!(kept + 1 >= after.members.len());
            for (index, one) in after.members.iter().enumerate() {
                let duplicate = after.members[index + 1..].iter().find(|other| {
                    other.id.node == one.id.node || other.address == one.address
                });
                prop_assert_eq!(duplicate, None);
            }
            roster = after;
        }
    }
}

#[test]
fn a_node_joins_before_it_removes_others() {
    let me = member(0, 1, 1);
    let other = member(1, 1, 2);
    let removed = [id::Node::new("entry-1")];
    let mut roster = roster::Roster {
        head: 1,
        members: vec![other.clone()],
    };
    let change = roster::plan_change(&roster, &me, false, &removed, &[]);
    assert_eq!(change, Some(roster::Change::Join(me.clone())));
    roster.members.push(me.clone());
    let change = roster::plan_change(&roster, &me, false, &removed, &[]);
    assert_eq!(
        change,
        Some(roster::Change::Remove(other.id, roster::Reason::VmGone))
    );
    let change = roster::plan_change(&roster, &me, true, &[], &[]);
    assert_eq!(
        change,
        Some(roster::Change::Remove(me.id, roster::Reason::Left))
    );
}
