//! Requests to the store: which ones they are, and how many.

use corkfield_fakes::{FakeStore, Fault};
use corkfield_http::Request;
use corkfield_wire::store::{Transaction, PATH_TXN};
use std::cell::Cell;
use std::rc::Rc;

pub fn is_transaction(request: &Request) -> bool {
    request.path() == PATH_TXN
}

/// Whether a request is a transaction whose text holds another one.
pub fn is_transaction_with(request: &Request, text: &str) -> bool {
    is_transaction(request) && String::from_utf8_lossy(&request.body).contains(text)
}

/// Whether a request claims jobs for a controller.
pub fn is_job_claim(request: &Request) -> bool {
    is_transaction_with(request, "\"owner\":\"n")
}

/// Whether a request cancels a job.
pub fn is_job_cancellation(request: &Request) -> bool {
    is_transaction_with(request, "aborted")
}

/// The changes that a request asks for; none if it is no transaction.
pub fn changes_in(request: &Request) -> usize {
    if !is_transaction(request) {
        return 0;
    }
    let transaction: Transaction = serde_json::from_slice(&request.body).unwrap_or_default();
    transaction.changes.len()
}

/// Counts the requests that reach the store, and the changes in them.
pub struct StoreLoad {
    requests: Rc<Cell<u32>>,
    changes: Rc<Cell<u32>>,
}

impl StoreLoad {
    /// Counts from now on; takes the place of faults that were chosen before.
    pub fn start_counting(store: &FakeStore) -> Self {
        let load = Self { requests: Rc::default(), changes: Rc::default() };
        let (requests, changes) = (load.requests.clone(), load.changes.clone());
        store.set_faults(move |request| {
            requests.set(requests.get() + 1);
            let more = u32::try_from(changes_in(request)).expect("a transaction is small");
            changes.set(changes.get() + more);
            Fault::None
        });
        load
    }

    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    pub fn changes(&self) -> u32 {
        self.changes.get()
    }

    /// Requests since the last call.
    pub fn take_requests(&self) -> u32 {
        self.requests.take()
    }

    /// Changes since the last call.
    pub fn take_changes(&self) -> u32 {
        self.changes.take()
    }
}
