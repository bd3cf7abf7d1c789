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
/// See [`HANDOVER_HEARTBEAT_INTERVALS`].
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
                () = context.env.timers.tick(LEADERSHIP_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Waits until leadership is handed over. Runs concurrently with
    /// [`Self::wait_until_leadership_lost`], which must detect a new leader at once, however long
    /// the transaction of a handover takes.
    pub(super) async fn wait_until_handed_over(&self) {
        while !self.try_hand_over().await {
            self.context.env.timers.tick(LEADERSHIP_CHECK_INTERVAL).await;
        }
    }

    /// Hands leadership over if this controller receives no heartbeats and another controller,
    /// which does, has requested a transfer. Returns whether leadership was handed over.
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
        let workers = &self.context.env.settings.platform.params.workers;
        let limit =
            workers.heartbeat_interval().mul_f64(HANDOVER_HEARTBEAT_INTERVALS) + HANDOVER_GRACE;
        self.context.leadership.time_since_heartbeat().is_some_and(|elapsed| elapsed >= limit)
    }

    /// Returns another controller that has a valid transfer request.
    fn requested_successor(&self) -> Option<ControllerName> {
        let contents = self.context.replica.contents.borrow();
        let mut recent = contents.recent_transfer_requesters(MAX_TRANSFER_REQUEST_AGE);
        recent.find(|name| **name != self.context.env.name).cloned()
    }
}

/// Requests a transfer of leadership through the state service if workers have sent their
/// heartbeats to this controller although another controller leads.
pub(super) async fn request_transfer(context: &LeadershipContext) {
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
    let _ = context.env.state.commit(RequestClass::Housekeeping, &transaction).await;
    tokio::time::sleep(TRANSFER_REQUEST_PAUSE).await;
}
