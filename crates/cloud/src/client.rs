//! Client of the cloud's HTTP interface.

use crate::error::CloudError;
use corkfield_http::{Client, ClientResponse, ConnectionSizing, Network};
use corkfield_state::{RateLimiter, RequestClass};
use corkfield_wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, RentRequest,
    MAX_MACHINES_PER_PAGE, PATH_DELETE, PATH_MACHINES, PATH_TYPES,
};
use corkfield_wire::MachineName;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a response's body, in bytes. A page of the machine list has at most 500 machines
/// and about 100 KiB, whatever the number of rented machines.
const MAX_RESPONSE: usize = 1024 * 1024;
/// Sizing of the connections: enough for the full request rate if each response takes 0.5 seconds.
const CONNECTION_SIZING: ConnectionSizing =
    ConnectionSizing { request_duration_s: 0.5, min_connections: 8, max_connections: 64 };
/// Time within which a response must be received.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the cloud's rate limit that one leader uses. Two leaders may briefly overlap during a
/// failover, so one leader uses neither the full rate nor the full burst of two seconds that the
/// cloud allows.
const RATE_SHARE: f64 = 0.75;
/// Maximum burst of requests: as many as the cloud's rate limit allows in this number of seconds.
const BURST_S: f64 = 1.5;

/// Sends requests to the cloud within the share of the cloud's rate limit that one leader uses.
///
/// The classes of requests are those of the state service and only serve as priorities here:
/// rentals precede requests for machine types, deletions and requests for the machine list, in this
/// order.
pub struct CloudClient {
    http: Client,
    /// Limits the requests to [`RATE_SHARE`] of the cloud's rate limit.
    limiter: RateLimiter,
}

impl CloudClient {
    /// Creates a client of the cloud at `addr`, whose rate limit is `rps` requests per second.
    pub fn new(network: Rc<dyn Network>, addr: SocketAddr, rps: f64) -> Self {
        Self {
            http: Client::new(
                network,
                addr,
                CONNECTION_SIZING.connections_for_rate(rps),
                MAX_RESPONSE,
            ),
            limiter: RateLimiter::new(rps * RATE_SHARE, rps * BURST_S),
        }
    }

    /// Returns the machine types and their current prices.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused, or has no response or an unexpected one.
    pub async fn list_machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response: MachineTypes = self.send_get(RequestClass::Claim, PATH_TYPES).await?;
        Ok(response.types)
    }

    /// Returns all rented machines, reading the list page by page.
    ///
    /// # Errors
    ///
    /// Returns an error if the request for any page is refused, or has no response or an unexpected
    /// one.
    pub async fn list_machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let after = machines
                .last()
                .map(|machine| format!("after={}&", machine.name))
                .unwrap_or_default();
            let target = format!("{PATH_MACHINES}?{after}limit={MAX_MACHINES_PER_PAGE}");
            let page: MachineList = self.send_get(RequestClass::Query, &target).await?;
            let is_page_empty = page.machines.is_empty();
            machines.extend(page.machines);
            if !page.has_more || is_page_empty {
                return Ok(machines);
            }
        }
    }

    /// Rents machines and returns their names.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::NoCapacity`] if the cloud has no such machines, and an error if the
    /// request is refused, or has no response or an unexpected one. After
    /// [`CloudError::NoResponse`] machines may have been rented, or may still be rented later.
    pub async fn rent_machines(
        &self,
        request: &RentRequest,
    ) -> Result<Vec<MachineName>, CloudError> {
        let rented: MachineNames =
            self.send_post(RequestClass::Lease, PATH_MACHINES, request).await?;
        Ok(rented.machines)
    }

    /// Returns machines to the cloud. After success the machines no longer exist (S5).
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused, or has no response or an unexpected one. Unless
    /// the request was refused, the machines may have been deleted, or may still be deleted later.
    pub async fn delete_machines(&self, machines: Vec<MachineName>) -> Result<(), CloudError> {
        let names = MachineNames { machines };
        let _: IgnoredAny = self.send_post(RequestClass::Completion, PATH_DELETE, &names).await?;
        Ok(())
    }

    async fn send_get<T: DeserializeOwned>(
        &self,
        class: RequestClass,
        target: &str,
    ) -> Result<T, CloudError> {
        self.limiter.acquire(class, 1.0).await;
        decode_response(&self.http.request("GET", target, b"", RESPONSE_TIMEOUT).await?)
    }

    async fn send_post<T: DeserializeOwned>(
        &self,
        class: RequestClass,
        target: &str,
        body: &impl Serialize,
    ) -> Result<T, CloudError> {
        self.limiter.acquire(class, 1.0).await;
        let body = serde_json::to_vec(body).map_err(CloudError::UnencodableRequest)?;
        decode_response(&self.http.request("POST", target, &body, RESPONSE_TIMEOUT).await?)
    }
}

fn decode_response<T: DeserializeOwned>(response: &ClientResponse) -> Result<T, CloudError> {
    if response.status == 503 && response.body_contains("no capacity") {
        return Err(CloudError::NoCapacity);
    }
    if response.is_refusal() {
        return Err(CloudError::Refused(response.status));
    }
    Ok(response.decode_success()?)
}
