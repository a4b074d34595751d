//! Machines of the pools: moves them by demand and runs the maintenance waves.

mod commands;
mod list;
mod recovery;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::batch::{list_pause, machine_commands, pools, rate_limit, waves};
use wasabiloft::id;
use wasabiloft_platform::machines::{Credentials, Machines};
use wasabiloft_platform::{store, upkeep};

use crate::batch::{leadership, shared, unreadable};
use crate::clock;
use crate::log;
use wasabiloft::batch::scheduler::DrainState;

/// Remaining time of the duty's lease that a command to a machine requires, in milliseconds; covers the command's
/// transmission and a pause of the node.
const LEASE_MARGIN_MS: u64 = 1_000;
/// Timeout of a call to the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_500;
/// Time beyond the length of maintenance after which a list can show a machine as back, in milliseconds.
const RETURN_MARGIN_MS: u64 = 100;
/// Interval between two log lines about the pools, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

struct Fleet {
    shared: Arc<shared::Shared>,
    leadership: Arc<leadership::Leadership>,
    machines: Arc<Machines>,
    credentials: Credentials,
    forecast: pools::Forecast,
    budget: rate_limit::RateLimiter,
    waves: BTreeMap<u64, waves::Wave>,
    records: BTreeMap<u64, waves::Record>,
    list: Arc<Vec<pools::Machine>>,
    /// Position of each machine in the list.
    positions: HashMap<id::Vm, usize>,
    /// Machines with a command in progress or pending.
    busy: BTreeSet<id::Vm>,
    /// Commands that wait until their records are committed.
    pending: BTreeMap<id::Vm, commands::PendingCommand>,
    /// Commands that were answered as done, until a list shows their effect.
    answered: machine_commands::Answered,
    /// Machines that are about to join a pool.
    arrivals: pools::Arrivals,
    paused: BTreeMap<id::Vm, wasabiloft::clock::Instant>,
    commands: JoinSet<commands::CommandResult>,
    logged_at: wasabiloft::clock::Instant,
    unreadable: unreadable::Unreadable,
}

/// Manages the fleet until the leadership ends.
pub async fn run(shared: Arc<shared::Shared>, leadership: Arc<leadership::Leadership>) {
    let settings = shared.settings();
    let Some(address) = settings.machines else {
        leadership.ended.cancelled().await;
        return;
    };
    let recovered = recovery::read(&shared, &leadership).await;
    let mut fleet = Fleet {
        machines: Arc::new(Machines::new(address)),
        credentials: Credentials {
            leader: settings.node.clone(),
            epoch: leadership.epoch,
        },
        forecast: pools::Forecast::new(clock::since_boot()),
        budget: rate_limit::RateLimiter::new(settings.machine_changes_per_s, clock::since_boot()),
        waves: BTreeMap::new(),
        records: recovered.waves,
        list: Arc::default(),
        positions: HashMap::new(),
        busy: BTreeSet::new(),
        answered: machine_commands::Answered::default(),
        arrivals: pools::Arrivals::new(settings.move_ms),
        paused: recovered.held_off,
        pending: BTreeMap::new(),
        commands: JoinSet::new(),
        logged_at: wasabiloft::clock::Instant::ZERO,
        unreadable: unreadable::Unreadable::new("machines", "fleet"),
        shared,
        leadership,
    };
    let leadership = Arc::clone(&fleet.leadership);
    let ended = leadership.ended.clone();
    let mut next_round = time::Instant::now();
    loop {
        tokio::select! {
            () = ended.cancelled() => break,
            Some(result) = fleet.commands.join_next(), if !fleet.commands.is_empty() => {
                if let Ok(result) = result {
                    fleet.handle_result(result);
                }
            }
            () = leadership.commands_committed.notified() => fleet.send_committed(),
            () = time::sleep_until(next_round) => {
                let pause_ms = fleet.round().await;
                next_round = time::Instant::now() + Duration::from_millis(pause_ms);
            }
        }
    }
    fleet.commands.shutdown().await;
}

