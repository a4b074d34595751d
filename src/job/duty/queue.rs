//! Queued jobs by team, urgency and class, oldest first.

use std::collections::{BTreeMap, BTreeSet};

use super::JobKey;
use super::job::Job;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::job::submission;

/// Urgency and class that a group of queued jobs shares.
pub(super) type Group = (document::Urgency, estimate::ClassKey);

/// Queue of all jobs whose state is queued.
#[derive(Debug, Default)]
pub(super) struct Queue {
    teams: BTreeMap<id::Team, BTreeMap<Group, BTreeSet<(u64, JobKey)>>>,
}

impl Queue {
    /// Adds a job whose state is queued.
    pub(super) fn insert(&mut self, key: JobKey, job: &Job) {
        let groups = self.teams.entry(job.row.spec.team.clone()).or_default();
        let group = groups.entry(group_of(job)).or_default();
        group.insert((job.row.submitted_unix_ms, key));
    }

    /// Removes a job if it is queued.
    pub(super) fn remove(&mut self, key: JobKey, job: &Job) {
        if job.row.state != row::State::Queued {
            return;
        }
        let Some(groups) = self.teams.get_mut(&job.row.spec.team) else {
            return;
        };
        let group = group_of(job);
        if let Some(jobs) = groups.get_mut(&group) {
            jobs.remove(&(job.row.submitted_unix_ms, key));
            if jobs.is_empty() {
                groups.remove(&group);
            }
        }
        if groups.is_empty() {
            self.teams.remove(&job.row.spec.team);
        }
    }

    /// Returns the teams that have queued jobs.
    pub(super) fn teams(&self) -> impl Iterator<Item = &id::Team> {
        self.teams.keys()
    }

    /// Returns the groups of a team with the jobs of each, oldest first.
    pub(super) fn groups(
        &self,
        team: &id::Team,
    ) -> impl Iterator<Item = (&Group, &BTreeSet<(u64, JobKey)>)> {
        self.teams.get(team).into_iter().flatten()
    }

    /// Returns the number of queued jobs of each team.
    pub(super) fn backlog(&self) -> submission::Backlog {
        let count = |groups: &BTreeMap<Group, BTreeSet<(u64, JobKey)>>| {
            groups.values().map(|jobs| jobs.len() as u64).sum()
        };
        let teams = self.teams.iter();
        submission::Backlog {
            queued: teams
                .map(|(team, groups)| (team.clone(), count(groups)))
                .collect(),
        }
    }
}

fn group_of(job: &Job) -> Group {
    (job.row.spec.urgency, job.class)
}
