//! A machine and everything that may be on it.

use crate::job::Job;
use crate::team::{Usage, EPSILON};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::worker::Order;
use corkfield_wire::{JobId, JobSpec, Priority, TaskId};
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::time::{Duration, Instant};

/// A machine whose tasks took this many times as long as elsewhere gets no new work.
const SLOW: f64 = 1.6;
const SLOW_SAMPLES: u32 = 4;

/// What a machine is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; its worker hasn't reported.
    Booting,
    /// Takes work.
    Up,
    /// Takes no new work; what runs may go on or is being stopped.
    Draining,
    /// Its deletion was asked for.
    Deleting,
}

/// Whether the state service knows that the machine may hold tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded {
    /// It was never recorded.
    No,
    /// The write is under way.
    Writing,
    /// It is stored.
    Yes,
}

/// Whether what is ordered reaches the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Orders reach it, as far as is known.
    Reachable,
    /// Starts were not taken, this many reports in a row.
    Doubtful(u32),
    /// Its reports come, but nothing reaches it: no supply until it answers.
    Unreachable,
}

/// So many reports in a row without the starts that were sent before them.
const UNREACHABLE_AFTER: u32 = 2;

/// What a task on a machine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineTaskState {
    /// Chosen, but no order has left yet.
    Assigned,
    /// The start was sent as the answer to the report with this session and number.
    Ordered {
        /// Session of the report that was answered.
        agent_epoch: u64,
        /// Number of that report.
        sequence: u64,
    },
    /// Its image is being fetched.
    Fetching,
    /// It runs.
    Running,
    /// It saves, as it was told to stop.
    Saving,
    /// Exited as done; kept on the machine until the result is stored.
    Done,
    /// Exited otherwise.
    Exited,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct MachineTask {
    /// What it is doing.
    pub state: MachineTaskState,
    /// Since when.
    pub since: Instant,
    /// What it takes; unknown for tasks of jobs that are not known any more.
    pub spec: Option<Need>,
    /// Position of its team in the settings.
    pub team: Option<usize>,
    pub(crate) priority: Option<Priority>,
    /// Started by this leader, so that its run time is known.
    pub(crate) ours: bool,
    /// The grace to stop it with, once it has to go.
    pub stop: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Need {
    pub fn of(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }
}

impl MachineTask {
    /// The one place where the state of a task on a machine changes.
    pub(crate) fn enter(&mut self, state: MachineTaskState, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// The job that it is of has become known.
    pub(crate) fn belongs_to(&mut self, spec: &JobSpec, team: usize) {
        self.spec = Some(Need::of(spec));
        self.team = Some(team);
        self.priority = Some(spec.priority);
    }

    /// Whether it takes room on the machine and of its team's limit.
    pub fn takes_room(&self) -> bool {
        !matches!(self.state, MachineTaskState::Done | MachineTaskState::Exited)
    }
}

/// What the tasks on a machine come to.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Tasks that take room.
    pub tasks: u32,
    pub used: Need,
    /// Something of unknown size is there.
    pub unsized_tasks: bool,
    /// Something of an unknown team is there.
    pub uncounted: bool,
    pub by_team: Vec<Usage>,
    /// Of jobs that are known, by priority, the highest first.
    pub by_priority: [Need; 4],
    /// CPUs of what is being stopped.
    pub stopping_cpus: f64,
    /// Tasks that run, by job.
    pub running: Vec<(JobId, u32)>,
}

/// The tasks on a machine, with their totals. A look at every task of hundreds of machines in
/// each placement pass costs more than a controller's processor share, so totals are kept until
/// the tasks may have changed: any mutable access drops them.
#[derive(Debug, Default)]
pub struct MachineTasks {
    tasks: BTreeMap<(TaskId, u64), MachineTask>,
    totals: OnceCell<Totals>,
}

impl Deref for MachineTasks {
    type Target = BTreeMap<(TaskId, u64), MachineTask>;
    fn deref(&self) -> &Self::Target {
        &self.tasks
    }
}

impl DerefMut for MachineTasks {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.totals.take();
        &mut self.tasks
    }
}

impl MachineTasks {
    pub(crate) fn has_tasks_of(&self, job: &JobId) -> bool {
        let first = (TaskId { job: job.clone(), index: 0 }, 0);
        self.tasks.range(first..).next().is_some_and(|((task, _), _)| task.job == *job)
    }

    pub(crate) fn totals(&self) -> &Totals {
        self.totals.get_or_init(|| {
            let mut totals = Totals::default();
            for ((task, _), machine_task) in &self.tasks {
                if matches!(
                    machine_task.state,
                    MachineTaskState::Running | MachineTaskState::Saving
                ) {
                    match totals.running.iter_mut().find(|(job, _)| *job == task.job) {
                        Some((_, count)) => *count += 1,
                        None => totals.running.push((task.job.clone(), 1)),
                    }
                }
                if machine_task.takes_room() {
                    totals.add(machine_task);
                }
            }
            totals
        })
    }
}

