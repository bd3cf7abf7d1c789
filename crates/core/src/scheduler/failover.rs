//! Failover: which machines earlier leaders may have used, and when each is accounted for (S7).

use super::{DirectOrderTarget, DirectPurpose, Scheduler, Verdict};
use crate::machine::{
    Machine, MachineState, MessageNumber, MessageOrigin, PendingDirectRequest, Reachability,
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
        machine.lease.allow_renewal_by_earlier_leader_until(now + self.cluster.config.answer_limit);
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
                    || machine.message_history.may_have_restarted_numbering()
                    || machine.task_uncertainty.is_some_and(|doubt| doubt.is_inspection_due)
                    || self.is_unreconciled(machine.name.as_str()))
        });
        asked
            .map(|machine| DirectOrderTarget {
                machine: machine.name.clone(),
                addr: machine.addr.clone(),
                agent_epoch: machine.message_history.newest().agent_epoch.max(AgentEpoch::FIRST),
                purpose: if machine.message_history.has_reported_term(self.term) {
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
        machine.map(|machine| machine.message_history.newest()).unwrap_or_default()
    }

    /// Direct orders, or a question, leave for a machine. It has to be followed by
    /// [`Self::on_direct_orders_answer`] or [`Self::direct_exchange_failed`].
    pub fn begin_direct_exchange(
        &mut self,
        name: &str,
        purpose: DirectPurpose,
        now: Instant,
    ) -> PendingDirectRequest {
        let known = self.newest_message(name);
        let term = self.term;
        let machine = self.cluster.machines.get_mut(name);
        let may_expose_term = purpose == DirectPurpose::Order
            && machine.is_some_and(|machine| {
                machine.ordering_tracker.term_exposure.record_direct_orders(term)
            });
        PendingDirectRequest { newest_known: known, sent_at: Some(now), may_expose_term }
    }

    /// A machine's answer to direct orders, or to a question.
    pub fn on_direct_orders_answer(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        exchange: impl Into<PendingDirectRequest>,
        now: Instant,
    ) -> Verdict {
        let exchange = exchange.into();
        if let Some(machine) = self.cluster.machines.get_mut(&heartbeat.machine) {
            if exchange.may_expose_term {
                let by_known_process = machine.is_from_known_process(heartbeat);
                machine.ordering_tracker.term_exposure.end_direct_orders(by_known_process);
            }
        }
        let origin = MessageOrigin::DirectAnswer { request_sent_at: exchange.sent_at };
        let verdict = self.on_heartbeat(heartbeat, origin, now);
        if MessageNumber::from(heartbeat) <= exchange.newest_known {
            self.return_restarted(heartbeat.machine.as_str());
        }
        verdict
    }

    /// Direct orders, or a question, have no answer that can be used.
    pub fn direct_exchange_failed(&mut self, name: &str, exchange: PendingDirectRequest) {
        self.direct_orders_unanswered(name);
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            if exchange.may_expose_term {
                machine.ordering_tracker.term_exposure.end_direct_orders(false);
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
            let Some(doubt) = machine.task_uncertainty.as_mut() else { continue };
            doubt.update_due(now);
            if doubt.is_older_than(expiry_after, now) {
                returned.push(machine.name.clone());
            }
        }
        for name in returned {
            self.return_at_once(name.as_str(), "what it holds is in doubt; machine returned");
        }
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
            machine.is_some_and(|machine| machine.unanswered_requests() >= GIVEN_UP_AFTER)
        };
        self.reconciliation.machines().filter(is_silent).cloned().collect()
    }

    /// A machine did not answer direct orders in time.
    pub fn direct_orders_unanswered(&mut self, name: &str) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.record_unanswered_request();
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
