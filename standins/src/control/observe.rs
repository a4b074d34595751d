//! Read access to the simulated world for tests and measurements.

use wasabiloft::clock;
use wasabiloft::control;
use wasabiloft::id;
use wasabiloft::lease;

use super::{Edit, NodeIndex, Traffic, World};
use crate::table;

impl World {
    /// Returns the virtual time; the nodes' clocks differ from it.
    pub fn now(&self) -> clock::Instant {
        self.now
    }

    /// Returns the processes that haven't ended, paused ones included.
    pub fn running(&self) -> Vec<NodeIndex> {
        let indices = (0..self.nodes.len()).map(NodeIndex);
        indices
            .filter(|index| !self.nodes[index.0].has_ended)
            .collect()
    }

    /// Returns the number of the node that a process belongs to.
    pub fn name(&self, index: NodeIndex) -> usize {
        self.nodes[index.0].name
    }

    /// Returns a process's control part.
    pub fn control(&self, index: NodeIndex) -> &control::Control {
        &self.nodes[index.0].control
    }

    /// Returns a process's control part for changes.
    pub fn control_mut(&mut self, index: NodeIndex) -> &mut control::Control {
        &mut self.nodes[index.0].control
    }

    /// Returns a process's traffic and processor time so far.
    pub fn traffic(&self, index: NodeIndex) -> Traffic {
        self.nodes[index.0].traffic
    }

    /// Returns the leases that a process holds now.
    pub fn held(&self, index: NodeIndex) -> Vec<lease::Grant> {
        let node = &self.nodes[index.0];
        let local_now = self.now.after_ms(node.clock_offset_ms);
        node.control.leases().grants(local_now)
    }

    /// Returns the number of duties that no process holds now.
    pub fn vacant(&self) -> usize {
        let held: usize = self
            .running()
            .into_iter()
            .map(|index| self.held(index).len())
            .sum();
        self.options.duties.saturating_sub(held)
    }

    /// Returns the sum of all duties' epochs, which increases by one at each change of leader.
    pub fn epochs(&self) -> u64 {
        let rows = self.table.range(lease::prefix(), "", usize::MAX);
        let rows = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<lease::Row>(&row.value).ok());
        rows.map(|row| row.epoch).sum()
    }

    /// Returns the duties that are divided among the nodes.
    pub fn duties(&self) -> Vec<id::Duty> {
        let names = 0..self.options.duties;
        names
            .map(|name| id::Duty::from(format!("pool-{name}")))
            .collect()
    }

    /// Returns the table.
    pub fn table(&self) -> &table::Table {
        &self.table
    }

    /// Returns the edits submitted so far, in order.
    pub fn edits(&self) -> &[Edit] {
        self.checks.edits()
    }

    /// Returns the longest time after its acceptance that a change was not in force on a serving node, in milliseconds.
    pub fn longest_outdated_ms(&self) -> u64 {
        self.checks.longest_outdated_ms()
    }

    /// Returns the longest time that a duty had no leader since the last call, in milliseconds.
    pub fn take_longest_vacancy_ms(&mut self) -> u64 {
        self.checks.take_longest_vacancy_ms()
    }

    /// Returns the peak number of writes and of reads that arrived at the table in any second after `since`.
    pub fn peak_per_s(&self, since: clock::Instant) -> (u64, u64) {
        let peak = |writes: bool| {
            let kind = self
                .requests_at
                .iter()
                .filter(|(_, write)| *write == writes);
            let moments: Vec<u64> = kind
                .map(|(at, _)| at.as_ms())
                .filter(|at| *at >= since.as_ms())
                .collect();
            let mut peak = 0;
            let mut first = 0;
            for (last, at) in moments.iter().enumerate() {
                while at - moments[first] >= clock::SECOND_MS {
                    first += 1;
                }
                peak = peak.max(last - first + 1);
            }
            u64::try_from(peak).unwrap_or(u64::MAX)
        };
        (peak(true), peak(false))
    }
}
