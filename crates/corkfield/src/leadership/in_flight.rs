//! Counting requests that are under way at once.

use std::rc::Rc;

/// Counts what is in flight: as many as there are guards.
#[derive(Default)]
pub(super) struct InFlightCounter(Rc<()>);

/// Counts as one in flight until it is dropped.
pub(super) struct InFlightGuard {
    _counter: Rc<()>,
}

impl InFlightCounter {
    /// Counts one more.
    pub(super) fn begin(&self) -> InFlightGuard {
        InFlightGuard { _counter: self.0.clone() }
    }

    /// How many are in flight.
    pub(super) fn count(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}
