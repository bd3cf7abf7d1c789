//! Tracks workers that were redirected to the leader, and finds the workers that can't reach the
//! leader.

use crate::clock::now;
use corkfield_wire::MachineName;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A worker that returns within this time after it was redirected didn't reach the leader.
const RETURN_WINDOW: Duration = Duration::from_secs(12);
/// After this time a worker whose heartbeats are relayed is redirected to the leader again.
const RELAY_PERIOD: Duration = Duration::from_secs(60);
/// Maximum number of tracked workers, which is above the number of workers of a cluster. Workers
/// that were not seen for [`RETURN_WINDOW`] are removed.
const MAX_TRACKED_WORKERS: usize = 32_768;

/// How a worker's heartbeats reach the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatRoute {
    /// The worker sends its heartbeats to the leader itself.
    Redirect,
    /// This controller relays the heartbeats to the leader.
    Relay,
}

/// A worker that recently sent a heartbeat to this controller.
#[derive(Debug, Clone, Copy)]
struct RedirectedWorker {
    last_seen: Instant,
    state: RedirectState,
}

/// How the heartbeats of a tracked worker reach the leader.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | unknown, or not seen for [`RETURN_WINDOW`] | heartbeat | redirected |
/// | redirected | heartbeat | relayed |
/// | relayed for up to [`RELAY_PERIOD`] | heartbeat | relayed |
/// | relayed for longer | heartbeat | redirected |
#[derive(Debug, Clone, Copy)]
enum RedirectState {
    Redirected,
    Relayed { since: Instant },
}

impl RedirectedWorker {
    /// Returns a worker that was just redirected for the first time.
    fn redirected(seen: Instant) -> Self {
        Self { last_seen: seen, state: RedirectState::Redirected }
    }

    /// Returns whether the worker was not seen for [`RETURN_WINDOW`].
    fn is_expired(&self, at: Instant) -> bool {
        at.saturating_duration_since(self.last_seen) >= RETURN_WINDOW
    }

    /// Returns the state after a heartbeat within [`RETURN_WINDOW`] after the previous one.
    fn state_after_return(&self, at: Instant) -> RedirectState {
        match self.state {
            RedirectState::Redirected => RedirectState::Relayed { since: at },
            RedirectState::Relayed { since }
                if at.saturating_duration_since(since) > RELAY_PERIOD =>
            {
                RedirectState::Redirected
            }
            relayed @ RedirectState::Relayed { .. } => relayed,
        }
    }
}

/// Workers that sent heartbeats to this controller although another controller leads.
#[derive(Default)]
pub struct RedirectedWorkers {
    /// The tracked workers, by machine.
    workers: RefCell<BTreeMap<MachineName, RedirectedWorker>>,
    last_removal: Cell<Option<Instant>>,
}

impl RedirectedWorkers {
    /// Records a worker's heartbeat and returns how it reaches the leader.
    pub fn route_heartbeat(&self, machine: &str) -> HeartbeatRoute {
        let at = now();
        self.remove_expired(at);
        let mut workers = self.workers.borrow_mut();
        let known = workers.get_mut(machine).filter(|worker| !worker.is_expired(at));
        let Some(worker) = known else {
            if workers.len() < MAX_TRACKED_WORKERS || workers.contains_key(machine) {
                workers.insert(MachineName::from(machine), RedirectedWorker::redirected(at));
            }
            return HeartbeatRoute::Redirect;
        };
        *worker = RedirectedWorker { last_seen: at, state: worker.state_after_return(at) };
        match worker.state {
            RedirectState::Redirected => HeartbeatRoute::Redirect,
            RedirectState::Relayed { .. } => HeartbeatRoute::Relay,
        }
    }

    /// Removes expired workers, at most once per [`RETURN_WINDOW`].
    fn remove_expired(&self, at: Instant) {
        let due =
            |last_removal: Instant| at.saturating_duration_since(last_removal) >= RETURN_WINDOW;
        if self.last_removal.get().is_none_or(due) {
            self.last_removal.set(Some(at));
            self.workers.borrow_mut().retain(|_, worker| !worker.is_expired(at));
        }
    }
}

#[cfg(test)]
mod tests;
