//! What really runs where, what users were answered, and the rules that a deployment must keep.

use crate::now;
use crate::worker::WorkerSettings;
use corkfield_wire::settings::Team;
use corkfield_wire::{Attempt, JobId, JobSpec, JobStatus, MachineName, TaskId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What rounding may add to the CPUs that a team uses.
const CPU_TOLERANCE: f64 = 1e-6;

/// How the tasks of a job really behave.
#[derive(Debug, Clone)]
pub struct JobPlan {
    /// The job as it is submitted.
    pub spec: JobSpec,
    /// How long each task runs, in seconds.
    pub run_s: f64,
    /// Its tasks fail wherever they run.
    pub is_failing: bool,
}

/// A rule of the deployment that was broken.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// A later answer contradicts a final state that a user was given before (S1).
    FinalStatusChanged {
        /// The job that was asked about.
        job: JobId,
        /// The final state that was answered first.
        from: JobStatus,
        /// What was answered later.
        to: JobStatus,
    },
    /// A job that was accepted is answered with 404 (S1).
    AcceptedJobNotFound {
        /// The job that was asked about.
        job: JobId,
    },
    /// A job is reported done before all its tasks have ended well (S9).
    DoneBeforeCompletion {
        /// The job that was asked about.
        job: JobId,
    },
    /// A task runs in two places at once (S3, S5, S7).
    ConcurrentExecution {
        /// The task that was started again.
        task: TaskId,
        /// Where it was running.
        on: MachineName,
        /// Where it was started as well.
        and_on: MachineName,
    },
    /// A team uses more CPUs than its quota allows (S8).
    QuotaExceeded {
        /// The team by name.
        team: String,
        /// The CPUs of all its running tasks.
        cpus: f64,
    },
    /// A task runs in a zone or on a kind of machine that its job does not allow (S8).
    PlacementConstraintViolated {
        /// The task that was started.
        task: TaskId,
        /// Where it was started.
        machine: MachineName,
        /// The zone of that machine.
        zone: String,
        /// The zones of all running tasks of the job, this one's among them.
        job_zones: Vec<String>,
    },
    /// A task runs longer after a confirmed cancellation than is allowed (S6, S11).
    RanAfterCancellation {
        /// The task that still runs.
        task: TaskId,
    },
}

/// A final state that a user was given, and when.
struct FinalAnswer {
    status: JobStatus,
    answered: Instant,
}

/// Where a machine is, and of which kind.
struct MachinePlace {
    zone: String,
    spot: bool,
}

/// Sees each start that a worker is ordered, at that moment.
type StartOrderObserver = Box<dyn Fn(&TaskId, Attempt)>;

/// Records what workers run and what users are answered, and notes each [`Violation`].
#[derive(Default)]
pub struct ExecutionHistory {
    plans: RefCell<BTreeMap<JobId, JobPlan>>,
    machine_by_task: RefCell<BTreeMap<TaskId, MachineName>>,
    completed: RefCell<BTreeMap<JobId, BTreeSet<u32>>>,
    /// When users were first told that a job is cancelled.
    cancelled: RefCell<BTreeMap<JobId, Instant>>,
    teams: RefCell<Vec<Team>>,
    violations: RefCell<Vec<Violation>>,
    starts_by_task: RefCell<BTreeMap<TaskId, u32>>,
    starts_by_machine: RefCell<BTreeMap<MachineName, u32>>,
    machines: RefCell<BTreeMap<MachineName, MachinePlace>>,
    final_answers: RefCell<BTreeMap<JobId, FinalAnswer>>,
    /// When users were first told that a job is accepted.
    accepted: RefCell<BTreeMap<JobId, Instant>>,
    starts_after_cancellation: Cell<u32>,
    start_order_observer: RefCell<Option<StartOrderObserver>>,
    /// How long tasks may run on after a user was told that their job is cancelled.
    pub cancel_limit: Cell<Duration>,
}

impl ExecutionHistory {
    /// Sets the teams, whose quotas are checked at every start.
    pub fn set_teams(&self, teams: Vec<Team>) {
        *self.teams.borrow_mut() = teams;
    }

    /// Shows each start that a worker is ordered from now on, and its attempt.
    pub fn observe_start_orders(&self, observer: impl Fn(&TaskId, Attempt) + 'static) {
        *self.start_order_observer.borrow_mut() = Some(Box::new(observer));
    }

    pub(crate) fn notify_start_order(&self, task: &TaskId, attempt: Attempt) {
        if let Some(observer) = self.start_order_observer.borrow().as_ref() {
            observer(task, attempt);
        }
    }

    pub(crate) fn record_machine(&self, settings: &WorkerSettings) {
        let place = MachinePlace { zone: settings.zone.clone(), spot: settings.spot };
        self.machines.borrow_mut().insert(settings.name.clone(), place);
    }

    /// Adds a job that is about to be submitted; workers know no others.
    pub fn add_plan(&self, plan: JobPlan) {
        self.plans.borrow_mut().insert(plan.spec.id.clone(), plan);
    }

    /// How the tasks of a job behave.
    pub fn plan(&self, id: &JobId) -> Option<JobPlan> {
        self.plans.borrow().get(id).cloned()
    }

