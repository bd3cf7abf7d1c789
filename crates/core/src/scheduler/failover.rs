//! Failover: a new leader finds out which tasks earlier leaders have started. A task that may have
//! been started is not started again until every machine recorded by an earlier leader is accounted
//! for (S7).

use super::{DirectPurpose, DirectRequestTarget, Scheduler, Verdict};
use crate::machine::{
    Machine, MachineState, MessageNumber, MessageOrigin, PendingDirectRequest, Reachability,
};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::{AgentEpoch, MachineName};
use std::time::{Duration, Instant};

/// After a failover, machines have one heartbeat interval plus this time to report their tasks
/// before they may be deleted as unresponsive.
const RECONCILIATION_GRACE: Duration = Duration::from_secs(2);
/// Unresponsive machines are deleted only while at most this many machines are unreconciled, or one
/// in [`DELETION_LIMIT_DIVISOR`] of all machines if that is more. In a small fleet the limit is at
/// most half of the machines, so that most of the fleet is never deleted.
const BASE_DELETION_LIMIT: usize = 2;
/// See [`BASE_DELETION_LIMIT`].
const DELETION_LIMIT_DIVISOR: usize = 8;
/// A machine counts as unresponsive only after this many direct requests in a row without an
/// answer. A leader that is busy with the heartbeats of a whole fleet may not have sent a request
/// to every machine yet.
const UNRESPONSIVE_AFTER: u32 = 2;

impl Scheduler {
    /// Adds a machine on which an earlier leader may have started tasks, as its record shows.
    ///
    /// Tasks that an earlier owner may have started are not started again until the machine has
    /// sent a heartbeat under our term, is removed, or its worker's lease has expired (S7). The
    /// record was written at least `age` ago.
    pub fn add_recorded_machine(
        &mut self,
        name: &str,
        record: &MachineRecord,
        age: Duration,
        now: Instant,
    ) {
        let types = &self.cluster.machine_types;
        let mut machine = Machine::from_record(name, record, types, age, now);
        // S6: the previous leader may still answer heartbeats, and thereby renew the worker's lease,
        // for up to the answer limit.
        machine.lease.allow_renewal_by_earlier_leader_until(now + self.cluster.config.answer_limit);
        self.reconciliation.add(name, now);
        self.cluster.machines.insert(MachineName::from(name), machine);
    }

    /// Returns the machines to which a direct request has to be sent, to find out which tasks they
    /// hold or whether orders reach them.
    ///
    /// Machines that have reported our term are inspected: that request does not carry the term, so
    /// another process of the worker does not learn it. All others are fenced with an empty list of
    /// orders, which carries our term.
    pub fn direct_request_targets(&self) -> Vec<DirectRequestTarget> {
        let targets = self.cluster.machines.values().filter(|machine| {
            !machine.addr.is_empty()
                && machine.state() != MachineState::Deleting
                && (machine.reachability() == Reachability::Unreachable
                    || machine.message_history.may_have_restarted_numbering()
                    || machine
                        .task_uncertainty
                        .is_some_and(|uncertainty| uncertainty.is_inspection_due)
                    || self.is_unreconciled(machine.name.as_str()))
        });
        targets
            .map(|machine| DirectRequestTarget {
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

    /// Returns the number of the newest message accepted from a machine's worker. The answer to a
    /// request that is sent after this call has a higher number, unless the worker has restarted
    /// its numbering.
    pub fn newest_message(&self, name: &str) -> MessageNumber {
        let machine = self.cluster.machines.get(name);
        machine.map(|machine| machine.message_history.newest()).unwrap_or_default()
    }

    /// Begins a direct request to a machine: the caller is about to send it.
    ///
    /// The caller must report the outcome with [`Self::on_direct_request_answered`] or
    /// [`Self::on_direct_request_failed`].
    pub fn begin_direct_request(
        &mut self,
        name: &str,
        purpose: DirectPurpose,
        now: Instant,
    ) -> PendingDirectRequest {
        let newest_known = self.newest_message(name);
        let term = self.term;
        let machine = self.cluster.machines.get_mut(name);
        let may_expose_term = purpose == DirectPurpose::Order
            && machine.is_some_and(|machine| {
                machine.ordering_tracker.term_exposure.record_direct_orders(term)
            });
        PendingDirectRequest { newest_known, sent_at: Some(now), may_expose_term }
    }

    /// Handles a worker's answer to a direct request. The answer has the form of a heartbeat.
    pub fn on_direct_request_answered(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        request: impl Into<PendingDirectRequest>,
        now: Instant,
    ) -> Verdict {
        let request = request.into();
        if let Some(machine) = self.cluster.machines.get_mut(&heartbeat.machine) {
            if request.may_expose_term {
                let by_known_process = machine.is_from_known_process(heartbeat);
                machine.ordering_tracker.term_exposure.end_direct_orders(by_known_process);
            }
        }
        let origin = MessageOrigin::DirectAnswer { request_sent_at: request.sent_at };
        let verdict = self.on_heartbeat(heartbeat, origin, now);
        if MessageNumber::from(heartbeat) <= request.newest_known {
            self.delete_restarted_machine(heartbeat.machine.as_str());
        }
        verdict
    }

    /// Handles a direct request without a usable answer.
    pub fn on_direct_request_failed(&mut self, name: &str, request: PendingDirectRequest) {
        self.on_direct_request_unanswered(name);
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            if request.may_expose_term {
                machine.ordering_tracker.term_exposure.end_direct_orders(false);
            }
        }
    }

    /// Deletes machines whose tasks have been uncertain for longer than the lease expiry timeout,
    /// although heartbeats arrive from them. Neither answers nor direct requests reach such a
    /// machine, so the lease under which its tasks were started has expired.
    pub(super) fn delete_uncertain_machines(&mut self, now: Instant) {
        let expiry_timeout = self.cluster.config.lease_expiry_timeout();
        let mut uncertain = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let Some(uncertainty) = machine.task_uncertainty.as_mut() else { continue };
            uncertainty.update_inspection_due(now);
            if uncertainty.is_older_than(expiry_timeout, now) {
                uncertain.push(machine.name.clone());
            }
        }
        for name in uncertain {
            self.delete_machine(name.as_str(), "what it holds is in doubt; machine returned");
        }
    }

    /// Deletes a machine whose worker has restarted its message numbering. The worker has lost all
    /// its tasks, and its numbers no longer tell which of two heartbeats is the older, so its
    /// messages cannot be trusted any more.
    pub(super) fn delete_restarted_machine(&mut self, name: &str) {
        self.delete_machine(name, "worker restarted its numbering; machine returned");
    }

    /// Marks a machine for deletion without draining it, and logs the reason. The cloud's answer to
    /// the deletion proves that none of the machine's tasks runs any more (S5b).
    fn delete_machine(&mut self, name: &str, reason: &'static str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if machine.state() != MachineState::Deleting {
            machine.transition_to(MachineState::Deleting);
            self.last_deletion_retry = None;
            self.log_machine_event(name, reason);
        }
    }

