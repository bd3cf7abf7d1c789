//! Orders are executed, and tasks go through their phases.

use super::{FakeWorker, Task, WorkerState};
use crate::{now, sleep};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase};
use corkfield_wire::{Attempt, TaskId};
use std::rc::Rc;
use std::time::Duration;

/// How often tasks are looked at.
const TASK_CHECK: Duration = Duration::from_millis(50);
/// How long a task runs until it fails, in seconds.
const RUN_UNTIL_FAILURE_S: f64 = 0.2;
/// How long a task of an unknown job runs, in seconds.
const DEFAULT_RUN_S: f64 = 1.0;

impl FakeWorker {
    /// Lets tasks go on until the machine is gone.
    pub(super) async fn run_tasks(self: Rc<Self>) {
        while !self.is_dead.get() {
            sleep(TASK_CHECK.as_secs_f64()).await;
            if self.is_hung.get() {
                self.postpone_tasks();
                continue;
            }
            self.check_lease();
            if self.advance_tasks() {
                self.changed.notify_one();
            }
        }
    }

    /// Tasks of a hung machine don't go on, but they are still there.
    fn postpone_tasks(&self) {
        for task in self.state.borrow_mut().tasks.values_mut() {
            task.until += TASK_CHECK;
        }
    }

    /// Takes each task whose phase is over to the next one; true if there was any.
    fn advance_tasks(&self) -> bool {
        let mut changed = false;
        for (id, task) in &mut self.state.borrow_mut().tasks {
            if task.phase != TaskPhase::Exited {
                self.history.check_cancelled(id);
            }
            if now() >= task.until {
                changed |= self.advance_task(id, task);
            }
        }
        changed
    }

    fn advance_task(&self, id: &TaskId, task: &mut Task) -> bool {
        let plan = self.history.plan(&id.job);
        let fails = self.is_faulty.get() || plan.as_ref().is_some_and(|plan| plan.is_failing);
        match task.phase {
            TaskPhase::Fetching => {
                let planned_s = plan.map_or(DEFAULT_RUN_S, |plan| plan.run_s);
                let run_s = if fails { RUN_UNTIL_FAILURE_S } else { planned_s };
                task.phase = TaskPhase::Running;
                task.until = now() + Duration::from_secs_f64(run_s);
                self.history.record_start(id, self.settings.name.as_str());
            }
            TaskPhase::Running if fails => self.end_task(id, task, ExitCause::Error),
            TaskPhase::Running => {
                self.end_task(id, task, ExitCause::Done);
                self.history.record_completion(id);
            }
            TaskPhase::Saving => self.end_task(id, task, ExitCause::Stopped),
            _ => return false,
        }
        true
    }

    fn end_task(&self, id: &TaskId, task: &mut Task, cause: ExitCause) {
        task.phase = TaskPhase::Exited;
        task.cause = Some(cause);
        self.history.record_end(id, self.settings.name.as_str());
    }

    /// Executes orders of a leader that was found to be the present one.
    pub(super) fn execute(&self, orders: Vec<Order>) {
        if orders.is_empty() && !self.settings.heartbeat_after_each_reply {
            return;
        }
        let mut state = self.state.borrow_mut();
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(&mut state, task, attempt),
                Order::Stop { task, attempt, .. } => self.stop_task(&mut state, &task, attempt),
                Order::Forget { task, attempt } => state.forget_task(&task, attempt),
            }
        }
        self.changed.notify_one();
    }

    /// Starts a task, unless it has been started or an earlier attempt still runs. A task that
    /// can't run here has exited at once.
    fn start_task(&self, state: &mut WorkerState, task: TaskId, attempt: Attempt) {
        self.history.notify_start_order(&task, attempt);
        if let Some(known) = state.tasks.get(&task) {
            if known.attempt == attempt || known.phase != TaskPhase::Exited {
                return;
            }
        }
        let cause = match self.history.plan(&task.job) {
            None => Some(ExitCause::Unknown),
            Some(plan) if self.used_cpus(state) + plan.spec.cpus > self.settings.cpus => {
                Some(ExitCause::NoRoom)
            }
            Some(_) => None,
        };
        let phase = if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
        let until = now() + self.image_fetch_duration.get();
        state.tasks.insert(task, Task { attempt, phase, cause, until });
    }

    fn used_cpus(&self, state: &WorkerState) -> f64 {
        let present = state.tasks.iter().filter(|(_, task)| task.phase != TaskPhase::Exited);
        present.filter_map(|(id, _)| self.history.plan(&id.job).map(|plan| plan.spec.cpus)).sum()
    }

    fn stop_task(&self, state: &mut WorkerState, id: &TaskId, attempt: Attempt) {
        if let Some(task) = state.tasks.get_mut(id) {
            if task.attempt == attempt && task.phase != TaskPhase::Exited {
                self.end_task(id, task, ExitCause::Stopped);
            }
        }
    }
}

impl WorkerState {
    /// Forgets an attempt that has exited.
    fn forget_task(&mut self, id: &TaskId, attempt: Attempt) {
        let exited = |task: &Task| task.attempt == attempt && task.phase == TaskPhase::Exited;
        if self.tasks.get(id).is_some_and(exited) {
            self.tasks.remove(id);
        }
    }
}
