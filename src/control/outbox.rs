//! Periodic work of the control component: heartbeats, polls, propagation of changes and roster maintenance.

use super::{
    Control, HEAD_REQUEST_INTERVAL_MS, LEASES_POLL_MS, Output, Owner, PUSH_INTERVAL_MS, Spread,
    reads,
};
use crate::clock;
use crate::config;
use crate::id;
use crate::journal;
use crate::lease;
use crate::peers;
use crate::roster;

impl Control {
    pub(super) fn tick(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let available = !self.table_is_out(now);
        self.peers
            .set_table_available(now, &mut self.rng, available);
        self.poll_head(now);
        self.poll_leases(now);
        self.poll_roster(now);
        self.push(now, outputs);
        self.fetch(now, outputs);
        self.request_heads(now, outputs);
        for node in self.peers.due(now) {
            let asks = self.peers.asks();
            self.send_heartbeat(now, &node, asks, outputs);
        }
    }

    /// Emits the requests that the journal and the reads are ready to send.
    pub(super) fn flush(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        // A head that is read while the journal is busy would be outdated before the edit is sent.
        let may_edit = now >= self.edit_wait_until && self.writer.is_ready(now);
        if may_edit && self.editor.poll().is_some() {
            self.reads.request(reads::Purpose::HeadForEdit);
        }
        match self.writer.poll(now) {
            Some(journal::Request::Transact { attempt, txn }) => {
                outputs.push(Output::Transact { attempt, txn });
            }
            Some(journal::Request::Read { attempt, key }) => {
                self.reads.request(reads::Purpose::Journal(attempt, key));
            }
            None => {}
        }
        while let Some((id, read)) = self.reads.poll(now) {
            outputs.push(Output::Read { id, read });
        }
    }

    pub(super) fn send_heartbeat(
        &mut self,
        now: clock::Instant,
        to: &roster::NodeId,
        asks: bool,
        outputs: &mut Vec<Output>,
    ) {
        let deltas = match self.spread {
            Spread::Piggyback => self.deltas_for(to),
            Spread::Push | Spread::Announce => None,
        };
        self.send_deltas(now, to, asks, deltas, outputs);
    }

