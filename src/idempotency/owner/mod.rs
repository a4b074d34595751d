//! The owner of keys, which decides which attempt at a key can run.

mod commit;
mod load;
mod memory;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock;
use crate::idempotency;
use crate::idempotency::entry;
use crate::idempotency::message;
use crate::idempotency::message::Message;
use crate::idempotency::message::Output;
use crate::idempotency::replica;
use crate::idempotency::view;
use crate::roster;

/// State of the node that the owner reads.
pub struct Context<'a> {
    /// The current time.
    pub now: clock::Instant,
    /// The id of this node.
    pub me: &'a roster::NodeId,
    /// The current view.
    pub view: &'a view::View,
    /// The version of the view's row.
    pub view_version: u64,
    /// True if this node has sealed the view and grants no more claims from memory in it.
    pub sealed: bool,
    /// The members of the roster, sorted.
    pub roster: &'a [roster::NodeId],
    /// Timeouts and limits.
    pub settings: &'a idempotency::Settings,
}

/// The keys that this node owns, with their pending writes, reads and replications.
#[derive(Debug, Default)]
pub struct Owner {
    shards: BTreeMap<view::Shard, load::Shard>,
    entries: BTreeMap<message::Key, entry::Entry>,
    urgent: VecDeque<message::Key>,
    lazy: VecDeque<message::Key>,
    lazy_since: Option<clock::Instant>,
    claiming: BTreeSet<message::Key>,
    replicating: BTreeMap<message::ClaimId, memory::Replication>,
    unpersisted: BTreeSet<message::Key>,
    expiry: VecDeque<(clock::Instant, message::Key)>,
    answers: VecDeque<message::Key>,
    answer_bytes: usize,
    pending_reads: BTreeMap<message::Key, Option<clock::Instant>>,
    in_flight: Option<commit::InFlight>,
    commit_started_at: Option<clock::Instant>,
}

impl Owner {
    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if every claim that was granted from memory is in the table.
    pub fn is_persisted(&self) -> bool {
        self.unpersisted.is_empty()
    }

    /// Handles a claim request; sends no reply while the shard is not loaded or the claim is not decided.
    pub fn request_claim(
        &mut self,
        ctx: &Context<'_>,
        claim: message::Claim,
        out: &mut Vec<Output>,
    ) {
        let shard = claim.key.shard();
        if !self.is_loaded(shard) {
            return;
        }
        let Some(reply) = self.decide_reply(ctx, &claim) else {
            return;
        };
        send_reply(&claim.id, reply, out);
    }