impl Fleet {
    /// Returns whether a command to a machine can be sent: the remaining lease covers its transmission.
    fn can_send(&self) -> bool {
        let lease_ms = self.shared.settings().duty_lease_ms;
        self.leadership.may_act() && self.leadership.since_commit_ms() + LEASE_MARGIN_MS < lease_ms
    }

    /// Reads the list of machines and acts on it; returns the pause until the next round, in milliseconds.
    async fn round(&mut self) -> u64 {
        for asked in self.shared.waves() {
            let number = asked.request.number;
            if let Some(wave) = self.waves.get_mut(&number) {
                if wave.request != asked.request {
                    log::info("fleet", &format!("wave changed wave={number}"));
                    wave.change_request(asked.request);
                }
            } else {
                let Some(store_ms) = self.shared.store_now_ms() else {
                    continue;
                };
                let mut record = self.records.remove(&number).unwrap_or_default();
                let now = clock::since_boot();
                let is_new = record.asked_ms.is_none();
                if is_new {
                    record.asked_ms = Some(store_ms.saturating_sub(now.since_ms(asked.at)));
                }
                let age_ms = record.age_ms(store_ms);
                let wave = waves::Wave::new(asked.request, record, age_ms, now);
                if is_new {
                    let row = wave.first_row();
                    self.leadership.scheduler().record_wave(row);
                }
                self.waves.insert(number, wave);
            }
        }
        let requested_at = clock::since_boot();
        let pause_ms = match self.machines.list().await {
            Ok(listing) => {
                let settings = self.shared.settings();
                let pause_ms = list_pause::pause_ms(
                    listing.machines.len() as u64,
                    listing.bytes,
                    settings.cpu_milli,
                    settings.link_kbit_per_s,
                );
                let list_ms = clock::since_boot().since_ms(requested_at);
                log::info(
                    "fleet",
                    &format!(
                        "machines listed count={} list_ms={list_ms} pause_ms={pause_ms}",
                        listing.machines.len()
                    ),
                );
                self.log_unreadable(&listing.warnings);
                self.apply_list(listing.machines, &listing.unreadable, requested_at);
                pause_ms
            }
            Err(error) => {
                log::info("fleet", &format!("cannot list machines reason={error}"));
                return list_pause::PAUSE_MIN_MS;
            }
        };
        if self.can_send() {
            self.repeat_unanswered();
            let reserved = self.start_maintenance();
            self.follow_demand(&reserved);
        }
        self.report_waves().await;
        pause_ms
    }

    /// Repeats commands without a response; the platform treats a repeat as the same command.
    fn repeat_unanswered(&mut self) {
        let (mut again, mut unknown) = (Vec::new(), Vec::new());
        for (number, wave) in &self.waves {
            for (vm, worker) in wave.unanswered() {
                let Some(machine) = self.machine(vm).filter(|_| !self.busy.contains(vm)) else {
                    continue;
                };
                if machine_commands::may_repeat(worker, machine) {
                    again.push((vm.clone(), *number));
                } else if machine.state != pools::State::Unreadable {
                    unknown.push((vm.clone(), *number));
                }
            }
        }
        for (vm, wave) in again {
            self.begin_command(&vm, commands::Command::Upkeep { wave });
        }
        for (vm, number) in unknown {
            log::info(
                "fleet",
                &format!("command outcome unknown vm={vm} wave={number}"),
            );
            if let Some(wave) = self.waves.get_mut(&number) {
                wave.on_outcome_unknown(&vm);
            }
        }
    }

