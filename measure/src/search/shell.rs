//! Decisions that the nodes take outside of the library, in the form that the search can call.
//!
//! Follows `node/src/batch`: `watch.rs`, `fleet/mod.rs`, `fleet/commands.rs` and `duty.rs`.

use std::collections::{BTreeMap, BTreeSet};

use wasabiloft::batch::scheduler::{DrainState, Scheduler};
use wasabiloft::batch::{machine_commands, pools, record, waves, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

/// First and longest pause after a poll without a response, in milliseconds.
const POLL_RETRY_MS: (u64, u64) = (40, 400);
/// Remaining time of the duty's lease that a command to a machine requires, in milliseconds.
const LEASE_MARGIN_MS: u64 = 1_000;
/// Length of the duty's lease, in milliseconds.
pub const DUTY_LEASE_MS: u64 = 3_000;
/// Duration of maintenance, in milliseconds.
pub const MAINTENANCE_MS: u64 = 2_000;
/// Time beyond the length of maintenance after which a list can show a machine as back, in milliseconds.
const RETURN_MARGIN_MS: u64 = 100;
/// Time for which a machine gets no new command after a refused change, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 1_000;
/// Time after an outage of the store within which missing entries reappear, in milliseconds.
const ENTRIES_BACK_MS: u64 = 2_500;
/// If the duty's row is unchanged for this long, the leader counts as dead, in milliseconds.
const UNCHANGED_LIMIT_MS: u64 = 800;
/// The same limit while the store is slow, in milliseconds.
const UNCHANGED_LIMIT_SLOW_MS: u64 = 4_000;
/// Response time above which the store counts as slow, in milliseconds.
const SLOW_RESPONSE_MS: u64 = 120;

/// Polls of one worker.
#[derive(Clone, Debug)]
pub struct Poller {
    retry_ms: u64,
}

impl Poller {
    /// Begins to poll.
    pub fn new() -> Self {
        Self {
            retry_ms: POLL_RETRY_MS.0,
        }
    }

    /// Records a response.
    pub fn on_report(&mut self) {
        *self = Self::new();
    }

    /// Returns the pause until the next poll after one without a response, in milliseconds.
    pub fn pause_ms(&mut self) -> u64 {
        let pause_ms = self.retry_ms;
        self.retry_ms = (self.retry_ms * 2).min(POLL_RETRY_MS.1);
        pause_ms
    }
}

/// Trust in removals from the registry.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    trusted_at: Instant,
}

impl Registry {
    /// Records that the registry can be read again.
    pub fn on_outage_end(&mut self, now: Instant) {
        self.trusted_at = now.after_ms(ENTRIES_BACK_MS);
    }

    /// Applies a change of an entry.
    pub fn apply(
        &self,
        scheduler: &mut Scheduler,
        worker: &id::Worker,
        listing: Option<worker_state::Listing>,
        now: Instant,
    ) {
        match listing {
            Some(listing) => scheduler.worker_listed(listing, now),
            None if now >= self.trusted_at => scheduler.worker_unlisted(worker),
            None => {}
        }
    }
}

/// A command to a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Moves the machine to another pool.
    Move { to: id::Service },
    /// Starts the machine's maintenance for a wave.
    Upkeep { wave: u64 },
}

/// The platform's answer to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandOutcome {
    /// The command is done.
    Yes,
    /// The machine is not up.
    Busy,
    /// The machine isn't of this wave.
    NotOfWave,
}

/// A command that waits until its record is committed, or for its answer.
#[derive(Clone, Debug)]
pub struct PendingCommand {
    /// Worker of the machine when the command was begun.
    pub worker: Option<id::Worker>,
    /// The command.
    pub command: Command,
    at: Instant,
}

/// The machines as a leader knows them.
#[derive(Debug, Default)]
pub struct Fleet {
    waves: BTreeMap<u64, waves::Wave>,
    list: Vec<pools::Machine>,
    busy: BTreeSet<id::Vm>,
    pending: BTreeMap<id::Vm, PendingCommand>,
    answered: machine_commands::Answered,
    paused: BTreeMap<id::Vm, Instant>,
}

/// Returns whether a command to a machine can be sent: the remaining lease covers its transmission.
pub fn can_send(since_commit_ms: u64) -> bool {
    since_commit_ms + LEASE_MARGIN_MS < DUTY_LEASE_MS
}

impl Fleet {
    /// Continues from the previous leader's record of commands.
    pub fn recover(commands: &BTreeMap<id::Vm, record::MachineRow>, now: Instant) -> Self {
        let mut fleet = Self::default();
        for (vm, row) in commands {
            let holdoff_ms = machine_commands::holdoff_ms(row.at_ms, now.as_ms(), DUTY_LEASE_MS);
            if holdoff_ms > 0 {
                fleet.paused.insert(vm.clone(), now.after_ms(holdoff_ms));
            }
        }
        fleet
    }

