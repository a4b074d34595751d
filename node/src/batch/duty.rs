//! Election of the batch duty's leader: follows the current leader and claims the duty when the leader is dead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::authority::HEARTBEAT_TIMEOUT_MS;
use wasabiloft::batch::{predecessors, record, succession};
use wasabiloft_platform::{call, store};

use crate::batch::{claim, leadership, peers, shared, standby};
use crate::clock;
use crate::log;

/// If the duty's row is unchanged for this long while the store responds, the leader counts as dead, in milliseconds;
/// three times the longest pause between the leader's commits.
const UNCHANGED_LIMIT_MS: u64 = 800;
/// The same limit while the store is slow, in milliseconds, because the leader's commits are slow then too.
const UNCHANGED_LIMIT_SLOW_MS: u64 = 4_000;
/// Response time above which the store counts as slow, in milliseconds.
const SLOW_RESPONSE_MS: u64 = 120;
/// Timeout of a call to the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Maximum random delay before a claim of a vacant duty, in milliseconds; nodes of equal size notice it at the same
/// time.
const CLAIM_JITTER_MS: u64 = 30;
/// Range of the random pause after a failed claim, in milliseconds: claims queue at the store with the leader's
/// commits, and many of them keep a slow store from completing either.
const CLAIM_RETRY_MS: std::ops::Range<u64> = 200..600;
/// The store answers a node if its last response is not older than this, in milliseconds; above the wait of the
/// configuration's polls.
const STORE_ANSWERS_MS: u64 = 700;
/// Pause before the row is checked again while the leader's state is uncertain, in milliseconds; an eighth of the time
/// after which a row counts as unchanged.
const RECHECK_MS: u64 = 100;

/// Interval at which a node that lets others claim first checks the row, in milliseconds; a new leader without relays is
/// slow itself.
const YIELD_CHECK_MS: u64 = 120;
/// Time for which a successor waits for the release of the duty, in milliseconds: the leader waits up to 250 ms for the
/// commands in progress, and a slow one takes longer.
const RELEASE_WAIT_MS: u64 = 2_000;

/// Returns the name of the duty's row.
pub fn row_name() -> store::Name {
    store::Name::new(
        record::DUTY_TABLE,
        record::SCHEDULER_PARTITION,
        record::DUTY_KEY,
    )
}

