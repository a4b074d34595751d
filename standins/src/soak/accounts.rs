//! Client accounts of a soak: their keys, which are added and revoked while callers use them, and their quotas.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::soak::Options;
use crate::soak::world::World;

/// Time within which a version of the configuration, with its keys, is in force, in milliseconds: the daemons' value if
/// the settings state none.
const APPLY_MS: u64 = 2_000;
/// Time between two changes of keys, in milliseconds.
const CHANGE_MS: std::ops::Range<u64> = 300..2_000;
/// Processor quotas of the accounts in turn, in thousandths of a core; 0 is no limit. They bind while callers are busy.
const QUOTAS_MILLI: [u64; 3] = [0, 7_000, 5_600];

/// A key of an account.
#[derive(Clone, Debug)]
struct Key {
    text: String,
    added_at: time::Instant,
    /// When the version without the key was written; `None` if the key is valid.
    revoked_at: Option<time::Instant>,
}

/// The accounts and their keys.
#[derive(Debug, Default)]
pub struct Accounts {
    /// Keys of each account, oldest first.
    keys: Mutex<Vec<Vec<Key>>>,
}

/// What a response to a call with a key must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Anything but 401.
    Authenticated,
    /// 401, or a refusal for another reason.
    Denied,
    /// A change of the key is not in force on all nodes yet.
    Either,
}

/// Returns the name of an account.
pub fn name(account: usize) -> String {
    format!("account-{account}")
}

/// Returns the processor quota of an account, in thousandths of a core; `None` if it has none.
pub fn quota_milli(account: usize) -> Option<u64> {
    Some(QUOTAS_MILLI[account % QUOTAS_MILLI.len()]).filter(|quota| *quota > 0)
}

impl Accounts {
    /// Creates accounts with a key each.
    pub fn new(accounts: usize) -> Self {
        let first = |account| {
            vec![Key {
                text: format!("{}-key-0", name(account)),
                added_at: time::Instant::now(),
                revoked_at: None,
            }]
        };
        Self {
            keys: Mutex::new((0..accounts).map(first).collect()),
        }
    }

    fn keys(&self) -> MutexGuard<'_, Vec<Vec<Key>>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of accounts.
    pub fn count(&self) -> usize {
        self.keys().len()
    }

    /// Returns the accounts as the configuration states them; `None` without accounts.
    pub fn config(&self) -> Option<serde_json::Value> {
        let keys = self.keys();
        let accounts = keys.iter().enumerate().map(|(account, keys)| {
            let valid = keys.iter().filter(|key| key.revoked_at.is_none());
            let valid: Vec<&str> = valid.map(|key| key.text.as_str()).collect();
            json!({
                "name": name(account), "apiKeys": valid, "weight": 3.0, "priority": 0,
                "maxCount": {"cpu": quota_milli(account).unwrap_or(0), "memMb": 0, "gpu": 0},
            })
        });
        (!keys.is_empty()).then(|| accounts.collect())
    }

    /// Returns the newest key of an account that is in force on all nodes.
    pub fn current(&self, account: usize) -> String {
        let keys = self.keys();
        let in_force = keys[account].iter().rev().find(|key| {
            key.revoked_at.is_none()
                && (key.added_at.elapsed() >= Duration::from_millis(APPLY_MS)
                    || key.text.ends_with("-0"))
        });
        in_force.map_or_else(String::new, |key| key.text.clone())
    }

    /// Returns the newest revoked key, if any account has one.
    pub fn revoked(&self, account: usize) -> Option<String> {
        let keys = self.keys();
        let mut revoked = keys[account].iter().rev();
        let revoked = revoked.find(|key| key.revoked_at.is_some());
        revoked.map(|key| key.text.clone())
    }

    /// Returns what the response must be to a call that begins now with a key.
    pub fn expected(&self, text: &str) -> Expected {
        let keys = self.keys();
        let Some(key) = keys.iter().flatten().find(|key| key.text == text) else {
            return Expected::Denied;
        };
        match key.revoked_at {
            None => Expected::Authenticated,
            Some(at) if at.elapsed() >= Duration::from_millis(APPLY_MS) => Expected::Denied,
            Some(_) => Expected::Either,
        }
    }

    fn add(&self, account: usize) {
        let mut keys = self.keys();
        let text = format!("{}-key-{}", name(account), keys[account].len());
        keys[account].push(Key {
            text,
            added_at: time::Instant::now(),
            revoked_at: None,
        });
    }

    /// Revokes all keys of an account but the newest.
    fn revoke_old(&self, account: usize) {
        let now = time::Instant::now();
        let mut keys = self.keys();
        let old = keys[account].len() - 1;
        for key in &mut keys[account][..old] {
            key.revoked_at.get_or_insert(now);
        }
    }
}

/// Adds keys and revokes older ones until the soak stops. Each key is in force everywhere before its predecessor is revoked.
pub async fn change_keys(world: Arc<World>, options: Options, stop: CancellationToken) {
    let accounts = world.accounts.count();
    let mut rng = SmallRng::seed_from_u64(options.seed ^ 0xacc7);
    while accounts > 0 && !stop.is_cancelled() {
        let account = rng.random_range(0..accounts);
        let pause_ms = rng.random_range(CHANGE_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
        world.accounts.add(account);
        world.configure(&[]);
        time::sleep(Duration::from_millis(APPLY_MS)).await;
        // The callers see the revocation before the nodes do, so that no 401 is unexpected.
        world.accounts.revoke_old(account);
        world.configure(&[]);
    }
}
