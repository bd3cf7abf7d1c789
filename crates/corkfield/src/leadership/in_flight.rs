//! Counting requests that are under way at once.

use std::rc::Rc;

/// Counts what is in flight: as many as there are guards.
#[derive(Default)]
pub(super) struct InFlight(Rc<()>);

/// Counts as one in flight until it is dropped.
pub(super) struct InFlightGuard {
    _counted: Rc<()>,
}

impl InFlight {
    /// Counts one more.
    pub(super) fn begin(&self) -> InFlightGuard {
        InFlightGuard { _counted: self.0.clone() }
    }

    /// How many are in flight.
    pub(super) fn count(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}
