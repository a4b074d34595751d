//! The state machine of one process: requester, owner, replica store and coordinator of view changes.

use std::collections::BTreeSet;

use crate::clock;
use crate::idempotency;
use crate::idempotency::message;
use crate::idempotency::message::Input;
use crate::idempotency::message::Message;
use crate::idempotency::message::Output;
use crate::idempotency::owner;
use crate::idempotency::replica;
use crate::idempotency::requester;
use crate::idempotency::view;
use crate::idempotency::view_change;
use crate::platform;
use crate::roster;

/// Builds the requester's context by borrowing single fields, so that the requester can be borrowed mutably.
macro_rules! requester_ctx {
    ($node:ident, $now:expr) => {
        requester::Context {
            now: $now,
            view: $node.view.as_ref(),
            settings: &$node.settings,
        }
    };
}

/// Builds the owner's context by borrowing single fields, so that the owner can be borrowed mutably.
///
/// Evaluates to `None` without a view.
macro_rules! owner_ctx {
    ($node:ident, $now:expr) => {
        $node.view.as_ref().map(|view| owner::Context {
            now: $now,
            me: &$node.me,
            view,
            view_version: $node.view_version,
            sealed: $node.sealed,
            roster: &$node.roster,
            settings: &$node.settings,
        })
    };
}

/// Builds the context of a view change by borrowing single fields, so that the coordinator can be borrowed mutably.
macro_rules! view_change_ctx {
    ($node:ident, $now:expr) => {
        view_change::Context {
            now: $now,
            me: &$node.me,
            view: $node.view.as_ref(),
            view_version: $node.view_version,
            roster: &$node.roster,
            table_unreachable: $node.is_in_memory_mode($now),
            settings: &$node.settings,
        }
    };
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    /// No shutdown has been requested.
    NotRequested,
    /// The departure is recorded in the view after all unpersisted state is in the table.
    Requested,
    /// The transaction with this token records the departure in the view.
    Committing(u64),
    /// The view records the departure, or never had this process as a member.
    Recorded,
}

/// The idempotency state machine of one process.
#[derive(Debug)]
pub struct Node {
    me: roster::NodeId,
    settings: idempotency::Settings,
    roster: Vec<roster::NodeId>,
    view: Option<view::View>,
    view_version: u64,
    view_known: bool,
    view_outdated: bool,
    view_read_at: Option<clock::Instant>,
    sealed: bool,
    seal_requesters: BTreeSet<roster::NodeId>,
    requester: requester::Requester,
    owner: owner::Owner,
    replicas: replica::Store,
    coordinator: view_change::Coordinator,
    shutdown: Shutdown,
    next_token: u64,
}

impl Node {
    /// Creates the state machine of a new process.
    pub fn new(me: roster::NodeId, settings: idempotency::Settings) -> Self {
        Self {
            me,
            settings,
            roster: Vec::new(),
            view: None,
            view_version: 0,
            view_known: false,
            view_outdated: false,
            view_read_at: None,
            sealed: false,
            seal_requesters: BTreeSet::new(),
            requester: requester::Requester::default(),
            owner: owner::Owner::default(),
            replicas: replica::Store::default(),
            coordinator: view_change::Coordinator::default(),
            shutdown: Shutdown::NotRequested,
            next_token: 0,
        }
    }

    /// Handles an input and returns the resulting outputs.
    pub fn handle(&mut self, now: clock::Instant, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.apply(now, input, &mut out);
        self.deliver_to_self(now, &mut out);
        self.commit_owned(now, &mut out);
        out
    }

    /// Returns the current view; `None` until it has been read.
    pub fn view(&self) -> Option<&view::View> {
        self.view.as_ref()
    }

    /// Returns true if the claims of all owned shards are loaded, so that keyed requests can be served.
    pub fn is_ready(&self) -> bool {
        self.view.is_some() && self.owner.all_loaded()
    }

    /// Returns true while claims are granted from memory because the table is unavailable.
    pub fn is_in_memory_mode(&self, now: clock::Instant) -> bool {
        owner_ctx!(self, now).is_some_and(|ctx| self.owner.is_in_memory_mode(&ctx))
    }

