//! One process's part in at-most-once execution: asker, owner, holder and leader of changes.

use std::collections::BTreeSet;

use crate::clock;
use crate::once;
use crate::once::asker;
use crate::once::change;
use crate::once::holder;
use crate::once::message;
use crate::once::message::Input;
use crate::once::message::Message;
use crate::once::message::Output;
use crate::once::owner;
use crate::once::view;
use crate::platform;
use crate::roster;

/// The asker's context, borrowed field by field beside the asker.
macro_rules! asker_ctx {
    ($node:ident, $now:expr) => {
        asker::Context {
            now: $now,
            view: $node.view.as_ref(),
            settings: &$node.settings,
        }
    };
}

/// The owner's context, borrowed field by field beside the owner; `None` without a view.
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

/// The context of a change, borrowed field by field beside it.
macro_rules! change_ctx {
    ($node:ident, $now:expr) => {
        change::Context {
            now: $now,
            me: &$node.me,
            view: $node.view.as_ref(),
            view_version: $node.view_version,
            roster: &$node.roster,
            table_out: $node.is_in_memory_mode($now),
            settings: &$node.settings,
        }
    };
}

/// How far a graceful end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    /// The process goes on.
    Staying,
    /// It ends when all that it alone knows is in the table.
    Wanted,
    /// The view is being told, by this transaction.
    Committing(u64),
    /// The view knows.
    Left,
}

/// The state machine of one process.
#[derive(Debug)]
pub struct Once {
    me: roster::NodeId,
    settings: once::Settings,
    roster: Vec<roster::NodeId>,
    view: Option<view::View>,
    view_version: u64,
    view_known: bool,
    view_newer: bool,
    view_read_at: Option<clock::Instant>,
    sealed: bool,
    seal_from: BTreeSet<roster::NodeId>,
    asker: asker::Asker,
    owner: owner::Owner,
    holder: holder::Holder,
    change: change::Change,
    leave: Leave,
    next_token: u64,
}

impl Once {
    /// Makes the state machine of a new process.
    pub fn new(me: roster::NodeId, settings: once::Settings) -> Self {
        Self {
            me,
            settings,
            roster: Vec::new(),
            view: None,
            view_version: 0,
            view_known: false,
            view_newer: false,
            view_read_at: None,
            sealed: false,
            seal_from: BTreeSet::new(),
            asker: asker::Asker::default(),
            owner: owner::Owner::default(),
            holder: holder::Holder::default(),
            change: change::Change::default(),
            leave: Leave::Staying,
            next_token: 0,
        }
    }

    /// Takes an input and returns what is to be done.
    pub fn handle(&mut self, now: clock::Instant, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.take(now, input, &mut out);
        self.deliver_to_self(now, &mut out);
        self.commit(now, &mut out);
        out
    }

    /// The view, if it is known.
    pub fn view(&self) -> Option<&view::View> {
        self.view.as_ref()
    }

    /// True if the claims of all owned shards are known, so that keyed requests can flow.
    pub fn is_ready(&self) -> bool {
        self.view.is_some() && self.owner.all_loaded()
    }

    /// True while claims are granted from memory.
    pub fn is_in_memory_mode(&self, now: clock::Instant) -> bool {
        owner_ctx!(self, now).is_some_and(|ctx| self.owner.is_in_memory_mode(&ctx))
    }

