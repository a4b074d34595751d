//! Who holds the batch duty: follows the holder, and takes over when it is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{record, succession};
use wasabiloft_platform::store;

use crate::batch::{holding, peers, shared};
use crate::clock;
use crate::log;

/// Longest wait for a heartbeat's answer, in milliseconds; far above a round trip and a busy holder's pause.
const BEAT_TIMEOUT_MS: u64 = 400;
/// A holder's row that stands unchanged for this long, while the store answers, shows that its holder is gone, in
/// milliseconds; three times the longest pause between its commits.
const UNCHANGED_MS: u64 = 800;
/// The same while the store is slow, in milliseconds, as the holder's commits take long too.
const UNCHANGED_SLOW_MS: u64 = 4_000;
/// An answer of the store that takes longer shows that it is slow, in milliseconds.
const SLOW_ANSWER_MS: u64 = 120;
/// Longest wait for an answer of the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Longest random pause before a claim of a vacant duty, in milliseconds, as equal nodes notice it together.
const CLAIM_SPREAD_MS: u64 = 30;
/// Pause after a claim that failed, in milliseconds, drawn anew by each node: claims wait in line with the holder's
/// commits at the store, and many of them keep a slow store from either.
const CLAIM_AGAIN_MS: std::ops::Range<u64> = 200..600;
/// Pause before a second look at what is unclear, in milliseconds; an eighth of the time after which a row counts as
/// unchanged.
const AGAIN_MS: u64 = 100;

/// Name of the duty's row.
pub fn row_name() -> store::Name {
    store::Name::new(
        record::DUTY_TABLE,
        record::SCHEDULER_PARTITION,
        record::DUTY_KEY,
    )
}

