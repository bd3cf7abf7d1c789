//! Execution of orders, and the phases of tasks.

use super::{FakeWorker, Task, WorkerState};
use crate::{now, sleep};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase};
use corkfield_wire::{Attempt, JobSpec, TaskId};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which tasks are checked for the end of their phase.
const TASK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The run time of a task that fails, in seconds.
const FAILING_TASK_RUN_S: f64 = 0.2;
/// The run time of a task of an unknown job, in seconds.
const DEFAULT_RUN_S: f64 = 1.0;

impl FakeWorker {
    /// Runs the tasks until the machine is killed.
    pub(super) async fn run_tasks(self: Rc<Self>) {
        while !self.is_dead.get() {
            sleep(TASK_CHECK_INTERVAL.as_secs_f64()).await;
            if self.is_hung.get() {
                self.extend_task_phases();
                continue;
            }
            self.check_lease();
            if self.advance_tasks() {
                self.state_changed.notify_one();
            }
        }
    }

    /// Extends the current phase of all tasks by one check interval, while the machine hangs.
    fn extend_task_phases(&self) {
        for task in self.state.borrow_mut().tasks.values_mut() {
            task.phase_ends_at += TASK_CHECK_INTERVAL;
        }
    }

    /// Moves each task whose current phase has ended to its next phase; returns whether any task
    /// changed.
    fn advance_tasks(&self) -> bool {
        let mut changed = false;
        for (id, task) in &mut self.state.borrow_mut().tasks {
            if task.phase != TaskPhase::Exited {
                self.history.check_cancellation_limit(id);
            }
            if now() >= task.phase_ends_at {
                changed |= self.advance_task(id, task);
            }
        }
        changed
    }

    fn advance_task(&self, id: &TaskId, task: &mut Task) -> bool {
        let plan = self.history.plan(&id.job);
        let will_fail = self.is_faulty.get() || plan.as_ref().is_some_and(|plan| plan.is_failing);
        match task.phase {
            TaskPhase::Fetching => {
                let planned_s = plan.map_or(DEFAULT_RUN_S, |plan| plan.run_s);
                let run_s = if will_fail { FAILING_TASK_RUN_S } else { planned_s };
                task.phase = TaskPhase::Running;
                task.phase_ends_at = now() + Duration::from_secs_f64(run_s);
                self.history.record_start(id, self.settings.name.as_str());
            }
            TaskPhase::Running if will_fail => self.end_task(id, task, ExitCause::Error),
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

    /// Executes orders; the caller must have checked their term.
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
        self.state_changed.notify_one();
    }

    /// Starts a task, unless this attempt has been started already or another attempt has not
    /// exited yet. A task that cannot run on this machine is added as exited.
    fn start_task(&self, state: &mut WorkerState, task: TaskId, attempt: Attempt) {
        self.history.notify_start_order(&task, attempt);
        if let Some(existing) = state.tasks.get(&task) {
            if existing.attempt == attempt || existing.phase != TaskPhase::Exited {
                return;
            }
        }
        let cause = match self.history.plan(&task.job) {
            None => Some(ExitCause::NoSuchTask),
            Some(plan) if !self.has_room_for(state, &plan.spec) => Some(ExitCause::NoRoom),
            Some(_) => None,
        };
        let phase = if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
        let phase_ends_at = now() + self.image_fetch_duration.get();
        state.tasks.insert(task, Task { attempt, phase, cause, phase_ends_at });
    }

    /// Returns whether a task of the job fits beside the tasks that have not exited.
    fn has_room_for(&self, state: &WorkerState, spec: &JobSpec) -> bool {
        let unfinished = state.tasks.iter().filter(|(_, task)| task.phase != TaskPhase::Exited);
        let (mut cpus, mut memory_gb) = (spec.cpus, spec.memory_gb);
        for plan in unfinished.filter_map(|(id, _)| self.history.plan(&id.job)) {
            cpus += plan.spec.cpus;
            memory_gb += plan.spec.memory_gb;
        }
        cpus <= self.settings.cpus && memory_gb <= self.settings.memory_gb
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
    /// Removes an attempt that has exited.
    fn forget_task(&mut self, id: &TaskId, attempt: Attempt) {
        let exited = |task: &Task| task.attempt == attempt && task.phase == TaskPhase::Exited;
        if self.tasks.get(id).is_some_and(exited) {
            self.tasks.remove(id);
        }
    }
}
