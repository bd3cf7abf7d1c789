//! Workers' heartbeats: which of them count, and what they prove.

mod absences;
mod exits;
mod run_times;
mod task_status;

use super::{direct_orders, Action, Scheduler};
use crate::cluster::Cluster;
use crate::machine::{
    Machine, MachineTaskState, MessageNumber, MessageOrdering, MessageOrigin, TaskAttempt,
    TaskUncertainty,
};
use absences::Absences;
use corkfield_wire::worker::{Order, WorkerHeartbeat};
use corkfield_wire::Term;
use std::time::{Duration, Instant};

/// A heartbeat that came later than this many intervals after the one before tells nothing of run
/// times.
const PROMPT_INTERVALS: f64 = 1.5;

/// What to do with a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was taken.
    Accept,
    /// Older than what is known, or of a machine that is gone: no answer with 200.
    Stale,
    /// The worker has seen a higher term than ours.
    HigherTerm(Term),
    /// It was taken, but our answers may not reach the worker: one more with 200 would only seem to
    /// renew its lease. A direct order tells.
    AnswersInDoubt,
}

/// What of a heartbeat matters to each task that it shows, or lacks.
struct Receipt {
    /// How it came.
    origin: MessageOrigin,
    /// What proves when it was written.
    evidence: MessageOrdering,
    /// Tasks known of the machine that it does not show.
    absent: Vec<TaskAttempt>,
    /// The number of the message.
    number: MessageNumber,
    /// The time since the machine's message before, if that is no longer than usual.
    prompt_gap: Option<Duration>,
    /// When it came.
    now: Instant,
}

impl Scheduler {
    /// Takes a message of a worker: one of its own heartbeats, or its answer to direct orders.
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
        if self.gone.contains(heartbeat.machine.as_str()) {
            return Verdict::Stale;
        }
        let our_term = self.term;
        let prompt = self.cluster.config.heartbeat_interval.mul_f64(PROMPT_INTERVALS);
        let number = MessageNumber::from(heartbeat);
        let machine = self.machine_of(heartbeat, now);
        if machine.message_history.is_outdated(number) {
            if origin.is_own_heartbeat() {
                machine.message_history.record_outdated_heartbeat(number);
            }
            return Verdict::Stale;
        }
        let absent = machine.tasks.absent_from(heartbeat);
        if machine.message_history.has_reported_higher_term(heartbeat.term)
            || machine.is_from_other_process(&absent, heartbeat.agent_epoch)
        {
            self.return_restarted(heartbeat.machine.as_str());
            return Verdict::Stale;
        }
        if heartbeat.term == our_term {
            machine.ordering_tracker.term_exposure.record_reported(our_term, number);
        }
        let evidence = machine.ordering_tracker.order_message(origin, heartbeat.term, our_term);
        if machine.may_predate_newest_message(&absent, &evidence) {
            machine.task_uncertainty = Some(
                TaskUncertainty::from_missing_tasks(now).keeping_start_of(machine.task_uncertainty),
            );
            return Verdict::Stale;
        }
        let gap = machine.apply_message(heartbeat, origin, &evidence, now);
        if machine.update_fence(heartbeat, our_term) {
            let prompt_gap = gap.filter(|gap| *gap <= prompt);
            let receipt = Receipt { origin, evidence, absent, number, prompt_gap, now };
            self.on_fresh_heartbeat(heartbeat, &receipt);
        }
        if origin.is_own_heartbeat() && self.withholds_answer(heartbeat.machine.as_str(), now) {
            return Verdict::AnswersInDoubt;
        }
        Verdict::Accept
    }

    /// Whether an answer to the machine would only seem to renew a lease that something rests on.
    fn withholds_answer(&self, name: &str, now: Instant) -> bool {
        self.cluster.machines.get(name).is_some_and(|machine| {
            machine.lease.should_withhold_answer(now)
                && (!machine.tasks.is_empty() || self.is_unreconciled(name))
        })
    }

    /// The machine that a heartbeat is of; one that was not known is known from now on.
    fn machine_of(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> &mut Machine {
        let Cluster { machines, machine_types, .. } = &mut self.cluster;
        machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::from_heartbeat(heartbeat, machine_types, now))
    }

    /// Takes a heartbeat of a fenced machine: it shows what the machine holds (S7).
    fn on_fresh_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, receipt: &Receipt) {
        let name = &heartbeat.machine;
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.lease.restart_if_expired(receipt.now);
            if let Some(record) = machine.begin_record_write() {
                self.actions.push(Action::Record(name.clone(), record));
            }
        }
        self.sync_tasks(heartbeat, receipt);
        self.reconciliation.note_reconciled(name.as_str(), receipt.now);
        if heartbeat.notice_s.is_some() {
            self.save_noticed(name.as_str());
        }
    }

    /// Brings the tasks known of a machine in line with its heartbeat.
    fn sync_tasks(&mut self, heartbeat: &WorkerHeartbeat, receipt: &Receipt) {
        let name = &heartbeat.machine;
        let mut newest_start_taken = None;
        for status in &heartbeat.tasks {
            let start_taken = self.sync_task(name.as_str(), status, receipt);
            newest_start_taken = newest_start_taken.max(start_taken);
        }
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let absences = Absences::of(machine, receipt, newest_start_taken);
        machine.task_uncertainty = absences.doubt(machine.task_uncertainty, receipt);
        let Absences { lost, start_lost, .. } = absences;
        let start_taken = newest_start_taken.is_some();
        if start_taken || start_lost {
            machine.update_reachability(start_taken);
        }
        for key in lost {
            self.release_task(name.as_str(), &key);
        }
    }

    /// Has the tasks of a machine that is about to be taken save checkpoints, where they can.
    fn save_noticed(&mut self, name: &str) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let mut saving: Vec<(TaskAttempt, Duration)> = Vec::new();
        for (key, machine_task) in machine.tasks.iter() {
            let Some(job) = jobs.get(&key.task.job).filter(|job| job.can_save_checkpoints()) else {
                continue;
            };
            if machine_task.state == MachineTaskState::Running && machine_task.stop_grace.is_none()
            {
                saving.push((key.clone(), job.stop_grace()));
            }
        }
        let stops: Vec<Order> =
            saving.iter().filter_map(|(key, grace)| machine.stop_task(key, *grace)).collect();
        if !stops.is_empty() {
            self.actions.push(direct_orders(machine, stops));
        }
    }
}
