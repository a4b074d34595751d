//! Commands to machines: each is recorded in the store, then sent, and its response is handled.

use std::sync::Arc;

use wasabiloft::batch::machine_commands;
use wasabiloft::id;
use wasabiloft_platform::machines::ChangeOutcome;

use crate::batch::fleet::Fleet;
use crate::clock;
use crate::log;

/// Time for which a machine gets no new command after a refused change, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 1_000;

/// A command to a machine.
#[derive(Clone, Debug)]
pub(super) enum Command {
    /// Moves the machine to another pool.
    Move { to: id::Service },
    /// Starts the machine's maintenance for a wave.
    Upkeep { wave: u64 },
}

/// A command with its response.
#[derive(Debug)]
pub(super) struct CommandResult {
    vm: id::Vm,
    worker: Option<id::Worker>,
    command: Command,
    outcome: Option<ChangeOutcome>,
}

/// A command that waits until its record is committed.
#[derive(Debug)]
pub(super) struct PendingCommand {
    worker: Option<id::Worker>,
    command: Command,
    at: wasabiloft::clock::Instant,
}

impl Fleet {
    /// Begins a command: drains the machine and queues the command's record for the next commit.
    pub(super) fn begin_command(&mut self, vm: &id::Vm, command: Command) {
        let Some(store_ms) = self.shared.store_now_ms() else {
            log::info(
                "fleet",
                &format!("command not begun vm={vm} reason=no-clock"),
            );
            return;
        };
        let worker = self.machine(vm).and_then(|machine| machine.worker.clone());
        let mut scheduler = self.leadership.scheduler();
        if let Some(worker) = &worker {
            // From here on no task can start there, whatever the response is.
            scheduler.set_draining(worker, true);
        }
        scheduler.record_machine_command(vm.clone(), store_ms);
        drop(scheduler);
        self.leadership.write.notify_one();
        self.busy.insert(vm.clone());
        let at = clock::since_boot();
        self.pending.insert(
            vm.clone(),
            PendingCommand {
                worker,
                command,
                at,
            },
        );
    }

    /// Sends the commands whose records have been committed.
    pub(super) fn send_committed(&mut self) {
        let committed = self.leadership.scheduler().take_committed_commands();
        let now = clock::since_boot();
        for vm in committed {
            let Some(pending) = self.pending.remove(&vm) else {
                continue;
            };
            if self.can_send() && machine_commands::may_send(pending.at, now) {
                self.send(vm, pending);
            } else {
                // The next round decides again; it also repeats a maintenance command that got no response.
                log::info(
                    "fleet",
                    &format!(
                        "command not sent vm={vm} written_ms={}",
                        now.since_ms(pending.at)
                    ),
                );
                self.busy.remove(&vm);
            }
        }
    }

    fn send(&mut self, vm: id::Vm, pending: PendingCommand) {
        let PendingCommand {
            worker, command, ..
        } = pending;
        let machines = Arc::clone(&self.machines);
        let credentials = self.credentials.clone();
        self.commands.spawn(async move {
            let outcome = match &command {
                Command::Move { to } => machines.move_to_pool(&vm, to, &credentials).await,
                Command::Upkeep { wave } => {
                    machines.begin_maintenance(&vm, *wave, &credentials).await
                }
            };
            let outcome = match outcome {
                Ok(outcome) => Some(outcome),
                Err(error) => {
                    log::info(
                        "fleet",
                        &format!("command got no response vm={vm} reason={error}"),
                    );
                    None
                }
            };
            CommandResult {
                vm,
                worker,
                command,
                outcome,
            }
        });
    }

    pub(super) fn handle_result(&mut self, result: CommandResult) {
        let now = clock::since_boot();
        log::info(
            "fleet",
            &format!(
                "command completed vm={} order={:?} outcome={:?}",
                result.vm, result.command, result.outcome
            ),
        );
        metrics::counter!("wasabiloft_machine_orders_total", "answered" => match result.outcome {
            Some(ChangeOutcome::Yes) => "done",
            Some(_) => "refused",
            None => "unanswered",
        })
        .increment(1);
        self.busy.remove(&result.vm);
        let done = result.outcome == Some(ChangeOutcome::Yes);
        if done && let Some(worker) = &result.worker {
            self.answered.insert(result.vm.clone(), worker.clone(), now);
        }
        match (&result.command, result.outcome) {
            (Command::Move { to }, Some(ChangeOutcome::Yes)) => {
                self.arrivals
                    .move_answered(result.vm.clone(), to.clone(), now);
            }
            (Command::Upkeep { wave }, Some(ChangeOutcome::Yes)) => {
                self.maintenance_begun(*wave, &result.vm);
            }
            (
                Command::Upkeep { wave },
                Some(ChangeOutcome::Impossible | ChangeOutcome::NotOfWave),
            ) => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.exclude(&result.vm);
                }
                self.resume(&result, now);
            }
            (Command::Upkeep { wave }, Some(_)) => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.on_refused(&result.vm);
                }
                self.resume(&result, now);
            }
            (Command::Move { .. }, Some(_)) => self.resume(&result, now),
            // The change may have happened: the machine stays as it is until a repeated command or a list shows its
            // state.
            (Command::Upkeep { .. }, None) => {}
            (Command::Move { .. }, None) => {
                self.paused
                    .insert(result.vm.clone(), now.after_ms(REFUSED_PAUSE_MS));
            }
        }
        if result.outcome == Some(ChangeOutcome::Fenced) {
            self.leadership.ended.cancel();
        }
    }

    fn resume(&mut self, result: &CommandResult, now: wasabiloft::clock::Instant) {
        self.paused
            .insert(result.vm.clone(), now.after_ms(REFUSED_PAUSE_MS));
        self.set_draining_vm(&result.vm, false);
    }

    fn maintenance_begun(&mut self, number: u64, vm: &id::Vm) {
        let now = clock::since_boot();
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        wave.on_begun(vm, now);
        let row = wave.row(vm);
        self.leadership.scheduler().record_wave(row);
        self.leadership.write.notify_one();
    }
}
