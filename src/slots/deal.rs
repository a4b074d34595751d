//! Deals: the numbered occasions on which the owner of every lost token is settled.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::roster;

/// Start value of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The number of a deal; later deals compare greater.
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
pub struct Deal {
    /// The roster's version.
    pub roster_version: u64,
    /// Raised by any member that misses tokens while the roster stays.
    pub round: u32,
}

impl Deal {
    /// The first deal of a roster.
    pub fn of_roster(roster_version: u64) -> Self {
        Self {
            roster_version,
            round: 0,
        }
    }

    /// The next deal of the same roster.
    #[must_use]
    pub fn next_round(self) -> Self {
        Self {
            round: self.round + 1,
            ..self
        }
    }
}

/// The members in the order in which a runner's lost slots are dealt to them.
///
/// Each runner has an order of its own, so that the tokens spread evenly.
pub fn order<'a>(members: &'a [roster::NodeId], vm: &id::Vm) -> Vec<&'a roster::NodeId> {
    let mut order: Vec<&roster::NodeId> = members.iter().collect();
    order.sort_by_key(|member| (score(member, vm), *member));
    order
}

/// The slots of a runner, as a mask, that the deal gives to a member if nobody holds them.
pub fn dealt_mask(members: &[roster::NodeId], me: &roster::NodeId, vm: &id::Vm, slots: u32) -> u64 {
    let order = order(members, vm);
    let mut mask = 0;
    for slot in 0..slots {
        if !order.is_empty() && order[slot as usize % order.len()] == me {
            mask |= 1 << slot;
        }
    }
    mask
}

/// A hash of member and runner, alike on all nodes.
fn score(member: &roster::NodeId, vm: &id::Vm) -> u64 {
    let text = [member.node.as_str().as_bytes(), vm.as_str().as_bytes()];
    let mut hash = FNV_OFFSET ^ member.incarnation.0;
    for byte in text.into_iter().flatten() {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^ (hash >> 32)
}
