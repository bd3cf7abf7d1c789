//! Machines that come and go: what the cloud lists, and what is deleted.

use super::{Action, Scheduler};
use crate::machine::{Machine, MachineState, MachineTask, RecordState, TaskAttempt};
use corkfield_wire::cloud::{ListedMachine, ListedState, MachineType, MAX_DELETE};
use corkfield_wire::MachineName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Deletions that were not answered are requested again after this time.
const DELETE_RETRY: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Takes over the cloud's machine types, also for machines known already.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        for machine in self.cluster.machines.values_mut() {
            machine.update_machine_type(&types);
        }
        self.cluster.machine_types = types;
    }

    /// Drains a machine: it gets no new tasks, and is returned once it is empty.
    pub fn drain(&mut self, name: &str) {
        self.cluster.drain(name);
    }

    /// The write of the machine's record was answered: it is `stored`, or the write failed.
    pub fn on_machine_record_written(&mut self, name: &str, stored: bool) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.finish_record_write(stored);
        }
    }

    /// Takes a task off a machine that surely no longer has it (S5).
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
        self.remove_if_closed(&task.job);
    }

    /// Takes those tasks off a machine that surely no longer has them (S5).
    pub(super) fn release_tasks(&mut self, name: &str, which: impl Fn(&MachineTask) -> bool) {
        let Some(machine) = self.cluster.machines.get(name) else {
            return;
        };
        let released = machine.tasks.iter().filter(|(_, machine_task)| which(machine_task));
        let keys: Vec<TaskAttempt> = released.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.release_task(name, &key);
        }
    }

    /// The machine is surely gone, and all that was on it (S5b).
    fn machine_gone(&mut self, name: &str) {
        self.release_tasks(name, |_| true);
        if let Some(machine) = self.cluster.machines.remove(name) {
            tracing::debug!(machine = name, "machine gone");
            if machine.record_state != RecordState::NotStored {
                self.actions.push(Action::Erase(MachineName::from(name)));
            }
        }
        self.reconciliation.remove(name);
        self.gone.insert(name, self.cluster.machines.len());
    }

    /// A deletion was answered with 200.
    pub fn on_machines_deleted(&mut self, names: &[MachineName]) {
        for name in names {
            self.machine_gone(name.as_str());
        }
    }

    /// A whole list of the cloud, asked for at `asked`.
    pub fn on_machine_list(&mut self, list: &[ListedMachine], asked: Instant, now: Instant) {
        for entry in list {
            self.take_listed_machine(entry, now);
        }
        let listed: BTreeSet<&str> = list.iter().map(|entry| entry.name.as_str()).collect();
        let settles_after = self.cluster.config.missing_machine_gone_after();
        let machines = self.cluster.machines.values();
        // It existed when we came to know it, and this list describes a later moment.
        let missing = machines.filter(|machine| {
            !listed.contains(machine.name.as_str()) && asked >= machine.known_since + settles_after
        });
        let missing: Vec<MachineName> = missing.map(|machine| machine.name.clone()).collect();
        for name in missing {
            tracing::debug!(machine = %name, "machine no longer listed");
            self.machine_gone(name.as_str());
        }
    }

    /// Takes one entry of the cloud's list.
    fn take_listed_machine(&mut self, entry: &ListedMachine, now: Instant) {
        if self.gone.contains(entry.name.as_str()) {
            return;
        }
        if entry.state == ListedState::Failed {
            if self.cluster.machines.contains_key(&entry.name) {
                self.machine_gone(entry.name.as_str());
                self.actions.push(Action::Delete(vec![entry.name.clone()]));
            }
            return;
        }
        let types = &self.cluster.machine_types;
        let listed = || Machine::from_listed(entry, types, now);
        let machine = self.cluster.machines.entry(entry.name.clone()).or_insert_with(listed);
        machine.set_addr_if_unknown(&entry.addr);
    }

    /// Requests the deletion of drained machines that are empty, and, from time to time, once more
    /// of all that were to be deleted and are still there.
    pub(super) fn delete_machines(&mut self, now: Instant) {
        let retry = self.last_delete.is_none_or(|at| now.duration_since(at) >= DELETE_RETRY);
        let mut delete = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            if machine.state() == MachineState::Draining && machine.tasks.is_empty() {
                machine.enter(MachineState::Deleting);
                delete.push(machine.name.clone());
            } else if machine.state() == MachineState::Deleting && retry {
                delete.push(machine.name.clone());
            }
        }
        if retry {
            self.last_delete = Some(now);
        }
        for names in delete.chunks(MAX_DELETE) {
            self.actions.push(Action::Delete(names.to_vec()));
        }
    }
}
