//! Machines of the pools: moves after demand, and waves of upkeep.

mod orders;
mod past;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::batch::{pools, rate_limit, waves};
use wasabiloft::id;
use wasabiloft_platform::machines::{Credentials, Machines};
use wasabiloft_platform::{store, upkeep};

use crate::batch::{holding, shared};
use crate::clock;
use crate::log;
use wasabiloft::batch::scheduler::DrainState;

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 150;
/// Kept of the duty's lease before an order for a machine, in milliseconds: an order's way and a node's pause.
const LEASE_MARGIN_MS: u64 = 1_000;
/// Longest wait for the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_500;
/// On top of a machine's time away until a list may show it as back, in milliseconds.
const BACK_SLACK_MS: u64 = 100;
/// Time between two lines about the pools, in milliseconds.
const TELL_MS: u64 = 1_000;

struct Fleet {
    shared: Arc<shared::Shared>,
    holding: Arc<holding::Holding>,
    machines: Arc<Machines>,
    credentials: Credentials,
    forecast: pools::Forecast,
    budget: rate_limit::RateLimiter,
    waves: BTreeMap<u64, waves::Wave>,
    records: BTreeMap<u64, waves::Record>,
    list: Vec<pools::Machine>,
    /// Machines with an order under way, or about to be.
    busy: BTreeSet<id::Vm>,
    /// Orders that wait until they are written down.
    intents: BTreeMap<id::Vm, orders::Intent>,
    /// Where machines were sent, until a list shows them there.
    sent: BTreeMap<id::Vm, id::Service>,
    paused: BTreeMap<id::Vm, wasabiloft::clock::Instant>,
    orders: JoinSet<orders::Answered>,
    told_at: wasabiloft::clock::Instant,
}

/// Cares for the fleet until the duty is over.
pub async fn run(shared: Arc<shared::Shared>, holding: Arc<holding::Holding>) {
    let settings = shared.settings();
    let Some(address) = settings.machines else {
        holding.over.cancelled().await;
        return;
    };
    let past = past::read(&shared, &holding).await;
    let mut fleet = Fleet {
        machines: Arc::new(Machines::new(address)),
        credentials: Credentials {
            leader: settings.node.clone(),
            epoch: holding.epoch,
        },
        forecast: pools::Forecast::new(clock::since_boot()),
        budget: rate_limit::RateLimiter::new(settings.machine_changes_per_s, clock::since_boot()),
        waves: BTreeMap::new(),
        records: past.waves,
        list: Vec::new(),
        busy: BTreeSet::new(),
        sent: BTreeMap::new(),
        paused: past.held,
        intents: BTreeMap::new(),
        orders: JoinSet::new(),
        told_at: wasabiloft::clock::Instant::ZERO,
        shared,
        holding,
    };
    let holding = Arc::clone(&fleet.holding);
    let over = holding.over.clone();
    let mut round = time::interval(Duration::from_millis(ROUND_MS));
    round.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = over.cancelled() => break,
            Some(answer) = fleet.orders.join_next(), if !fleet.orders.is_empty() => {
                if let Ok(answer) = answer {
                    fleet.answered(answer);
                }
            }
            () = holding.cleared.notified() => fleet.send_cleared(),
            _ = round.tick() => fleet.round().await,
        }
    }
    fleet.orders.shutdown().await;
}

impl Fleet {
    /// Whether an order for a machine may go out: this holder's lease covers its way.
    fn may_order(&self) -> bool {
        let lease_ms = self.shared.settings().duty_lease_ms;
        self.holding.since_commit_ms() + LEASE_MARGIN_MS < lease_ms
    }

    async fn round(&mut self) {
        for asked in self.shared.waves() {
            let number = asked.request.number;
            if !self.waves.contains_key(&number) {
                let Some(store_ms) = self.shared.store_now_ms() else {
                    continue;
                };
                let mut record = self.records.remove(&number).unwrap_or_default();
                let now = clock::since_boot();
                if record.asked_ms.is_none() {
                    record.asked_ms = Some(store_ms.saturating_sub(now.since_ms(asked.at)));
                    self.holding.holder().record_wave(number, record.clone());
                }
                let wave =
                    waves::Wave::new(asked.request, record.clone(), record.age_ms(store_ms), now);
                self.waves.insert(number, wave);
            }
        }
        let asked_at = clock::since_boot();
        match self.machines.list().await {
            Ok(list) => self.listed(list, asked_at),
            Err(error) => {
                log::info("fleet", &format!("machines unread reason={error}"));
                return;
            }
        }
        if self.may_order() {
            self.repeat_unanswered();
            let reserved = self.take_for_waves();
            self.follow_demand(&reserved);
        }
        self.tell_operators().await;
    }