    /// Adds a wave unless it is known.
    pub fn add_wave(
        &mut self,
        request: &waves::Request,
        record: Option<&waves::Record>,
        now: Instant,
    ) {
        self.waves.entry(request.number).or_insert_with(|| {
            waves::Wave::new(request.clone(), record.cloned().unwrap_or_default(), 0, now)
        });
    }

    /// Applies a list of machines that was requested at `requested_at`.
    pub fn apply_list(
        &mut self,
        scheduler: &mut Scheduler,
        list: Vec<pools::Machine>,
        requested_at: Instant,
        now: Instant,
    ) {
        let maintenance_ms = MAINTENANCE_MS + RETURN_MARGIN_MS;
        for wave in self.waves.values_mut() {
            wave.machines_listed(
                &list,
                &pools::Unreadable::default(),
                requested_at,
                maintenance_ms,
            );
        }
        let current: BTreeSet<&id::Worker> = list
            .iter()
            .filter_map(|machine| machine.worker.as_ref())
            .collect();
        scheduler.machines_listed(&current, true, requested_at, now);
        self.list = list;
        for vm in self.answered.machines_listed(&self.list, requested_at) {
            self.set_draining(scheduler, &vm, false);
        }
    }

    /// Begins the commands of a round; `wanted` are machines that demand requires in another pool.
    pub fn round(
        &mut self,
        scheduler: &mut Scheduler,
        wanted: &BTreeMap<id::Vm, id::Service>,
        now: Instant,
    ) {
        self.repeat_unanswered(scheduler, now);
        self.start_maintenance(scheduler, now);
        for (vm, to) in wanted {
            let machine = self.machine(vm);
            let is_due = machine
                .is_some_and(|machine| machine.state == pools::State::Up && machine.pool != *to);
            if !is_due || self.is_paused(vm, now) {
                continue;
            }
            if self.is_empty(scheduler, vm) {
                self.begin_command(scheduler, vm, Command::Move { to: to.clone() }, now);
            } else {
                self.set_draining(scheduler, vm, true);
            }
        }
    }

    fn repeat_unanswered(&mut self, scheduler: &mut Scheduler, now: Instant) {
        let (mut again, mut unknown) = (Vec::new(), Vec::new());
        for (number, wave) in &self.waves {
            for (vm, worker) in wave.unanswered() {
                let Some(machine) = self.machine(vm).filter(|_| !self.busy.contains(vm)) else {
                    continue;
                };
                if machine_commands::may_repeat(worker, machine) {
                    again.push((vm.clone(), *number));
                } else if machine.state == pools::State::Up {
                    unknown.push((vm.clone(), *number));
                }
            }
        }
        for (vm, wave) in again {
            self.begin_command(scheduler, &vm, Command::Upkeep { wave }, now);
        }
        for (vm, number) in unknown {
            if let Some(wave) = self.waves.get_mut(&number) {
                wave.on_outcome_unknown(&vm);
            }
        }
    }

    fn start_maintenance(&mut self, scheduler: &mut Scheduler, now: Instant) {
        let mut ready = Vec::new();
        let mut reserved = Vec::new();
        for (number, wave) in &self.waves {
            let mut free_slots = wave.free_slots();
            let must_drain = wave.must_drain(now, MAINTENANCE_MS);
            let remaining: BTreeSet<&id::Vm> = wave.remaining().collect();
            for machine in &self.list {
                let is_due = remaining.contains(&machine.vm)
                    && machine.state == pools::State::Up
                    && !self.is_paused(&machine.vm, now);
                if !is_due || free_slots == 0 {
                    continue;
                }
                if self.is_empty(scheduler, &machine.vm) {
                    free_slots -= 1;
                    ready.push((machine.vm.clone(), *number));
                } else if must_drain {
                    free_slots -= 1;
                    reserved.push(machine.vm.clone());
                }
            }
        }
        for (vm, number) in ready {
            let worker = self.machine(&vm).and_then(|machine| machine.worker.clone());
            if let Some(wave) = self.waves.get_mut(&number) {
                wave.on_command(&vm, worker.as_ref(), now);
            }
            self.begin_command(scheduler, &vm, Command::Upkeep { wave: number }, now);
        }
        for vm in reserved {
            self.set_draining(scheduler, &vm, true);
        }
    }

    fn begin_command(
        &mut self,
        scheduler: &mut Scheduler,
        vm: &id::Vm,
        command: Command,
        now: Instant,
    ) {
        let worker = self.machine(vm).and_then(|machine| machine.worker.clone());
        if let Some(worker) = &worker {
            scheduler.set_draining(worker, true);
        }
        scheduler.record_machine_command(vm.clone(), now.as_ms());
        self.busy.insert(vm.clone());
        let pending = PendingCommand {
            worker,
            command,
            at: now,
        };
        self.pending.insert(vm.clone(), pending);
    }