    /// Records the end of an attempt and acknowledges it to the requester.
    pub fn attempt_ended(
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
        let is_same_attempt = self.entries.get(&key).map(|entry| entry.claim.id == id);
        match is_same_attempt {
            Some(true) => self.end_existing(ctx, &key, end, out),
            Some(false) => {}
            None if end == message::End::NotRun => {}
            None => self.insert_ended(ctx, claim, end),
        }
        let pending = self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.claim.id == id && entry.dirty);
        let message = if pending {
            Message::EndReceived { id: id.clone() }
        } else {
            Message::EndCommitted { id: id.clone() }
        };
        out.push(Output::Send {
            to: id.requester,
            message,
        });
    }

    /// Sends the reads that are due, expires keys, and requests replicas in memory mode.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Output>) {
        self.scan_shards(ctx, out);
        self.read_rows(ctx, out);
        self.expire_keys(ctx);
        if self.is_in_memory_mode(ctx) {
            self.request_replicas(ctx, out);
        }
    }

    /// Applies a new view; unpersisted claims of shards that this node no longer owns are moved to `replicas`.
    pub fn view_changed(
        &mut self,
        ctx: &Context<'_>,
        old: Option<&view::View>,
        replicas: &mut replica::Store,
    ) {
        self.replicating.clear();
        let consecutive = old.filter(|old| old.number + 1 == ctx.view.number);
        for shard in view::Shard::all() {
            let retained = consecutive.is_some_and(|old| old.owner(shard) == Some(ctx.me));
            let owned = ctx.view.owner(shard) == Some(ctx.me);
            match (owned, retained) {
                (true, true) => {}
                (true, false) => {
                    self.shards
                        .insert(shard, load::Shard::new(!ctx.settings.guards.load));
                }
                (false, _) => {
                    self.shards.remove(&shard);
                }
            }
            if !(owned && retained) {
                self.drop_shard(shard, old, replicas);
            }
        }
    }

    fn decide_reply(
        &mut self,
        ctx: &Context<'_>,
        claim: &message::Claim,
    ) -> Option<message::Reply> {
        let Some(entry) = self.entries.get(&claim.key) else {
            return self.claim_new(ctx, claim);
        };
        if entry.claim.id == claim.id {
            return match entry.state {
                entry::State::Granted => Some(message::Reply::Granted),
                entry::State::Claiming | entry::State::Ended(_) | entry::State::Deleting => None,
            };
        }
        if entry.state == entry::State::Deleting {
            self.reclaim(ctx, claim);
            return None;
        }
        if entry.claim.fingerprint != claim.fingerprint {
            return Some(message::Reply::Mismatch);
        }
        let requester_alive = ctx.roster.contains(&entry.claim.id.requester);
        match &entry.state {
            entry::State::Claiming | entry::State::Granted if requester_alive => {
                Some(message::Reply::InProgress)
            }
            entry::State::Ended(message::End::Ran(None)) if entry.answer_in_row => {
                self.pending_reads.entry(claim.key.clone()).or_insert(None);
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

    fn claim_new(&mut self, ctx: &Context<'_>, claim: &message::Claim) -> Option<message::Reply> {
        if ctx.settings.guards.suspect && ctx.view.is_suspect(claim.key.shard()) {
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

    fn reclaim(&mut self, ctx: &Context<'_>, claim: &message::Claim) {
        if let Some(entry) = self.entries.get_mut(&claim.key) {
            entry.claim = claim.clone();
            entry.claimed_at = ctx.now;
            entry.set_state(entry::State::Claiming);
            self.expiry.push_back((ctx.now, claim.key.clone()));
            self.claiming.insert(claim.key.clone());
            self.enqueue(ctx, &claim.key);
        }
    }

    fn end_existing(
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
        self.replicating.remove(&entry.claim.id);
        if end == message::End::NotRun {
            entry.set_state(entry::State::Deleting);
            self.delete_replicas(ctx, key, out);
        } else {
            self.answer_bytes += end.answer_bytes();
            self.answers.push_back(key.clone());
            entry.set_state(entry::State::Ended(end));
        }
        self.enqueue(ctx, key);
        self.remove_if_unwritten(key);
    }

    fn insert_ended(&mut self, ctx: &Context<'_>, claim: message::Claim, end: message::End) {
        let key = claim.key.clone();
        let mut entry = entry::Entry::new(claim, ctx.now);
        self.answer_bytes += end.answer_bytes();
        entry.set_state(entry::State::Ended(end));
        self.insert(ctx, entry);
        self.answers.push_back(key.clone());
        self.enqueue(ctx, &key);
    }

    fn insert(&mut self, ctx: &Context<'_>, entry: entry::Entry) {
        let key = entry.claim.key.clone();
        self.expiry.push_back((ctx.now, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Removes a key that is to be deleted, if it has no row and no write of it is in progress.
    fn remove_if_unwritten(&mut self, key: &message::Key) {
        let in_flight = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.contains(key));
        let free = self.entries.get(key).is_some_and(|entry| {
            entry.state == entry::State::Deleting && entry.version == 0 && !entry.reading
        });
        if free && !in_flight {
            self.entries.remove(key);
        }
    }

    fn expire_keys(&mut self, ctx: &Context<'_>) {
        while let Some((claimed_at, key)) = self.expiry.front().cloned() {
            if ctx.now.since_ms(claimed_at) < ctx.settings.retention_ms {
                return;
            }
            self.expiry.pop_front();
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.claimed_at != claimed_at {
                continue;
            }
            if entry.dirty || entry.reading {
                entry.claimed_at = ctx.now;
                self.expiry.push_back((ctx.now, key));
                continue;
            }
            self.answer_bytes -= entry.answer_bytes();
            entry.set_state(entry::State::Deleting);
            self.enqueue(ctx, &key);
        }
    }

    fn drop_shard(
        &mut self,
        shard: view::Shard,
        old: Option<&view::View>,
        replicas: &mut replica::Store,
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
            self.pending_reads.remove(&key);
            if self.unpersisted.remove(&key) {
                replicas.insert(old.map_or(0, |view| view.number), entry.claim);
            }
        }
    }
}

fn send_reply(id: &message::ClaimId, reply: message::Reply, out: &mut Vec<Output>) {
    out.push(Output::Send {
        to: id.requester.clone(),
        message: Message::Reply {
            id: id.clone(),
            reply,
        },
    });
}
