//! Forecast of the machines that each pool needs.
//!
//! Answers the load in which queues in turn ask for several times their mean within a second: a pool grows by the trend of
//! its arrivals, before its queue is long.

use std::collections::{BTreeMap, VecDeque};

use super::{Demand, MACHINE_MILLI, Target};
use crate::clock;
use crate::id;

/// Time over which the arrival rate is measured, in milliseconds: about the duration of one move, including its
/// command and the next list of machines.
const WINDOW_MS: u64 = 1_500;
/// Time before a new leader from which it needs arrivals, in milliseconds: the two windows that are compared.
pub const HISTORY_MS: u64 = 2 * WINDOW_MS;
/// How far ahead demand is forecast from its trend, in milliseconds: the duration of a move and of noticing it.
const AHEAD_MS: u64 = 2_000;
/// Arrivals count as a rise if they exceed the earlier window by more than this many standard deviations of random
/// arrivals.
const RISE_DEVIATIONS: f64 = 1.0;
/// Limit of a forecast rise, as a multiple of the capacity in use and of the arrival rate.
const RISE_MAX: u64 = 4;
/// Capacity provided per unit of demand, in thousandths; above 1,000 because tasks don't pack perfectly and arrive
/// unevenly.
const HEADROOM_MILLI: u64 = 1_250;
/// A pool keeps the machines that it needed at any time within this span, in milliseconds; a move there and back
/// costs about as much as keeping the machine for this long.
const RETAIN_MS: u64 = 2_000;
/// A new leader has no history and releases no machine for this long, in milliseconds.
const NEW_LEADER_MS: u64 = 10_000;
/// Before the first work arrives the demand is unknown, and no machine is released for this long, in milliseconds;
/// deployments see their first work sooner.
const NO_WORK_MS: u64 = 60_000;
/// No machine is released for this long after the first work either, in milliseconds: two windows of arrivals.
const FIRST_WORK_MS: u64 = 2 * WINDOW_MS;
/// Long-running tasks that wait for this long don't fit on the machines that their pool keeps, in milliseconds.
const BLOCKED_MS: u64 = 1_000;
/// Minimum number of machines of every pool in use, which take the first work of a rise.
const MACHINES_MIN: u32 = 2;

/// The total arrivals up to a point in time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: clock::Instant,
    arrived: u64,
    jobs: u64,
}

/// Work that arrived before a new leader began, from the row of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the job was submitted, in milliseconds.
    pub age_ms: u64,
    /// Work of the job, as capacity times milliseconds.
    pub arrived: u64,
}

/// Forecasts how many machines each pool needs.
#[derive(Clone, Debug)]
pub struct Forecast {
    began_at: clock::Instant,
    /// When the first work arrived.
    first_work_at: Option<clock::Instant>,
    samples: BTreeMap<id::Service, VecDeque<Sample>>,
    needs: BTreeMap<id::Service, VecDeque<(clock::Instant, u32)>>,
    /// Since when long-running tasks of a service wait.
    blocked_since: BTreeMap<id::Service, clock::Instant>,
    /// Total work and number of jobs that arrived before this leader, by service; absent until they were stated.
    earlier: Option<BTreeMap<id::Service, (u64, u64)>>,
}