/// Follows the duty, and leads it after a successful claim, until the node stops.
pub async fn run(shared: Arc<shared::Shared>) {
    let mut follower = Follower::default();
    while !shared.stop.is_cancelled() {
        match follower.step(&shared).await {
            Step::Follow => {
                let heartbeat_interval_ms = if follower.standby.is_some() {
                    succession::HEARTBEAT_STANDBY_MS
                } else {
                    succession::heartbeat_ms(
                        shared.settings().cpu_milli,
                        expected_cpu_milli(&shared),
                        shared.store_silent_ms() < STORE_ANSWERS_MS,
                    )
                };
                let heartbeat_interval_ms = shared.admission.heartbeat_ms(heartbeat_interval_ms);
                tokio::select! {
                    () = shared.stop.cancelled() => {}
                    () = shared.admission.report_early.notified() => {}
                    () = time::sleep(Duration::from_millis(heartbeat_interval_ms)) => {}
                }
            }
            Step::AwaitRelease => {
                time::sleep(Duration::from_millis(succession::STANDBY_CHECK_MS)).await;
            }
            Step::Recheck => time::sleep(Duration::from_millis(RECHECK_MS)).await,
            Step::Claim { has_ended } => {
                let pause_ms = succession::claim_delay_ms(
                    shared.settings().cpu_milli,
                    expected_cpu_milli(&shared),
                );
                let row = shared.duty();
                let successor = row.duty.as_ref().and_then(|duty| duty.successor);
                let successor = succession::Successor::new(successor, shared.incarnation);
                let yield_ms = succession::yield_delay_ms(successor, shared.meter.was_slow());
                if !is_left_unclaimed(&shared, row.version, yield_ms).await {
                    continue;
                }
                time::sleep(Duration::from_millis(pause_ms)).await;
                shared.set_successor(0);
                if shared.stop.is_cancelled() {
                    // The leader was told so, and doesn't count on this node any more.
                    break;
                }
                let expected = shared.duty().version;
                let outcome =
                    claim::claim(&shared, has_ended, follower.counted_on, &follower.left).await;
                if let claim::Outcome::Unknown = outcome {
                    follower.claimed = Some(expected);
                }
                if let claim::Outcome::Committed(claimed) = outcome {
                    let start = leadership::Start {
                        duty: claimed.duty,
                        version: claimed.version,
                        led_at: claimed.led_at,
                        handed_over: successor == succession::Successor::This,
                        standby: follower.standby.take(),
                    };
                    leadership::run(&shared, start).await;
                    shared.set_own_epoch(0);
                    follower = Follower {
                        left: follower.left,
                        ..Follower::default()
                    };
                } else {
                    let pause_ms = rand::random_range(CLAIM_RETRY_MS);
                    time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }
}

/// Waits for nodes that claim the duty before this one. Returns whether the row has the same version after `wait_ms`; a
/// new leader is followed at once, as it needs relays.
async fn is_left_unclaimed(shared: &shared::Shared, version: u64, wait_ms: u64) -> bool {
    let mut left_ms = wait_ms;
    while left_ms > 0 {
        let pause_ms = left_ms.min(YIELD_CHECK_MS);
        left_ms -= pause_ms;
        time::sleep(Duration::from_millis(pause_ms)).await;
        if shared.stop.is_cancelled() {
            return false;
        }
        match shared.store.row(&row_name(), CALL_TIMEOUT_MS).await {
            Ok(row) => {
                let seen = read(row);
                let is_same = seen.version == version;
                shared.record_duty(seen);
                if !is_same {
                    return false;
                }
            }
            Err(error) => {
                log::info("duty", &format!("cannot read the row reason={error}"));
                return false;
            }
        }
    }
    true
}

/// CPU of the node that is expected to lead the duty, in thousandths of a core; `None` if no row names it.
fn expected_cpu_milli(shared: &shared::Shared) -> Option<u64> {
    shared.duty().duty.map(|duty| duty.cpu_milli)
}

/// The next step of a follower.
enum Step {
    /// The leader is alive, or the store did not respond: wait for the next heartbeat.
    Follow,
    /// The leader's state is uncertain: check the row again soon.
    Recheck,
    /// The leader is releasing the duty in favour of this node: check the row again at once.
    AwaitRelease,
    /// There is no leader, or it is dead or cannot reach the store: claim the duty.
    Claim {
        /// Whether the holder that the row names certainly leads no more.
        has_ended: bool,
    },
}

/// Evidence about the leader besides its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// No evidence.
    None,
    /// Its process responded that it does not lead the duty.
    NotLeading,
    /// Its address refuses connections: its process is dead, or the network refuses them.
    Refused,
    /// The leader is alive but cannot reach the store and requests a handover.
    RequestsHandover,
}

/// Observations of a follower about the leader.
#[derive(Default)]
struct Follower {
    row: succession::RowWatch,
    refusals: u32,
    /// When the newest heartbeat failed without a refused connection.
    unresponsive_at: Option<wasabiloft::clock::Instant>,
    /// The newest response of the leader after which this node went on following it.
    confirms: Option<peers::Sent>,
    /// The leader that counts on this node.
    counted_on: Option<predecessors::CountedOn>,
    /// Leaders that counted on this node when it left them.
    left: predecessors::Left,
    /// Version of the row that a claim without a known outcome expects; it can still be committed.
    claimed: Option<u64>,
    /// The rows that this node reads in advance, as the leader requested.
    standby: Option<standby::Standby>,
    /// The leader is expected to release the duty in favour of this node before this time.
    release_until: Option<wasabiloft::clock::Instant>,
}

impl Follower {
    async fn step(&mut self, shared: &Arc<shared::Shared>) -> Step {
        if self
            .release_until
            .is_some_and(|until| clock::since_boot() < until)
        {
            return match self.check_row(shared, Evidence::None).await {
                Step::Recheck | Step::Follow => Step::AwaitRelease,
                step => step,
            };
        }
        self.release_until = None;
        let seen = shared.duty();
        let Some(address) = seen
            .duty
            .as_ref()
            .and_then(|duty| duty.address.parse::<SocketAddr>().ok())
        else {
            return self.check_row(shared, Evidence::None).await;
        };
        let epoch = seen.duty.as_ref().map_or(0, |duty| duty.epoch);
        let counted_on = self.counted_on.as_ref();
        self.left.row_read(epoch, counted_on, clock::since_boot());
        let own = seen
            .duty
            .as_ref()
            .is_some_and(|duty| duty.incarnation == shared.incarnation);
        if own || address == shared.settings().peers {
            // The row names an earlier incarnation of this node, or a superseded one.
            return self.check_row(shared, Evidence::NotLeading).await;
        }
        let now = clock::since_boot();
        if self
            .unresponsive_at
            .is_some_and(|at| now.since_ms(at) < HEARTBEAT_TIMEOUT_MS)
        {
            // Another heartbeat would only delay the read of the row.
            return self.check_row(shared, Evidence::None).await;
        }
        let is_prepared = self
            .standby
            .as_ref()
            .is_some_and(standby::Standby::is_prepared);
        let sent_at = clock::since_boot();
        let heartbeat = peers::send_heartbeat(
            shared,
            address,
            is_prepared,
            self.confirms,
            &self.left,
            self.claimed.is_some(),
            HEARTBEAT_TIMEOUT_MS,
        );
        match heartbeat.await {
            Ok(reply) if reply.epoch > 0 => {
                self.refusals = 0;
                self.unresponsive_at = None;
                if reply.releasing {
                    log::info("duty", &format!("expects the release holder={address}"));
                    self.release_until = Some(clock::since_boot().after_ms(RELEASE_WAIT_MS));
                    return Step::AwaitRelease;
                }
                if !reply.prepare {
                    self.standby = None;
                } else if self.standby.is_none() {
                    log::info("duty", &format!("standby prepares holder={address}"));
                    self.standby = Some(standby::Standby::start(shared));
                }
                if reply.hand_over {
                    log::info(
                        "duty",
                        &format!("leader requests handover holder={address}"),
                    );
                    return self.check_row(shared, Evidence::RequestsHandover).await;
                }
                if self.claimed.is_some() {
                    // If the claim is committed after all, this node hasn't followed the leader since. The row shows whether it
                    // still can be.
                    return self.check_row(shared, Evidence::None).await;
                }
                if reply.counts_on {
                    self.counted_on = Some(predecessors::CountedOn {
                        epoch: reply.epoch,
                        at: sent_at,
                    });
                }
                self.confirms = Some(peers::Sent {
                    epoch: reply.epoch,
                    incarnation: reply.incarnation,
                    sent_ms: reply.sent_ms,
                });
                Step::Follow
            }
            Ok(_) => self.check_row(shared, Evidence::NotLeading).await,
            Err(error) => {
                if error.cause == call::Cause::Refused {
                    self.refusals += 1;
                } else {
                    self.refusals = 0;
                    self.unresponsive_at = Some(clock::since_boot());
                }
                // Two refusals are required because a reset of connections causes the same error for a moment.
                let evidence = if self.refusals >= 2 {
                    Evidence::Refused
                } else {
                    Evidence::None
                };
                log::info(
                    "duty",
                    &format!("leader does not respond holder={address} reason={error}"),
                );
                self.check_row(shared, evidence).await
            }
        }
    }

    /// Reads the row and returns [`Step::Claim`] if it names no leader, or a leader that is dead.
    async fn check_row(&mut self, shared: &shared::Shared, evidence: Evidence) -> Step {
        let sent_at = clock::since_boot();
        let row = match shared.store.row(&row_name(), CALL_TIMEOUT_MS).await {
            Ok(row) => row,
            Err(error) => {
                log::info("duty", &format!("cannot read the row reason={error}"));
                if !matches!(error, store::Error::Refused { .. }) {
                    self.row.unanswered();
                } else if self.row.refused(clock::since_boot()) {
                    return Step::Recheck;
                }
                return Step::Follow;
            }
        };
        shared.record_store_response();
        let now = clock::since_boot();
        let slow = now.since_ms(sent_at) > SLOW_RESPONSE_MS;
        let seen = read(row);
        let version = seen.version;
        let vacant = seen.duty.as_ref().is_none_or(|duty| duty.holder.is_empty());
        let known = shared.duty().version == version;
        if self.claimed.is_some_and(|expected| expected != version) {
            // The claim was committed, in which case the row names this node, or fails.
            self.claimed = None;
        }
        // Refused connections prove nothing, and a node that the leader doesn't count on would have to wait long.
        let is_counted_on = seen.duty.as_ref().is_some_and(|duty| {
            let leader = self.counted_on.as_ref();
            leader.is_some_and(|leader| leader.is_by(duty.epoch, now))
        });
        let evidence = match evidence {
            Evidence::Refused if !is_counted_on => Evidence::None,
            evidence => evidence,
        };
        shared.record_duty(seen);
        if vacant {
            let successor = shared.duty().duty.and_then(|duty| duty.successor);
            if successor != Some(shared.incarnation) {
                let pause_ms = rand::random_range(0..CLAIM_JITTER_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
            self.log_claim(shared, "vacant", now);
            return Step::Claim { has_ended: true };
        }
        if evidence != Evidence::None && known {
            self.log_claim(shared, &format!("{evidence:?}"), now);
            return Step::Claim {
                has_ended: evidence == Evidence::NotLeading,
            };
        }
        if self.row.read(version, now) {
            return Step::Recheck;
        }
        let unchanged_ms = if slow {
            UNCHANGED_LIMIT_SLOW_MS
        } else {
            UNCHANGED_LIMIT_MS
        };
        if self.row.unchanged_ms(version, sent_at) >= unchanged_ms {
            self.log_claim(shared, "unchanged", now);
            return Step::Claim { has_ended: false };
        }
        Step::Recheck
    }

    /// Logs why the duty is claimed, and which leader counted on this node last.
    fn log_claim(&self, shared: &shared::Shared, reason: &str, now: wasabiloft::clock::Instant) {
        let row = shared.duty();
        let epoch = row.duty.as_ref().map_or(0, |duty| duty.epoch);
        let unchanged_ms = self.row.unchanged_ms(row.version, now);
        let holder = row.duty.map(|duty| duty.holder).unwrap_or_default();
        log::info(
            "duty",
            &format!(
                "claims epoch={} reason={reason} holder={holder} counted_on_by={} unchanged_ms={unchanged_ms}",
                epoch + 1,
                self.counted_on.map_or(0, |leader| leader.epoch)
            ),
        );
    }
}

/// Decodes the duty's row; logs an undecodable row and treats it as a row without a leader.
pub fn read(row: Option<store::Row>) -> shared::DutyRow {
    let Some(row) = row else {
        return shared::DutyRow::default();
    };
    let duty = row.value.as_deref().map(serde_json::from_slice);
    let duty = match duty {
        Some(Ok(duty)) => Some(duty),
        Some(Err(error)) => {
            log::warn("duty", &format!("cannot decode the row reason={error}"));
            None
        }
        None => None,
    };
    shared::DutyRow {
        duty,
        version: row.version,
    }
}
