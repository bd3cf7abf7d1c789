//! Known tasks of a machine that its heartbeat does not list. A heartbeat proves that such a task is
//! not on the machine only if it was written after the task's start was executed or dropped (S5a).

use super::HeartbeatContext;
use crate::machine::{
    Machine, MachineTask, MachineTaskState, MessageNumber, TaskAttempt, TaskUncertainty,
};
use std::time::Instant;

/// What a heartbeat proves about one known task that it does not list.
enum Absence {
    /// The task is provably not on the machine.
    Lost,
    /// The start of the task was sent at this time. The worker may have executed it after it wrote
    /// the heartbeat, or may still execute it.
    StartUnconfirmed(Instant),
    /// Nothing is proved about the task.
    Unknown,
}

/// What a heartbeat proves about the known tasks that it does not list.
pub(super) struct AbsentTasks {
    /// Tasks that are provably not on the machine.
    pub(super) lost_tasks: Vec<TaskAttempt>,
    /// Whether this is one of the worker's own heartbeats and does not list a task whose start was
    /// sent with the answer to an earlier one of them.
    pub(super) is_start_undelivered: bool,
    /// When the newest start that is classified as [`Absence::StartUnconfirmed`] was sent.
    newest_unconfirmed_start_at: Option<Instant>,
}

impl AbsentTasks {
    /// Classifies the known tasks of a machine that its heartbeat does not list.
    ///
    /// If the heartbeat is the first to list tasks whose starts this leader sent,
    /// `newest_confirmed_start` is the heartbeat whose answer carried the newest of those starts.
    /// The heartbeat at hand was written after the worker received that answer.
    pub(super) fn classify(
        machine: &Machine,
        context: &HeartbeatContext,
        newest_confirmed_start: Option<MessageNumber>,
    ) -> Self {
        let mut absent = Self {
            lost_tasks: Vec::new(),
            is_start_undelivered: false,
            newest_unconfirmed_start_at: None,
        };
        for key in &context.absent_tasks {
            let Some(task) = machine.tasks.get(key) else { continue };
            let absence = context.classify_absence(task, newest_confirmed_start);
            let may_be_undelivered = task.is_ordered() && context.origin.is_own_heartbeat();
            absent.is_start_undelivered |=
                may_be_undelivered && !matches!(absence, Absence::Unknown);
            match absence {
                Absence::Lost => absent.lost_tasks.push(key.clone()),
                Absence::StartUnconfirmed(sent_at) => absent.add_unconfirmed_start(sent_at),
                Absence::Unknown => {}
            }
        }
        absent
    }

    fn add_unconfirmed_start(&mut self, sent_at: Instant) {
        let newest = self.newest_unconfirmed_start_at.map_or(sent_at, |newest| newest.max(sent_at));
        self.newest_unconfirmed_start_at = Some(newest);
    }

    /// Returns the uncertainty about the machine's tasks after this heartbeat, given the
    /// uncertainty before it.
    pub(super) fn updated_uncertainty(
        &self,
        previous: Option<TaskUncertainty>,
        context: &HeartbeatContext,
    ) -> Option<TaskUncertainty> {
        // The answer to a direct request creates no new uncertainty: the start that it lacks may
        // simply be in transit.
        if previous.is_none() && !context.origin.is_own_heartbeat() {
            return None;
        }
        let sent_at = self.newest_unconfirmed_start_at?;
        Some(
            TaskUncertainty::from_unconfirmed_starts(sent_at, context.received_at)
                .keeping_start_of(previous),
        )
    }
}

impl HeartbeatContext {
    /// Returns what the heartbeat proves about a known task that it does not list.
    fn classify_absence(
        &self,
        machine_task: &MachineTask,
        newest_confirmed_start: Option<MessageNumber>,
    ) -> Absence {
        let Some(answered) = machine_task.state.answered_heartbeat() else {
            return match machine_task.state {
                MachineTaskState::Assigned => Absence::Unknown,
                _ => Absence::Lost,
            };
        };
        // A start is sent only in the answer to a heartbeat, and the worker drops an answer that
        // arrives too late (S3). A message that was provably written after the answer arrived or
        // was dropped shows whether the start was executed.
        let sent_at = machine_task.state_since;
        if self.number <= answered {
            Absence::Unknown
        } else if newest_confirmed_start >= Some(answered)
            || self.ordering.is_after_answer_to(answered, sent_at)
        {
            Absence::Lost
        } else {
            Absence::StartUnconfirmed(sent_at)
        }
    }
}