    /// Finishes a complete reconciliation, or deletes the last unreconciled machines if they are
    /// few and unresponsive.
    ///
    /// A few unresponsive machines delay every task that an earlier leader may have started, until
    /// their workers' leases expire or the cloud's list omits them half a minute later. Once
    /// the cloud has answered a machine's deletion, the machine provably holds no task (S5b). If
    /// many machines don't respond, a zone or this controller is more likely to be disconnected.
    /// The machines probably still run their tasks then, so the leader waits for their heartbeats.
    pub(super) fn advance_reconciliation(&mut self, now: Instant) {
        let Some(elapsed) = self.reconciliation.elapsed(now) else {
            return;
        };
        let machines = self.cluster.machines.len();
        if self.reconciliation.is_complete() {
            let waited_s = elapsed.as_secs_f64();
            tracing::info!(machines, waited_s, "all machines accounted for after the failover");
            self.reconciliation.finish();
            return;
        }
        let deletion_limit =
            BASE_DELETION_LIMIT.min(machines / 2).max(machines / DELETION_LIMIT_DIVISOR);
        let grace = self.cluster.config.heartbeat_interval + RECONCILIATION_GRACE;
        if elapsed < grace
            || !self.reconciliation.is_stalled(now)
            || self.reconciliation.len() > deletion_limit
        {
            return;
        }
        for name in self.unresponsive_machines() {
            self.delete_machine(name.as_str(), "no answer after the failover; machine returned");
        }
    }

    /// Returns the unreconciled machines that left several direct requests in a row unanswered.
    fn unresponsive_machines(&self) -> Vec<MachineName> {
        let is_unresponsive = |name: &&MachineName| {
            let machine = self.cluster.machines.get(*name);
            machine.is_some_and(|machine| machine.unanswered_requests() >= UNRESPONSIVE_AFTER)
        };
        self.reconciliation.machines().filter(is_unresponsive).cloned().collect()
    }

    /// Counts a direct request that a machine's worker did not answer in time. A caller that has
    /// begun a request calls [`Self::on_direct_request_failed`] instead, which calls this method.
    pub fn on_direct_request_unanswered(&mut self, name: &str) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.record_unanswered_request();
        }
    }

    /// Returns whether all tasks that earlier leaders started are accounted for.
    pub fn is_reconciled(&self) -> bool {
        self.reconciliation.is_complete()
    }

    /// Returns whether the machine may hold tasks of earlier leaders that are not known yet. Such
    /// tasks must not be started again (S7), and must be counted against the teams' limits (S8).
    pub(crate) fn is_unreconciled(&self, machine: &str) -> bool {
        self.reconciliation.contains(machine)
    }
}
