//! Answers to workers' heartbeats that are held until there are orders for the worker (long
//! polling).

use corkfield_wire::MachineName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Held answers by machine, each with the signal that releases it.
#[derive(Default)]
pub(super) struct HeldAnswers {
    release_signals: RefCell<HashMap<MachineName, Rc<Notify>>>,
}

impl HeldAnswers {
    /// Registers a held answer, and returns the signal that is notified when it should be sent. If
    /// an answer is already held for the machine, its signal is replaced and never notified; the
    /// handler that holds the answer sends it after its own timeout.
    pub(super) fn hold(&self, machine: &str) -> Rc<Notify> {
        let release_signal = Rc::new(Notify::new());
        self.release_signals
            .borrow_mut()
            .insert(MachineName::from(machine), release_signal.clone());
        release_signal
    }

    /// Removes an answer that was sent, unless a later answer to the machine has replaced it.
    pub(super) fn remove(&self, machine: &str, release_signal: &Rc<Notify>) {
        let mut signals = self.release_signals.borrow_mut();
        if signals.get(machine).is_some_and(|current| Rc::ptr_eq(current, release_signal)) {
            signals.remove(machine);
        }
    }

    /// Releases the answer held for the machine.
    pub(super) fn release(&self, machine: &str) {
        if let Some(release_signal) = self.release_signals.borrow_mut().remove(machine) {
            release_signal.notify_one();
        }
    }

    /// Releases all held answers.
    pub(super) fn release_all(&self) {
        for (_, release_signal) in self.release_signals.borrow_mut().drain() {
            release_signal.notify_one();
        }
    }
}
