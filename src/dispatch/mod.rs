//! One service on one entry VM: admission, slots and routing put together.
//!
//! A shell tells it what arrives, ends and changes, and gets back which request to send to which VM, which to refuse
//! as not run, and which messages to send to other entry VMs. A request is started at most once for each arrival.
//!
//! # Examples
//!
//! ```
//! use rand::SeedableRng;
//! use wasabiloft::{admission, clock, dispatch, document, id, roster, slots};
//!
//! let me = roster::NodeId { node: id::Node::new("entry-1"), incarnation: roster::Incarnation(1) };
//! let kinds = [admission::KindSpec { urgency: document::Urgency::Normal, share: 1 }];
//! let mut service = dispatch::Service::new(me.clone(), &kinds, dispatch::Settings::default());
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let mut outputs = Vec::new();
//! let now = clock::Instant::ZERO;
//! let runner = dispatch::Runner { vm: id::Vm::new("vm-1"), slots: 8, leaving: false };
//! let members = slots::Roster { version: 1, members: vec![me], departed: Vec::new() };
//! let request = admission::RequestId::from(7);
//! let arrival = dispatch::Arrival {
//!     request,
//!     kind: admission::KindIndex::from(0),
//!     deadline: now.after_ms(500),
//!     idempotent: true,
//!     retry_after: None,
//! };
//! for input in [
//!     dispatch::Input::Serving { until: now.after_ms(1_000) },
//!     dispatch::Input::Runners(vec![runner]),
//!     dispatch::Input::Roster(members),
//!     dispatch::Input::Arrive(arrival),
//! ] {
//!     service.handle(now, input, &mut rng, &mut outputs);
//! }
//! assert_eq!(outputs, [dispatch::Output::Start { request, vm: id::Vm::new("vm-1") }]);
//! ```

mod service;

use crate::admission;
use crate::clock;
use crate::id;
use crate::roster;
use crate::slots;
use crate::verdict;

pub use service::Service;

/// A runner of the service, on its VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// The VM.
    pub vm: id::Vm,
    /// Requests that the runner works on at once.
    pub slots: u32,
    /// True if it must get nothing new.
    pub leaving: bool,
}

/// Settings of one service's dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The longest that a request holds a slot after its node stopped serving, in milliseconds.
    pub longest_request_ms: u64,
    /// Whether slots follow demand between the nodes.
    pub passing: slots::Rebalancing,
    /// What kinds beyond their share leave free.
    pub headroom: admission::Headroom,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            longest_request_ms: 10 * clock::SECOND_MS,
            passing: slots::Rebalancing::ByDemand,
            headroom: admission::Headroom::default(),
        }
    }
}

/// A kind of a changed document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// What the document says of it.
    pub spec: admission::KindSpec,
    /// Its place before the change, if it was there.
    pub before: Option<admission::KindIndex>,
}

/// A request that came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request; unique on this node until it is finished or refused.
    pub request: admission::RequestId,
    /// Its kind.
    pub kind: admission::KindIndex,
    /// When its answer must be complete.
    pub deadline: clock::Instant,
    /// True if it may be run twice, and so may probe an ejected endpoint.
    pub idempotent: bool,
    /// For a retry, the VM to keep away from if another has a slot.
    pub retry_after: Option<id::Vm>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request came in, or comes again for a retry after it was finished.
    Arrive(Arrival),
    /// The caller of a queued request went away; a started request is finished instead.
    Cancel(admission::RequestId),
    /// A started request ended, and its runner can no longer be working on it.
    Finish {
        /// The request.
        request: admission::RequestId,
        /// How it ended.
        ending: Ending,
    },
    /// The document's kinds changed.
    ///
    /// Queued requests of kinds that are gone are refused.
    Kinds(Vec<Kind>),
    /// The runners of the service, all of them.
    Runners(Vec<Runner>),
    /// The roster changed.
    Roster(slots::Roster),
    /// A departed member can start nothing any more.
    Lapsed(roster::NodeId),
    /// This node may start requests until then.
    Serving {
        /// The end of this node's proof that others count on it.
        until: clock::Instant,
    },
    /// A message came from another node.
    Message {
        /// The sender.
        from: roster::NodeId,
        /// The message.
        message: slots::Message,
    },
    /// This node is about to leave: it passes its slots on as its requests end.
    Leave,
    /// Time passed; due about every ten milliseconds.
    Tick,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer came.
    Answered,
    /// The connection failed, the answer was cut or garbage, or the endpoint answered with a server error.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// The endpoint said that it did not run the request.
    Refused,
    /// The caller went away.
    Abandoned,
}

/// What should be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the request to the VM's runner now.
    Start {
        /// The request.
        request: admission::RequestId,
        /// The VM.
        vm: id::Vm,
    },
    /// Answer the request as not run.
    Refuse {
        /// The request.
        request: admission::RequestId,
        /// Why.
        reason: verdict::Reason,
    },
    /// Send a message to another node; it may be lost.
    Send {
        /// The receiver.
        to: roster::NodeId,
        /// The message.
        message: slots::Message,
    },
}
