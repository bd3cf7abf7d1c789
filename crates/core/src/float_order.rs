//! Ordering of floating-point amounts.

use std::cmp::Ordering;

/// Compares two amounts for sorting. Amounts are never NaN; a NaN would compare as equal to any
/// value, so that sorting with this function never panics.
pub(crate) fn compare_f64(left: f64, right: f64) -> Ordering {
    left.partial_cmp(&right).unwrap_or(Ordering::Equal)
}
