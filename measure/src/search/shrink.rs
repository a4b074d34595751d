//! Shrinks a history while it breaks the same rule.

use crate::search::check::Violation;
use crate::search::history::History;
use crate::search::world::World;

/// Runs a history and returns its first violation.
pub fn first_violation(history: &History) -> Option<Violation> {
    let mut world = World::new(history.clone(), false);
    world.run();
    world.checks.violations.into_iter().next()
}

/// Returns the simplest history found that breaks a rule.
pub fn shrink(history: &History, rule: &str) -> History {
    let mut shortest = history.clone();
    loop {
        let breaks =
            |history: &History| first_violation(history).is_some_and(|seen| seen.rule == rule);
        let Some(simpler) = shortest.simpler().into_iter().find(breaks) else {
            return shortest;
        };
        shortest = simpler;
    }
}

/// Returns the kinds of the faults, by which histories of the same fault are told apart.
pub fn signature(history: &History) -> Vec<&'static str> {
    let faults = history.faults.iter();
    let mut names: Vec<&'static str> = faults.map(|fault| fault.kind.name()).collect();
    names.sort_unstable();
    names
}
