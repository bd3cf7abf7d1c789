//! Counts concurrent requests.

use std::rc::Rc;

/// Counts requests in flight: one per live guard.
#[derive(Default)]
pub(super) struct InFlightCounter(Rc<()>);

/// Counts as one request in flight until it is dropped.
pub(super) struct InFlightGuard {
    _counter: Rc<()>,
}

impl InFlightCounter {
    /// Adds one to the count until the returned guard is dropped.
    pub(super) fn increment(&self) -> InFlightGuard {
        InFlightGuard { _counter: self.0.clone() }
    }

    /// Returns the number of requests in flight.
    pub(super) fn count(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}
