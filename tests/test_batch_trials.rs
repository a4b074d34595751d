//! Trials of tasks that may crash their workers: they neither wait for ever nor keep others waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wasabiloft::batch::scheduler::{
    IncarnationEnd, Output, RecoveredState, Scheduler, StartOutcome,
};
use wasabiloft::batch::{JobId, TaskId, queue, record, spec, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::fake_workers::{SERVICE, accepted, config, listing, settings, step};

const OTHER: &str = "other";
const STEP_MS: u64 = 10;
/// The longest time for which a task may wait while there is room for it, in milliseconds.
const WAIT_MAX_MS: u64 = 3_000;

/// A scheduler beside workers that confirm each start at once and answer polls every 50 ms.
struct Bench {
    scheduler: Scheduler,
    now_ms: u64,
    running: BTreeMap<id::Worker, Vec<(TaskId, u32)>>,
    /// Jobs whose starts get no answer and are in no report.
    unconfirmed: BTreeSet<JobId>,
}

impl Bench {
    fn new(workers: Vec<worker_state::Listing>) -> Self {
        let mut config = (*config()).clone();
        let service = queue::Service {
            enforces_capacity: true,
            spare: false,
        };
        config.services.insert(id::Service::new(OTHER), service);
        let now = Instant::from_ms(1_000);
        let rows = RecoveredState::default();
        let mut bench = Self {
            scheduler: Scheduler::new(settings(), 1, Arc::new(config), rows, now),
            now_ms: now.as_ms(),
            running: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
        };
        for worker in workers {
            bench.add_worker(worker);
        }
        bench.run(100);
        bench
    }

    fn add_worker(&mut self, worker: worker_state::Listing) {
        self.running.insert(worker.worker.clone(), Vec::new());
        let now = Instant::from_ms(self.now_ms);
        self.scheduler.worker_listed(worker, now);
    }

    fn submit(&mut self, id: u64, service: &str, step: spec::Step) {
        let mut job = accepted(vec![step], 3);
        job.queue.service = id::Service::new(service);
        self.submit_job(id, job);
    }

    fn submit_job(&mut self, id: u64, job: record::Accepted) {
        let now = Instant::from_ms(self.now_ms);
        self.scheduler.job_accepted(JobId(id), job, now);
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            let batch = self.scheduler.take_batch();
            self.scheduler.batch_committed(&batch);
            if self.now_ms.is_multiple_of(50) {
                self.poll();
            }
            let now = Instant::from_ms(self.now_ms);
            self.scheduler.plan(now, self.now_ms);
            for output in self.scheduler.take_outputs() {
                self.carry_out(output);
            }
        }
    }

    fn poll(&mut self) {
        let now = Instant::from_ms(self.now_ms);
        for (worker, runs) in &self.running {
            let reported = runs
                .iter()
                .filter(|(task, _)| !self.unconfirmed.contains(&task.job));
            let running = reported.map(|(task, run)| worker_state::Run {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: 100,
                usage: 0,
            });
            let report = worker_state::Report {
                clock_ms: self.now_ms,
                started_unix_ms: Some(1),
                running: running.collect(),
                ended: Vec::new(),
            };
            self.scheduler.next_poll(worker, now).expect("a poll");
            let sent_at = Instant::from_ms(self.now_ms - 1);
            self.scheduler
                .poll_answered(worker, &report, sent_at, now, self.now_ms);
        }
        self.scheduler.tick(now, self.now_ms);
    }

    fn carry_out(&mut self, output: Output) {
        let now = Instant::from_ms(self.now_ms);
        match output {
            Output::Start(start) => {
                let runs = self.running.entry(start.worker.clone()).or_default();
                runs.push((start.task, start.run));
                if !self.unconfirmed.contains(&start.task.job) {
                    let outcome = StartOutcome::Started;
                    self.scheduler.start_answered(
                        &start.worker,
                        start.task,
                        start.run,
                        outcome,
                        now,
                    );
                }
            }
            Output::RequestTickets { task, workers } => {
                let allowed = workers
                    .iter()
                    .map(|worker| (worker.clone(), "ticket".to_owned()))
                    .collect();
                let answer = Some((allowed, 2_000));
                self.scheduler
                    .tickets_received(&task, &workers, answer, now);
            }
            _ => {}
        }
    }

    fn crash(&mut self, worker: &id::Worker) {
        self.running.remove(worker);
        self.scheduler.incarnation_ended(
            worker,
            IncarnationEnd::MachineWithout,
            Instant::from_ms(self.now_ms),
        );
    }

    fn place(&self, job: u64) -> Option<id::Worker> {
        let mut workers = self.running.iter();
        let place = workers.find(|(_, runs)| runs.iter().any(|(task, _)| task.job == JobId(job)));
        place.map(|(worker, _)| worker.clone())
    }

    /// Crashes the worker on which a job runs.
    fn crash_under(&mut self, job: u64) -> id::Worker {
        let worker = self.place(job).expect("the job runs");
        self.crash(&worker);
        worker
    }

    /// Runs until a job runs somewhere, and returns how long that took, in milliseconds.
    fn wait_for(&mut self, job: u64) -> u64 {
        let began_ms = self.now_ms;
        while self.place(job).is_none() && self.now_ms < began_ms + 2 * WAIT_MAX_MS {
            self.run(STEP_MS);
        }
        self.now_ms - began_ms
    }
}

