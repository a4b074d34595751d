//! Memory for the jobs that this node accepts: asks the leader for it with heartbeats, and refuses what exceeds it.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use wasabiloft::batch::{job_memory, record};

use crate::batch::{leadership, shared};
use crate::clock;

/// The gate of this node's submissions, and the nodes with which it shares the memory while it leads.
#[derive(Debug)]
pub struct JobRoom {
    gate: Mutex<job_memory::Gate>,
    nodes: Mutex<job_memory::Nodes>,
}

/// Memory that is reserved for a job while it is being stored.
#[derive(Debug)]
pub struct Reservation<'a> {
    room: &'a JobRoom,
    job_bytes: u64,
    /// Whether the job may be stored; without an answer it may.
    may_be_stored: bool,
}

impl JobRoom {
    /// Creates the gate of a node with `memory_mib`.
    pub fn new(memory_mib: u64) -> Self {
        let gate = job_memory::Gate::new(job_memory::limit_bytes(memory_mib));
        Self {
            gate: Mutex::new(gate),
            nodes: Mutex::default(),
        }
    }

    fn gate(&self) -> MutexGuard<'_, job_memory::Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn nodes(&self) -> MutexGuard<'_, job_memory::Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a heartbeat of a follower with `memory_mib`.
    pub fn heard(&self, address: SocketAddr, memory_mib: u64) {
        self.nodes().heard(address, memory_mib, clock::since_boot());
    }

    /// Records how much memory the leader has left.
    pub fn replied(&self, room: job_memory::Room) {
        self.gate().replied(room);
    }

    /// Reserves memory for a job; `None` if too little is left.
    pub fn reserve(&self, accepted: &record::Accepted) -> Option<Reservation<'_>> {
        let job_bytes = job_memory::job_bytes(accepted);
        let is_admitted = self.gate().admit(job_bytes);
        is_admitted.then(|| Reservation {
            room: self,
            job_bytes,
            may_be_stored: true,
        })
    }
}

impl Reservation<'_> {
    /// Records that the job certainly wasn't stored by this submission.
    pub fn not_stored(&mut self) {
        self.may_be_stored = false;
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.room.gate().ended(self.job_bytes, self.may_be_stored);
    }
}

/// Returns how much memory a leader has left for jobs.
pub fn left(shared: &shared::Shared, leadership: &leadership::Leadership) -> job_memory::Room {
    let open_bytes = leadership.scheduler().open_job_bytes();
    let own_mib = shared.settings().memory_mib;
    shared.job_room.nodes().room(own_mib, open_bytes)
}
