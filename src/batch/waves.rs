//! Maintenance waves: which machine is next, within the limits of operators and services.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::batch::pools;
use crate::clock;
use crate::id;

/// Assumed duration of a round of maintenance, in thousandths of the stated duration; covers delays before the wave
/// has to drain machines.
const ROUND_DURATION_MILLI: u64 = 1_500;
/// Time to drain a machine in use, in milliseconds: the duration of a few tasks.
const DRAIN_MS: u64 = 4_000;

/// A maintenance wave as requested by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number that identifies the wave.
    pub number: u64,
    /// Machines that need maintenance.
    pub vms: Vec<id::Vm>,
    /// Time limit of the whole wave, in milliseconds after the request.
    pub deadline_ms: u64,
    /// Maximum number of machines that can be in maintenance at once.
    pub at_once_max: u32,
}

/// Machines of a wave whose state one row holds; with names of the greatest length, a row stays well below the limit of the
/// store.
const VMS_PER_ROW: usize = 200;

/// Names a row with the stored state of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Number of the wave.
    pub wave: u64,
    /// Number of the row, from 0.
    pub part: u32,
}

impl fmt::Display for Key {
    /// Writes the wave's number, and the row's if it isn't the first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.part {
            0 => write!(f, "{}", self.wave),
            part => write!(f, "{}.{part}", self.wave),
        }
    }
}

impl FromStr for Key {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (wave, part) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Self {
            wave: wave.parse()?,
            part: part.parse()?,
        })
    }
}

/// The stored state of a wave, from which the next leader continues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Machines whose maintenance has begun, or that were removed.
    pub begun: BTreeSet<id::Vm>,
    /// When the first leader received the request, on the store's clock, in milliseconds.
    #[serde(default)]
    pub asked_ms: Option<u64>,
}

impl Record {
    /// Adds the state that another row of the wave holds.
    pub fn merge(&mut self, other: Self) {
        self.begun.extend(other.begun);
        self.asked_ms = self.asked_ms.or(other.asked_ms);
    }

    /// Returns the age of the request at `store_now_ms` on the store's clock, in milliseconds.
    ///
    /// The platform reports an old wave to a node that started later as if it were new, so the age can't be derived
    /// from the report.
    pub fn age_ms(&self, store_now_ms: u64) -> u64 {
        let asked_ms = self.asked_ms.unwrap_or(store_now_ms);
        store_now_ms.saturating_sub(asked_ms)
    }
}

/// A machine that can be unavailable because of its maintenance.
#[derive(Clone, Debug)]
struct Maintenance {
    /// Worker that the first command was meant for; `None` if the machine ran none.
    worker: Option<id::Worker>,
    commanded_at: clock::Instant,
    responded_at: Option<clock::Instant>,
}

/// The state of a wave that operators see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// None was reported, or it can't be read.
    #[default]
    None,
    /// The wave is running.
    Running,
    /// The maintenance of all its machines has begun. This is final.
    Completed,
}

/// A wave in progress.
#[derive(Clone, Debug)]
pub struct Wave {
    /// Request that started the wave.
    pub request: Request,
    /// Stored progress of the wave.
    pub record: Record,
    /// When this leader began to track the wave, and the wave's age at that time, in milliseconds.
    tracked_since: clock::Instant,
    age_ms: u64,
    in_maintenance: BTreeMap<id::Vm, Maintenance>,
    /// State that operators see, and the version of the row that holds it, as of its newest read or write.
    status: Status,
    status_version: u64,
    /// Whether the request was changed after this leader knew the wave to be reported as completed.
    is_reopened: bool,
}

impl Wave {
    /// Creates a wave that was requested `age_ms` before this leader began to track it.
    ///
    /// `record` holds the progress under previous leaders.
    pub fn new(request: Request, record: Record, age_ms: u64, now: clock::Instant) -> Self {
        Self {
            request,
            record,
            tracked_since: now,
            age_ms,
            in_maintenance: BTreeMap::new(),
            status: Status::None,
            status_version: 0,
            is_reopened: false,
        }
    }

    /// Replaces the request by one of the same number, as operators have written it again. Machines that it no longer names
    /// and that are in maintenance still count as such.
    pub fn change_request(&mut self, request: Request) {
        self.is_reopened = self.status == Status::Completed;
        self.request = request;
    }

    /// Returns the row that holds the state of a machine of the wave.
    pub fn row(&self, vm: &id::Vm) -> (Key, Record) {
        let position = self.request.vms.iter().position(|member| member == vm);
        let part = position.unwrap_or(0) / VMS_PER_ROW;
        let members = self.request.vms.chunks(VMS_PER_ROW).nth(part);
        let begun = members.unwrap_or_default().iter();
        let begun = begun.filter(|vm| self.record.begun.contains(*vm));
        let key = Key {
            wave: self.request.number,
            part: u32::try_from(part).unwrap_or(u32::MAX),
        };
        let record = Record {
            begun: begun.cloned().collect(),
            asked_ms: self.record.asked_ms,
        };
        (key, record)
    }

    /// Returns the first row of the wave's state.
    pub fn first_row(&self) -> (Key, Record) {
        let first = self.request.vms.first().cloned();
        self.row(&first.unwrap_or_else(|| id::Vm::new("")))
    }

    /// Returns the machines whose maintenance hasn't begun and that have no command in progress.
    pub fn remaining(&self) -> impl Iterator<Item = &id::Vm> {
        self.request
            .vms
            .iter()
            .filter(|vm| !self.record.begun.contains(*vm) && !self.in_maintenance.contains_key(*vm))
    }

    /// Returns whether the maintenance of every machine has begun.
    pub fn is_completed(&self) -> bool {
        self.request
            .vms
            .iter()
            .all(|vm| self.record.begun.contains(vm))
    }