    /// Returns the numbers of owned keys, tracked requests and replicas.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            owned: self.owner.len(),
            requested: self.requester.len(),
            replicas: self.replicas.len(),
        }
    }

    /// Returns true if no state exists only in this process's memory; a graceful shutdown waits for it.
    pub fn is_persisted(&self) -> bool {
        self.owner.is_persisted() && self.replicas.is_empty() && self.requester.is_empty()
    }

    fn apply(&mut self, now: clock::Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Roster(mut roster) => {
                roster.sort();
                self.roster = roster;
            }
            Input::Request {
                number,
                key,
                fingerprint,
                deadline,
            } => {
                let id = message::ClaimId {
                    requester: self.me.clone(),
                    number,
                };
                let claim = message::Claim {
                    id,
                    key,
                    fingerprint,
                };
                let ctx = requester_ctx!(self, now);
                self.requester.start(&ctx, claim, deadline, out);
            }
            Input::End { number, end } => self.end_request(now, number, end, out),
            Input::Peer { from, message } => self.handle_peer(now, from, message, out),
            Input::Row { key, row } => self.handle_row(now, &key, row.as_ref(), out),
            Input::Rows {
                view,
                prefix,
                after,
                rows,
            } => {
                if let Some(ctx) = owner_ctx!(self, now)
                    && ctx.view.number == view
                {
                    self.owner.handle_rows(&ctx, &prefix, after.as_ref(), &rows);
                }
            }
            Input::Leave => {
                self.shutdown = Shutdown::Requested;
                self.sealed = true;
            }
            Input::Outcome { token, outcome } => self.handle_outcome(now, token, &outcome, out),
        }
    }

    /// Returns true if the view records that this process has shut down, or never had it as a member.
    pub fn has_left(&self) -> bool {
        self.shutdown == Shutdown::Recorded
    }

    /// Records the shutdown of this process in the view after all unpersisted state is in the table.
    fn record_departure(&mut self, out: &mut Vec<Output>) {
        if self.shutdown != Shutdown::Requested || self.view_outdated || !self.is_persisted() {
            return;
        }
        let Some(view) = self
            .view
            .as_ref()
            .filter(|view| view.members.contains(&self.me))
        else {
            self.shutdown = Shutdown::Recorded;
            return;
        };
        let mut view = view.clone();
        view.departed.push(self.me.clone());
        let txn = view.write_txn(self.view_version);
        let token = self.next_token;
        self.next_token += 1;
        self.shutdown = Shutdown::Committing(token);
        out.push(Output::Transact { token, txn });
    }

    fn tick(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        self.record_departure(out);
        self.read_view_row(now, out);
        let ctx = requester_ctx!(self, now);
        self.requester.tick(&ctx, out);
        if let Some(ctx) = owner_ctx!(self, now) {
            self.owner.tick(&ctx, out);
        }
        self.write_replicas(now, out);
        self.report_sealed(out);
        if self.view_known && !self.view_outdated {
            let token = self.next_token;
            let ctx = view_change_ctx!(self, now);
            if self.coordinator.tick(&ctx, token, out) {
                self.next_token += 1;
            }
        }
    }

    fn end_request(
        &mut self,
        now: clock::Instant,
        number: u64,
        end: message::End,
        out: &mut Vec<Output>,
    ) {
        let ctx = requester_ctx!(self, now);
        self.requester.end(&ctx, number, end, out);
    }

    fn handle_peer(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::ClaimRequest { view, claim } => {
                if self.is_current(view) {
                    if let Some(ctx) = owner_ctx!(self, now) {
                        self.owner.request_claim(&ctx, claim, out);
                    }
                } else {
                    self.handle_view_mismatch(from, view, out);
                }
            }
            Message::Ended { view, claim, end } => {
                if self.is_current(view) {
                    if let Some(ctx) = owner_ctx!(self, now) {
                        self.owner.attempt_ended(&ctx, claim, end, out);
                    }
                } else {
                    self.handle_view_mismatch(from, view, out);
                }
            }
            Message::Reply { id, reply } => {
                self.requester.handle_reply(&id, reply, out);
            }
            Message::EndReceived { id } => {
                let ctx = requester_ctx!(self, now);
                self.requester.end_received(&ctx, &id);
            }
            Message::DeleteReplicas { ids } => {
                for id in &ids {
                    self.replicas.remove(id);
                }
                self.report_sealed(out);
            }
            Message::EndCommitted { id } => {
                self.requester.end_committed(&id);
            }
            Message::NewView { view } => self.note_view_number(view),
            Message::Replicate { .. }
            | Message::Replicated { .. }
            | Message::Seal { .. }
            | Message::Sealed { .. } => self.handle_replication(now, from, message, out),
        }
    }

    /// Handles the messages about replicas and view changes.
    fn handle_replication(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Replicate { view, claim } if self.is_unsealed(view) => {
                let id = claim.id.clone();
                self.replicas.insert(view, claim);
                send(out, from, Message::Replicated { id });
            }
            Message::Replicated { id } => {
                if let Some(ctx) = owner_ctx!(self, now) {
                    self.owner.claim_replicated(&ctx, from, &id, out);
                }
            }
            Message::Seal { view } if self.is_current(view) => {
                self.sealed = true;
                self.seal_requesters.insert(from);
                self.write_replicas(now, out);
                self.report_sealed(out);
            }
            Message::Seal { view } => self.note_view_number(view),
            Message::Sealed { view } => {
                let ctx = view_change_ctx!(self, now);
                self.coordinator.record_sealed(&ctx, from, view);
            }
            _ => {}
        }
    }

    fn handle_row(
        &mut self,
        now: clock::Instant,
        key: &crate::id::Key,
        row: Option<&platform::Row>,
        out: &mut Vec<Output>,
    ) {
        if key.as_str() == view::ROW_KEY {
            self.handle_view_row(now, row, out);
            return;
        }
        let Some(key) = message::Key::from_row_key(key) else {
            return;
        };
        if let Some(ctx) = owner_ctx!(self, now) {
            self.owner.handle_row(&ctx, &key, row, out);
        }
    }

    fn handle_view_row(
        &mut self,
        now: clock::Instant,
        row: Option<&platform::Row>,
        out: &mut Vec<Output>,
    ) {
        let Some(row) = row else {
            if self.view.is_none() {
                self.view_known = true;
                self.view_outdated = false;
            }
            return;
        };
        if row.version < self.view_version {
            return;
        }
        if let Ok(view) = serde_json::from_str::<view::View>(&row.value) {
            self.view_known = true;
            self.view_outdated = false;
            self.adopt_view(now, view, row.version, out);
        }
    }

    fn handle_outcome(
        &mut self,
        now: clock::Instant,
        token: u64,
        outcome: &platform::Outcome,
        out: &mut Vec<Output>,
    ) {
        if self.shutdown == Shutdown::Committing(token) {
            self.shutdown = match outcome {
                platform::Outcome::Committed(_) => Shutdown::Recorded,
                platform::Outcome::Refused(_) | platform::Outcome::Unknown => Shutdown::Requested,
            };
            self.view_outdated = self.shutdown == Shutdown::Requested;
            return;
        }
        let retry_ms = self.settings.outage_after_ms;
        if let Some(ids) = self.replicas.handle_outcome(now, token, outcome, retry_ms) {
            self.send_delete_replicas(ids, out);
            self.write_replicas(now, out);
            self.report_sealed(out);
            return;
        }
        if let Some((view, version)) = self.coordinator.handle_outcome(token, outcome) {
            self.send_new_view(&view, out);
            self.adopt_view(now, view, version, out);
            return;
        }
        let mut stale = !matches!(outcome, platform::Outcome::Committed(_));
        if let Some(ctx) = owner_ctx!(self, now)
            && !self.owner.handle_outcome(&ctx, token, outcome, out)
        {
            stale &= matches!(outcome, platform::Outcome::Refused(refused)
                if refused.key.as_str() == view::ROW_KEY);
        }
        if stale {
            self.view_outdated = true;
        }
        self.report_sealed(out);
    }

    fn adopt_view(
        &mut self,
        now: clock::Instant,
        view: view::View,
        version: u64,
        out: &mut Vec<Output>,
    ) {
        self.view_version = self.view_version.max(version);
        if let Some(old) = &mut self.view
            && old.number >= view.number
        {
            if old.number == view.number {
                old.departed = view.departed;
            }
            return;
        }
        let old = self.view.replace(view);
        self.sealed = self.shutdown != Shutdown::NotRequested;
        self.seal_requesters.clear();
        self.coordinator.view_changed();
        if let Some(ctx) = owner_ctx!(self, now) {
            self.owner
                .view_changed(&ctx, old.as_ref(), &mut self.replicas);
            self.owner.tick(&ctx, out);
        }
        let ctx = requester_ctx!(self, now);
        self.requester.view_changed(&ctx);
        self.requester.tick(&ctx, out);
        self.write_replicas(now, out);
    }

    fn send_new_view(&self, view: &view::View, out: &mut Vec<Output>) {
        for member in self.roster.iter().filter(|member| **member != self.me) {
            let view = view.number;
            send(out, member.clone(), Message::NewView { view });
        }
    }

    fn send_delete_replicas(&self, ids: Vec<message::ClaimId>, out: &mut Vec<Output>) {
        if ids.is_empty() {
            return;
        }
        let members = self.view.iter().flat_map(|view| &view.members);
        for member in members.filter(|member| **member != self.me) {
            let ids = ids.clone();
            send(out, member.clone(), Message::DeleteReplicas { ids });
        }
    }

    /// Reads the view's row if no view has been read or a newer one is known to exist.
    fn read_view_row(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        if self.view_known && !self.view_outdated {
            return;
        }
        let recently_sent = self
            .view_read_at
            .is_some_and(|at| now.since_ms(at) < self.settings.resend_ms);
        if recently_sent {
            return;
        }
        self.view_read_at = Some(now);
        out.push(Output::ReadRow {
            key: view::ROW_KEY.into(),
        });
    }

    fn note_view_number(&mut self, number: u64) {
        if self.view.as_ref().is_none_or(|view| view.number < number) {
            self.view_outdated = true;
        }
    }

    fn handle_view_mismatch(&mut self, from: roster::NodeId, number: u64, out: &mut Vec<Output>) {
        self.note_view_number(number);
        if let Some(view) = &self.view
            && view.number > number
        {
            let view = view.number;
            send(out, from, Message::NewView { view });
        }
    }

    /// Writes the replicated claims of views that are sealed or have been replaced to the table.
    fn write_replicas(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let Some(view) = &self.view else {
            return;
        };
        let before_view = view.number + u64::from(self.sealed);
        let stagger_ms = self.settings.flush_stagger_ms;
        self.replicas
            .schedule_writes(now, &self.me, view, before_view, stagger_ms);
        if self.replicas.write_due(now, self.next_token, out) {
            self.next_token += 1;
        }
    }

    /// Reports to the coordinator of a change that the view is sealed, after all claims are in the table.
    fn report_sealed(&mut self, out: &mut Vec<Output>) {
        let persisted = self.owner.is_persisted() && self.replicas.is_empty();
        let Some(view) = &self.view else {
            return;
        };
        if !self.sealed || !persisted {
            return;
        }
        for coordinator in std::mem::take(&mut self.seal_requesters) {
            let view = view.number;
            send(out, coordinator, Message::Sealed { view });
        }
    }

    fn commit_owned(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        if self.view_outdated {
            return;
        }
        let token = self.next_token;
        if let Some(ctx) = owner_ctx!(self, now)
            && self.owner.commit(&ctx, token, out)
        {
            self.next_token += 1;
        }
    }

    /// Handles the messages that this process sends to itself.
    fn deliver_to_self(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let mut index = 0;
        while index < out.len() {
            let is_own = matches!(&out[index], Output::Send { to, .. } if *to == self.me);
            if !is_own {
                index += 1;
                continue;
            }
            if let Output::Send { message, .. } = out.remove(index) {
                self.handle_peer(now, self.me.clone(), message, out);
            }
        }
    }

    fn is_current(&self, number: u64) -> bool {
        self.view.as_ref().is_some_and(|view| view.number == number)
    }

    /// Returns true if the view is the current one and is not sealed.
    fn is_unsealed(&self, number: u64) -> bool {
        self.is_current(number) && !self.sealed
    }
}

/// Numbers of items that a process keeps in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Keys that this process owns.
    pub owned: usize,
    /// Requests received by this process whose end is not yet in the table.
    pub requested: usize,
    /// Replicas of claims granted from memory.
    pub replicas: usize,
}

fn send(out: &mut Vec<Output>, to: roster::NodeId, message: Message) {
    out.push(Output::Send { to, message });
}
