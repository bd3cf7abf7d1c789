//! This controller's lease and its presence key.

use crate::clock::now;
use crate::node::Node;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{controller_key, Membership as Record};
use corkfield_wire::store::Transaction;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

#[derive(Default)]
pub struct SessionLease {
    current: RefCell<Option<Current>>,
    valid_until: Cell<Option<Instant>>,
    pub changed: Notify,
}

#[derive(Debug, Clone)]
pub struct Current {
    pub incarnation: String,
    pub lease: u64,
    /// Version of the presence key.
    pub version: u64,
}

impl SessionLease {
    pub fn current(&self) -> Option<Current> {
        self.current.borrow().clone()
    }

    /// Whether the lease surely hasn't ended, by our own clock (S4).
    pub fn is_valid(&self) -> bool {
        self.valid_until.get().is_some_and(|until| now() < until)
    }

    fn set(&self, current: Option<Current>) {
        *self.current.borrow_mut() = current;
        self.changed.notify_waiters();
    }
}

/// Takes a lease and renews it for ever; a lost one is replaced under a new incarnation.
pub async fn maintain_lease(node: Rc<Node>) {
    let ttl = Duration::from_secs_f64(node.env.settings.operator.lease_s);
    loop {
        match take_lease(&node, ttl).await {
            Ok(current) => {
                tracing::info!(incarnation = %current.incarnation, lease = current.lease, "lease taken");
                let lease = current.lease;
                node.session_lease.set(Some(current));
                renew(&node, lease, ttl).await;
                node.session_lease.valid_until.set(None);
                node.session_lease.set(None);
                tracing::warn!(lease, "lease lost");
            }
            Err(error) => {
                tracing::debug!(%error, "can't take a lease");
                node.env.pause(100..400).await;
            }
        }
    }
}

async fn take_lease(node: &Node, ttl: Duration) -> Result<Current, StateError> {
    let key = controller_key(&node.env.name);
    // What a former process of this controller left is written over: whoever it was is gone.
    let found = node.env.state.get(RequestClass::Lease, &key).await?;
    let started = now();
    let lease = node.env.state.grant(ttl).await?;
    let incarnation = format!("{}-{:08x}", node.env.name, node.env.random() as u32);
    let record = Record { incarnation: incarnation.clone(), lease };
    let value = serde_json::to_value(&record).unwrap_or_default();
    let version = found.map_or(0, |item| item.version);
    let transaction =
        Transaction::default().when(key.clone(), version).put_leased(key.clone(), value, lease);
    let version = match node.env.state.transaction(RequestClass::Lease, &transaction).await {
        Ok(version) => version,
        Err(StateError::NoAnswer(error)) => {
            // It may have been carried out all the same.
            let read = node.env.state.get(RequestClass::Lease, &key).await?;
            match read.filter(|item| item.value["incarnation"] == incarnation.as_str()) {
                Some(item) => item.version,
                None => return Err(StateError::NoAnswer(error)),
            }
        }
        Err(error) => return Err(error),
    };
    node.session_lease.valid_until.set(Some(started + trusted(ttl)));
    Ok(Current { incarnation, lease, version })
}

/// The part of a lease's time that counts, allowing for drift and for delays of our own.
fn trusted(ttl: Duration) -> Duration {
    ttl.mul_f64(0.998).saturating_sub(Duration::from_millis(300))
}

/// Returns when the lease is lost.
async fn renew(node: &Node, lease: u64, ttl: Duration) {
    loop {
        let started = now();
        let pause = match node.env.state.renew(lease, ttl.mul_f64(0.2)).await {
            Ok(()) => {
                node.session_lease.valid_until.set(Some(started + trusted(ttl)));
                ttl.mul_f64(0.2)
            }
            Err(StateError::NoSuchLease) => return,
            Err(error) => {
                tracing::debug!(%error, "renewal failed");
                ttl.mul_f64(0.03)
            }
        };
        tokio::time::sleep(pause).await;
    }
}
