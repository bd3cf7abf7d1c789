//! Deserialization of values that are encoded as text, without copying the text.

use serde::de::{Error, Visitor};
use std::fmt;

/// A serde visitor that parses a string into a value.
pub(crate) struct ParseVisitor<T> {
    /// Parses the text; returns `None` if the text is malformed.
    pub parse: fn(&str) -> Option<T>,
    /// What the text must contain, for error messages.
    pub expected: &'static str,
}

impl<T> Visitor<'_> for ParseVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        // The error omits the text, which may be as long as a whole request.
        (self.parse)(text).ok_or_else(|| E::custom(format_args!("malformed {}", self.expected)))
    }
}
