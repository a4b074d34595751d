//! Scheduling rounds: selects the next queued job and its worker.
//!
//! Urgent jobs go first, and among them those of the team with the least share; then all other jobs
//! in the same order. A class that finds no capacity is skipped for the rest of the round, so that
//! smaller jobs can use the remaining capacity.

use std::collections::HashSet;

use super::job;
use super::task::{Live, Reservation};
use super::{Duty, Event, JobKey};
use crate::clock;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::placement;
use crate::quota;

/// Minimum interval between two rounds for urgent jobs, in milliseconds.
const URGENT_ROUND_MS: u64 = 20;
/// Minimum interval between two rounds for all jobs, in milliseconds.
const ROUND_MS: u64 = 200;
/// Interval after which a round runs even if nothing has changed, in milliseconds.
const IDLE_ROUND_MS: u64 = 2 * clock::SECOND_MS;
/// Maximum number of decisions in one pass.
const DECISIONS_MAX: usize = 400;
/// Time for which capacity is reserved for a job until other tasks have stopped, in milliseconds.
const RESERVATION_MS: u64 = 4 * clock::SECOND_MS;
/// Relative distance from the common level of shares beyond which teams return borrowed capacity.
const SHARE_TOLERANCE: f64 = 0.01;
/// Time for which a promoted task cannot be displaced, in milliseconds.
const PROMOTED_PROTECTION_MS: u64 = 5 * clock::MINUTE_MS;
/// Rank of urgent work.
const URGENT_RANK: u8 = 2;
/// Displacement cost of one rank, relative to the cost of one earlier displacement of the task.
const RANK_COST: f64 = 4.0;

/// Classes and ranks for which a round found no capacity.
type Blocked = HashSet<(estimate::ClassKey, u8)>;

/// The job to place next.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: JobKey,
    rank: u8,
    /// Tasks of ranks below this one can be displaced for the job; aging alone does not raise it.
    displaces_below: u8,
    /// True if the job goes before its team's urgent work because it has waited long.
    promoted: bool,
}

/// A job that requests the displacement of other tasks.
#[derive(Clone, Copy, Debug)]
struct Requester {
    owner: quota::AccountIndex,
    /// Share of its team with the job included.
    share: f64,
    /// Common level of shares.
    level: f64,
    displaces_below: u8,
}

impl Requester {
    fn is_below_level(&self) -> bool {
        self.share <= self.level * (1.0 - SHARE_TOLERANCE)
    }
}

/// Jobs that a pass of a round considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    Urgent,
    Others,
}

impl Duty {
    /// Runs a round if one is due.
    pub(super) fn round(&mut self) {
        let now = self.now.at;
        if !self.has_quotas || !self.has_usage || self.fleet.is_empty() {
            return;
        }
        let idle = now >= self.next_round_at.after_ms(IDLE_ROUND_MS);
        if !(self.round_due || idle) || now < self.next_urgent_round_at {
            return;
        }
        self.next_urgent_round_at = now.after_ms(URGENT_ROUND_MS);
        self.pass(Pass::Urgent);
        if now >= self.next_round_at {
            self.next_round_at = now.after_ms(ROUND_MS);
            self.pass(Pass::Others);
            self.round_due = false;
        }
    }

    fn pass(&mut self, pass: Pass) {
        let mut blocked = Blocked::new();
        for _ in 0..DECISIONS_MAX {
            let Some(candidate) = self.next_candidate(pass, &blocked) else {
                return;
            };
            if !self.decide(candidate) {
                let class = self.jobs[candidate.key].class;
                blocked.insert((class, candidate.rank));
            }
        }
        self.round_due = true;
    }

