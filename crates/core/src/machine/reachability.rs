//! Whether orders reach a worker that sends heartbeats.

/// Number of consecutive heartbeats without the starts sent before them, after which a worker
/// counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;

/// Whether orders reach the worker.
///
/// | from          | event                                                     | to            |
/// |---------------|-----------------------------------------------------------|---------------|
/// | any           | a start is confirmed, or a direct request is answered     | `Reachable`   |
/// | `Reachable`   | starts are missing                                        | `Doubtful(1)` |
/// | `Doubtful`    | starts are missing for the second consecutive time        | `Unreachable` |
/// | `Unreachable` | starts are missing                                        | `Unreachable` |
///
/// Starts are missing if a heartbeat lacks a task whose start was sent before it, or if the worker's
/// lease expires before a heartbeat reports a task whose start was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// No order is known to have been lost.
    Reachable,
    /// This many consecutive heartbeats lacked the starts sent before them.
    Doubtful(u32),
    /// The worker sends heartbeats, but no orders reach it. The machine does not count as supply
    /// until the worker answers a request.
    Unreachable,
}

impl Reachability {
    /// Returns the state after orders were delivered to the worker, or were lost.
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
