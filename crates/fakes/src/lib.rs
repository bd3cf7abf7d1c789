//! Stand-ins for the network, the state service, the cloud and the workers, in memory and in
//! simulated time. They follow the published protocol; the ledger checks the rules.
#![forbid(unsafe_code)]

mod cloud;
mod history;
mod net;
mod process;
mod store;
mod worker;

pub use cloud::FakeCloud;
pub use history::{ExecutionHistory, Plan};
pub use net::{Host, Hosts, Loopback, MemoryNet};
pub use process::{Freezer, Process};
pub use store::{FakeStore, Fault};
pub use worker::{FakeWorker, WorkerSettings};

use corkfield_http::Response;
use serde::Serialize;
use std::time::{Duration, Instant};

pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

pub(crate) fn json(status: u16, body: &impl Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// A parameter of a request's query.
pub(crate) fn param<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

pub(crate) async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}
