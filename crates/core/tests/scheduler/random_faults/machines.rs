//! Machines that come, go and fail, and what is sent straight to them.

use super::driver::Driver;
use super::workers::Worker;
use corkfield_core::{Action, DirectPurpose};
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, MachineName};
use rand::seq::IteratorRandom;
use rand::Rng;
use std::time::Duration;

/// So many machines at the most.
pub(super) const MAX_MACHINES: usize = 6;

impl Driver {
    pub(super) fn start_machine(&mut self) {
        if self.workers.len() < MAX_MACHINES {
            self.machines_started += 1;
            let name = format!("host-{}", self.machines_started);
            self.workers.insert(name.as_str().into(), Worker::new(&name, self.now));
        }
    }

    /// A machine is gone, and the cloud said so.
    pub(super) fn lose_some_machine(&mut self) {
        if let Some(name) = self.some_machine() {
            self.remove_machine(&name);
        }
    }

    pub(super) fn remove_machine(&mut self, name: &MachineName) {
        self.workers.remove(name);
        self.scheduler.on_machines_deleted(std::slice::from_ref(name));
    }

    pub(super) fn silence_some_worker(&mut self) {
        let Some(name) = self.some_machine() else { return };
        let silence = Duration::from_millis(self.rng.random_range(500..18_000));
        let until = self.now + silence;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.silent_until = until;
        }
    }

    pub(super) fn trouble_some_machine(&mut self) {
        let Some(name) = self.some_machine() else { return };
        let worker = self.workers.get_mut(&name).expect("a machine that is up");
        match self.rng.random_range(0..3) {
            0 => worker.is_faulty = true,
            1 => worker.has_notice = true,
            _ => self.scheduler.drain_machine(name.as_str()),
        }
    }

    /// A machine is asked directly what it holds.
    pub(super) fn send_some_fence(&mut self) {
        let Some(target) = self.scheduler.fence_targets().into_iter().choose(&mut self.rng) else {
            return;
        };
        self.send_directly(&target.machine, target.agent_epoch, target.purpose, Vec::new());
    }

    pub(super) fn send_directly(
        &mut self,
        machine: &MachineName,
        agent_epoch: AgentEpoch,
        purpose: DirectPurpose,
        orders: Vec<Order>,
    ) {
        let (now, term) = (self.now, self.scheduler.term());
        let exchange = self.scheduler.begin_direct_request(machine.as_str(), purpose, now);
        let (is_lost, answer_is_lost) = (self.rng.random_bool(0.1), self.rng.random_bool(0.1));
        let worker = self.workers.get_mut(machine).filter(|worker| now >= worker.silent_until);
        let answer = worker.filter(|_| !is_lost).map(|worker| {
            if purpose == DirectPurpose::Order {
                worker.take_direct_orders(term, agent_epoch, orders);
            }
            worker.next_message()
        });
        match answer.filter(|_| !answer_is_lost) {
            Some(answer) => {
                self.scheduler.on_direct_request_answered(&answer, exchange, now);
            }
            None => self.scheduler.on_direct_request_failed(machine.as_str(), exchange),
        }
    }

    pub(super) fn carry_out_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::SendDirectOrders { machine, agent_epoch, orders, .. } => {
                    self.send_directly(&machine, agent_epoch, DirectPurpose::Order, orders);
                }
                Action::StoreMachineRecord(machine, record) => {
                    let stored = self.rng.random_bool(0.9);
                    if stored {
                        self.store.machines.insert(machine.clone(), record);
                    }
                    self.scheduler.on_machine_record_written(machine.as_str(), stored);
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
