//! A stand-in for the state service: its HTTP interface, outages, and faults of single requests.

mod data;

use crate::{empty_response, json_response, now, numeric_parameter, query_parameter, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::store::{
    Events, Grant, GrantRequest, Page, RevisionAnswer, Transaction, PATH_KEYS, PATH_LEASES,
    PATH_RENEW, PATH_TXN, PATH_WATCH,
};
use corkfield_wire::Revision;
use data::{StoreData, TransactionError};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long the store takes for an answer, in seconds.
const ANSWER_DELAY_S: f64 = 0.002;
/// How often leases are looked at, in seconds.
const LEASE_CHECK_S: f64 = 0.05;
/// How many keys one page of a list holds, if the request does not say.
const DEFAULT_PAGE: usize = 1000;
/// How long a watch waits before it looks again, at the least.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(20);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Executed and answered at once.
    None,
    /// Executed after this many seconds, and answered.
    Delay(f64),
    /// Executed at once, and answered after this many seconds.
    DelayAnswer(f64),
    /// Executed, but the answer is lost.
    LoseAnswer,
    /// Executed after this many seconds, but the answer is lost.
    DelayAndLoseAnswer(f64),
    /// Never executed, and not answered.
    Drop,
}

type FaultChooser = Box<dyn Fn(&Request) -> Fault>;

/// The state service.
#[derive(Default)]
pub struct FakeStore {
    data: RefCell<StoreData>,
    changed: Notify,
    is_down: Cell<bool>,
    fault_chooser: RefCell<Option<FaultChooser>>,
}

impl FakeStore {
    /// Serves at an address; while `is_refusing` is set, those who come to it get 503.
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

    /// Starts to end leases that are not renewed.
    pub fn start_lease_expiry(self: &Rc<Self>) {
        let store = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(LEASE_CHECK_S).await;
                if !store.is_down.get() {
                    store.end_expired_leases();
                }
            }
        });
    }

    /// Begins or ends an outage. After it every lease has its full time again.
    pub fn set_down(&self, down: bool) {
        self.is_down.set(down);
        if !down {
            self.data.borrow_mut().renew_all_leases();
            self.changed.notify_waiters();
        }
    }

    /// Chooses a fault for each request from now on.
    pub fn set_faults(&self, chooser: impl Fn(&Request) -> Fault + 'static) {
        *self.fault_chooser.borrow_mut() = Some(Box::new(chooser));
    }

    /// Lets a fault meet the requests that the predicate names, and no others.
    pub fn set_fault_where(&self, fault: Fault, is_met: impl Fn(&Request) -> bool + 'static) {
        self.set_faults(move |request| if is_met(request) { fault } else { Fault::None });
    }

    /// Executes and answers all requests from now on.
    pub fn clear_faults(&self) {
        *self.fault_chooser.borrow_mut() = None;
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.data.borrow().value(key)
    }

    /// The version of a key; 0 if there is none.
    pub fn version(&self, key: &str) -> Revision {
        self.data.borrow().version(key)
    }

    /// All keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.data.borrow().keys_with_prefix(prefix)
    }

    /// The largest value that was written, in bytes.
    pub fn max_value_bytes(&self) -> usize {
        self.data.borrow().max_value_bytes
    }

    /// The most changes that one transaction held.
    pub fn max_transaction_changes(&self) -> usize {
        self.data.borrow().max_transaction_changes
    }

    /// Writes as if somebody else did.
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
            Fault::Drop => std::future::pending().await,
            Fault::LoseAnswer => {
                self.answer(&request, &is_refusing).await;
                std::future::pending().await
            }
            Fault::DelayAndLoseAnswer(seconds) => {
                // Executed even though the client has long given up.
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
        let Ok(grant) = serde_json::from_slice::<GrantRequest>(body) else {
            return empty_response(400);
        };
        let lease = self.data.borrow_mut().grant_lease(Duration::from_millis(grant.ttl_ms));
        json_response(200, &Grant { lease })
    }

    /// Requests whose path names a key or a lease.
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

    /// Ends or renews the lease that the rest of a path names.
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
        let limit = numeric_parameter(target, "limit").unwrap_or(DEFAULT_PAGE);
        let data = self.data.borrow();
        let page = data.page(prefix, after, limit);
        let revision = data.revision;
        json_response(200, &Page { items: page.items, more: page.more, revision })
    }

    async fn watch(&self, target: &str, is_refusing: &Cell<bool>) -> Response {
        let prefix = query_parameter(target, "prefix").unwrap_or("").to_owned();
        let after = Revision::new(numeric_parameter(target, "after").unwrap_or(0));
        let wait_ms: u64 = numeric_parameter(target, "wait_ms").unwrap_or(0);
        let until = now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let (revision, events) = {
                let data = self.data.borrow();
                (data.revision, data.events_after(after, &prefix))
            };
            // A watch stays open, and waits, while its client is refused.
            let refused = self.is_down.get() || is_refusing.get();
            if !refused && (!events.is_empty() || now() >= until) {
                return json_response(200, &Events { revision, events });
            }
            let left = until.saturating_duration_since(now()).max(MIN_WATCH_WAIT);
            let _ = tokio::time::timeout(left, changed).await;
        }
    }

    fn execute(&self, transaction: Transaction) -> Response {
        let executed = self.data.borrow_mut().execute(transaction);
        match executed {
            Ok(revision) => {
                self.changed.notify_waiters();
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