fn long_running(cores: u64) -> spec::Step {
    let mut step = step(1, &[]);
    step.long_running = true;
    step.need.cpu_milli = cores * 1_000;
    step
}

/// A worker in no known rack, so that no rack can go dark.
fn worker(name: &str, service: &str) -> worker_state::Listing {
    worker_state::Listing {
        service: id::Service::new(service),
        rack: None,
        ..listing(name)
    }
}

fn workers(count: usize) -> Vec<worker_state::Listing> {
    (0..count)
        .map(|number| worker(&format!("w{number}"), SERVICE))
        .collect()
}

/// Guards against LOST: trials of another service used up the number of trials that this service allows.
#[test]
fn trials_of_another_service_delay_none_here() {
    let mut list = workers(6);
    list.extend([worker("o1", OTHER), worker("o2", OTHER)]);
    let mut bench = Bench::new(list);
    bench.submit(1, SERVICE, long_running(1));
    for _ in 0..2 {
        bench.run(900);
        bench.crash_under(1);
    }
    bench.run(50);
    assert!(bench.place(1).is_some(), "tried for 2 s");
    bench.submit(2, OTHER, long_running(1));
    bench.run(20);
    bench.crash_under(2);
    let waited_ms = bench.wait_for(2);
    assert!(
        waited_ms <= 200,
        "waited {waited_ms} ms beside an empty worker"
    );
}

/// Guards against LOST: a suspect task of a queue with a policy asked for no tickets.
#[test]
fn a_suspect_task_asks_for_tickets() {
    let mut bench = Bench::new(workers(2));
    let mut job = accepted(vec![long_running(4)], 3);
    job.queue.advice = Some(queue::Advice {
        base_ms: 10,
        per_worker_ms: 1,
        valid_ms: 2_000,
    });
    bench.submit_job(1, job);
    bench.run(50);
    let first = bench.crash_under(1);
    let names = ["w0", "w1"].map(id::Worker::new);
    let other = names.iter().find(|name| **name != first).expect("two");
    bench.crash(other);
    bench.run(50);
    bench.add_worker(worker("w2", SERVICE));
    let waited_ms = bench.wait_for(1);
    assert!(waited_ms <= WAIT_MAX_MS, "waited {waited_ms} ms");
}

/// Guards against LOST: a worker was kept for a trial for which it never has room.
#[test]
fn no_worker_is_withheld_for_a_task_that_will_not_fit() {
    let mut bench = Bench::new(workers(2));
    bench.submit(1, SERVICE, long_running(2));
    bench.run(1_000);
    bench.submit(2, SERVICE, long_running(4));
    bench.run(20);
    bench.crash_under(2);
    bench.run(1_000);
    assert!(bench.place(2).is_none(), "fits nowhere");
    bench.submit(3, SERVICE, long_running(1));
    let waited_ms = bench.wait_for(3);
    assert!(
        waited_ms <= WAIT_MAX_MS,
        "waited {waited_ms} ms beside room"
    );
}

