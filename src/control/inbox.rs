//! Handling of peers' messages and of the table's replies.

use rand::Rng;

use super::{Control, EDIT_BACKOFF_INITIAL_MS, EDIT_BACKOFF_MAX_MS, EDIT_RETRY_MS, Output, Owner};
use super::{ReadId, reads};
use crate::clock;
use crate::config;
use crate::journal;
use crate::peers;
use crate::platform;

impl Control {
    pub(super) fn on_message(
        &mut self,
        now: clock::Instant,
        message: peers::Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            peers::Message::Heartbeat(heartbeat) => self.on_heartbeat(now, &heartbeat, outputs),
            peers::Message::Fetch { from, after } => {
                let deltas = self.replica.deltas_after(after);
                if self.replica.is_loaded() && deltas.head > after {
                    outputs.push(Output::Send {
                        to: from,
                        message: peers::Message::Deltas(deltas),
                    });
                }
            }
            peers::Message::Deltas(deltas) => {
                self.replica.on_deltas(&deltas);
                self.after_apply(now, outputs);
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        now: clock::Instant,
        heartbeat: &peers::Heartbeat,
        outputs: &mut Vec<Output>,
    ) {
        // Changes remain valid however late they arrive; only the sender's state in the heartbeat becomes outdated.
        if let Some(deltas) = &heartbeat.deltas {
            self.replica.on_deltas(deltas);
            self.after_apply(now, outputs);
        }
        if !self.peers.on_heartbeat(now, heartbeat) {
            return;
        }
        self.leases
            .on_journal(now, &heartbeat.from, heartbeat.journal_version);
        self.accept(now);
        if heartbeat.asks {
            self.send_heartbeat(now, &heartbeat.from, false, outputs);
        }
    }

    pub(super) fn on_journal(
        &mut self,
        now: clock::Instant,
        attempt: journal::Attempt,
        reply: journal::Reply,
        outputs: &mut Vec<Output>,
    ) {
        let commits = self.writer.counters().commits;
        let settlements = self.writer.on_reply(now, &mut self.rng, attempt, reply);
        if self.writer.counters().commits > commits
            && let Some(proven_at) = self.writer.renewed_at()
        {
            self.leases.on_commit(now, proven_at);
            self.leases.on_table_response(now, proven_at);
        }
        for settlement in settlements {
            match self.owners.remove(&settlement.token) {
                None => outputs.push(Output::Settled(settlement)),
                Some(Owner::Duty(duty, txn)) => {
                    self.leases
                        .on_settled(now, &duty, &txn, &settlement.settled);
                }
                Some(Owner::Editor) => self.on_edit_settled(now, &settlement.settled, outputs),
            }
        }
    }

    fn on_edit_settled(
        &mut self,
        now: clock::Instant,
        settled: &journal::Settled,
        outputs: &mut Vec<Output>,
    ) {
        let Some(deltas) = self.editor.on_settled(settled) else {
            let doublings = self.edit_refusals.min(16);
            let backoff_max_ms = (EDIT_BACKOFF_INITIAL_MS << doublings).min(EDIT_BACKOFF_MAX_MS);
            self.edit_wait_until = now.after_ms(self.rng.random_range(0..backoff_max_ms));
            self.edit_refusals += 1;
            return;
        };
        self.edit_refusals = 0;
        self.replica.on_deltas(&deltas);
        self.local = Some(deltas);
        self.pushed_at.clear();
        self.after_apply(now, outputs);
        self.push(now, outputs);
    }

    pub(super) fn on_read(
        &mut self,
        now: clock::Instant,
        id: ReadId,
        rows: Option<Vec<platform::Row>>,
        outputs: &mut Vec<Output>,
    ) {
        let completed = self.reads.complete(now, &mut self.rng, id, rows.is_some());
        let Some((purpose, sent_at)) = completed else {
            return;
        };
        let Some(rows) = rows else {
            self.on_read_failed(now, purpose, outputs);
            return;
        };
        self.leases.on_table_response(now, sent_at);
        self.on_rows(now, purpose, sent_at, &rows, outputs);
        self.after_apply(now, outputs);
    }

    fn on_read_failed(
        &mut self,
        now: clock::Instant,
        purpose: reads::Purpose,
        outputs: &mut Vec<Output>,
    ) {
        match purpose {
            reads::Purpose::HeadForEdit => self.editor.on_head_failed(),
            reads::Purpose::Journal(attempt, _) => {
                self.on_journal(now, attempt, journal::Reply::ReadFailed, outputs);
            }
            // The other reads are requested again at a later tick.
            _ => {}
        }
    }

    fn on_rows(
        &mut self,
        now: clock::Instant,
        purpose: reads::Purpose,
        sent_at: clock::Instant,
        rows: &[platform::Row],
        outputs: &mut Vec<Output>,
    ) {
        match purpose {
            reads::Purpose::Head => self.on_head(sent_at, rows.first()),
            reads::Purpose::HeadForEdit => {
                self.on_head(sent_at, rows.first());
                self.continue_edit(now);
            }
            reads::Purpose::Changed { head, key } => self.replica.on_row(head, &key, rows.first()),
            reads::Purpose::Roster { head } => {
                self.replica.on_roster_row(rows.first());
                self.reads.request(reads::Purpose::Documents { head });
            }
            reads::Purpose::Documents { head } => self.replica.on_all_documents(head, rows),
            reads::Purpose::Duties => self.leases.on_rows(sent_at, rows),
            reads::Purpose::LeaseHolder(node) => {
                let version = rows.first().map_or(0, |row| row.version);
                self.leases.on_journal(now, &node, version);
            }
            reads::Purpose::Journal(attempt, _) => {
                let row = rows.first().cloned();
                self.on_journal(now, attempt, journal::Reply::Row(row), outputs);
            }
        }
    }

    fn on_head(&mut self, sent_at: clock::Instant, row: Option<&platform::Row>) {
        match self.replica.on_head(sent_at, row) {
            None => {}
            Some(config::RequiredRows::Changed(head, keys)) => {
                for key in keys {
                    self.reads.request(reads::Purpose::Changed { head, key });
                }
            }
            Some(config::RequiredRows::All(head)) => {
                self.reads.request(reads::Purpose::Roster { head });
            }
        }
    }

    /// Submits the transaction of the queued edits, once the head that was read for them is applied.
    fn continue_edit(&mut self, now: clock::Instant) {
        let head = self.replica.head();
        let acknowledged = self.peers.is_acknowledged(now, head, head);
        let action = self.editor.on_fresh_head(&self.replica, acknowledged);
        if let Some(config::edit::Action::Submit(txn)) = action {
            match self.writer.submit(txn) {
                Ok(token) => drop(self.owners.insert(token, Owner::Editor)),
                Err(_) => self.editor.on_submit_failed(),
            }
        } else {
            self.edit_wait_until = now.after_ms(EDIT_RETRY_MS);
        }
    }

    /// Notifies the other components of a newly applied head.
    fn after_apply(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        if self.replica.head() == self.applied {
            return;
        }
        self.applied = self.replica.head();
        self.was_member |= self.replica.roster().contains(&self.me.id);
        self.peers
            .set_roster(now, &mut self.rng, self.replica.roster());
        self.update_budget_shares();
        self.accept(now);
        if self.editor.waits_for_replica() {
            self.continue_edit(now);
        }
        outputs.push(Output::Applied(self.applied));
    }

    pub(super) fn accept(&mut self, now: clock::Instant) {
        let own_head = self.replica.head();
        let peers = &self.peers;
        self.editor
            .accept(|head| peers.is_acknowledged(now, head, own_head));
    }
}
