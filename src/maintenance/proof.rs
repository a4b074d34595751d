//! Proof that a drained VM has no requests in flight from any entry VM.
//!
//! Every member of the roster must acknowledge the drain. A member that left the roster counts as
//! silent once it has had time to detect its isolation and to finish its longest request.

use std::collections::{BTreeMap, BTreeSet};

use crate::{clock, roster};

/// Members that can still send requests to a VM.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    known_since: Option<clock::Instant>,
    present: BTreeSet<roster::NodeId>,
    departed: BTreeMap<roster::NodeId, clock::Instant>,
}

impl Senders {
    /// Applies the newest roster.
    pub fn update(&mut self, now: clock::Instant, roster: &[roster::NodeId]) {
        self.known_since.get_or_insert(now);
        let present: BTreeSet<roster::NodeId> = roster.iter().cloned().collect();
        for member in self.present.difference(&present) {
            self.departed.insert(member.clone(), now);
        }
        self.departed.retain(|member, _| !present.contains(member));
        self.present = present;
    }

    /// Returns true if a roster with members is known.
    pub fn is_known(&self) -> bool {
        self.known_since.is_some() && !self.present.is_empty()
    }

    /// Returns true if no member can still send to the VM whose drain `acks` have acknowledged.
    ///
    /// `lapse_ms` is a node's isolation time plus the longest deadline. A new leader does not know
    /// who left the roster before its first roster, so nothing is proven until it has observed
    /// rosters for that long.
    pub fn are_silent(
        &self,
        now: clock::Instant,
        acks: &BTreeSet<roster::NodeId>,
        lapse_ms: u64,
    ) -> bool {
        let Some(known_since) = self.known_since else {
            return false;
        };
        if !self.is_known() || now.since_ms(known_since) < lapse_ms {
            return false;
        }
        let lapsed = |departed_at: &clock::Instant| now.since_ms(*departed_at) >= lapse_ms;
        let departed = &self.departed;
        self.present.is_subset(acks)
            && departed
                .iter()
                .all(|(member, departed_at)| acks.contains(member) || lapsed(departed_at))
    }

    /// Returns the members of the roster that have not acknowledged.
    pub fn missing<'a>(
        &'a self,
        acks: &'a BTreeSet<roster::NodeId>,
    ) -> impl Iterator<Item = &'a roster::NodeId> {
        self.present.difference(acks)
    }
}
