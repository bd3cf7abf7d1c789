//! Election and hand-over: who holds the planner record, and when it passes on.

use super::{End, Planning};
use crate::node::{now, Node};
use crate::presence::Current;
use corkfield_state::Use;
use corkfield_wire::records::{
    controller_key, transfer_request_key, PlannerRecord, TransferRequest, PLANNER,
};
use corkfield_wire::store::Txn;
use std::time::Duration;

/// How often the planner looks whether its place is another's, or should be.
const LEADERSHIP_CHECK: Duration = Duration::from_millis(500);
/// Other controllers leave the named successor this long to take over.
const SUCCESSOR_HEAD_START: Duration = Duration::from_secs(2);

impl Planning<'_> {
    pub(super) async fn until_lost(&self) -> End {
        loop {
            let changed = self.node.follower.changed.notified();
            let lease = self.node.presence.changed.notified();
            let kept = self.node.presence.current();
            if kept.is_none_or(|current| current.incarnation != self.me.incarnation) {
                return End::LeaseLost;
            }
            if self.node.leader.is_replaced(&self.node.follower.cache.borrow()) {
                return End::Replaced;
            }
            tokio::select! {
                () = changed => {}
                () = lease => {}
                () = self.node.timers.tick(LEADERSHIP_CHECK) => {}
            }
        }
    }

    /// Beside [`Self::until_lost`], which must see at once that another plans, however long a
    /// hand-over's transaction takes.
    pub(super) async fn until_handed_over(&self) {
        while !self.hand_over().await {
            self.node.timers.tick(LEADERSHIP_CHECK).await;
        }
    }

    /// A planner that hears no workers, while they come to another controller, leaves
    /// its place to that one.
    async fn hand_over(&self) -> bool {
        let quiet = self
            .node
            .leader
            .last_report
            .get()
            .map_or(Duration::ZERO, |at| now().saturating_duration_since(at));
        let workers = &self.node.settings.platform.params.workers;
        if quiet < workers.report_interval().mul_f64(1.5) + Duration::from_secs(1)
            || !self.node.leader.is_ready()
        {
            return false;
        }
        let successor = {
            let cache = self.node.follower.cache.borrow();
            let mut recent = cache.transfer_requested_within(Duration::from_secs(3));
            recent.find(|name| **name != self.node.name).cloned()
        };
        let Some(successor) = successor else {
            return false;
        };
        let record = PlannerRecord {
            node: None,
            incarnation: String::new(),
            term: self.planner.borrow().term(),
            successor: Some(successor.clone()),
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let txn = Txn::default().when(PLANNER, self.version.get()).put(PLANNER, value);
        tracing::info!(%successor, "no worker reports here; handing over");
        self.node.state.txn(Use::Lease, &txn).await.is_ok()
    }
}

/// Tells the planner, through the store, that workers come here instead.
pub(super) async fn request_transfer(node: &Node) {
    if node.leader.transfer_wanted.take() {
        let count = node.leader.transfer_requests.get();
        let value = serde_json::to_value(TransferRequest { count }).unwrap_or_default();
        let planner = node.follower.cache.borrow().planner.as_ref().map_or(0, |p| p.1);
        // Carried out late, it must not drive out another planner than the one it is about.
        let txn =
            Txn::default().when(PLANNER, planner).put(transfer_request_key(&node.name), value);
        let _ = node.state.txn(Use::Housekeeping, &txn).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

/// Claims the planner record if its holder is gone.
pub(super) async fn take_over(node: &Node) -> Option<(Current, u64, u64)> {
    let me = node.presence.current().filter(|_| node.presence.is_valid())?;
    let (old, version, holder) = {
        let cache = node.follower.cache.borrow();
        if !node.follower.is_synced()
            || cache.types.is_none() && node.follower.proof_age() > Duration::from_secs(4)
        {
            return None;
        }
        match &cache.planner {
            None => (None, 0, None),
            Some((record, version)) => {
                let holder = record.node.as_ref().map(|name| {
                    let presence = cache.controllers.get(name);
                    let key = controller_key(name);
                    match presence {
                        Some((p, _)) if p.incarnation == record.incarnation => (key, None),
                        Some((_, version)) => (key, Some(*version)),
                        None => (key, Some(0)),
                    }
                });
                (Some(record.clone()), *version, holder)
            }
        }
    };
    let mut txn =
        Txn::default().when(PLANNER, version).when(controller_key(&node.name), me.version);
    match holder {
        // Its holder is there, unless that is this controller, which does not plan: the answer
        // to its claim was lost, or planning broke off. It claims anew, under a new term.
        Some((key, None)) if key != controller_key(&node.name) => return None,
        Some((key, Some(version))) if key != controller_key(&node.name) => {
            txn = txn.when(key, version);
        }
        _ => {}
    }
    let successor = old.as_ref().and_then(|record| record.successor.clone());
    if successor.is_some_and(|name| name != node.name) {
        tokio::time::sleep(SUCCESSOR_HEAD_START).await;
    } else {
        // Not all at once.
        node.pause(0..60).await;
    }
    let term = old.map_or(0, |record| record.term).max(node.leader.highest_seen_term.get()) + 1;
    let record = PlannerRecord {
        node: Some(node.name.clone()),
        incarnation: me.incarnation.clone(),
        term,
        successor: None,
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match node.state.txn(Use::Claim, &txn.put(PLANNER, value)).await {
        Ok(version) => Some((me, version, term)),
        Err(error) => {
            tracing::debug!(%error, "planner record not taken");
            None
        }
    }
}
