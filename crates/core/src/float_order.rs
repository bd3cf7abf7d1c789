//! Ordering of amounts that are kept as decimal numbers.

use std::cmp::Ordering;

/// Compares two amounts for sorting. Amounts are never NaN; one that were would count as equal to
/// any other, so that sorting with this never panics.
pub(crate) fn compare(left: f64, right: f64) -> Ordering {
    left.partial_cmp(&right).unwrap_or(Ordering::Equal)
}
