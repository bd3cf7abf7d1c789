//! The id of a job.

use crate::parse_visitor::ParseVisitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

const JOB_ID_PREFIX: &str = "j-";
const JOB_ID_DIGITS: usize = 20;

/// The id of a job, chosen by its user: `j-` and 1 to 20 digits. It is kept in place, without an
/// allocation: a leader compares and copies ids for every task of every heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    /// The digits as they were sent, leading zeros too, then zero bytes: so ids are in order of
    /// their text.
    digits: [u8; JOB_ID_DIGITS],
    length: u8,
}

impl JobId {
    /// Reads an id; none if the text is not of its form.
    pub fn parse(text: &str) -> Option<Self> {
        let given = text.strip_prefix(JOB_ID_PREFIX)?.as_bytes();
        let length_fits = (1..=JOB_ID_DIGITS).contains(&given.len());
        if !length_fits || !given.iter().all(u8::is_ascii_digit) {
            return None;
        }
        let mut digits = [0; JOB_ID_DIGITS];
        digits[..given.len()].copy_from_slice(given);
        Some(Self { digits, length: u8::try_from(given.len()).ok()? })
    }

    fn digits(&self) -> &str {
        // They were taken from a text, and are ASCII.
        std::str::from_utf8(&self.digits[..usize::from(self.length)]).unwrap_or_default()
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JobId({self})")
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{JOB_ID_PREFIX}{}", self.digits())
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(ParseVisitor { parse: Self::parse, expected: "job id" })
    }
}
