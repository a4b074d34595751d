//! Records what workers and callers observe, and checks it against the guarantees of the system.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use super::history::{History, Outcome, Run};
use super::lock;

/// Outcome of submitting a job, as its caller knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Submission {
    /// In progress, or the last attempt got no definite response.
    #[default]
    Uncertain,
    /// A node responded with success.
    Accepted,
    /// Every attempt was refused as not run, and the caller makes no more.
    Refused,
}

#[derive(Clone, Debug, Default)]
struct Job {
    spec: String,
    /// Number of tasks of each step; a step starts after the previous one is done.
    steps: Vec<u32>,
    submission: Submission,
    started: bool,
    /// Account whose quota the job's tasks use, if any.
    account: Option<String>,
}

impl Job {
    /// Returns the CPU that a task takes by the job's spec, in thousandths of a core.
    fn cpu_milli(&self) -> u64 {
        let mut words = self.spec.split(' ');
        let stated = words.find_map(|word| word.strip_prefix("cpu=")?.parse().ok());
        stated.unwrap_or(0)
    }
}

#[derive(Debug, Default)]
struct Inner {
    jobs: BTreeMap<String, Job>,
    /// Running tasks, each with the worker incarnation that runs it.
    running: BTreeMap<String, String>,
    /// Tasks with a run that ended as done.
    done: BTreeSet<String>,
    history: History,
    start_counts: BTreeMap<String, u32>,
    /// CPU quota of each account that has one, in thousandths of a core.
    quotas_milli: BTreeMap<String, u64>,
    violations: BTreeSet<String>,
}

/// Collects the observations of all workers and callers of a platform, and the violations they show.
#[derive(Debug, Default)]
pub struct Checker {
    inner: Mutex<Inner>,
}

/// Returns the job and the step of a task name of the form `job.occurrence.step.index`.
fn parse_task(task: &str) -> Option<(&str, u32)> {
    let mut parse_task = task.split('.');
    let job = parse_task.next()?;
    let step = parse_task.nth(1)?.parse().ok()?;
    Some((job, step))
}

impl Checker {
    /// Records that a caller is about to submit a job.
    pub fn submission_started(&self, job: &str, spec: &str, steps: &[u32]) {
        let entry = Job {
            spec: spec.to_owned(),
            steps: steps.to_vec(),
            ..Job::default()
        };
        lock(&self.inner).jobs.insert(job.to_owned(), entry);
    }

    /// Sets the CPU quota of an account, in thousandths of a core.
    pub fn set_quota(&self, account: &str, cpu_milli: u64) {
        let mut inner = lock(&self.inner);
        inner.quotas_milli.insert(account.to_owned(), cpu_milli);
    }

    /// Records which account a submitted job belongs to.
    pub fn set_account(&self, job: &str, account: &str) {
        if let Some(entry) = lock(&self.inner).jobs.get_mut(job) {
            entry.account = Some(account.to_owned());
        }
    }

    /// Records the outcome of a submission, as its caller knows it.
    pub fn submission_ended(&self, job: &str, submission: Submission) {
        let mut inner = lock(&self.inner);
        let Some(entry) = inner.jobs.get_mut(job) else {
            return;
        };
        entry.submission = submission;
        if submission == Submission::Refused && entry.started {
            let text = format!("job {job} was refused as not run, but a task of it had started");
            inner.violations.insert(text);
        }
    }

    /// Records that a worker started a run by a command with the given fence. If callers announced jobs, the task must
    /// belong to one of them.
    pub fn run_started(&self, run: &Run<'_>, spec: &str, fence: u64) {
        let task = run.task;
        let mut inner = lock(&self.inner);
        *inner.start_counts.entry(task.to_owned()).or_default() += 1;
        inner.history.started(run, fence);
        let violations = inner.start_violations(task, spec);
        inner.violations.extend(violations);
        inner
            .running
            .insert(task.to_owned(), run.incarnation.to_owned());
        let over_quota = inner.over_quota(task);
        inner.violations.extend(over_quota);
        if let Some(job) = parse_task(task).and_then(|(job, _)| inner.jobs.get_mut(job)) {
            job.started = true;
        }
    }

    /// Records a command to stop a run.
    pub fn stop_received(&self, run: &Run<'_>) {
        lock(&self.inner).history.stop_received(run);
    }

    /// Records the end of a run.
    pub fn run_ended(&self, run: &Run<'_>, outcome: Outcome) {
        let mut inner = lock(&self.inner);
        inner.history.ended(run, outcome);
        let on = inner.running.get(run.task);
        if on.is_some_and(|on| on == run.incarnation) {
            inner.running.remove(run.task);
        }
        if outcome == Outcome::Done {
            inner.done.insert(run.task.to_owned());
        }
    }