impl Totals {
    fn add(&mut self, machine_task: &MachineTask) {
        self.tasks += 1;
        self.uncounted |= machine_task.team.is_none();
        let Some(need) = &machine_task.spec else {
            self.unsized_tasks = true;
            return;
        };
        self.used.add(need);
        if machine_task.stop.is_some() {
            self.stopping_cpus += need.cpus;
        }
        if let Some(team) = machine_task.team {
            if self.by_team.len() <= team {
                self.by_team.resize(team + 1, Usage::default());
            }
            let usage = &mut self.by_team[team];
            *usage = usage.plus(Usage { cpus: need.cpus, gpus: need.gpus });
        }
        if let Some(priority) = machine_task.priority {
            self.by_priority[priority as usize].add(need);
        }
    }
}

/// Whether a job may run on machines of that type, in that zone and of that kind.
pub(crate) fn allows(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|names| names.iter().any(|name| name == type_name))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// A machine, and what this leader knows of it.
#[derive(Debug)]
pub struct Machine {
    /// Its name in the cloud.
    pub name: String,
    /// Where its worker takes direct orders.
    pub addr: String,
    /// Name of its type.
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    pub(crate) size: Option<MachineType>,
    state: MachineState,
    /// Whether the state service knows that it may hold tasks.
    pub recorded: Recorded,
    /// No order of an earlier leader can act on it any more (S7).
    pub fenced: bool,
    /// Its worker's session, as shown last.
    pub agent_epoch: u64,
    /// Number of the worker's newest message in that session.
    pub sequence: u64,
    /// Sessions up to this one are known to have ended.
    pub(crate) ended_agent_epochs: u64,
    pub(crate) known_since: Instant,
    pub(crate) rented_at: Instant,
    pub(crate) heard_at: Option<Instant>,
    /// The last moment at which a report of it can have been answered with 200.
    pub(crate) answered_at: Instant,
    /// The same before the newest answer, in case that one was not received.
    answered_before: Instant,
    answered_term: u64,
    /// The highest term that its reports have shown.
    pub(crate) shown_term: u64,
    reachability: Reachability,
    /// Direct orders in a row that were not answered.
    pub(crate) unanswered: u32,
    /// The newest of its reports that were older than what is known, and how many came.
    pub(crate) behind: ((u64, u64), u32),
    pub(crate) lease_expired: bool,
    pub(crate) notice: bool,
    pub(crate) idle_since: Option<Instant>,
    /// The tasks that are, or may be, on it.
    pub tasks: MachineTasks,
    /// Images that it probably has, the most recently used last.
    pub(crate) images: Vec<(String, f64)>,
    /// Jobs whose tasks failed here since a task last completed here.
    pub(crate) failed_jobs: Vec<JobId>,
    pub(crate) failures: u32,
    pub(crate) shunned_until: Option<Instant>,
    /// Run times here against the same jobs' run times elsewhere, smoothed.
    pub(crate) slowness: f64,
    pub(crate) slowness_samples: u32,
}

impl Machine {
    pub(crate) fn new(
        name: String,
        type_name: String,
        zone: String,
        spot: bool,
        types: &[MachineType],
        now: Instant,
    ) -> Self {
        let size = types.iter().find(|t| t.name == type_name).cloned();
        Self {
            name,
            addr: String::new(),
            type_name,
            zone,
            spot,
            size,
            state: MachineState::Booting,
            recorded: Recorded::No,
            fenced: false,
            agent_epoch: 0,
            sequence: 0,
            ended_agent_epochs: 0,
            known_since: now,
            rented_at: now,
            heard_at: None,
            answered_at: now,
            answered_before: now,
            answered_term: 0,
            shown_term: 0,
            reachability: Reachability::Reachable,
            unanswered: 0,
            behind: ((0, 0), 0),
            lease_expired: false,
            notice: false,
            idle_since: None,
            tasks: MachineTasks::default(),
            images: Vec::new(),
            failed_jobs: Vec::new(),
            failures: 0,
            shunned_until: None,
            slowness: 1.0,
            slowness_samples: 0,
        }
    }

    /// What it is used for.
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// The one place where a machine's state changes; it never comes back from deletion.
    pub(crate) fn enter(&mut self, state: MachineState) {
        if self.state == state || self.state == MachineState::Deleting {
            return;
        }
        tracing::debug!(machine = %self.name, from = ?self.state, to = ?state, "machine");
        self.state = state;
    }

    /// Whether orders reach its worker.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// The one place where its reachability changes. `taken` tells what its newest report says of
    /// the starts sent before; an answer to a direct order proves that it hears.
    pub(crate) fn note_delivery(&mut self, taken: bool) {
        let next = match (taken, self.reachability) {
            (true, _) => Reachability::Reachable,
            (false, Reachability::Reachable) => Reachability::Doubtful(1),
            (false, Reachability::Doubtful(times)) if times + 1 < UNREACHABLE_AFTER => {
                Reachability::Doubtful(times + 1)
            }
            (false, _) => Reachability::Unreachable,
        };
        if (next == Reachability::Unreachable) != (self.reachability == Reachability::Unreachable) {
            tracing::debug!(machine = %self.name, from = ?self.reachability, to = ?next, "reachability");
        }
        self.reachability = next;
    }

