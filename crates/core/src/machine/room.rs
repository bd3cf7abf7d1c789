//! Room of a machine for further tasks. Placement and scaling share this definition, so that scaling
//! counts nothing as supply that placement would not use.

use super::{Machine, Resources};

/// How many further tasks a machine gets, whatever its free resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TaskLimit {
    /// As many as fit.
    Unlimited,
    /// One at a time, because a task has failed there and none has completed there since.
    OneTask,
    /// One at a time, and only of a long-waiting job for which no other machine has room, because
    /// the machine is slow.
    OneLongWaitingTask,
}

/// Room of a machine for further tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TaskRoom {
    /// Resources that no task uses.
    pub(crate) free: Resources,
    /// How many further tasks the machine gets.
    pub(crate) limit: TaskLimit,
}

impl Machine {
    /// Returns the machine's room for further tasks. Returns `None` if its free resources are
    /// unknown, or if it gets only one task at a time and already has one.
    pub(crate) fn task_room(&self) -> Option<TaskRoom> {
        let free = self.free_resources()?;
        let limit = self.task_limit();
        let may_get_tasks = limit == TaskLimit::Unlimited || self.is_idle();
        may_get_tasks.then_some(TaskRoom { free, limit })
    }

    fn task_limit(&self) -> TaskLimit {
        // If slow machines were excluded entirely, a machine that has recovered or was classified
        // as slow by mistake could never show that it is fast, and tasks would wait indefinitely
        // while it stays idle. So long-waiting jobs without a placed task may use slow machines.
        if self.is_slow() {
            TaskLimit::OneLongWaitingTask
        } else if self.has_failures() {
            TaskLimit::OneTask
        } else {
            TaskLimit::Unlimited
        }
    }
}