    fn listed(&mut self, list: Vec<pools::Machine>, asked_at: wasabiloft::clock::Instant) {
        let settings = self.shared.settings();
        let up: BTreeSet<id::Vm> = list
            .iter()
            .filter(|machine| machine.state == pools::State::Up)
            .map(|machine| machine.vm.clone())
            .collect();
        let away: BTreeSet<id::Vm> = list
            .iter()
            .filter(|machine| machine.state == pools::State::Upkeep)
            .map(|machine| machine.vm.clone())
            .collect();
        let known: BTreeSet<id::Vm> = list.iter().map(|machine| machine.vm.clone()).collect();
        for wave in self.waves.values_mut() {
            wave.on_seen_in_maintenance(&away, asked_at);
            wave.on_seen_up(&up, asked_at, settings.maintenance_ms + BACK_SLACK_MS);
            let gone: Vec<id::Vm> = wave
                .remaining()
                .filter(|vm| !known.contains(*vm))
                .cloned()
                .collect();
            for vm in gone {
                log::info(
                    "fleet",
                    &format!("machine gone vm={vm} wave={}", wave.request.number),
                );
                wave.exclude(&vm);
            }
        }
        for machine in &list {
            if machine.state == pools::State::Up
                && self.sent.get(&machine.vm) == Some(&machine.pool)
            {
                self.sent.remove(&machine.vm);
            }
        }
        self.end_lives(&list);
        self.list = list;
    }

    /// Ends the lives of workers whose machine no longer runs them: crashed, moved, away, or gone.
    fn end_lives(&mut self, list: &[pools::Machine]) {
        let now = clock::since_boot();
        let current: BTreeSet<&id::Worker> = list
            .iter()
            .filter_map(|machine| machine.worker.as_ref())
            .collect();
        let mut holder = self.holding.holder();
        for before in &self.list {
            if let Some(worker) = before.worker.as_ref().filter(|id| !current.contains(id)) {
                holder.incarnation_ended(worker, "machine-without");
            }
        }
        holder.resolve_missing(&current, now);
        drop(holder);
        self.holding.wake.notify_one();
    }

    /// Repeats orders without an answer; the platform takes a repeat as the same.
    fn repeat_unanswered(&mut self) {
        let mut again = Vec::new();
        for (number, wave) in &self.waves {
            for vm in wave.unanswered().filter(|vm| !self.busy.contains(*vm)) {
                again.push((vm.clone(), *number));
            }
        }
        for (vm, wave) in again {
            self.order(&vm, orders::Order::Upkeep { wave });
        }
    }

    /// Begins upkeeps where it does no harm; returns the machines that a wave wants soon.
    fn take_for_waves(&mut self) -> BTreeSet<id::Vm> {
        let now = clock::since_boot();
        let upkeep_ms = self.shared.settings().maintenance_ms;
        let mut reserved = BTreeSet::new();
        let mut go = Vec::new();
        for (number, wave) in &self.waves {
            let mut places = wave.free_slots();
            let hurries = wave.must_drain(now, upkeep_ms);
            let left: BTreeSet<&id::Vm> = wave.remaining().collect();
            let mut due: Vec<(u64, &pools::Machine)> = self
                .list
                .iter()
                .filter(|machine| {
                    left.contains(&machine.vm)
                        && machine.state == pools::State::Up
                        && !self.is_paused(&machine.vm, now)
                })
                .map(|machine| (self.load(machine), machine))
                .collect();
            due.sort_by_key(|(load, _)| *load);
            for (load, machine) in due {
                if places == 0 {
                    break;
                }
                if load == 0 {
                    places -= 1;
                    go.push((machine.vm.clone(), *number));
                } else if hurries {
                    places -= 1;
                    reserved.insert(machine.vm.clone());
                }
            }
        }
        for (vm, wave) in go {
            if self.is_empty(&vm) && self.budget.try_acquire(now) {
                if let Some(wave) = self.waves.get_mut(&wave) {
                    wave.on_command(&vm, now);
                }
                self.order(&vm, orders::Order::Upkeep { wave });
            } else {
                reserved.insert(vm);
            }
        }
        for vm in &reserved {
            self.set_vacating(vm, true);
        }
        reserved
    }

