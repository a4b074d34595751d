//! The view: which nodes own which shards of keys.
//!
//! The view is a row of the platform's table. Its members follow the roster, but it changes only by
//! [`crate::once::change`], so that no claim granted from memory is forgotten between two views.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::once::hash;
use crate::platform;
use crate::roster;

/// The key of the view's row in the table.
pub const ROW_KEY: &str = "keys-view";
/// The number of shards.
pub const SHARDS: u16 = 256;

/// A part of the keys that has one owner.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:02x}")]
pub struct Shard(u16);

impl Shard {
    /// The shard of a hash.
    pub fn new(bits: u64) -> Self {
        Self((bits % u64::from(SHARDS)) as u16)
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }
}

/// Which nodes own the keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Raised by one at each change.
    pub number: u64,
    /// The members, sorted.
    pub members: Vec<roster::NodeId>,
    /// Shards whose claims from memory may be lost: a key that is not known there may have run.
    pub doubtful: Vec<Shard>,
    /// Members that have ended gracefully: they hold nothing and grant nothing more in this view.
    #[serde(default)]
    pub left: Vec<roster::NodeId>,
}

impl View {
    /// The owner of a shard: the member with the highest rendezvous weight.
    pub fn owner(&self, shard: Shard) -> Option<&roster::NodeId> {
        self.members
            .iter()
            .max_by_key(|member| (weight(shard, member), *member))
    }

    /// The position of a member in the order in which it would own a shard; 0 for the owner.
    pub fn rank(&self, shard: Shard, member: &roster::NodeId) -> u64 {
        let own = (weight(shard, member), member);
        let before = self
            .members
            .iter()
            .filter(|other| (weight(shard, other), *other) > own);
        before.count() as u64
    }

    /// The transaction that writes the view, if its row still has `version`.
    pub fn write(&self, version: u64) -> platform::Txn {
        platform::Txn {
            checks: vec![platform::Check {
                key: ROW_KEY.into(),
                version,
            }],
            writes: vec![platform::Write {
                key: ROW_KEY.into(),
                value: serde_json::to_string(self).ok(),
            }],
        }
    }

    /// The number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Tells whether claims from memory of a shard may be lost.
    pub fn is_doubtful(&self, shard: Shard) -> bool {
        self.doubtful.contains(&shard)
    }
}

fn weight(shard: Shard, member: &roster::NodeId) -> u64 {
    hash::of(&[
        &shard.0.to_le_bytes(),
        member.node.as_str().as_bytes(),
        &member.incarnation.0.to_le_bytes(),
    ])
}
