//! The node that received a keyed request: requests a claim from the key's owner and reports how the attempt ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock;
use crate::idempotency;
use crate::idempotency::message;
use crate::idempotency::message::Message;
use crate::idempotency::message::Output;
use crate::idempotency::view;
use crate::verdict;

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The claim is requested; no reply has arrived.
    Requested,
    /// The claim is granted and the request is running.
    Running,
    /// The request has ended; the flag is true once the owner has acknowledged the end.
    Ended(message::End, bool),
}

/// A keyed request received by this node.
#[derive(Clone, Debug)]
struct Request {
    claim: message::Claim,
    deadline: clock::Instant,
    state: State,
    due: clock::Instant,
}

/// State of the node that the requester reads.
pub struct Context<'a> {
    /// The current time.
    pub now: clock::Instant,
    /// The current view; `None` until it has been read.
    pub view: Option<&'a view::View>,
    /// Timeouts and limits.
    pub settings: &'a idempotency::Settings,
}

/// Keyed requests received by this node whose end is not yet committed to the table.
#[derive(Debug, Default)]
pub struct Requester {
    requests: BTreeMap<u64, Request>,
    due: BTreeSet<(clock::Instant, u64)>,
    answer_bytes: usize,
}

impl Requester {
    /// Returns the number of requests whose end is not yet committed to the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns true if no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Starts tracking a request and asks the key's owner for a claim.
    pub fn start(
        &mut self,
        ctx: &Context<'_>,
        claim: message::Claim,
        deadline: clock::Instant,
        out: &mut Vec<Output>,
    ) {
        let number = claim.id.number;
        if self.requests.len() >= ctx.settings.entries_max {
            push_decision(out, number, refuse_unclaimed());
            return;
        }
        let request = Request {
            claim,
            deadline,
            state: State::Requested,
            due: ctx.now,
        };
        self.due.insert((ctx.now, number));
        self.requests.insert(number, request);
        self.send(ctx, number, out);
    }

    /// Records the end of a request, or that its caller disconnected, and reports it to the owner.
    pub fn end(
        &mut self,
        ctx: &Context<'_>,
        number: u64,
        mut end: message::End,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if matches!(request.state, State::Ended(..)) {
            return;
        }
        if self.answer_bytes + end.answer_bytes() > ctx.settings.answer_bytes_max {
            end.drop_answer();
        }
        self.answer_bytes += end.answer_bytes();
        request.state = State::Ended(end, false);
        self.send(ctx, number, out);
    }

    /// Handles the owner's reply to a claim request.
    pub fn handle_reply(
        &mut self,
        id: &message::ClaimId,
        reply: message::Reply,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id.number) else {
            return;
        };
        if request.state != State::Requested {
            return;
        }
        let decision = match reply {
            message::Reply::Granted => {
                request.state = State::Running;
                push_decision(out, id.number, message::Decision::Run);
                return;
            }
            message::Reply::InProgress => message::Decision::Refuse(
                verdict::Verdict::MayHaveRun,
                verdict::Reason::KeyInProgress,
            ),
            message::Reply::MayHaveRun => message::Decision::Refuse(
                verdict::Verdict::MayHaveRun,
                verdict::Reason::KeyMayHaveRun,
            ),
            message::Reply::Mismatch => message::Decision::Refuse(
                verdict::Verdict::MayHaveRun,
                verdict::Reason::KeyMismatch,
            ),
            message::Reply::Ran(Some(answer)) => message::Decision::Replay(answer),
            message::Reply::Ran(None) => {
                message::Decision::Refuse(verdict::Verdict::Ran, verdict::Reason::KeyAlreadyRan)
            }
            message::Reply::Full => refuse_unclaimed(),
        };
        self.remove(id.number);
        push_decision(out, id.number, decision);
    }

    /// Handles the owner's acknowledgement that it has received the end of a request.
    pub fn end_received(&mut self, ctx: &Context<'_>, id: &message::ClaimId) {
        let Some(request) = self.requests.get_mut(&id.number) else {
            return;
        };
        if let State::Ended(_, received) = &mut request.state {
            *received = true;
            let due = ctx.now.after_ms(ctx.settings.received_resend_ms);
            self.due.remove(&(request.due, id.number));
            request.due = due;
            self.due.insert((due, id.number));
        }
    }

    /// Stops tracking a request whose end is committed to the table.
    pub fn end_committed(&mut self, id: &message::ClaimId) {
        let ended = self
            .requests
            .get(&id.number)
            .is_some_and(|request| matches!(request.state, State::Ended(..)));
        if ended {
            self.remove(id.number);
        }
    }

    /// Schedules a resend of everything that the owner in the new view does not know.
    ///
    /// [`message::End::NotRun`] is not resent in a new view: the old owner can have freed the key and granted it again
    /// while the table still holds the earlier claim, so that a second report would free the key during the new claim.
    pub fn view_changed(&mut self, ctx: &Context<'_>) {
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            let state = self.requests.get(&number).map(|request| &request.state);
            if matches!(state, Some(State::Ended(message::End::NotRun, _))) {
                self.remove(number);
            } else {
                self.reschedule(number, ctx.now);
            }
        }
    }

    /// Sends the messages that are due and abandons claims whose deadline has passed.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Output>) {
        while let Some((due, number)) = self.due.first().copied() {
            if due > ctx.now {
                return;
            }
            let expired = self.requests.get(&number).is_some_and(|request| {
                request.state == State::Requested && request.deadline <= ctx.now
            });
            if expired {
                push_decision(out, number, refuse_unclaimed());
                self.end(ctx, number, message::End::NotRun, out);
            } else {
                self.send(ctx, number, out);
            }
        }
    }

    fn send(&mut self, ctx: &Context<'_>, number: u64, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let wait_ms = match &request.state {
            State::Requested | State::Ended(_, false) => ctx.settings.resend_ms,
            State::Running | State::Ended(_, true) => ctx.settings.received_resend_ms,
        };
        let mut due = ctx.now.after_ms(wait_ms.max(1));
        if request.state == State::Requested && request.deadline > ctx.now {
            due = due.min(request.deadline);
        }
        if let Some(view) = ctx.view {
            Self::send_to_owner(view, request, out);
        }
        self.reschedule(number, due);
    }

    fn send_to_owner(view: &view::View, request: &Request, out: &mut Vec<Output>) {
        let Some(owner) = view.owner(request.claim.key.shard()) else {
            return;
        };
        let claim = request.claim.clone();
        let message = match &request.state {
            State::Requested => Message::ClaimRequest {
                view: view.number,
                claim,
            },
            State::Running => return,
            State::Ended(end, _) => Message::Ended {
                view: view.number,
                claim,
                end: end.clone(),
            },
        };
        out.push(Output::Send {
            to: owner.clone(),
            message,
        });
    }

    fn reschedule(&mut self, number: u64, due: clock::Instant) {
        if let Some(request) = self.requests.get_mut(&number) {
            self.due.remove(&(request.due, number));
            request.due = due;
            self.due.insert((due, number));
        }
    }

    fn remove(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.due.remove(&(request.due, number));
            if let State::Ended(end, _) = &request.state {
                self.answer_bytes -= end.answer_bytes();
            }
        }
    }
}

/// Returns the refusal for a request without a claim; whether an earlier attempt ran is unknown.
fn refuse_unclaimed() -> message::Decision {
    message::Decision::Refuse(verdict::Verdict::MayHaveRun, verdict::Reason::KeyUnclaimed)
}

fn push_decision(out: &mut Vec<Output>, number: u64, decision: message::Decision) {
    out.push(Output::Decide { number, decision });
}
