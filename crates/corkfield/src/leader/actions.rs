//! What the planner decided, carried out: machine records, rentals, deletions.

use super::fencing::direct;
use super::provisioning::rent;
use super::Planning;
use crate::node::wall_ms;
use corkfield_core::Action;
use corkfield_state::{StateError, Use};
use corkfield_wire::cloud::MAX_RENT;
use corkfield_wire::records::{machine_key, MachineRecord, PLANNER};
use corkfield_wire::store::Txn;
use std::rc::Rc;

/// Writes of machine records under way together.
const RECORDS_AT_ONCE: usize = 4;

impl Planning<'_> {
    pub(super) async fn acting(&self) {
        loop {
            let actions = self.planner.borrow_mut().take_actions();
            if actions.is_empty() {
                self.node.leader.actions.notified().await;
                continue;
            }
            let mut records = Vec::new();
            let mut erased = Vec::new();
            for action in actions {
                match action {
                    Action::Record(name, record) => records.push((name, record)),
                    Action::Erase(name) => erased.push(name),
                    action => self.act(action),
                }
            }
            if !records.is_empty() {
                self.unrecorded.borrow_mut().extend(records);
                self.record_wanted.notify_one();
            }
            if !erased.is_empty() {
                // A record written after its machine's was dropped would hold up the next take-over.
                self.unrecorded.borrow_mut().retain(|(name, _)| !erased.contains(name));
            }
            // Hundreds of machines go together; what is written of them shares requests.
            erased.chunks(self.txn_changes()).for_each(|part| self.erase(part.to_vec()));
        }
    }

    /// How many changes a transaction may have.
    fn txn_changes(&self) -> usize {
        self.node.settings.platform.params.state.txn_ops.max(1) as usize
    }

    /// Writes the records of machines that came up. Those that come while as many writes as may be
    /// are under way share the next one: a fleet that boots has hundreds of them, and a write for
    /// each would cost the budget and the processor far more than the records themselves.
    pub(super) async fn recording(&self) {
        let under_way = Rc::new(());
        loop {
            let free = Rc::strong_count(&under_way) <= RECORDS_AT_ONCE;
            let machines: Vec<_> = {
                let mut unrecorded = self.unrecorded.borrow_mut();
                let count = if free { unrecorded.len().min(self.txn_changes()) } else { 0 };
                unrecorded.drain(..count).collect()
            };
            if machines.is_empty() {
                self.record_wanted.notified().await;
                continue;
            }
            self.record(machines, under_way.clone());
        }
    }

    fn act(&self, action: Action) {
        let node = self.node.clone();
        let planner = self.planner.clone();
        match action {
            Action::Answer(machine) => {
                if let Some(work) = node.leader.waiting_answers.borrow_mut().remove(&machine) {
                    work.notify_one();
                }
            }
            Action::Direct { machine, addr, session, orders } => {
                tokio::task::spawn_local(async move {
                    direct(&node, &planner, &machine, &addr, session, orders).await;
                });
            }
            Action::Rent(request) => {
                let adjust_wanted = self.adjust_wanted.clone();
                tokio::task::spawn_local(async move {
                    let filled = rent(&node, &planner, &request).await;
                    if filled && request.count >= MAX_RENT {
                        adjust_wanted.notify_one();
                    }
                });
            }
            // Asked for again while it is due: see [`Leader::may_start`].
            Action::Delete(names) if !node.leader.may_start(&node) => {
                tracing::debug!(machines = names.len(), "not returned without a valid lease");
            }
            Action::Delete(names) => {
                tokio::task::spawn_local(async move {
                    match node.cloud.delete(names.clone()).await {
                        Ok(()) => {
                            planner.borrow_mut().deleted(&names);
                            node.leader.actions.notify_one();
                        }
                        Err(error) => tracing::debug!(%error, "deletion failed"),
                    }
                });
            }
            // Written in groups by the caller.
            Action::Record(..) | Action::Erase(..) => {}
        }
    }

    /// Writes machine records, conditional on the planner record: a planner that was replaced
    /// can't add machines that its successor doesn't know.
    fn record(&self, machines: Vec<(String, MachineRecord)>, under_way: Rc<()>) {
        let wanted = self.record_wanted.clone();
        let (node, planner) = (self.node.clone(), self.planner.clone());
        let mut txn = Txn::default().when(PLANNER, self.version.get());
        let recorded_ms = wall_ms();
        for (name, record) in &machines {
            let record = MachineRecord { recorded_ms, ..record.clone() };
            txn = txn.put(machine_key(name), serde_json::to_value(&record).unwrap_or_default());
        }
        tokio::task::spawn_local(async move {
            // After what users send: a fleet that comes up has hundreds of these.
            let stored = node.state.txn(Use::Settling, &txn).await;
            for (name, _) in &machines {
                planner.borrow_mut().machine_recorded(name, stored.is_ok());
            }
            node.leader.want_pass();
            drop(under_way);
            wanted.notify_one();
        });
    }

    fn erase(&self, machines: Vec<String>) {
        let (node, current) = (self.node.clone(), self.version.clone());
        tokio::task::spawn_local(async move {
            // A record that is left over holds up the next take-over, so this is tried until it
            // succeeds or another plans.
            loop {
                let version = current.get();
                let txn = Txn::default().when(PLANNER, version);
                let txn = machines.iter().fold(txn, |txn, name| txn.delete(machine_key(name)));
                let Err(error) = node.state.txn(Use::Housekeeping, &txn).await else {
                    return;
                };
                tracing::debug!(?machines, %error, "can't drop machines' records");
                // Our own term may have been raised meanwhile, and the record with it.
                if matches!(error, StateError::Conflict(_)) && version == current.get() {
                    return;
                }
                node.pause(500..1500).await;
            }
        });
    }
}
