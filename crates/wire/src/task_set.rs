//! A set of task numbers, kept and written as ranges.

use crate::user::MAX_TASKS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// A set of task numbers. It is written as text, in ranges: `0-2,5,9-10`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskSet {
    /// First number of each range to its last; ranges neither touch nor overlap.
    ranges: BTreeMap<u32, u32>,
    count: u32,
}

/// Why a text is no set of task numbers.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskSetError {
    /// A range is neither a number nor two numbers with `-` between them.
    #[error("malformed range {0}")]
    MalformedRange(String),
    /// A range ends before it begins, touches the one before it or comes before it, or goes
    /// beyond [`MAX_TASKS`].
    #[error("range {0} out of order")]
    OutOfOrder(String),
}

impl TaskSet {
    /// Whether it holds no number.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// How many numbers it holds.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether it holds this number.
    pub fn contains(&self, index: u32) -> bool {
        self.ranges.range(..=index).next_back().is_some_and(|(_, &last)| index <= last)
    }

    /// Adds a number; false if it was there already.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let mut first = index;
        let mut last = index;
        if let Some((&start, &end)) = self.ranges.range(..index).next_back() {
            if end + 1 == index {
                first = start;
            }
        }
        if let Some(&end) = index.checked_add(1).and_then(|next| self.ranges.get(&next)) {
            self.ranges.remove(&(index + 1));
            last = end;
        }
        self.ranges.insert(first, last);
        self.count += 1;
        true
    }

    /// Adds all numbers of another set.
    pub fn extend(&mut self, other: &Self) {
        for (&first, &last) in &other.ranges {
            for index in first..=last {
                self.insert(index);
            }
        }
    }

    /// The numbers from `from` up to but not including `to`.
    pub fn slice(&self, from: u32, to: u32) -> Self {
        let mut part = Self::default();
        let Some(to) = to.checked_sub(1) else { return part };
        let start = self.ranges.range(..=from).next_back().map_or(from, |(&first, _)| first);
        for (&first, &last) in self.ranges.range(start..=to) {
            let (first, last) = (first.max(from), last.min(to));
            if first <= last {
                part.ranges.insert(first, last);
                part.count += last - first + 1;
            }
        }
        part
    }
}

impl From<TaskSet> for String {
    fn from(set: TaskSet) -> Self {
        let mut text = String::new();
        for (first, last) in set.ranges {
            if !text.is_empty() {
                text.push(',');
            }
            let _ = if first == last {
                write!(text, "{first}")
            } else {
                write!(text, "{first}-{last}")
            };
        }
        text
    }
}

impl TryFrom<String> for TaskSet {
    type Error = TaskSetError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut set = Self::default();
        // The least number that the next range may begin with.
        let mut floor = 0u64;
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) =
                parse_range(part).ok_or_else(|| TaskSetError::MalformedRange(part.to_owned()))?;
            if u64::from(first) < floor || last < first || last > MAX_TASKS {
                return Err(TaskSetError::OutOfOrder(part.to_owned()));
            }
            floor = u64::from(last) + 2;
            set.ranges.insert(first, last);
            set.count += last - first + 1;
        }
        Ok(set)
    }
}

/// The first and the last number of a range; of a single number, that one twice.
fn parse_range(part: &str) -> Option<(u32, u32)> {
    let (first, last) = part.split_once('-').unwrap_or((part, part));
    Some((first.parse().ok()?, last.parse().ok()?))
}

#[cfg(test)]
mod tests;
