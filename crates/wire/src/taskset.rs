//! A set of task numbers, kept and written as ranges.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskSet {
    /// First number of each range to its last; ranges neither touch nor overlap.
    ranges: BTreeMap<u32, u32>,
    count: u32,
}

impl TaskSet {
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    pub fn contains(&self, n: u32) -> bool {
        self.ranges.range(..=n).next_back().is_some_and(|(_, &last)| n <= last)
    }

    /// Adds a number; false if it was there already.
    pub fn insert(&mut self, n: u32) -> bool {
        if self.contains(n) {
            return false;
        }
        let mut first = n;
        let mut last = n;
        if let Some((&start, &end)) = self.ranges.range(..n).next_back() {
            if end + 1 == n {
                first = start;
            }
        }
        if let Some(&end) = n.checked_add(1).and_then(|next| self.ranges.get(&next)) {
            self.ranges.remove(&(n + 1));
            last = end;
        }
        self.ranges.insert(first, last);
        self.count += 1;
        true
    }

    pub fn extend(&mut self, other: &Self) {
        for (&first, &last) in &other.ranges {
            for n in first..=last {
                self.insert(n);
            }
        }
    }

    /// The numbers from `from` up to but not including `to`.
    pub fn slice(&self, from: u32, to: u32) -> Self {
        let mut part = Self::default();
        let Some(to) = to.checked_sub(1) else { return part };
        let first = self.ranges.range(..=from).next_back().map_or(from, |(&first, _)| first);
        for (&first, &last) in self.ranges.range(first..=to) {
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
    type Error = String;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut set = Self::default();
        let mut floor = 0u64;
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let bad = |_| format!("malformed range {part}");
            let (first, last): (u32, u32) =
                (first.parse().map_err(bad)?, last.parse().map_err(bad)?);
            if u64::from(first) < floor || last < first || last > crate::user::MAX_TASKS {
                return Err(format!("range {part} out of order"));
            }
            floor = u64::from(last) + 2;
            set.ranges.insert(first, last);
            set.count += last - first + 1;
        }
        Ok(set)
    }
}

#[cfg(test)]
mod tests;
