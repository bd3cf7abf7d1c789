//! Proof of fresh state, and the queue of those that wait for a read.

use crate::clock::now;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};

/// Age of a proof that was never given.
const UNPROVEN_AGE: Duration = Duration::from_secs(3600);

/// When the newest successful read was begun: what it brought was current then, or later.
#[derive(Default)]
pub(super) struct FreshnessProof {
    newest_read: Cell<Option<Instant>>,
}

impl FreshnessProof {
    /// A successful read was begun at `started`. Never goes back.
    pub(super) fn record_read(&self, started: Instant) {
        self.newest_read.set(self.newest_read.get().max(Some(started)));
    }

    /// When the newest successful read was begun.
    pub(super) fn proven_at(&self) -> Option<Instant> {
        self.newest_read.get()
    }

    /// How long ago the newest successful read was begun; an hour if there was none.
    pub(super) fn age(&self) -> Duration {
        self.newest_read
            .get()
            .map_or(UNPROVEN_AGE, |started| now().saturating_duration_since(started))
    }
}

/// The newest ticket whose read has ended, and whether that read succeeded.
#[derive(Debug, Clone, Copy)]
struct ServedTicket {
    ticket: u64,
    succeeded: bool,
}

/// Requests for a read that is begun after the request. Each takes a ticket; a read serves all
/// tickets that were given out before it began.
pub(super) struct RefreshQueue {
    /// The newest ticket given out.
    newest_ticket: Cell<u64>,
    /// Notified when a ticket is given out.
    requested: Notify,
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
    /// Waits for a read begun after the call; true if it succeeded within `limit`.
    pub(super) async fn wait_for_read(&self, limit: Duration) -> bool {
        let ticket = self.newest_ticket.get() + 1;
        self.newest_ticket.set(ticket);
        self.requested.notify_one();
        let mut served = self.served.subscribe();
        let wait = served.wait_for(|served| served.ticket >= ticket);
        let waited = tokio::time::timeout(limit, wait).await;
        matches!(waited, Ok(Ok(served)) if served.succeeded)
    }

    /// Waits until somebody waits for a read; the newest ticket that it will serve.
    pub(super) async fn next_ticket(&self) -> u64 {
        while self.newest_ticket.get() <= self.served.borrow().ticket {
            self.requested.notified().await;
        }
        self.newest_ticket.get()
    }

    /// The read for all tickets up to this one has ended.
    pub(super) fn complete_ticket(&self, ticket: u64, succeeded: bool) {
        self.served.send_replace(ServedTicket { ticket, succeeded });
    }
}
