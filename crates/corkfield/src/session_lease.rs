//! This controller's session lease in the state service, and the membership key written under the
//! lease.

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

/// The lease is renewed at this fraction of its time to live; the same fraction is the timeout of a
/// renewal.
const RENEWAL_FRACTION: f64 = 0.2;
/// A failed renewal is retried after this fraction of the time to live.
const RENEWAL_RETRY_FRACTION: f64 = 0.03;
/// The fraction of the time to live that this controller relies on; the rest covers clock drift.
const TRUSTED_FRACTION: f64 = 0.998;
/// Subtracted from the trusted time to live, as an allowance for delays of this process.
const TRUSTED_MARGIN: Duration = Duration::from_millis(300);
/// Range of the random pause after a failed attempt to acquire a lease, in milliseconds.
const ACQUIRE_RETRY_MS: std::ops::Range<u64> = 100..400;

/// The state of this controller's session lease, as visible to the other components.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | absent | lease granted and membership key written | held |
/// | held | lease renewed | held, with a later end of validity |
/// | held | the store no longer knows the lease | absent |
///
/// A lost lease is replaced by a new lease under a new incarnation.
#[derive(Default)]
pub struct SessionLease {
    state: RefCell<LeaseState>,
    /// Notified when a lease was acquired or lost.
    pub changed: Notify,
}

/// States of the table in [`SessionLease`].
#[derive(Default)]
enum LeaseState {
    #[default]
    Absent,
    Held(HeldLease),
}

/// A lease that this controller holds, and the end of its validity.
struct HeldLease {
    lease: CurrentLease,
    /// The lease can't expire before this time of the local monotonic clock.
    valid_until: Instant,
}

/// Identity of the lease that this controller holds, and of its membership key.
#[derive(Debug, Clone)]
pub struct CurrentLease {
    /// Identifies the period during which this lease is held; every lease has a new incarnation.
    pub incarnation: Incarnation,
    /// Id of the lease in the state service.
    pub lease_id: u64,
    /// Version of the membership key.
    pub membership_version: Revision,
}

impl SessionLease {
    /// Returns the lease that this controller holds, even if its validity has ended.
    pub fn current(&self) -> Option<CurrentLease> {
        match &*self.state.borrow() {
            LeaseState::Absent => None,
            LeaseState::Held(held) => Some(held.lease.clone()),
        }
    }

    /// Returns whether the lease can't have expired yet by the local clock. Tasks may be started
    /// only under such a lease (S4).
    pub fn is_valid(&self) -> bool {
        match &*self.state.borrow() {
            LeaseState::Absent => false,
            LeaseState::Held(held) => now() < held.valid_until,
        }
    }

    /// Changes the state and notifies the waiters of [`SessionLease::changed`].
    fn transition_to(&self, state: LeaseState) {
        *self.state.borrow_mut() = state;
        self.changed.notify_waiters();
    }

    /// Extends the validity of the lease after a renewal. A lost lease is not extended. Nothing
    /// waits for renewals, so there is no notification.
    fn extend_validity(&self, until: Instant) {
        if let LeaseState::Held(held) = &mut *self.state.borrow_mut() {
            held.valid_until = until;
        }
    }
}

/// Acquires a lease, renews it, and replaces it when it is lost.
pub struct LeaseKeeper {
    /// The client of the state service, this controller's name, and random numbers.
    pub env: Rc<Environment>,
    /// The state of the lease, which the other components read.
    pub session_lease: Rc<SessionLease>,
}

impl LeaseKeeper {
    /// Acquires a lease and renews it, forever. A lost lease is replaced under a new incarnation.
    pub async fn maintain(self: Rc<Self>) {
        let ttl = Duration::from_secs_f64(self.env.settings.operator.lease_s);
        loop {
            match self.acquire_lease(ttl).await {
                Ok(held) => self.publish_and_renew(held, ttl).await,
                Err(error) => {
                    tracing::debug!(%error, "failed to acquire a lease");
                    self.env.sleep_random(ACQUIRE_RETRY_MS).await;
                }
            }
        }
    }

    /// Publishes the acquired lease and renews it; returns when the lease is lost.
    async fn publish_and_renew(&self, held: HeldLease, ttl: Duration) {
        let lease = held.lease.lease_id;
        tracing::info!(incarnation = %held.lease.incarnation, lease, "lease taken");
        self.session_lease.transition_to(LeaseState::Held(held));
        self.renew_until_lost(lease, ttl).await;
        self.session_lease.transition_to(LeaseState::Absent);
        tracing::warn!(lease, "lease lost");
    }

    /// Acquires a lease and writes the membership key under it.
    async fn acquire_lease(&self, ttl: Duration) -> Result<HeldLease, StateError> {
        let key = controller_key(self.env.name.as_str());
        // A membership key of an earlier process of this controller is overwritten: that process
        // no longer runs.
        let found = self.env.state.get(RequestClass::Lease, &key).await?;
        let started = now();
        let lease_id = self.env.state.grant_lease(ttl).await?;
        let incarnation = format!("{}-{:08x}", self.env.name, self.env.random() as u32);
        let incarnation = Incarnation::from(incarnation);
        let membership = Membership { incarnation: incarnation.clone(), lease: lease_id };
        let membership_version = self.write_membership(&key, found, membership).await?;
        let lease = CurrentLease { incarnation, lease_id, membership_version };
        Ok(HeldLease { lease, valid_until: started + trusted_duration(ttl) })
    }

    /// Writes the membership key if its item is still `found`; returns the version of the key.
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
        let error = match self.env.state.commit(RequestClass::Lease, &transaction).await {
            Err(StateError::NoResponse(error)) => error,
            outcome => return outcome,
        };
        // The transaction may have been executed although its answer was lost.
        let read = self.env.state.get(RequestClass::Lease, key).await?;
        read.filter(|item| item.value["incarnation"] == membership.incarnation.as_str())
            .map(|item| item.version)
            .ok_or(StateError::NoResponse(error))
    }

    /// Renews the lease; returns when the state service no longer knows the lease.
    async fn renew_until_lost(&self, lease: u64, ttl: Duration) {
        let interval = ttl.mul_f64(RENEWAL_FRACTION);
        loop {
            let started = now();
            let pause = match self.env.state.renew_lease(lease, interval).await {
                Ok(()) => {
                    self.session_lease.extend_validity(started + trusted_duration(ttl));
                    interval
                }
                Err(StateError::NoSuchLease) => return,
                Err(error) => {
                    tracing::debug!(lease, %error, "lease renewal failed");
                    ttl.mul_f64(RENEWAL_RETRY_FRACTION)
                }
            };
            tokio::time::sleep(pause).await;
        }
    }
}

/// Returns how long after its start a lease is valid for certain, allowing for clock drift and for
/// delays of this process.
fn trusted_duration(ttl: Duration) -> Duration {
    ttl.mul_f64(TRUSTED_FRACTION).saturating_sub(TRUSTED_MARGIN)
}

#[cfg(test)]
mod tests;