    /// Names the node that held the duty under a fence, for reports.
    pub fn set_starter(&self, fence: u64, node: &str) {
        lock(&self.inner).history.set_starter(fence, node);
    }

    /// Records a start that brought a worker over its CPU capacity, both in thousandths of a core.
    pub fn capacity_exceeded(
        &self,
        task: &str,
        incarnation: &str,
        cpu_milli: u64,
        capacity_milli: u64,
    ) {
        self.add_violation(format!(
            "task {task} brought {incarnation} to {cpu_milli} of {capacity_milli} thousandths of a core"
        ));
    }

    /// Records that a node acknowledged the end of a run; `lapsed_between` tells whether the worker's lease lapsed after
    /// the end and before the acknowledgement.
    pub fn end_acknowledged(&self, run: &Run<'_>, lapsed_between: bool) {
        let mut inner = lock(&self.inner);
        inner.history.acknowledged(run, lapsed_between);
    }

    /// Records the end of a worker incarnation and of all its runs.
    pub fn incarnation_ended(&self, incarnation: &str) {
        let mut inner = lock(&self.inner);
        inner.history.incarnation_ended(incarnation);
        inner.running.retain(|_, on| on != incarnation);
    }

    /// Checks a job's state that a node reported to a caller.
    pub fn state_reported(&self, job: &str, state: &str) {
        let mut inner = lock(&self.inner);
        let Some(entry) = inner.jobs.get(job) else {
            return;
        };
        let total: u32 = entry.steps.iter().sum();
        let prefix = format!("{job}.");
        let done = inner.done.iter().filter(|task| task.starts_with(&prefix));
        let done = done.count();
        if state == "completed" && done < total as usize {
            let text =
                format!("job {job} was reported as completed with {done} of {total} tasks done");
            inner.violations.insert(text);
        }
    }

    /// Records a violation that another check found.
    pub fn add_violation(&self, text: String) {
        lock(&self.inner).violations.insert(text);
    }

    /// Returns the number of starts of each task.
    pub fn start_counts(&self) -> BTreeMap<String, u32> {
        lock(&self.inner).start_counts.clone()
    }

    /// Returns the number of tasks of a job that are running.
    pub fn running(&self, job: &str) -> usize {
        let prefix = format!("{job}.");
        let inner = lock(&self.inner);
        let running = inner.running.keys();
        running.filter(|task| task.starts_with(&prefix)).count()
    }

    /// Returns the violations found so far, sorted and without duplicates.
    pub fn violations(&self) -> Vec<String> {
        let inner = lock(&self.inner);
        let twice = inner.history.violations();
        let all: BTreeSet<String> = inner.violations.iter().cloned().chain(twice).collect();
        all.into_iter().collect()
    }
}

impl Inner {
    /// Returns a violation if the running tasks, with one that has just started, exceed the quota of their account.
    fn over_quota(&self, task: &str) -> Option<String> {
        let job = |task: &str| self.jobs.get(parse_task(task)?.0);
        let account = job(task)?.account.as_ref()?;
        let quota_milli = *self.quotas_milli.get(account)?;
        let running = self.running.keys().filter_map(|task| job(task));
        let running = running.filter(|job| job.account.as_ref() == Some(account));
        let used_milli: u64 = running.map(Job::cpu_milli).sum();
        (used_milli > quota_milli).then(|| {
            format!(
                "task {task} brought {account} to {used_milli} of {quota_milli} thousandths of a core"
            )
        })
    }

    /// Returns the violations that a start of a task shows.
    fn start_violations(&self, task: &str, spec: &str) -> Vec<String> {
        let mut violations = Vec::new();
        if self.jobs.is_empty() {
            return violations;
        }
        let Some((job, step)) = parse_task(task) else {
            return vec![format!("a task with a malformed name was started: {task}")];
        };
        let Some(entry) = self.jobs.get(job) else {
            violations.push(format!("task {task} of an unknown job was started"));
            return violations;
        };
        if entry.spec != spec {
            violations.push(format!(
                "task {task} was started with a spec other than its job's"
            ));
        }
        if entry.submission == Submission::Refused {
            violations.push(format!(
                "task {task} of a job refused as not run was started"
            ));
        }
        if let Some(previous) = step.checked_sub(1) {
            let tasks = entry.steps.get(previous as usize).copied().unwrap_or(0);
            let ready =
                (0..tasks).all(|index| self.done.contains(&format!("{job}.0.{previous}.{index}")));
            if !ready {
                violations.push(format!(
                    "task {task} was started before step {previous} was done"
                ));
            }
        }
        violations
    }
}
