//! Machines that start, fail and are deleted, and direct requests to their workers.

use super::driver::Driver;
use super::workers::Worker;
use corkfield_core::{Action, DirectPurpose};
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, MachineName};
use rand::seq::IteratorRandom;
use rand::Rng;
use std::time::Duration;

/// Maximum number of machines.
pub(super) const MAX_MACHINES: usize = 6;

impl Driver {
    pub(super) fn start_machine(&mut self) {
        if self.workers.len() < MAX_MACHINES {
            self.machines_started += 1;
            let name = format!("host-{}", self.machines_started);
            self.workers.insert(name.as_str().into(), Worker::new(&name, self.now));
        }
    }

    /// Deletes a random machine and reports the deletion to the scheduler.
    pub(super) fn delete_random_machine(&mut self) {
        if let Some(name) = self.random_machine() {
            self.remove_machine(&name);
        }
    }

    pub(super) fn remove_machine(&mut self, name: &MachineName) {
        self.workers.remove(name);
        self.scheduler.on_machines_deleted(std::slice::from_ref(name));
    }

    pub(super) fn disconnect_random_worker(&mut self) {
        let Some(name) = self.random_machine() else { return };
        let outage = Duration::from_millis(self.rng.random_range(500..18_000));
        let until = self.now + outage;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.disconnected_until = until;
        }
    }

    /// Makes a random machine faulty, gives it an interruption notice, or drains it.
    pub(super) fn impair_random_machine(&mut self) {
        let Some(name) = self.random_machine() else { return };
        let worker = self.workers.get_mut(&name).expect("an existing machine");
        match self.rng.random_range(0..3) {
            0 => worker.is_faulty = true,
            1 => worker.has_interruption_notice = true,
            _ => self.scheduler.drain_machine(name.as_str()),
        }
    }

    /// Sends a direct request to a random machine that needs to be fenced or inspected.
    pub(super) fn send_random_direct_request(&mut self) {
        let Some(target) =
            self.scheduler.direct_request_targets().into_iter().choose(&mut self.rng)
        else {
            return;
        };
        self.send_direct_request(&target.machine, target.agent_epoch, target.purpose, Vec::new());
    }

    pub(super) fn send_direct_request(
        &mut self,
        machine: &MachineName,
        agent_epoch: AgentEpoch,
        purpose: DirectPurpose,
        orders: Vec<Order>,
    ) {
        let (now, term) = (self.now, self.scheduler.term());
        let request = self.scheduler.begin_direct_request(machine.as_str(), purpose, now);
        let (is_request_lost, is_answer_lost) =
            (self.rng.random_bool(0.1), self.rng.random_bool(0.1));
        let worker =
            self.workers.get_mut(machine).filter(|worker| now >= worker.disconnected_until);
        let answer = worker.filter(|_| !is_request_lost).map(|worker| {
            if purpose == DirectPurpose::Order {
                worker.accept_direct_orders(term, agent_epoch, orders);
            }
            worker.next_message()
        });
        match answer.filter(|_| !is_answer_lost) {
            Some(answer) => {
                self.scheduler.on_direct_request_answered(&answer, request, now);
            }
            None => self.scheduler.on_direct_request_failed(machine.as_str(), request),
        }
    }

    pub(super) fn execute_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::SendDirectOrders { machine, agent_epoch, orders, .. } => {
                    self.send_direct_request(&machine, agent_epoch, DirectPurpose::Order, orders);
                }
                Action::StoreMachineRecord(machine, record) => {
                    let is_stored = self.rng.random_bool(0.9);
                    if is_stored {
                        self.store.machines.insert(machine.clone(), record);
                    }
                    self.scheduler.on_machine_record_written(machine.as_str(), is_stored);
                }
                Action::DeleteMachineRecord(machine) => drop(self.store.machines.remove(&machine)),
                Action::DeleteMachines(machines) if self.rng.random_bool(0.8) => {
                    for machine in &machines {
                        self.remove_machine(machine);
                    }
                }
                Action::SendHeldAnswer(_) | Action::RentMachines(_) | Action::DeleteMachines(_) => {
                }
            }
        }
    }
}
