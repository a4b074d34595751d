//! Grants from memory while the table is out: a claim is granted when a majority of the view holds it.

use std::collections::BTreeSet;

use crate::clock;
use crate::once::entry;
use crate::once::message;
use crate::once::message::Message;
use crate::once::message::Output;
use crate::once::owner;
use crate::roster;

/// A claim that is waiting for its holders.
#[derive(Debug)]
pub struct Holds {
    key: message::Key,
    holders: BTreeSet<roster::NodeId>,
    sent_at: Option<clock::Instant>,
}

impl owner::Owner {
    /// Tells whether the table is out, so that claims are granted from memory.
    pub fn is_in_memory_mode(&self, ctx: &owner::Context<'_>) -> bool {
        let stuck = self
            .flight
            .as_ref()
            .is_some_and(|flight| flight.age_ms(ctx.now) > ctx.settings.outage_after_ms);
        stuck && !ctx.sealed
    }

    /// A member holds a claim.
    pub fn held(
        &mut self,
        ctx: &owner::Context<'_>,
        from: roster::NodeId,
        id: &message::ClaimId,
        out: &mut Vec<Output>,
    ) {
        let Some(holds) = self.holds.get_mut(id) else {
            return;
        };
        if ctx.sealed || !ctx.view.members.contains(&from) {
            return;
        }
        holds.holders.insert(from);
        if holds.holders.len() < ctx.view.majority() {
            return;
        }
        if let Some(holds) = self.holds.remove(id) {
            self.grant_from_memory(&holds.key, out);
        }
    }

    /// Asks the members to hold the claims that wait.
    pub(super) fn ask_holders(&mut self, ctx: &owner::Context<'_>, out: &mut Vec<Output>) {
        let keys: Vec<message::Key> = self.claiming.iter().cloned().collect();
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                self.claiming.remove(&key);
                continue;
            };
            entry.held = true;
            let claim = entry.claim.clone();
            let holds = self.holds.entry(claim.id.clone()).or_insert_with(|| Holds {
                key: key.clone(),
                holders: BTreeSet::new(),
                sent_at: None,
            });
            let waits = holds
                .sent_at
                .is_some_and(|at| ctx.now.since_ms(at) < ctx.settings.resend_ms);
            if !waits {
                holds.sent_at = Some(ctx.now);
                let missing = ctx.view.members.iter();
                let missing = missing.filter(|member| !holds.holders.contains(*member));
                send_holds(ctx, missing, &claim, out);
            }
            if !ctx.settings.guards.majority {
                self.grant_from_memory(&key, out);
            }
        }
    }

    /// Tells the holders of a claim that it is in the table, or free again.
    pub(super) fn let_go(
        &mut self,
        ctx: &owner::Context<'_>,
        key: &message::Key,
        out: &mut Vec<Output>,
    ) {
        self.from_memory.remove(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !std::mem::take(&mut entry.held) {
            return;
        }
        for member in &ctx.view.members {
            out.push(Output::Send {
                to: member.clone(),
                message: Message::Written {
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
        self.from_memory.insert(key.clone());
        owner::reply_to_asker(&id, message::Reply::Granted, out);
    }
}

fn send_holds<'a, I>(
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
            message: Message::Hold {
                view: ctx.view.number,
                claim: claim.clone(),
            },
        });
    }
}