    fn follow_demand(&mut self, reserved: &BTreeSet<id::Vm>) {
        let now = clock::since_boot();
        let Some(size) = self.list.first().map(|machine| machine.size) else {
            return;
        };
        let (demands, spare) = {
            let holder = self.holding.holder();
            (
                holder.demands(&size, now, clock::unix_ms()),
                holder.config().spare_pool().cloned(),
            )
        };
        let mut coming: BTreeMap<id::Service, u32> = BTreeMap::new();
        for to in self.sent.values() {
            *coming.entry(to.clone()).or_default() += 1;
        }
        let mut candidates = Vec::new();
        let list = self.list.clone();
        for machine in &list {
            let away = machine.state != pools::State::Up
                || self.busy.contains(&machine.vm)
                || self.sent.contains_key(&machine.vm);
            if away {
                continue;
            }
            let usage = machine
                .worker
                .as_ref()
                .and_then(|worker| self.holding.holder().usage(worker));
            let off = Some(&machine.pool) == spare.as_ref();
            if usage.is_none() && !off {
                // Its worker isn't in the book yet; it counts as on its way.
                *coming.entry(machine.pool.clone()).or_default() += 1;
                continue;
            }
            let (used, vacating) = usage.unwrap_or_default();
            candidates.push(pools::Candidate {
                machine,
                empty: off || self.is_empty(&machine.vm),
                used,
                draining: vacating,
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
            let has =
                u32::try_from(has).unwrap_or(u32::MAX) + coming.get(service).copied().unwrap_or(0);
            let want = self.forecast.target(service, demand, has, now);
            wanted.insert(service.clone(), (has, want));
        }
        if now.since_ms(self.told_at) >= TELL_MS {
            self.told_at = now;
            tell_pools(&demands, &wanted);
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
            incoming: &coming,
            spare: spare.as_ref(),
        };
        let steps = pools::assign(&candidates, &needs);
        for step in steps {
            match step {
                pools::Action::Drain(vm) => self.set_vacating(&vm, true),
                pools::Action::Undrain(vm) => self.set_vacating(&vm, false),
                pools::Action::Move { vm, to } => {
                    if self.is_empty(&vm) && self.budget.try_acquire(now) {
                        log::info("fleet", &format!("move vm={vm} to={to} wanted={wanted:?}"));
                        self.order(&vm, orders::Order::Move { to });
                    }
                }
            }
        }
    }

    fn is_paused(&self, vm: &id::Vm, now: wasabiloft::clock::Instant) -> bool {
        self.busy.contains(vm) || self.paused.get(vm).is_some_and(|until| now < *until)
    }

    fn machine(&self, vm: &id::Vm) -> Option<&pools::Machine> {
        self.list.iter().find(|machine| machine.vm == *vm)
    }

    fn is_off(&self, machine: &pools::Machine) -> bool {
        self.holding.holder().config().spare_pool() == Some(&machine.pool)
    }

    /// Room in use on a machine, plus one if it isn't empty; 0 for one that can go at once.
    fn load(&self, machine: &pools::Machine) -> u64 {
        if self.is_off(machine) {
            return 0;
        }
        let Some(worker) = &machine.worker else {
            return 1;
        };
        let holder = self.holding.holder();
        match holder.drain_state(worker) {
            DrainState::Empty => 0,
            DrainState::Busy => 1 + holder.usage(worker).map_or(0, |(used, _)| used),
            DrainState::Unknown => u64::MAX,
        }
    }

    /// Stops new tasks on a machine and tells whether nothing runs there; in one step, so that it stays so.
    fn is_empty(&self, vm: &id::Vm) -> bool {
        let Some(machine) = self.machine(vm) else {
            return false;
        };
        if self.is_off(machine) {
            return true;
        }
        let Some(worker) = &machine.worker else {
            return false;
        };
        self.holding.holder().drain_state(worker) == DrainState::Empty
    }

    fn set_vacating(&self, vm: &id::Vm, on: bool) {
        let worker = self.machine(vm).and_then(|machine| machine.worker.as_ref());
        if let Some(worker) = worker {
            self.holding.holder().set_draining(worker, on);
        }
    }

    async fn tell_operators(&mut self) {
        for (number, wave) in &mut self.waves {
            let completed = wave.is_completed();
            if wave.reported_completed || (wave.reported_running && !completed) {
                continue;
            }
            let (name, value) = upkeep::status_row(*number, completed);
            let transaction = store::Transaction {
                writes: vec![(name, value)],
                ..store::Transaction::default()
            };
            match self
                .shared
                .store
                .transact(&transaction, STORE_TIMEOUT_MS)
                .await
            {
                Ok(_) => {
                    wave.reported_running = true;
                    wave.reported_completed = completed;
                    log::info(
                        "fleet",
                        &format!("wave told wave={number} completed={completed}"),
                    );
                }
                Err(error) => log::info(
                    "fleet",
                    &format!("wave untold wave={number} reason={error}"),
                ),
            }
        }
    }
}

/// Logs what the pools have and need.
fn tell_pools(
    demands: &BTreeMap<id::Service, pools::Demand>,
    wanted: &BTreeMap<id::Service, (u32, pools::Target)>,
) {
    for (service, (has, want)) in wanted {
        let demand = demands.get(service).copied().unwrap_or_default();
        log::info(
            "fleet",
            &format!(
                "pool service={service} has={has} need={} keep={} running={} waiting={}",
                want.need, want.retain, demand.running, demand.waiting
            ),
        );
    }
}
