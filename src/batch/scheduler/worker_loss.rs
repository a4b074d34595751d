//! Ends of workers' lives and leases: what ran there starts elsewhere.

use std::collections::BTreeSet;

use crate::batch::TaskId;
use crate::batch::book;
use crate::batch::scheduler::{Holder, Output};
use crate::clock;
use crate::id;

/// Work on workers that a predecessor may have used, and that answer nobody, has ended this long after the
/// predecessor's last order: the longest lease, 2 % for slow clocks, and a stop, in milliseconds.
const INHERITED_SLACK_MS: u64 = 500;
/// A predecessor's worker that lists of machines don't show for this long has ended, in milliseconds; more than two
/// lists.
const ABSENT_MS: u64 = 400;

impl Holder {
    /// Takes in proof that a worker's life is over: all that ran there has ended.
    pub fn life_ended(&mut self, id: &id::Worker, why: &str) {
        self.unresolved.remove(id);
        self.unheard.forget_worker(id);
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.line(format!(
            "worker gone worker={id} reason={why} tasks={}",
            worker.tasks.len()
        ));
        self.rows.drop_worker(id);
        self.outputs.push(Output::Forget(id.clone()));
        self.stale.insert(worker.listing.service.clone());
        for task in worker.tasks {
            self.counts.lost += 1;
            self.line(format!("run lost task={task} worker={id} reason={why}"));
            self.release(task);
        }
    }

    pub(super) fn resolve_inherited(&mut self, now: clock::Instant) {
        if self.unresolved.is_empty() {
            return;
        }
        let longest = self.terms.lease_ms * 102 / 100 + INHERITED_SLACK_MS;
        if now.since_ms(self.began_at) < longest {
            return;
        }
        for (worker, row) in std::mem::take(&mut self.unresolved) {
            self.line(format!("worker of predecessor lapsed worker={worker}"));
            self.stale.insert(row.service);
            if !self.workers.contains_key(&worker) {
                self.rows.drop_worker(&worker);
            }
        }
    }

    /// Takes in which workers the machines run: a predecessor's worker that none runs has ended.
    ///
    /// A worker that has just started may be missing from one list, so two lists some time apart are needed.
    pub fn resolve_absent(&mut self, current: &BTreeSet<&id::Worker>, now: clock::Instant) {
        let absent: Vec<id::Worker> = self
            .unresolved
            .keys()
            .filter(|worker| !current.contains(worker))
            .cloned()
            .collect();
        self.absent_since
            .retain(|worker, _| absent.contains(worker));
        for worker in absent {
            let since = *self.absent_since.entry(worker.clone()).or_insert(now);
            if now.since_ms(since) < ABSENT_MS {
                continue;
            }
            self.absent_since.remove(&worker);
            if let Some(row) = self.unresolved.remove(&worker) {
                self.line(format!("worker of predecessor gone worker={worker}"));
                self.stale.insert(row.service);
            }
            if self.workers.contains_key(&worker) {
                self.life_ended(&worker, "machine-without");
            } else {
                self.rows.drop_worker(&worker);
            }
        }
    }

    pub(super) fn lapse(&mut self, now: clock::Instant) {
        let lapsed: Vec<id::Worker> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                now.since_ms(worker.answered_at) > book::SILENT_MS && worker.is_lapsed(now)
            })
            .filter(|(_, worker)| !worker.tasks.is_empty() || !worker.listed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            if self.unresolved.contains_key(&id) {
                continue;
            }
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            if !worker.listed {
                self.life_ended(&id, "lapsed-unlisted");
                continue;
            }
            let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
            self.line(format!(
                "worker lapsed worker={id} silent_ms={} tasks={}",
                now.since_ms(worker.answered_at),
                tasks.len()
            ));
            for task in tasks {
                self.counts.lost += 1;
                self.line(format!(
                    "run lost task={task} worker={id} reason=lease-lapsed"
                ));
                self.release(task);
            }
        }
    }
}
