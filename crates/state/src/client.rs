//! Requests to the state service.

use crate::error::StateError;
use crate::rate_limiter::{RateLimiter, RequestClass};
use corkfield_http::{Client, ConnectionSizing, MalformedReply, Network, Reply};
use corkfield_wire::store::{
    FailedConditions, Item, LeaseAnswer, LeaseRequest, Page, RevisionAnswer, Transaction,
    WatchAnswer, PATH_KEYS, PATH_LEASES, PATH_RENEW, PATH_TXN, PATH_WATCH,
};
use corkfield_wire::Revision;
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections, for all requests of the limits while answers take a good part of a second.
const CONNECTIONS: ConnectionSizing = ConnectionSizing { request_s: 0.3, least: 96, most: 1024 };
/// Keys that one page of a list holds at most.
const PAGE_KEYS: u32 = 1000;
/// An answer that takes longer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// This controller's part of the limits until it is told another.
const INITIAL_BUDGET: RateBudget = RateBudget { requests: 0.2, writes: 0.2, burst_s: 2.5 };

/// The parts of the service's limits that this controller may use.
#[derive(Debug, Clone, Copy)]
pub struct RateBudget {
    /// Part of the requests a second, 0 to 1.
    pub requests: f64,
    /// Part of the changes a second, 0 to 1.
    pub writes: f64,
    /// Seconds' worth of changes that may come at once.
    pub burst_s: f64,
}

/// Speaks to the state service, within a part of its limits.
pub struct StateClient {
    http: Client,
    requests: RateLimiter,
    writes: RateLimiter,
    /// The service's limits for all controllers together, a second.
    rps: f64,
    write_rps: f64,
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
        let client = Self {
            http: Client::new(network, addr, CONNECTIONS.for_rate(rps), max_answer),
            requests: RateLimiter::new(rps, rps),
            writes: RateLimiter::new(write_rps, write_rps / 2.0),
            rps,
            write_rps,
        };
        client.set_budget(INITIAL_BUDGET);
        client
    }

    /// Sets this controller's part of the limits.
    pub fn set_budget(&self, budget: RateBudget) {
        let requests = self.rps * budget.requests;
        let writes = self.write_rps * budget.writes;
        self.requests.set_rate(requests, requests);
        self.writes.set_rate(writes, writes * budget.burst_s);
    }

    /// Reads one key; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// If the request is refused, has no answer or a malformed one.
    pub async fn get(&self, class: RequestClass, key: &str) -> Result<Option<Item>, StateError> {
        let target = format!("{PATH_KEYS}/{key}");
        let reply = self.read(class, &target, ANSWER_TIMEOUT).await?;
        match reply.status {
            404 => Ok(None),
            _ => Ok(Some(reply.success()?)),
        }
    }

    /// All keys with a prefix, and the revision that the first page was read at. Changes after
    /// that revision may or may not be contained: follow them with [`Self::changes`].
    ///
    /// # Errors
    ///
    /// If the request for any page is refused, has no answer or a malformed one.
    pub async fn list(
        &self,
        class: RequestClass,
        prefix: &str,
    ) -> Result<(Vec<Item>, Revision), StateError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map(|item| format!("&after={}", item.key)).unwrap_or_default();
            let target = format!("{PATH_KEYS}?prefix={prefix}{after}&limit={PAGE_KEYS}");
            let page: Page = self.read(class, &target, ANSWER_TIMEOUT).await?.success()?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_empty = page.items.is_empty();
            items.extend(page.items);
            if !page.has_more || is_empty {
                return Ok((items, revision));
            }
        }
    }

    /// Carries out a conditional transaction, and gives its revision.
    ///
    /// # Errors
    ///
    /// [`StateError::Conflict`] and [`StateError::NoSuchLease`] say that it was not carried out;
    /// after [`StateError::NoAnswer`] it may have been, or may be later on (S10).
    pub async fn transaction(
        &self,
        class: RequestClass,
        transaction: &Transaction,
    ) -> Result<Revision, StateError> {
        let writes = transaction.changes.len() as f64;
        if writes > 0.0 {
            self.writes.take(class, writes).await;
        }
        let body = encode(transaction)?;
        let reply = self.send(class, PATH_TXN, &body, ANSWER_TIMEOUT).await?;
        match reply.status {
            409 => Err(StateError::Conflict(reply.json::<FailedConditions>()?.failed)),
            400 if reply.body_contains("no such lease") => Err(StateError::NoSuchLease),
            _ => Ok(reply.success::<RevisionAnswer>()?.revision),
        }
    }

    /// Takes a lease, and gives its number.
    ///
    /// # Errors
    ///
    /// If the request is refused, has no answer or a malformed one.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StateError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode(&LeaseRequest { ttl_ms })?;
        let reply = self.send(RequestClass::Lease, PATH_LEASES, &body, ANSWER_TIMEOUT).await?;
        Ok(reply.success::<LeaseAnswer>()?.lease)
    }

    /// Renews a lease; waits for the answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// [`StateError::NoSuchLease`] if it has ended; otherwise if the request is refused, has no
    /// answer or an unexpected one.
    pub async fn renew(&self, lease: u64, limit: Duration) -> Result<(), StateError> {
        let target = format!("{PATH_LEASES}/{lease}/{PATH_RENEW}");
        let reply = self.send(RequestClass::Lease, &target, b"", limit).await?;
        match reply.status {
            200 => Ok(()),
            404 => Err(StateError::NoSuchLease),
            status => Err(MalformedReply::Status(status).into()),
        }
    }

    /// Changes after a revision; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// [`StateError::TooOld`] if the keys have to be read anew; otherwise if the request is
    /// refused, has no answer or a malformed one.
    pub async fn changes(
        &self,
        class: RequestClass,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchAnswer, StateError> {
        let wait_ms = wait.as_millis();
        let target = format!("{PATH_WATCH}?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let reply = match self.read(class, &target, wait + ANSWER_TIMEOUT).await {
            Err(error) if error.is_too_large() => return Err(StateError::TooOld),
            reply => reply?,
        };
        match reply.status {
            410 => Err(StateError::TooOld),
            _ => Ok(reply.success()?),
        }
    }

    async fn read(
        &self,
        class: RequestClass,
        target: &str,
        limit: Duration,
    ) -> Result<Reply, StateError> {
        self.request(class, "GET", target, b"", limit).await
    }

    async fn send(
        &self,
        class: RequestClass,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, StateError> {
        self.request(class, "POST", target, body, limit).await
    }

    /// Waits for the budget, then makes the request.
    async fn request(
        &self,
        class: RequestClass,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, StateError> {
        self.requests.take(class, 1.0).await;
        let reply = self.http.request(method, target, body, limit).await?;
        if reply.is_refusal() {
            return Err(StateError::Refused(reply.status));
        }
        Ok(reply)
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, StateError> {
    serde_json::to_vec(body).map_err(StateError::MalformedRequest)
}

#[cfg(test)]
mod tests;