impl Forecast {
    /// Creates a forecast without history.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            began_at: now,
            first_work_at: None,
            samples: BTreeMap::new(),
            needs: BTreeMap::new(),
            blocked_since: BTreeMap::new(),
            earlier: None,
        }
    }

    /// Returns whether the arrivals before this leader were stated.
    pub fn knows_earlier(&self) -> bool {
        self.earlier.is_some()
    }

    /// Starts with what arrived in the last [`HISTORY_MS`] before this leader.
    ///
    /// Without it, a leader that takes over during a rise forecasts none until it has seen two windows of arrivals.
    pub fn set_earlier(
        &mut self,
        arrivals: BTreeMap<id::Service, Vec<Arrival>>,
        now: clock::Instant,
    ) {
        let mut earlier = BTreeMap::new();
        for (service, mut arrivals) in arrivals {
            arrivals.sort_by_key(|arrival| std::cmp::Reverse(arrival.age_ms));
            let mut total = Sample {
                at: clock::Instant::from_ms(now.as_ms().saturating_sub(HISTORY_MS)),
                arrived: 0,
                jobs: 0,
            };
            let samples = self.samples.entry(service.clone()).or_default();
            samples.push_back(total);
            for arrival in arrivals {
                total.at = clock::Instant::from_ms(now.as_ms().saturating_sub(arrival.age_ms));
                total.arrived = total.arrived.saturating_add(arrival.arrived);
                total.jobs += 1;
                samples.push_back(total);
            }
            earlier.insert(service, (total.arrived, total.jobs));
        }
        self.earlier = Some(earlier);
    }

    /// Returns the target of a pool that has `has` machines, and records the demand.
    pub fn target(
        &mut self,
        service: &id::Service,
        demand: &Demand,
        has: u32,
        now: clock::Instant,
    ) -> Target {
        let lost_machines = u32::try_from(demand.lost / MACHINE_MILLI).unwrap_or(u32::MAX);
        let min = demand.separate_machines.max(MACHINES_MIN);
        let min = min.saturating_add(lost_machines);
        let rate = self.rate_ahead(service, demand, now);
        let present = demand.running.saturating_add(demand.waiting);
        let rate_max = present
            .saturating_mul(RISE_MAX)
            .saturating_add(u64::from(MACHINES_MIN) * MACHINE_MILLI);
        let rate = rate.min(rate_max);
        let needed = present.max(rate).saturating_mul(HEADROOM_MILLI) / 1_000;
        let needed = needed.saturating_add(demand.lost);
        let machines = u32::try_from(needed.div_ceil(MACHINE_MILLI)).unwrap_or(u32::MAX);
        let is_blocked = self.is_blocked(service, demand, now);
        // The machines that the pool would keep have no room for the tasks that wait.
        let blocked_need = if is_blocked { has.saturating_add(1) } else { 0 };
        let need = machines.max(min).max(blocked_need);
        let needs = self.needs.entry(service.clone()).or_default();
        // Keeps only needs that no later one exceeds, so the front is the maximum of the span.
        while needs.back().is_some_and(|(_, earlier)| *earlier <= need) {
            needs.pop_back();
        }
        needs.push_back((now, need));
        while needs
            .front()
            .is_some_and(|(at, _)| now.since_ms(*at) > RETAIN_MS)
        {
            needs.pop_front();
        }
        let recent_max = needs.front().map_or(need, |(_, need)| *need);
        if demand.jobs > 0 {
            self.first_work_at.get_or_insert(now);
        }
        let uncertain = match self.first_work_at {
            None => now.since_ms(self.began_at) < NO_WORK_MS,
            Some(at) => now.since_ms(at) < FIRST_WORK_MS,
        };
        let late = u32::try_from(demand.late.div_ceil(MACHINE_MILLI)).unwrap_or(u32::MAX);
        let settling = uncertain
            || demand.is_partial
            || demand.blocked > 0
            || now.since_ms(self.began_at) < NEW_LEADER_MS;
        let retain = if settling {
            recent_max.max(has)
        } else {
            recent_max.max(need.saturating_add(late).min(has))
        };
        Target {
            need,
            min,
            retain,
            late,
        }
    }

    /// Returns whether long-running tasks have been waiting for [`BLOCKED_MS`].
    fn is_blocked(&mut self, service: &id::Service, demand: &Demand, now: clock::Instant) -> bool {
        if demand.blocked == 0 {
            self.blocked_since.remove(service);
            return false;
        }
        let since = self.blocked_since.entry(service.clone()).or_insert(now);
        now.since_ms(*since) >= BLOCKED_MS
    }

    /// Returns the capacity that arriving work will use [`AHEAD_MS`] from now, by the trend of the last two windows.
    fn rate_ahead(&mut self, service: &id::Service, demand: &Demand, now: clock::Instant) -> u64 {
        let earlier = self.earlier.as_ref();
        let (arrived, jobs) = earlier
            .and_then(|earlier| earlier.get(service))
            .copied()
            .unwrap_or_default();
        let present = Sample {
            at: now,
            arrived: arrived.saturating_add(demand.arrived),
            jobs: jobs + demand.jobs,
        };
        let samples = self.samples.entry(service.clone()).or_default();
        samples.push_back(present);
        while samples
            .get(1)
            .is_some_and(|next| now.since_ms(next.at) >= 2 * WINDOW_MS)
        {
            samples.pop_front();
        }
        let before = |ms: u64| {
            samples
                .iter()
                .rev()
                .find(|sample| now.since_ms(sample.at) >= ms)
                .or(samples.front())
                .copied()
                .unwrap_or(present)
        };
        let (middle, first) = (before(WINDOW_MS), before(2 * WINDOW_MS));
        // Averages over both windows because jobs differ widely in size.
        let recent = (present.arrived - first.arrived) / now.since_ms(first.at).max(2 * WINDOW_MS);
        let (new, old) = (present.jobs - middle.jobs, middle.jobs - first.jobs);
        let noise = RISE_DEVIATIONS * ((new + old) as f64).sqrt();
        let rise = (new.saturating_sub(old) as f64 - noise).max(0.0);
        // Extrapolates the rise from the middle of the two windows to the forecast time.
        let growth = rise / ((new + old).max(1) as f64) * 2.0;
        let growth = growth * ((AHEAD_MS + WINDOW_MS) as f64 / WINDOW_MS as f64);
        let ahead = recent as f64 * (1.0 + growth);
        (ahead as u64).min(recent * RISE_MAX)
    }
}
