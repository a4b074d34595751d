//! Rounds of decisions: which queued job goes next, and where.
//!
//! Urgent jobs go first, those of the team with the least share before others; then the rest in the same
//! way. A class for which there is no room is passed over for the rest of the round, so that
//! smaller jobs fill what is left.

use std::collections::HashSet;

use super::entry;
use super::live::{Live, Reservation};
use super::{Duty, Event, JobKey};
use crate::clock;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::placement;
use crate::quota;

/// Least time between two rounds for urgent jobs, in milliseconds.
const URGENT_ROUND_MS: u64 = 20;
/// Least time between two rounds for all jobs, in milliseconds.
const ROUND_MS: u64 = 200;
/// Time after which a round is held even if nothing has changed, in milliseconds.
const IDLE_ROUND_MS: u64 = 2 * clock::SECOND_MS;
/// Decisions in one round.
const DECISIONS_MAX: usize = 400;
/// Time that room is kept for a job until others have stopped, in milliseconds.
const RESERVATION_MS: u64 = 4 * clock::SECOND_MS;
/// Distance from the common level of shares, against it, that makes teams give back.
const SHARE_TOLERANCE: f64 = 0.01;
/// Time that a promoted task runs undisturbed, in milliseconds.
const PROMOTED_RUN_MS: u64 = 5 * clock::MINUTE_MS;
/// Rank of urgent work.
const URGENT_RANK: u8 = 2;
/// Cost of displacing a task of the next rank, against one that was displaced once more.
const RANK_COST: f64 = 4.0;

/// Classes for which a round found no room, by rank.
type Blocked = HashSet<(estimate::ClassKey, u8)>;

/// The job that goes next.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: JobKey,
    rank: u8,
    /// Tasks of lower ranks may be displaced for it; age alone gives no such power.
    power: u8,
    /// True if it goes before its team's urgent work because it has waited long.
    promoted: bool,
}

/// A job that asks for others to be displaced.
#[derive(Clone, Copy, Debug)]
struct Asker {
    owner: quota::AccountIndex,
    /// Its team's share with the job.
    share: f64,
    /// The common level of shares.
    level: f64,
    power: u8,
}

impl Asker {
    fn is_below_level(&self) -> bool {
        self.share <= self.level * (1.0 - SHARE_TOLERANCE)
    }
}

/// Which jobs a round serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    Urgent,
    Others,
}

