//! Records of the machines that may hold tasks: every machine has one before its first task.

use super::active_leader::ActiveLeader;
use super::in_flight::{InFlight, InFlightGuard};
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

/// Writes of machine records under way together.
const MAX_WRITES_IN_FLIGHT: usize = 4;
/// After a failed read of the records.
const LOAD_RETRY: Duration = Duration::from_millis(200);

/// A machine and the record that is to be written of it.
pub(super) struct MachineRecordWrite {
    /// Name of the machine.
    pub(super) machine: MachineName,
    /// What is to be stored of it; the time of the record is set when it is written.
    pub(super) record: MachineRecord,
}

/// Machine records that wait to be written.
#[derive(Default)]
pub(super) struct MachineRecordQueue {
    waiting: RefCell<VecDeque<MachineRecordWrite>>,
    /// There are such records, or a write of records has ended.
    write_wanted: Notify,
    in_flight: InFlight,
}

impl MachineRecordQueue {
    /// The next records that share a write: none while enough writes are in flight.
    fn next_batch(&self, max_records: usize) -> Vec<MachineRecordWrite> {
        if self.in_flight.count() >= MAX_WRITES_IN_FLIGHT {
            return Vec::new();
        }
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(max_records);
        waiting.drain(..count).collect()
    }
}

impl ActiveLeader {
    /// Makes the scheduler know every machine on which earlier leaders may have started tasks (S7).
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
                self.scheduler.borrow_mut().recorded_machine(machine, &record, age, now());
            }
            Err(error) => tracing::error!(machine, %error, "unreadable machine record"),
        }
    }

    /// Queues records to be written, and drops those of machines that are surely gone.
    pub(super) fn update_machine_records(
        &self,
        records: Vec<MachineRecordWrite>,
        erased: Vec<MachineName>,
    ) {
        let queue = &self.machine_records;
        if !records.is_empty() {
            queue.waiting.borrow_mut().extend(records);
            queue.write_wanted.notify_one();
        }
        if !erased.is_empty() {
            // A record written after its machine's was dropped would hold up the next failover.
            queue.waiting.borrow_mut().retain(|write| !erased.contains(&write.machine));
        }
        // Hundreds of machines go together; what is written of them shares requests.
        for machines in erased.chunks(self.context.max_transaction_changes()) {
            self.erase_machine_records(machines.to_vec());
        }
    }

    /// Writes the records of machines that came up. Those that come while as many writes as may be
    /// are under way share the next one: a fleet that boots has hundreds of them, and a write for
    /// each would cost the budget and the processor far more than the records themselves.
    pub(super) async fn write_machine_records(&self) {
        let queue = &self.machine_records;
        loop {
            let batch = queue.next_batch(self.context.max_transaction_changes());
            if batch.is_empty() {
                queue.write_wanted.notified().await;
                continue;
            }
            self.write_batch(batch, queue.in_flight.begin());
        }
    }

    /// Writes machine records, conditional on the leader record: a leader that was replaced
    /// can't add machines that its successor doesn't know.
    fn write_batch(&self, batch: Vec<MachineRecordWrite>, in_flight: InFlightGuard) {
        let mut transaction = self.when_leading();
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
            // After what users send: a fleet that comes up has hundreds of these.
            let class = RequestClass::Completion;
            let stored = context.env.state.transaction(class, &transaction).await.is_ok();
            for machine in &machines {
                scheduler.borrow_mut().on_machine_record_written(machine.as_str(), stored);
            }
            context.leadership.request_pass();
            drop(in_flight);
            queue.write_wanted.notify_one();
        });
    }

    /// A record that is left over holds up the next failover, so this is tried until it
    /// succeeds or another controller leads.
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
                    context.env.state.transaction(RequestClass::Housekeeping, &transaction).await
                else {
                    return;
                };
                tracing::debug!(?machines, %error, "can't erase machine records");
                // Our own term may have been raised meanwhile, and the record with it.
                if matches!(error, StateError::Conflict(_)) && version == claim.record_version.get()
                {
                    return;
                }
                context.env.sleep_random(500..1500).await;
            }
        });
    }
}