    /// Starts maintenance on machines without tasks; returns the machines that a wave needs soon.
    fn start_maintenance(&mut self) -> BTreeSet<id::Vm> {
        let now = clock::since_boot();
        let maintenance_ms = self.shared.settings().maintenance_ms;
        let mut reserved = BTreeSet::new();
        let mut ready = Vec::new();
        for (number, wave) in &self.waves {
            let mut free_slots = wave.free_slots();
            let must_drain = wave.must_drain(now, maintenance_ms);
            let remaining: BTreeSet<&id::Vm> = wave.remaining().collect();
            let mut due: Vec<(u64, &pools::Machine)> = self
                .list
                .iter()
                .filter(|machine| {
                    remaining.contains(&machine.vm)
                        && machine.state == pools::State::Up
                        && !self.is_paused(&machine.vm, now)
                })
                .map(|machine| (self.load(machine), machine))
                .collect();
            due.sort_by_key(|(load, _)| *load);
            for (load, machine) in due {
                if free_slots == 0 {
                    break;
                }
                if load == 0 {
                    free_slots -= 1;
                    ready.push((machine.vm.clone(), *number));
                } else if must_drain {
                    free_slots -= 1;
                    reserved.insert(machine.vm.clone());
                }
            }
        }
        for (vm, wave) in ready {
            if self.is_empty(&vm) && self.budget.try_acquire(now) {
                let worker = self.machine(&vm).and_then(|machine| machine.worker.clone());
                if let Some(wave) = self.waves.get_mut(&wave) {
                    wave.on_command(&vm, worker.as_ref(), now);
                }
                self.begin_command(&vm, commands::Command::Upkeep { wave });
            } else {
                reserved.insert(vm);
            }
        }
        for vm in &reserved {
            self.set_draining_vm(vm, true);
        }
        reserved
    }

    fn follow_demand(&mut self, reserved: &BTreeSet<id::Vm>) {
        let now = clock::since_boot();
        let Some(size) = pools::reference_size(&self.list) else {
            return;
        };
        let (demands, spare) = {
            let scheduler = self.leadership.scheduler();
            if !self.forecast.knows_earlier() {
                let arrivals = scheduler.earlier_arrivals(&size, clock::unix_ms());
                let jobs: usize = arrivals.values().map(Vec::len).sum();
                log::info("fleet", &format!("earlier arrivals jobs={jobs}"));
                self.forecast.set_earlier(arrivals, now);
            }
            (
                scheduler.demands(&size, now, clock::unix_ms()),
                scheduler.config().spare_pool().cloned(),
            )
        };
        let incoming = self.arrivals.count(now);
        let mut candidates = Vec::new();
        let list = Arc::clone(&self.list);
        for machine in list.iter() {
            let unavailable = machine.state != pools::State::Up
                || self.busy.contains(&machine.vm)
                || self.arrivals.is_moving(&machine.vm);
            if unavailable {
                continue;
            }
            let is_spare_machine = Some(&machine.pool) == spare.as_ref();
            let usage = {
                let scheduler = self.leadership.scheduler();
                let worker = machine.worker.as_ref();
                let worker = worker.filter(|worker| scheduler.has_joined(worker, now));
                worker.and_then(|worker| scheduler.usage(worker))
            };
            if usage.is_none() && !is_spare_machine {
                continue;
            }
            let (used, draining) = usage.unwrap_or_default();
            candidates.push(pools::Candidate {
                machine,
                empty: is_spare_machine || self.is_empty(&machine.vm),
                used,
                draining,
            });
        }
        let mut wanted = BTreeMap::new();
        for (service, demand) in &demands {
            let has = candidates
                .iter()
                .filter(|candidate| {
                    candidate.machine.pool == *service && !reserved.contains(&candidate.machine.vm)
                })
                .count();
            let has = u32::try_from(has).unwrap_or(u32::MAX)
                + incoming.get(service).copied().unwrap_or(0);
            let want = self.forecast.target(service, demand, has, now);
            wanted.insert(service.clone(), (has, want));
        }
        if now.since_ms(self.logged_at) >= LOG_INTERVAL_MS {
            self.logged_at = now;
            log_pools(&demands, &wanted);
        }
        let wanted: BTreeMap<id::Service, pools::Target> = wanted
            .into_iter()
            .map(|(service, (_, want))| (service, want))
            .collect();
        candidates.retain(|candidate| {
            let vm = &candidate.machine.vm;
            !reserved.contains(vm) && !self.is_paused(vm, now)
        });
        let needs = pools::Input {
            targets: &wanted,
            incoming: &incoming,
            spare: spare.as_ref(),
        };
        let steps = pools::assign(&candidates, &needs);
        for step in steps {
            match step {
                pools::Action::Drain(vm) => self.set_draining_vm(&vm, true),
                pools::Action::Undrain(vm) => self.set_draining_vm(&vm, false),
                pools::Action::Move { vm, to } => {
                    if self.is_empty(&vm) && self.budget.try_acquire(now) {
                        log::info("fleet", &format!("move vm={vm} to={to} wanted={wanted:?}"));
                        self.begin_command(&vm, commands::Command::Move { to });
                    }
                }
            }
        }
    }

