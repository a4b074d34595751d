//! The runs of all workers, and the tasks that ran twice (rule TWICE).

use std::collections::BTreeMap;
use std::fmt;

use tokio::time;

/// A run of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run<'a> {
    /// Name of the task.
    pub task: &'a str,
    /// Number of the run.
    pub run: u32,
    /// The worker's incarnation.
    pub incarnation: &'a str,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It finished its work.
    Done,
    /// It failed by its own fault.
    Failed,
    /// A command stopped it.
    Stopped,
    /// The worker's lease lapsed.
    Lapsed,
    /// The worker's incarnation ended.
    WorkerEnded,
}

impl Outcome {
    /// Returns the platform's name for the outcome.
    pub fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::WorkerEnded => "worker-ended",
        }
    }
}

/// What is known of a run. Events are numbered in their order of all runs; `at_ms` is only for reports.
#[derive(Clone, Debug)]
struct Record {
    run: u32,
    incarnation: String,
    /// Fence of the command that started it, which is the epoch of the leader that sent the command.
    fence: u64,
    started: Event,
    /// First command to stop it.
    stopped: Option<Event>,
    ended: Option<(Outcome, Event)>,
    /// When a node acknowledged the end, unless the worker's lease lapsed before that.
    noted: Option<Event>,
}

/// Position of an event in the order of all, and its time since the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Event {
    number: u64,
    at_ms: u128,
}

/// Two runs of a task that break the rule.
#[derive(Clone, Debug)]
struct Pair<'a> {
    task: &'a str,
    first: &'a Record,
    second: &'a Record,
    starters: &'a BTreeMap<u64, String>,
}

/// How a run that was followed by another went on, to tell causes apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signature {
    /// It was stopped afterwards, and a node acknowledged its end.
    StoppedAndNoted,
    /// It was never stopped, and no node acknowledged its end.
    NeitherStoppedNorNoted,
    /// It goes on.
    Running,
    /// Another sequence.
    Other,
}

impl Signature {
    fn label(self) -> &'static str {
        match self {
            Self::StoppedAndNoted => "stopped-and-noted",
            Self::NeitherStoppedNorNoted => "neither-stopped-nor-noted",
            Self::Running => "running",
            Self::Other => "other",
        }
    }
}

/// All runs, in the order of their starts.
#[derive(Debug)]
pub struct History {
    tasks: BTreeMap<String, Vec<Record>>,
    /// Names of the nodes that held the duty under each fence.
    starters: BTreeMap<u64, String>,
    events: u64,
    began_at: time::Instant,
}

impl Default for History {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            starters: BTreeMap::new(),
            events: 0,
            began_at: time::Instant::now(),
        }
    }
}

impl History {
    fn next_event(&mut self) -> Event {
        self.events += 1;
        Event {
            number: self.events,
            at_ms: self.began_at.elapsed().as_millis(),
        }
    }

    fn find(&mut self, run: &Run<'_>) -> Option<&mut Record> {
        let records = self.tasks.get_mut(run.task)?.iter_mut().rev();
        let mut records =
            records.filter(|record| record.run == run.run && record.incarnation == run.incarnation);
        records.next()
    }

    /// Names the node that held the duty under a fence.
    pub fn set_starter(&mut self, fence: u64, node: &str) {
        self.starters.insert(fence, node.to_owned());
    }

    /// Records a start by a command with the given fence.
    pub fn started(&mut self, run: &Run<'_>, fence: u64) {
        let record = Record {
            run: run.run,
            incarnation: run.incarnation.to_owned(),
            fence,
            started: self.next_event(),
            stopped: None,
            ended: None,
            noted: None,
        };
        let records = self.tasks.entry(run.task.to_owned()).or_default();
        records.push(record);
    }

    /// Records a command to stop a run.
    pub fn stop_received(&mut self, run: &Run<'_>) {
        let event = self.next_event();
        if let Some(record) = self.find(run) {
            record.stopped.get_or_insert(event);
        }
    }

    /// Records the end of a run.
    pub fn ended(&mut self, run: &Run<'_>, outcome: Outcome) {
        let event = self.next_event();
        if let Some(record) = self.find(run) {
            record.ended.get_or_insert((outcome, event));
        }
    }

    /// Records that a node acknowledged the end of a run. The rule disregards an acknowledgement if the worker's lease
    /// lapsed between the end and it.
    pub fn acknowledged(&mut self, run: &Run<'_>, lapsed_between: bool) {
        let event = self.next_event();
        if let Some(record) = self.find(run).filter(|_| !lapsed_between) {
            record.noted.get_or_insert(event);
        }
    }

    /// Records the end of all runs of a worker's incarnation.
    pub fn incarnation_ended(&mut self, incarnation: &str) {
        let event = self.next_event();
        let records = self.tasks.values_mut().flatten();
        for record in records.filter(|record| record.incarnation == incarnation) {
            record.ended.get_or_insert((Outcome::WorkerEnded, event));
        }
    }

    /// Describes each pair of runs of a task that overlap, and each start after an end as done that was acknowledged.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (task, records) in &self.tasks {
            for (number, second) in records.iter().enumerate() {
                let breaks = |first: &&Record| breaks_rule(first, second);
                found.extend(records[..number].iter().filter(breaks).map(|first| {
                    let pair = Pair {
                        task,
                        first,
                        second,
                        starters: &self.starters,
                    };
                    pair.to_string()
                }));
            }
        }
        found
    }
}

/// Returns whether a later run of the same task breaks the rule.
fn breaks_rule(first: &Record, second: &Record) -> bool {
    match first.ended {
        None => true,
        Some((_, at)) if at.number > second.started.number => true,
        Some((Outcome::Done, _)) => first.noted.is_some(),
        Some(_) => false,
    }
}

impl Record {
    /// Returns the signature of the run, of which a second run has started.
    fn signature(&self) -> Signature {
        let Some((outcome, _)) = self.ended else {
            return Signature::Running;
        };
        match (outcome, self.stopped, self.noted) {
            (Outcome::Stopped, Some(_), Some(_)) => Signature::StoppedAndNoted,
            (Outcome::Done | Outcome::Lapsed, None, None) => Signature::NeitherStoppedNorNoted,
            _ => Signature::Other,
        }
    }

    fn fmt_with(
        &self,
        f: &mut fmt::Formatter<'_>,
        starters: &BTreeMap<u64, String>,
    ) -> fmt::Result {
        let starter = starters.get(&self.fence).map_or("?", String::as_str);
        let at_ms = |event: Option<Event>| match event {
            Some(event) => format!("{} ms", event.at_ms),
            None => "never".to_owned(),
        };
        let outcome = self.ended.map_or("none", |(outcome, _)| outcome.label());
        write!(
            f,
            "run={} worker={} starter={starter} fence={} started={} ms, stop sent={}, ended={outcome} at={}, noted={}",
            self.run,
            self.incarnation,
            self.fence,
            self.started.at_ms,
            at_ms(self.stopped),
            at_ms(self.ended.map(|(_, event)| event)),
            at_ms(self.noted),
        )
    }
}

impl fmt::Display for Pair<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let same = if self.first.fence == self.second.fence {
            "same term"
        } else {
            "other term"
        };
        write!(
            f,
            "TWICE task={} signature={} ({same}): first ",
            self.task,
            self.first.signature().label()
        )?;
        self.first.fmt_with(f, self.starters)?;
        write!(f, "; second ")?;
        self.second.fmt_with(f, self.starters)
    }
}
