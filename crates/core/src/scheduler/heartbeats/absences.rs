//! Tasks that a heartbeat does not show, and what it proves of them (S5a).

use super::Receipt;
use crate::machine::{
    Machine, MachineTask, MachineTaskState, MessageNumber, TaskAttempt, TaskUncertainty,
};
use std::time::Instant;

/// What a heartbeat proves of one task that it lacks.
enum Absence {
    /// It is surely not on the machine.
    Lost,
    /// Its start, which left at that time, may still be carried out, or may have been.
    StartInDoubt(Instant),
    /// Nothing.
    Unknown,
}

/// What a heartbeat proves of the tasks that it lacks.
pub(super) struct Absences {
    /// Tasks that are surely not on the machine.
    pub(super) lost: Vec<TaskAttempt>,
    /// One of the worker's own heartbeats lacks a start that was sent before it.
    pub(super) start_lost: bool,
    /// When the newest start left that may still be on the machine.
    newest_doubtful_start: Option<Instant>,
}

impl Absences {
    /// What a message proves of the tasks of its machine that it lacks. It may be the first to show
    /// starts, the newest of them sent with the answer to the heartbeat given: it was written after
    /// that answer was taken.
    pub(super) fn of(
        machine: &Machine,
        receipt: &Receipt,
        newest_start_taken: Option<MessageNumber>,
    ) -> Self {
        let mut absences =
            Self { lost: Vec::new(), start_lost: false, newest_doubtful_start: None };
        for key in &receipt.absent {
            let Some(task) = machine.tasks.get(key) else { continue };
            let absence = receipt.absence_of(task, newest_start_taken);
            let is_shown_lost = task.is_ordered() && receipt.origin.is_own_heartbeat();
            absences.start_lost |= is_shown_lost && !matches!(absence, Absence::Unknown);
            match absence {
                Absence::Lost => absences.lost.push(key.clone()),
                Absence::StartInDoubt(left_at) => absences.note_doubtful(left_at),
                Absence::Unknown => {}
            }
        }
        absences
    }

    fn note_doubtful(&mut self, left_at: Instant) {
        let newest = self.newest_doubtful_start.map_or(left_at, |newest| newest.max(left_at));
        self.newest_doubtful_start = Some(newest);
    }

    /// The doubt about the machine after that message, given the one before.
    pub(super) fn doubt(
        &self,
        before: Option<TaskUncertainty>,
        receipt: &Receipt,
    ) -> Option<TaskUncertainty> {
        // An answer to direct orders raises none: a start may just be on its way.
        if before.is_none() && !receipt.origin.is_own_heartbeat() {
            return None;
        }
        let left_at = self.newest_doubtful_start?;
        Some(
            TaskUncertainty::from_unconfirmed_starts(left_at, receipt.now).keeping_start_of(before),
        )
    }
}

impl Receipt {
    /// What the message proves of a task that it lacks.
    fn absence_of(
        &self,
        machine_task: &MachineTask,
        newest_start_taken: Option<MessageNumber>,
    ) -> Absence {
        let Some(answered) = machine_task.state.answered_heartbeat() else {
            return match machine_task.state {
                MachineTaskState::Assigned => Absence::Unknown,
                _ => Absence::Lost,
            };
        };
        // A start travels only in the answer to a heartbeat, and the worker drops it after a while
        // (S3). What was surely written after that shows whether it was carried out.
        let left_at = machine_task.state_since;
        if self.number <= answered {
            Absence::Unknown
        } else if newest_start_taken >= Some(answered)
            || self.evidence.is_after_answer_to(answered, left_at)
        {
            Absence::Lost
        } else {
            Absence::StartInDoubt(left_at)
        }
    }
}
