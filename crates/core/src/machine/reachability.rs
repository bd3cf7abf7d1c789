//! Whether orders reach a worker whose heartbeats come.

/// So many heartbeats in a row without the starts that were sent before them.
const UNREACHABLE_AFTER: u32 = 2;

/// Whether what is ordered reaches the worker.
///
/// | from                      | event                                        | to            |
/// |---------------------------|----------------------------------------------|---------------|
/// | any                       | a start was taken, or direct orders answered | `Reachable`   |
/// | `Reachable`               | a heartbeat without the starts sent before   | `Doubtful(1)` |
/// | `Doubtful`                | the same again, two in a row in all          | `Unreachable` |
/// | `Unreachable`             | the same again                               | `Unreachable` |
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Orders reach it, as far as is known.
    Reachable,
    /// Starts were not taken, this many heartbeats in a row.
    Doubtful(u32),
    /// Its heartbeats come, but no orders reach it: no supply until it answers.
    Unreachable,
}

impl Reachability {
    /// The state after orders did, or did not, reach the worker.
    #[must_use]
    pub(super) fn after_delivery(self, delivered: bool) -> Self {
        match (delivered, self) {
            (true, _) => Self::Reachable,
            (false, Self::Reachable) => Self::Doubtful(1),
            (false, Self::Doubtful(times)) if times + 1 < UNREACHABLE_AFTER => {
                Self::Doubtful(times + 1)
            }
            (false, _) => Self::Unreachable,
        }
    }
}
