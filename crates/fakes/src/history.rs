//! What really runs where, and the rules.

use crate::now;
use crate::worker::WorkerSettings;
use corkfield_wire::settings::Team;
use corkfield_wire::{JobId, JobSpec, JobStatus, TaskId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How the tasks of a job really behave.
#[derive(Debug, Clone)]
pub struct Plan {
    pub spec: JobSpec,
    pub run_s: f64,
    /// Fails wherever it runs.
    pub broken: bool,
}

#[derive(Default)]
pub struct ExecutionHistory {
    plans: RefCell<BTreeMap<JobId, Plan>>,
    on: RefCell<BTreeMap<TaskId, String>>,
    done: RefCell<BTreeMap<JobId, std::collections::BTreeSet<u32>>>,
    cancelled: RefCell<BTreeMap<JobId, Instant>>,
    teams: RefCell<Vec<Team>>,
    broken: RefCell<Vec<String>>,
    starts: RefCell<BTreeMap<TaskId, u32>>,
    starts_on: RefCell<BTreeMap<String, u32>>,
    /// Zone of each machine, and whether it is a spot machine.
    machines: RefCell<BTreeMap<String, (String, bool)>>,
    /// What users were told last of jobs that are over.
    told: RefCell<BTreeMap<JobId, (JobStatus, Instant)>>,
    /// When users were first told that a job is accepted.
    accepted: RefCell<BTreeMap<JobId, Instant>>,
    late_starts: Cell<u32>,
    pub cancel_after: std::cell::Cell<Duration>,
}

impl ExecutionHistory {
    pub fn set_teams(&self, teams: Vec<Team>) {
        *self.teams.borrow_mut() = teams;
    }

    pub(crate) fn machine_up(&self, settings: &WorkerSettings) {
        let place = (settings.zone.clone(), settings.spot);
        self.machines.borrow_mut().insert(settings.name.clone(), place);
    }

    pub fn submitted(&self, plan: Plan) {
        self.plans.borrow_mut().insert(plan.spec.id.clone(), plan);
    }

    pub fn plan(&self, id: &JobId) -> Option<Plan> {
        self.plans.borrow().get(id).cloned()
    }

    /// A user who asked at that moment was told this of a job: a final state stays.
    pub fn told(&self, id: &JobId, status: JobStatus, asked: Instant) {
        if let Some((before, at)) = self.told.borrow().get(id) {
            if *before != status && (status.is_final() || *at <= asked) {
                self.note(format!("went_back: {id} from {before:?} to {status:?}"));
            }
        }
        if status.is_final() {
            self.told.borrow_mut().entry(id.clone()).or_insert((status, now()));
        }
        self.accepted.borrow_mut().entry(id.clone()).or_insert_with(now);
        match status {
            JobStatus::Done => self.told_done(id),
            JobStatus::Cancelled => self.told_cancelled(id),
            JobStatus::Queued | JobStatus::Running => {}
        }
    }

    /// A user who asked at that moment was told that there is no such job.
    pub fn told_unknown(&self, id: &JobId, asked: Instant) {
        if self.accepted.borrow().get(id).is_some_and(|at| *at <= asked) {
            self.note(format!("forgotten: {id} is answered with 404"));
        }
    }

    fn told_cancelled(&self, id: &JobId) {
        self.cancelled.borrow_mut().entry(id.clone()).or_insert_with(now);
    }

    fn told_done(&self, id: &JobId) {
        let all = self.plan(id).map_or(0, |p| p.spec.tasks as usize);
        if self.done.borrow().get(id).map_or(0, |d| d.len()) < all {
            self.note(format!("not_done: {id}"));
        }
    }

    fn note(&self, rule: String) {
        self.broken.borrow_mut().push(rule);
    }

    /// A task has its image and starts.
    pub fn starts(&self, task: &TaskId, machine: &str) {
        if let Some(other) = self.on.borrow_mut().insert(task.clone(), machine.to_owned()) {
            self.note(format!("ran_twice: {task} on {other} and {machine}"));
        }
        *self.starts.borrow_mut().entry(task.clone()).or_default() += 1;
        *self.starts_on.borrow_mut().entry(machine.to_owned()).or_default() += 1;
        self.check_cancelled(task);
        if self.cancelled.borrow().contains_key(&task.job) {
            self.late_starts.set(self.late_starts.get() + 1);
        }
        let Some(plan) = self.plan(&task.job) else { return };
        self.check_place(task, machine, &plan.spec);
        let team = self.teams.borrow().iter().find(|t| t.name == plan.spec.team).cloned();
        let Some(team) = team.filter(|t| t.cpus_max > 0.0) else { return };
        let on = self.on.borrow();
        let plans = self.plans.borrow();
        let of_team = on.keys().filter_map(|t| plans.get(&t.job));
        let used: f64 = of_team.filter(|p| p.spec.team == team.name).map(|p| p.spec.cpus).sum();
        if used > team.cpus_max + 1e-6 {
            self.note(format!("quota: {} uses {used}", team.name));
        }
    }

    /// Zone and kind of machine, given where the job's other tasks are at this moment.
    fn check_place(&self, task: &TaskId, machine: &str, spec: &JobSpec) {
        let machines = self.machines.borrow();
        let Some((zone, spot)) = machines.get(machine) else { return };
        let on = self.on.borrow();
        let of_job = on.iter().filter(|(other, _)| other.job == task.job);
        let zones: Vec<&String> =
            of_job.filter_map(|(_, machine)| machines.get(machine).map(|(zone, _)| zone)).collect();
        let here = zones.iter().filter(|other| **other == zone).count();
        let wrong = spec.zone.as_ref().is_some_and(|only| only != zone)
            || *spot && !spec.spot
            || spec.one_zone && here < zones.len()
            || here > spec.zone_cap() as usize;
        if wrong {
            self.note(format!("wrong_place: {task} in {zone} on {machine}, others in {zones:?}"));
        }
    }

    /// Starts of jobs whose users had been told that they are cancelled.
    pub fn late_starts(&self) -> u32 {
        self.late_starts.get()
    }

    pub fn check_cancelled(&self, task: &TaskId) {
        let told = self.cancelled.borrow().get(&task.job).copied();
        if told.is_some_and(|at| now() > at + self.cancel_after.get()) {
            self.note(format!("ran_cancelled: {task}"));
        }
    }

    pub fn ends(&self, task: &TaskId, machine: &str) {
        let mut on = self.on.borrow_mut();
        if on.get(task).is_some_and(|m| m == machine) {
            on.remove(task);
        }
    }

    pub fn completes(&self, task: &TaskId) {
        self.done.borrow_mut().entry(task.job.clone()).or_default().insert(task.index);
    }

    pub fn machine_of(&self, task: &TaskId) -> Option<String> {
        self.on.borrow().get(task).cloned()
    }

    pub fn running(&self, id: &JobId) -> usize {
        self.on.borrow().keys().filter(|t| t.job == *id).count()
    }

    pub fn started(&self, task: &TaskId) -> u32 {
        self.starts.borrow().get(task).copied().unwrap_or(0)
    }

    pub fn starts_on(&self, machine: &str) -> u32 {
        self.starts_on.borrow().get(machine).copied().unwrap_or(0)
    }

    pub fn starts_in_all(&self) -> u32 {
        self.starts.borrow().values().sum()
    }

    pub fn broken_rules(&self) -> Vec<String> {
        self.broken.borrow().clone()
    }
}
