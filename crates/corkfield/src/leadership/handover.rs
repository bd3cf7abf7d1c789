//! When a leader stops leading, and to whom it passes its place.

use super::active_leader::ActiveLeader;
use super::context::LeadershipContext;
use super::state::LeadershipEnd;
use crate::store_value::store_value;
use corkfield_state::RequestClass;
use corkfield_wire::records::{transfer_request_key, LeaderRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use corkfield_wire::{ControllerName, Incarnation, Revision};
use std::time::Duration;

/// How often the leader looks whether its place is another's, or should be.
const LEADERSHIP_CHECK: Duration = Duration::from_millis(500);
/// A leader hands over after so many heartbeat intervals, and this long, without a heartbeat.
const QUIET_HEARTBEAT_INTERVALS: f64 = 1.5;
const QUIET_GRACE: Duration = Duration::from_secs(1);
/// A transfer request counts for this long.
const TRANSFER_REQUEST_AGE: Duration = Duration::from_secs(3);
/// Between two transfer requests of a controller.
const TRANSFER_REQUEST_PAUSE: Duration = Duration::from_millis(700);

impl ActiveLeader {
    /// Waits until the lease is lost or another controller leads.
    pub(super) async fn until_leadership_lost(&self) -> LeadershipEnd {
        let context = &self.context;
        loop {
            let replica_changed = context.replica.changed.notified();
            let lease_changed = context.session_lease.changed.notified();
            if context.lost_lease_of(&self.claim) {
                return LeadershipEnd::LeaseLost;
            }
            if context.leadership.is_replaced(&context.replica.contents.borrow()) {
                return LeadershipEnd::Replaced;
            }
            tokio::select! {
                () = replica_changed => {}
                () = lease_changed => {}
                () = context.env.timers.tick(LEADERSHIP_CHECK) => {}
            }
        }
    }

    /// Beside [`Self::until_leadership_lost`], which must see at once that another leads, however
    /// long a hand-over's transaction takes.
    pub(super) async fn until_handed_over(&self) {
        while !self.hand_over().await {
            self.context.env.timers.tick(LEADERSHIP_CHECK).await;
        }
    }

    /// A leader that gets no heartbeats, while workers come to another controller, leaves
    /// its place to that one.
    async fn hand_over(&self) -> bool {
        if !self.is_quiet() {
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
        let transaction = self.when_leading().put(LEADER_KEY, store_value(&record));
        tracing::info!(%successor, "no heartbeats; handing over leadership");
        self.context.env.state.transaction(RequestClass::Lease, &transaction).await.is_ok()
    }

    /// Whether no heartbeat came for so long that workers may not reach this controller.
    fn is_quiet(&self) -> bool {
        let workers = &self.context.env.settings.platform.service.workers;
        let limit = workers.heartbeat_interval().mul_f64(QUIET_HEARTBEAT_INTERVALS) + QUIET_GRACE;
        self.context.leadership.time_since_heartbeat().is_some_and(|quiet| quiet >= limit)
    }

    /// Another controller that asked for the place just now.
    fn requested_successor(&self) -> Option<ControllerName> {
        let contents = self.context.replica.contents.borrow();
        let mut recent = contents.transfer_requested_within(TRANSFER_REQUEST_AGE);
        recent.find(|name| **name != self.context.env.name).cloned()
    }
}

/// Shows the leader, through the store, that workers come here instead.
pub(super) async fn request_transfer(context: &LeadershipContext) {
    let Some(request) = context.leadership.take_transfer_request() else { return };
    let leader_version = context
        .replica
        .contents
        .borrow()
        .leader
        .as_ref()
        .map_or(Revision::NONE, |leader| leader.version);
    // Carried out late, it must not drive out another leader than the one it is about.
    let transaction = Transaction::default()
        .when(LEADER_KEY, leader_version)
        .put(transfer_request_key(context.env.name.as_str()), store_value(&request));
    let _ = context.env.state.transaction(RequestClass::Housekeeping, &transaction).await;
    tokio::time::sleep(TRANSFER_REQUEST_PAUSE).await;
}
