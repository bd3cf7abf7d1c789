//! The proof of fresh state, and the queue of requests for a read.

use crate::clock::now;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};

/// Age of the proof while no read has succeeded.
const UNPROVEN_AGE: Duration = Duration::from_secs(3600);

/// The start of the newest successful read. The state that the read returned was current at that
/// time or later.
#[derive(Default)]
pub(super) struct FreshnessProof {
    newest_read: Cell<Option<Instant>>,
}

impl FreshnessProof {
    /// Records a successful read that started at `started`; ignores it if a newer one is recorded.
    pub(super) fn record_read(&self, started: Instant) {
        self.newest_read.set(self.newest_read.get().max(Some(started)));
    }

    /// Returns when the newest successful read started; `None` if there was none.
    pub(super) fn proven_at(&self) -> Option<Instant> {
        self.newest_read.get()
    }

    /// Returns the time since the start of the newest successful read; [`UNPROVEN_AGE`] if there
    /// was none.
    pub(super) fn age(&self) -> Duration {
        self.newest_read
            .get()
            .map_or(UNPROVEN_AGE, |started| now().saturating_duration_since(started))
    }
}

/// The newest ticket whose read has ended, and the result of that read.
#[derive(Debug, Clone, Copy)]
struct ServedTicket {
    ticket: u64,
    /// Whether the read succeeded.
    succeeded: bool,
}

/// Requests for a read that starts after the request. Each request has a ticket number; a read
/// serves all tickets that were issued before the read started.
pub(super) struct RefreshQueue {
    /// The newest ticket that was issued.
    newest_ticket: Cell<u64>,
    /// Notified when a ticket is issued.
    requested: Notify,
    /// The newest served ticket, which the tasks that wait for a read watch.
    served: watch::Sender<ServedTicket>,
}

impl Default for RefreshQueue {
    fn default() -> Self {
        Self {
            newest_ticket: Cell::new(0),
            requested: Notify::new(),
            served: watch::channel(ServedTicket { ticket: 0, succeeded: true }).0,
        }
    }
}

impl RefreshQueue {
    /// Waits for a read that starts after the call. Returns whether it succeeded within `timeout`.
    pub(super) async fn wait_for_read(&self, timeout: Duration) -> bool {
        let ticket = self.newest_ticket.get() + 1;
        self.newest_ticket.set(ticket);
        self.requested.notify_one();
        let mut served = self.served.subscribe();
        let wait = served.wait_for(|served| served.ticket >= ticket);
        let waited = tokio::time::timeout(timeout, wait).await;
        matches!(waited, Ok(Ok(served)) if served.succeeded)
    }

    /// Waits until a read is requested; returns the newest ticket, which the next read serves.
    pub(super) async fn next_ticket(&self) -> u64 {
        while self.newest_ticket.get() <= self.served.borrow().ticket {
            self.requested.notified().await;
        }
        self.newest_ticket.get()
    }

    /// Reports the result of the read that served all tickets up to `ticket`.
    pub(super) fn complete_ticket(&self, ticket: u64, succeeded: bool) {
        self.served.send_replace(ServedTicket { ticket, succeeded });
    }
}
