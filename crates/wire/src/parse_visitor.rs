//! Values that are written as text, read without a copy of the text.

use serde::de::{Error, Visitor};
use std::fmt;

/// Reads a text and parses it.
pub(crate) struct ParseVisitor<T> {
    /// Parses the text; none if it is malformed.
    pub parse: fn(&str) -> Option<T>,
    /// What it should be, for errors.
    pub expected: &'static str,
}

impl<T> Visitor<'_> for ParseVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        // Without the text itself, which may be as long as a whole request.
        (self.parse)(text).ok_or_else(|| E::custom(format_args!("malformed {}", self.expected)))
    }
}
