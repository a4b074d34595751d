//! The platform's table.

use rand::Rng;
use wasabiloft::platform;

use super::World;

impl World {
    /// Applies a transaction.
    pub(super) fn transact(&mut self, txn: &platform::Txn) -> platform::Outcome {
        for check in &txn.checks {
            let version = self.table.get(&check.key).map_or(0, |row| row.version);
            let must_match = self.settings.protection.row_versions || check.version == 0;
            if version != check.version && must_match {
                return platform::Outcome::Refused(platform::Refused {
                    key: check.key.clone(),
                    version,
                });
            }
        }
        let versions = txn.writes.iter().map(|write| self.write(write)).collect();
        self.report.rows_written += txn.writes.len() as u64;
        platform::Outcome::Committed(platform::Committed { versions })
    }

    pub(super) fn write(&mut self, write: &platform::Write) -> u64 {
        let Some(value) = &write.value else {
            self.table.remove(&write.key);
            return 0;
        };
        let version = self.next_version;
        self.next_version += 1;
        self.table.insert(
            write.key.clone(),
            platform::Row {
                key: write.key.clone(),
                version,
                value: value.clone(),
            },
        );
        version
    }

    pub(super) fn store_delay_ms(&mut self) -> u64 {
        let outage_ms = self.settings.faults.outage_left_ms(self.now_ms);
        outage_ms + self.rng.random_range(2..8)
    }

    /// The reply's way back; a lost one is settled by reading, which takes longer.
    pub(super) fn settle_delay_ms(&mut self) -> u64 {
        if self.rng.random_bool(self.settings.faults.lost_reply) {
            return self.rng.random_range(300..900);
        }
        self.rng.random_range(2..8)
    }
}
