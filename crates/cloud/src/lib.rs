//! The cloud's client, within a request budget.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use corkfield_http::{Client, ClientError, Network, Reply};
use corkfield_state::{RateLimiter, RequestClass};
use corkfield_wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, RentRequest, MAX_LIST,
    PATH_DELETE, PATH_MACHINES, PATH_TYPES,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A page of the list names at most 500 machines, in some 100 KiB, however many there are.
const MAX_BODY: usize = 1024 * 1024;
/// Connections, for all requests of the limit while answers take a good part of a second.
const CONNECTION_S: f64 = 0.5;
const LEAST_CONNECTIONS: usize = 8;
const MOST_CONNECTIONS: usize = 64;
const TIMEOUT: Duration = Duration::from_secs(4);

/// Why a request to the cloud did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// No machine of that type, zone and kind is to be had.
    #[error("no capacity")]
    NoCapacity,
    /// The request was surely not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The request may have been executed, or may be executed later on.
    #[error("no answer: {0}")]
    NoAnswer(#[from] ClientError),
    /// The answer can't be read.
    #[error("nonsense from the cloud: {0}")]
    MalformedAnswer(String),
}

/// Speaks to the cloud, within its limit.
pub struct CloudClient {
    http: Client,
    budget: RateLimiter,
}

impl CloudClient {
    /// A client for the cloud at `addr`, which takes so many requests a second.
    pub fn new(network: Rc<dyn Network>, addr: SocketAddr, rps: f64) -> Self {
        // Two leaders may overlap for a moment at a failover, hence not the whole rate, nor
        // the whole of the two seconds' worth that may come at once.
        let budget = RateLimiter::new(rps * 0.75, rps * 1.5);
        let connections = (rps * CONNECTION_S) as usize;
        let connections = connections.clamp(LEAST_CONNECTIONS, MOST_CONNECTIONS);
        Self { http: Client::new(network, addr, connections, MAX_BODY), budget }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        class: RequestClass,
        method: &str,
        target: &str,
        body: &impl Serialize,
    ) -> Result<T, CloudError> {
        self.budget.take(class, 1.0).await;
        let body = match method {
            "GET" => Vec::new(),
            _ => {
                serde_json::to_vec(body).map_err(|e| CloudError::MalformedAnswer(e.to_string()))?
            }
        };
        let reply = self.http.request(method, target, &body, TIMEOUT).await?;
        read(&reply)
    }

    /// Reads the machine types and their present prices.
    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let read: MachineTypes = self.call(RequestClass::Claim, "GET", PATH_TYPES, &()).await?;
        Ok(read.types)
    }

    /// The whole list, page by page.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let after = machines.last().map(|m| format!("after={}&", m.name)).unwrap_or_default();
            let target = format!("{PATH_MACHINES}?{after}limit={MAX_LIST}");
            let page: MachineList = self.call(RequestClass::Reading, "GET", &target, &()).await?;
            let empty = page.machines.is_empty();
            machines.extend(page.machines);
            if !page.more || empty {
                return Ok(machines);
            }
        }
    }

    /// Rents machines, and gives their names.
    pub async fn rent(&self, request: &RentRequest) -> Result<Vec<String>, CloudError> {
        let names: MachineNames =
            self.call(RequestClass::Lease, "POST", PATH_MACHINES, request).await?;
        Ok(names.machines)
    }

    /// Returns machines; once this is answered they are gone.
    pub async fn delete(&self, machines: Vec<String>) -> Result<(), CloudError> {
        let body = MachineNames { machines };
        let _: serde::de::IgnoredAny =
            self.call(RequestClass::Completion, "POST", PATH_DELETE, &body).await?;
        Ok(())
    }
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, CloudError> {
    match reply.status {
        200 => serde_json::from_slice(&reply.body)
            .map_err(|e| CloudError::MalformedAnswer(e.to_string())),
        503 if reply.body.windows(11).any(|w| w == b"no capacity") => Err(CloudError::NoCapacity),
        429 | 500..=599 => Err(CloudError::Refused(reply.status)),
        status => Err(CloudError::MalformedAnswer(format!("status {status}"))),
    }
}
