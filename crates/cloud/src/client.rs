//! Requests to the cloud.

use crate::error::CloudError;
use corkfield_http::{Client, ConnectionSizing, Network, Reply};
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

/// Largest answer that is read, in bytes. A page of the list names at most 500 machines, in some
/// 100 KiB, however many there are.
const MAX_ANSWER: usize = 1024 * 1024;
/// Connections, for all requests of the limit while answers take a good part of a second.
const CONNECTIONS: ConnectionSizing = ConnectionSizing { request_s: 0.5, least: 8, most: 64 };
/// An answer that takes longer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// The part of the cloud's rate that one leader uses. Two leaders may overlap for a moment at a
/// failover, hence not the whole rate, nor the whole of the two seconds' worth that may come at
/// once.
const RATE_SHARE: f64 = 0.75;
/// Seconds' worth of the cloud's rate that may come at once.
const BURST_S: f64 = 1.5;

/// Speaks to the cloud, within its limit.
pub struct CloudClient {
    http: Client,
    limiter: RateLimiter,
}

impl CloudClient {
    /// A client for the cloud at `addr`, which takes so many requests a second.
    pub fn new(network: Rc<dyn Network>, addr: SocketAddr, rps: f64) -> Self {
        Self {
            http: Client::new(network, addr, CONNECTIONS.for_rate(rps), MAX_ANSWER),
            limiter: RateLimiter::new(rps * RATE_SHARE, rps * BURST_S),
        }
    }

    /// Reads the machine types and their present prices.
    ///
    /// # Errors
    ///
    /// If the request is refused, has no answer or a malformed one.
    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let answer: MachineTypes = self.get(RequestClass::Claim, PATH_TYPES).await?;
        Ok(answer.types)
    }

    /// The whole list, page by page.
    ///
    /// # Errors
    ///
    /// If the request for any page is refused, has no answer or a malformed one.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let after = machines.last().map(|m| format!("after={}&", m.name)).unwrap_or_default();
            let target = format!("{PATH_MACHINES}?{after}limit={MAX_MACHINES_PER_PAGE}");
            let page: MachineList = self.get(RequestClass::Reading, &target).await?;
            let is_empty = page.machines.is_empty();
            machines.extend(page.machines);
            if !page.has_more || is_empty {
                return Ok(machines);
            }
        }
    }

    /// Rents machines, and gives their names.
    ///
    /// # Errors
    ///
    /// [`CloudError::NoCapacity`] if there are none; after [`CloudError::NoAnswer`] machines may
    /// have been rented, or may be later on. Otherwise if the request is refused or has a
    /// malformed answer.
    pub async fn rent(&self, request: &RentRequest) -> Result<Vec<MachineName>, CloudError> {
        let rented: MachineNames = self.post(RequestClass::Lease, PATH_MACHINES, request).await?;
        Ok(rented.machines)
    }

    /// Returns machines; once this is answered they are gone (S5).
    ///
    /// # Errors
    ///
    /// If the request is refused, has no answer or a malformed one. Unless it was refused they
    /// may be gone, or may go later on.
    pub async fn delete(&self, machines: Vec<MachineName>) -> Result<(), CloudError> {
        let names = MachineNames { machines };
        let _: IgnoredAny = self.post(RequestClass::Completion, PATH_DELETE, &names).await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(
        &self,
        class: RequestClass,
        target: &str,
    ) -> Result<T, CloudError> {
        self.limiter.take(class, 1.0).await;
        read(&self.http.request("GET", target, b"", ANSWER_TIMEOUT).await?)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        class: RequestClass,
        target: &str,
        body: &impl Serialize,
    ) -> Result<T, CloudError> {
        self.limiter.take(class, 1.0).await;
        let body = serde_json::to_vec(body).map_err(CloudError::MalformedRequest)?;
        read(&self.http.request("POST", target, &body, ANSWER_TIMEOUT).await?)
    }
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, CloudError> {
    if reply.status == 503 && reply.body_contains("no capacity") {
        return Err(CloudError::NoCapacity);
    }
    if reply.is_refusal() {
        return Err(CloudError::Refused(reply.status));
    }
    Ok(reply.success()?)
}
