//! Failover: which machines earlier leaders may have used, and when each is accounted for (S7).

use super::{DirectOrderTarget, Scheduler, Verdict};
use crate::machine::{Machine, MachineState, MessageNumber, Reachability};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::{AgentEpoch, MachineName};
use std::time::{Duration, Instant};

/// After a failover machines have a heartbeat interval and this long to show what they hold.
const RECONCILIATION_GRACE: Duration = Duration::from_secs(2);
/// So many machines that don't, or that part of all, are given up; never most of a small fleet.
const FEW_UNRECONCILED: usize = 2;
/// See [`FEW_UNRECONCILED`].
const UNRECONCILED_PART: usize = 8;
/// And only those that were asked this often in vain: a leader that is busy with the heartbeats of
/// a whole fleet may not have come round to the others yet.
const GIVEN_UP_AFTER: u32 = 2;

impl Scheduler {
    /// A machine on which an earlier leader may have started tasks. Nothing that was claimed
    /// before is started until it has sent a heartbeat under our term, or is gone, or its worker's
    /// lease has expired. `age` is the time since the record was written, at the least.
    pub fn recorded_machine(
        &mut self,
        name: &str,
        record: &MachineRecord,
        age: Duration,
        now: Instant,
    ) {
        let types = &self.cluster.machine_types;
        let mut machine = Machine::from_record(name, record, types, age, now);
        // S6: the leader before us may have answered it until its fresh state ran out.
        machine.lease.may_be_renewed_until(now + self.cluster.config.answer_limit);
        self.reconciliation.expect(name, now);
        self.cluster.machines.insert(MachineName::from(name), machine);
    }

    /// Machines that have to be asked, under our term, what they hold, or whether orders reach
    /// them.
    pub fn fence_targets(&self) -> Vec<DirectOrderTarget> {
        let asked = self.cluster.machines.values().filter(|machine| {
            !machine.addr.is_empty()
                && machine.state() != MachineState::Deleting
                && (machine.reachability() == Reachability::Unreachable
                    || machine.messages.numbering_may_have_restarted()
                    || self.is_unreconciled(machine.name.as_str()))
        });
        asked
            .map(|machine| DirectOrderTarget {
                machine: machine.name.clone(),
                addr: machine.addr.clone(),
                agent_epoch: machine.messages.newest().agent_epoch.max(AgentEpoch::FIRST),
            })
            .collect()
    }

    /// The newest message known of a machine: what it says in answer to a question asked after
    /// this is newer.
    pub fn newest_message(&self, name: &str) -> MessageNumber {
        let machine = self.cluster.machines.get(name);
        machine.map(|machine| machine.messages.newest()).unwrap_or_default()
    }

    /// A machine's answer to direct orders that were sent when `known` was the newest message
    /// known of it.
    pub fn on_direct_orders_answer(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        known: MessageNumber,
        now: Instant,
    ) -> Verdict {
        let verdict = self.on_heartbeat(heartbeat, false, now);
        if MessageNumber::from(heartbeat) <= known {
            self.return_restarted(heartbeat.machine.as_str());
        }
        verdict
    }

    /// A worker that restarts its numbering has lost all its tasks, and its numbers no longer tell
    /// old heartbeats from new ones. So it is not trusted again: the machine is returned.
    pub(super) fn return_restarted(&mut self, name: &str) {
        self.return_at_once(name, "worker restarted its numbering; machine returned");
    }

    /// Returns a machine at once, with all that it may hold; the answered deletion shows that
    /// nothing of it runs any more (S5b).
    fn return_at_once(&mut self, name: &str, reason: &'static str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if machine.state() != MachineState::Deleting {
            machine.enter(MachineState::Deleting);
            self.last_delete = None;
            self.note_machine_event(name, reason);
        }
    }

    /// A few machines that don't answer hold up every task claimed before, until their workers'
    /// leases expire or the list drops them half a minute later. Returned ones are surely gone
    /// (S5b), so those few are given up. Where many are silent it is more likely a zone, or this
    /// controller, that is cut off: then their tasks are worth the wait.
    pub(super) fn give_up_unreconciled(&mut self, now: Instant) {
        let Some(waited) = self.reconciliation.waited(now) else {
            return;
        };
        let machines = self.cluster.machines.len();
        if self.reconciliation.is_complete() {
            let waited_s = waited.as_secs_f64();
            tracing::info!(machines, waited_s, "all machines accounted for after the failover");
            self.reconciliation.end();
            return;
        }
        let few = FEW_UNRECONCILED.min(machines / 2).max(machines / UNRECONCILED_PART);
        let grace = self.cluster.config.heartbeat_interval + RECONCILIATION_GRACE;
        if waited < grace || !self.reconciliation.is_quiet(now) || self.reconciliation.len() > few {
            return;
        }
        for name in self.silent_unreconciled() {
            self.return_at_once(name.as_str(), "no answer after the failover; machine returned");
        }
    }

    /// Unreconciled machines that did not answer several questions in a row.
    fn silent_unreconciled(&self) -> Vec<MachineName> {
        let is_silent = |name: &&MachineName| {
            let machine = self.cluster.machines.get(*name);
            machine.is_some_and(|machine| machine.unanswered() >= GIVEN_UP_AFTER)
        };
        self.reconciliation.machines().filter(is_silent).cloned().collect()
    }

    /// A machine did not answer direct orders in time.
    pub fn direct_orders_unanswered(&mut self, name: &str) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.note_unanswered();
        }
    }

    /// All tasks that earlier leaders started are accounted for.
    pub fn is_reconciled(&self) -> bool {
        self.reconciliation.is_complete()
    }

    /// Whether the machine may hold tasks of earlier leaders that are not known yet (S7, S8).
    pub(crate) fn is_unreconciled(&self, machine: &str) -> bool {
        self.reconciliation.contains(machine)
    }
}