    fn send_deltas(
        &mut self,
        now: clock::Instant,
        to: &roster::NodeId,
        asks: bool,
        deltas: Option<config::Deltas>,
        outputs: &mut Vec<Output>,
    ) {
        let supersedes = self.predecessor().filter(|_| !self.was_member);
        let state = peers::State {
            supersedes,
            head: self.replica.head(),
            roster_head: self.replica.roster().head,
            journal_version: self.writer.version(),
        };
        let heartbeat = self.peers.heartbeat(now, to, state, asks, deltas);
        let message = peers::Message::Heartbeat(heartbeat);
        outputs.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    /// Returns the changes made on this node that a peer is not known to have.
    fn deltas_for(&self, to: &roster::NodeId) -> Option<config::Deltas> {
        let local = self.local.as_ref()?;
        let peer = self.peers.peer(to).filter(|peer| peer.stamp.is_some());
        let head = peer.map_or(local.after, |peer| peer.head);
        (head < local.head).then(|| self.replica.deltas_after(head))
    }

    /// Sends the changes made on this node to the members that lack them, repeatedly until a majority has them.
    pub(super) fn push(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let Some(local) = &self.local else { return };
        if self
            .peers
            .is_acknowledged(now, local.head, self.replica.head())
            && !self.pushed_at.is_empty()
        {
            self.local = None;
            return;
        }
        if self.spread != Spread::Push {
            self.pushed_at.entry(self.me.id.clone()).or_insert(now);
            return;
        }
        for (node, deltas) in self.unpushed(now) {
            self.pushed_at.insert(node.clone(), now);
            self.send_deltas(now, &node, true, Some(deltas), outputs);
        }
        self.pushed_at.entry(self.me.id.clone()).or_insert(now);
    }

    /// Returns the members that lack changes made on this node and were not sent them recently.
    fn unpushed(&self, now: clock::Instant) -> Vec<(roster::NodeId, config::Deltas)> {
        let mut unpushed = Vec::new();
        for member in &self.replica.roster().members {
            let pushed_at = self.pushed_at.get(&member.id);
            let recently_pushed =
                pushed_at.is_some_and(|pushed_at| now.since_ms(*pushed_at) < PUSH_INTERVAL_MS);
            if member.id == self.me.id || recently_pushed {
                continue;
            }
            if let Some(deltas) = self.deltas_for(&member.id) {
                unpushed.push((member.id.clone(), deltas));
            }
        }
        unpushed
    }

    /// Requests the members' heads while a roster change waits for a majority.
    fn request_heads(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let head = self.replica.head();
        let waiting_for_majority = self.roster_change(now).is_some()
            && !self.peers.is_acknowledged(now, head, head)
            && now.since_ms(self.heads_requested_at) >= HEAD_REQUEST_INTERVAL_MS;
        if !waiting_for_majority {
            return;
        }
        self.heads_requested_at = now;
        let members = &self.replica.roster().members;
        let nodes: Vec<roster::NodeId> = members.iter().map(|member| member.id.clone()).collect();
        for node in nodes {
            let has_head = self
                .peers
                .peer(&node)
                .is_some_and(|other| other.head >= head);
            if node != self.me.id && !has_head {
                self.send_heartbeat(now, &node, true, outputs);
            }
        }
    }

    /// Requests missing changes from the most advanced peer.
    fn fetch(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        if self.spread == Spread::Announce && self.replica.is_loaded() && !self.table_is_out(now) {
            return;
        }
        let after = self.replica.head();
        let Some((node, _)) = self.peers.most_advanced(now, after) else {
            return;
        };
        if self
            .fetched_at
            .is_some_and(|fetched_at| now.since_ms(fetched_at) < PUSH_INTERVAL_MS)
        {
            return;
        }
        self.fetched_at = Some(now);
        let message = peers::Message::Fetch {
            from: self.me.id.clone(),
            after,
        };
        outputs.push(Output::Send {
            to: node.clone(),
            message,
        });
    }

    fn poll_head(&mut self, now: clock::Instant) {
        let due = self
            .head_read_at
            .is_none_or(|read_at| now.since_ms(read_at) >= config::HEAD_POLL_MS);
        if due {
            self.head_read_at = Some(now);
            self.reads.request(reads::Purpose::Head);
        }
    }

    fn poll_leases(&mut self, now: clock::Instant) {
        let polled_at = self.leases_polled_at;
        if polled_at.is_some_and(|polled_at| now.since_ms(polled_at) < LEASES_POLL_MS) {
            return;
        }
        self.leases_polled_at = Some(now);
        let mut live = self.peers.live(now);
        if self.leaving {
            live.retain(|node| *node != self.me.id);
        }
        for action in self.leases.poll(now, &live) {
            match action {
                lease::Action::Renew => self.writer.request_renewal(),
                lease::Action::ReadRows => self.reads.request(reads::Purpose::Duties),
                lease::Action::ReadJournal(node) => {
                    self.reads.request(reads::Purpose::LeaseHolder(node))
                }
                lease::Action::Change { duty, txn } => match self.writer.submit(txn.clone()) {
                    Ok(token) => drop(self.owners.insert(token, Owner::Duty(duty, txn))),
                    Err(_) => self.leases.on_submit_failed(&duty),
                },
            }
        }
    }

    fn poll_roster(&mut self, now: clock::Instant) {
        let change = self.roster_change(now);
        self.editor.set_roster_change(change);
    }

    /// Returns the roster change that this node should make now.
    fn roster_change(&self, now: clock::Instant) -> Option<roster::Change> {
        let roster = self.replica.roster();
        let too_early = now < self.edit_wait_until || !self.replica.is_loaded();
        if too_early || self.table_is_out(now) || self.is_superseded() {
            return None;
        }
        let silent = self.peers.silent_by_majority(now);
        let change =
            roster::plan_change(roster, &self.me, self.leaving, &self.removed_nodes, &silent)?;
        let allowed = match &change {
            roster::Change::Join(member) => {
                let replaces = roster.members.iter().any(|other| {
                    other.id.node == member.id.node || other.address == member.address
                });
                !replaces || now.since_ms(self.started_at) >= peers::ENDED_AFTER_MS
            }
            roster::Change::Remove(_, roster::Reason::Left) => self.leases.grants(now).is_empty(),
            roster::Change::Remove(..) => self.is_roster_maintainer(now),
        };
        allowed.then_some(change)
    }

    /// Returns true for one live member, so that few nodes compete to remove a node.
    fn is_roster_maintainer(&self, now: clock::Instant) -> bool {
        let live = self.peers.live(now);
        let maintainer = lease::rendezvous::preferred(&id::Duty::new(roster::KEY), live.iter());
        maintainer == Some(&self.me.id)
    }
}
