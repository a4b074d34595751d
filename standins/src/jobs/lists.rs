//! The platform's lagging lists.

use wasabiloft::job::duty;
use wasabiloft::platform;

use super::{Event, READING_MS, World, worker};

impl World {
    pub(super) fn take_readings(&mut self) {
        let as_of_ms = self.now_ms;
        let workers = self.workers.iter_mut();
        let usage: Vec<platform::Usage> = workers.filter_map(|one| one.reading(as_of_ms)).collect();
        self.readings.push_back(platform::UsageList {
            as_of_ms,
            workers: usage,
        });
        let vms = self.workers.iter().map(worker::Worker::listed).collect();
        self.vm_lists.push_back(platform::VmList { as_of_ms, vms });
    }

    pub(super) fn read_workers(&mut self) {
        self.take_readings();
        self.report.sample(self.now_ms, &self.workers, &self.truth);
        let kept_ms = self.settings.usage_lag_ms + 2 * READING_MS;
        while self
            .readings
            .front()
            .is_some_and(|list| list.as_of_ms + kept_ms < self.now_ms)
        {
            self.readings.pop_front();
            self.vm_lists.pop_front();
        }
        self.schedule(READING_MS, Event::Read);
    }

    /// Gives the holders the newest lists that are old enough.
    pub(super) fn deliver_lists(&mut self) {
        for holder in 0..self.holders.len() {
            self.deliver_to(holder);
        }
        self.schedule(READING_MS, Event::Deliver);
    }

    pub(super) fn deliver_to(&mut self, holder: usize) {
        let lag_ms = self.settings.usage_lag_ms;
        let old = |as_of_ms: u64| as_of_ms + lag_ms <= self.now_ms;
        let vms = self.vm_lists.iter().rev().find(|list| old(list.as_of_ms));
        let vms = vms.or(self.vm_lists.front()).cloned();
        let usage = self.readings.iter().rev().find(|list| old(list.as_of_ms));
        let usage = usage.or(self.readings.front()).cloned();
        if let Some(list) = vms {
            self.input(holder, duty::Input::Vms(&list));
        }
        if let Some(mut list) = usage {
            list.as_of_ms = self.now_ms;
            self.input(holder, duty::Input::Usage(&list));
        }
    }
}
