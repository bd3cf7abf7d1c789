//! Writes, loads and erases the records of machines that may hold tasks. A machine's record is
//! stored before the first task is started on the machine.

use super::active_leader::ActiveLeader;
use super::in_flight::{InFlightCounter, InFlightGuard};
use crate::clock::{now, unix_time_ms};
use crate::store_value::store_value;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{machine_key, MachineRecord, LEADER_KEY, MACHINE_RECORDS_PREFIX};
use corkfield_wire::store::{Item, Transaction};
use corkfield_wire::MachineName;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of concurrent writes of machine records.
const MAX_WRITES_IN_FLIGHT: usize = 4;
/// Pause after a failed read of the machine records.
const LOAD_RETRY: Duration = Duration::from_millis(200);

/// A machine record to be written.
pub(super) struct MachineRecordWrite {
    /// Name of the machine.
    pub(super) machine: MachineName,
    /// The record. Its `recorded_ms` is set when it is written.
    pub(super) record: MachineRecord,
}

/// Queue of machine records to be written.
#[derive(Default)]
pub(super) struct MachineRecordQueue {
    pending: RefCell<VecDeque<MachineRecordWrite>>,
    /// Notified when a record was added or a write has ended.
    queue_changed: Notify,
    in_flight: InFlightCounter,
}

impl MachineRecordQueue {
    /// Removes and returns the records of the next write, at most `max_records`. Empty while
    /// [`MAX_WRITES_IN_FLIGHT`] writes are in flight.
    fn next_batch(&self, max_records: usize) -> Vec<MachineRecordWrite> {
        if self.in_flight.count() >= MAX_WRITES_IN_FLIGHT {
            return Vec::new();
        }
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(max_records);
        pending.drain(..count).collect()
    }
}

impl ActiveLeader {
    /// Loads the records of all machines on which earlier leaders may have started tasks into the
    /// scheduler (S7).
    pub(super) async fn load_machine_records(&self) {
        let store = &self.context.env.state;
        loop {
            match store.list(RequestClass::Claim, MACHINE_RECORDS_PREFIX).await {
                Ok((items, _)) => {
                    for item in items {
                        self.load_machine_record(item);
                    }
                    return;
                }
                Err(error) => {
                    tracing::debug!(%error, "can't read the machine records");
                    tokio::time::sleep(LOAD_RETRY).await;
                }
            }
        }
    }

    fn load_machine_record(&self, item: Item) {
        let Some(machine) = item.key.strip_prefix(MACHINE_RECORDS_PREFIX) else {
            return;
        };
        match serde_json::from_value::<MachineRecord>(item.value) {
            Ok(record) => {
                let age = self.context.env.min_age(record.recorded_ms);
                self.scheduler.borrow_mut().add_recorded_machine(machine, &record, age, now());
            }
            Err(error) => tracing::error!(machine, %error, "unreadable machine record"),
        }
    }

    /// Queues records to be written, and erases the records of machines that no longer exist.
    pub(super) fn update_machine_records(
        &self,
        records: Vec<MachineRecordWrite>,
        erased: Vec<MachineName>,
    ) {
        let queue = &self.machine_records;
        if !records.is_empty() {
            queue.pending.borrow_mut().extend(records);
            queue.queue_changed.notify_one();
        }
        if !erased.is_empty() {
            // A record written after its machine was erased would delay the next failover.
            queue.pending.borrow_mut().retain(|write| !erased.contains(&write.machine));
        }
        // Hundreds of machines may go at the same time, so their erasures share transactions.
        for machines in erased.chunks(self.context.max_transaction_changes()) {
            self.erase_machine_records(machines.to_vec());
        }
    }

    /// Writes queued machine records in batches, in an endless loop. Records queued while the
    /// maximum number of writes is in flight share the next write: a booting fleet queues hundreds
    /// of records, and one write each would use far more of the request budget and the CPU than the
    /// records themselves.
    pub(super) async fn write_machine_records(&self) {
        let queue = &self.machine_records;
        loop {
            let batch = queue.next_batch(self.context.max_transaction_changes());
            if batch.is_empty() {
                queue.queue_changed.notified().await;
                continue;
            }
            self.write_batch(batch, queue.in_flight.increment());
        }
    }

    /// Writes machine records in the background, conditional on the leader record, so that a
    /// replaced leader can't add machines that its successor doesn't know of.
    fn write_batch(&self, batch: Vec<MachineRecordWrite>, in_flight: InFlightGuard) {
        let mut transaction = self.leader_transaction();
        let recorded_ms = unix_time_ms();
        let mut machines = Vec::new();
        for MachineRecordWrite { machine, record } in batch {
            let record = MachineRecord { recorded_ms, ..record };
            transaction = transaction.put(machine_key(machine.as_str()), store_value(&record));
            machines.push(machine);
        }
        let queue = self.machine_records.clone();
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        tokio::task::spawn_local(async move {
            // This class ranks below users' submissions, as a booting fleet queues hundreds of
            // records.
            let class = RequestClass::Completion;
            let stored = context.env.state.commit(class, &transaction).await.is_ok();
            for machine in &machines {
                scheduler.borrow_mut().on_machine_record_written(machine.as_str(), stored);
            }
            context.leadership.request_pass();
            drop(in_flight);
            queue.queue_changed.notify_one();
        });
    }

    /// Erases machine records in the background. A leftover record would delay the next failover,
    /// so the erasure is retried until it succeeds or another controller leads.
    fn erase_machine_records(&self, machines: Vec<MachineName>) {
        let (context, claim) = (self.context.clone(), self.claim.clone());
        tokio::task::spawn_local(async move {
            loop {
                let version = claim.record_version.get();
                let conditions = Transaction::default().when(LEADER_KEY, version);
                let transaction = machines.iter().fold(conditions, |transaction, machine| {
                    transaction.delete(machine_key(machine.as_str()))
                });
                let Err(error) =
                    context.env.state.commit(RequestClass::Housekeeping, &transaction).await
                else {
                    return;
                };
                tracing::debug!(?machines, %error, "can't erase machine records");
                // If this leader raised its term in the meantime, the conflict is due to its own
                // new version of the leader record, and the erasure is retried.
                if matches!(error, StateError::Conflict(_)) && version == claim.record_version.get()
                {
                    return;
                }
                context.env.sleep_random(500..1500).await;
            }
        });
    }
}