/// Guards against LOST: a trial of a task that had survived for long kept its worker from all others.
#[test]
fn a_trial_leaves_its_worker_to_others_in_time() {
    let mut bench = Bench::new(workers(3));
    bench.submit(1, SERVICE, long_running(1));
    for _ in 0..2 {
        bench.run(4_000);
        bench.crash_under(1);
    }
    bench.run(50);
    assert!(bench.place(1).is_some());
    bench.submit(3, SERVICE, long_running(1));
    let waited_ms = bench.wait_for(3);
    assert!(
        waited_ms <= WAIT_MAX_MS,
        "waited {waited_ms} ms beside room"
    );
}

/// Guards against BUDGET: crashes that other jobs explain left more starts than the limit allows.
#[test]
fn explained_crashes_leave_no_further_starts() {
    let mut bench = Bench::new(workers(2));
    let mut crashes = 0;
    let mut names = (2..).map(|number| format!("w{number}"));
    bench.submit(9, SERVICE, step(1, &[]));
    for other in [3, 4] {
        bench.submit(other, SERVICE, step(1, &[]));
        bench.run(10);
        let shared = bench.place(9);
        assert_eq!(shared, bench.place(other), "share a worker");
        bench.crash_under(9);
        crashes += 1;
        bench.wait_for(other);
        if bench.place(other) != bench.place(9) {
            bench.crash_under(other);
        }
        for name in names.by_ref().take(2) {
            bench.add_worker(worker(&name, SERVICE));
        }
        bench.wait_for(9);
    }
    bench.unconfirmed.insert(JobId(9));
    let mut starts_after_third = 0;
    for name in names.by_ref().take(8) {
        if bench.wait_for(9) > WAIT_MAX_MS {
            break;
        }
        starts_after_third += u32::from(crashes >= 3);
        crashes += 1;
        bench.crash_under(9);
        bench.add_worker(worker(&name, SERVICE));
    }
    assert!(starts_after_third <= 2, "{crashes} crashes");
}

/// Guards against BUDGET: crashes that only the lapse of the leases showed weren't counted.
#[test]
fn workers_that_fall_silent_under_a_task_count() {
    let mut bench = Bench::new(workers(10));
    bench.submit(1, SERVICE, long_running(1));
    bench.run(20);
    let mut crashes = 0;
    while let Some(worker) = bench.place(1) {
        crashes += 1;
        assert!(crashes <= 5, "{crashes} workers fell silent");
        bench.running.remove(&worker);
        bench.scheduler.poll_failed(&worker);
        bench.wait_for(1);
        bench.run(20);
    }
    let state = bench.scheduler.job_state(JobId(1));
    assert_eq!(state, Some(record::State::Failed));
}

/// Guards against a job given up after one crash: its first start was never confirmed.
#[test]
fn a_start_that_was_never_confirmed_is_no_crash() {
    let mut bench = Bench::new(workers(3));
    bench.unconfirmed.insert(JobId(1));
    bench.submit(1, SERVICE, long_running(4));
    bench.run(10);
    bench.crash_under(1);
    bench.unconfirmed.clear();
    bench.run(10);
    bench.crash_under(1);
    bench.run(50);
    let state = bench.scheduler.job_state(JobId(1));
    assert_ne!(state, Some(record::State::Failed), "one worker crashed");
}

/// Guards against LOST: a suspect task with a label waited, as only workers without the label were kept for trials.
#[test]
fn a_suspect_task_with_a_label_is_tried_on_a_labelled_worker() {
    let mut list = workers(3);
    for name in ["a", "b"] {
        let mut labelled = worker(name, SERVICE);
        labelled.labels.push("accelerated".into());
        list.push(labelled);
    }
    let mut bench = Bench::new(list);
    let mut step = long_running(1);
    step.label = Some("accelerated".into());
    step.need = Resources {
        cpu_milli: 4_000,
        ..step.need
    };
    bench.submit(1, SERVICE, step);
    bench.run(20);
    bench.crash_under(1);
    let waited_ms = bench.wait_for(1);
    assert!(waited_ms <= WAIT_MAX_MS, "waited {waited_ms} ms");
}
