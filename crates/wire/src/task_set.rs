//! A set of task indices, stored as ranges.

use crate::user::MAX_TASKS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// A set of task indices. It is serialized as a text of ranges, for example `0-2,5,9-10`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskSet {
    /// Maps the first index of each range to its last. Ranges are neither adjacent nor overlapping.
    ranges: BTreeMap<u32, u32>,
    /// Number of indices in all ranges.
    count: u32,
}

/// Errors of parsing a [`TaskSet`].
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskSetError {
    /// A range is neither an index nor two indices separated by `-`.
    #[error("malformed range {0}")]
    MalformedRange(String),
    /// A range ends before it begins, precedes, overlaps or adjoins the previous range, or ends
    /// above [`MAX_TASKS`].
    #[error("range {0} out of order")]
    OutOfOrder(String),
}

impl TaskSet {
    /// Returns whether the set has no indices.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the number of indices in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Returns whether the set contains `index`.
    pub fn contains(&self, index: u32) -> bool {
        self.ranges.range(..=index).next_back().is_some_and(|(_, &last)| index <= last)
    }

    /// Adds an index; returns false if the set already contained it.
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

    /// Adds all indices of another set.
    pub fn extend(&mut self, other: &Self) {
        for (&first, &last) in &other.ranges {
            for index in first..=last {
                self.insert(index);
            }
        }
    }

    /// Returns the indices from `from` up to but not including `to`.
    pub fn slice(&self, from: u32, to: u32) -> Self {
        let mut slice = Self::default();
        let Some(to) = to.checked_sub(1) else { return slice };
        let start = self.ranges.range(..=from).next_back().map_or(from, |(&first, _)| first);
        for (&first, &last) in self.ranges.range(start..=to) {
            let (first, last) = (first.max(from), last.min(to));
            if first <= last {
                slice.ranges.insert(first, last);
                slice.count += last - first + 1;
            }
        }
        slice
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
        // The lowest index with which the next range may begin.
        let mut min_first = 0u64;
        for range in text.split(',').filter(|range| !range.is_empty()) {
            let (first, last) =
                parse_range(range).ok_or_else(|| TaskSetError::MalformedRange(range.to_owned()))?;
            if u64::from(first) < min_first || last < first || last > MAX_TASKS {
                return Err(TaskSetError::OutOfOrder(range.to_owned()));
            }
            min_first = u64::from(last) + 2;
            set.ranges.insert(first, last);
            set.count += last - first + 1;
        }
        Ok(set)
    }
}

/// Returns the first and the last index of a range, which are equal for a single index.
fn parse_range(range: &str) -> Option<(u32, u32)> {
    let (first, last) = range.split_once('-').unwrap_or((range, range));
    Some((first.parse().ok()?, last.parse().ok()?))
}

#[cfg(test)]
mod tests;
