//! Ended worker incarnations and lapsed leases: their tasks are started elsewhere.

use std::collections::BTreeSet;

use crate::batch::TaskId;
use crate::batch::predecessors;
use crate::batch::record;
use crate::batch::scheduler::release::Release;
use crate::batch::scheduler::{Output, Scheduler, crashes};
use crate::batch::worker_state;
use crate::clock;
use crate::id;

/// Time added to the longest lease plus 2 % for slow clocks, in milliseconds; covers a stop. That long after the
/// previous leader's last command, work on its workers that answer nobody has ended.
const LEASE_EXPIRY_SLACK_MS: u64 = 500;

/// Returns how long a new leader waits, in milliseconds from its beginning, before it takes the workers of previous leaders
/// that answer nobody for lapsed, unless one of them may count on other followers.
pub fn lease_expiry_ms(lease_ms: u64) -> u64 {
    lease_ms * 102 / 100 + LEASE_EXPIRY_SLACK_MS
}

/// How the end of a worker's incarnation was proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// The list of machines doesn't show the worker any more.
    MachineWithout,
    /// Another incarnation answers at its address.
    OtherLife,
    /// It is no longer registered, and all its leases have lapsed.
    LapsedUnlisted,
}

impl IncarnationEnd {
    /// Returns the name that the log gives to the reason.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::MachineWithout => "machine-without",
            Self::OtherLife => "other-life",
            Self::LapsedUnlisted => "lapsed-unlisted",
        }
    }

    /// Returns whether a worker that hadn't announced its stop has crashed.
    fn is_crash(self) -> bool {
        match self {
            Self::MachineWithout | Self::OtherLife => true,
            Self::LapsedUnlisted => false,
        }
    }
}

/// A start with a shorter lease than this isn't worth sending, in milliseconds: two polls that renew it.
const START_LEASE_MIN_MS: u64 = 1_000;

impl Scheduler {
    /// Sets the moment by which all leases have to end, on this process's clock. Without it they have their full length.
    pub fn limit_leases(&mut self, end: clock::Instant) {
        self.leases_end = Some(end);
    }

    /// Returns the length of a lease that begins now on a worker's clock, which may be slow, in milliseconds.
    pub(super) fn lease_ms(&self, now: clock::Instant) -> u64 {
        let left_ms = self.leases_end.map(|end| end.since_ms(now));
        let left_ms = left_ms.map_or(u64::MAX, |left_ms| {
            left_ms * (1_000 - worker_state::CLOCK_LAG_MILLI) / 1_000
        });
        self.settings.lease_ms.min(left_ms)
    }

    /// Returns whether the leader can vouch for what it starts or stops.
    pub(super) fn may_change_runs(&self, now: clock::Instant) -> bool {
        self.lease_ms(now) >= START_LEASE_MIN_MS.min(self.settings.lease_ms)
    }

    /// Handles the proven end of a worker's incarnation: everything that ran on it has ended.
    pub fn incarnation_ended(&mut self, id: &id::Worker, end: IncarnationEnd, now: clock::Instant) {
        if let Some(row) = self.unresolved.remove(id) {
            self.tenure.inherited_ended(&row, now);
        }
        self.orphans.forget_worker(id);
        self.ledger.set_unexpected(id, Vec::new());
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        let reason = end.label();
        // The list can show a move or maintenance before its command is answered; those begin on empty workers.
        let crashed = end.is_crash() && !worker.listing.leaving && !worker.tasks.is_empty();
        self.log(format!(
            "worker gone worker={id} reason={reason} crashed={crashed} tasks={} silent_ms={} unanswered={} listed={} \
             leaving={} lease_left_ms={}",
            worker.tasks.len(),
            now.since_ms(worker.last_response_at),
            worker.unanswered,
            worker.listed,
            worker.listing.leaving,
            worker.lease_left_ms(now)
        ));
        if crashed {
            self.counts.workers_crashed += 1;
            let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
            self.worker_crashed(id, &worker, &tasks, true);
        }
        self.pending_rows.remove_worker(id);
        self.outputs.push(Output::StopPolling(id.clone()));
        self.dirty_services.insert(worker.listing.service.clone());
        for task in &worker.tasks {
            self.counts.lost += 1;
            let survived_ms = self.survived_ms(task, &worker);
            self.log(format!(
                "run lost task={task} worker={id} reason={reason} confirmed={} survived_ms={}",
                survived_ms.is_some(),
                survived_ms.unwrap_or(0)
            ));
            self.release_task(*task, Release::IncarnationEnded(end), now);
        }
    }