    fn is_paused(&self, vm: &id::Vm, now: wasabiloft::clock::Instant) -> bool {
        self.busy.contains(vm) || self.paused.get(vm).is_some_and(|until| now < *until)
    }

    fn machine(&self, vm: &id::Vm) -> Option<&pools::Machine> {
        self.list.get(*self.positions.get(vm)?)
    }

    fn is_spare(&self, machine: &pools::Machine) -> bool {
        self.leadership.scheduler().config().spare_pool() == Some(&machine.pool)
    }

    /// Returns the used capacity of a machine, plus one if it isn't empty; 0 for one that can be taken at once.
    fn load(&self, machine: &pools::Machine) -> u64 {
        if self.is_spare(machine) {
            return 0;
        }
        let Some(worker) = &machine.worker else {
            return 1;
        };
        let scheduler = self.leadership.scheduler();
        match scheduler.drain_state(worker) {
            DrainState::Empty => 0,
            DrainState::Busy => 1 + scheduler.usage(worker).map_or(0, |(used, _)| used),
            DrainState::Unknown => u64::MAX,
        }
    }

    /// Stops new tasks on a machine and returns whether nothing runs there, in one step so that no task starts
    /// in between.
    fn is_empty(&self, vm: &id::Vm) -> bool {
        let Some(machine) = self.machine(vm) else {
            return false;
        };
        if self.is_spare(machine) {
            return true;
        }
        let Some(worker) = &machine.worker else {
            return false;
        };
        self.leadership.scheduler().drain_state(worker) == DrainState::Empty
    }

    fn set_draining_vm(&self, vm: &id::Vm, on: bool) {
        let worker = self.machine(vm).and_then(|machine| machine.worker.as_ref());
        if let Some(worker) = worker {
            self.leadership.scheduler().set_draining(worker, on);
        }
    }

    /// Reports the states of waves to operators, each conditional on the state that was read or written last.
    async fn report_waves(&mut self) {
        for (number, wave) in &mut self.waves {
            let Some((status, version)) = wave.due_report() else {
                continue;
            };
            let name = upkeep::status_name(*number);
            let value = match upkeep::encode_status(status) {
                Ok(value) if self.leadership.may_act() => value,
                _ => continue,
            };
            let transaction = store::Transaction {
                checks: vec![(name.clone(), version)],
                writes: vec![(name, value)],
                ..store::Transaction::default()
            };
            let written = self.shared.store.transact(&transaction, STORE_TIMEOUT_MS);
            match written.await {
                Ok(store::CommitOutcome::Applied(version)) => {
                    wave.on_status(status, version);
                    log::info(
                        "fleet",
                        &format!("wave reported wave={number} status={status:?}"),
                    );
                }
                Ok(store::CommitOutcome::CheckFailed(rows)) => {
                    let row = rows.first().filter(|row| !row.removed);
                    let found = row.map(upkeep::decode_status).unwrap_or_default();
                    wave.on_status(found, row.map_or(0, |row| row.version));
                    log::info(
                        "fleet",
                        &format!(
                            "wave not reported wave={number} status={status:?} found={found:?}"
                        ),
                    );
                }
                Err(error) => log::info(
                    "fleet",
                    &format!("wave not reported wave={number} reason={error}"),
                ),
            }
        }
    }
}

/// Logs the machines that each pool has and needs.
fn log_pools(
    demands: &BTreeMap<id::Service, pools::Demand>,
    wanted: &BTreeMap<id::Service, (u32, pools::Target)>,
) {
    for (service, (has, want)) in wanted {
        let demand = demands.get(service).copied().unwrap_or_default();
        log::info(
            "fleet",
            &format!(
                "pool service={service} has={has} need={} keep={} running={} waiting={} late={}",
                want.need, want.retain, demand.running, demand.waiting, demand.late
            ),
        );
    }
}
