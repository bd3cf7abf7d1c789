//! The leader: the one view of all jobs and machines, rebuilt from records and reports.
//!
//! Safety rules are named S1 to S12 as in `docs/design.md`.

mod claims;
mod completion_commit;
mod failover;
mod heartbeats;
mod machines;
mod orders;

use crate::cluster::Cluster;
use crate::config::Config;
use crate::job::{Job, JobState};
use crate::machine::{Machine, MachineState, MachineTask, MachineTaskState, Reachability};
use crate::scaling::Scaling;
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::{JobRecord, MachineRecord};
use corkfield_wire::worker::Order;
use corkfield_wire::{JobId, TaskSet};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// A decision that no report came to fetch is taken back after this time.
const ASSIGNED_KEEP: Duration = Duration::from_secs(5);

/// Between two log lines of what happened to machines.
const NOTE_EVERY: Duration = Duration::from_secs(10);

/// What the world outside should do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A report whose answer is held back should be answered now.
    Answer(String),
    /// Orders that are safe at any time (stops), straight to the machine.
    Direct {
        /// The machine's name.
        machine: String,
        /// Where its worker takes direct orders.
        addr: String,
        /// The session that the orders are for.
        agent_epoch: u64,
        /// What to do, in order.
        orders: Vec<Order>,
    },
    /// The state service has to know the machine before anything starts on it.
    Record(String, MachineRecord),
    /// The machine is surely gone, and its record with it.
    Erase(String),
    /// Machines should be rented.
    Rent(RentRequest),
    /// Machines should be returned.
    Delete(Vec<String>),
}

/// What to do with a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was taken.
    Accept,
    /// Older than what is known, or of a machine that is gone: no answer with 200.
    Stale,
    /// The worker has seen a higher term than ours.
    HigherTerm(u64),
}

/// A write that settles finished tasks.
#[derive(Debug, Clone)]
pub struct CompletionCommit {
    /// Whose tasks.
    pub job: JobId,
    /// Version of the record that the write rests on.
    pub version: u64,
    /// The record to be stored.
    pub record: JobRecord,
    /// Finished numbers by chunk, for jobs too large to keep them in the record.
    pub chunks: Vec<(u32, TaskSet)>,
    /// Numbers of the tasks that this stores as done.
    pub tasks: Vec<u32>,
    /// Whether the job is done with it.
    pub finishes: bool,
}

/// Figures for operators.
#[derive(Debug, Clone, Default)]
pub struct Overview {
    /// Claimed jobs.
    pub jobs: usize,
    /// Tasks that have no place.
    pub waiting_tasks: u64,
    /// Tasks that run.
    pub running_tasks: u64,
    /// The job with waiting tasks that was accepted first, and how long ago.
    pub oldest_waiting: Option<(JobId, Duration)>,
    /// Jobs set aside at the claim limit.
    pub dead_lettered: Vec<JobId>,
    /// The highest count of claims of a job.
    pub most_claims: u32,
    /// Machines that take work.
    pub machines_up: usize,
    /// Machines whose workers have not reported yet.
    pub machines_booting: usize,
    /// Machines not accounted for since the failover.
    pub unreconciled: usize,
    /// Placement passes since the leader took over.
    pub passes: u64,
    /// Machines and tasks that these looked at.
    pub steps: u64,
}

/// The scheduler of one leader: all claimed jobs, all machines, and the decisions.
pub struct Scheduler {
    pub(crate) cluster: Cluster,
    term: u64,
    gone: VecDeque<String>,
    gone_names: HashSet<String>,
    /// Unfinished jobs that are not claimed yet: their tasks are let be.
    unclaimed: BTreeSet<JobId>,
    /// Machines recorded by earlier leaders whose tasks are not known yet (S7).
    unreconciled: BTreeSet<String>,
    /// Since when there are any.
    unreconciled_since: Option<Instant>,
    /// When the newest of them showed what it holds.
    accounted_at: Option<Instant>,
    pub(crate) actions: Vec<Action>,
    pub(crate) rng: SmallRng,
    pub(crate) scaling: Scaling,
    last_delete: Option<Instant>,
    pub(crate) passes: u64,
    /// What happened to machines since the last log line of its kind: how often, and to which.
    noted: BTreeMap<&'static str, (u32, String)>,
    noted_at: Option<Instant>,
    deaf: usize,
    /// Machines and tasks looked at in placement passes.
    pub(crate) steps: Cell<u64>,
}

