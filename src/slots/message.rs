//! Messages about slots between entry VMs.
//!
//! They may be lost, repeated, delayed and reordered.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::roster;
use crate::slots::deal;

/// Some slots of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// The runner.
    pub vm: id::Vm,
    /// One bit a slot.
    pub mask: u64,
}

/// What a member held when it entered a deal; repeats carry the same content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// The deal that was entered.
    pub deal: deal::Deal,
    /// Tokens that the member held, free or in use.
    pub held: Vec<Tokens>,
    /// Members of earlier deals whose census the sender needed when it entered.
    pub awaited: Vec<roster::NodeId>,
}

/// Passes tokens on; the giver has already forgotten them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Give {
    /// The giver's deal; a receiver in another deal drops the tokens.
    pub deal: deal::Deal,
    /// Raised by the giver at each gift, so that a repeat is recognised.
    pub serial: u64,
    /// The tokens.
    pub tokens: Tokens,
}

/// Asks for tokens because requests within their kinds' shares wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The asker's deal.
    pub deal: deal::Deal,
    /// How many are asked for.
    pub slots: u32,
}

/// A member's holdings and demand, sent with its heartbeats and when they change much.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender's deal.
    pub deal: deal::Deal,
    /// True once the sender has every census of the deal.
    pub complete: bool,
    /// Tokens held, free or in use.
    pub held: u32,
    /// Tokens free.
    pub free: u32,
    /// Slots that each kind could use, in thousandths.
    pub need_milli: Vec<u32>,
    /// Slots that each kind uses, in thousandths.
    pub used_milli: Vec<u32>,
}

/// A message about one service's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Enters a deal.
    Census(Census),
    /// Passes tokens on.
    Give(Give),
    /// Asks for tokens.
    Ask(Ask),
    /// Tells holdings and demand.
    Report(Report),
}

impl Message {
    /// The sender's deal.
    pub fn deal(&self) -> deal::Deal {
        match self {
            Self::Census(census) => census.deal,
            Self::Give(give) => give.deal,
            Self::Ask(ask) => ask.deal,
            Self::Report(report) => report.deal,
        }
    }
}

/// Recognises repeated serial numbers from one sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    newest: u64,
    seen: u64,
}

impl Window {
    /// Accepts a serial number once; numbers far behind the newest are never accepted.
    pub fn accept(&mut self, serial: u64) -> bool {
        if serial > self.newest {
            let step = serial - self.newest;
            self.seen = self.seen.checked_shl(step.min(64) as u32).unwrap_or(0) | 1;
            self.newest = serial;
            return true;
        }
        let age = self.newest - serial;
        if age >= 64 || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