    /// Returns the first job of the team with the least share.
    fn next_candidate(&self, pass: Pass, blocked: &Blocked) -> Option<Candidate> {
        let mut best: Option<(f64, Candidate)> = None;
        for team in self.queue.teams() {
            let Some(candidate) = self.next_of_team(team, pass, blocked) else {
                continue;
            };
            let share = self.quotas.share(self.jobs[candidate.key].owner);
            if best.is_none_or(|(least, _)| share < least) {
                best = Some((share, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Returns the team's job of the highest rank, the oldest one among equals.
    fn next_of_team(&self, team: &id::Team, pass: Pass, blocked: &Blocked) -> Option<Candidate> {
        let mut best: Option<(Candidate, u64)> = None;
        for ((urgency, class), jobs) in self.queue.groups(team) {
            let Some((submitted, key)) = jobs.iter().find(|(_, key)| self.jobs[*key].is_settled())
            else {
                continue;
            };
            let candidate = self.candidate(*key);
            let urgent = *urgency == document::Urgency::Urgent || candidate.promoted;
            if urgent != (pass == Pass::Urgent) || blocked.contains(&(*class, candidate.rank)) {
                continue;
            }
            let better = best.is_none_or(|(current, oldest)| {
                candidate.rank > current.rank
                    || (candidate.rank == current.rank && *submitted < oldest)
            });
            if better {
                best = Some((candidate, *submitted));
            }
        }
        best.map(|(candidate, _)| candidate)
    }

    fn candidate(&self, key: JobKey) -> Candidate {
        let job = &self.jobs[key];
        let rank = job.rank(self.now.unix_ms);
        let counts = self.team_tasks.get(&job.owner).copied().unwrap_or_default();
        let promoted = rank < URGENT_RANK
            && job.is_due_for_promotion(self.now.unix_ms)
            && counts.may_promote();
        Candidate {
            key,
            rank: if promoted { URGENT_RANK } else { rank },
            displaces_below: if promoted {
                URGENT_RANK
            } else {
                job.base_rank()
            },
            promoted,
        }
    }

    /// Places or parks a job, or reserves capacity for it; returns false if there is no capacity.
    fn decide(&mut self, candidate: Candidate) -> bool {
        let key = candidate.key;
        if let Some(unplaceable) = self.unplaceable(key) {
            self.park(key, unplaceable.reason, unplaceable.fits);
            return true;
        }
        let need = self.predicted_need(key);
        match self.choose(candidate, &need) {
            placement::Choice::Fits { worker } => self.place(candidate, worker, Vec::new()),
            placement::Choice::Throttle { worker, tasks } => self.place(candidate, worker, tasks),
            placement::Choice::Displace { worker, tasks } => {
                self.reserve(candidate, worker, &tasks);
            }
            placement::Choice::NoFit => return false,
        }
        true
    }

    fn choose(&self, candidate: Candidate, need: &estimate::Need) -> placement::Choice {
        let job = &self.jobs[candidate.key];
        let failed_on: Vec<placement::WorkerKey> = self
            .worker_records
            .failed_on(&job.id)
            .filter_map(|vm| self.fleet.find(vm))
            .collect();
        let urgent = job.row.spec.urgency == document::Urgency::Urgent;
        let request = placement::Request {
            class: job.class,
            need,
            urgent,
            idempotent: job.row.spec.idempotent,
            failed_on: &failed_on,
        };
        let mut choice = self.fleet.choose_free(&request);
        if urgent && choice == placement::Choice::NoFit {
            choice = self
                .fleet
                .choose_throttled(&request, candidate.displaces_below);
        }
        if choice == placement::Choice::NoFit {
            choice = self.choose_displacing(candidate, &request);
        }
        choice
    }

    /// Looks for capacity among tasks of lower rank and among capacity that other teams have
    /// borrowed.
    fn choose_displacing(
        &self,
        candidate: Candidate,
        request: &placement::Request<'_>,
    ) -> placement::Choice {
        let owner = self.jobs[candidate.key].owner;
        let charge = job::charge_of(&placement::Load::from(request.need));
        let requester = Requester {
            owner,
            share: self.quotas.share_with(owner, &charge),
            level: self.quotas.fair_share(),
            displaces_below: candidate.displaces_below,
        };
        if requester.displaces_below == 0 && !requester.is_below_level() {
            return placement::Choice::NoFit;
        }
        self.fleet.choose_displacing(self.now.at, request, |task| {
            self.displacement_cost(task, &requester)
        })
    }

    /// Returns the cost of displacing a task for the requester's job, if that is allowed.
    fn displacement_cost(
        &self,
        task: &placement::Task,
        requester: &Requester,
    ) -> placement::Displaceable {
        let cost = 1.0 + f64::from(task.displacements) + RANK_COST * f64::from(task.rank);
        if task.owner == requester.owner {
            return displaceable_if(task.rank < requester.displaces_below, cost);
        }
        let remaining_share = self
            .quotas
            .share_without(task.owner, &job::charge_of(&task.load()));
        let above = remaining_share >= requester.level * (1.0 + SHARE_TOLERANCE);
        let rank_allows = task.rank < URGENT_RANK || requester.displaces_below == URGENT_RANK;
        let returns_borrowed = rank_allows && above && requester.is_below_level();
        let preemptible = task.rank < requester.displaces_below
            && remaining_share >= requester.share.min(requester.level);
        displaceable_if(returns_borrowed || preemptible, cost)
    }

    /// Places a job; its task is started once the row is committed.
    fn place(
        &mut self,
        candidate: Candidate,
        worker: placement::WorkerKey,
        throttle: Vec<placement::TaskKey>,
    ) {
        let key = candidate.key;
        let need = self.predicted_need(key);
        let (task, charge) = self.allocate_task(key, worker, need, candidate.rank);
        let vm = self.fleet.worker(worker).vm.clone();
        let boots = self.vms.get(&vm).map_or(0, |status| status.boots);
        let job = &mut self.jobs[key];
        job.row.placements += 1;
        let name = format!("{}.{}", job.id, job.row.placements);
        let placement = row::Placement {
            worker: vm,
            task: id::Task::from(name.as_str()),
            operation: id::Operation::from(format!("start/{name}")),
            epoch: self.settings.epoch,
            boots,
        };
        let mut live = Live::new(task, worker, charge, self.now.at);
        live.throttle = throttle;
        live.promoted = candidate.promoted;
        if candidate.promoted {
            let until = self.now.at.after_ms(PROMOTED_PROTECTION_MS);
            self.fleet.protect(task, until);
        }
        self.change(key, row::State::Placed(placement), row::Reason::Placed);
        self.set_live(key, live);
    }

    /// Reserves capacity for a job and displaces the tasks that occupy it.
    fn reserve(
        &mut self,
        candidate: Candidate,
        worker: placement::WorkerKey,
        tasks: &[placement::TaskKey],
    ) {
        let key = candidate.key;
        let victims: Vec<JobKey> = tasks
            .iter()
            .filter_map(|task| self.fleet.task(*task))
            .filter_map(|task| self.by_id.get(&task.job).copied())
            .collect();
        let need = self.predicted_need(key);
        let (task, charge) = self.allocate_task(key, worker, need, candidate.rank);
        let job = &mut self.jobs[key];
        self.queue.remove(key, job);
        job.reservation = Some(Reservation {
            task,
            worker,
            charge,
            victims: victims.clone(),
            until: self.now.at.after_ms(RESERVATION_MS),
        });
        self.reservations.push(key);
        for victim in victims {
            let lower = self.jobs[victim].base_rank() < candidate.displaces_below;
            let reason = if lower {
                row::Reason::Displaced
            } else {
                row::Reason::GivenBack
            };
            self.displace(victim, reason);
        }
    }

    /// Stops a job's task with a checkpoint, so that the job can continue on another worker.
    pub(super) fn displace(&mut self, key: JobKey, reason: row::Reason) {
        let job = &self.jobs[key];
        let row::State::Placed(placement) = &job.row.state else {
            return;
        };
        let running = job.live.as_ref().filter(|live| live.confirmed);
        if !job.is_settled() || !job.row.spec.is_displaceable() {
            return;
        }
        let Some(task) = running.map(|live| live.task) else {
            return;
        };
        let placement = placement.clone();
        self.change(key, row::State::Stopping(placement), reason);
        self.fleet.set_stopping(task);
    }

    /// Places jobs whose reserved capacity is free and drops reservations that expired.
    pub(super) fn settle_reservations(&mut self) {
        let now = self.now.at;
        for key in self.reservations.clone() {
            let Some(reservation) = &self.jobs[key].reservation else {
                continue;
            };
            let worker = reservation.worker;
            let freed = reservation
                .victims
                .iter()
                .all(|victim| self.has_stopped_on(*victim, worker));
            let expired = now >= reservation.until;
            if !(freed || expired) || !self.jobs[key].is_settled() {
                for victim in reservation.victims.clone() {
                    self.displace_from(victim, worker);
                }
                continue;
            }
            self.drop_reservation(key);
            if freed && self.fleet.worker(worker).open {
                self.place(self.candidate(key), worker, Vec::new());
                continue;
            }
            self.queue_if_queued(key);
            self.count(Event::ReservationLapsed);
        }
    }

    /// Stops a task that could not be stopped when its capacity was reserved.
    fn displace_from(&mut self, key: JobKey, worker: placement::WorkerKey) {
        let live = self.jobs.get(key).and_then(|job| job.live.as_ref());
        if live.is_some_and(|live| live.worker == worker) {
            self.displace(key, row::Reason::Displaced);
        }
    }

    /// Returns true if the job's task no longer uses capacity of the worker.
    fn has_stopped_on(&self, key: JobKey, worker: placement::WorkerKey) -> bool {
        let live = self.jobs.get(key).and_then(|job| job.live.as_ref());
        live.is_none_or(|live| live.worker != worker || live.stopped_at.is_some())
    }
}

fn displaceable_if(allowed: bool, cost: f64) -> placement::Displaceable {
    if allowed {
        placement::Displaceable::AtCost(cost)
    } else {
        placement::Displaceable::No
    }
}
