//! A bounded queue of one kind's waiting requests.

use std::collections::VecDeque;

use crate::admission;
use crate::clock;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub request: admission::RequestId,
    /// When it came in.
    pub arrived_at: clock::Instant,
    /// When its answer must be complete.
    pub deadline: clock::Instant,
}

/// Waiting requests, first in first out; retries go to the front.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The request that would start next.
    pub fn front(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    /// Adds a new request at the end.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Adds a retried request at the front.
    pub fn push_front(&mut self, waiting: Waiting) {
        self.waiting.push_front(waiting);
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    /// Removes a request; tells whether it was there.
    pub fn remove(&mut self, request: admission::RequestId) -> bool {
        let found = self
            .waiting
            .iter()
            .position(|entry| entry.request == request);
        match found {
            Some(index) => self.waiting.remove(index).is_some(),
            None => false,
        }
    }

    /// Takes out every request that can't finish within `service_ms` from now.
    pub fn expire(&mut self, now: clock::Instant, service_ms: u64) -> Vec<Waiting> {
        let finish = now.after_ms(service_ms);
        if self.waiting.iter().all(|entry| entry.deadline > finish) {
            return Vec::new();
        }
        let (late, kept): (VecDeque<_>, VecDeque<_>) = self
            .waiting
            .drain(..)
            .partition(|entry| entry.deadline <= finish);
        self.waiting = kept;
        Vec::from(late)
    }
}
