//! Grants claims from memory while the table is unavailable, after a majority of the view has stored a replica.

use std::collections::BTreeSet;

use crate::clock;
use crate::idempotency::entry;
use crate::idempotency::message;
use crate::idempotency::message::Message;
use crate::idempotency::message::Output;
use crate::idempotency::owner;
use crate::roster;

/// A claim that waits for replicas on a majority of the view.
#[derive(Debug)]
pub struct Replication {
    key: message::Key,
    members: BTreeSet<roster::NodeId>,
    sent_at: Option<clock::Instant>,
}

impl owner::Owner {
    /// Returns true if claims are granted from memory because the table is unavailable.
    pub fn is_in_memory_mode(&self, ctx: &owner::Context<'_>) -> bool {
        let overdue = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.age_ms(ctx.now) > ctx.settings.outage_after_ms);
        overdue && !ctx.sealed
    }

    /// Records that a member has stored a replica of a claim, and grants the claim after a majority has.
    pub fn claim_replicated(
        &mut self,
        ctx: &owner::Context<'_>,
        from: roster::NodeId,
        id: &message::ClaimId,
        out: &mut Vec<Output>,
    ) {
        let Some(replication) = self.replicating.get_mut(id) else {
            return;
        };
        if ctx.sealed || !ctx.view.members.contains(&from) {
            return;
        }
        replication.members.insert(from);
        if replication.members.len() < ctx.view.majority() {
            return;
        }
        if let Some(replication) = self.replicating.remove(id) {
            self.grant_from_memory(&replication.key, out);
        }
    }

    /// Asks the members to store replicas of the claims that are not granted yet.
    pub(super) fn request_replicas(&mut self, ctx: &owner::Context<'_>, out: &mut Vec<Output>) {
        let keys: Vec<message::Key> = self.claiming.iter().cloned().collect();
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                self.claiming.remove(&key);
                continue;
            };
            entry.replicated = true;
            let claim = entry.claim.clone();
            let replication =
                self.replicating
                    .entry(claim.id.clone())
                    .or_insert_with(|| Replication {
                        key: key.clone(),
                        members: BTreeSet::new(),
                        sent_at: None,
                    });
            let recently_sent = replication
                .sent_at
                .is_some_and(|at| ctx.now.since_ms(at) < ctx.settings.resend_ms);
            if !recently_sent {
                replication.sent_at = Some(ctx.now);
                let missing = ctx.view.members.iter();
                let missing = missing.filter(|member| !replication.members.contains(*member));
                send_replicate(ctx, missing, &claim, out);
            }
            if !ctx.settings.guards.majority {
                self.grant_from_memory(&key, out);
            }
        }
    }

    /// Tells the members to delete their replicas of a claim that is in the table or whose key is free again.
    pub(super) fn delete_replicas(
        &mut self,
        ctx: &owner::Context<'_>,
        key: &message::Key,
        out: &mut Vec<Output>,
    ) {
        self.unpersisted.remove(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !std::mem::take(&mut entry.replicated) {
            return;
        }
        for member in &ctx.view.members {
            out.push(Output::Send {
                to: member.clone(),
                message: Message::DeleteReplicas {
                    ids: vec![entry.claim.id.clone()],
                },
            });
        }
    }

    fn grant_from_memory(&mut self, key: &message::Key, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.state != entry::State::Claiming {
            return;
        }
        entry.state = entry::State::Granted;
        let id = entry.claim.id.clone();
        self.claiming.remove(key);
        self.unpersisted.insert(key.clone());
        owner::send_reply(&id, message::Reply::Granted, out);
    }
}

fn send_replicate<'a, I>(
    ctx: &owner::Context<'_>,
    members: I,
    claim: &message::Claim,
    out: &mut Vec<Output>,
) where
    I: Iterator<Item = &'a roster::NodeId>,
{
    for member in members {
        out.push(Output::Send {
            to: member.clone(),
            message: Message::Replicate {
                view: ctx.view.number,
                claim: claim.clone(),
            },
        });
    }
}
