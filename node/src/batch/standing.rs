//! What proves that a leader still leads, and what follows for its leases and commands.

use std::sync::atomic::Ordering;
use std::sync::{MutexGuard, PoisonError};

use wasabiloft::batch::{authority, predecessors};

use crate::batch::{commit, leadership, peers};
use crate::clock;
use crate::log;

impl leadership::Leadership {
    /// Returns what the next commit says of this leader and of those before it.
    pub fn standing(&self) -> commit::Standing {
        let now = clock::since_boot();
        let has_unresolved = self.scheduler().has_unresolved_workers();
        commit::Standing {
            commits_only: self.authority().commits_only(now),
            assumed: self.wait().standing(has_unresolved, self.lease_ms, now),
        }
    }

    /// Records when the newest successful commit was sent, and what it said of this leader.
    pub fn commit_sent(&self, at: wasabiloft::clock::Instant, standing: &commit::Standing) {
        self.committed_ms.store(at.as_ms(), Ordering::Relaxed);
        // A commit that was sent before this process stood still doesn't confirm it.
        self.may_act();
        let regained = self.authority().committed(at, standing.commits_only);
        let has_waited = self.limit_leases();
        if regained {
            log::info("duty", &format!("authority regained epoch={}", self.epoch));
        }
        if regained || has_waited {
            self.wake.notify_one();
        }
    }

    /// Records a heartbeat of a follower, which proves that it hadn't taken over at an earlier moment.
    pub fn follower_heard(
        &self,
        heartbeat: &peers::Heartbeat,
        own_incarnation: u64,
        now: wasabiloft::clock::Instant,
    ) {
        let mut authority = self.authority();
        if heartbeat.relay.is_none() {
            authority.stopped(&heartbeat.node, heartbeat.incarnation);
        } else {
            let confirmed = heartbeat
                .confirms
                .filter(|sent| sent.epoch == self.epoch && sent.incarnation == own_incarnation);
            let confirmed_at =
                confirmed.map(|sent| wasabiloft::clock::Instant::from_ms(sent.sent_ms));
            authority.heard(&heartbeat.node, heartbeat.incarnation, confirmed_at, now);
        }
        drop(authority);
        if heartbeat.relay.is_some() {
            self.follower_left(&heartbeat.left, now);
        }
        self.limit_leases();
    }

    /// Records the epochs of leaders that a follower has left. One that stops may have told them so, and isn't counted on.
    fn follower_left(&self, epochs: &[u64], now: wasabiloft::clock::Instant) {
        if self.wait().left(epochs.iter().copied(), now) {
            log::info(
                "duty",
                &format!(
                    "earlier leaders bounded epoch={} left={epochs:?}",
                    self.epoch
                ),
            );
            self.scheduler().earlier_bounded(now);
            self.wake.notify_one();
        }
    }

    fn wait(&self) -> MutexGuard<'_, predecessors::Wait> {
        self.wait.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the scheduler what proves that this node leads. Returns whether starts may have waited for that.
    pub(super) fn limit_leases(&self) -> bool {
        let authority = self.authority();
        let (leases_end, committed_at) = (
            authority.leases_end(self.lease_ms),
            authority.committed_at(),
        );
        let proof = authority.proof();
        drop(authority);
        let mut scheduler = self.scheduler();
        scheduler.limit_leases(leases_end);
        let has_waited = scheduler.certainly_led(committed_at, clock::since_boot());
        drop(scheduler);
        let previous = std::mem::replace(
            &mut *self.proof.lock().unwrap_or_else(PoisonError::into_inner),
            proof,
        );
        if previous != proof {
            log::info(
                "duty",
                &format!(
                    "leases granted by={proof:?} epoch={} commit_ms={}",
                    self.epoch,
                    self.since_commit_ms()
                ),
            );
        }
        has_waited
    }

    fn authority(&self) -> MutexGuard<'_, authority::Authority> {
        self.authority
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether commands may be sent to workers and machines.
    pub fn may_act(&self) -> bool {
        let mut authority = self.authority();
        let stalled_ms = authority.observe(clock::since_boot());
        let may_act = authority.may_act();
        drop(authority);
        if let Some(stalled_ms) = stalled_ms {
            metrics::counter!("wasabiloft_authority_lost_total").increment(1);
            log::info(
                "duty",
                &format!(
                    "authority lost epoch={} stalled_ms={stalled_ms}",
                    self.epoch
                ),
            );
        }
        may_act
    }
}
