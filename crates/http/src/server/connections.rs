//! Counts of a server's connections, and the decisions that depend on them.

use super::{Limits, Request};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Counts a server's connections and applies its [`Limits`] to them.
#[derive(Default)]
pub struct Connections {
    limits: Limits,
    /// Number of connections that are open now.
    open: Cell<usize>,
    /// Number of connections opened so far, without those closed because of the connection limit.
    accepted: Cell<u64>,
    /// Number of open connections that have requested a path other than
    /// [`Limits::reserved_path`].
    unreserved: Cell<usize>,
}

impl Connections {
    /// Creates the counts of a server without connections.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns whether more than [`Limits::max_keep_alive`] connections are open, so that each is
    /// closed after its response. Handlers should not delay a response unnecessarily while this is
    /// the case.
    pub fn is_above_keep_alive_limit(&self) -> bool {
        self.open.get() > self.limits.max_keep_alive
    }

    /// Returns whether one more connection may be opened.
    pub(super) fn has_free_slot(&self) -> bool {
        self.open.get() < self.limits.max_connections
    }

    /// Returns whether more than three quarters of the unreserved connections are in use.
    fn is_unreserved_nearly_full(&self) -> bool {
        self.unreserved.get() > self.limits.max_unreserved / 4 * 3
    }
}

/// An open connection's entry in the counts; dropping it decrements them.
pub(super) struct ConnectionSlot {
    connections: Rc<Connections>,
    /// Ordinal number of the connection among all accepted ones, from 1.
    number: u64,
    /// Whether the connection is counted in [`Connections::unreserved`].
    is_unreserved: bool,
}

impl ConnectionSlot {
    /// Counts one more open connection.
    pub fn acquire(connections: Rc<Connections>) -> Self {
        connections.open.set(connections.open.get() + 1);
        let number = connections.accepted.get() + 1;
        connections.accepted.set(number);
        Self { connections, number, is_unreserved: false }
    }

    /// Returns the ordinal number of the connection among all accepted ones.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the limits of the server.
    pub fn limits(&self) -> &Limits {
        &self.connections.limits
    }

    /// Returns whether the connection must be closed after its response because too many are open.
    pub fn must_close(&self) -> bool {
        self.connections.is_above_keep_alive_limit()
    }

    /// Returns whether the request may be served on this connection. The first request for a path
    /// other than [`Limits::reserved_path`] counts the connection as unreserved until it closes;
    /// the request is rejected if [`Limits::max_unreserved`] is reached.
    pub fn try_admit(&mut self, request: &Request) -> bool {
        let Connections { limits, unreserved, .. } = &*self.connections;
        if self.is_unreserved || request.path() == limits.reserved_path {
            return true;
        }
        self.is_unreserved = unreserved.get() < limits.max_unreserved;
        unreserved.set(unreserved.get() + usize::from(self.is_unreserved));
        self.is_unreserved
    }

    /// Returns how long the connection may wait for its next request.
    pub fn idle_timeout(&self) -> Duration {
        if self.is_unreserved && self.connections.is_unreserved_nearly_full() {
            self.limits().short_idle_timeout
        } else {
            self.limits().idle_timeout
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let Connections { open, unreserved, .. } = &*self.connections;
        open.set(open.get() - 1);
        unreserved.set(unreserved.get() - usize::from(self.is_unreserved));
    }
}
