//! Counting a server's connections, and what the counts allow.

use super::{Limits, Request};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A server's connections, within its limits.
#[derive(Default)]
pub struct Connections {
    limits: Limits,
    open: Cell<usize>,
    /// Connections that were ever open.
    accepted: Cell<u64>,
    /// Of these, connections of clients that ask for other paths than [`Limits::kept_for`].
    others: Cell<usize>,
}

impl Connections {
    /// No connections yet.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Whether so many are open that each is closed after its answer. An answer should then not
    /// be held back for longer than it must.
    pub fn is_short_of_connections(&self) -> bool {
        self.open.get() > self.limits.kept
    }

    /// Whether one more may be open.
    pub(super) fn has_free_slot(&self) -> bool {
        self.open.get() < self.limits.connections
    }

    /// Whether most connections that are not kept for a path are taken.
    fn are_crowded(&self) -> bool {
        self.others.get() > self.limits.others / 4 * 3
    }
}

/// A connection's place among those that are open; free again when it is dropped.
pub(super) struct ConnectionSlot {
    connections: Rc<Connections>,
    /// Its number among those that were ever open.
    number: u64,
    /// It counts among those that are not kept for a path.
    is_other: bool,
}

impl ConnectionSlot {
    /// Counts one more open connection.
    pub fn take(connections: Rc<Connections>) -> Self {
        connections.open.set(connections.open.get() + 1);
        let number = connections.accepted.get() + 1;
        connections.accepted.set(number);
        Self { connections, number, is_other: false }
    }

    /// The connection's number among those that were ever open.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The limits of the server.
    pub fn limits(&self) -> &Limits {
        &self.connections.limits
    }

    /// Whether the connection is to be closed after its answer, for want of connections.
    pub fn must_close(&self) -> bool {
        self.connections.is_short_of_connections()
    }

    /// Whether the request may be served on this connection. The first for a path that no
    /// connections are kept for counts the connection among the others, for as long as it is open.
    pub fn admits(&mut self, request: &Request) -> bool {
        let Connections { limits, others, .. } = &*self.connections;
        if self.is_other || request.path() == limits.kept_for {
            return true;
        }
        self.is_other = others.get() < limits.others;
        others.set(others.get() + usize::from(self.is_other));
        self.is_other
    }

    /// How long the connection may wait for its next request.
    pub fn idle_timeout(&self) -> Duration {
        if self.is_other && self.connections.are_crowded() {
            self.limits().crowded_idle_timeout
        } else {
            self.limits().idle_timeout
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let Connections { open, others, .. } = &*self.connections;
        open.set(open.get() - 1);
        others.set(others.get() - usize::from(self.is_other));
    }
}