    /// Returns the commands to send, whose records have been committed.
    pub fn take_committed(
        &mut self,
        scheduler: &mut Scheduler,
        may_act: bool,
        since_commit_ms: u64,
        now: Instant,
    ) -> Vec<(id::Vm, PendingCommand)> {
        let mut sent = Vec::new();
        for vm in scheduler.take_committed_commands() {
            let Some(pending) = self.pending.remove(&vm) else {
                continue;
            };
            if may_act && can_send(since_commit_ms) && machine_commands::may_send(pending.at, now) {
                sent.push((vm, pending));
            } else {
                self.busy.remove(&vm);
            }
        }
        sent
    }

    /// Handles the answer to a command; `None` if there was none.
    pub fn handle_result(
        &mut self,
        scheduler: &mut Scheduler,
        vm: &id::Vm,
        sent: &PendingCommand,
        outcome: Option<CommandOutcome>,
        now: Instant,
    ) {
        self.busy.remove(vm);
        if outcome == Some(CommandOutcome::Yes)
            && let Some(worker) = &sent.worker
        {
            self.answered.insert(vm.clone(), worker.clone(), now);
        }
        match (&sent.command, outcome) {
            (Command::Move { .. }, Some(CommandOutcome::Yes)) | (Command::Upkeep { .. }, None) => {}
            (Command::Upkeep { wave: number }, Some(CommandOutcome::Yes)) => {
                if let Some(wave) = self.waves.get_mut(number) {
                    wave.on_begun(vm, now);
                    scheduler.record_wave(wave.row(vm));
                }
            }
            (Command::Upkeep { wave }, Some(CommandOutcome::NotOfWave)) => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.exclude(vm);
                }
                self.resume(scheduler, vm, now);
            }
            (Command::Upkeep { wave }, Some(CommandOutcome::Busy)) => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.on_refused(vm);
                }
                self.resume(scheduler, vm, now);
            }
            (Command::Move { .. }, Some(_)) => self.resume(scheduler, vm, now),
            (Command::Move { .. }, None) => {
                let until = now.after_ms(REFUSED_PAUSE_MS);
                self.paused.insert(vm.clone(), until);
            }
        }
    }

    fn resume(&mut self, scheduler: &mut Scheduler, vm: &id::Vm, now: Instant) {
        let until = now.after_ms(REFUSED_PAUSE_MS);
        self.paused.insert(vm.clone(), until);
        self.set_draining(scheduler, vm, false);
    }

    fn is_paused(&self, vm: &id::Vm, now: Instant) -> bool {
        self.busy.contains(vm) || self.paused.get(vm).is_some_and(|until| now < *until)
    }

    fn machine(&self, vm: &id::Vm) -> Option<&pools::Machine> {
        self.list.iter().find(|machine| machine.vm == *vm)
    }

    fn is_empty(&self, scheduler: &Scheduler, vm: &id::Vm) -> bool {
        let worker = self.machine(vm).and_then(|machine| machine.worker.as_ref());
        worker.is_some_and(|worker| scheduler.drain_state(worker) == DrainState::Empty)
    }

    fn set_draining(&self, scheduler: &mut Scheduler, vm: &id::Vm, on: bool) {
        let worker = self.machine(vm).and_then(|machine| machine.worker.as_ref());
        if let Some(worker) = worker {
            scheduler.set_draining(worker, on);
        }
    }
}

/// What a follower knows about the leader besides the duty's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing.
    None,
    /// The leader's process doesn't lead the duty.
    NotLeading,
    /// The leader's address refuses connections.
    Refused,
    /// The leader is alive but can't reach the store, and requests a handover.
    RequestsHandover,
}

/// A follower's next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Check the row again.
    Recheck,
    /// Claim the duty.
    Claim {
        /// Whether the holder that the row names certainly leads no more.
        has_ended: bool,
    },
}

/// Observations of a follower about the leader.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    version: u64,
    since: Instant,
}

impl Follower {
    /// Judges the duty's row, which was read by a call that was sent at `sent_at`.
    pub fn check_row(
        &mut self,
        version: u64,
        is_vacant: bool,
        evidence: Evidence,
        is_known: bool,
        sent_at: Instant,
        now: Instant,
    ) -> Step {
        if is_vacant {
            return Step::Claim { has_ended: true };
        }
        if evidence != Evidence::None && is_known {
            return Step::Claim {
                has_ended: evidence == Evidence::NotLeading,
            };
        }
        if version != self.version {
            self.version = version;
            self.since = now;
            return Step::Recheck;
        }
        let unchanged_ms = if now.since_ms(sent_at) > SLOW_RESPONSE_MS {
            UNCHANGED_LIMIT_SLOW_MS
        } else {
            UNCHANGED_LIMIT_MS
        };
        if sent_at.since_ms(self.since) >= unchanged_ms {
            return Step::Claim { has_ended: false };
        }
        Step::Recheck
    }
}
