//! Handles workers' heartbeats: decides which of them are accepted, and updates the machines' tasks
//! from them.

mod absent_tasks;
mod exits;
mod run_times;
mod task_status;

use super::{direct_orders_action, Action, Scheduler};
use crate::cluster::Cluster;
use crate::machine::{
    Machine, MachineTaskState, MessageNumber, MessageOrdering, MessageOrigin, TaskAttempt,
    TaskUncertainty,
};
use absent_tasks::AbsentTasks;
use corkfield_wire::worker::{Order, WorkerHeartbeat};
use corkfield_wire::Term;
use std::time::{Duration, Instant};

/// A heartbeat that arrives more than this many heartbeat intervals after the previous one is not
/// used to measure run times.
const MAX_PROMPT_INTERVALS: f64 = 1.5;

/// How the scheduler handled a heartbeat, and whether the caller may answer it with 200.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The heartbeat was accepted and may be answered with 200.
    Accept,
    /// The heartbeat was ignored: it is older than an accepted one or may be, or its machine was
    /// removed, or its worker has restarted its numbering. It must not be answered with 200.
    Stale,
    /// The heartbeat was ignored, because the worker has seen this term, which is higher than ours.
    HigherTerm(Term),
    /// The heartbeat was accepted, but must not be answered with 200. Answers may not reach the
    /// worker, so another one would extend the lease as we compute it, but perhaps not the worker's
    /// lease. A direct request shows whether the worker is reachable.
    AnswersInDoubt,
}

/// Properties of a received heartbeat that are needed to update each of the machine's tasks.
struct HeartbeatContext {
    /// How the message was received.
    origin: MessageOrigin,
    /// What is proved about the time at which the message was written.
    ordering: MessageOrdering,
    /// Tasks that the scheduler knows to be on the machine but that the heartbeat does not list.
    absent_tasks: Vec<TaskAttempt>,
    /// Number of the message.
    number: MessageNumber,
    /// Time since the machine's previous message, or `None` if it is longer than
    /// [`MAX_PROMPT_INTERVALS`] heartbeat intervals.
    prompt_gap: Option<Duration>,
    /// When the message was received.
    received_at: Instant,
}

