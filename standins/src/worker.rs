//! The workers: tasks under leases, with checkpoint, throttle and stop.

use std::collections::{BTreeMap, HashMap};

use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::platform;

/// How long ended tasks stay listed, in milliseconds.
const ENDED_LISTED_MS: u64 = 300_000;
/// How long a task runs whose command does not say, in milliseconds.
const RUN_DEFAULT_MS: u64 = 1_000;

/// What a call about a task met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done.
    Done,
    /// The duty's epoch is older than one seen before.
    OldEpoch,
    /// No such task runs here.
    Unknown,
}

/// What a task's command asks of the stand-in: `run_ms=N cpu_milli=N memory_mib=N fail`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Command {
    run_ms: u64,
    used: platform::Resources,
    fails: bool,
}

impl Command {
    fn parse(text: &str, declared: platform::Resources) -> Self {
        let mut command = Self {
            run_ms: RUN_DEFAULT_MS,
            used: declared,
            fails: false,
        };
        for word in text.split_whitespace() {
            command.take_word(word);
        }
        command
    }

    fn take_word(&mut self, word: &str) {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        let number = value.parse().ok();
        match (name, number) {
            ("run_ms", Some(number)) => self.run_ms = number,
            ("cpu_milli", Some(number)) => self.used.cpu_milli = number,
            ("memory_mib", Some(number)) => self.used.memory_mib = number,
            ("fail", _) => self.fails = true,
            _ => {}
        }
    }
}

#[derive(Debug)]
struct Task {
    job: id::Job,
    command: Command,
    state: platform::TaskState,
    started_at: clock::Instant,
    ended_at: Option<clock::Instant>,
    lease_until: clock::Instant,
    /// Work done, in milliseconds at full speed; throttled tasks advance at half of it.
    done_ms: u64,
    advanced_at: clock::Instant,
}

impl Task {
    fn runs(&self) -> bool {
        matches!(
            self.state,
            platform::TaskState::Running | platform::TaskState::Throttled
        )
    }

    fn advance(&mut self, now: clock::Instant) {
        let passed_ms = now.since_ms(self.advanced_at);
        self.advanced_at = now;
        self.done_ms += match self.state {
            platform::TaskState::Throttled => passed_ms / 2,
            _ => passed_ms,
        };
    }

    fn end(&mut self, now: clock::Instant, state: platform::TaskState) {
        self.state = state;
        self.ended_at = Some(now);
    }
}

/// One worker.
#[derive(Debug, Default)]
pub struct Worker {
    size: platform::Resources,
    tasks: BTreeMap<id::Task, Task>,
    started: HashMap<id::Operation, platform::StartAnswer>,
    /// True to fail everything it starts.
    pub bad: bool,
    /// Starts that really began a task, by job.
    pub starts: HashMap<id::Job, u32>,
}

impl Worker {
    /// A worker of a size, without tasks.
    pub fn new(size: platform::Resources) -> Self {
        Self {
            size,
            ..Self::default()
        }
    }

    /// Starts a task, unless its operation was seen before or there is no memory left.
    pub fn start(
        &mut self,
        now: clock::Instant,
        start: &platform::StartTask,
        checkpoint_ms: u64,
    ) -> platform::StartAnswer {
        if let Some(answer) = self.started.get(&start.intent.operation) {
            return *answer;
        }
        let command = Command::parse(&start.command, start.declared);
        let answer = if self.has_room(&command) {
            self.begin(now, start, command, checkpoint_ms);
            platform::StartAnswer::Started
        } else {
            platform::StartAnswer::NoRoom
        };
        self.started.insert(start.intent.operation.clone(), answer);
        answer
    }

    fn has_room(&self, command: &Command) -> bool {
        let running = self.tasks.values().filter(|task| task.runs());
        let taken_mib: u64 = running.map(|task| task.command.used.memory_mib).sum();
        taken_mib + command.used.memory_mib <= self.size.memory_mib
    }

    fn begin(
        &mut self,
        now: clock::Instant,
        start: &platform::StartTask,
        command: Command,
        checkpoint_ms: u64,
    ) {
        *self.starts.entry(start.job.clone()).or_default() += 1;
        let mut task = Task {
            job: start.job.clone(),
            command,
            state: platform::TaskState::Running,
            started_at: now,
            ended_at: None,
            lease_until: now.after_ms(start.lease_ms),
            done_ms: checkpoint_ms,
            advanced_at: now,
        };
        if self.bad {
            task.end(now, platform::TaskState::Failed("worker fault".to_owned()));
        }
        self.tasks.insert(start.task.clone(), task);
    }

    /// Renews leases; gives the tasks that do not run here.
    pub fn renew(&mut self, now: clock::Instant, renew: &platform::RenewTasks) -> Vec<id::Task> {
        let mut unknown = Vec::new();
        for name in &renew.tasks {
            match self.tasks.get_mut(name).filter(|task| task.runs()) {
                Some(task) => task.lease_until = now.after_ms(renew.lease_ms),
                None => unknown.push(name.clone()),
            }
        }
        unknown
    }

    /// Stops a task after a checkpoint under the given name; gives the work that it covers, in milliseconds.
    pub fn checkpoint(
        &mut self,
        now: clock::Instant,
        name: &id::Task,
        object: &str,
    ) -> Option<u64> {
        let task = self.tasks.get_mut(name).filter(|task| task.runs())?;
        task.advance(now);
        task.end(now, platform::TaskState::Checkpointed(object.to_owned()));
        Some(task.done_ms)
    }

    /// Slows a task down.
    pub fn throttle(&mut self, now: clock::Instant, name: &id::Task) -> Answer {
        match self.tasks.get_mut(name).filter(|task| task.runs()) {
            Some(task) => {
                task.advance(now);
                task.state = platform::TaskState::Throttled;
                Answer::Done
            }
            None => Answer::Unknown,
        }
    }

    /// Stops a task.
    pub fn stop(&mut self, now: clock::Instant, name: &id::Task) -> Answer {
        match self.tasks.get_mut(name).filter(|task| task.runs()) {
            Some(task) => {
                task.end(now, platform::TaskState::Stopped);
                Answer::Done
            }
            None => Answer::Unknown,
        }
    }

    /// Loses all tasks, as a reboot does; gives how many ran.
    pub fn reboot(&mut self) -> usize {
        let running = self.tasks.values().filter(|task| task.runs()).count();
        self.tasks.clear();
        running
    }

    /// Lets tasks go on, end or lapse.
    pub fn tick(&mut self, now: clock::Instant) {
        for task in self.tasks.values_mut().filter(|task| task.runs()) {
            task.advance(now);
            if task.done_ms >= task.command.run_ms {
                let state = match task.command.fails {
                    true => platform::TaskState::Failed("command failed".to_owned()),
                    false => platform::TaskState::Finished,
                };
                task.end(now, state);
            } else if task.lease_until < now {
                task.end(now, platform::TaskState::LeaseLapsed);
            }
        }
        self.tasks.retain(|_, task| match task.ended_at {
            Some(ended_at) => now.since_ms(ended_at) < ENDED_LISTED_MS,
            None => true,
        });
    }

    /// The use of its tasks.
    pub fn usage(&self, now: clock::Instant) -> Vec<platform::TaskUsage> {
        self.tasks
            .iter()
            .map(|(name, task)| platform::TaskUsage {
                task: name.clone(),
                job: task.job.clone(),
                state: task.state.clone(),
                used: task.command.used,
                age_ms: now.since_ms(task.started_at),
            })
            .collect()
    }
}
