//! The record of task executions on the machines and of answers to users, and the safety rules that
//! are checked on it.

use crate::now;
use crate::worker::WorkerSettings;
use corkfield_wire::settings::Team;
use corkfield_wire::{Attempt, JobId, JobSpec, JobStatus, MachineName, TaskId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The rounding error that is allowed in the sum of the CPUs that a team uses.
const CPU_TOLERANCE: f64 = 1e-6;

/// A job, and how its tasks behave on the fake workers.
#[derive(Debug, Clone)]
pub struct JobPlan {
    /// The job as the user submits it.
    pub spec: JobSpec,
    /// The run time of each task, in seconds.
    pub run_s: f64,
    /// Whether the tasks fail on every machine.
    pub is_failing: bool,
}

/// A violation of a safety rule.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// An answer contradicts a final status that a user was given before (S1).
    FinalStatusChanged {
        /// The job of the request.
        job: JobId,
        /// The final status that was answered first.
        from: JobStatus,
        /// The status that was answered later.
        to: JobStatus,
    },
    /// A request for an accepted job was answered with 404 (S1).
    AcceptedJobNotFound {
        /// The job of the request.
        job: JobId,
    },
    /// A job was reported as done before all its tasks had completed (S9).
    DoneBeforeCompletion {
        /// The job of the request.
        job: JobId,
    },
    /// A task was started while it was running already (S3, S5, S7).
    ConcurrentExecution {
        /// The task that was started a second time.
        task: TaskId,
        /// The machine that runs the task already.
        running_on: MachineName,
        /// The machine that started the task as well.
        started_on: MachineName,
    },
    /// The running tasks of a team use more CPUs than its quota allows (S8).
    QuotaExceeded {
        /// The name of the team.
        team: String,
        /// The CPUs of all running tasks of the team.
        cpus: f64,
    },
    /// A task was started in a zone or on a kind of machine that its job does not allow (S8).
    PlacementConstraintViolated {
        /// The task that was started.
        task: TaskId,
        /// The machine that started the task.
        machine: MachineName,
        /// The zone of that machine.
        zone: String,
        /// The zones of all running tasks of the job, including this task.
        job_zones: Vec<String>,
    },
    /// A task ran for longer than allowed after a user was told that its job is cancelled (S6,
    /// S11).
    RanAfterCancellation {
        /// The task that was still running.
        task: TaskId,
    },
}

/// The first final status that a user was given for a job, and the time of the answer.
struct FinalAnswer {
    status: JobStatus,
    answered_at: Instant,
}

/// The zone of a machine, and whether it is a spot machine.
struct MachineLocation {
    zone: String,
    spot: bool,
}

/// A function that is called with the task and the attempt of each start order that a worker
/// receives.
type StartOrderObserver = Box<dyn Fn(&TaskId, Attempt)>;

/// Records the tasks that workers run and the answers that users get, and collects each
/// [`Violation`].
#[derive(Default)]
pub struct ExecutionHistory {
    plans: RefCell<BTreeMap<JobId, JobPlan>>,
    machine_by_task: RefCell<BTreeMap<TaskId, MachineName>>,
    completed: RefCell<BTreeMap<JobId, BTreeSet<u32>>>,
    /// The time at which a user was first told that a job is cancelled.
    cancelled_at: RefCell<BTreeMap<JobId, Instant>>,
    teams: RefCell<Vec<Team>>,
    violations: RefCell<Vec<Violation>>,
    starts_by_task: RefCell<BTreeMap<TaskId, u32>>,
    starts_by_machine: RefCell<BTreeMap<MachineName, u32>>,
    machines: RefCell<BTreeMap<MachineName, MachineLocation>>,
    final_answers: RefCell<BTreeMap<JobId, FinalAnswer>>,
    /// The time at which a user was first told that a job is accepted.
    accepted_at: RefCell<BTreeMap<JobId, Instant>>,
    starts_after_cancellation: Cell<u32>,
    start_order_observer: RefCell<Option<StartOrderObserver>>,
    /// The time for which tasks may continue after a user was told that their job is cancelled.
    pub cancel_limit: Cell<Duration>,
}

