//! The owner of keys: decides which attempt at a key may run.

mod commit;
mod load;
mod memory;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock;
use crate::once;
use crate::once::entry;
use crate::once::holder;
use crate::once::message;
use crate::once::message::Message;
use crate::once::message::Output;
use crate::once::view;
use crate::roster;

/// What the owner needs to know of its node.
pub struct Context<'a> {
    /// The time.
    pub now: clock::Instant,
    /// This node.
    pub me: &'a roster::NodeId,
    /// The view.
    pub view: &'a view::View,
    /// The version of the view's row.
    pub view_version: u64,
    /// True if nothing more is granted from memory in this view.
    pub sealed: bool,
    /// The roster.
    pub roster: &'a [roster::NodeId],
    /// Times and limits.
    pub settings: &'a once::Settings,
}

/// The keys that this node owns.
#[derive(Debug, Default)]
pub struct Owner {
    shards: BTreeMap<view::Shard, load::Shard>,
    entries: BTreeMap<message::Key, entry::Entry>,
    urgent: VecDeque<message::Key>,
    lazy: VecDeque<message::Key>,
    lazy_since: Option<clock::Instant>,
    claiming: BTreeSet<message::Key>,
    holds: BTreeMap<message::ClaimId, memory::Holds>,
    from_memory: BTreeSet<message::Key>,
    expiry: VecDeque<(clock::Instant, message::Key)>,
    answers: VecDeque<message::Key>,
    answer_bytes: usize,
    reads: BTreeMap<message::Key, Option<clock::Instant>>,
    flight: Option<commit::Flight>,
    committed_at: Option<clock::Instant>,
}

impl Owner {
    /// The number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// True if every claim that was granted from memory is in the table.
    pub fn is_written(&self) -> bool {
        self.from_memory.is_empty()
    }

    /// Takes a request for a claim.
    pub fn ask(&mut self, ctx: &Context<'_>, claim: message::Claim, out: &mut Vec<Output>) {
        let shard = claim.key.shard();
        if !self.is_loaded(shard) {
            return;
        }
        let Some(reply) = self.reply_to(ctx, &claim) else {
            return;
        };
        reply_to_asker(&claim.id, reply, out);
    }

