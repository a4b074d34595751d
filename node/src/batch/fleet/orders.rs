//! Orders for machines: written down, sent, answered.

use std::sync::Arc;

use wasabiloft::batch::machine_commands;
use wasabiloft::id;
use wasabiloft_platform::machines::ChangeOutcome;

use crate::batch::fleet::Fleet;
use crate::clock;
use crate::log;

/// A machine whose change was refused is left alone for this long, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 1_000;

/// An order for a machine.
#[derive(Clone, Debug)]
pub(super) enum Order {
    /// To another pool.
    Move { to: id::Service },
    /// To the upkeep of a wave.
    Upkeep { wave: u64 },
}

/// An order's answer.
#[derive(Debug)]
pub(super) struct Answered {
    vm: id::Vm,
    worker: Option<id::Worker>,
    order: Order,
    changed: Option<ChangeOutcome>,
}

/// An order that waits until it is written down.
#[derive(Debug)]
pub(super) struct Intent {
    worker: Option<id::Worker>,
    order: Order,
    at: wasabiloft::clock::Instant,
}

impl Fleet {
    /// Begins an order: empties the machine for good, and has the order written down.
    pub(super) fn order(&mut self, vm: &id::Vm, order: Order) {
        let Some(store_ms) = self.shared.store_now_ms() else {
            log::info("fleet", &format!("order not begun vm={vm} reason=no-clock"));
            return;
        };
        let worker = self.machine(vm).and_then(|machine| machine.worker.clone());
        let mut holder = self.holding.holder();
        if let Some(worker) = &worker {
            // From here on nothing may start there, whatever the answer.
            holder.set_draining(worker, true);
        }
        holder.record_machine_command(vm.clone(), store_ms);
        drop(holder);
        self.holding.write.notify_one();
        self.busy.insert(vm.clone());
        let at = clock::since_boot();
        self.intents
            .insert(vm.clone(), Intent { worker, order, at });
    }

    /// Sends orders that have been written down in the meantime.
    pub(super) fn send_cleared(&mut self) {
        let cleared = self.holding.holder().take_committed_commands();
        let now = clock::since_boot();
        for vm in cleared {
            let Some(intent) = self.intents.remove(&vm) else {
                continue;
            };
            if self.may_order() && machine_commands::may_send(intent.at, now) {
                self.send(vm, intent);
            } else {
                // The next round decides anew; an upkeep whose earlier order had no answer is repeated then.
                log::info(
                    "fleet",
                    &format!(
                        "order not sent vm={vm} written_ms={}",
                        now.since_ms(intent.at)
                    ),
                );
                self.busy.remove(&vm);
            }
        }
    }

    fn send(&mut self, vm: id::Vm, intent: Intent) {
        let Intent { worker, order, .. } = intent;
        let machines = Arc::clone(&self.machines);
        let credentials = self.credentials.clone();
        self.orders.spawn(async move {
            let outcome = match &order {
                Order::Move { to } => machines.move_to_pool(&vm, to, &credentials).await,
                Order::Upkeep { wave } => {
                    machines.begin_maintenance(&vm, *wave, &credentials).await
                }
            };
            let changed = match outcome {
                Ok(changed) => Some(changed),
                Err(error) => {
                    log::info("fleet", &format!("order unanswered vm={vm} reason={error}"));
                    None
                }
            };
            Answered {
                vm,
                worker,
                order,
                changed,
            }
        });
    }

    pub(super) fn answered(&mut self, answer: Answered) {
        let now = clock::since_boot();
        log::info(
            "fleet",
            &format!(
                "order answered vm={} order={:?} outcome={:?}",
                answer.vm, answer.order, answer.changed
            ),
        );
        metrics::counter!("wasabiloft_machine_orders_total", "answered" => match answer.changed {
            Some(ChangeOutcome::Yes) => "done",
            Some(_) => "refused",
            None => "unanswered",
        })
        .increment(1);
        self.busy.remove(&answer.vm);
        let done = answer.changed == Some(ChangeOutcome::Yes);
        if done && let Some(worker) = &answer.worker {
            self.holding
                .holder()
                .incarnation_ended(worker, "machine-order");
            self.holding.wake.notify_one();
        }
        match (&answer.order, answer.changed) {
            (Order::Move { to }, Some(ChangeOutcome::Yes)) => {
                self.sent.insert(answer.vm.clone(), to.clone());
            }
            (Order::Upkeep { wave }, Some(ChangeOutcome::Yes)) => {
                self.upkeep_begun(*wave, &answer.vm);
            }
            (
                Order::Upkeep { wave },
                Some(ChangeOutcome::Impossible | ChangeOutcome::NotOfWave),
            ) => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.exclude(&answer.vm);
                }
                self.release(&answer, now);
            }
            (Order::Upkeep { wave }, Some(_)) => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.on_refused(&answer.vm);
                }
                self.release(&answer, now);
            }
            (Order::Move { .. }, Some(_)) => self.release(&answer, now),
            // It may have happened: the machine stays as it is until a repeat or a list tells.
            (Order::Upkeep { .. }, None) => {}
            (Order::Move { .. }, None) => {
                self.paused
                    .insert(answer.vm.clone(), now.after_ms(REFUSED_PAUSE_MS));
            }
        }
        if answer.changed == Some(ChangeOutcome::Fenced) {
            self.holding.over.cancel();
        }
    }

    fn release(&mut self, answer: &Answered, now: wasabiloft::clock::Instant) {
        self.paused
            .insert(answer.vm.clone(), now.after_ms(REFUSED_PAUSE_MS));
        self.set_vacating(&answer.vm, false);
    }

    fn upkeep_begun(&mut self, number: u64, vm: &id::Vm) {
        let now = clock::since_boot();
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        wave.on_begun(vm, now);
        let record = wave.record.clone();
        self.holding.holder().record_wave(number, record);
        self.holding.write.notify_one();
    }
}
