//! A fake state service: its HTTP interface, outages, and faults injected into single requests.

mod data;

use crate::{empty_response, json_response, now, numeric_parameter, query_parameter, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::store::{
    LeaseAnswer, LeaseRequest, Page, RevisionAnswer, Transaction, WatchAnswer, PATH_KEYS,
    PATH_LEASES, PATH_RENEW, PATH_TXN, PATH_WATCH,
};
use corkfield_wire::Revision;
use data::{StoreData, TransactionError};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The time that the store takes to answer a request, in seconds.
const ANSWER_DELAY_S: f64 = 0.002;
/// The interval at which expired leases are ended, in seconds.
const LEASE_CHECK_INTERVAL_S: f64 = 0.05;
/// The page size of a list of keys for requests without a limit.
const DEFAULT_PAGE_SIZE: usize = 1000;
/// The minimum time that a watch waits before it checks for events again.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(20);

/// The fault that is injected into a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The request is executed and answered immediately.
    None,
    /// The request is executed after this many seconds, then answered.
    Delay(f64),
    /// The request is executed immediately and answered after this many seconds.
    DelayAnswer(f64),
    /// The request is executed, but its answer is lost.
    LoseAnswer,
    /// The request is executed after this many seconds, but its answer is lost.
    DelayAndLoseAnswer(f64),
    /// The request is executed and answered immediately, and a copy of it is executed after this
    /// many seconds.
    Repeat(f64),
    /// The request is neither executed nor answered.
    Drop,
}

type FaultChooser = Box<dyn Fn(&Request) -> Fault>;

/// A fake state service.
#[derive(Default)]
pub struct FakeStore {
    data: RefCell<StoreData>,
    data_changed: Notify,
    is_down: Cell<bool>,
    fault_chooser: RefCell<Option<FaultChooser>>,
}

