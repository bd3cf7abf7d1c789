//! Classification and counting of requests to the state service.

use corkfield_fakes::{FakeStore, Fault};
use corkfield_http::Request;
use corkfield_wire::store::{Transaction, PATH_TXN};
use std::cell::Cell;
use std::rc::Rc;

pub fn is_transaction(request: &Request) -> bool {
    request.path() == PATH_TXN
}

/// Returns whether a request is a transaction whose body contains a text.
pub fn is_transaction_with(request: &Request, text: &str) -> bool {
    is_transaction(request) && String::from_utf8_lossy(&request.body).contains(text)
}

/// Returns whether a request claims jobs for a controller.
pub fn is_job_claim(request: &Request) -> bool {
    is_transaction_with(request, "\"owner\":\"n")
}

/// Returns whether a request cancels a job.
pub fn is_job_cancellation(request: &Request) -> bool {
    is_transaction_with(request, "aborted")
}

/// Returns the number of changes in a request; 0 if the request is not a transaction.
pub fn change_count(request: &Request) -> usize {
    if !is_transaction(request) {
        return 0;
    }
    let transaction: Transaction = serde_json::from_slice(&request.body).unwrap_or_default();
    transaction.changes.len()
}

/// Counts the requests that reach the store and the changes in these requests.
pub struct StoreLoad {
    requests: Rc<Cell<u32>>,
    changes: Rc<Cell<u32>>,
}

impl StoreLoad {
    /// Counts requests from now on. This replaces the fault chooser of the store, so that all
    /// requests are executed and answered immediately.
    pub fn start_counting(store: &FakeStore) -> Self {
        let load = Self { requests: Rc::default(), changes: Rc::default() };
        let (requests, changes) = (load.requests.clone(), load.changes.clone());
        store.set_faults(move |request| {
            requests.set(requests.get() + 1);
            let added = u32::try_from(change_count(request)).expect("a transaction is small");
            changes.set(changes.get() + added);
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

    /// Returns the number of requests since the last call.
    pub fn take_requests(&self) -> u32 {
        self.requests.take()
    }

    /// Returns the number of changes since the last call.
    pub fn take_changes(&self) -> u32 {
        self.changes.take()
    }
}