impl Duty {
    /// Holds a round if one is due.
    pub(super) fn round(&mut self) {
        let now = self.now.at;
        if !self.has_quotas || !self.has_usage || self.fleet.is_empty() {
            return;
        }
        let idle = now >= self.round_at.after_ms(IDLE_ROUND_MS);
        if !(self.round_due || idle) || now < self.urgent_at {
            return;
        }
        self.urgent_at = now.after_ms(URGENT_ROUND_MS);
        self.pass(Pass::Urgent);
        if now >= self.round_at {
            self.round_at = now.after_ms(ROUND_MS);
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

    /// The first job of the team with the least share.
    fn next_candidate(&self, pass: Pass, blocked: &Blocked) -> Option<Candidate> {
        let mut best: Option<(f64, Candidate)> = None;
        for team in self.queue.teams() {
            let Some(candidate) = self.first_of(team, pass, blocked) else {
                continue;
            };
            let share = self.ledger.share(self.jobs[candidate.key].owner);
            if best.is_none_or(|(least, _)| share < least) {
                best = Some((share, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// The team's job of the highest rank, the oldest among equals.
    fn first_of(&self, team: &id::Team, pass: Pass, blocked: &Blocked) -> Option<Candidate> {
        let mut best: Option<(Candidate, u64)> = None;
        for ((urgency, class), jobs) in self.queue.lanes(team) {
            let Some((submitted, key)) = jobs.iter().find(|(_, key)| self.jobs[*key].is_settled())
            else {
                continue;
            };
            let candidate = self.candidate(*key);
            let urgent = *urgency == document::Urgency::Urgent || candidate.promoted;
            if urgent != (pass == Pass::Urgent) || blocked.contains(&(*class, candidate.rank)) {
                continue;
            }
            let better = best.is_none_or(|(most, oldest)| {
                candidate.rank > most.rank || (candidate.rank == most.rank && *submitted < oldest)
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
        let crew = self.crews.get(&job.owner).copied().unwrap_or_default();
        let promoted = rank < URGENT_RANK && job.is_overdue(self.now.unix_ms) && crew.may_promote();
        Candidate {
            key,
            rank: if promoted { URGENT_RANK } else { rank },
            power: if promoted { URGENT_RANK } else { job.power() },
            promoted,
        }
    }

    /// Finds a place for one job; false if there is none.
    fn decide(&mut self, candidate: Candidate) -> bool {
        let key = candidate.key;
        if let Some(obstacle) = self.obstacle(key) {
            self.park(key, obstacle.reason, obstacle.fits);
            return true;
        }
        let need = self.need_of(key);
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
            .records
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
            choice = self.fleet.choose_throttled(&request, candidate.power);
        }
        if choice == placement::Choice::NoFit {
            choice = self.choose_displacing(candidate, &request);
        }
        choice
    }

    /// Seeks room among tasks of lower rank and among what other teams have borrowed.
    fn choose_displacing(
        &self,
        candidate: Candidate,
        request: &placement::Request<'_>,
    ) -> placement::Choice {
        let owner = self.jobs[candidate.key].owner;
        let charge = entry::charge_of(&placement::Load::from(request.need));
        let asker = Asker {
            owner,
            share: self.ledger.share_with(owner, &charge),
            level: self.ledger.fair_share(),
            power: candidate.power,
        };
        if asker.power == 0 && !asker.is_below_level() {
            return placement::Choice::NoFit;
        }
        self.fleet
            .choose_displacing(self.now.at, request, |task| self.price(task, &asker))
    }

    /// What it costs to displace a task for another team's job.
    fn price(&self, task: &placement::Task, asker: &Asker) -> placement::Displaceable {
        let cost = 1.0 + f64::from(task.displacements) + RANK_COST * f64::from(task.rank);
        if task.owner == asker.owner {
            return displaceable_if(task.rank < asker.power, cost);
        }
        let left = self
            .ledger
            .share_without(task.owner, &entry::charge_of(&task.load()));
        let above = left >= asker.level * (1.0 + SHARE_TOLERANCE);
        let equal = task.rank < URGENT_RANK || asker.power == URGENT_RANK;
        let gives_back = equal && above && asker.is_below_level();
        let yields = task.rank < asker.power && left >= asker.share.min(asker.level);
        displaceable_if(gives_back || yields, cost)
    }

    /// Places a job: its task starts once the row is committed.
    fn place(
        &mut self,
        candidate: Candidate,
        worker: placement::WorkerKey,
        throttle: Vec<placement::TaskKey>,
    ) {
        let key = candidate.key;
        let need = self.need_of(key);
        let (task, charge) = self.book_task(key, worker, need, candidate.rank);
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
            let until = self.now.at.after_ms(PROMOTED_RUN_MS);
            self.fleet.protect(task, until);
        }
        self.change(key, row::State::Placed(placement), row::Reason::Placed);
        self.set_live(key, live);
    }

    /// Keeps room for a job and stops the tasks that are in its way.
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
        let need = self.need_of(key);
        let (task, charge) = self.book_task(key, worker, need, candidate.rank);
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
            let lower = self.jobs[victim].power() < candidate.power;
            let reason = if lower {
                row::Reason::Displaced
            } else {
                row::Reason::GivenBack
            };
            self.displace(victim, reason);
        }
    }

    /// Stops a job's task by a checkpoint, so that it goes on elsewhere.
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

    /// Places jobs whose room has come free, and gives up those that waited too long for it.
    pub(super) fn settle_reservations(&mut self) {
        let now = self.now.at;
        for key in self.reservations.clone() {
            let Some(reservation) = &self.jobs[key].reservation else {
                continue;
            };
            let worker = reservation.worker;
            let free = reservation
                .victims
                .iter()
                .all(|victim| self.has_left(*victim, worker));
            let late = now >= reservation.until;
            if !(free || late) || !self.jobs[key].is_settled() {
                for victim in reservation.victims.clone() {
                    self.displace_from(victim, worker);
                }
                continue;
            }
            self.drop_reservation(key);
            if free && self.fleet.worker(worker).open {
                self.place(self.candidate(key), worker, Vec::new());
                continue;
            }
            self.queue_if_queued(key);
            self.count(Event::ReservationLapsed);
        }
    }

    /// Stops a task that could not be stopped when its room was promised.
    fn displace_from(&mut self, key: JobKey, worker: placement::WorkerKey) {
        let live = self.jobs.get(key).and_then(|job| job.live.as_ref());
        if live.is_some_and(|live| live.worker == worker) {
            self.displace(key, row::Reason::Displaced);
        }
    }

    /// True if the job's task holds nothing on the worker any more.
    fn has_left(&self, key: JobKey, worker: placement::WorkerKey) -> bool {
        let live = self.jobs.get(key).and_then(|job| job.live.as_ref());
        live.is_none_or(|live| live.worker != worker || live.gone_at.is_some())
    }
}

fn displaceable_if(may: bool, cost: f64) -> placement::Displaceable {
    if may {
        placement::Displaceable::AtCost(cost)
    } else {
        placement::Displaceable::No
    }
}