    /// The number of keys remembered as owner, requests remembered as asker and claims held for others.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            owned: self.owner.len(),
            asked: self.asker.len(),
            held: self.holder.len(),
        }
    }

    /// True if all that this process alone knows is in the table; a graceful stop waits for it.
    pub fn is_written(&self) -> bool {
        self.owner.is_written() && self.holder.is_empty() && self.asker.is_empty()
    }

    fn take(&mut self, now: clock::Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Roster(mut roster) => {
                roster.sort();
                self.roster = roster;
            }
            Input::Ask {
                number,
                key,
                fingerprint,
                deadline,
            } => {
                let id = message::ClaimId {
                    asker: self.me.clone(),
                    number,
                };
                let claim = message::Claim {
                    id,
                    key,
                    fingerprint,
                };
                let ctx = asker_ctx!(self, now);
                self.asker.ask(&ctx, claim, deadline, out);
            }
            Input::End { number, end } => self.end(now, number, end, out),
            Input::Peer { from, message } => self.peer(now, from, message, out),
            Input::Row { key, row } => self.row(now, &key, row.as_ref(), out),
            Input::Rows {
                view,
                prefix,
                after,
                rows,
            } => {
                if let Some(ctx) = owner_ctx!(self, now)
                    && ctx.view.number == view
                {
                    self.owner.rows(&ctx, &prefix, after.as_ref(), &rows);
                }
            }
            Input::Leave => {
                self.leave = Leave::Wanted;
                self.sealed = true;
            }
            Input::Outcome { token, outcome } => self.outcome(now, token, &outcome, out),
        }
    }

    /// True if the view knows that this process has ended gracefully, or never had it as a member.
    pub fn has_left(&self) -> bool {
        self.leave == Leave::Left
    }

    /// Tells the view that this process ends, when all that it alone knows is in the table.
    fn commit_leave(&mut self, out: &mut Vec<Output>) {
        if self.leave != Leave::Wanted || self.view_newer || !self.is_written() {
            return;
        }
        let Some(view) = self
            .view
            .as_ref()
            .filter(|view| view.members.contains(&self.me))
        else {
            self.leave = Leave::Left;
            return;
        };
        let mut view = view.clone();
        view.left.push(self.me.clone());
        let txn = view.write(self.view_version);
        let token = self.next_token;
        self.next_token += 1;
        self.leave = Leave::Committing(token);
        out.push(Output::Transact { token, txn });
    }

    fn tick(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        self.commit_leave(out);
        self.read_view(now, out);
        let ctx = asker_ctx!(self, now);
        self.asker.tick(&ctx, out);
        if let Some(ctx) = owner_ctx!(self, now) {
            self.owner.tick(&ctx, out);
        }
        self.flush(now, out);
        self.report_sealed(out);
        if self.view_known && !self.view_newer {
            let token = self.next_token;
            let ctx = change_ctx!(self, now);
            if self.change.tick(&ctx, token, out) {
                self.next_token += 1;
            }
        }
    }

    fn end(&mut self, now: clock::Instant, number: u64, end: message::End, out: &mut Vec<Output>) {
        let ctx = asker_ctx!(self, now);
        self.asker.end(&ctx, number, end, out);
    }

    fn peer(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Ask { view, claim } => {
                if self.is_current(view) {
                    if let Some(ctx) = owner_ctx!(self, now) {
                        self.owner.ask(&ctx, claim, out);
                    }
                } else {
                    self.other_view(from, view, out);
                }
            }
            Message::Ended { view, claim, end } => {
                if self.is_current(view) {
                    if let Some(ctx) = owner_ctx!(self, now) {
                        self.owner.ended(&ctx, claim, end, out);
                    }
                } else {
                    self.other_view(from, view, out);
                }
            }
            Message::Reply { id, reply } => {
                self.asker.reply(&id, reply, out);
            }
            Message::Noted { id } => {
                let ctx = asker_ctx!(self, now);
                self.asker.noted(&ctx, &id);
            }
            Message::Written { ids } => {
                for id in &ids {
                    self.holder.release(id);
                }
                self.report_sealed(out);
            }
            Message::Settled { id } => {
                self.asker.settled(&id);
            }
            Message::NewView { view } => self.hear_view(view),
            Message::Hold { .. }
            | Message::Held { .. }
            | Message::Seal { .. }
            | Message::Sealed { .. } => self.peer_memory(now, from, message, out),
        }
    }

    /// Takes the messages of memory mode and of changes of the view.
    fn peer_memory(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Hold { view, claim } if self.is_open(view) => {
                let id = claim.id.clone();
                self.holder.hold(view, claim);
                send(out, from, Message::Held { id });
            }
            Message::Held { id } => {
                if let Some(ctx) = owner_ctx!(self, now) {
                    self.owner.held(&ctx, from, &id, out);
                }
            }
            Message::Seal { view } if self.is_current(view) => {
                self.sealed = true;
                self.seal_from.insert(from);
                self.flush(now, out);
                self.report_sealed(out);
            }
            Message::Seal { view } => self.hear_view(view),
            Message::Sealed { view } => {
                let ctx = change_ctx!(self, now);
                self.change.sealed(&ctx, from, view);
            }
            _ => {}
        }
    }

    fn row(
        &mut self,
        now: clock::Instant,
        key: &crate::id::Key,
        row: Option<&platform::Row>,
        out: &mut Vec<Output>,
    ) {
        if key.as_str() == view::ROW_KEY {
            self.view_row(now, row, out);
            return;
        }
        let Some(key) = message::Key::from_row_key(key) else {
            return;
        };
        if let Some(ctx) = owner_ctx!(self, now) {
            self.owner.row(&ctx, &key, row, out);
        }
    }

    fn view_row(
        &mut self,
        now: clock::Instant,
        row: Option<&platform::Row>,
        out: &mut Vec<Output>,
    ) {
        let Some(row) = row else {
            if self.view.is_none() {
                self.view_known = true;
                self.view_newer = false;
            }
            return;
        };
        if row.version < self.view_version {
            return;
        }
        if let Ok(view) = serde_json::from_str::<view::View>(&row.value) {
            self.view_known = true;
            self.view_newer = false;
            self.adopt_view(now, view, row.version, out);
        }
    }

    fn outcome(
        &mut self,
        now: clock::Instant,
        token: u64,
        outcome: &platform::Outcome,
        out: &mut Vec<Output>,
    ) {
        if self.leave == Leave::Committing(token) {
            self.leave = match outcome {
                platform::Outcome::Committed(_) => Leave::Left,
                platform::Outcome::Refused(_) | platform::Outcome::Unknown => Leave::Wanted,
            };
            self.view_newer = self.leave == Leave::Wanted;
            return;
        }
        let retry_ms = self.settings.outage_after_ms;
        if let Some(ids) = self.holder.outcome(now, token, outcome, retry_ms) {
            self.announce_written(ids, out);
            self.flush(now, out);
            self.report_sealed(out);
            return;
        }
        if let Some((view, version)) = self.change.outcome(token, outcome) {
            self.announce_view(&view, out);
            self.adopt_view(now, view, version, out);
            return;
        }
        let mut stale = !matches!(outcome, platform::Outcome::Committed(_));
        if let Some(ctx) = owner_ctx!(self, now)
            && !self.owner.outcome(&ctx, token, outcome, out)
        {
            stale &= matches!(outcome, platform::Outcome::Refused(refused)
                if refused.key.as_str() == view::ROW_KEY);
        }
        if stale {
            self.view_newer = true;
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
                old.left = view.left;
            }
            return;
        }
        let old = self.view.replace(view);
        self.sealed = self.leave != Leave::Staying;
        self.seal_from.clear();
        self.change.view_changed();
        if let Some(ctx) = owner_ctx!(self, now) {
            self.owner
                .view_changed(&ctx, old.as_ref(), &mut self.holder);
            self.owner.tick(&ctx, out);
        }
        let ctx = asker_ctx!(self, now);
        self.asker.view_changed(&ctx);
        self.asker.tick(&ctx, out);
        self.flush(now, out);
    }

    fn announce_view(&self, view: &view::View, out: &mut Vec<Output>) {
        for member in self.roster.iter().filter(|member| **member != self.me) {
            let view = view.number;
            send(out, member.clone(), Message::NewView { view });
        }
    }

    fn announce_written(&self, ids: Vec<message::ClaimId>, out: &mut Vec<Output>) {
        if ids.is_empty() {
            return;
        }
        let members = self.view.iter().flat_map(|view| &view.members);
        for member in members.filter(|member| **member != self.me) {
            let ids = ids.clone();
            send(out, member.clone(), Message::Written { ids });
        }
    }

    /// Reads the view's row if it is not known, or a newer one is.
    fn read_view(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        if self.view_known && !self.view_newer {
            return;
        }
        let waits = self
            .view_read_at
            .is_some_and(|at| now.since_ms(at) < self.settings.resend_ms);
        if waits {
            return;
        }
        self.view_read_at = Some(now);
        out.push(Output::ReadRow {
            key: view::ROW_KEY.into(),
        });
    }

    fn hear_view(&mut self, number: u64) {
        if self.view.as_ref().is_none_or(|view| view.number < number) {
            self.view_newer = true;
        }
    }

    fn other_view(&mut self, from: roster::NodeId, number: u64, out: &mut Vec<Output>) {
        self.hear_view(number);
        if let Some(view) = &self.view
            && view.number > number
        {
            let view = view.number;
            send(out, from, Message::NewView { view });
        }
    }

    /// Writes down claims that are held for views that end or have ended.
    fn flush(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let Some(view) = &self.view else {
            return;
        };
        let before = view.number + u64::from(self.sealed);
        let step_ms = self.settings.flush_step_ms;
        self.holder.plan(now, &self.me, view, before, step_ms);
        if self.holder.flush(now, self.next_token, out) {
            self.next_token += 1;
        }
    }

    /// Tells the leader of a change that the view is sealed, when all is written down.
    fn report_sealed(&mut self, out: &mut Vec<Output>) {
        let written = self.owner.is_written() && self.holder.is_empty();
        let Some(view) = &self.view else {
            return;
        };
        if !self.sealed || !written {
            return;
        }
        for leader in std::mem::take(&mut self.seal_from) {
            let view = view.number;
            send(out, leader, Message::Sealed { view });
        }
    }

    fn commit(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        if self.view_newer {
            return;
        }
        let token = self.next_token;
        if let Some(ctx) = owner_ctx!(self, now)
            && self.owner.commit(&ctx, token, out)
        {
            self.next_token += 1;
        }
    }

    /// Handles messages from this process to itself.
    fn deliver_to_self(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let mut at = 0;
        while at < out.len() {
            let own = matches!(&out[at], Output::Send { to, .. } if *to == self.me);
            if !own {
                at += 1;
                continue;
            }
            if let Output::Send { message, .. } = out.remove(at) {
                self.peer(now, self.me.clone(), message, out);
            }
        }
    }

    fn is_current(&self, number: u64) -> bool {
        self.view.as_ref().is_some_and(|view| view.number == number)
    }

    /// True if the view is the current one and memory mode is not ended in it.
    fn is_open(&self, number: u64) -> bool {
        self.is_current(number) && !self.sealed
    }
}

/// How much a process remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Keys remembered as owner.
    pub owned: usize,
    /// Requests remembered as asker.
    pub asked: usize,
    /// Claims granted from memory that are held.
    pub held: usize,
}

fn send(out: &mut Vec<Output>, to: roster::NodeId, message: Message) {
    out.push(Output::Send { to, message });
}
