//! The state service.

use crate::{json, now, param, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::store::{
    Change, Event, Events, Failed, Grant, GrantRequest, Item, Page, Revision, Transaction,
    PATH_KEYS, PATH_LEASES, PATH_RENEW, PATH_TXN, PATH_WATCH,
};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// Executed after this many seconds, and answered.
    Slow(f64),
    /// Executed at once, and answered after this many seconds.
    AnswerLate(f64),
    /// Executed, but the answer is lost.
    LoseAnswer,
    /// Executed after this many seconds; nobody hears of it.
    Late(f64),
    /// Never executed, and not answered.
    Drop,
}

type Chooser = Box<dyn Fn(&Request) -> Fault>;

#[derive(Default)]
struct Data {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    events: Vec<(u64, Event)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// The largest value and the most operations seen in one transaction.
    largest: usize,
    most_ops: usize,
}

#[derive(Default)]
pub struct FakeStore {
    data: RefCell<Data>,
    changed: Notify,
    down: Cell<bool>,
    chooser: RefCell<Option<Chooser>>,
}

impl FakeStore {
    /// Serves at an address; while `refused` is set, those who come to it get 503.
    pub fn start(
        self: &Rc<Self>,
        network: Rc<dyn Network>,
        addr: SocketAddr,
        refused: Rc<Cell<bool>>,
    ) {
        let store = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(listener) = network.listen(addr).await else { return };
            let handler = move |request| store.clone().handle(request, refused.clone());
            serve(listener, Limits::default(), Rc::new(handler)).await;
        });
    }

    /// Ends leases that were not renewed.
    pub fn keep_time(self: &Rc<Self>) {
        let store = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(0.05).await;
                if !store.down.get() {
                    store.expire();
                }
            }
        });
    }

    /// After an outage every lease has its full time again.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if !down {
            for (ttl, until) in self.data.borrow_mut().leases.values_mut() {
                *until = now() + *ttl;
            }
            self.changed.notify_waiters();
        }
    }

    pub fn set_faults(&self, chooser: impl Fn(&Request) -> Fault + 'static) {
        *self.chooser.borrow_mut() = Some(Box::new(chooser));
    }

    pub fn clear_faults(&self) {
        *self.chooser.borrow_mut() = None;
    }

    pub fn get(&self, key: &str) -> Option<Value> {
        self.data.borrow().keys.get(key).map(|(value, ..)| value.clone())
    }

    pub fn version(&self, key: &str) -> u64 {
        self.data.borrow().keys.get(key).map_or(0, |(_, version, _)| *version)
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let data = self.data.borrow();
        data.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn largest_value(&self) -> usize {
        self.data.borrow().largest
    }

    pub fn most_ops(&self) -> usize {
        self.data.borrow().most_ops
    }

    /// Writes as if somebody else did.
    pub fn put(&self, key: &str, value: Value) {
        let transaction = Transaction::default().put(key, value);
        self.execute(transaction);
    }

    fn expire(&self) {
        let at = now();
        let ended: Vec<u64> = {
            let data = self.data.borrow();
            data.leases.iter().filter(|(_, (_, until))| *until <= at).map(|(l, _)| *l).collect()
        };
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) {
        let keys: Vec<String> = {
            let mut data = self.data.borrow_mut();
            data.leases.remove(&lease);
            let attached = data.keys.iter().filter(|(_, (.., l))| *l == Some(lease));
            attached.map(|(key, _)| key.clone()).collect()
        };
        for key in keys {
            self.execute(Transaction::default().delete(key));
        }
    }

    async fn handle(self: Rc<Self>, request: Request, refused: Rc<Cell<bool>>) -> Response {
        sleep(0.002).await;
        if self.down.get() || refused.get() {
            return Response::new(503, b"{}".to_vec());
        }
        let fault = self.chooser.borrow().as_ref().map_or(Fault::None, |choose| choose(&request));
        match fault {
            Fault::None => self.answer(&request, &refused).await,
            Fault::Slow(seconds) => {
                sleep(seconds).await;
                self.answer(&request, &refused).await
            }
            Fault::AnswerLate(seconds) => {
                let answer = self.answer(&request, &refused).await;
                sleep(seconds).await;
                answer
            }
            Fault::Drop => std::future::pending().await,
            Fault::LoseAnswer => {
                self.answer(&request, &refused).await;
                std::future::pending().await
            }
            Fault::Late(seconds) => {
                // Executed even though whoever asked has long given up.
                tokio::task::spawn_local(async move {
                    sleep(seconds).await;
                    self.answer(&request, &refused).await;
                });
                std::future::pending().await
            }
        }
    }

    async fn answer(&self, request: &Request, refused: &Cell<bool>) -> Response {
        let path = request.path().to_owned();
        let method = request.method.as_str();
        match (method, path.as_str()) {
            ("POST", PATH_TXN) => match serde_json::from_slice::<Transaction>(&request.body) {
                Ok(transaction) => self.execute(transaction),
                Err(_) => Response::new(400, b"{}".to_vec()),
            },
            ("POST", PATH_LEASES) => {
                let Ok(grant) = serde_json::from_slice::<GrantRequest>(&request.body) else {
                    return Response::new(400, b"{}".to_vec());
                };
                let ttl = Duration::from_millis(grant.ttl_ms);
                let mut data = self.data.borrow_mut();
                data.last_lease += 1;
                let lease = data.last_lease;
                data.leases.insert(lease, (ttl, now() + ttl));
                json(200, &Grant { lease })
            }
            ("GET", PATH_KEYS) => self.list(&request.target),
            ("GET", PATH_WATCH) => self.watch(&request.target, refused).await,
            _ => self.by_path(method, &path),
        }
    }

    fn by_path(&self, method: &str, path: &str) -> Response {
        let absent = Response::new(404, b"{\"generation\":1}".to_vec());
        if let Some(key) = path.strip_prefix(PATH_KEYS).and_then(|p| p.strip_prefix('/')) {
            let data = self.data.borrow();
            return match data.keys.get(key) {
                Some((value, version, lease)) => {
                    let (key, value) = (key.to_owned(), value.clone());
                    json(200, &Item { key, value, version: *version, lease: *lease })
                }
                None => json(404, &Revision { revision: data.revision }),
            };
        }
        let Some(rest) = path.strip_prefix(PATH_LEASES).and_then(|p| p.strip_prefix('/')) else {
            return absent;
        };
        let (lease, verb) = rest.split_once('/').unwrap_or((rest, ""));
        let Ok(lease) = lease.parse::<u64>() else { return absent };
        if method == "DELETE" {
            self.end_lease(lease);
            return Response::new(200, b"{}".to_vec());
        }
        let mut data = self.data.borrow_mut();
        match data.leases.get_mut(&lease) {
            Some((ttl, until)) if verb == PATH_RENEW => {
                *until = now() + *ttl;
                Response::new(200, b"{}".to_vec())
            }
            _ => absent,
        }
    }

    fn list(&self, target: &str) -> Response {
        let prefix = param(target, "prefix").unwrap_or("");
        let after = param(target, "after").unwrap_or("");
        let limit: usize = param(target, "limit").and_then(|l| l.parse().ok()).unwrap_or(1000);
        let data = self.data.borrow();
        let found = data.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let mut items: Vec<Item> = found
            .map(|(key, (value, version, lease))| {
                let (key, value) = (key.clone(), value.clone());
                Item { key, value, version: *version, lease: *lease }
            })
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        json(200, &Page { items, more, revision: data.revision })
    }

    async fn watch(&self, target: &str, refused: &Cell<bool>) -> Response {
        let prefix = param(target, "prefix").unwrap_or("").to_owned();
        let after: u64 = param(target, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait: u64 = param(target, "wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            let (revision, events) = {
                let data = self.data.borrow();
                let new = data.events.iter().filter(|(revision, event)| {
                    let (Event::Put { key, .. } | Event::Delete { key, .. }) = event;
                    *revision > after && key.starts_with(&prefix)
                });
                (data.revision, new.map(|(_, event)| event.clone()).collect::<Vec<_>>())
            };
            // A watch stays open, and waits, while its owner is refused.
            let quiet = self.down.get() || refused.get();
            if !quiet && (!events.is_empty() || now() >= until) {
                return json(200, &Events { revision, events });
            }
            let left = until.saturating_duration_since(now()).max(Duration::from_millis(20));
            let _ = tokio::time::timeout(left, changed).await;
        }
    }

    fn execute(&self, transaction: Transaction) -> Response {
        let mut data = self.data.borrow_mut();
        data.most_ops = data.most_ops.max(transaction.changes.len());
        let version = |data: &Data, key: &str| data.keys.get(key).map_or(0, |k| k.1);
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|c| version(&data, &c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let expired = transaction.changes.iter().any(|change| match change {
            Change::Put { lease: Some(lease), .. } => !data.leases.contains_key(lease),
            _ => false,
        });
        if expired {
            return Response::new(400, b"{\"error\":\"no such lease\"}".to_vec());
        }
        if !failed.is_empty() {
            return json(409, &Failed { failed, revision: data.revision });
        }
        data.revision += u64::from(!transaction.changes.is_empty());
        let revision = data.revision;
        for change in transaction.changes {
            match change {
                Change::Put { key, value, lease } => {
                    data.largest = data.largest.max(value.to_string().len());
                    let event =
                        Event::Put { key: key.clone(), value: value.clone(), version: revision };
                    data.events.push((revision, event));
                    data.keys.insert(key, (value, revision, lease));
                }
                Change::Delete { key } => {
                    if data.keys.remove(&key).is_some() {
                        data.events.push((revision, Event::Delete { key, version: revision }));
                    }
                }
            }
        }
        drop(data);
        self.changed.notify_waiters();
        json(200, &Revision { revision })
    }
}
