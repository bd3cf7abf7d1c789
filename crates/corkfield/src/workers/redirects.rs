//! Workers that were redirected to the leader, and those that can't reach it.

use crate::clock::now;
use corkfield_wire::MachineName;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A worker that is back this soon after it was redirected to the leader didn't reach it.
const BACK_SOON: Duration = Duration::from_secs(12);
/// After this a worker whose heartbeats are relayed tries the leader itself again.
const RELAY_PERIOD: Duration = Duration::from_secs(60);
/// Above the number of workers; only those that came in the last seconds are remembered.
const MAX_REDIRECTED: usize = 32_768;

/// How a worker's heartbeats get to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// The worker is to send them to the leader itself.
    Redirect,
    /// This controller relays them.
    Relay,
}

/// What is remembered of a worker that was here.
#[derive(Debug, Clone, Copy)]
struct Visitor {
    last_seen: Instant,
    state: VisitorState,
}

/// How the heartbeats of a worker that was here get to the leader.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | unknown, or not seen for [`BACK_SOON`] | heartbeat | redirected |
/// | redirected | heartbeat | relayed |
/// | relayed for up to [`RELAY_PERIOD`] | heartbeat | relayed |
/// | relayed for longer | heartbeat | redirected |
#[derive(Debug, Clone, Copy)]
enum VisitorState {
    Redirected,
    Relayed { since: Instant },
}

impl Visitor {
    fn redirected(seen: Instant) -> Self {
        Self { last_seen: seen, state: VisitorState::Redirected }
    }

    fn is_forgotten(&self, at: Instant) -> bool {
        at.saturating_duration_since(self.last_seen) >= BACK_SOON
    }

    /// The state after a heartbeat that came soon after the one before.
    fn returned(&self, at: Instant) -> VisitorState {
        match self.state {
            VisitorState::Redirected => VisitorState::Relayed { since: at },
            VisitorState::Relayed { since }
                if at.saturating_duration_since(since) > RELAY_PERIOD =>
            {
                VisitorState::Redirected
            }
            relayed @ VisitorState::Relayed { .. } => relayed,
        }
    }
}

/// Workers that came to this controller although another one leads.
#[derive(Default)]
pub struct RedirectedWorkers {
    /// By machine.
    visitors: RefCell<BTreeMap<MachineName, Visitor>>,
    swept: Cell<Option<Instant>>,
}

impl RedirectedWorkers {
    /// Records a worker's heartbeat, and says how it gets to the leader.
    pub fn record_visit(&self, machine: &str) -> Route {
        let at = now();
        self.sweep(at);
        let mut visitors = self.visitors.borrow_mut();
        let known = visitors.get_mut(machine).filter(|visitor| !visitor.is_forgotten(at));
        let Some(visitor) = known else {
            if visitors.len() < MAX_REDIRECTED || visitors.contains_key(machine) {
                visitors.insert(MachineName::from(machine), Visitor::redirected(at));
            }
            return Route::Redirect;
        };
        *visitor = Visitor { last_seen: at, state: visitor.returned(at) };
        match visitor.state {
            VisitorState::Redirected => Route::Redirect,
            VisitorState::Relayed { .. } => Route::Relay,
        }
    }

    /// Forgets those that were not here for a while, now and then.
    fn sweep(&self, at: Instant) {
        let due = |swept: Instant| at.saturating_duration_since(swept) >= BACK_SOON;
        if self.swept.get().is_none_or(due) {
            self.swept.set(Some(at));
            self.visitors.borrow_mut().retain(|_, visitor| !visitor.is_forgotten(at));
        }
    }
}

#[cfg(test)]
mod tests;