/// Follows the duty, and holds it when it is this node's turn, until the node stops.
pub async fn run(shared: Arc<shared::Shared>) {
    let mut follower = Follower::default();
    while !shared.stop.is_cancelled() {
        match follower.step(&shared).await {
            Step::Follow => {
                let beat_ms =
                    succession::heartbeat_ms(shared.settings().cpu_milli, expected(&shared));
                tokio::select! {
                    () = shared.stop.cancelled() => {}
                    () = time::sleep(Duration::from_millis(beat_ms)) => {}
                }
            }
            Step::Again => time::sleep(Duration::from_millis(AGAIN_MS)).await,
            Step::Claim {
                predecessor_may_act,
            } => {
                let pause_ms =
                    succession::claim_delay_ms(shared.settings().cpu_milli, expected(&shared));
                time::sleep(Duration::from_millis(pause_ms)).await;
                if let Some((duty, version)) = claim(&shared).await {
                    let start = holding::Start {
                        duty,
                        version,
                        predecessor_may_act,
                    };
                    holding::run(&shared, start).await;
                    shared.set_own_epoch(0);
                    follower = Follower::default();
                } else {
                    let pause_ms = rand::random_range(CLAIM_AGAIN_MS);
                    time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }
}

/// Processors of the node that is expected to hold the duty, if a row has told so.
fn expected(shared: &shared::Shared) -> Option<u64> {
    shared.duty().duty.map(|duty| duty.cpu_milli)
}

/// What to do next.
enum Step {
    /// The holder lives.
    Follow,
    /// Something is unclear; look again soon.
    Again,
    /// There is no holder, or it is gone or cut off.
    Claim {
        /// Whether the last holder's process may still live.
        predecessor_may_act: bool,
    },
}

/// What a follower knows of the holder besides its row.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// Nothing sure.
    None,
    /// Its process is gone, or says that it doesn't hold the duty.
    Gone,
    /// It can't reach the store and asks to be relieved, but lives.
    GivesWay,
}

/// What a follower has seen of the holder's row.
#[derive(Default)]
struct Follower {
    version: u64,
    /// Since when the row is known to stand at this version.
    since: wasabiloft::clock::Instant,
    refusals: u32,
    /// When the newest heartbeat failed without a word.
    silent_at: Option<wasabiloft::clock::Instant>,
}

impl Follower {
    async fn step(&mut self, shared: &shared::Shared) -> Step {
        let seen = shared.duty();
        let Some(address) = seen
            .duty
            .as_ref()
            .and_then(|duty| duty.address.parse::<SocketAddr>().ok())
        else {
            return self.look(shared, Sign::None).await;
        };
        let own = seen
            .duty
            .as_ref()
            .is_some_and(|duty| duty.incarnation == shared.incarnation);
        if own || address == shared.settings().peers {
            // The row names an earlier life of this node, or one that was superseded.
            return self.look(shared, Sign::Gone).await;
        }
        let now = clock::since_boot();
        if self
            .silent_at
            .is_some_and(|at| now.since_ms(at) < BEAT_TIMEOUT_MS)
        {
            // Another heartbeat would only delay the look at the row.
            return self.look(shared, Sign::None).await;
        }
        match peers::send_beat(shared, address, BEAT_TIMEOUT_MS).await {
            Ok(answer) if answer.epoch > 0 => {
                self.refusals = 0;
                self.silent_at = None;
                if answer.hand_over {
                    log::info("duty", &format!("holder gives way holder={address}"));
                    return self.look(shared, Sign::GivesWay).await;
                }
                Step::Follow
            }
            Ok(_) => self.look(shared, Sign::Gone).await,
            Err(error) => {
                if error.refused {
                    self.refusals += 1;
                } else {
                    self.refusals = 0;
                    self.silent_at = Some(clock::since_boot());
                }
                // Twice, as a reset of connections looks the same for a moment.
                let sign = if self.refusals >= 2 {
                    Sign::Gone
                } else {
                    Sign::None
                };
                log::info(
                    "duty",
                    &format!("holder silent holder={address} reason={error}"),
                );
                self.look(shared, sign).await
            }
        }
    }

    /// Reads the row; claims it if it names nobody, or a holder that is gone.
    async fn look(&mut self, shared: &shared::Shared, sign: Sign) -> Step {
        let sent_at = clock::since_boot();
        let row = match shared.store.row(&row_name(), CALL_TIMEOUT_MS).await {
            Ok(row) => row,
            Err(error) => {
                log::info("duty", &format!("row unread reason={error}"));
                self.version = 0;
                return Step::Follow;
            }
        };
        shared.store_answered();
        let now = clock::since_boot();
        let slow = now.since_ms(sent_at) > SLOW_ANSWER_MS;
        let seen = read(row);
        let version = seen.version;
        let vacant = seen.duty.as_ref().is_none_or(|duty| duty.holder.is_empty());
        let known = shared.duty().version == version;
        shared.saw_duty(seen);
        if vacant {
            let pause_ms = rand::random_range(0..CLAIM_SPREAD_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
            return Step::Claim {
                predecessor_may_act: false,
            };
        }
        if sign != Sign::None && known {
            return Step::Claim {
                predecessor_may_act: sign == Sign::GivesWay,
            };
        }
        if version != self.version {
            self.version = version;
            self.since = now;
            return Step::Again;
        }
        let unchanged_ms = if slow {
            UNCHANGED_SLOW_MS
        } else {
            UNCHANGED_MS
        };
        if sent_at.since_ms(self.since) >= unchanged_ms {
            return Step::Claim {
                predecessor_may_act: true,
            };
        }
        Step::Again
    }
}

/// Reads the duty's row.
pub fn read(row: Option<store::Row>) -> shared::DutySeen {
    let Some(row) = row else {
        return shared::DutySeen::default();
    };
    let duty = row.value.as_deref().map(serde_json::from_slice);
    let duty = match duty {
        Some(Ok(duty)) => Some(duty),
        Some(Err(error)) => {
            log::warn("duty", &format!("row can't be read reason={error}"));
            None
        }
        None => None,
    };
    shared::DutySeen {
        duty,
        version: row.version,
    }
}

/// Claims the duty on the row as last read; the row and its version if this node holds it now.
async fn claim(shared: &shared::Shared) -> Option<(record::Duty, u64)> {
    let seen = shared.duty();
    let settings = shared.settings();
    let duty = record::Duty {
        holder: settings.node.clone(),
        address: settings.peers.to_string(),
        incarnation: shared.incarnation,
        epoch: seen.duty.map_or(0, |duty| duty.epoch) + 1,
        commits: 0,
        cpu_milli: settings.cpu_milli,
    };
    let value = match serde_json::to_vec(&duty) {
        Ok(value) => value,
        Err(error) => {
            log::warn("duty", &format!("row can't be written reason={error}"));
            return None;
        }
    };
    let transaction = store::Transaction {
        checks: vec![(row_name(), seen.version)],
        writes: vec![(row_name(), value)],
        ..store::Transaction::default()
    };
    // Told before the claim is sent: once it is committed, a follower that asks must not take this node for idle.
    shared.set_own_epoch(duty.epoch);
    let claimed = commit_claim(shared, duty, &transaction).await;
    if claimed.is_none() {
        shared.set_own_epoch(0);
    }
    claimed
}

async fn commit_claim(
    shared: &shared::Shared,
    duty: record::Duty,
    transaction: &store::Transaction,
) -> Option<(record::Duty, u64)> {
    match shared.store.transact(transaction, CALL_TIMEOUT_MS).await {
        Ok(store::CommitOutcome::Applied(version)) => {
            log::info(
                "duty",
                &format!("taken over epoch={} version={version}", duty.epoch),
            );
            shared.saw_duty(shared::DutySeen {
                duty: Some(duty.clone()),
                version,
            });
            Some((duty, version))
        }
        Ok(store::CommitOutcome::CheckFailed(rows)) => {
            let now = read(rows.into_iter().next());
            if_ours(shared, duty, now)
        }
        Err(error) => {
            log::info("duty", &format!("claim unanswered reason={error}"));
            settle(shared, duty).await
        }
    }
}

/// Finds out whether a claim without an answer was committed.
async fn settle(shared: &shared::Shared, duty: record::Duty) -> Option<(record::Duty, u64)> {
    match shared.store.row(&row_name(), CALL_TIMEOUT_MS).await {
        Ok(row) => if_ours(shared, duty, read(row)),
        Err(error) => {
            log::info("duty", &format!("claim unsettled reason={error}"));
            None
        }
    }
}

/// The claim and its version, if the row that was read is the claim.
fn if_ours(
    shared: &shared::Shared,
    duty: record::Duty,
    now: shared::DutySeen,
) -> Option<(record::Duty, u64)> {
    let ours = now
        .duty
        .as_ref()
        .is_some_and(|now| now.incarnation == duty.incarnation && now.epoch == duty.epoch);
    let version = now.version;
    shared.saw_duty(now);
    ours.then_some((duty, version))
}