    /// Returns the state to report to operators, and the version that the row must still have; `None` if they see it.
    ///
    /// The row doesn't lie in the partition of the duty's row, so its own version is what keeps a leader that was replaced
    /// from overwriting what its successor reported.
    pub fn due_report(&self) -> Option<(Status, u64)> {
        let status = if self.is_completed() {
            Status::Completed
        } else {
            Status::Running
        };
        let is_due = match self.status {
            Status::None => true,
            Status::Running => status == Status::Completed,
            Status::Completed => self.is_reopened && status == Status::Running,
        };
        is_due.then_some((status, self.status_version))
    }

    /// Records the state that the row of a version shows to operators.
    pub fn on_status(&mut self, status: Status, version: u64) {
        self.status = status;
        self.status_version = version;
        self.is_reopened = false;
    }

    /// Returns how many more machines can start maintenance now.
    pub fn free_slots(&self) -> usize {
        (self.request.at_once_max as usize).saturating_sub(self.in_maintenance.len())
    }

    /// Returns the machines whose command got no response, each with the worker that the first command was meant for.
    pub fn unanswered(&self) -> impl Iterator<Item = (&id::Vm, Option<&id::Worker>)> {
        self.in_maintenance
            .iter()
            .filter(|(_, machine)| machine.responded_at.is_none())
            .map(|(vm, machine)| (vm, machine.worker.as_ref()))
    }

    /// Returns whether machines in use have to be drained for the wave to end in time.
    ///
    /// `maintenance_ms` is the stated duration of a machine's maintenance.
    pub fn must_drain(&self, now: clock::Instant, maintenance_ms: u64) -> bool {
        let remaining = self.remaining().count() as u64;
        let rounds = remaining.div_ceil(u64::from(self.request.at_once_max.max(1)));
        let needed_ms = rounds * (maintenance_ms * ROUND_DURATION_MILLI / 1_000) + DRAIN_MS;
        self.age_ms + now.since_ms(self.tracked_since) + needed_ms * 2 > self.request.deadline_ms
    }

    /// Records that a command is about to be sent, meant for `worker`.
    pub fn on_command(&mut self, vm: &id::Vm, worker: Option<&id::Worker>, now: clock::Instant) {
        self.in_maintenance
            .entry(vm.clone())
            .or_insert(Maintenance {
                worker: worker.cloned(),
                commanded_at: now,
                responded_at: None,
            });
    }

    /// Records that the maintenance has begun, or was done before.
    pub fn on_begun(&mut self, vm: &id::Vm, now: clock::Instant) {
        self.record.begun.insert(vm.clone());
        if let Some(machine) = self.in_maintenance.get_mut(vm) {
            machine.responded_at = Some(now);
        }
    }

    /// Records that the outcome of a command is unknown and it can't be repeated; the machine gets a new one once it is
    /// empty.
    pub fn on_outcome_unknown(&mut self, vm: &id::Vm) {
        self.in_maintenance.remove(vm);
    }

    /// Records that the platform refused a command, which therefore had no effect.
    pub fn on_refused(&mut self, vm: &id::Vm) {
        self.in_maintenance.remove(vm);
    }

    /// Records that a machine is no longer part of the wave.
    pub fn exclude(&mut self, vm: &id::Vm) {
        self.in_maintenance.remove(vm);
        self.record.begun.insert(vm.clone());
    }

    /// Applies a list of machines that was requested at `requested_at`. Returns the machines that the platform has removed,
    /// which are no longer part of the wave.
    ///
    /// `maintenance_ms` is the time after which a list shows that maintenance is over.
    pub fn machines_listed(
        &mut self,
        list: &[pools::Machine],
        unreadable: &pools::Unreadable,
        requested_at: clock::Instant,
        maintenance_ms: u64,
    ) -> Vec<id::Vm> {
        let states: BTreeMap<&id::Vm, pools::State> = list
            .iter()
            .map(|machine| (&machine.vm, machine.state))
            .collect();
        let is_removed = |vm: &id::Vm| !states.contains_key(vm) && !unreadable.may_include(vm);
        self.count_maintained(&states, requested_at);
        self.in_maintenance.retain(|vm, machine| {
            let is_due = machine.responded_at.is_some_and(|at| {
                requested_at.since_ms(at.max(machine.commanded_at)) >= maintenance_ms
            });
            // A machine can be lost in its maintenance, and come back much later or never.
            let is_over = match states.get(vm) {
                Some(pools::State::Up | pools::State::Down | pools::State::Moving) => true,
                Some(pools::State::Upkeep | pools::State::Unreadable) => false,
                None => is_removed(vm),
            };
            !(is_due && is_over)
        });
        let unanswered = self.unanswered().map(|(vm, _)| vm);
        let removed = self.remaining().chain(unanswered);
        let removed: Vec<id::Vm> = removed.filter(|vm| is_removed(vm)).cloned().collect();
        for vm in &removed {
            self.exclude(vm);
        }
        removed
    }

    /// Counts the machines in maintenance, including those that a previous leader sent there.
    ///
    /// Whether the maintenance belongs to this wave shows when the command is repeated; the platform treats the repeat
    /// as the same command.
    fn count_maintained(
        &mut self,
        states: &BTreeMap<&id::Vm, pools::State>,
        requested_at: clock::Instant,
    ) {
        let maintained = self.request.vms.iter();
        let maintained = maintained.filter(|vm| states.get(vm) == Some(&pools::State::Upkeep));
        for vm in maintained {
            self.in_maintenance
                .entry(vm.clone())
                .or_insert(Maintenance {
                    worker: None,
                    commanded_at: requested_at,
                    responded_at: Some(requested_at),
                });
        }
    }
}
