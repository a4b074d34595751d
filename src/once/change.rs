//! Moves from one view to the next, so that no claim granted from memory is forgotten.
//!
//! The first node of the roster that reaches the table asks every member of the old view to *seal* it: to grant and hold
//! nothing more from memory, and to write down what it holds. When all have, or a majority
//! has and the others stay silent, it commits the new view: each claim granted from memory was held by a majority
//! too, so one that answered has written it down. Only without a majority may claims be lost; the shards of the
//! silent members are then marked as doubtful.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock;
use crate::once;
use crate::once::message::Message;
use crate::once::message::Output;
use crate::once::view;
use crate::platform;
use crate::roster;

/// What a change needs to know of its node.
pub struct Context<'a> {
    /// The time.
    pub now: clock::Instant,
    /// This node.
    pub me: &'a roster::NodeId,
    /// The view; `None` if the table has none.
    pub view: Option<&'a view::View>,
    /// The version of the view's row; 0 if there is none.
    pub view_version: u64,
    /// The roster, sorted.
    pub roster: &'a [roster::NodeId],
    /// True if this node can't reach the table.
    pub table_out: bool,
    /// Times and limits.
    pub settings: &'a once::Settings,
}

/// How far a change has come.
#[derive(Debug, Default)]
enum State {
    /// None is under way.
    #[default]
    Idle,
    /// Members are being asked to seal the view.
    Sealing {
        started_at: clock::Instant,
        sent_at: Option<clock::Instant>,
        sealed: BTreeSet<roster::NodeId>,
    },
    /// The new view is being committed.
    Committing { token: u64, view: view::View },
}

/// The change that this node leads, if any.
#[derive(Debug, Default)]
pub struct Change {
    state: State,
    wanted_since: Option<clock::Instant>,
    doubtful_since: BTreeMap<view::Shard, clock::Instant>,
}

impl Change {
    /// Does what is due; `token` names a transaction. Returns true if it was used.
    pub fn tick(&mut self, ctx: &Context<'_>, token: u64, out: &mut Vec<Output>) -> bool {
        self.watch_doubtful(ctx);
        if matches!(self.state, State::Committing { .. }) {
            return false;
        }
        if !self.is_wanted(ctx) || ctx.table_out {
            self.state = State::Idle;
            self.wanted_since = None;
            return false;
        }
        let since = *self.wanted_since.get_or_insert(ctx.now);
        if ctx.now.since_ms(since) < turn_ms(ctx) {
            return false;
        }
        if matches!(self.state, State::Idle) {
            self.state = State::Sealing {
                started_at: ctx.now,
                sent_at: None,
                sealed: BTreeSet::new(),
            };
        }
        self.send_seals(ctx, out);
        self.commit(ctx, token, out)
    }

    /// A member has sealed the view.
    pub fn sealed(&mut self, ctx: &Context<'_>, from: roster::NodeId, number: u64) {
        let current = ctx.view.is_some_and(|view| view.number == number);
        if let State::Sealing { sealed, .. } = &mut self.state
            && current
        {
            sealed.insert(from);
        }
    }

    /// Takes the outcome of a transaction; returns the view that it committed and its row's version.
    ///
    /// `None` if it is not a transaction of this change or did not commit.
    pub fn outcome(
        &mut self,
        token: u64,
        outcome: &platform::Outcome,
    ) -> Option<(view::View, u64)> {
        let ours = matches!(&self.state, State::Committing { token: own, .. } if *own == token);
        if !ours {
            return None;
        }
        let State::Committing { view, .. } = std::mem::take(&mut self.state) else {
            return None;
        };
        match outcome {
            platform::Outcome::Committed(committed) => {
                let version = committed.versions.first().copied()?;
                Some((view, version))
            }
            platform::Outcome::Refused(_) | platform::Outcome::Unknown => None,
        }
    }

    /// Begins anew with another view.
    pub fn view_changed(&mut self) {
        self.wanted_since = None;
        if matches!(self.state, State::Sealing { .. }) {
            self.state = State::Idle;
        }
    }

    fn is_wanted(&self, ctx: &Context<'_>) -> bool {
        if !ctx.roster.contains(ctx.me) {
            return false;
        }
        match ctx.view {
            None => true,
            Some(view) => view.members != ctx.roster || !self.expired(ctx).is_empty(),
        }
    }