    /// Handles the crash of a worker that started again under its id. What its report doesn't list ran before.
    pub(super) fn restarted(&mut self, id: &id::Worker, report: &worker_state::Report) {
        let Some(before) = self.workers.get(id).cloned() else {
            return;
        };
        let listed: BTreeSet<TaskId> = report
            .running
            .iter()
            .map(|run| run.task)
            .chain(report.ended.iter().map(|end| end.task))
            .collect();
        // A run that was never confirmed may be under way to the new incarnation.
        let is_confirmed = |id: &&TaskId| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
            let active = task.and_then(|task| task.active.as_ref());
            active.is_some_and(|active| active.confirmed_at.is_some())
        };
        let lost = before.tasks.difference(&listed).filter(is_confirmed);
        let lost: Vec<TaskId> = lost.copied().collect();
        if !lost.is_empty() {
            self.counts.workers_crashed += 1;
            self.worker_crashed(id, &before, &lost, true);
        }
    }

    /// Begins a new incarnation of a worker, which knows nothing of the earlier one.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &id::Worker,
        report: &worker_state::Report,
        now: clock::Instant,
    ) {
        let lease_max_ms = self.settings.lease_max_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.joined_at = now;
        worker.handled = 0;
        worker.handled_ahead.clear();
        worker.acknowledged = 0;
        let had_lease = worker.lease_until_ms > 0;
        if had_lease {
            // On this incarnation's clock, leases that were granted to the earlier one have their greatest length.
            worker.lease_until_ms = report.clock_ms + lease_max_ms;
        }
        // The new incarnation knows nothing of a stop that the earlier one acknowledged.
        let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
        for task in tasks {
            let job = self.jobs.get_mut(&task.job);
            let task = job.and_then(|job| job.task_mut(&task));
            if let Some(active) = task.and_then(|task| task.active.as_mut()) {
                active.stop_acked_at = None;
            }
        }
        self.orphans.forget_worker(id);
        self.log(format!("worker restarted with the same id worker={id}"));
        if had_lease {
            self.record_restart(id, now);
        }
    }

    /// Returns for how long the active run of a task certainly ran on its worker, in milliseconds: from the worker's
    /// confirmation of the start to its last report. `None` if the start was not confirmed.
    fn survived_ms(&self, id: &TaskId, worker: &worker_state::Worker) -> Option<u64> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        let active = task.active.as_ref()?;
        active.confirmed_at?;
        Some(crashes::at_work_ms(active, worker))
    }

    /// Records that no earlier leader can renew a lease any more; the usual wait for their workers begins.
    pub fn earlier_bounded(&mut self, now: clock::Instant) {
        self.earlier = self.earlier.min(predecessors::Earlier::Lapsing);
        self.earlier_since = now;
    }

    pub(super) fn resolve_expired(&mut self, now: clock::Instant) {
        if self.unresolved.is_empty() {
            return;
        }
        let (lease_ms, lease_max_ms) = (self.settings.lease_ms, self.settings.lease_max_ms);
        let (earlier, waited_ms) = (self.earlier, now.since_ms(self.earlier_since));
        let may_run = |row: &record::WorkerRow| {
            let lease_ms = if row.restarted {
                lease_max_ms
            } else {
                lease_ms
            };
            waited_ms < earlier.wait_ms(lease_ms)
        };
        let lapsed = self.unresolved.extract_if(.., |_, row| !may_run(row));
        let lapsed: Vec<(id::Worker, record::WorkerRow)> = lapsed.collect();
        for (worker, row) in lapsed {
            self.log(format!("worker of previous leader lapsed worker={worker}"));
            self.tenure.inherited_ended(&row, now);
            self.dirty_services.insert(row.service);
            match self.workers.get_mut(&worker) {
                Some(state) => state.restarted_at = row.restarted.then_some(now),
                None => self.pending_rows.remove_worker(&worker),
            }
        }
    }

    /// Writes to a worker's row that it has started again under its id. It gets no tasks before that is committed, as a
    /// successor has to wait for leases of the greatest length.
    pub(super) fn record_restart(&mut self, id: &id::Worker, now: clock::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.restarted_at = Some(now);
        worker.recorded = false;
        let row = record::WorkerRow {
            restarted: true,
            ..record::WorkerRow::new(worker.listing.service.clone())
        };
        self.pending_rows.update_worker(id, row);
    }

    /// Rewrites the rows of workers whose leases on the clock of an earlier incarnation have lapsed. A command of that time
    /// can arrive seconds late, so that they are awaited twice.
    pub(super) fn forget_restarts(&mut self, now: clock::Instant) {
        let wait_ms = 2 * lease_expiry_ms(self.settings.lease_max_ms);
        for (id, worker) in &mut self.workers {
            let is_over = worker
                .restarted_at
                .is_some_and(|at| now.since_ms(at) >= wait_ms);
            if is_over {
                worker.restarted_at = None;
                let row = record::WorkerRow::new(worker.listing.service.clone());
                self.pending_rows.update_worker(id, row);
            }
        }
    }

    /// Records that this process didn't run for `stalled_ms`. That time doesn't count as silence of the workers, whose
    /// reports may wait unread with the ends of their runs.
    pub fn excuse_silence(&mut self, stalled_ms: u64) {
        for worker in self.workers.values_mut() {
            worker.excuse(stalled_ms);
        }
    }

    pub(super) fn expire_leases(&mut self, now: clock::Instant) {
        let lapsed: Vec<id::Worker> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.silent_ms(now) > worker_state::SILENT_MS && worker.is_lapsed(now)
            })
            .filter(|(_, worker)| !worker.tasks.is_empty() || !worker.listed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            if self.unresolved.contains_key(&id) {
                continue;
            }
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            if !worker.listed {
                self.incarnation_ended(&id, IncarnationEnd::LapsedUnlisted, now);
                continue;
            }
            let worker = worker.clone();
            let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
            self.log(format!(
                "worker lapsed worker={id} silent_ms={} tasks={}",
                now.since_ms(worker.last_response_at),
                tasks.len()
            ));
            self.worker_crashed(&id, &worker, &tasks, false);
            for task in tasks {
                self.counts.lost += 1;
                self.log(format!(
                    "run lost task={task} worker={id} reason=lease-lapsed"
                ));
                self.release_task(task, Release::LeaseLapsed, now);
            }
        }
    }
}
