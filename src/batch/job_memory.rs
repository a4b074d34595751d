//! Memory of accepted jobs: how much open jobs take, and which submissions the nodes still admit.
//!
//! Answers callers that submit more than can run. Each accepted job stays in the memory of the leader, and of every leader
//! after it, until it ends. The leader tells the nodes with its replies to their heartbeats how much memory is left, and a node
//! counts what it has admitted since.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::batch::record;
use crate::batch::spec;
use crate::clock;

/// Share of a node's memory that open jobs may take, in percent. A new leader also holds their rows while it reads them, and
/// the occurrences of schedules take memory as well.
const SHARE_PERCENT: u64 = 20;
/// A job is admitted if this many of its size are left, so that small jobs are still admitted when large ones are not.
const HEADROOM: u64 = 32;
/// Number of nodes between which the memory is shared before a leader has replied.
const NODES_ASSUMED: u64 = 8;
/// A follower that was silent for this long is neither counted nor taken for a node that may lead, in milliseconds.
const FOLLOWER_GONE_MS: u64 = 60_000;
/// Memory of an open job without its text and steps, in bytes.
const JOB_BYTES: u64 = 1_500;
/// Memory of the state of a step's tasks, in bytes.
const STEP_STATE_BYTES: u64 = 128;

/// Returns how much memory open jobs may take on nodes with `memory_mib`, in bytes.
pub fn limit_bytes(memory_mib: u64) -> u64 {
    memory_mib.saturating_mul(1_024 * 1_024) / 100 * SHARE_PERCENT
}

/// Returns about how much memory a job takes while it is open, in bytes.
pub fn job_bytes(accepted: &record::Accepted) -> u64 {
    let steps = accepted.spec.steps.iter().map(step_bytes);
    JOB_BYTES + accepted.spec.text.len() as u64 + steps.sum::<u64>()
}

fn step_bytes(step: &spec::Step) -> u64 {
    let texts = [&step.label, &step.data_rack, &step.image];
    let text_bytes: usize = texts.into_iter().flatten().map(String::len).sum();
    let after_bytes = size_of_val(step.after.as_slice());
    STEP_STATE_BYTES + (size_of::<spec::Step>() + text_bytes + after_bytes) as u64
}

/// Memory that is left for jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Memory that jobs of all nodes may take, in bytes.
    pub bytes: u64,
    /// Number of nodes that share it until the next reply.
    pub nodes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    memory_mib: u64,
    heard_at: clock::Instant,
}

/// The nodes between which a leader shares the memory. Any of them may lead next, so that the smallest bounds it.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    followers: BTreeMap<SocketAddr, Follower>,
}

impl Nodes {
    /// Records a heartbeat of a follower with `memory_mib`.
    pub fn heard(&mut self, address: SocketAddr, memory_mib: u64, now: clock::Instant) {
        let follower = Follower {
            memory_mib,
            heard_at: now,
        };
        self.followers.insert(address, follower);
        self.followers
            .retain(|_, follower| now.since_ms(follower.heard_at) < FOLLOWER_GONE_MS);
    }

    /// Returns the memory that is left: this node has `own_mib`, and all open jobs take `open_bytes`.
    pub fn room(&self, own_mib: u64, open_bytes: u64) -> Room {
        let followers = self.followers.values().map(|follower| follower.memory_mib);
        let smallest_mib = followers.fold(own_mib, u64::min);
        Room {
            bytes: limit_bytes(smallest_mib).saturating_sub(open_bytes),
            nodes: self.followers.len() as u64 + 1,
        }
    }
}

/// Admits the submissions of one node.
#[derive(Clone, Debug)]
pub struct Gate {
    /// What is left by the newest reply.
    room: Room,
    /// Memory of the jobs that were stored since, in bytes.
    stored_bytes: u64,
    /// Memory of the admitted jobs that are being stored, in bytes.
    pending_bytes: u64,
}

impl Gate {
    /// Creates the gate of a node that has heard no leader; open jobs may take `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            room: Room {
                bytes: limit_bytes,
                nodes: NODES_ASSUMED,
            },
            stored_bytes: 0,
            pending_bytes: 0,
        }
    }

    /// Records how much memory the leader has left.
    pub fn replied(&mut self, room: Room) {
        self.room = room;
        self.stored_bytes = 0;
    }

    /// Returns whether a job of `job_bytes` is admitted, which is then pending.
    pub fn admit(&mut self, job_bytes: u64) -> bool {
        let taken_bytes = self.stored_bytes.saturating_add(self.pending_bytes);
        let left_bytes = self.room.bytes.saturating_sub(taken_bytes);
        let share_bytes = self.room.bytes / self.room.nodes.max(1);
        let is_admitted = job_bytes.saturating_mul(HEADROOM) <= left_bytes
            && job_bytes.saturating_add(taken_bytes) <= share_bytes;
        if is_admitted {
            self.pending_bytes += job_bytes;
        }
        is_admitted
    }

    /// Records that a pending job may have been stored, or certainly was not.
    pub fn ended(&mut self, job_bytes: u64, may_be_stored: bool) {
        self.pending_bytes = self.pending_bytes.saturating_sub(job_bytes);
        if may_be_stored {
            self.stored_bytes = self.stored_bytes.saturating_add(job_bytes);
        }
    }
}
