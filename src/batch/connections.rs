//! Which connection to a worker a command takes.
//!
//! Polls wait at the worker, so that they have a connection of their own, and commands have others. A worker that takes no
//! further connection, as those of lost leaders are still open, answers the polls and gets no command. Commands then share
//! the connection of the polls.

use serde::{Deserialize, Serialize};

use crate::clock;

/// Longest wait of a poll whose connection commands share, in milliseconds; a command waits for its end.
pub const SHARED_POLL_WAIT_MS: u64 = 100;
/// Interval at which a poll tries whether the worker takes further connections again, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 2_000;

/// The connection on which a command or a poll is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Connection {
    /// One of those for commands; another is opened if none is free.
    #[default]
    Commands,
    /// The one for polls.
    Polls,
}

/// What became of a command or a poll on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// The worker answered.
    Answered,
    /// The connection could not be opened, or ended before the answer.
    Disconnected,
    /// There was no answer in time.
    Unanswered,
}

/// Chooses the connections to one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// When the worker last took no further connection; `None` while commands have their own.
    refused_at: Option<clock::Instant>,
}

impl Connections {
    /// Returns the connection for commands.
    pub fn for_commands(&self) -> Connection {
        match self.refused_at {
            None => Connection::Commands,
            Some(_) => Connection::Polls,
        }
    }

    /// Returns whether the next poll tries whether the worker takes further connections. It has no other effect there, so that
    /// nothing is lost if the worker doesn't.
    pub fn is_trial_due(&self, now: clock::Instant) -> bool {
        self.refused_at
            .is_some_and(|at| now.since_ms(at) >= TRIAL_INTERVAL_MS)
    }

    /// Records an exchange; returns whether the connection for commands has changed.
    pub fn record(
        &mut self,
        connection: Connection,
        exchange: Exchange,
        now: clock::Instant,
    ) -> bool {
        let before = self.for_commands();
        match (connection, exchange) {
            (Connection::Commands, Exchange::Answered) => self.refused_at = None,
            (Connection::Commands, Exchange::Disconnected) => self.refused_at = Some(now),
            // A trial that gets no answer shows no more than that the worker may still be full.
            (Connection::Commands, Exchange::Unanswered) => {
                self.refused_at = self.refused_at.map(|_| now);
            }
            (Connection::Polls, _) => {}
        }
        self.for_commands() != before
    }
}
