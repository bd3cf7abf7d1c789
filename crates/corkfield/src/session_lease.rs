//! This controller's lease and its membership key.

use crate::clock::now;
use crate::environment::Environment;
use crate::store_value::store_value;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{controller_key, Membership};
use corkfield_wire::store::{Item, Transaction};
use corkfield_wire::{Incarnation, Revision};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A lease is renewed after this part of its time to live; a renewal may take as long.
const RENEWAL_FRACTION: f64 = 0.2;
/// A renewal that failed is repeated after this part of the time to live.
const RENEWAL_RETRY_FRACTION: f64 = 0.03;
/// The part of the time to live that counts: clocks may drift by the rest.
const TRUSTED_FRACTION: f64 = 0.998;
/// Allowance for delays of this process.
const TRUSTED_MARGIN: Duration = Duration::from_millis(300);
/// Pause after a lease could not be taken, in milliseconds; drawn at random.
const ACQUIRE_RETRY_MS: std::ops::Range<u64> = 100..400;

/// This controller's lease, as the other components see it.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | absent | lease granted and membership key written | held |
/// | held | renewed | held, valid for longer |
/// | held | the store no longer knows the lease | absent |
///
/// A lost lease is replaced by a new one under a new incarnation.
#[derive(Default)]
pub struct SessionLease {
    state: RefCell<LeaseState>,
    /// Notified when a lease was taken or lost.
    pub changed: Notify,
}

/// See the table of [`SessionLease`].
#[derive(Default)]
enum LeaseState {
    #[default]
    Absent,
    Held(HeldLease),
}

/// A lease that is held, and for how long.
struct HeldLease {
    lease: CurrentLease,
    /// By our own clock the lease surely goes on until then.
    valid_until: Instant,
}

/// A lease that is held.
#[derive(Debug, Clone)]
pub struct CurrentLease {
    /// Names the period for which this lease is held; a new lease has another one.
    pub incarnation: Incarnation,
    /// The state service's number of the lease.
    pub lease_id: u64,
    /// Version of the membership key.
    pub membership_version: Revision,
}

impl SessionLease {
    /// The lease that is held.
    pub fn current(&self) -> Option<CurrentLease> {
        match &*self.state.borrow() {
            LeaseState::Absent => None,
            LeaseState::Held(held) => Some(held.lease.clone()),
        }
    }

    /// Whether the lease surely hasn't ended, by our own clock (S4).
    pub fn is_valid(&self) -> bool {
        match &*self.state.borrow() {
            LeaseState::Absent => false,
            LeaseState::Held(held) => now() < held.valid_until,
        }
    }

    /// Changes the state; those that wait for it are notified.
    fn enter(&self, state: LeaseState) {
        *self.state.borrow_mut() = state;
        self.changed.notify_waiters();
    }

    /// The lease was renewed; nobody has to be notified of that.
    fn extend_validity(&self, until: Instant) {
        if let LeaseState::Held(held) = &mut *self.state.borrow_mut() {
            held.valid_until = until;
        }
    }
}

/// Takes a lease and renews it for ever.
pub struct LeaseKeeper {
    /// Surroundings: the client of the state service, the controller's name, random numbers.
    pub env: Rc<Environment>,
    /// Where the lease is shown to the other components.
    pub session_lease: Rc<SessionLease>,
}

impl LeaseKeeper {
    /// Takes a lease and renews it for ever; a lost one is replaced under a new incarnation.
    pub async fn maintain(self: Rc<Self>) {
        let ttl = Duration::from_secs_f64(self.env.settings.operator.lease_s);
        loop {
            match self.acquire_lease(ttl).await {
                Ok(held) => self.publish_and_renew(held, ttl).await,
                Err(error) => {
                    tracing::debug!(%error, "can't take a lease");
                    self.env.sleep_random(ACQUIRE_RETRY_MS).await;
                }
            }
        }
    }

    /// Shows the lease and renews it; returns when it is lost.
    async fn publish_and_renew(&self, held: HeldLease, ttl: Duration) {
        let lease = held.lease.lease_id;
        tracing::info!(incarnation = %held.lease.incarnation, lease, "lease taken");
        self.session_lease.enter(LeaseState::Held(held));
        self.renew_until_lost(lease, ttl).await;
        self.session_lease.enter(LeaseState::Absent);
        tracing::warn!(lease, "lease lost");
    }

    /// Takes a lease and writes the membership key under it.
    async fn acquire_lease(&self, ttl: Duration) -> Result<HeldLease, StateError> {
        let key = controller_key(self.env.name.as_str());
        // What a former process of this controller left is written over: whoever it was is gone.
        let found = self.env.state.get(RequestClass::Lease, &key).await?;
        let started = now();
        let lease_id = self.env.state.grant(ttl).await?;
        let incarnation = format!("{}-{:08x}", self.env.name, self.env.random() as u32);
        let incarnation = Incarnation::from(incarnation);
        let membership = Membership { incarnation: incarnation.clone(), lease: lease_id };
        let membership_version = self.write_membership(&key, found, membership).await?;
        let lease = CurrentLease { incarnation, lease_id, membership_version };
        Ok(HeldLease { lease, valid_until: started + trusted_duration(ttl) })
    }

    /// Writes the membership key over what was found there; returns its version.
    async fn write_membership(
        &self,
        key: &str,
        found: Option<Item>,
        membership: Membership,
    ) -> Result<Revision, StateError> {
        let value = store_value(&membership);
        let transaction = Transaction::default()
            .when(key.to_owned(), found.map_or(Revision::NONE, |item| item.version))
            .put_leased(key.to_owned(), value, membership.lease);
        let error = match self.env.state.transaction(RequestClass::Lease, &transaction).await {
            Err(StateError::NoAnswer(error)) => error,
            outcome => return outcome,
        };
        // It may have been carried out all the same.
        let read = self.env.state.get(RequestClass::Lease, key).await?;
        read.filter(|item| item.value["incarnation"] == membership.incarnation.as_str())
            .map(|item| item.version)
            .ok_or(StateError::NoAnswer(error))
    }

    /// Returns when the lease is lost.
    async fn renew_until_lost(&self, lease: u64, ttl: Duration) {
        let interval = ttl.mul_f64(RENEWAL_FRACTION);
        loop {
            let started = now();
            let pause = match self.env.state.renew(lease, interval).await {
                Ok(()) => {
                    self.session_lease.extend_validity(started + trusted_duration(ttl));
                    interval
                }
                Err(StateError::NoSuchLease) => return,
                Err(error) => {
                    tracing::debug!(lease, %error, "renewal failed");
                    ttl.mul_f64(RENEWAL_RETRY_FRACTION)
                }
            };
            tokio::time::sleep(pause).await;
        }
    }
}

/// The part of a lease's time that counts, allowing for drift and for delays of our own.
fn trusted_duration(ttl: Duration) -> Duration {
    ttl.mul_f64(TRUSTED_FRACTION).saturating_sub(TRUSTED_MARGIN)
}

#[cfg(test)]
mod tests;
