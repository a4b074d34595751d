//! What one caller of the store sees: addresses of its own proxies in place of those that others wrote, and refusals.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

use crate::hosted::lock;

/// One caller's view of the store.
#[derive(Debug, Default)]
pub struct View {
    /// Pairs of an address that the store holds and the one that the caller sees. An address that isn't listed, as that
    /// of the caller itself, is the same for both.
    pairs: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    refused_parts: Mutex<BTreeSet<String>>,
}

impl View {
    /// Shows the caller `seen` in place of `stored`; no other row may contain `seen`.
    pub fn substitute(&self, stored: SocketAddr, seen: SocketAddr) {
        lock(&self.pairs).push((stored, seen));
    }

    /// Refuses the caller's transactions and range reads of some partitions, and of no others.
    pub fn refuse_parts(&self, parts: BTreeSet<String>) {
        *lock(&self.refused_parts) = parts;
    }

    /// Returns whether a request that covers a partition is refused.
    pub(super) fn refuses(&self, part: &str) -> bool {
        lock(&self.refused_parts).contains(part)
    }

    /// Returns a value, both in base64, as the caller sees it.
    pub(super) fn seen(&self, value: &str) -> Option<String> {
        let pairs = lock(&self.pairs);
        replace(value, pairs.iter().copied())
    }

    /// Returns a value that the caller wrote, both in base64, as the store holds it.
    pub(super) fn stored(&self, value: &str) -> Option<String> {
        let pairs = lock(&self.pairs);
        replace(value, pairs.iter().map(|(stored, seen)| (*seen, *stored)))
    }
}

/// Replaces the addresses that are complete JSON texts; `None` if the value has none of them.
fn replace<P>(value: &str, pairs: P) -> Option<String>
where
    P: Iterator<Item = (SocketAddr, SocketAddr)>,
{
    let mut text = None;
    for (from, to) in pairs {
        let text = match &mut text {
            Some(text) => text,
            None => text.insert(String::from_utf8(STANDARD.decode(value).ok()?).ok()?),
        };
        let from = format!("\"{from}\"");
        if text.contains(&from) {
            *text = text.replace(&from, &format!("\"{to}\""));
        }
    }
    text.map(|text| STANDARD.encode(text))
}