impl ExecutionHistory {
    /// Sets the teams whose quotas are checked at every start of a task.
    pub fn set_teams(&self, teams: Vec<Team>) {
        *self.teams.borrow_mut() = teams;
    }

    /// Calls `observer` with the task and the attempt of each start order that a worker receives
    /// from now on.
    pub fn observe_start_orders(&self, observer: impl Fn(&TaskId, Attempt) + 'static) {
        *self.start_order_observer.borrow_mut() = Some(Box::new(observer));
    }

    pub(crate) fn notify_start_order(&self, task: &TaskId, attempt: Attempt) {
        if let Some(observer) = self.start_order_observer.borrow().as_ref() {
            observer(task, attempt);
        }
    }

    pub(crate) fn record_machine(&self, settings: &WorkerSettings) {
        let location = MachineLocation { zone: settings.zone.clone(), spot: settings.spot };
        self.machines.borrow_mut().insert(settings.name.clone(), location);
    }

    /// Adds a job that is about to be submitted. Workers refuse the tasks of all other jobs.
    pub fn add_plan(&self, plan: JobPlan) {
        self.plans.borrow_mut().insert(plan.spec.id.clone(), plan);
    }

    /// Returns the plan of a job.
    pub fn plan(&self, id: &JobId) -> Option<JobPlan> {
        self.plans.borrow().get(id).cloned()
    }

    /// Records that a user who sent a request at `requested_at` was answered with `status`; checks
    /// that a final status does not change (S1).
    pub fn record_user_answer(&self, id: &JobId, status: JobStatus, requested_at: Instant) {
        self.check_final_answer(id, status, requested_at);
        if status.is_final() {
            let answer = FinalAnswer { status, answered_at: now() };
            self.final_answers.borrow_mut().entry(id.clone()).or_insert(answer);
        }
        self.accepted_at.borrow_mut().entry(id.clone()).or_insert_with(now);
        match status {
            JobStatus::Done => self.check_all_tasks_completed(id),
            JobStatus::Cancelled => {
                self.cancelled_at.borrow_mut().entry(id.clone()).or_insert_with(now);
            }
            JobStatus::Queued | JobStatus::Running => {}
        }
    }

    fn check_final_answer(&self, id: &JobId, status: JobStatus, requested_at: Instant) {
        let answers = self.final_answers.borrow();
        let Some(first) = answers.get(id).filter(|first| first.status != status) else { return };
        if status.is_final() || first.answered_at <= requested_at {
            let (from, to) = (first.status, status);
            self.record_violation(Violation::FinalStatusChanged { job: id.clone(), from, to });
        }
    }

    /// Records that a user who sent a request at `requested_at` was answered that the job does not
    /// exist.
    pub fn record_not_found_answer(&self, id: &JobId, requested_at: Instant) {
        if self.accepted_at.borrow().get(id).is_some_and(|accepted| *accepted <= requested_at) {
            self.record_violation(Violation::AcceptedJobNotFound { job: id.clone() });
        }
    }

    fn check_all_tasks_completed(&self, id: &JobId) {
        let tasks = self.plan(id).map_or(0, |plan| plan.spec.tasks as usize);
        if self.completed.borrow().get(id).map_or(0, BTreeSet::len) < tasks {
            self.record_violation(Violation::DoneBeforeCompletion { job: id.clone() });
        }
    }

    fn record_violation(&self, violation: Violation) {
        self.violations.borrow_mut().push(violation);
    }

    /// Records that a task has its image and starts on a machine.
    pub(crate) fn record_start(&self, task: &TaskId, machine: &str) {
        self.track_running_task(task, machine);
        self.check_cancellation_limit(task);
        if self.cancelled_at.borrow().contains_key(&task.job) {
            self.starts_after_cancellation.set(self.starts_after_cancellation.get() + 1);
        }
        let Some(plan) = self.plan(&task.job) else { return };
        self.check_placement(task, machine, &plan.spec);
        self.check_quota(&plan.spec.team);
    }

    fn track_running_task(&self, task: &TaskId, machine: &str) {
        let previous =
            self.machine_by_task.borrow_mut().insert(task.clone(), MachineName::from(machine));
        if let Some(running_on) = previous {
            let started_on = MachineName::from(machine);
            self.record_violation(Violation::ConcurrentExecution {
                task: task.clone(),
                running_on,
                started_on,
            });
        }
        *self.starts_by_task.borrow_mut().entry(task.clone()).or_default() += 1;
        *self.starts_by_machine.borrow_mut().entry(MachineName::from(machine)).or_default() += 1;
    }

