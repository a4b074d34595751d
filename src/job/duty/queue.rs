//! Queued jobs by team, urgency and class, oldest first.

use std::collections::{BTreeMap, BTreeSet};

use super::JobKey;
use super::entry::Job;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::intake;
use crate::job::row;

/// Jobs of one urgency and class.
pub(super) type Lane = (document::Urgency, estimate::ClassKey);

/// The queue.
#[derive(Debug, Default)]
pub(super) struct Queue {
    teams: BTreeMap<id::Team, BTreeMap<Lane, BTreeSet<(u64, JobKey)>>>,
}

impl Queue {
    /// Adds a job whose state is queued.
    pub(super) fn insert(&mut self, key: JobKey, job: &Job) {
        let lanes = self.teams.entry(job.row.spec.team.clone()).or_default();
        let lane = lanes.entry(lane_of(job)).or_default();
        lane.insert((job.row.submitted_unix_ms, key));
    }

    /// Removes a job, if it is there.
    pub(super) fn remove(&mut self, key: JobKey, job: &Job) {
        if job.row.state != row::State::Queued {
            return;
        }
        let Some(lanes) = self.teams.get_mut(&job.row.spec.team) else {
            return;
        };
        let lane = lane_of(job);
        if let Some(jobs) = lanes.get_mut(&lane) {
            jobs.remove(&(job.row.submitted_unix_ms, key));
            if jobs.is_empty() {
                lanes.remove(&lane);
            }
        }
        if lanes.is_empty() {
            self.teams.remove(&job.row.spec.team);
        }
    }

    /// Teams that have queued jobs.
    pub(super) fn teams(&self) -> impl Iterator<Item = &id::Team> {
        self.teams.keys()
    }

    /// The lanes of a team, with the jobs of each, oldest first.
    pub(super) fn lanes(
        &self,
        team: &id::Team,
    ) -> impl Iterator<Item = (&Lane, &BTreeSet<(u64, JobKey)>)> {
        self.teams.get(team).into_iter().flatten()
    }

    /// How many jobs each team has queued.
    pub(super) fn backlog(&self) -> intake::Backlog {
        let count = |lanes: &BTreeMap<Lane, BTreeSet<(u64, JobKey)>>| {
            lanes.values().map(|jobs| jobs.len() as u64).sum()
        };
        let teams = self.teams.iter();
        intake::Backlog {
            queued: teams
                .map(|(team, lanes)| (team.clone(), count(lanes)))
                .collect(),
        }
    }
}

fn lane_of(job: &Job) -> Lane {
    (job.row.spec.urgency, job.class)
}
