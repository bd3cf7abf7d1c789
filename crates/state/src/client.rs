//! Client of the state service's HTTP interface.

use crate::error::StateError;
use crate::rate_limiter::{RateLimiter, RequestClass};
use corkfield_http::{Client, ClientResponse, ConnectionSizing, Network, UnexpectedResponse};
use corkfield_wire::store::{
    FailedConditions, Item, LeaseAnswer, LeaseRequest, Page, RevisionAnswer, Transaction,
    WatchAnswer, PATH_KEYS, PATH_LEASES, PATH_RENEW, PATH_TXN, PATH_WATCH,
};
use corkfield_wire::Revision;
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Sizing of the connections: enough for the full request rate if each response takes 0.3 seconds.
const CONNECTION_SIZING: ConnectionSizing =
    ConnectionSizing { request_duration_s: 0.3, min_connections: 96, max_connections: 1024 };
/// Maximum number of keys in one page of a list.
const MAX_PAGE_KEYS: u32 = 1000;
/// Time within which a response must be received.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// This controller's share of the limits until [`StateClient::set_budget`] is called.
const INITIAL_BUDGET: RateBudget =
    RateBudget { request_share: 0.2, write_share: 0.2, write_burst_s: 2.5 };

/// This controller's share of the state service's rate limits.
#[derive(Debug, Clone, Copy)]
pub struct RateBudget {
    /// Share of the requests per second, from 0 to 1.
    pub request_share: f64,
    /// Share of the writes per second, from 0 to 1.
    pub write_share: f64,
    /// Maximum burst of writes: as many as this share allows in this number of seconds.
    pub write_burst_s: f64,
}

/// Sends requests to the state service within this controller's share of the rate limits.
pub struct StateClient {
    http: Client,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    /// The service's limit for all controllers together, in requests per second.
    rps: f64,
    /// The service's limit for all controllers together, in writes per second.
    write_rps: f64,
}

impl StateClient {
    /// Creates a client of the state service at `addr`. `rps` and `write_rps` are the service's
    /// limits for all controllers together; a response with a body above `max_response` bytes is
    /// an error.
    pub fn new(
        network: Rc<dyn Network>,
        addr: SocketAddr,
        rps: f64,
        write_rps: f64,
        max_response: usize,
    ) -> Self {
        let client = Self {
            http: Client::new(
                network,
                addr,
                CONNECTION_SIZING.connections_for_rate(rps),
                max_response,
            ),
            request_limiter: RateLimiter::new(rps, rps),
            write_limiter: RateLimiter::new(write_rps, write_rps / 2.0),
            rps,
            write_rps,
        };
        client.set_budget(INITIAL_BUDGET);
        client
    }

    /// Sets this controller's share of the rate limits.
    pub fn set_budget(&self, budget: RateBudget) {
        let request_rate = self.rps * budget.request_share;
        let write_rate = self.write_rps * budget.write_share;
        self.request_limiter.set_rate(request_rate, request_rate);
        self.write_limiter.set_rate(write_rate, write_rate * budget.write_burst_s);
    }

    /// Reads one key; returns `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused, or has no response or an unexpected one.
    pub async fn get(&self, class: RequestClass, key: &str) -> Result<Option<Item>, StateError> {
        let target = format!("{PATH_KEYS}/{key}");
        let response = self.send_get(class, &target, RESPONSE_TIMEOUT).await?;
        match response.status {
            404 => Ok(None),
            _ => Ok(Some(response.decode_success()?)),
        }
    }

