//! The view, which determines the owner of each shard of keys.
//!
//! The view is stored as a row of the platform's table. Its members follow the roster, but it is replaced only by
//! [`crate::idempotency::view_change`], so that no claim granted from memory is lost between two views.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::idempotency::hash;
use crate::platform;
use crate::roster;

/// The key of the view's row in the table.
pub const ROW_KEY: &str = "keys-view";
/// The number of shards that keys are hashed into.
pub const SHARDS: u16 = 256;

/// A subset of the keys that has one owner in each view.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:02x}")]
pub struct Shard(u16);

impl Shard {
    /// Returns the shard of a key's hash.
    pub fn new(bits: u64) -> Self {
        Self((bits % u64::from(SHARDS)) as u16)
    }

    /// Returns all shards in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }
}

/// The nodes among which the shards are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Incremented by one at each view change.
    pub number: u64,
    /// The nodes that own shards and store replicas, sorted.
    pub members: Vec<roster::NodeId>,
    /// Shards whose claims granted from memory may have been lost; an unknown key of such a shard may have run.
    #[serde(rename = "doubtful")]
    pub suspect: Vec<Shard>,
    /// Members that have shut down gracefully; they have no replicas left and grant nothing more in this view.
    #[serde(default)]
    #[serde(rename = "left")]
    pub departed: Vec<roster::NodeId>,
}

impl View {
    /// Returns the owner of a shard, the member with the highest rendezvous weight; `None` if there are no members.
    pub fn owner(&self, shard: Shard) -> Option<&roster::NodeId> {
        self.members
            .iter()
            .max_by_key(|member| (weight(shard, member), *member))
    }

    /// Returns the position of a member in the shard's rendezvous order; 0 for the owner.
    pub fn rank(&self, shard: Shard, member: &roster::NodeId) -> u64 {
        let own_weight = (weight(shard, member), member);
        let preceding = self
            .members
            .iter()
            .filter(|other| (weight(shard, other), *other) > own_weight);
        preceding.count() as u64
    }

    /// Returns the transaction that writes the view if its row still has `version`.
    pub fn write_txn(&self, version: u64) -> platform::Txn {
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

    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns true if claims granted from memory on keys of the shard may have been lost.
    pub fn is_suspect(&self, shard: Shard) -> bool {
        self.suspect.contains(&shard)
    }
}

fn weight(shard: Shard, member: &roster::NodeId) -> u64 {
    hash::of(&[
        &shard.0.to_le_bytes(),
        member.node.as_str().as_bytes(),
        &member.incarnation.0.to_le_bytes(),
    ])
}
