//! Answers to the calls of a node.

use crate::search::node::{Call, LIST_PAUSE_MS, Timer};
use crate::search::shell;
use crate::search::world::{Answer, World};

impl World {
    /// Handles the answer to a call, or its failure.
    pub fn answered(&mut self, node: usize, call: u64, answer: Answer) {
        let Some((_, call)) = self.nodes[node].calls.remove(&call) else {
            return;
        };
        let now = self.now();
        match call {
            Call::Poll {
                worker,
                turn,
                sent_at,
            } => self.poll_answered(node, &worker, turn, sent_at, answer),
            Call::Start {
                start,
                channel,
                send,
                may_have_run,
                sent_at,
            } => {
                if let (Answer::Started(clock_ms), Some(term)) =
                    (&answer, &mut self.nodes[node].term)
                {
                    let worker = &start.worker;
                    term.scheduler
                        .clock_answered(worker, *clock_ms, sent_at, now);
                }
                self.start_answered(node, channel, start, send, may_have_run, &answer);
            }
            Call::Stop { worker, task, run } => {
                if let (Answer::Stopped, Some(term)) = (&answer, &mut self.nodes[node].term) {
                    term.scheduler.stop_answered(&worker, task, run, now);
                }
            }
            Call::Commit => self.commit_answered(node, &answer),
            Call::List { requested_at } => {
                let may_act = self.may_act(node);
                if let Some(term) = &mut self.nodes[node].term {
                    if let Answer::List(list) = answer {
                        term.fleet
                            .apply_list(&mut term.scheduler, list, requested_at, now);
                        let since_commit_ms = now.as_ms().saturating_sub(term.committed_ms);
                        if may_act && shell::can_send(since_commit_ms) {
                            let wanted = &self.wanted;
                            term.fleet.round(&mut term.scheduler, wanted, now);
                        }
                    }
                    self.push_timer(node, now.as_ms() + LIST_PAUSE_MS, Timer::Round);
                    self.wake(node);
                    self.commit(node);
                }
            }
            Call::Command { vm, sent } => {
                let outcome = match answer {
                    Answer::Commanded(outcome) => Some(outcome),
                    _ => None,
                };
                if let Some(term) = &mut self.nodes[node].term {
                    term.fleet
                        .handle_result(&mut term.scheduler, &vm, &sent, outcome, now);
                    self.wake(node);
                    self.commit(node);
                }
            }
            Call::Claim { claim, sent_at } => {
                self.claim_answered(node, claim, sent_at, &answer);
            }
            Call::LastCommit { epoch, standing } => {
                self.last_commit_answered(node, epoch, standing, &answer);
            }
            Call::Release => self.released(node),
        }
    }
}
