//! Answers to workers' heartbeats that are held until there are orders for the worker.

use corkfield_wire::MachineName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Held answers by machine, each with what wakes its handler.
#[derive(Default)]
pub(super) struct HeldAnswers {
    due: RefCell<HashMap<MachineName, Rc<Notify>>>,
}

impl HeldAnswers {
    /// Holds an answer; it should go when this is notified. One held before for the same machine
    /// is left to its handler's time limit.
    pub(super) fn hold(&self, machine: &str) -> Rc<Notify> {
        let answer_due = Rc::new(Notify::new());
        self.due.borrow_mut().insert(MachineName::from(machine), answer_due.clone());
        answer_due
    }

    /// Forgets an answer that went, unless a later one of the machine took its place.
    pub(super) fn release(&self, machine: &str, answer_due: &Rc<Notify>) {
        let mut due = self.due.borrow_mut();
        if due.get(machine).is_some_and(|current| Rc::ptr_eq(current, answer_due)) {
            due.remove(machine);
        }
    }

    /// The machine's answer should go.
    pub(super) fn answer(&self, machine: &str) {
        if let Some(answer_due) = self.due.borrow_mut().remove(machine) {
            answer_due.notify_one();
        }
    }

    /// All held answers should go.
    pub(super) fn answer_all(&self) {
        for (_, answer_due) in self.due.borrow_mut().drain() {
            answer_due.notify_one();
        }
    }
}
