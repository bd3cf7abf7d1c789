//! Adding and removing machines: the cloud's machine list, deletions, and the tasks of removed
//! machines.

use super::{Action, Scheduler};
use crate::machine::{Machine, MachineState, MachineTask, RecordState, TaskAttempt};
use corkfield_wire::cloud::{ListedMachine, ListedState, MachineType, MAX_MACHINES_PER_DELETION};
use corkfield_wire::MachineName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Time after which pending deletions are requested again.
const DELETION_RETRY_INTERVAL: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Sets the cloud's machine types, and updates the types of the known machines.
    pub fn set_machine_types(&mut self, types: Vec<MachineType>) {
        for machine in self.cluster.machines.values_mut() {
            machine.update_machine_type(&types);
        }
        self.cluster.machine_types = types;
    }

    /// Drains a machine: no new task starts on it, and it is deleted once it is empty.
    pub fn drain_machine(&mut self, name: &str) {
        self.cluster.drain_machine(name);
    }

    /// Handles the end of a write of a machine's record. `stored` is false if the write failed.
    pub fn on_machine_record_written(&mut self, name: &str, stored: bool) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.finish_record_write(stored);
        }
    }

    /// Releases a task: removes it from its machine, which provably does not hold it (S5), so that
    /// it waits for placement again if it is unfinished.
    pub(super) fn release_task(&mut self, name: &str, key: &TaskAttempt) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let Some(machine_task) = machine.tasks.remove(key) else {
            return;
        };
        let TaskAttempt { task, attempt } = key;
        tracing::debug!(
            task = %task,
            machine = name,
            attempt = attempt.get(),
            state = ?machine_task.state,
            "task released"
        );
        if let Some(job) = self.cluster.jobs.get_mut(&task.job) {
            job.release_task(task.index, name, *attempt);
        }
        self.remove_job_if_closed(&task.job);
    }

    /// Releases all tasks of a machine that match `predicate`. The machine must provably hold none of
    /// them (S5).
    pub(super) fn release_tasks(&mut self, name: &str, predicate: impl Fn(&MachineTask) -> bool) {
        let Some(machine) = self.cluster.machines.get(name) else {
            return;
        };
        let released = machine.tasks.iter().filter(|(_, machine_task)| predicate(machine_task));
        let keys: Vec<TaskAttempt> = released.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.release_task(name, &key);
        }
    }

    /// Removes a machine that provably no longer exists, and releases all its tasks (S5b).
    fn remove_machine(&mut self, name: &str) {
        self.release_tasks(name, |_| true);
        if let Some(machine) = self.cluster.machines.remove(name) {
            tracing::debug!(machine = name, "machine removed");
            if machine.record_state != RecordState::NotStored {
                self.actions.push(Action::DeleteMachineRecord(MachineName::from(name)));
            }
        }
        self.reconciliation.remove(name);
        self.removed_machines.insert(name, self.cluster.machines.len());
    }

    /// Handles a deletion of machines that the cloud answered with 200.
    pub fn on_machines_deleted(&mut self, names: &[MachineName]) {
        for name in names {
            self.remove_machine(name.as_str());
        }
    }

    /// Handles the cloud's complete list of machines, which was requested at `requested_at`.
    pub fn on_machine_list(&mut self, list: &[ListedMachine], requested_at: Instant, now: Instant) {
        for entry in list {
            self.update_listed_machine(entry, now);
        }
        let listed: BTreeSet<&str> = list.iter().map(|entry| entry.name.as_str()).collect();
        let missing_timeout = self.cluster.config.missing_machine_timeout();
        let machines = self.cluster.machines.values();
        // A list may lag behind the cloud's state. A missing machine is removed only if the list
        // was requested so long after the machine became known that it must describe a later
        // moment.
        let missing = machines.filter(|machine| {
            !listed.contains(machine.name.as_str())
                && requested_at >= machine.known_since + missing_timeout
        });
        let missing: Vec<MachineName> = missing.map(|machine| machine.name.clone()).collect();
        for name in missing {
            tracing::debug!(machine = %name, "machine no longer listed");
            self.remove_machine(name.as_str());
        }
    }

    /// Adds or updates a machine from its entry in the cloud's list. A known machine that the cloud
    /// lists as failed is removed, and its deletion is requested.
    fn update_listed_machine(&mut self, entry: &ListedMachine, now: Instant) {
        if self.removed_machines.contains(entry.name.as_str()) {
            return;
        }
        if entry.state == ListedState::Failed {
            if self.cluster.machines.contains_key(&entry.name) {
                self.remove_machine(entry.name.as_str());
                self.actions.push(Action::DeleteMachines(vec![entry.name.clone()]));
            }
            return;
        }
        let types = &self.cluster.machine_types;
        let listed = || Machine::from_listed(entry, types, now);
        let machine = self.cluster.machines.entry(entry.name.clone()).or_insert_with(listed);
        machine.set_addr_if_unknown(&entry.addr);
    }

    /// Requests the deletion of drained machines that are empty. Every [`DELETION_RETRY_INTERVAL`],
    /// requests all pending deletions again.
    pub(super) fn request_deletions(&mut self, now: Instant) {
        let is_retry_due = self
            .last_deletion_retry
            .is_none_or(|at| now.duration_since(at) >= DELETION_RETRY_INTERVAL);
        let mut names_to_delete = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            if machine.state() == MachineState::Draining && machine.tasks.is_empty() {
                machine.transition_to(MachineState::Deleting);
                names_to_delete.push(machine.name.clone());
            } else if machine.state() == MachineState::Deleting && is_retry_due {
                names_to_delete.push(machine.name.clone());
            }
        }
        if is_retry_due {
            self.last_deletion_retry = Some(now);
        }
        for names in names_to_delete.chunks(MAX_MACHINES_PER_DELETION) {
            self.actions.push(Action::DeleteMachines(names.to_vec()));
        }
    }
}
