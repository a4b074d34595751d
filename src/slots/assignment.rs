//! Assignments: numbered distributions of the tokens that no member holds.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::roster;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Identifies an assignment; later assignments compare greater.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{roster_version}.{round}")]
pub struct Assignment {
    /// The version of the roster whose members take part.
    pub roster_version: u64,
    /// Incremented by any member that detects missing tokens while the roster is unchanged.
    pub round: u32,
}

impl Assignment {
    /// Returns the first assignment of a roster version.
    pub fn first(roster_version: u64) -> Self {
        Self {
            roster_version,
            round: 0,
        }
    }

    /// Returns the next assignment of the same roster version.
    #[must_use]
    pub fn next_round(self) -> Self {
        Self {
            round: self.round + 1,
            ..self
        }
    }
}

/// Returns the members in the order in which the unheld slots of a runner are assigned to them.
///
/// The order differs per runner, so that tokens are distributed evenly.
pub fn order<'a>(members: &'a [roster::NodeId], vm: &id::Vm) -> Vec<&'a roster::NodeId> {
    let mut order: Vec<&roster::NodeId> = members.iter().collect();
    order.sort_by_key(|member| (score(member, vm), *member));
    order
}

/// Returns the mask of a runner's slots that are assigned to member `me` if no member holds them.
pub fn assigned_mask(
    members: &[roster::NodeId],
    me: &roster::NodeId,
    vm: &id::Vm,
    slots: u32,
) -> u64 {
    let order = order(members, vm);
    let mut mask = 0;
    for slot in 0..slots {
        if !order.is_empty() && order[slot as usize % order.len()] == me {
            mask |= 1 << slot;
        }
    }
    mask
}

/// Returns a hash of member and runner that is equal on all nodes.
fn score(member: &roster::NodeId, vm: &id::Vm) -> u64 {
    let text = [member.node.as_str().as_bytes(), vm.as_str().as_bytes()];
    let mut hash = FNV_OFFSET ^ member.incarnation.0;
    for byte in text.into_iter().flatten() {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^ (hash >> 32)
}
