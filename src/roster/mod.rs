//! The roster: the membership list of the nodes, stored in the platform's table.
//!
//! Each change adds, removes or replaces one node and raises the head. The next change waits until a majority has
//! acknowledged the head, so that majorities of two consecutive rosters always overlap.

mod change;

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;

pub use change::{Change, Reason, plan_change};

/// Key of the roster's row.
pub const KEY: &str = "roster";

/// A random number that identifies one start of a node's process.
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
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A node in one of its incarnations.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{node}/{incarnation}")]
pub struct NodeId {
    /// Name of the node, from its settings.
    pub node: id::Node,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
}

/// A node in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name and incarnation of the node.
    pub id: NodeId,
    /// Address at which peers reach the node.
    pub address: SocketAddr,
    /// Data centre of the node's VM.
    pub data_centre: id::DataCentre,
}

/// The content of the roster's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Head after the newest change.
    pub head: u64,
    /// Members, sorted by name and incarnation.
    pub members: Vec<Member>,
}

impl Roster {
    /// Returns the number of nodes that form a majority; 0 for an empty roster.
    pub fn majority(&self) -> usize {
        match self.members.len() {
            0 => 0,
            nodes => nodes / 2 + 1,
        }
    }

    /// Returns whether this incarnation of a node is in the roster.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.members.iter().any(|member| member.id == *node)
    }

    /// Returns the member with this name, in any incarnation.
    pub fn by_name(&self, node: &id::Node) -> Option<&Member> {
        self.members.iter().find(|member| member.id.node == *node)
    }
}