    /// Takes the end of an attempt.
    pub fn ended(
        &mut self,
        ctx: &Context<'_>,
        claim: message::Claim,
        end: message::End,
        out: &mut Vec<Output>,
    ) {
        if !self.is_loaded(claim.key.shard()) {
            return;
        }
        let id = claim.id.clone();
        let key = claim.key.clone();
        let known = self.entries.get(&key).map(|entry| entry.claim.id == id);
        match known {
            Some(true) => self.end_known(ctx, &key, end, out),
            Some(false) => {}
            None if end == message::End::NotRun => {}
            None => self.insert_ended(ctx, claim, end),
        }
        let pending = self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.claim.id == id && entry.dirty);
        let message = if pending {
            Message::Noted { id: id.clone() }
        } else {
            Message::Settled { id: id.clone() }
        };
        out.push(Output::Send {
            to: id.asker,
            message,
        });
    }

    /// Does what is due.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Output>) {
        self.scan(ctx, out);
        self.read(ctx, out);
        self.expire(ctx);
        if self.is_in_memory_mode(ctx) {
            self.ask_holders(ctx, out);
        }
    }

    /// Moves to a new view; claims granted from memory that are now another's to write go to `holder`.
    pub fn view_changed(
        &mut self,
        ctx: &Context<'_>,
        old: Option<&view::View>,
        holder: &mut holder::Holder,
    ) {
        self.holds.clear();
        let follows = old.filter(|old| old.number + 1 == ctx.view.number);
        for shard in view::Shard::all() {
            let kept = follows.is_some_and(|old| old.owner(shard) == Some(ctx.me));
            let mine = ctx.view.owner(shard) == Some(ctx.me);
            match (mine, kept) {
                (true, true) => {}
                (true, false) => {
                    self.shards
                        .insert(shard, load::Shard::new(!ctx.settings.guards.load));
                }
                (false, _) => {
                    self.shards.remove(&shard);
                }
            }
            if !(mine && kept) {
                self.forget_shard(shard, old, holder);
            }
        }
    }

    fn reply_to(&mut self, ctx: &Context<'_>, claim: &message::Claim) -> Option<message::Reply> {
        let Some(entry) = self.entries.get(&claim.key) else {
            return self.claim_unknown(ctx, claim);
        };
        if entry.claim.id == claim.id {
            return match entry.state {
                entry::State::Granted => Some(message::Reply::Granted),
                entry::State::Claiming | entry::State::Ended(_) | entry::State::Deleting => None,
            };
        }
        if entry.state == entry::State::Deleting {
            self.claim_again(ctx, claim);
            return None;
        }
        if entry.claim.fingerprint != claim.fingerprint {
            return Some(message::Reply::Mismatch);
        }
        let asker_lives = ctx.roster.contains(&entry.claim.id.asker);
        match &entry.state {
            entry::State::Claiming | entry::State::Granted if asker_lives => {
                Some(message::Reply::InProgress)
            }
            entry::State::Ended(message::End::Ran(None)) if entry.answer_in_row => {
                self.reads.entry(claim.key.clone()).or_insert(None);
                None
            }
            entry::State::Ended(message::End::Ran(answer)) => {
                Some(message::Reply::Ran(answer.clone()))
            }
            entry::State::Claiming
            | entry::State::Granted
            | entry::State::Ended(_)
            | entry::State::Deleting => Some(message::Reply::MayHaveRun),
        }
    }

    fn claim_unknown(
        &mut self,
        ctx: &Context<'_>,
        claim: &message::Claim,
    ) -> Option<message::Reply> {
        if ctx.settings.guards.doubt && ctx.view.is_doubtful(claim.key.shard()) {
            return Some(message::Reply::MayHaveRun);
        }
        if self.entries.len() >= ctx.settings.entries_max {
            return Some(message::Reply::Full);
        }
        let entry = entry::Entry::new(claim.clone(), ctx.now);
        self.insert(ctx, entry);
        self.claiming.insert(claim.key.clone());
        self.enqueue(ctx, &claim.key);
        None
    }

    fn claim_again(&mut self, ctx: &Context<'_>, claim: &message::Claim) {
        if let Some(entry) = self.entries.get_mut(&claim.key) {
            entry.claim = claim.clone();
            entry.since = ctx.now;
            entry.set(entry::State::Claiming);
            self.expiry.push_back((ctx.now, claim.key.clone()));
            self.claiming.insert(claim.key.clone());
            self.enqueue(ctx, &claim.key);
        }
    }

    fn end_known(
        &mut self,
        ctx: &Context<'_>,
        key: &message::Key,
        end: message::End,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if matches!(entry.state, entry::State::Ended(_) | entry::State::Deleting) {
            return;
        }
        self.claiming.remove(key);
        self.holds.remove(&entry.claim.id);
        if end == message::End::NotRun {
            entry.set(entry::State::Deleting);
            self.let_go(ctx, key, out);
        } else {
            self.answer_bytes += end.answer_bytes();
            self.answers.push_back(key.clone());
            entry.set(entry::State::Ended(end));
        }
        self.enqueue(ctx, key);
        self.drop_unwritten(key);
    }

    fn insert_ended(&mut self, ctx: &Context<'_>, claim: message::Claim, end: message::End) {
        let key = claim.key.clone();
        let mut entry = entry::Entry::new(claim, ctx.now);
        self.answer_bytes += end.answer_bytes();
        entry.set(entry::State::Ended(end));
        self.insert(ctx, entry);
        self.answers.push_back(key.clone());
        self.enqueue(ctx, &key);
    }

    fn insert(&mut self, ctx: &Context<'_>, entry: entry::Entry) {
        let key = entry.claim.key.clone();
        self.expiry.push_back((ctx.now, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Removes a key that is to be deleted and has no row, nor one on its way.
    fn drop_unwritten(&mut self, key: &message::Key) {
        let in_flight = self.flight.as_ref().is_some_and(|flight| flight.has(key));
        let free = self.entries.get(key).is_some_and(|entry| {
            entry.state == entry::State::Deleting && entry.version == 0 && !entry.reading
        });
        if free && !in_flight {
            self.entries.remove(key);
        }
    }

    fn expire(&mut self, ctx: &Context<'_>) {
        while let Some((since, key)) = self.expiry.front().cloned() {
            if ctx.now.since_ms(since) < ctx.settings.keep_ms {
                return;
            }
            self.expiry.pop_front();
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.since != since {
                continue;
            }
            if entry.dirty || entry.reading {
                entry.since = ctx.now;
                self.expiry.push_back((ctx.now, key));
                continue;
            }
            self.answer_bytes -= entry.answer_bytes();
            entry.set(entry::State::Deleting);
            self.enqueue(ctx, &key);
        }
    }

    fn forget_shard(
        &mut self,
        shard: view::Shard,
        old: Option<&view::View>,
        holder: &mut holder::Holder,
    ) {
        let keys: Vec<message::Key> = self
            .entries
            .keys()
            .filter(|key| key.shard() == shard)
            .cloned()
            .collect();
        for key in keys {
            let Some(entry) = self.entries.remove(&key) else {
                continue;
            };
            self.answer_bytes -= entry.answer_bytes();
            self.claiming.remove(&key);
            self.reads.remove(&key);
            if self.from_memory.remove(&key) {
                holder.hold(old.map_or(0, |view| view.number), entry.claim);
            }
        }
    }
}

fn reply_to_asker(id: &message::ClaimId, reply: message::Reply, out: &mut Vec<Output>) {
    out.push(Output::Send {
        to: id.asker.clone(),
        message: Message::Reply {
            id: id.clone(),
            reply,
        },
    });
}