impl Scheduler {
    /// A leader without jobs and machines, under a term that nobody else ever holds.
    pub fn new(config: Config, term: u64, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(config),
            term,
            gone: VecDeque::new(),
            gone_names: HashSet::new(),
            unclaimed: BTreeSet::new(),
            unreconciled: BTreeSet::new(),
            unreconciled_since: None,
            accounted_at: None,
            actions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            scaling: Scaling::new(term),
            last_delete: None,
            passes: 0,
            noted: BTreeMap::new(),
            noted_at: None,
            deaf: 0,
            steps: Cell::new(0),
        }
    }

    /// The term under which its orders travel.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes a higher term after a worker showed one that is higher than ours.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// What is to be done outside since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A claimed job.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.cluster.jobs.get(id)
    }

    /// A known machine.
    pub fn machine(&self, name: &str) -> Option<&Machine> {
        self.cluster.machines.get(name)
    }

    /// How many machines are known.
    pub fn machine_count(&self) -> usize {
        self.cluster.machines.len()
    }

    /// Notes what operators should know of a machine. Whole waves of them share a log line.
    pub(crate) fn note(&mut self, machine: &str, what: &'static str) {
        tracing::debug!(machine, "{what}");
        let noted = self.noted.entry(what).or_insert_with(|| (0, machine.to_owned()));
        noted.0 += 1;
    }

    fn tell_noted(&mut self, now: Instant) {
        let recently = |at| now.saturating_duration_since(at) < NOTE_EVERY;
        if self.noted_at.is_some_and(recently) {
            return;
        }
        let deaf = self
            .cluster
            .machines
            .values()
            .filter(|m| m.reachability() == Reachability::Unreachable)
            .count();
        if deaf != std::mem::replace(&mut self.deaf, deaf) {
            tracing::info!(machines = deaf, "report but take no orders");
            self.noted_at = Some(now);
        }
        for (what, (machines, one)) in std::mem::take(&mut self.noted) {
            tracing::info!(machines, one, "{what}");
            self.noted_at = Some(now);
        }
    }

    /// Everything that only time brings about.
    pub fn tick(&mut self, now: Instant) {
        let lease_expiry = self.cluster.config.lease_expiry_after();
        let mut unassign = Vec::new();
        let mut lease_expired = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            if !machine.lease_expired
                && machine.state() != MachineState::Booting
                && now.saturating_duration_since(machine.answered_at) > lease_expiry
            {
                // S5c: no controller can have answered it for longer than its lease.
                tracing::debug!(machine = %machine.name, "worker lease has lapsed");
                machine.lease_expired = true;
                machine.fenced = false;
                machine.ended_agent_epochs = machine.agent_epoch;
                let ordered = |machine_task: &MachineTask| {
                    matches!(machine_task.state, MachineTaskState::Ordered { .. })
                };
                if machine.tasks.values().any(ordered) {
                    machine.note_delivery(false);
                }
                lease_expired.push(machine.name.clone());
                continue;
            }
            // Also one that reports, but takes no more work: no start goes to a machine that drains
            // or is about to be taken, so what was assigned to it would wait there for ever, and
            // hold up its return.
            if !machine.takes_work(now, ASSIGNED_KEEP) && !machine.tasks.is_empty() {
                unassign.push(machine.name.clone());
            }
        }
        for name in lease_expired {
            self.unreconciled.remove(&name);
            self.drop_held(&name, |_| true);
        }
        for name in unassign {
            self.drop_held(&name, |machine_task| machine_task.state == MachineTaskState::Assigned);
        }
        for job in self.cluster.jobs.values_mut() {
            if matches!(job.state(), JobState::BackingOff(until) if now >= until) {
                job.enter(JobState::NeedsReclaim);
            }
            job.running = 0;
            job.note_nothing(now);
            // A job that failed on every machine there is would otherwise wait for ever.
            let untried = |m: &Machine| {
                m.state() == MachineState::Up
                    && m.allows(&job.record.spec)
                    && !job.failed_on.contains(&m.name)
            };
            if !job.failed_on.is_empty() && !self.cluster.machines.values().any(untried) {
                job.back_off(now);
            }
        }
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.cluster.machines.values() {
            for (job, count) in &machine.tasks.totals().running {
                *running.entry(job).or_default() += count;
            }
        }
        for (id, count) in running {
            if let Some(job) = self.cluster.jobs.get_mut(id) {
                job.running = count;
            }
        }
        self.give_up_unreconciled(now);
        self.tick_machines(now);
        self.tell_noted(now);
    }

    /// Figures for operators.
    pub fn overview(&self, now: Instant) -> Overview {
        let mut view = Overview { jobs: self.cluster.jobs.len(), ..Overview::default() };
        view.unreconciled = self.unreconciled.len();
        view.passes = self.passes;
        view.steps = self.steps.get();
        for (id, job) in &self.cluster.jobs {
            view.waiting_tasks += u64::from(job.waiting());
            view.running_tasks += u64::from(job.running);
            view.most_claims = view.most_claims.max(job.record.claims);
            if job.state() == JobState::DeadLettered {
                view.dead_lettered.push(id.clone());
            }
            let age = now.saturating_duration_since(job.accepted_at);
            let older = view.oldest_waiting.as_ref().is_none_or(|(_, oldest)| age > *oldest);
            if job.waiting() > 0 && older {
                view.oldest_waiting = Some((id.clone(), age));
            }
        }
        for machine in self.cluster.machines.values() {
            match machine.state() {
                MachineState::Up => view.machines_up += 1,
                MachineState::Booting => view.machines_booting += 1,
                _ => {}
            }
        }
        view
    }
}

pub(crate) fn direct_orders(machine: &Machine, orders: Vec<Order>) -> Action {
    Action::Direct {
        machine: machine.name.clone(),
        addr: machine.addr.clone(),
        agent_epoch: machine.agent_epoch,
        orders,
    }
}
