//! Sets of numbers that mostly follow one another, kept as ranges.

use std::collections::BTreeMap;

/// A set of numbers. Its size in memory grows with the gaps between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges {
    /// First number of each range, with its last one. Two ranges never touch.
    ranges: BTreeMap<u32, u32>,
    count: u64,
}

impl Ranges {
    /// Returns the set of all numbers below `end`.
    pub fn below(end: u32) -> Self {
        let last = end.checked_sub(1);
        Self {
            ranges: last.map(|last| (0, last)).into_iter().collect(),
            count: u64::from(end),
        }
    }

    /// Adds a number; returns whether it is new.
    pub fn insert(&mut self, number: u32) -> bool {
        if self.contains(number) {
            return false;
        }
        let (mut first, mut last) = (number, number);
        let before = self.ranges.range(..number).next_back();
        if let Some((&start, &end)) = before
            && end.checked_add(1) == Some(number)
        {
            first = start;
        }
        let after = number.checked_add(1);
        if let Some(end) = after.and_then(|after| self.ranges.remove(&after)) {
            last = end;
        }
        self.ranges.insert(first, last);
        self.count += 1;
        true
    }

    /// Returns whether the set has a number.
    pub fn contains(&self, number: u32) -> bool {
        self.last_of(number).is_some()
    }

    /// Returns the last number of the range that has a number, if there is one.
    pub fn last_of(&self, number: u32) -> Option<u32> {
        let (_, &last) = self.ranges.range(..=number).next_back()?;
        (number <= last).then_some(last)
    }

    /// Returns how many numbers the set has.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the lowest number that the set lacks.
    pub fn first_missing(&self) -> u32 {
        self.last_of(0).map_or(0, |last| last.saturating_add(1))
    }
}
