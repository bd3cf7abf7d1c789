//! Workers that are back within an instant, and heartbeats that are held back across that.

use super::driver::Driver;
use super::workers::Worker;
use corkfield_core::{MessageOrigin, Verdict};
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::MachineName;
use rand::Rng;

/// So many heartbeats in a row are held back before a restart at the most.
const MAX_HELD_IN_A_ROW: usize = 5;
/// So many heartbeats that are held back at once at the most: the oldest are lost.
const MAX_HELD_HEARTBEATS: usize = 24;

/// A heartbeat that is held back on its way; its sender has given it up.
pub struct HeldHeartbeat {
    pub heartbeat: WorkerHeartbeat,
    pub origin: MessageOrigin,
}

impl HeldHeartbeat {
    /// The worker's next heartbeat, which it gives up.
    pub fn sent_by(worker: &mut Worker) -> Self {
        let (heartbeat, origin) = (worker.next_message(), worker.origin());
        worker.give_up_exchange();
        Self { heartbeat, origin }
    }
}

impl Driver {
    /// A machine is back within an instant, with nothing on it.
    pub(super) fn restart_some_worker(&mut self) {
        let Some(name) = self.some_machine() else { return };
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.restart(now);
        }
    }

    /// The last heartbeats of a worker's process are held back; the next process counts anew, and
    /// its numbers may have passed some of theirs when they arrive.
    pub(super) fn restart_amid_held_heartbeats(&mut self) {
        let Some(name) = self.some_young_machine() else { return };
        let held = self.rng.random_range(1..=MAX_HELD_IN_A_ROW);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&name) else { return };
        for _ in 0..held {
            self.held_heartbeats.push(HeldHeartbeat::sent_by(worker));
        }
        worker.restart(now);
        let excess = self.held_heartbeats.len().saturating_sub(MAX_HELD_HEARTBEATS);
        self.held_heartbeats.drain(..excess);
    }

    /// The younger of two machines, as a rule: its known numbers are low, so those of a next
    /// process pass them soon.
    fn some_young_machine(&mut self) -> Option<MachineName> {
        let names = [self.some_machine()?, self.some_machine()?];
        names.into_iter().min_by_key(|name| self.workers[name].messages_sent())
    }

    /// A heartbeat that was held back arrives; the answer to it reaches nobody.
    pub(super) fn deliver_some_held_heartbeat(&mut self) {
        if self.held_heartbeats.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.held_heartbeats.len());
        let HeldHeartbeat { heartbeat, origin } = self.held_heartbeats.swap_remove(position);
        if self.scheduler.on_heartbeat(&heartbeat, origin, self.now) == Verdict::Accept {
            let name = heartbeat.machine.as_str();
            let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
            let orders =
                self.scheduler.orders_for_answer(name, agent_epoch, sequence, true, self.now);
            self.check_orders(&orders);
        }
    }

    /// A heartbeat that was held back is lost.
    pub(super) fn drop_some_held_heartbeat(&mut self) {
        if !self.held_heartbeats.is_empty() {
            let position = self.rng.random_range(0..self.held_heartbeats.len());
            self.held_heartbeats.swap_remove(position);
        }
    }
}
