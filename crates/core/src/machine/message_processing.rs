//! Checks of a worker's message against what earlier messages reported, and its effect on the
//! machine.

use super::{
    Machine, MachineState, MachineTask, MessageNumber, MessageOrdering, MessageOrigin, TaskAttempt,
};
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::AgentEpoch;
use std::time::{Duration, Instant};

impl Machine {
    /// Returns whether a message with the given agent epoch comes from another process than the
    /// newest accepted message, although both have the same epoch. `absent` are the known tasks
    /// that the message does not report.
    ///
    /// A worker reports a task until it is ordered to forget it, which happens only after the task
    /// has exited. So a message of the same process can't lack a task that the newest message of
    /// its epoch reported as not exited. Either the worker restarted at once and restarted its
    /// numbering, or the message was delayed and comes from an earlier process. In both cases the
    /// message proves nothing about the tasks on the machine.
    pub(crate) fn is_from_other_process(
        &self,
        absent: &[TaskAttempt],
        agent_epoch: AgentEpoch,
    ) -> bool {
        agent_epoch == self.message_history.newest().agent_epoch
            && self.has_reported_live_task_of(absent)
    }

    /// Returns whether the newest message reported any of these tasks as not exited.
    fn has_reported_live_task_of(&self, tasks: &[TaskAttempt]) -> bool {
        tasks.iter().any(|key| self.tasks.get(key).is_some_and(MachineTask::was_reported_live))
    }

    /// Returns whether a message may have been written before the newest accepted message. It lacks
    /// the tasks `absent`, some of which the newest message reported as not exited, and nothing
    /// proves that it was written later. The message may come from an earlier process than the one
    /// that runs these tasks.
    pub(crate) fn may_predate_newest_message(
        &self,
        absent: &[TaskAttempt],
        ordering: &MessageOrdering,
    ) -> bool {
        self.has_reported_live_task_of(absent)
            && !ordering.is_after_message(self.message_history.newest(), self.last_message_at)
    }

    /// Returns whether a message comes from the same process as an earlier one: it reports an
    /// attempt that an earlier message reported, and an attempt is started only once.
    pub(crate) fn is_from_known_process(&self, heartbeat: &WorkerHeartbeat) -> bool {
        heartbeat.tasks.iter().any(|status| {
            let key = TaskAttempt { task: status.task.clone(), attempt: status.attempt };
            self.tasks.get(&key).is_some_and(MachineTask::was_reported)
        })
    }

    /// Updates the machine from a message that is not outdated; the tasks in it are processed
    /// separately. Returns the time since the previous message.
    pub(crate) fn apply_message(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        origin: MessageOrigin,
        ordering: &MessageOrdering,
        now: Instant,
    ) -> Option<Duration> {
        let number = MessageNumber::from(heartbeat);
        self.message_history.accept(number, heartbeat.term);
        self.ordering_tracker.record_accepted(origin, number);
        self.unanswered_requests = 0;
        if !origin.is_own_heartbeat() {
            self.update_reachability(true);
        } else if ordering.is_after_newest_answer() {
            self.lease.record_ordered_heartbeat(heartbeat.term);
        } else {
            self.lease.record_unordered_heartbeat(heartbeat.term);
        }
        self.addr.clone_from(&heartbeat.addr);
        let gap = self.last_message_at.map(|at| now.saturating_duration_since(at));
        self.last_message_at = Some(now);
        self.has_interruption_notice = heartbeat.interruption_notice_s.is_some();
        if self.state == MachineState::Booting {
            self.transition_to(MachineState::Up);
            self.lease.assume_renewed_at(now);
        }
        gap
    }
}
