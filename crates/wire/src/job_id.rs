//! Job ids.

use crate::parse_visitor::ParseVisitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

const JOB_ID_PREFIX: &str = "j-";
const JOB_ID_DIGITS: usize = 20;

/// The id of a job, chosen by its user: `j-` followed by 1 to 20 digits.
///
/// The digits are stored inline, without a heap allocation, because the leader compares and copies
/// ids for every task of every heartbeat. Ids are ordered by their text.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    /// The digits as received, including leading zeros, padded with zero bytes. The padding makes
    /// the derived order equal to the order of the texts.
    digits: [u8; JOB_ID_DIGITS],
    length: u8,
}

impl JobId {
    /// Parses an id; returns `None` if the text is not a valid job id.
    pub fn parse(text: &str) -> Option<Self> {
        let text_digits = text.strip_prefix(JOB_ID_PREFIX)?.as_bytes();
        let length_fits = (1..=JOB_ID_DIGITS).contains(&text_digits.len());
        if !length_fits || !text_digits.iter().all(u8::is_ascii_digit) {
            return None;
        }
        let mut digits = [0; JOB_ID_DIGITS];
        digits[..text_digits.len()].copy_from_slice(text_digits);
        Some(Self { digits, length: u8::try_from(text_digits.len()).ok()? })
    }

    fn digits(&self) -> &str {
        // `parse` accepts only ASCII digits, so the conversion can't fail.
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
