//! The platform's transactional table, in memory.

use std::collections::{BTreeMap, HashMap};

use wasabiloft::id;
use wasabiloft::platform;

/// A row that is present.
#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    value: String,
}

/// The rows, and the last version of each deleted one.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<id::Key, Stored>,
    deleted: HashMap<id::Key, u64>,
}

impl Table {
    /// The row under a key.
    pub fn row(&self, key: &id::Key) -> Option<platform::Row> {
        self.rows.get(key).map(|stored| row(key, stored))
    }

    /// The rows whose key has a prefix and lies after `after`, by key, `limit` at most.
    pub fn range(&self, prefix: &str, after: &str, limit: usize) -> Vec<platform::Row> {
        let start = id::Key::new(prefix.max(after));
        self.rows
            .range(start..)
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .take(limit)
            .map(|(key, stored)| row(key, stored))
            .collect()
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// The first row whose check failed; nothing was written then.
    pub fn transact(
        &mut self,
        txn: &platform::Txn,
    ) -> Result<platform::Committed, platform::Refused> {
        for check in &txn.checks {
            let version = self.rows.get(&check.key).map_or(0, |stored| stored.version);
            if version != check.version {
                let key = check.key.clone();
                return Err(platform::Refused { key, version });
            }
        }
        let versions = txn.writes.iter().map(|write| self.write(write)).collect();
        Ok(platform::Committed { versions })
    }

    fn write(&mut self, write: &platform::Write) -> u64 {
        let last = match self.rows.get(&write.key) {
            Some(stored) => stored.version,
            None => self.deleted.get(&write.key).copied().unwrap_or(0),
        };
        match &write.value {
            Some(value) => {
                let version = last + 1;
                let value = value.clone();
                self.deleted.remove(&write.key);
                self.rows
                    .insert(write.key.clone(), Stored { version, value });
                version
            }
            None => {
                self.rows.remove(&write.key);
                self.deleted.insert(write.key.clone(), last);
                0
            }
        }
    }
}

fn row(key: &id::Key, stored: &Stored) -> platform::Row {
    platform::Row {
        key: key.clone(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