    /// Lists all keys with a prefix, page by page. Returns them with the revision at which the
    /// first page was read. Later pages may already contain changes after that revision; read these
    /// changes with [`Self::watch`].
    ///
    /// # Errors
    ///
    /// Returns an error if the request for any page is refused, or has no response or an unexpected
    /// one.
    pub async fn list(
        &self,
        class: RequestClass,
        prefix: &str,
    ) -> Result<(Vec<Item>, Revision), StateError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_page_revision = None;
        loop {
            let after = items.last().map(|item| format!("&after={}", item.key)).unwrap_or_default();
            let target = format!("{PATH_KEYS}?prefix={prefix}{after}&limit={MAX_PAGE_KEYS}");
            let page: Page =
                self.send_get(class, &target, RESPONSE_TIMEOUT).await?.decode_success()?;
            let revision = *first_page_revision.get_or_insert(page.revision);
            let is_page_empty = page.items.is_empty();
            items.extend(page.items);
            if !page.has_more || is_page_empty {
                return Ok((items, revision));
            }
        }
    }

    /// Commits a conditional transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// After [`StateError::Conflict`], [`StateError::NoSuchLease`] and [`StateError::Refused`] the
    /// transaction was not executed. After [`StateError::NoResponse`] the transaction may have been
    /// executed, or may still be executed later (S10).
    pub async fn commit(
        &self,
        class: RequestClass,
        transaction: &Transaction,
    ) -> Result<Revision, StateError> {
        let write_count = transaction.changes.len() as f64;
        if write_count > 0.0 {
            self.write_limiter.acquire(class, write_count).await;
        }
        let body = encode_json(transaction)?;
        let response = self.send_post(class, PATH_TXN, &body, RESPONSE_TIMEOUT).await?;
        match response.status {
            409 => Err(StateError::Conflict(response.decode_json::<FailedConditions>()?.failed)),
            400 if response.body_contains("no such lease") => Err(StateError::NoSuchLease),
            _ => Ok(response.decode_success::<RevisionAnswer>()?.revision),
        }
    }

    /// Requests a new lease with this time to live and returns the lease's number.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused, or has no response or an unexpected one.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StateError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode_json(&LeaseRequest { ttl_ms })?;
        let response =
            self.send_post(RequestClass::Lease, PATH_LEASES, &body, RESPONSE_TIMEOUT).await?;
        Ok(response.decode_success::<LeaseAnswer>()?.lease)
    }

    /// Renews the lease with this number. Waits for the response for at most `time_limit`.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::NoSuchLease`] if the lease has expired, and an error if the request is
    /// refused, or has no response or an unexpected one.
    pub async fn renew_lease(&self, lease: u64, time_limit: Duration) -> Result<(), StateError> {
        let target = format!("{PATH_LEASES}/{lease}/{PATH_RENEW}");
        let response = self.send_post(RequestClass::Lease, &target, b"", time_limit).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(StateError::NoSuchLease),
            status => Err(UnexpectedResponse::Status(status).into()),
        }
    }

    /// Returns the changes of keys with this prefix after a revision. Waits up to `wait` for the
    /// first change.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::RevisionTooOld`] if the caller must list the keys again, and an error
    /// if the request is refused, or has no response or an unexpected one.
    pub async fn watch(
        &self,
        class: RequestClass,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchAnswer, StateError> {
        let wait_ms = wait.as_millis();
        let target = format!("{PATH_WATCH}?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let response = match self.send_get(class, &target, wait + RESPONSE_TIMEOUT).await {
            Err(error) if error.is_response_too_large() => return Err(StateError::RevisionTooOld),
            result => result?,
        };
        match response.status {
            410 => Err(StateError::RevisionTooOld),
            _ => Ok(response.decode_success()?),
        }
    }

    async fn send_get(
        &self,
        class: RequestClass,
        target: &str,
        time_limit: Duration,
    ) -> Result<ClientResponse, StateError> {
        self.request(class, "GET", target, b"", time_limit).await
    }

    async fn send_post(
        &self,
        class: RequestClass,
        target: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<ClientResponse, StateError> {
        self.request(class, "POST", target, body, time_limit).await
    }

    /// Waits until the rate budget allows the request, then sends it.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::Refused`] if the service did not execute the request, and
    /// [`StateError::NoResponse`] if no response was received.
    async fn request(
        &self,
        class: RequestClass,
        method: &str,
        target: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<ClientResponse, StateError> {
        self.request_limiter.acquire(class, 1.0).await;
        let response = self.http.request(method, target, body, time_limit).await?;
        if response.is_refusal() {
            return Err(StateError::Refused(response.status));
        }
        Ok(response)
    }
}

fn encode_json(body: &impl Serialize) -> Result<Vec<u8>, StateError> {
    serde_json::to_vec(body).map_err(StateError::UnencodableRequest)
}

#[cfg(test)]
mod tests;