    fn watch_doubtful(&mut self, ctx: &Context<'_>) {
        let doubtful = ctx.view.map_or(&[][..], |view| view.doubtful.as_slice());
        self.doubtful_since
            .retain(|shard, _| doubtful.contains(shard));
        for shard in doubtful {
            self.doubtful_since.entry(*shard).or_insert(ctx.now);
        }
    }

    /// Doubtful shards that have been doubted for long enough.
    fn expired(&self, ctx: &Context<'_>) -> BTreeSet<view::Shard> {
        self.doubtful_since
            .iter()
            .filter(|(_, since)| ctx.now.since_ms(**since) >= ctx.settings.doubt_ms)
            .map(|(shard, _)| *shard)
            .collect()
    }

    fn send_seals(&mut self, ctx: &Context<'_>, out: &mut Vec<Output>) {
        let State::Sealing {
            sent_at, sealed, ..
        } = &mut self.state
        else {
            return;
        };
        let Some(view) = ctx.view else {
            return;
        };
        if sent_at.is_some_and(|at| ctx.now.since_ms(at) < ctx.settings.resend_ms) {
            return;
        }
        *sent_at = Some(ctx.now);
        for member in &view.members {
            if !sealed.contains(member) {
                out.push(Output::Send {
                    to: member.clone(),
                    message: Message::Seal { view: view.number },
                });
            }
        }
    }

    fn commit(&mut self, ctx: &Context<'_>, token: u64, out: &mut Vec<Output>) -> bool {
        let State::Sealing {
            started_at, sealed, ..
        } = &self.state
        else {
            return false;
        };
        let waited_ms = ctx.now.since_ms(*started_at);
        let Some(lost) = lost_members(ctx, sealed, waited_ms) else {
            return false;
        };
        let view = self.next_view(ctx, &lost);
        let txn = view.write(ctx.view_version);
        out.push(Output::Transact { token, txn });
        self.state = State::Committing { token, view };
        true
    }

    fn next_view(&self, ctx: &Context<'_>, lost: &BTreeSet<roster::NodeId>) -> view::View {
        let Some(old) = ctx.view else {
            return view::View {
                number: 1,
                members: ctx.roster.to_vec(),
                doubtful: Vec::new(),
                left: Vec::new(),
            };
        };
        let expired = self.expired(ctx);
        let mut doubtful: BTreeSet<view::Shard> = old.doubtful.iter().copied().collect();
        doubtful.retain(|shard| !expired.contains(shard));
        for shard in view::Shard::all() {
            if old.owner(shard).is_some_and(|owner| lost.contains(owner)) {
                doubtful.insert(shard);
            }
        }
        view::View {
            number: old.number + 1,
            members: ctx.roster.to_vec(),
            doubtful: doubtful.into_iter().collect(),
            left: Vec::new(),
        }
    }
}

/// How long this node leaves the lead to those before it, in milliseconds.
fn turn_ms(ctx: &Context<'_>) -> u64 {
    let before = ctx.roster.iter().take_while(|member| *member != ctx.me);
    before.count() as u64 * ctx.settings.lead_step_ms
}

/// Members that may have taken claims with them; `None` while the answers of others are waited for.
fn lost_members(
    ctx: &Context<'_>,
    sealed: &BTreeSet<roster::NodeId>,
    waited_ms: u64,
) -> Option<BTreeSet<roster::NodeId>> {
    let Some(view) = ctx.view else {
        return Some(BTreeSet::new());
    };
    let members = view.members.iter();
    let silent: BTreeSet<roster::NodeId> = members
        .filter(|member| !sealed.contains(*member) && !view.left.contains(*member))
        .cloned()
        .collect();
    if silent.is_empty() {
        return Some(silent);
    }
    let majority = view.members.len() - silent.len() >= view.majority();
    let may_answer = silent.iter().any(|member| ctx.roster.contains(member));
    let wait_ms = match (may_answer, majority) {
        (false, true) => ctx.settings.seal_gone_ms,
        (false, false) => ctx.settings.seal_lost_ms,
        (true, true) => ctx.settings.seal_wait_ms,
        (true, false) => return None,
    };
    if waited_ms < wait_ms {
        return None;
    }
    if majority {
        return Some(BTreeSet::new());
    }
    Some(silent)
}
