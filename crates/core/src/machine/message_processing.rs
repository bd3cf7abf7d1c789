//! What a worker's message shows of its machine, against what was known.

use super::{
    Machine, MachineState, MachineTask, MessageNumber, MessageOrdering, MessageOrigin, TaskAttempt,
};
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::AgentEpoch;
use std::time::{Duration, Instant};

impl Machine {
    /// Whether one of the tasks that a message lacks was shown by an earlier one of its agent
    /// epoch, not exited. A task stays in the heartbeats until its worker was ordered to forget
    /// it, which is done only once it has exited. So the message is of another process than the
    /// earlier one: the worker was back within an instant and counts anew, or the message is of the
    /// process before that, and was held back. It says nothing of what the machine holds.
    pub(crate) fn is_from_other_process(
        &self,
        absent: &[TaskAttempt],
        agent_epoch: AgentEpoch,
    ) -> bool {
        agent_epoch == self.message_history.newest().agent_epoch
            && self.has_reported_live_task_of(absent)
    }

    /// Whether one of these tasks was shown by the newest message, not exited.
    fn has_reported_live_task_of(&self, tasks: &[TaskAttempt]) -> bool {
        tasks.iter().any(|key| self.tasks.get(key).is_some_and(MachineTask::was_reported_live))
    }

    /// Whether a message lacks tasks that an earlier agent epoch showed, and nothing proves that it
    /// was written after those messages: it may be of a process before the one that runs them.
    pub(crate) fn may_predate_newest_message(
        &self,
        absent: &[TaskAttempt],
        ordering: &MessageOrdering,
    ) -> bool {
        self.has_reported_live_task_of(absent)
            && !ordering.is_after_message(self.message_history.newest(), self.last_message_at)
    }

    /// Whether a message shows an attempt that an earlier one has shown: an attempt is started
    /// once, so the message is of the same process.
    pub(crate) fn is_from_known_process(&self, heartbeat: &WorkerHeartbeat) -> bool {
        heartbeat.tasks.iter().any(|status| {
            let key = TaskAttempt { task: status.task.clone(), attempt: status.attempt };
            self.tasks.get(&key).is_some_and(MachineTask::was_reported)
        })
    }

    /// Takes what a message that is not outdated says of the machine itself, given what proves when
    /// it was written. Returns the time since the message before.
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
        self.has_interruption_notice = heartbeat.notice_s.is_some();
        if self.state == MachineState::Booting {
            self.enter(MachineState::Up);
            self.lease.assume_renewed_at(now);
        }
        gap
    }
}
