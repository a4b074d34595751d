//! At-most-once execution by `Idempotency-Key`, across entry VMs.
//!
//! Keys fall into shards, and each shard has one owner in the current [`view`]. The node that received a
//! request asks the owner for a claim; the owner commits the claim to the platform's table by group commit
//! and then grants it. While the table is out the owner grants from memory, after a majority of the view
//! holds the claim; they do until it is written down.
//!
//! * [`asker`]: the node that received the request;
//! * [`owner`]: the node that decides;
//! * [`holder`]: claims granted from memory, kept until they are in the table;
//! * [`change`]: moves from one view to the next;
//! * [`node`]: all of it together, one per process.

pub mod asker;
pub mod change;
pub mod entry;
pub mod hash;
pub mod holder;
pub mod message;
pub mod node;
pub mod owner;
pub mod view;

/// Times and limits; the defaults suit eight entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a key is remembered after its claim, in milliseconds.
    pub keep_ms: u64,
    /// Least time between the starts of two group commits of one node, in milliseconds.
    pub commit_gap_ms: u64,
    /// How long writes that nobody waits for may gather, in milliseconds.
    pub lazy_ms: u64,
    /// A group commit without outcome for this long means an outage, in milliseconds.
    pub outage_after_ms: u64,
    /// Time between two sends of an unanswered message, in milliseconds.
    pub resend_ms: u64,
    /// Time between two sends of an ending that was noted but is not in the table yet, in milliseconds.
    pub settle_resend_ms: u64,
    /// How long a shard is doubted after claims of it may have been lost, in milliseconds.
    pub doubt_ms: u64,
    /// Time that each holder of a claim leaves to the one before it to write the claim down, in milliseconds.
    pub flush_step_ms: u64,
    /// How long a change of view waits for silent members that the roster still lists, in milliseconds.
    pub seal_wait_ms: u64,
    /// How long a change of view waits for silent members that the roster no longer lists, in milliseconds.
    pub seal_gone_ms: u64,
    /// How long a change of view waits for a majority of which the roster lists none any more, in milliseconds.
    pub seal_lost_ms: u64,
    /// Time that each node of the roster leaves to the one before it to lead a change of view, in milliseconds.
    pub lead_step_ms: u64,
    /// Keys that one node remembers at most.
    pub entries_max: usize,
    /// Bytes of answers that one node keeps at most.
    pub answer_bytes_max: usize,
    /// The guards that are in force.
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            keep_ms: 2 * crate::clock::HOUR_MS,
            commit_gap_ms: 80,
            lazy_ms: 500,
            outage_after_ms: 1_000,
            resend_ms: 200,
            settle_resend_ms: 10_000,
            doubt_ms: 5 * crate::clock::MINUTE_MS,
            flush_step_ms: 400,
            seal_wait_ms: 2_000,
            seal_gone_ms: 400,
            seal_lost_ms: 5_000,
            lead_step_ms: 1_000,
            entries_max: 200_000,
            answer_bytes_max: 16 * 1_024 * 1_024,
            guards: Guards::default(),
        }
    }
}

/// The rules that keep a key from running twice; each can be switched off to show what it prevents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A claim is granted from memory only when a majority of the view holds it.
    pub majority: bool,
    /// A shard is served only when the table's claims of it have been read.
    pub load: bool,
    /// A shard whose memory claims may be lost grants nothing new.
    pub doubt: bool,
    /// Transactions check that the view is the current one.
    pub view_check: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            majority: true,
            load: true,
            doubt: true,
            view_check: true,
        }
    }
}
