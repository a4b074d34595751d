//! The node that received a request: asks for its claim and reports its end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock;
use crate::once;
use crate::once::message;
use crate::once::message::Message;
use crate::once::message::Output;
use crate::once::view;
use crate::verdict;

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No reply to its claim yet.
    Waiting,
    /// It may run.
    Running,
    /// It has ended; true once the owner has noted it.
    Ended(message::End, bool),
}

/// A request with a key.
#[derive(Clone, Debug)]
struct Request {
    claim: message::Claim,
    deadline: clock::Instant,
    state: State,
    due: clock::Instant,
}

/// What the asker needs to know of its node.
pub struct Context<'a> {
    /// The time.
    pub now: clock::Instant,
    /// The view, if it is known.
    pub view: Option<&'a view::View>,
    /// Times and limits.
    pub settings: &'a once::Settings,
}

/// The requests that this node has asked for.
#[derive(Debug, Default)]
pub struct Asker {
    requests: BTreeMap<u64, Request>,
    due: BTreeSet<(clock::Instant, u64)>,
    answer_bytes: usize,
}

impl Asker {
    /// The number of requests whose end is not in the table yet.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Begins a request.
    pub fn ask(
        &mut self,
        ctx: &Context<'_>,
        claim: message::Claim,
        deadline: clock::Instant,
        out: &mut Vec<Output>,
    ) {
        let number = claim.id.number;
        if self.requests.len() >= ctx.settings.entries_max {
            decide(out, number, unclaimed());
            return;
        }
        let request = Request {
            claim,
            deadline,
            state: State::Waiting,
            due: ctx.now,
        };
        self.due.insert((ctx.now, number));
        self.requests.insert(number, request);
        self.send(ctx, number, out);
    }

    /// Takes the end of a request, or that its caller left.
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

    /// Takes the owner's reply.
    pub fn reply(&mut self, id: &message::ClaimId, reply: message::Reply, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id.number) else {
            return;
        };
        if request.state != State::Waiting {
            return;
        }
        let decision = match reply {
            message::Reply::Granted => {
                request.state = State::Running;
                decide(out, id.number, message::Decision::Run);
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
            message::Reply::Full => unclaimed(),
        };
        self.forget(id.number);
        decide(out, id.number, decision);
    }

    /// The owner knows the end of a request.
    pub fn noted(&mut self, ctx: &Context<'_>, id: &message::ClaimId) {
        let Some(request) = self.requests.get_mut(&id.number) else {
            return;
        };
        if let State::Ended(_, noted) = &mut request.state {
            *noted = true;
            let due = ctx.now.after_ms(ctx.settings.settle_resend_ms);
            self.due.remove(&(request.due, id.number));
            request.due = due;
            self.due.insert((due, id.number));
        }
    }

    /// The table has the end of a request.
    pub fn settled(&mut self, id: &message::ClaimId) {
        let ended = self
            .requests
            .get(&id.number)
            .is_some_and(|request| matches!(request.state, State::Ended(..)));
        if ended {
            self.forget(id.number);
        }
    }

    /// Sends everything again that the owner of a new view does not know.
    ///
    /// That a request did not run is told in one view only: the old owner may have freed the key and granted it again,
    /// and the table may still show the earlier claim.
    pub fn view_changed(&mut self, ctx: &Context<'_>) {
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            let state = self.requests.get(&number).map(|request| &request.state);
            if matches!(state, Some(State::Ended(message::End::NotRun, _))) {
                self.forget(number);
            } else {
                self.reschedule(number, ctx.now);
            }
        }
    }

    /// Sends what is due, and gives up claims whose deadline has passed.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Output>) {
        while let Some((due, number)) = self.due.first().copied() {
            if due > ctx.now {
                return;
            }
            let waited_out = self.requests.get(&number).is_some_and(|request| {
                request.state == State::Waiting && request.deadline <= ctx.now
            });
            if waited_out {
                decide(out, number, unclaimed());
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
            State::Waiting | State::Ended(_, false) => ctx.settings.resend_ms,
            State::Running | State::Ended(_, true) => ctx.settings.settle_resend_ms,
        };
        let mut due = ctx.now.after_ms(wait_ms.max(1));
        if request.state == State::Waiting && request.deadline > ctx.now {
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
            State::Waiting => Message::Ask {
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

    fn forget(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.due.remove(&(request.due, number));
            if let State::Ended(end, _) = &request.state {
                self.answer_bytes -= end.answer_bytes();
            }
        }
    }
}

/// The decision where no claim could be had: an earlier attempt may have run, for all that is known.
fn unclaimed() -> message::Decision {
    message::Decision::Refuse(verdict::Verdict::MayHaveRun, verdict::Reason::KeyUnclaimed)
}

fn decide(out: &mut Vec<Output>, number: u64, decision: message::Decision) {
    out.push(Output::Decide { number, decision });
}