impl FakeStore {
    /// Starts to serve the store's HTTP interface at an address. While `is_refusing` is set,
    /// requests to this address are answered with 503.
    pub fn start(
        self: &Rc<Self>,
        network: Rc<dyn Network>,
        addr: SocketAddr,
        is_refusing: Rc<Cell<bool>>,
    ) {
        let store = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(listener) = network.listen(addr).await else { return };
            let handler = move |request| store.clone().handle(request, is_refusing.clone());
            serve(listener, Limits::default(), Rc::new(handler)).await;
        });
    }

    /// Starts the periodic task that ends expired leases.
    pub fn start_lease_expiry(self: &Rc<Self>) {
        let store = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(LEASE_CHECK_INTERVAL_S).await;
                if !store.is_down.get() {
                    store.end_expired_leases();
                }
            }
        });
    }

    /// Begins or ends an outage. When the outage ends, all leases are renewed.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
        if !is_down {
            self.data.borrow_mut().renew_all_leases();
            self.data_changed.notify_waiters();
        }
    }

    /// Sets the function that chooses the fault for each request from now on.
    pub fn set_faults(&self, chooser: impl Fn(&Request) -> Fault + 'static) {
        *self.fault_chooser.borrow_mut() = Some(Box::new(chooser));
    }

    /// Injects a fault into the requests that match the predicate, and into no others.
    pub fn set_fault_where(&self, fault: Fault, is_match: impl Fn(&Request) -> bool + 'static) {
        self.set_faults(move |request| if is_match(request) { fault } else { Fault::None });
    }

    /// Stops injecting faults: all requests from now on are executed and answered immediately.
    pub fn clear_faults(&self) {
        *self.fault_chooser.borrow_mut() = None;
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.data.borrow().value(key)
    }

    /// Returns the version of a key; 0 if the key does not exist.
    pub fn version(&self, key: &str) -> Revision {
        self.data.borrow().version(key)
    }

    /// Returns all keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.data.borrow().keys_with_prefix(prefix)
    }

    /// Returns the size of the largest value that was written, in bytes.
    pub fn max_value_bytes(&self) -> usize {
        self.data.borrow().max_value_bytes
    }

    /// Returns the largest number of changes in one transaction.
    pub fn max_transaction_changes(&self) -> usize {
        self.data.borrow().max_transaction_changes
    }

    /// Writes a key as a client other than the controllers.
    pub fn write_externally(&self, key: &str, value: Value) {
        self.execute(Transaction::default().put(key, value));
    }

    fn end_expired_leases(&self) {
        let expired = self.data.borrow().expired_leases();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) {
        let keys = self.data.borrow_mut().remove_lease(lease);
        for key in keys {
            self.execute(Transaction::default().delete(key));
        }
    }

    async fn handle(self: Rc<Self>, request: Request, is_refusing: Rc<Cell<bool>>) -> Response {
        sleep(ANSWER_DELAY_S).await;
        if self.is_down.get() || is_refusing.get() {
            return empty_response(503);
        }
        match self.choose_fault(&request) {
            Fault::None => self.answer(&request, &is_refusing).await,
            Fault::Delay(seconds) => {
                sleep(seconds).await;
                self.answer(&request, &is_refusing).await
            }
            Fault::DelayAnswer(seconds) => {
                let answer = self.answer(&request, &is_refusing).await;
                sleep(seconds).await;
                answer
            }
            Fault::Repeat(seconds) => {
                let answer = self.answer(&request, &is_refusing).await;
                tokio::task::spawn_local(async move {
                    sleep(seconds).await;
                    if !self.is_down.get() {
                        self.answer(&request, &is_refusing).await;
                    }
                });
                answer
            }
            Fault::Drop => std::future::pending().await,
            Fault::LoseAnswer => {
                self.answer(&request, &is_refusing).await;
                std::future::pending().await
            }
            Fault::DelayAndLoseAnswer(seconds) => {
                // The request is executed even though its client has timed out.
                tokio::task::spawn_local(async move {
                    sleep(seconds).await;
                    self.answer(&request, &is_refusing).await;
                });
                std::future::pending().await
            }
        }
    }

    fn choose_fault(&self, request: &Request) -> Fault {
        self.fault_chooser.borrow().as_ref().map_or(Fault::None, |choose| choose(request))
    }

    async fn answer(&self, request: &Request, is_refusing: &Cell<bool>) -> Response {
        let path = request.path().to_owned();
        let method = request.method.as_str();
        match (method, path.as_str()) {
            ("POST", PATH_TXN) => match serde_json::from_slice::<Transaction>(&request.body) {
                Ok(transaction) => self.execute(transaction),
                Err(_) => empty_response(400),
            },
            ("POST", PATH_LEASES) => self.grant_lease(&request.body),
            ("GET", PATH_KEYS) => self.list(&request.target),
            ("GET", PATH_WATCH) => self.watch(&request.target, is_refusing).await,
            _ => self.answer_by_path(method, &path),
        }
    }

    fn grant_lease(&self, body: &[u8]) -> Response {
        let Ok(grant) = serde_json::from_slice::<LeaseRequest>(body) else {
            return empty_response(400);
        };
        let lease = self.data.borrow_mut().grant_lease(Duration::from_millis(grant.ttl_ms));
        json_response(200, &LeaseAnswer { lease })
    }

    /// Answers a request whose path contains a key or a lease.
    fn answer_by_path(&self, method: &str, path: &str) -> Response {
        if let Some(key) = path.strip_prefix(PATH_KEYS).and_then(|rest| rest.strip_prefix('/')) {
            return self.read_key(key);
        }
        match path.strip_prefix(PATH_LEASES).and_then(|rest| rest.strip_prefix('/')) {
            Some(rest) => self.answer_for_lease(method, rest),
            None => not_found(),
        }
    }

    fn read_key(&self, key: &str) -> Response {
        let data = self.data.borrow();
        match data.item(key) {
            Some(item) => json_response(200, &item),
            None => json_response(404, &RevisionAnswer { revision: data.revision }),
        }
    }

    /// Ends or renews the lease in the rest of a path.
    fn answer_for_lease(&self, method: &str, rest: &str) -> Response {
        let (lease, verb) = rest.split_once('/').unwrap_or((rest, ""));
        let Ok(lease) = lease.parse::<u64>() else { return not_found() };
        if method == "DELETE" {
            self.end_lease(lease);
            return empty_response(200);
        }
        if verb == PATH_RENEW && self.data.borrow_mut().renew_lease(lease) {
            empty_response(200)
        } else {
            not_found()
        }
    }

    fn list(&self, target: &str) -> Response {
        let prefix = query_parameter(target, "prefix").unwrap_or("");
        let after = query_parameter(target, "after").unwrap_or("");
        let limit = numeric_parameter(target, "limit").unwrap_or(DEFAULT_PAGE_SIZE);
        let data = self.data.borrow();
        let page = data.page(prefix, after, limit);
        let revision = data.revision;
        json_response(200, &Page { items: page.items, has_more: page.more, revision })
    }

    async fn watch(&self, target: &str, is_refusing: &Cell<bool>) -> Response {
        let prefix = query_parameter(target, "prefix").unwrap_or("").to_owned();
        let after = Revision::new(numeric_parameter(target, "after").unwrap_or(0));
        let wait_ms: u64 = numeric_parameter(target, "wait_ms").unwrap_or(0);
        let deadline = now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.data_changed.notified();
            let (revision, events) = {
                let data = self.data.borrow();
                (data.revision, data.events_after(after, &prefix))
            };
            // While its client is refused, a watch stays open and returns no events.
            let refused = self.is_down.get() || is_refusing.get();
            if !refused && (!events.is_empty() || now() >= deadline) {
                return json_response(200, &WatchAnswer { revision, events });
            }
            let remaining = deadline.saturating_duration_since(now()).max(MIN_WATCH_WAIT);
            let _ = tokio::time::timeout(remaining, changed).await;
        }
    }

    fn execute(&self, transaction: Transaction) -> Response {
        let executed = self.data.borrow_mut().execute(transaction);
        match executed {
            Ok(revision) => {
                self.data_changed.notify_waiters();
                json_response(200, &RevisionAnswer { revision })
            }
            Err(TransactionError::UnknownLease) => {
                Response::new(400, b"{\"error\":\"no such lease\"}".to_vec())
            }
            Err(TransactionError::ConditionsFailed(failed)) => json_response(409, &failed),
        }
    }
}

fn not_found() -> Response {
    Response::new(404, b"{\"generation\":1}".to_vec())
}
