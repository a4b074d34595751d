//! Changes of the roster, which affect one node each.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Member, NodeId, Roster};
use crate::id;

/// The reason for which a node is removed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// The node leaves by itself.
    Left,
    /// The platform's list has no such VM.
    VmGone,
    /// A majority of the roster receives no heartbeats of the node.
    Silent,
}

/// A change of the roster that adds, replaces or removes one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A node joins, or replaces its own earlier incarnation.
    Join(Member),
    /// A node is removed.
    Remove(NodeId, Reason),
}

impl Roster {
    /// Returns the roster after a change that raises the head to `head`; `None` if the change is already in effect.
    pub fn with_change(&self, change: &Change, head: u64) -> Option<Self> {
        let mut members = self.members.clone();
        match change {
            Change::Join(member) => {
                if self.contains(&member.id) {
                    return None;
                }
                members.retain(|other| {
                    other.id.node != member.id.node && other.address != member.address
                });
                if members.len() + 1 < self.members.len() {
                    // The name and the address belong to two other members, which are removed one at a time.
                    return self.without_name(&member.id.node, head);
                }
                members.push(member.clone());
                members.sort_by(|one, other| one.id.cmp(&other.id));
            }
            Change::Remove(node, _) => {
                if !self.contains(node) {
                    return None;
                }
                members.retain(|other| other.id != *node);
            }
        }
        Some(Self { head, members })
    }

    fn without_name(&self, node: &id::Node, head: u64) -> Option<Self> {
        let mut members = self.members.clone();
        members.retain(|other| other.id.node != *node);
        Some(Self { head, members })
    }
}

/// Returns the change that `me` should make to the roster, if there is one.
///
/// `removed` are nodes whose VM is no longer in the platform's list; `silent` are nodes that a majority reports as
/// silent. `leaving` is true once `me` has finished its work.
pub fn plan_change(
    roster: &Roster,
    me: &Member,
    leaving: bool,
    removed: &[id::Node],
    silent: &[NodeId],
) -> Option<Change> {
    if leaving {
        let listed = roster.contains(&me.id);
        return listed.then(|| Change::Remove(me.id.clone(), Reason::Left));
    }
    if !roster.contains(&me.id) {
        return Some(Change::Join(me.clone()));
    }
    let others = || roster.members.iter().filter(|member| member.id != me.id);
    if let Some(member) = others().find(|member| removed.contains(&member.id.node)) {
        return Some(Change::Remove(member.id.clone(), Reason::VmGone));
    }
    let member = others().find(|member| silent.contains(&member.id))?;
    Some(Change::Remove(member.id.clone(), Reason::Silent))
}
