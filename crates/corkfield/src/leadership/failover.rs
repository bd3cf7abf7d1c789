//! Election and hand-over: who holds the leader record, and when it passes on.

use super::{ActiveLeader, LeadershipEnd};
use crate::clock::now;
use crate::node::Node;
use crate::session_lease::Current;
use corkfield_state::RequestClass;
use corkfield_wire::records::{
    controller_key, transfer_request_key, LeaderRecord, TransferRequest, LEADER_KEY,
};
use corkfield_wire::store::Transaction;
use std::time::Duration;

/// How often the leader looks whether its place is another's, or should be.
const LEADERSHIP_CHECK: Duration = Duration::from_millis(500);
/// Other controllers leave the named successor this long to take over.
const SUCCESSOR_HEAD_START: Duration = Duration::from_secs(2);

impl ActiveLeader<'_> {
    pub(super) async fn until_leadership_lost(&self) -> LeadershipEnd {
        loop {
            let changed = self.node.replica.changed.notified();
            let lease = self.node.session_lease.changed.notified();
            let kept = self.node.session_lease.current();
            if kept.is_none_or(|current| current.incarnation != self.me.incarnation) {
                return LeadershipEnd::LeaseLost;
            }
            if self.node.leadership.is_replaced(&self.node.replica.contents.borrow()) {
                return LeadershipEnd::Replaced;
            }
            tokio::select! {
                () = changed => {}
                () = lease => {}
                () = self.node.env.timers.tick(LEADERSHIP_CHECK) => {}
            }
        }
    }

    /// Beside [`Self::until_leadership_lost`], which must see at once that another plans, however long a
    /// hand-over's transaction takes.
    pub(super) async fn until_handed_over(&self) {
        while !self.hand_over().await {
            self.node.env.timers.tick(LEADERSHIP_CHECK).await;
        }
    }

    /// A leader that hears no workers, while they come to another controller, leaves
    /// its place to that one.
    async fn hand_over(&self) -> bool {
        let quiet = self
            .node
            .leadership
            .last_heartbeat
            .get()
            .map_or(Duration::ZERO, |at| now().saturating_duration_since(at));
        let workers = &self.node.env.settings.platform.params.workers;
        if quiet < workers.heartbeat_interval().mul_f64(1.5) + Duration::from_secs(1)
            || !self.node.leadership.is_ready()
        {
            return false;
        }
        let successor = {
            let contents = self.node.replica.contents.borrow();
            let mut recent = contents.transfer_requested_within(Duration::from_secs(3));
            recent.find(|name| **name != self.node.env.name).cloned()
        };
        let Some(successor) = successor else {
            return false;
        };
        let record = LeaderRecord {
            node: None,
            incarnation: String::new(),
            term: self.scheduler.borrow().term(),
            successor: Some(successor.clone()),
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let transaction =
            Transaction::default().when(LEADER_KEY, self.version.get()).put(LEADER_KEY, value);
        tracing::info!(%successor, "no worker reports here; handing over");
        self.node.env.state.transaction(RequestClass::Lease, &transaction).await.is_ok()
    }
}

/// Tells the leader, through the store, that workers come here instead.
pub(super) async fn request_transfer(node: &Node) {
    if node.leadership.transfer_wanted.take() {
        let count = node.leadership.transfer_requests.get();
        let value = serde_json::to_value(TransferRequest { count }).unwrap_or_default();
        let scheduler = node.replica.contents.borrow().scheduler.as_ref().map_or(0, |p| p.1);
        // Carried out late, it must not drive out another leader than the one it is about.
        let transaction = Transaction::default()
            .when(LEADER_KEY, scheduler)
            .put(transfer_request_key(&node.env.name), value);
        let _ = node.env.state.transaction(RequestClass::Housekeeping, &transaction).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

/// Claims the leader record if its holder is gone.
pub(super) async fn failover(node: &Node) -> Option<(Current, u64, u64)> {
    let me = node.session_lease.current().filter(|_| node.session_lease.is_valid())?;
    let (old, version, holder) = {
        let contents = node.replica.contents.borrow();
        if !node.replica.is_synced()
            || contents.types.is_none() && node.replica.proof_age() > Duration::from_secs(4)
        {
            return None;
        }
        match &contents.scheduler {
            None => (None, 0, None),
            Some((record, version)) => {
                let holder = record.node.as_ref().map(|name| {
                    let session_lease = contents.controllers.get(name);
                    let key = controller_key(name);
                    match session_lease {
                        Some((p, _)) if p.incarnation == record.incarnation => (key, None),
                        Some((_, version)) => (key, Some(*version)),
                        None => (key, Some(0)),
                    }
                });
                (Some(record.clone()), *version, holder)
            }
        }
    };
    let mut transaction = Transaction::default()
        .when(LEADER_KEY, version)
        .when(controller_key(&node.env.name), me.version);
    match holder {
        // Its holder is there, unless that is this controller, which does not plan: the answer
        // to its claim was lost, or planning broke off. It claims anew, under a new term.
        Some((key, None)) if key != controller_key(&node.env.name) => return None,
        Some((key, Some(version))) if key != controller_key(&node.env.name) => {
            transaction = transaction.when(key, version);
        }
        _ => {}
    }
    let successor = old.as_ref().and_then(|record| record.successor.clone());
    if successor.is_some_and(|name| name != node.env.name) {
        tokio::time::sleep(SUCCESSOR_HEAD_START).await;
    } else {
        // Not all at once.
        node.env.pause(0..60).await;
    }
    let term = old.map_or(0, |record| record.term).max(node.leadership.highest_seen_term.get()) + 1;
    let record = LeaderRecord {
        node: Some(node.env.name.clone()),
        incarnation: me.incarnation.clone(),
        term,
        successor: None,
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match node.env.state.transaction(RequestClass::Claim, &transaction.put(LEADER_KEY, value)).await
    {
        Ok(version) => Some((me, version, term)),
        Err(error) => {
            tracing::debug!(%error, "planner record not taken");
            None
        }
    }
}
