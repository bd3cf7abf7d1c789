//! Workers that were redirected to the leader, and those that can't reach it.

use crate::clock::now;
use corkfield_wire::MachineName;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A worker that is back this soon after it was redirected to the leader didn't reach it.
const RETURN_WINDOW: Duration = Duration::from_secs(12);
/// After this a worker whose heartbeats are relayed tries the leader itself again.
const RELAY_PERIOD: Duration = Duration::from_secs(60);
/// Above the number of workers; only those that came in the last seconds are remembered.
const MAX_REDIRECTED: usize = 32_768;

/// How a worker's heartbeats get to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatRoute {
    /// The worker is to send them to the leader itself.
    Redirect,
    /// This controller relays them.
    Relay,
}

/// What is remembered of a worker that was here.
#[derive(Debug, Clone, Copy)]
struct RedirectedWorker {
    last_seen: Instant,
    state: RedirectState,
}

/// How the heartbeats of a worker that was here get to the leader.
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
    fn redirected(seen: Instant) -> Self {
        Self { last_seen: seen, state: RedirectState::Redirected }
    }

    fn is_expired(&self, at: Instant) -> bool {
        at.saturating_duration_since(self.last_seen) >= RETURN_WINDOW
    }

    /// The state after a heartbeat that came soon after the one before.
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

/// Workers that came to this controller although another one leads.
#[derive(Default)]
pub struct RedirectedWorkers {
    /// By machine.
    workers: RefCell<BTreeMap<MachineName, RedirectedWorker>>,
    last_swept: Cell<Option<Instant>>,
}

impl RedirectedWorkers {
    /// Records a worker's heartbeat, and says how it gets to the leader.
    pub fn route_heartbeat(&self, machine: &str) -> HeartbeatRoute {
        let at = now();
        self.sweep(at);
        let mut workers = self.workers.borrow_mut();
        let known = workers.get_mut(machine).filter(|worker| !worker.is_expired(at));
        let Some(worker) = known else {
            if workers.len() < MAX_REDIRECTED || workers.contains_key(machine) {
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

    /// Forgets those that were not here for a while, now and then.
    fn sweep(&self, at: Instant) {
        let due = |last_swept: Instant| at.saturating_duration_since(last_swept) >= RETURN_WINDOW;
        if self.last_swept.get().is_none_or(due) {
            self.last_swept.set(Some(at));
            self.workers.borrow_mut().retain(|_, worker| !worker.is_expired(at));
        }
    }
}

#[cfg(test)]
mod tests;
