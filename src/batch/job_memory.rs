//! Memory of accepted jobs: how much open jobs take, and which submissions the nodes still admit.
//!
//! Answers callers that submit more than can run. Each accepted job stays in the memory of the leader, and of every leader
//! after it, until it ends. The leader tells the nodes with its replies to their heartbeats how much memory is left for each
//! of them, and a node counts what it has admitted since.

use crate::batch::record;
use crate::batch::spec;

/// Share of a node's memory that open jobs may take, in percent. A new leader also holds their rows while it reads them, and
/// the occurrences of schedules take memory as well.
const SHARE_PERCENT: u64 = 20;
/// A job is admitted if this many of its size are left, so that small jobs are still admitted when large ones are not.
const HEADROOM: u64 = 32;
/// Number of nodes between which the memory is shared before a leader has replied.
const NODES_ASSUMED: u64 = 8;
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

/// Admits the submissions of one node.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Memory that this node's submissions may take by the newest reply, in bytes.
    room_bytes: u64,
    /// Memory of the jobs that were stored since, in bytes.
    stored_bytes: u64,
    /// Memory of the admitted jobs that are being stored, in bytes.
    pending_bytes: u64,
}

impl Gate {
    /// Creates the gate of a node that has heard no leader; open jobs may take `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            room_bytes: limit_bytes / NODES_ASSUMED,
            stored_bytes: 0,
            pending_bytes: 0,
        }
    }

    /// Records how much memory the leader has left for jobs of this node, in bytes.
    pub fn replied(&mut self, room_bytes: u64) {
        self.room_bytes = room_bytes;
        self.stored_bytes = 0;
    }

    /// Returns whether a job of `job_bytes` is admitted, which is then pending.
    pub fn admit(&mut self, job_bytes: u64) -> bool {
        let taken_bytes = self.stored_bytes.saturating_add(self.pending_bytes);
        let left_bytes = self.room_bytes.saturating_sub(taken_bytes);
        let is_admitted = job_bytes.saturating_mul(HEADROOM) <= left_bytes;
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
