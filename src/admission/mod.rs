//! Admission of one service's requests on one entry VM: bounded queues by kind, fair shares and refusals.
//!
//! Each kind owns a part of the service's slots by its weight. A kind within its share goes before all that are beyond
//! theirs; urgency orders the kinds within their shares, and decides who gets the slots that nobody's share claims. Kinds
//! beyond their share leave some slots free, so that a kind within its share needn't wait for a long request to end.
//! A request that can't finish by its deadline is refused at once, before anything is sent.
//!
//! # Examples
//!
//! ```
//! use wasabiloft::{admission, clock, document, verdict};
//!
//! let spec = admission::KindSpec { urgency: document::Urgency::Urgent, share: 1 };
//! let mut controller = admission::Controller::new(&[spec], admission::Headroom::default());
//! let kind = admission::KindIndex::from(0);
//! let now = clock::Instant::ZERO;
//! let mut outputs = Vec::new();
//! let slots = admission::Slots { free: 1, held: 1, total: 1, members: 1, rank: 0 };
//! controller.handle(now, admission::Input::Slots(slots), &mut outputs);
//! for id in 0..2 {
//!     let arrival = admission::Arrival {
//!         request: admission::RequestId::from(id),
//!         kind,
//!         deadline: now.after_ms(500),
//!         retry: false,
//!     };
//!     controller.handle(now, admission::Input::Arrive(arrival), &mut outputs);
//! }
//! let first = admission::RequestId::from(0);
//! assert_eq!(outputs, [admission::Output::Start { request: first, kind }]);
//! controller.handle(clock::Instant::from_ms(500), admission::Input::Tick, &mut outputs);
//! let second = admission::RequestId::from(1);
//! let reason = verdict::Reason::QueueTimeout;
//! assert_eq!(outputs[1], admission::Output::Refuse { request: second, kind, reason });
//! ```

mod controller;
pub mod estimate;
pub mod intake;
pub mod queue;
pub mod share;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::document;
use crate::verdict;

pub use controller::Controller;

/// Mean service time from which a kind leaves the whole headroom, in milliseconds.
const LONG_SERVICE_MS: f64 = 1_000.0;
/// Mean service time from which a flooding kind may not borrow what the others need but don't use, in milliseconds.
const RESERVING_SERVICE_MS: f64 = 520.0;

/// A request on this entry VM.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct RequestId(u64);

/// A kind's place in its service's document.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct KindIndex(usize);

/// What the document says of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindSpec {
    /// Orders the kinds within their shares.
    pub urgency: document::Urgency,
    /// The weight of the kind's share.
    pub share: u32,
}

/// The service's slots as this node sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// Slots that this node may use now.
    pub free: u32,
    /// Slots that this node owns, free or in use.
    pub held: u32,
    /// Slots of the service over all nodes.
    pub total: u32,
    /// Nodes that share the service's slots.
    pub members: u32,
    /// This node's place among them, from zero.
    pub rank: u32,
}

/// Slots over all nodes that flooding kinds leave free beyond what the others need.
///
/// The longer a kind holds its slots, the longer another kind would wait for one, so the more it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Headroom {
    /// For kinds with long service times, in thousandths of the service's slots.
    pub long_milli: u32,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { long_milli: 115 }
    }
}

impl Headroom {
    /// What a kind with this mean service time leaves free, in slots over all nodes.
    fn slots(self, total: u32, mean_ms: f64) -> f64 {
        let beyond_ms = (mean_ms - RESERVING_SERVICE_MS).max(0.0);
        let length = (beyond_ms / (LONG_SERVICE_MS - RESERVING_SERVICE_MS)).min(1.0);
        f64::from(total) * f64::from(self.long_milli) / 1_000.0 * length
    }
}

/// A request that came in, or comes again for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its kind.
    pub kind: KindIndex,
    /// When its answer must be complete.
    pub deadline: clock::Instant,
    /// True for a retry of an admitted request: it goes to the front of its queue.
    pub retry: bool,
}

/// The smoothed demand of each kind, in thousandths of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots that each kind could use on this node.
    pub need_milli: Vec<u32>,
    /// Slots that each kind could use on the other nodes, as they last told.
    pub need_elsewhere_milli: Vec<u32>,
    /// Slots that each kind uses on the other nodes, as they last told.
    pub used_elsewhere_milli: Vec<u32>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request came in.
    Arrive(Arrival),
    /// A queued request's caller went away.
    Cancel(RequestId, KindIndex),
    /// A started request gave its slot back.
    Finish {
        /// Its kind.
        kind: KindIndex,
        /// How long it held its slot, in milliseconds.
        busy_ms: u64,
        /// True if it ran to its end, so that its time teaches something.
        whole: bool,
    },
    /// The slots changed.
    Slots(Slots),
    /// The kinds' smoothed demand.
    Load(Load),
    /// Time passed.
    Tick,
}

/// What should be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start the request in one of the free slots.
    Start {
        /// The request.
        request: RequestId,
        /// Its kind.
        kind: KindIndex,
    },
    /// Answer the request as not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Its kind.
        kind: KindIndex,
        /// Why.
        reason: verdict::Reason,
    },
}