    fn check_quota(&self, team: &str) {
        let teams = self.teams.borrow();
        let Some(team) = teams.iter().find(|known| known.name == team) else { return };
        if team.cpus_max <= 0.0 {
            return;
        }
        let (running, plans) = (self.machine_by_task.borrow(), self.plans.borrow());
        let cpus: f64 = running
            .keys()
            .filter_map(|task| plans.get(&task.job))
            .filter(|plan| plan.spec.team == team.name)
            .map(|plan| plan.spec.cpus)
            .sum();
        if cpus > team.cpus_max + CPU_TOLERANCE {
            self.record_violation(Violation::QuotaExceeded { team: team.name.clone(), cpus });
        }
    }

    /// Checks the zone and the kind of a machine against the constraints of the job and the zones
    /// of the job's running tasks.
    fn check_placement(&self, task: &TaskId, machine: &str, spec: &JobSpec) {
        let machines = self.machines.borrow();
        let Some(MachineLocation { zone, spot }) = machines.get(machine) else { return };
        let running = self.machine_by_task.borrow();
        let job_zones: Vec<String> = running
            .iter()
            .filter(|(other, _)| other.job == task.job)
            .filter_map(|(_, machine)| machines.get(machine).map(|location| location.zone.clone()))
            .collect();
        let tasks_in_zone = job_zones.iter().filter(|other| *other == zone).count();
        let is_violated = spec.zone.as_ref().is_some_and(|only| only != zone)
            || *spot && !spec.spot
            || spec.one_zone && tasks_in_zone < job_zones.len()
            || tasks_in_zone > spec.max_tasks_per_zone() as usize;
        if is_violated {
            let (machine, zone) = (MachineName::from(machine), zone.clone());
            self.record_violation(Violation::PlacementConstraintViolated {
                task: task.clone(),
                machine,
                zone,
                job_zones,
            });
        }
    }

    /// Returns the number of task starts after a user was told that the job is cancelled.
    pub fn starts_after_cancellation(&self) -> u32 {
        self.starts_after_cancellation.get()
    }

    pub(crate) fn check_cancellation_limit(&self, task: &TaskId) {
        let cancelled = self.cancelled_at.borrow().get(&task.job).copied();
        if cancelled.is_some_and(|cancelled| now() > cancelled + self.cancel_limit.get()) {
            self.record_violation(Violation::RanAfterCancellation { task: task.clone() });
        }
    }

    /// Records that a task has ended on a machine.
    pub(crate) fn record_end(&self, task: &TaskId, machine: &str) {
        let mut running = self.machine_by_task.borrow_mut();
        if running.get(task).is_some_and(|on| on.as_str() == machine) {
            running.remove(task);
        }
    }

    /// Records that a task has completed.
    pub(crate) fn record_completion(&self, task: &TaskId) {
        self.completed.borrow_mut().entry(task.job.clone()).or_default().insert(task.index);
    }

    /// Returns the machine that a task runs on.
    pub fn machine_of(&self, task: &TaskId) -> Option<MachineName> {
        self.machine_by_task.borrow().get(task).cloned()
    }

    /// Returns the number of running tasks of a job.
    pub fn running_tasks(&self, id: &JobId) -> usize {
        self.machine_by_task.borrow().keys().filter(|task| task.job == *id).count()
    }

    /// Returns the number of times that a task was started.
    pub fn start_count(&self, task: &TaskId) -> u32 {
        self.starts_by_task.borrow().get(task).copied().unwrap_or(0)
    }

    /// Returns the number of task starts on a machine.
    pub fn start_count_on(&self, machine: &str) -> u32 {
        self.starts_by_machine.borrow().get(machine).copied().unwrap_or(0)
    }

    /// Returns the number of task starts on all machines.
    pub fn total_starts(&self) -> u32 {
        self.starts_by_task.borrow().values().sum()
    }

    /// Returns the violations so far, the oldest first.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }
}
