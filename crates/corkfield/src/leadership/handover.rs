//! The end of leadership: loss of the lease, replacement, and handover to a controller that workers
//! can reach.

use super::active_leader::ActiveLeader;
use super::context::LeadershipContext;
use super::state::LeadershipEnd;
use crate::store_value::store_value;
use corkfield_state::RequestClass;
use corkfield_wire::records::{transfer_request_key, LeaderRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use corkfield_wire::{ControllerName, Incarnation, Revision};
use std::time::Duration;

/// Interval at which the leader checks whether it has lost leadership or should hand it over.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A leader hands over only after this many heartbeat intervals plus [`HANDOVER_GRACE`] without a
/// heartbeat.
const HANDOVER_HEARTBEAT_INTERVALS: f64 = 1.5;
/// Fixed part of the time without a heartbeat after which a leader hands over; see
/// [`HANDOVER_HEARTBEAT_INTERVALS`].
const HANDOVER_GRACE: Duration = Duration::from_secs(1);
/// Time for which a transfer request is valid.
const MAX_TRANSFER_REQUEST_AGE: Duration = Duration::from_secs(3);
/// Minimum time between two transfer requests of a controller.
const TRANSFER_REQUEST_PAUSE: Duration = Duration::from_millis(700);

impl ActiveLeader {
    /// Waits until the lease is lost or another controller has claimed the leader record.
    pub(super) async fn wait_until_leadership_lost(&self) -> LeadershipEnd {
        let context = &self.context;
        loop {
            let replica_changed = context.replica.changed.notified();
            let lease_changed = context.session_lease.changed.notified();
            if context.has_lost_lease(&self.claim) {
                return LeadershipEnd::LeaseLost;
            }
            if context.leadership.is_replaced(&context.replica.contents.borrow()) {
                return LeadershipEnd::Replaced;
            }
            tokio::select! {
                () = replica_changed => {}
                () = lease_changed => {}
                () = context.env.timers.wait_for_tick(LEADERSHIP_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Waits until leadership is handed over. Runs concurrently with
    /// [`Self::wait_until_leadership_lost`], which must detect a new leader at once, however long
    /// the transaction of a handover takes.
    pub(super) async fn wait_until_handed_over(&self) {
        while !self.try_hand_over().await {
            self.context.env.timers.wait_for_tick(LEADERSHIP_CHECK_INTERVAL).await;
        }
    }

    /// Hands leadership over if this controller receives no heartbeats and another controller that
    /// receives some has requested a transfer. Returns whether leadership was handed over.
    async fn try_hand_over(&self) -> bool {
        if !self.is_without_heartbeats() {
            return false;
        }
        let Some(successor) = self.requested_successor() else {
            return false;
        };
        let record = LeaderRecord {
            node: None,
            incarnation: Incarnation::default(),
            term: self.scheduler.borrow().term(),
            successor: Some(successor.clone()),
        };
        let transaction = self.leader_transaction().put(LEADER_KEY, store_value(&record));
        tracing::info!(%successor, "no heartbeats; handing over leadership");
        self.context.env.state.commit(RequestClass::Lease, &transaction).await.is_ok()
    }

    /// Returns whether no heartbeat was accepted for so long that workers may be unable to reach
    /// this controller.
    fn is_without_heartbeats(&self) -> bool {
        let workers = &self.context.env.settings.platform.service.workers;
        let max_silence =
            workers.heartbeat_interval().mul_f64(HANDOVER_HEARTBEAT_INTERVALS) + HANDOVER_GRACE;
        self.context.leadership.time_since_heartbeat().is_some_and(|elapsed| elapsed >= max_silence)
    }

    /// Returns another controller that has a valid transfer request.
    fn requested_successor(&self) -> Option<ControllerName> {
        let contents = self.context.replica.contents.borrow();
        let mut recent = contents.recent_transfer_requesters(MAX_TRANSFER_REQUEST_AGE);
        recent.find(|name| **name != self.context.env.name).cloned()
    }
}

/// While this controller is a standby, requests a transfer of leadership whenever workers have sent
/// their heartbeats to it although another controller leads; in an endless loop.
pub(super) async fn request_transfers(context: &LeadershipContext) {
    loop {
        if !context.leadership.is_leading() {
            request_transfer(context).await;
        }
        context.env.timers.wait_for_tick(LEADERSHIP_CHECK_INTERVAL).await;
    }
}

/// Requests a transfer of leadership through the state service if workers have sent their
/// heartbeats to this controller since the last request. Gives up once the request is too old for
/// the leader to act on it.
async fn request_transfer(context: &LeadershipContext) {
    let Some(request) = context.leadership.take_transfer_request() else { return };
    let leader_version = context
        .replica
        .contents
        .borrow()
        .leader
        .as_ref()
        .map_or(Revision::NONE, |leader| leader.version);
    // The condition keeps a delayed request from ending the leadership of a later leader.
    let transaction = Transaction::default()
        .when(LEADER_KEY, leader_version)
        .put(transfer_request_key(context.env.name.as_str()), store_value(&request));
    // Workers may lose their leases if leadership does not move to a controller that they reach, so
    // the request goes before those of users.
    let commit = context.env.state.commit(RequestClass::Claim, &transaction);
    match tokio::time::timeout(MAX_TRANSFER_REQUEST_AGE, commit).await {
        Ok(Ok(_)) => tracing::debug!("transfer of leadership requested"),
        Ok(Err(error)) => tracing::debug!(%error, "transfer of leadership not requested"),
        Err(_) => tracing::debug!("transfer of leadership not requested in time"),
    }
    tokio::time::sleep(TRANSFER_REQUEST_PAUSE).await;
}
