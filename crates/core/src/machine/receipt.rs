//! What a worker's message shows of its machine, against what was known.

use super::{
    Evidence, Machine, MachineState, MachineTask, MessageNumber, MessageOrigin, TaskAttempt,
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
    pub(crate) fn has_lost_one_of(&self, absent: &[TaskAttempt], agent_epoch: AgentEpoch) -> bool {
        agent_epoch == self.messages.newest().agent_epoch && self.has_shown_alive_one_of(absent)
    }

    /// Whether one of these tasks was shown by the newest message, not exited.
    fn has_shown_alive_one_of(&self, tasks: &[TaskAttempt]) -> bool {
        tasks.iter().any(|key| self.tasks.get(key).is_some_and(MachineTask::was_shown_alive))
    }

    /// Whether a message lacks tasks that an earlier agent epoch showed, and nothing proves that it
    /// was written after those messages: it may be of a process before the one that runs them.
    pub(crate) fn may_predate_newest(&self, absent: &[TaskAttempt], evidence: &Evidence) -> bool {
        self.has_shown_alive_one_of(absent)
            && !evidence.is_after_message(self.messages.newest(), self.heard_at)
    }

    /// Whether a message shows an attempt that an earlier one has shown: an attempt is started
    /// once, so the message is of the same process.
    pub(crate) fn is_of_known_process(&self, heartbeat: &WorkerHeartbeat) -> bool {
        heartbeat.tasks.iter().any(|status| {
            let key = TaskAttempt { task: status.task.clone(), attempt: status.attempt };
            self.tasks.get(&key).is_some_and(MachineTask::was_shown)
        })
    }

    /// Takes what a message that is not outdated says of the machine itself, given what proves when
    /// it was written. Returns the time since the message before.
    pub(crate) fn receive(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        origin: MessageOrigin,
        evidence: &Evidence,
        now: Instant,
    ) -> Option<Duration> {
        let number = MessageNumber::from(heartbeat);
        self.messages.accept(number, heartbeat.term);
        self.exchanges.note_taken(origin, number);
        self.unanswered = 0;
        if !origin.is_own_heartbeat() {
            self.note_delivery(true);
        } else if evidence.is_after_newest_exchange() {
            self.lease.note_heartbeat(heartbeat.term);
        } else {
            self.lease.note_doubtful_heartbeat(heartbeat.term);
        }
        self.addr.clone_from(&heartbeat.addr);
        let gap = self.heard_at.map(|at| now.saturating_duration_since(at));
        self.heard_at = Some(now);
        self.notice = heartbeat.termination_notice_s.is_some();
        if self.state == MachineState::Booting {
            self.enter(MachineState::Up);
            self.lease.about_to_answer(now);
        }
        gap
    }
}
