//! What the leader decided, carried out: machine records, rentals, deletions.

use super::fencing::send_direct_orders;
use super::provisioning::rent_machines;
use super::ActiveLeader;
use crate::clock::wall_ms;
use corkfield_core::Action;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::cloud::MAX_RENT;
use corkfield_wire::records::{machine_key, MachineRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use std::rc::Rc;

/// Writes of machine records under way together.
const RECORDS_AT_ONCE: usize = 4;

impl ActiveLeader<'_> {
    pub(super) async fn dispatch_actions(&self) {
        loop {
            let actions = self.scheduler.borrow_mut().take_actions();
            if actions.is_empty() {
                self.node.leadership.actions.notified().await;
                continue;
            }
            let mut records = Vec::new();
            let mut erased = Vec::new();
            for action in actions {
                match action {
                    Action::Record(name, record) => records.push((name, record)),
                    Action::Erase(name) => erased.push(name),
                    action => self.dispatch(action),
                }
            }
            if !records.is_empty() {
                self.unrecorded.borrow_mut().extend(records);
                self.record_write_wanted.notify_one();
            }
            if !erased.is_empty() {
                // A record written after its machine's was dropped would hold up the next failover.
                self.unrecorded.borrow_mut().retain(|(name, _)| !erased.contains(name));
            }
            // Hundreds of machines go together; what is written of them shares requests.
            erased
                .chunks(self.txn_changes())
                .for_each(|part| self.erase_machine_records(part.to_vec()));
        }
    }

    /// How many changes a transaction may have.
    fn txn_changes(&self) -> usize {
        self.node.env.settings.platform.params.state.txn_ops.max(1) as usize
    }

    /// Writes the records of machines that came up. Those that come while as many writes as may be
    /// are under way share the next one: a fleet that boots has hundreds of them, and a write for
    /// each would cost the budget and the processor far more than the records themselves.
    pub(super) async fn write_machine_records(&self) {
        let under_way = Rc::new(());
        loop {
            let free = Rc::strong_count(&under_way) <= RECORDS_AT_ONCE;
            let machines: Vec<_> = {
                let mut unrecorded = self.unrecorded.borrow_mut();
                let count = if free { unrecorded.len().min(self.txn_changes()) } else { 0 };
                unrecorded.drain(..count).collect()
            };
            if machines.is_empty() {
                self.record_write_wanted.notified().await;
                continue;
            }
            self.record(machines, under_way.clone());
        }
    }

    fn dispatch(&self, action: Action) {
        let node = self.node.clone();
        let scheduler = self.scheduler.clone();
        match action {
            Action::Answer(machine) => {
                if let Some(run) = node.leadership.waiting_answers.borrow_mut().remove(&machine) {
                    run.notify_one();
                }
            }
            Action::Direct { machine, addr, agent_epoch, orders } => {
                tokio::task::spawn_local(async move {
                    send_direct_orders(&node, &scheduler, &machine, &addr, agent_epoch, orders)
                        .await;
                });
            }
            Action::Rent(request) => {
                let scaling_wanted = self.scaling_wanted.clone();
                tokio::task::spawn_local(async move {
                    let filled = rent_machines(&node, &scheduler, &request).await;
                    if filled && request.count >= MAX_RENT {
                        scaling_wanted.notify_one();
                    }
                });
            }
            // Asked for again while it is due: see [`Leadership::may_start`].
            Action::Delete(names) if !node.leadership.may_start(&node) => {
                tracing::debug!(machines = names.len(), "not returned without a valid lease");
            }
            Action::Delete(names) => {
                tokio::task::spawn_local(async move {
                    match node.env.cloud.delete(names.clone()).await {
                        Ok(()) => {
                            scheduler.borrow_mut().deleted(&names);
                            node.leadership.actions.notify_one();
                        }
                        Err(error) => tracing::debug!(%error, "deletion failed"),
                    }
                });
            }
            // Written in groups by the caller.
            Action::Record(..) | Action::Erase(..) => {}
        }
    }

    /// Writes machine records, conditional on the leader record: a leader that was replaced
    /// can't add machines that its successor doesn't know.
    fn record(&self, machines: Vec<(String, MachineRecord)>, under_way: Rc<()>) {
        let pass_wanted = self.record_write_wanted.clone();
        let (node, scheduler) = (self.node.clone(), self.scheduler.clone());
        let mut transaction = Transaction::default().when(LEADER_KEY, self.version.get());
        let recorded_ms = wall_ms();
        for (name, record) in &machines {
            let record = MachineRecord { recorded_ms, ..record.clone() };
            transaction = transaction
                .put(machine_key(name), serde_json::to_value(&record).unwrap_or_default());
        }
        tokio::task::spawn_local(async move {
            // After what users send: a fleet that comes up has hundreds of these.
            let stored = node.env.state.transaction(RequestClass::Completion, &transaction).await;
            for (name, _) in &machines {
                scheduler.borrow_mut().machine_recorded(name, stored.is_ok());
            }
            node.leadership.want_pass();
            drop(under_way);
            pass_wanted.notify_one();
        });
    }

    fn erase_machine_records(&self, machines: Vec<String>) {
        let (node, current) = (self.node.clone(), self.version.clone());
        tokio::task::spawn_local(async move {
            // A record that is left over holds up the next failover, so this is tried until it
            // succeeds or another plans.
            loop {
                let version = current.get();
                let transaction = Transaction::default().when(LEADER_KEY, version);
                let transaction = machines
                    .iter()
                    .fold(transaction, |transaction, name| transaction.delete(machine_key(name)));
                let Err(error) =
                    node.env.state.transaction(RequestClass::Housekeeping, &transaction).await
                else {
                    return;
                };
                tracing::debug!(?machines, %error, "can't drop machines' records");
                // Our own term may have been raised meanwhile, and the record with it.
                if matches!(error, StateError::Conflict(_)) && version == current.get() {
                    return;
                }
                node.env.pause(500..1500).await;
            }
        });
    }
}