    /// A user who asked at that moment was answered with this status: a final state stays.
    pub fn record_user_answer(&self, id: &JobId, status: JobStatus, asked: Instant) {
        self.check_final_answer(id, status, asked);
        if status.is_final() {
            let answer = FinalAnswer { status, answered: now() };
            self.final_answers.borrow_mut().entry(id.clone()).or_insert(answer);
        }
        self.accepted.borrow_mut().entry(id.clone()).or_insert_with(now);
        match status {
            JobStatus::Done => self.check_done(id),
            JobStatus::Cancelled => {
                self.cancelled.borrow_mut().entry(id.clone()).or_insert_with(now);
            }
            JobStatus::Queued | JobStatus::Running => {}
        }
    }

    fn check_final_answer(&self, id: &JobId, status: JobStatus, asked: Instant) {
        let answers = self.final_answers.borrow();
        let Some(before) = answers.get(id).filter(|before| before.status != status) else { return };
        if status.is_final() || before.answered <= asked {
            let (from, to) = (before.status, status);
            self.record_violation(Violation::FinalStatusChanged { job: id.clone(), from, to });
        }
    }

    /// A user who asked at that moment was answered that there is no such job.
    pub fn record_not_found_answer(&self, id: &JobId, asked: Instant) {
        if self.accepted.borrow().get(id).is_some_and(|accepted| *accepted <= asked) {
            self.record_violation(Violation::AcceptedJobNotFound { job: id.clone() });
        }
    }

    fn check_done(&self, id: &JobId) {
        let tasks = self.plan(id).map_or(0, |plan| plan.spec.tasks as usize);
        if self.completed.borrow().get(id).map_or(0, BTreeSet::len) < tasks {
            self.record_violation(Violation::DoneBeforeCompletion { job: id.clone() });
        }
    }

    fn record_violation(&self, violation: Violation) {
        self.violations.borrow_mut().push(violation);
    }

    /// A task has its image and starts on a machine.
    pub(crate) fn record_start(&self, task: &TaskId, machine: &str) {
        self.count_start(task, machine);
        self.check_cancelled(task);
        if self.cancelled.borrow().contains_key(&task.job) {
            self.starts_after_cancellation.set(self.starts_after_cancellation.get() + 1);
        }
        let Some(plan) = self.plan(&task.job) else { return };
        self.check_place(task, machine, &plan.spec);
        self.check_quota(&plan.spec.team);
    }

    fn count_start(&self, task: &TaskId, machine: &str) {
        let before =
            self.machine_by_task.borrow_mut().insert(task.clone(), MachineName::from(machine));
        if let Some(on) = before {
            let and_on = MachineName::from(machine);
            self.record_violation(Violation::ConcurrentExecution {
                task: task.clone(),
                on,
                and_on,
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

    /// Zone and kind of machine, given where the job's other tasks are at this moment.
    fn check_place(&self, task: &TaskId, machine: &str, spec: &JobSpec) {
        let machines = self.machines.borrow();
        let Some(MachinePlace { zone, spot }) = machines.get(machine) else { return };
        let running = self.machine_by_task.borrow();
        let job_zones: Vec<String> = running
            .iter()
            .filter(|(other, _)| other.job == task.job)
            .filter_map(|(_, machine)| machines.get(machine).map(|place| place.zone.clone()))
            .collect();
        let in_zone = job_zones.iter().filter(|other| *other == zone).count();
        let wrong = spec.zone.as_ref().is_some_and(|only| only != zone)
            || *spot && !spec.spot
            || spec.one_zone && in_zone < job_zones.len()
            || in_zone > spec.zone_cap() as usize;
        if wrong {
            let (machine, zone) = (MachineName::from(machine), zone.clone());
            self.record_violation(Violation::PlacementConstraintViolated {
                task: task.clone(),
                machine,
                zone,
                job_zones,
            });
        }
    }

    /// Starts of jobs whose users had been told that they are cancelled.
    pub fn starts_after_cancellation(&self) -> u32 {
        self.starts_after_cancellation.get()
    }

    pub(crate) fn check_cancelled(&self, task: &TaskId) {
        let cancelled = self.cancelled.borrow().get(&task.job).copied();
        if cancelled.is_some_and(|cancelled| now() > cancelled + self.cancel_limit.get()) {
            self.record_violation(Violation::RanAfterCancellation { task: task.clone() });
        }
    }

    /// A task no longer runs on a machine.
    pub(crate) fn record_end(&self, task: &TaskId, machine: &str) {
        let mut running = self.machine_by_task.borrow_mut();
        if running.get(task).is_some_and(|on| on.as_str() == machine) {
            running.remove(task);
        }
    }

    /// A task has ended well.
    pub(crate) fn record_completion(&self, task: &TaskId) {
        self.completed.borrow_mut().entry(task.job.clone()).or_default().insert(task.index);
    }

    /// The machine that a task runs on.
    pub fn machine_of(&self, task: &TaskId) -> Option<MachineName> {
        self.machine_by_task.borrow().get(task).cloned()
    }

    /// How many tasks of a job run.
    pub fn running_tasks(&self, id: &JobId) -> usize {
        self.machine_by_task.borrow().keys().filter(|task| task.job == *id).count()
    }

    /// How often a task was started.
    pub fn starts_of(&self, task: &TaskId) -> u32 {
        self.starts_by_task.borrow().get(task).copied().unwrap_or(0)
    }

    /// How many tasks were started on a machine.
    pub fn starts_on(&self, machine: &str) -> u32 {
        self.starts_by_machine.borrow().get(machine).copied().unwrap_or(0)
    }

    /// How many tasks were started on all machines.
    pub fn total_starts(&self) -> u32 {
        self.starts_by_task.borrow().values().sum()
    }

    /// The rules that were broken, the first one first.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }
}
