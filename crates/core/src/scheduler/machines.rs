//! Machines that come, go, or are silent for too long.

use super::{Action, Scheduler};
use crate::machine::{Machine, MachineState, MachineTask, Recorded};
use corkfield_wire::cloud::{ListedMachine, ListedState, MachineType, MAX_DELETE};
use corkfield_wire::TaskId;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Names of machines that are gone, kept so that late messages don't bring them back: so many at
/// the least, and several times as many as there are machines.
const MIN_GONE: usize = 20_000;
const GONE_A_MACHINE: usize = 8;
const DELETE_RETRY: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Takes over the cloud's machine types, also for machines known already.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        for machine in self.cluster.machines.values_mut() {
            machine.size = types.iter().find(|t| t.name == machine.type_name).cloned();
        }
        self.cluster.machine_types = types;
    }

    /// Takes a machine out of use: it gets no new work, and is returned once it is empty.
    pub fn drain(&mut self, name: &str) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.enter(MachineState::Draining);
        }
    }

    /// The machine's record is in the state service.
    pub fn machine_recorded(&mut self, name: &str, stored: bool) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.recorded = if stored { Recorded::Yes } else { Recorded::No };
        }
    }

    /// Takes a task off a machine that surely no longer has it.
    pub(super) fn release(&mut self, name: &str, key: &(TaskId, u64)) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if let Some(machine_task) = machine.tasks.remove(key) {
            tracing::debug!(task = %key.0, machine = name, attempt = key.1, was = ?machine_task.state, "task off");
            if let Some(job) = self.cluster.jobs.get_mut(&key.0.job) {
                job.release(key.0.index, name, key.1);
            }
            self.sweep_job(&key.0.job);
        }
    }

    pub(super) fn drop_held(&mut self, name: &str, which: impl Fn(&MachineTask) -> bool) {
        let Some(machine) = self.cluster.machines.get(name) else {
            return;
        };
        let keys: Vec<(TaskId, u64)> =
            machine.tasks.iter().filter(|(_, h)| which(h)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.release(name, &key);
        }
    }

    fn machine_gone(&mut self, name: &str) {
        self.drop_held(name, |_| true);
        if let Some(machine) = self.cluster.machines.remove(name) {
            tracing::debug!(machine = name, "machine gone");
            if machine.recorded != Recorded::No {
                self.actions.push(Action::Erase(name.to_owned()));
            }
        }
        self.unreconciled.remove(name);
        if self.gone_names.insert(name.to_owned()) {
            self.gone.push_back(name.to_owned());
        }
        if self.gone.len() > MIN_GONE.max(self.cluster.machines.len() * GONE_A_MACHINE) {
            if let Some(oldest) = self.gone.pop_front() {
                self.gone_names.remove(&oldest);
            }
        }
    }

    /// A deletion was answered with 200.
    pub fn deleted(&mut self, names: &[String]) {
        for name in names {
            self.machine_gone(name);
        }
    }

    /// A whole list of the cloud, asked for at `asked`.
    pub fn on_list(&mut self, list: &[ListedMachine], asked: Instant, now: Instant) {
        let commit_wanted = self.cluster.config.list_settles_after();
        let mut listed: BTreeSet<&str> = BTreeSet::new();
        for entry in list {
            listed.insert(&entry.name);
            if self.gone_names.contains(&entry.name) {
                continue;
            }
            if entry.state == ListedState::Failed {
                if self.cluster.machines.contains_key(&entry.name) {
                    self.machine_gone(&entry.name);
                    self.actions.push(Action::Delete(vec![entry.name.clone()]));
                }
                continue;
            }
            let types = &self.cluster.machine_types;
            let machine = self.cluster.machines.entry(entry.name.clone()).or_insert_with(|| {
                let mut machine = Machine::new(
                    entry.name.clone(),
                    entry.machine_type.clone(),
                    entry.zone.clone(),
                    entry.spot,
                    types,
                    now,
                );
                let age = Duration::try_from_secs_f64(entry.age_s).unwrap_or_default();
                machine.rented_at = now.checked_sub(age).unwrap_or(now);
                machine
            });
            if machine.addr.is_empty() {
                machine.addr.clone_from(&entry.addr);
            }
        }
        let mut missing = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            // It existed when we came to know it, and this list describes a later moment.
            if !listed.contains(machine.name.as_str())
                && asked >= machine.known_since + commit_wanted
            {
                missing.push(machine.name.clone());
            }
        }
        for name in missing {
            tracing::debug!(machine = %name, "no longer listed");
            self.machine_gone(&name);
        }
    }

    pub(super) fn tick_machines(&mut self, now: Instant) {
        let mut delete = Vec::new();
        let again = self.last_delete.is_none_or(|at| now.duration_since(at) >= DELETE_RETRY);
        for machine in self.cluster.machines.values_mut() {
            if machine.state() == MachineState::Draining && machine.tasks.is_empty() {
                machine.enter(MachineState::Deleting);
                delete.push(machine.name.clone());
            } else if machine.state() == MachineState::Deleting && again {
                delete.push(machine.name.clone());
            }
        }
        if again {
            self.last_delete = Some(now);
        }
        for names in delete.chunks(MAX_DELETE) {
            self.actions.push(Action::Delete(names.to_vec()));
        }
    }
}
