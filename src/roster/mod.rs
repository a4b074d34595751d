//! The roster: which nodes there are, in the platform's table.
//!
//! Each change adds, removes or replaces one node and raises the head. The next change
//! waits until a majority has acknowledged the head, so majorities of neighbouring rosters always meet.

mod change;

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;

pub use change::{Change, Reason, plan};

/// The key of the roster's row.
pub const KEY: &str = "roster";

/// One start of a node's process, drawn at random.
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
    /// The node's name, from its settings.
    pub node: id::Node,
    /// The start of its process.
    pub incarnation: Incarnation,
}

/// A node in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node and its incarnation.
    pub id: NodeId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
}

/// The roster's content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The head that the newest change raised.
    pub head: u64,
    /// The nodes, by name.
    pub members: Vec<Member>,
}

impl Roster {
    /// Nodes that make a majority; an empty roster needs none.
    pub fn majority(&self) -> usize {
        match self.members.len() {
            0 => 0,
            nodes => nodes / 2 + 1,
        }
    }

    /// Tells whether this incarnation is in the roster.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.members.iter().any(|member| member.id == *node)
    }

    /// The member of this name, in whatever incarnation.
    pub fn named(&self, node: &id::Node) -> Option<&Member> {
        self.members.iter().find(|member| member.id.node == *node)
    }
}
