//! Messages about slots between entry VMs.
//!
//! Messages can be lost, duplicated, delayed and reordered.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::roster;
use crate::slots::assignment;

/// A set of tokens of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// The VM that hosts the runner.
    pub vm: id::Vm,
    /// The slots, one bit each.
    pub mask: u64,
}

/// Reports the tokens that a member held when it entered an assignment; resends carry the same content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipReport {
    /// The assignment that the sender entered.
    #[serde(rename = "deal")]
    pub assignment: assignment::Assignment,
    /// Tokens that the sender held, free or in use.
    pub held: Vec<Tokens>,
    /// Members of earlier assignments whose ownership reports the sender still needed when it entered.
    pub awaited: Vec<roster::NodeId>,
}

/// Transfers tokens to the receiver; the sender has already removed them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The sender's assignment; a receiver in another assignment drops the tokens.
    #[serde(rename = "deal")]
    pub assignment: assignment::Assignment,
    /// Incremented by the sender at each transfer, so that the receiver detects duplicates.
    pub serial: u64,
    /// The transferred tokens.
    pub tokens: Tokens,
}

/// Requests tokens, because requests within their kinds' shares are waiting at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The sender's assignment.
    #[serde(rename = "deal")]
    pub assignment: assignment::Assignment,
    /// The number of tokens requested.
    pub slots: u32,
}

/// Reports a member's holdings and demand; sent periodically and when they change substantially.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The sender's current assignment.
    #[serde(rename = "deal")]
    pub assignment: assignment::Assignment,
    /// True once the sender has every ownership report of the assignment.
    pub complete: bool,
    /// Number of tokens held, free or in use.
    pub held: u32,
    /// Number of free tokens.
    pub free: u32,
    /// Slots that each kind could use, in thousandths of a slot.
    pub need_milli: Vec<u32>,
    /// Slots that each kind uses, in thousandths of a slot.
    pub used_milli: Vec<u32>,
}

/// A message about one service's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Reports the tokens held on entering an assignment.
    #[serde(rename = "Census")]
    Ownership(OwnershipReport),
    /// Transfers tokens.
    #[serde(rename = "Give")]
    Transfer(Transfer),
    /// Requests tokens.
    #[serde(rename = "Ask")]
    Request(TokenRequest),
    /// Reports holdings and demand.
    #[serde(rename = "Report")]
    Status(StatusReport),
}

impl Message {
    /// Returns the sender's assignment.
    pub fn assignment(&self) -> assignment::Assignment {
        match self {
            Self::Ownership(ownership) => ownership.assignment,
            Self::Transfer(transfer) => transfer.assignment,
            Self::Request(request) => request.assignment,
            Self::Status(status) => status.assignment,
        }
    }
}

/// Detects duplicate serial numbers from one sender with a sliding window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Returns true the first time that a serial number is given.
    ///
    /// Numbers 64 or more behind the newest are always rejected.
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
