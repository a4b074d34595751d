//! Workers in the world: ends of tasks, pauses, reboots, maintenance and the baseline.

use wasabiloft::id;
use wasabiloft::job::duty;
use wasabiloft::platform;

use super::truth::Violation;
use super::worker::Ended;
use super::{Event, World};

/// Time that a reboot takes, in milliseconds.
const REBOOT_MS: u64 = 60_000;

impl World {
    /// Takes the ends of tasks into the truth.
    pub(super) fn ended<I>(&mut self, index: usize, ended: I)
    where
        I: IntoIterator<Item = Ended>,
    {
        for end in ended {
            let now_ms = self.now_ms;
            self.report.ended(&end, self.workers[index].is_bad);
            self.truth.ended(&end.job, end.lost_ms);
            if self.settings.policy == super::Policy::FirstFit {
                self.baseline.ended(&end, &self.truth);
            }
            let Some(life) = self.truth.lives.get_mut(&end.job) else {
                continue;
            };
            match end.state {
                platform::TaskState::Checkpointed(_) => life.kept_ms = end.done_ms,
                platform::TaskState::Finished => life.finished_ms = Some(now_ms),
                _ => {}
            }
        }
    }

    /// Ends what is due on a worker and looks when something falls due next.
    pub(super) fn worker_changed(&mut self, index: usize) {
        if self.workers[index].is_paused {
            return;
        }
        let ended = self.workers[index].end_due(self.now_ms);
        self.ended(index, ended);
        let worker = &mut self.workers[index];
        worker.stamp += 1;
        let stamp = worker.stamp;
        if let Some(due_ms) = worker.next_due_ms(self.now_ms) {
            self.schedule_at(due_ms, Event::Worker(index, stamp));
        }
    }

    pub(super) fn worker_due(&mut self, index: usize, stamp: u64) {
        if self.workers[index].stamp == stamp {
            self.worker_changed(index);
        }
    }

    /// Freezes a worker with its tasks.
    pub(super) fn pause_worker(&mut self, index: usize, length_ms: u64) {
        if length_ms > 0 && self.workers[index].state == platform::VmState::Live {
            self.worker_changed(index);
            self.workers[index].is_paused = true;
            let jobs = self.jobs_running(index);
            self.truth.freeze(&jobs);
            self.schedule(length_ms, Event::PauseWorker(index, 0));
        } else if self.workers[index].is_paused {
            let jobs = self.jobs_running(index);
            self.workers[index].resume(self.now_ms);
            self.truth.thaw(&jobs);
            self.worker_changed(index);
            self.truth.check_thawed(&jobs);
        }
    }

    pub(super) fn jobs_running(&self, index: usize) -> Vec<id::Job> {
        let running = self.workers[index].running();
        running.map(|task| task.job.clone()).collect()
    }

    pub(super) fn reboot(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.is_paused || worker.state != platform::VmState::Live {
            return;
        }
        worker.state = platform::VmState::Rebooting;
        let ended = worker.clear(self.now_ms);
        self.ended(index, ended);
        self.schedule(REBOOT_MS, Event::RebootDone(index));
    }

    pub(super) fn reboot_done(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.boots += 1;
        worker.newest_epoch = 0;
        worker.state = platform::VmState::Live;
        if worker.is_vacated {
            self.schedule(0, Event::Release(index));
        }
    }

    pub(super) fn vacate(&mut self, index: usize) {
        let vm = self.workers[index].vm.clone();
        if let Some(holder) = self.current_holder() {
            self.input(holder, duty::Input::Drain(&vm));
        }
    }

    pub(super) fn vacated(&mut self, vm: &id::Vm) {
        let Some(index) = self.worker_index.get(vm).copied() else {
            return;
        };
        if self.workers[index].is_vacated {
            return;
        }
        self.workers[index].is_vacated = true;
        self.report.vacated += 1;
        if let Some(job) = self.jobs_running(index).first() {
            let job = job.clone();
            self.truth.break_invariant(Violation::RanOnVacated { job });
        }
        self.schedule(0, Event::Reboot(index));
    }

    pub(super) fn release(&mut self, index: usize) {
        self.workers[index].is_vacated = false;
        let vm = self.workers[index].vm.clone();
        if let Some(holder) = self.current_holder() {
            self.input(holder, duty::Input::EndDrain(&vm));
        }
    }

    /// Starts what the baseline places.
    pub(super) fn tick_baseline(&mut self) {
        let mut baseline = std::mem::take(&mut self.baseline);
        let mut starts = Vec::new();
        baseline.place(&self.workers, &self.truth, &mut starts);
        self.baseline = baseline;
        for (index, job, task) in starts {
            let now_ms = self.now_ms;
            let life = &self.truth.lives[&job];
            let answer = self.workers[index].start(now_ms, &task, &job, life, u64::MAX / 2);
            if answer == platform::StartAnswer::Started {
                self.report.starts += 1;
                self.truth.started(&job, now_ms);
            } else {
                self.baseline.turned_away(&job);
            }
            self.worker_changed(index);
        }
    }
}