    /// Its first report, or the first after a lapse, is going to be answered, perhaps not at
    /// once. Counted from an answer long ago, its lease would be over before that.
    pub(crate) fn about_to_answer(&mut self, now: Instant) {
        self.answered_at = self.answered_at.max(now);
    }

    /// Its report is answered with 200 under this term.
    pub(crate) fn answered(&mut self, term: u64, now: Instant) {
        self.answered_before = self.answered_at;
        self.answered_at = now;
        self.answered_term = term;
    }

    /// Its next report of its own has come, with the term given. A worker sends it only once it
    /// has taken the answer to the one before or given it up. So a lower term than that answer's
    /// shows that the answer was not taken, and renewed no lease: otherwise a machine that
    /// nothing reaches would hold up a failover for as long as its reports come.
    pub(crate) fn reported(&mut self, term: u64) {
        if term < self.answered_term {
            self.answered_at = self.answered_before;
        }
    }

    /// Capacity that no task takes; none while something of unknown size is there.
    pub(crate) fn free(&self) -> Option<Need> {
        let size = self.size.as_ref()?;
        let totals = self.tasks.totals();
        if totals.unsized_tasks {
            return None;
        }
        let mut free = Need { cpus: size.cpus, gpus: size.gpus, memory_gb: size.memory_gb };
        free.take(&totals.used);
        Some(free)
    }

    /// Its tasks took much longer than the same jobs' tasks elsewhere.
    pub(crate) fn is_slow(&self) -> bool {
        self.slowness > SLOW && self.slowness_samples >= SLOW_SAMPLES
    }

    /// Takes a task of the job that was chosen for it; no order has left yet.
    pub(crate) fn assign(&mut self, task: TaskId, attempt: u64, job: &Job, now: Instant) {
        let spec = job.spec();
        let assigned = MachineTask {
            state: MachineTaskState::Assigned,
            since: now,
            spec: Some(Need::of(spec)),
            team: Some(job.team),
            priority: Some(spec.priority),
            ours: true,
            stop: None,
        };
        self.tasks.insert((task, attempt), assigned);
        self.touch_image(&spec.image, spec.image_gb);
    }

    /// Marks a task to be stopped, and gives the order for it.
    pub(crate) fn stop(&mut self, key: &(TaskId, u64), grace: Duration) -> Option<Order> {
        self.tasks.get_mut(key)?.stop = Some(grace);
        let (task, attempt) = key.clone();
        Some(Order::Stop { task, attempt, grace_s: grace.as_secs_f64() })
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.totals().tasks == 0
    }

    pub(crate) fn takes_work(&self, now: Instant, silence: Duration) -> bool {
        self.state == MachineState::Up
            && self.fenced
            && !self.lease_expired
            && !self.notice
            && self.reachability != Reachability::Unreachable
            && self.recorded == Recorded::Yes
            && self.heard_at.is_some_and(|at| now.duration_since(at) <= silence)
            && self.shunned_until.is_none_or(|until| now >= until)
    }

    pub(crate) fn allows(&self, spec: &JobSpec) -> bool {
        allows(spec, &self.type_name, &self.zone, self.spot)
    }

    /// Notes an image as the most recently used; older ones fall out of the cache.
    pub(crate) fn touch_image(&mut self, image: &str, gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_owned(), gb));
        let room = self.size.as_ref().map_or(0.0, |t| t.cache_gb);
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while self.images.len() > 1 && (total > room || self.images.len() > 64) {
            total -= self.images.remove(0).1;
        }
    }

    /// Stops that have to be told to the worker, again with every answer.
    pub(crate) fn stops(&self) -> impl Iterator<Item = Order> + '_ {
        self.tasks.iter().filter_map(|((task, attempt), machine_task)| {
            let grace = machine_task.stop?;
            let again = match machine_task.state {
                MachineTaskState::Ordered { .. }
                | MachineTaskState::Fetching
                | MachineTaskState::Running => true,
                // A task that saves is let be, unless it has to go at once.
                MachineTaskState::Saving => grace.is_zero(),
                MachineTaskState::Assigned | MachineTaskState::Done | MachineTaskState::Exited => {
                    false
                }
            };
            let grace_s = grace.as_secs_f64();
            again.then(|| Order::Stop { task: task.clone(), attempt: *attempt, grace_s })
        })
    }
}

impl Need {
    pub(crate) fn add(&mut self, other: &Need) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub(crate) fn take(&mut self, other: &Need) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    pub(crate) fn times(&self, count: u32) -> Need {
        let count = f64::from(count);
        Need { cpus: self.cpus * count, gpus: self.gpus * count, memory_gb: self.memory_gb * count }
    }

    /// The less of each.
    pub(crate) fn least(&self, other: &Need) -> Need {
        Need {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    pub(crate) fn holds(&self, need: &Need) -> bool {
        need.cpus <= self.cpus + EPSILON
            && need.gpus <= self.gpus + EPSILON
            && need.memory_gb <= self.memory_gb + EPSILON
    }
}
