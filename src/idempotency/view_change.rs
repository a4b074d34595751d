//! Replaces the view without losing claims that were granted from memory.
//!
//! The first node of the roster that reaches the table coordinates the change. It asks every member of the old view to
//! *seal* it: to stop granting claims from memory, to accept no more replicas, and to write the replicas it has to the
//! table. The new view is committed when all members have sealed the old one, or when a majority has and the others
//! stay silent. A claim granted from memory is replicated to a majority, so at least one member that answered has
//! written it. Claims can be lost only without a majority; the shards of the silent members are then marked as
//! suspect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock;
use crate::idempotency;
use crate::idempotency::message::Message;
use crate::idempotency::message::Output;
use crate::idempotency::view;
use crate::platform;
use crate::roster;

/// State of the node that a view change reads.
pub struct Context<'a> {
    /// The current time.
    pub now: clock::Instant,
    /// The id of this node.
    pub me: &'a roster::NodeId,
    /// The current view; `None` if the table has none.
    pub view: Option<&'a view::View>,
    /// The version of the view's row; 0 if there is no row.
    pub view_version: u64,
    /// The members of the roster, sorted.
    pub roster: &'a [roster::NodeId],
    /// True while this node can't reach the table.
    pub table_unreachable: bool,
    /// Timeouts and limits.
    pub settings: &'a idempotency::Settings,
}

/// Progress of a view change.
#[derive(Debug, Default)]
enum State {
    /// No change is in progress.
    #[default]
    Idle,
    /// Members have been asked to seal the old view.
    Sealing {
        started_at: clock::Instant,
        sent_at: Option<clock::Instant>,
        sealed: BTreeSet<roster::NodeId>,
    },
    /// The transaction that writes the new view has no outcome yet.
    Committing { token: u64, view: view::View },
}

/// Coordinates view changes from this node.
#[derive(Debug, Default)]
pub struct Coordinator {
    state: State,
    needed_since: Option<clock::Instant>,
    suspect_since: BTreeMap<view::Shard, clock::Instant>,
}

impl Coordinator {
    /// Advances the change; returns true if it started a transaction under `token`.
    pub fn tick(&mut self, ctx: &Context<'_>, token: u64, out: &mut Vec<Output>) -> bool {
        self.track_suspect_shards(ctx);
        if matches!(self.state, State::Committing { .. }) {
            return false;
        }
        if !self.is_needed(ctx) || ctx.table_unreachable {
            self.state = State::Idle;
            self.needed_since = None;
            return false;
        }
        let since = *self.needed_since.get_or_insert(ctx.now);
        if ctx.now.since_ms(since) < turn_delay_ms(ctx) {
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

    /// Records that a member has sealed the view with this number.
    pub fn record_sealed(&mut self, ctx: &Context<'_>, from: roster::NodeId, number: u64) {
        let is_current = ctx.view.is_some_and(|view| view.number == number);
        if let State::Sealing { sealed, .. } = &mut self.state
            && is_current
        {
            sealed.insert(from);
        }
    }

    /// Handles the outcome of a transaction; returns the view that it committed and its row's version.
    ///
    /// Returns `None` if the transaction is not part of this change or did not commit.
    pub fn handle_outcome(
        &mut self,
        token: u64,
        outcome: &platform::Outcome,
    ) -> Option<(view::View, u64)> {
        let is_own = matches!(&self.state, State::Committing { token: own, .. } if *own == token);
        if !is_own {
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

    /// Restarts the change after another view has been adopted.
    pub fn view_changed(&mut self) {
        self.needed_since = None;
        if matches!(self.state, State::Sealing { .. }) {
            self.state = State::Idle;
        }
    }

    fn is_needed(&self, ctx: &Context<'_>) -> bool {
        if !ctx.roster.contains(ctx.me) {
            return false;
        }
        match ctx.view {
            None => true,
            Some(view) => view.members != ctx.roster || !self.cleared(ctx).is_empty(),
        }
    }

    fn track_suspect_shards(&mut self, ctx: &Context<'_>) {
        let suspect = ctx.view.map_or(&[][..], |view| view.suspect.as_slice());
        self.suspect_since
            .retain(|shard, _| suspect.contains(shard));
        for shard in suspect {
            self.suspect_since.entry(*shard).or_insert(ctx.now);
        }
    }

    /// Returns the suspect shards whose suspect period is over.
    fn cleared(&self, ctx: &Context<'_>) -> BTreeSet<view::Shard> {
        self.suspect_since
            .iter()
            .filter(|(_, since)| ctx.now.since_ms(**since) >= ctx.settings.suspect_ms)
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
        let txn = view.write_txn(ctx.view_version);
        out.push(Output::Transact { token, txn });
        self.state = State::Committing { token, view };
        true
    }

    fn next_view(&self, ctx: &Context<'_>, lost: &BTreeSet<roster::NodeId>) -> view::View {
        let Some(old) = ctx.view else {
            return view::View {
                number: 1,
                members: ctx.roster.to_vec(),
                suspect: Vec::new(),
                departed: Vec::new(),
            };
        };
        let cleared = self.cleared(ctx);
        let mut suspect: BTreeSet<view::Shard> = old.suspect.iter().copied().collect();
        suspect.retain(|shard| !cleared.contains(shard));
        for shard in view::Shard::all() {
            if old.owner(shard).is_some_and(|owner| lost.contains(owner)) {
                suspect.insert(shard);
            }
        }
        view::View {
            number: old.number + 1,
            members: ctx.roster.to_vec(),
            suspect: suspect.into_iter().collect(),
            departed: Vec::new(),
        }
    }
}

/// Returns how long this node waits for earlier nodes of the roster to coordinate the change, in milliseconds.
fn turn_delay_ms(ctx: &Context<'_>) -> u64 {
    let earlier = ctx.roster.iter().take_while(|member| *member != ctx.me);
    earlier.count() as u64 * ctx.settings.coordinator_stagger_ms
}

/// Returns the silent members whose claims can be lost; `None` while the change still waits for members to seal.
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
        .filter(|member| !sealed.contains(*member) && !view.departed.contains(*member))
        .cloned()
        .collect();
    if silent.is_empty() {
        return Some(silent);
    }
    let majority = view.members.len() - silent.len() >= view.majority();
    let any_listed = silent.iter().any(|member| ctx.roster.contains(member));
    let wait_ms = match (any_listed, majority) {
        (false, true) => ctx.settings.seal_unlisted_ms,
        (false, false) => ctx.settings.seal_no_majority_ms,
        (true, true) => ctx.settings.seal_listed_ms,
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
