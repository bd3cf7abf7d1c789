//! Failover: which machines earlier leaders may have used, and when each is accounted for (S7).

use super::{DirectOrderTarget, DirectPurpose, Scheduler, Verdict};
use crate::machine::{
    DirectExchange, Machine, MachineState, MessageNumber, MessageOrigin, Reachability,
};
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
    pub fn add_recorded_machine(
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

    /// Machines that have to be asked what they hold, or whether orders reach them. Those that have
    /// shown our term are asked without it: whoever answers learns nothing from the question.
    pub fn fence_targets(&self) -> Vec<DirectOrderTarget> {
        let asked = self.cluster.machines.values().filter(|machine| {
            !machine.addr.is_empty()
                && machine.state() != MachineState::Deleting
                && (machine.reachability() == Reachability::Unreachable
                    || machine.messages.numbering_may_have_restarted()
                    || machine.doubt.is_some_and(|doubt| doubt.is_due)
                    || self.is_unreconciled(machine.name.as_str()))
        });
        asked
            .map(|machine| DirectOrderTarget {
                machine: machine.name.clone(),
                addr: machine.addr.clone(),
                agent_epoch: machine.messages.newest().agent_epoch.max(AgentEpoch::FIRST),
                purpose: if machine.messages.has_shown(self.term) {
                    DirectPurpose::Inspect
                } else {
                    DirectPurpose::Order
                },
            })
            .collect()
    }

    /// The newest message known of a machine: what it says in answer to a question asked after
    /// this is newer.
    pub fn newest_message(&self, name: &str) -> MessageNumber {
        let machine = self.cluster.machines.get(name);
        machine.map(|machine| machine.messages.newest()).unwrap_or_default()
    }

    /// Direct orders, or a question, leave for a machine. It has to be followed by
    /// [`Self::on_direct_orders_answer`] or [`Self::on_direct_exchange_failed`].
    pub fn begin_direct_exchange(
        &mut self,
        name: &str,
        purpose: DirectPurpose,
        now: Instant,
    ) -> DirectExchange {
        let known = self.newest_message(name);
        let term = self.term;
        let machine = self.cluster.machines.get_mut(name);
        let may_expose_term = purpose == DirectPurpose::Order
            && machine.is_some_and(|machine| machine.exchanges.exposure.note_direct_orders(term));
        DirectExchange { known, asked_at: Some(now), may_expose_term }
    }

    /// A machine's answer to direct orders, or to a question.
    pub fn on_direct_orders_answer(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        exchange: impl Into<DirectExchange>,
        now: Instant,
    ) -> Verdict {
        let exchange = exchange.into();
        if let Some(machine) = self.cluster.machines.get_mut(&heartbeat.machine) {
            if exchange.may_expose_term {
                let by_known_process = machine.is_of_known_process(heartbeat);
                machine.exchanges.exposure.end_direct_orders(by_known_process);
            }
        }
        let origin = MessageOrigin::DirectAnswer { asked_at: exchange.asked_at };
        let verdict = self.on_heartbeat(heartbeat, origin, now);
        if MessageNumber::from(heartbeat) <= exchange.known {
            self.return_restarted_machine(heartbeat.machine.as_str());
        }
        verdict
    }

    /// Direct orders, or a question, have no answer that can be used.
    pub fn on_direct_exchange_failed(&mut self, name: &str, exchange: DirectExchange) {
        self.on_direct_orders_unanswered(name);
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            if exchange.may_expose_term {
                machine.exchanges.exposure.end_direct_orders(false);
            }
        }
    }

    /// Returns machines of which nothing has proved for longer than a worker's lease what they
    /// hold, though their heartbeats come: neither answers nor questions reach them, so what runs
    /// there has lost its lease.
    pub(super) fn return_doubtful_machines(&mut self, now: Instant) {
        let expiry_after = self.cluster.config.lease_expiry_after();
        let mut returned = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let Some(doubt) = machine.doubt.as_mut() else { continue };
            doubt.tick(now);
            if doubt.is_older_than(expiry_after, now) {
                returned.push(machine.name.clone());
            }
        }
        for name in returned {
            self.return_machine(name.as_str(), "what it holds is in doubt; machine returned");
        }
    }

    /// A worker that restarts its numbering has lost all its tasks, and its numbers no longer tell
    /// old heartbeats from new ones. So it is not trusted again: the machine is returned.
    pub(super) fn return_restarted_machine(&mut self, name: &str) {
        self.return_machine(name, "worker restarted its numbering; machine returned");
    }

    /// Returns a machine at once, with all that it may hold; the answered deletion shows that
    /// nothing of it runs any more (S5b).
    fn return_machine(&mut self, name: &str, reason: &'static str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if machine.state() != MachineState::Deleting {
            machine.enter(MachineState::Deleting);
            self.last_delete = None;
            self.log_machine_event(name, reason);
        }
    }

    /// A few machines that don't answer hold up every task claimed before, until their workers'
    /// leases expire or the list drops them half a minute later. Returned ones are surely gone
    /// (S5b), so those few are given up. Where many are silent it is more likely a zone, or this
    /// controller, that is cut off: then their tasks are worth the wait.
    pub(super) fn advance_reconciliation(&mut self, now: Instant) {
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
        for name in self.unresponsive_machines() {
            self.return_machine(name.as_str(), "no answer after the failover; machine returned");
        }
    }

    /// Unreconciled machines that did not answer several questions in a row.
    fn unresponsive_machines(&self) -> Vec<MachineName> {
        let is_silent = |name: &&MachineName| {
            let machine = self.cluster.machines.get(*name);
            machine.is_some_and(|machine| machine.unanswered() >= GIVEN_UP_AFTER)
        };
        self.reconciliation.machines().filter(is_silent).cloned().collect()
    }

    /// A machine did not answer direct orders in time.
    pub fn on_direct_orders_unanswered(&mut self, name: &str) {
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
