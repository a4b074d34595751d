//! At-most-once execution by `Idempotency-Key`, across entry VMs.
//!
//! Keys are hashed into shards, and each shard has one owner in the current [`view`]. The node that received a request
//! requests a claim from the owner; the owner commits the claim to the platform's table by group commit and then grants
//! it. While the table is unavailable, the owner grants claims from memory after a majority of the view has stored a
//! replica of the claim. The replicas are kept until the claim is in the table.
//!
//! * [`requester`]: requests claims for the requests that this node received;
//! * [`owner`]: grants or refuses claims on the keys that this node owns;
//! * [`replica`]: keeps replicas of claims granted from memory until they are in the table;
//! * [`view_change`]: replaces the view when the roster changes;
//! * [`node`]: combines these parts into one state machine per process.

pub mod entry;
pub mod hash;
pub mod message;
pub mod node;
pub mod owner;
pub mod replica;
pub mod requester;
pub mod view;
pub mod view_change;

/// Timeouts and limits; the defaults suit eight entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a key is kept after its claim, in milliseconds.
    pub retention_ms: u64,
    /// Minimum time between the starts of two group commits of one node, in milliseconds.
    pub commit_interval_ms: u64,
    /// Maximum delay of writes that no request waits for, so that they share a group commit, in milliseconds.
    pub lazy_delay_ms: u64,
    /// Time without the outcome of a group commit after which the table is considered unavailable, in milliseconds.
    pub outage_after_ms: u64,
    /// Interval at which an unanswered message is resent, in milliseconds.
    pub resend_ms: u64,
    /// Interval at which the end of an attempt is resent that the owner has received but not yet committed, in
    /// milliseconds.
    pub received_resend_ms: u64,
    /// How long a shard stays suspect after claims on its keys may have been lost, in milliseconds.
    pub suspect_ms: u64,
    /// Time by which each node with a replica of a claim delays its write after the node ranked before it, in
    /// milliseconds.
    pub flush_stagger_ms: u64,
    /// How long a view change waits for silent members that are still in the roster, in milliseconds.
    pub seal_listed_ms: u64,
    /// How long a view change waits for silent members that are no longer in the roster, in milliseconds.
    pub seal_unlisted_ms: u64,
    /// How long a view change waits without a majority when no silent member is in the roster any more, in
    /// milliseconds.
    pub seal_no_majority_ms: u64,
    /// Time by which each node of the roster delays coordinating a view change after the node before it, in
    /// milliseconds.
    pub coordinator_stagger_ms: u64,
    /// Maximum number of keys that one node keeps in memory.
    pub entries_max: usize,
    /// Maximum size of the answers that one node keeps in memory, in bytes.
    pub answer_bytes_max: usize,
    /// The safety rules that are enabled.
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention_ms: 2 * crate::clock::HOUR_MS,
            commit_interval_ms: 80,
            lazy_delay_ms: 500,
            outage_after_ms: 1_000,
            resend_ms: 200,
            received_resend_ms: 10_000,
            suspect_ms: 5 * crate::clock::MINUTE_MS,
            flush_stagger_ms: 400,
            seal_listed_ms: 2_000,
            seal_unlisted_ms: 400,
            seal_no_majority_ms: 5_000,
            coordinator_stagger_ms: 1_000,
            entries_max: 200_000,
            answer_bytes_max: 16 * 1_024 * 1_024,
            guards: Guards::default(),
        }
    }
}

/// Safety rules that prevent a key from running twice; tests disable each one to show the failure that it prevents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Grants a claim from memory only after a majority of the view has stored a replica of it.
    pub majority: bool,
    /// Serves a shard only after its claims have been read from the table.
    pub load: bool,
    /// Refuses unknown keys of a suspect shard, whose claims granted from memory may have been lost.
    pub suspect: bool,
    /// Makes each transaction of an owner check that its view is still the current one.
    pub view_check: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            majority: true,
            load: true,
            suspect: true,
            view_check: true,
        }
    }
}