impl Scheduler {
    /// Handles a message of a worker: one of its own heartbeats, or its answer to a direct request.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        origin: impl Into<MessageOrigin>,
        now: Instant,
    ) -> Verdict {
        let origin = origin.into();
        if heartbeat.term > self.term {
            return Verdict::HigherTerm(heartbeat.term);
        }
        if self.removed_machines.contains(heartbeat.machine.as_str()) {
            return Verdict::Stale;
        }
        let our_term = self.term;
        let max_prompt_gap = self.cluster.config.heartbeat_interval.mul_f64(MAX_PROMPT_INTERVALS);
        let number = MessageNumber::from(heartbeat);
        let machine = self.get_or_insert_machine(heartbeat, now);
        if machine.message_history.is_outdated(number) {
            if origin.is_own_heartbeat() {
                machine.message_history.record_outdated_heartbeat(number);
            }
            return Verdict::Stale;
        }
        let absent_tasks = machine.tasks.absent_from(heartbeat);
        if machine.message_history.has_reported_higher_term(heartbeat.term)
            || machine.is_from_other_process(&absent_tasks, heartbeat.agent_epoch)
        {
            self.delete_restarted_machine(heartbeat.machine.as_str());
            return Verdict::Stale;
        }
        if heartbeat.term == our_term {
            machine.ordering_tracker.term_exposure.record_reported(our_term, number);
        }
        let ordering = machine.ordering_tracker.order_message(origin, heartbeat.term, our_term);
        if machine.may_predate_newest_message(&absent_tasks, &ordering) {
            machine.task_uncertainty = Some(
                TaskUncertainty::from_absent_tasks(now).keeping_start_of(machine.task_uncertainty),
            );
            return Verdict::Stale;
        }
        let gap = machine.apply_message(heartbeat, origin, &ordering, now);
        if machine.update_fence(heartbeat, our_term) {
            let prompt_gap = gap.filter(|gap| *gap <= max_prompt_gap);
            let received_at = now;
            let context = HeartbeatContext {
                origin,
                ordering,
                absent_tasks,
                number,
                prompt_gap,
                received_at,
            };
            self.on_fenced_heartbeat(heartbeat, &context);
        }
        if origin.is_own_heartbeat() && self.must_withhold_answer(heartbeat.machine.as_str(), now) {
            return Verdict::AnswersInDoubt;
        }
        Verdict::Accept
    }

    /// Returns whether a heartbeat of the machine must not be answered with 200. This is so if it is
    /// uncertain whether answers renew the worker's lease, and the machine has tasks or is
    /// unreconciled, so that the lease must be able to expire.
    fn must_withhold_answer(&self, name: &str, now: Instant) -> bool {
        self.cluster.machines.get(name).is_some_and(|machine| {
            machine.lease.should_withhold_answer(now)
                && (!machine.tasks.is_empty() || self.is_unreconciled(name))
        })
    }

    /// Returns the machine whose worker sent a heartbeat; adds the machine if it is unknown.
    fn get_or_insert_machine(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> &mut Machine {
        let Cluster { machines, machine_types, .. } = &mut self.cluster;
        machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::from_heartbeat(heartbeat, machine_types, now))
    }

    /// Handles an accepted heartbeat of a fenced machine: its worker executes no start of an earlier
    /// leader any more, so the heartbeat shows which tasks the machine holds (S7).
    fn on_fenced_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, context: &HeartbeatContext) {
        let name = &heartbeat.machine;
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.lease.restart_if_expired(context.received_at);
            if let Some(record) = machine.begin_record_write() {
                self.actions.push(Action::StoreMachineRecord(name.clone(), record));
            }
        }
        self.sync_tasks(heartbeat, context);
        self.reconciliation.mark_reconciled(name.as_str(), context.received_at);
        if heartbeat.interruption_notice_s.is_some() {
            self.stop_tasks_with_checkpoints(name.as_str());
        }
    }

    /// Updates the known tasks of a machine from its heartbeat.
    fn sync_tasks(&mut self, heartbeat: &WorkerHeartbeat, context: &HeartbeatContext) {
        let name = &heartbeat.machine;
        let mut newest_confirmed_start = None;
        for status in &heartbeat.tasks {
            let confirmed_start = self.sync_task(name.as_str(), status, context);
            newest_confirmed_start = newest_confirmed_start.max(confirmed_start);
        }
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let absent = AbsentTasks::classify(machine, context, newest_confirmed_start);
        machine.task_uncertainty = absent.updated_uncertainty(machine.task_uncertainty, context);
        let AbsentTasks { lost_tasks, is_start_undelivered, .. } = absent;
        let is_start_confirmed = newest_confirmed_start.is_some();
        if is_start_confirmed || is_start_undelivered {
            machine.update_reachability(is_start_confirmed);
        }
        for key in lost_tasks {
            self.release_task(name.as_str(), &key);
        }
    }

    /// Stops the running tasks that save checkpoints on a machine with an interruption notice. Each
    /// task gets the grace period that its job needs to save.
    fn stop_tasks_with_checkpoints(&mut self, name: &str) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let mut to_stop: Vec<(TaskAttempt, Duration)> = Vec::new();
        for (key, machine_task) in machine.tasks.iter() {
            let Some(job) = jobs.get(&key.task.job).filter(|job| job.can_save_checkpoints()) else {
                continue;
            };
            if machine_task.state == MachineTaskState::Running && machine_task.stop_grace.is_none()
            {
                to_stop.push((key.clone(), job.stop_grace()));
            }
        }
        let stops: Vec<Order> =
            to_stop.iter().filter_map(|(key, grace)| machine.stop_task(key, *grace)).collect();
        if !stops.is_empty() {
            self.actions.push(direct_orders_action(machine, stops));
        }
    }
}
