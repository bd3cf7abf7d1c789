//! Workers that restart without downtime, and heartbeats that are delayed beyond the restart.

use super::driver::Driver;
use super::workers::Worker;
use corkfield_core::{MessageOrigin, Verdict};
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::MachineName;
use rand::Rng;

/// Maximum number of consecutive heartbeats that are delayed before a restart.
const MAX_DELAYED_IN_A_ROW: usize = 5;
/// Maximum number of delayed heartbeats; beyond it, the oldest are lost.
const MAX_DELAYED_HEARTBEATS: usize = 24;

/// A delayed heartbeat, whose sender no longer waits for an answer.
pub struct DelayedHeartbeat {
    pub heartbeat: WorkerHeartbeat,
    pub origin: MessageOrigin,
}

impl DelayedHeartbeat {
    /// Makes the worker send its next heartbeat, which is delayed, and abandon it.
    pub fn send_from(worker: &mut Worker) -> Self {
        let (heartbeat, origin) = (worker.next_message(), worker.origin());
        worker.abandon_heartbeat();
        Self { heartbeat, origin }
    }
}

impl Driver {
    /// Restarts a random worker without downtime; the worker loses its tasks.
    pub(super) fn restart_random_worker(&mut self) {
        let Some(name) = self.random_machine() else { return };
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.restart(now);
        }
    }

    /// Delays the last heartbeats of a worker's process and restarts the worker. The new process
    /// numbers its messages from the beginning, and its numbers may have passed those of the
    /// delayed heartbeats when they arrive.
    pub(super) fn restart_worker_with_delayed_heartbeats(&mut self) {
        let Some(name) = self.random_machine_with_few_messages() else { return };
        let count = self.rng.random_range(1..=MAX_DELAYED_IN_A_ROW);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&name) else { return };
        for _ in 0..count {
            self.delayed_heartbeats.push(DelayedHeartbeat::send_from(worker));
        }
        worker.restart(now);
        let excess = self.delayed_heartbeats.len().saturating_sub(MAX_DELAYED_HEARTBEATS);
        self.delayed_heartbeats.drain(..excess);
    }

    /// Chooses two random machines and returns the one whose worker has sent fewer messages since
    /// its last restart. The message numbers of that worker are low, so the numbers of a new
    /// process soon exceed them.
    fn random_machine_with_few_messages(&mut self) -> Option<MachineName> {
        let names = [self.random_machine()?, self.random_machine()?];
        names.into_iter().min_by_key(|name| self.workers[name].messages_sent())
    }

    /// Delivers a random delayed heartbeat; its answer is discarded.
    pub(super) fn deliver_random_delayed_heartbeat(&mut self) {
        if self.delayed_heartbeats.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.delayed_heartbeats.len());
        let DelayedHeartbeat { heartbeat, origin } = self.delayed_heartbeats.swap_remove(position);
        if self.scheduler.on_heartbeat(&heartbeat, origin, self.now) == Verdict::Accept {
            let name = heartbeat.machine.as_str();
            let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
            let orders =
                self.scheduler.orders_for_answer(name, agent_epoch, sequence, true, self.now);
            self.check_orders(&orders);
        }
    }

    /// Drops a random delayed heartbeat.
    pub(super) fn drop_random_delayed_heartbeat(&mut self) {
        if !self.delayed_heartbeats.is_empty() {
            let position = self.rng.random_range(0..self.delayed_heartbeats.len());
            self.delayed_heartbeats.swap_remove(position);
        }
    }
}
