//! Requests to the state service.

use crate::budget::{RateLimiter, RequestClass};
use corkfield_http::{Client, ClientError, Network, ReadError, Reply};
use corkfield_wire::store::{
    Events, Failed, Grant, GrantRequest, Item, Page, Revision, Transaction, PATH_KEYS, PATH_LEASES,
    PATH_RENEW, PATH_TXN, PATH_WATCH,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections, for all requests of the limits while answers take a good part of a second.
const CONNECTION_S: f64 = 0.3;
const LEAST_CONNECTIONS: usize = 96;
const MOST_CONNECTIONS: usize = 1024;
const PAGE: u32 = 1000;

/// Why a request to the state service did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// These keys have other versions than the transaction requires.
    #[error("conditions failed: {0:?}")]
    Conflict(Vec<String>),
    /// The lease has ended.
    #[error("no such lease")]
    NoSuchLease,
    /// The changes after that revision are no longer kept, or are too many for one answer: the
    /// keys have to be read anew.
    #[error("revision is too old to watch from")]
    TooOld,
    /// The request was surely not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The request may have been executed, or may be executed later on.
    #[error("no answer: {0}")]
    NoAnswer(#[from] ClientError),
    /// The answer can't be read.
    #[error("nonsense from the state service: {0}")]
    MalformedAnswer(String),
}

/// The parts of the service's limits that this controller may use.
#[derive(Debug, Clone, Copy)]
pub struct RateBudget {
    /// Part of the requests a second.
    pub requests: f64,
    /// Part of the changes a second.
    pub writes: f64,
    /// Seconds' worth of changes that may come at once.
    pub burst_s: f64,
}

/// Speaks to the state service, within a share of its limits.
pub struct StateClient {
    http: Client,
    requests: RateLimiter,
    writes: RateLimiter,
    rps: f64,
    write_rps: f64,
    timeout: Duration,
}

impl StateClient {
    /// `rps` and `write_rps` are the service's limits for all controllers together; no answer
    /// above `max_answer` bytes is read.
    pub fn new(
        network: Rc<dyn Network>,
        addr: SocketAddr,
        rps: f64,
        write_rps: f64,
        max_answer: usize,
    ) -> Self {
        let connections = (rps * CONNECTION_S) as usize;
        let connections = connections.clamp(LEAST_CONNECTIONS, MOST_CONNECTIONS);
        let client = Self {
            http: Client::new(network, addr, connections, max_answer),
            requests: RateLimiter::new(rps, rps),
            writes: RateLimiter::new(write_rps, write_rps / 2.0),
            rps,
            write_rps,
            timeout: Duration::from_millis(1500),
        };
        client.set_budget(RateBudget { requests: 0.2, writes: 0.2, burst_s: 2.5 });
        client
    }

    /// Sets this controller's share of the limits.
    pub fn set_budget(&self, share: RateBudget) {
        let (requests, writes) = (self.rps * share.requests, self.write_rps * share.writes);
        self.requests.set_rate(requests, requests);
        self.writes.set_rate(writes, writes * share.burst_s);
    }

    async fn send(
        &self,
        class: RequestClass,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, StateError> {
        self.requests.take(class, 1.0).await;
        let reply = self.http.request(method, target, body, limit).await?;
        match reply.status {
            429 | 500..=599 => Err(StateError::Refused(reply.status)),
            _ => Ok(reply),
        }
    }

    /// Reads one key; `None` if it doesn't exist.
    pub async fn get(&self, class: RequestClass, key: &str) -> Result<Option<Item>, StateError> {
        let target = format!("{PATH_KEYS}/{key}");
        let reply = self.send(class, "GET", &target, b"", self.timeout).await?;
        match reply.status {
            404 => Ok(None),
            _ => read(&reply).map(Some),
        }
    }

    /// All keys with a prefix, and the revision that the first page was read at. Changes after
    /// that revision may or may not be contained: follow them with [`Self::changes`].
    pub async fn list(
        &self,
        class: RequestClass,
        prefix: &str,
    ) -> Result<(Vec<Item>, u64), StateError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let after = items.last().map(|i| format!("&after={}", i.key)).unwrap_or_default();
            let target = format!("{PATH_KEYS}?prefix={prefix}{after}&limit={PAGE}");
            let reply = self.send(class, "GET", &target, b"", self.timeout).await?;
            let page: Page = read(&reply)?;
            let first = *revision.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, first));
            }
        }
    }

    /// Carries out a conditional transaction, and gives its revision.
    pub async fn transaction(
        &self,
        class: RequestClass,
        transaction: &Transaction,
    ) -> Result<u64, StateError> {
        let writes = transaction.changes.len() as f64;
        if writes > 0.0 {
            self.writes.take(class, writes).await;
        }
        let body = serde_json::to_vec(transaction)
            .map_err(|e| StateError::MalformedAnswer(e.to_string()))?;
        let reply = self.send(class, "POST", PATH_TXN, &body, self.timeout).await?;
        match reply.status {
            409 => Err(StateError::Conflict(read_any::<Failed>(&reply)?.failed)),
            400 if contains(&reply.body, b"no such lease") => Err(StateError::NoSuchLease),
            _ => read::<Revision>(&reply).map(|r| r.revision),
        }
    }

    /// Takes a lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StateError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = serde_json::to_vec(&GrantRequest { ttl_ms }).unwrap_or_default();
        let reply =
            self.send(RequestClass::Lease, "POST", PATH_LEASES, &body, self.timeout).await?;
        read::<Grant>(&reply).map(|g| g.lease)
    }

    /// Renews a lease; waits for the answer for at most `limit`.
    pub async fn renew(&self, lease: u64, limit: Duration) -> Result<(), StateError> {
        let target = format!("{PATH_LEASES}/{lease}/{PATH_RENEW}");
        let reply = self.send(RequestClass::Lease, "POST", &target, b"", limit).await?;
        match reply.status {
            200 => Ok(()),
            404 => Err(StateError::NoSuchLease),
            status => Err(StateError::MalformedAnswer(format!("status {status}"))),
        }
    }

    /// Changes after a revision; waits up to `wait` for the first.
    pub async fn changes(
        &self,
        class: RequestClass,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Events, StateError> {
        let wait_ms = wait.as_millis();
        let target = format!("{PATH_WATCH}?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let limit = wait + self.timeout;
        let reply = match self.send(class, "GET", &target, b"", limit).await {
            Err(error) if too_large(&error) => return Err(StateError::TooOld),
            reply => reply?,
        };
        match reply.status {
            410 => Err(StateError::TooOld),
            _ => read(&reply),
        }
    }
}

/// An answer that is too large to be taken: the keys have to be read page by page.
fn too_large(error: &StateError) -> bool {
    matches!(error, StateError::NoAnswer(ClientError::Read(ReadError::BodyTooLarge)))
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|w| w == part)
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, StateError> {
    if reply.status != 200 {
        return Err(StateError::MalformedAnswer(format!("status {}", reply.status)));
    }
    read_any(reply)
}

fn read_any<T: DeserializeOwned>(reply: &Reply) -> Result<T, StateError> {
    serde_json::from_slice(&reply.body).map_err(|e| StateError::MalformedAnswer(e.to_string()))
}

#[cfg(test)]
mod tests;
