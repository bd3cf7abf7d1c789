//! Chooses random events and executes them.

use super::invariants;
use super::machines::MAX_MACHINES;
use super::restarts::DelayedHeartbeat;
use super::store::Store;
use super::workers::{JobBehavior, PendingHeartbeat, Worker};
use super::writes::{PendingWrite, WriteState};
use crate::support::{config, machine_type};
use corkfield_core::{Config, Scheduler, Verdict};
use corkfield_wire::settings::Team;
use corkfield_wire::worker::Order;
use corkfield_wire::{Incarnation, JobId, MachineName, Revision, TaskSet, Term};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Limit of the `limited` team, in CPUs.
pub const CPU_LIMIT: f64 = 6.0;
/// Probability that a heartbeat is delayed while faults occur.
const DELAYED_HEARTBEAT_PROBABILITY: f64 = 0.15;
/// Maximum number of unfinished jobs.
pub(super) const MAX_JOBS: usize = 6;
/// Time within which all jobs must complete once the faults have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(600);
/// Duration of one round of that time.
const COMPLETION_ROUND: Duration = Duration::from_millis(500);

/// A scheduler together with the workers, the store and the users that it interacts with.
pub struct Driver {
    seed: u64,
    pub(super) rng: SmallRng,
    pub now: Instant,
    pub scheduler: Scheduler,
    pub store: Store,
    pub workers: BTreeMap<MachineName, Worker>,
    /// What happens to the tasks of each submitted job.
    pub(super) behaviors: BTreeMap<JobId, JobBehavior>,
    /// Tasks of each job that have completed on a machine.
    pub(super) completed: BTreeMap<JobId, TaskSet>,
    pub(super) cancelled: Vec<JobId>,
    pub(super) writes: Vec<PendingWrite>,
    /// Heartbeats that are delayed; their senders no longer wait for an answer.
    pub(super) delayed_heartbeats: Vec<DelayedHeartbeat>,
    /// Versions of the job records that the scheduler knew after the previous step.
    pub known_versions: BTreeMap<JobId, Revision>,
    /// Revision of the store whose contents were checked last.
    checked_revision: Revision,
    term: Term,
    pub(super) machines_started: u32,
    pub(super) jobs_submitted: u32,
    /// Probability that a heartbeat is delayed; 0 once the faults have ended.
    delayed_heartbeat_probability: f64,
}

fn config_with_limited_team() -> Config {
    let team = |name: &str, cpus_max: f64| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Config { teams: vec![team("t", 0.0), team("limited", CPU_LIMIT)], ..config() }
}

fn new_scheduler(term: Term, seed: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(config_with_limited_team(), term, seed);
    scheduler.set_machine_types(vec![machine_type()]);
    scheduler
}

impl Driver {
    pub fn new(seed: u64) -> Self {
        let mut driver = Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            scheduler: new_scheduler(Term::new(1), seed),
            store: Store::default(),
            workers: BTreeMap::new(),
            behaviors: BTreeMap::new(),
            completed: BTreeMap::new(),
            cancelled: Vec::new(),
            writes: Vec::new(),
            delayed_heartbeats: Vec::new(),
            known_versions: BTreeMap::new(),
            checked_revision: Revision::NONE,
            term: Term::new(1),
            machines_started: 0,
            jobs_submitted: 0,
            delayed_heartbeat_probability: DELAYED_HEARTBEAT_PROBABILITY,
        };
        for _ in 0..MAX_MACHINES / 2 {
            driver.start_machine();
        }
        driver
    }

    /// Executes one random event and checks all invariants.
    pub fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..=24 => self.send_or_answer_heartbeat(),
            25..=26 => self.restart_worker_with_delayed_heartbeats(),
            27..=29 => self.deliver_random_delayed_heartbeat(),
            30..=41 => self.advance_random_worker(),
            42..=53 => self.advance_clock_randomly(),
            54..=61 => self.begin_claim(),
            62..=67 => self.begin_commits(),
            68..=79 => self.advance_random_write(),
            80..=84 => self.submit_job(),
            85..=89 => self.send_random_direct_request(),
            90..=91 => self.start_machine(),
            92 => self.delete_random_machine(),
            93 => self.disconnect_random_worker(),
            94 => match self.rng.random_range(0..3) {
                0 => self.impair_random_machine(),
                1 => self.restart_random_worker(),
                _ => self.drop_random_delayed_heartbeat(),
            },
            95..=96 => self.cancel_random_job(),
            97 => self.release_random_dead_lettered_job(),
            98 => self.upload_random_job_description(),
            _ => {
                if self.rng.random_bool(0.3) {
                    self.change_leader();
                } else {
                    self.claim_random_job_amid_lost_commit();
                }
            }
        }
        self.execute_actions();
        self.check_invariants();
    }

    /// Panics if an invariant is violated. Also updates the known versions.
    pub(super) fn check_invariants(&mut self) {
        let mut checked = invariants::check(self);
        if self.checked_revision != self.store.revision() {
            self.checked_revision = self.store.revision();
            checked = checked.and_then(|()| invariants::check_store(self));
        }
        if let Err(violation) = checked {
            panic!("seed {}: {violation}", self.seed);
        }
        let jobs = self.store.jobs.keys().filter_map(|id| Some((id, self.scheduler.job(id)?)));
        self.known_versions = jobs.map(|(id, job)| (id.clone(), job.version)).collect();
    }

    pub(super) fn owner(&self) -> Incarnation {
        Incarnation::from(format!("leader-{}", self.term).as_str())
    }

    pub(super) fn random_machine(&mut self) -> Option<MachineName> {
        self.workers.keys().choose(&mut self.rng).cloned()
    }

    pub(super) fn behavior_of(behaviors: &BTreeMap<JobId, JobBehavior>, id: &JobId) -> JobBehavior {
        behaviors.get(id).copied().unwrap_or(JobBehavior::Unknown)
    }

    /// Makes a random worker send its next heartbeat, or answers its pending one.
    fn send_or_answer_heartbeat(&mut self) {
        let Some(name) = self.random_machine() else { return };
        let is_pending = self.workers[&name].pending_heartbeat.is_some();
        if is_pending || (self.send_heartbeat(&name) && self.rng.random_bool(0.7)) {
            self.answer(&name);
        }
    }

    /// Makes a worker send a heartbeat if it can. Returns whether the heartbeat was accepted.
    fn send_heartbeat(&mut self, name: &MachineName) -> bool {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("an existing machine");
        if !worker.can_send_heartbeat(now) {
            return false;
        }
        if self.rng.random_bool(self.delayed_heartbeat_probability) {
            self.delayed_heartbeats.push(DelayedHeartbeat::send_from(worker));
            return false;
        }
        let (heartbeat, origin) = (worker.next_message(), worker.origin());
        if self.scheduler.on_heartbeat(&heartbeat, origin, now) != Verdict::Accept {
            worker.abandon_heartbeat();
            return false;
        }
        let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
        worker.pending_heartbeat =
            Some(PendingHeartbeat { agent_epoch, sequence, sent_at: now, is_answered: false });
        true
    }

    /// Answers the heartbeat for which a worker awaits an answer; some answers are lost.
    fn answer(&mut self, name: &MachineName) {
        let worker = self.workers.get_mut(name).expect("an existing machine");
        let Some(pending) = worker.mark_answered() else { return };
        if self.rng.random_bool(0.8) {
            self.scheduler.run_placement_pass(self.now);
        }
        // S4: no start may be sent while the controller's lease may have expired.
        let may_start = self.rng.random_bool(0.8);
        let orders = self.scheduler.orders_for_answer(
            name.as_str(),
            pending.agent_epoch,
            pending.sequence,
            may_start,
            self.now,
        );
        self.check_orders(&orders);
        let is_lost = self.rng.random_bool(0.1);
        let worker = self.workers.get_mut(name).expect("an existing machine");
        if !is_lost && self.now >= worker.disconnected_until {
            let behaviors = &self.behaviors;
            worker.accept_answer(self.scheduler.term(), orders, |id| {
                Self::behavior_of(behaviors, id)
            });
        }
    }

    /// Checks that starts carry the generation of their job's record and are below the start
    /// watermark, both as known to the scheduler and as stored.
    pub(super) fn check_orders(&self, orders: &[Order]) {
        for order in orders {
            let Order::Start { task, attempt } = order else { continue };
            let record = &self
                .scheduler
                .job(&task.job)
                .expect("a start must belong to a claimed job")
                .record;
            let seed = self.seed;
            assert_eq!(attempt.generation(), record.generation, "seed {seed}: start of {task}");
            assert!(task.index < record.start_watermark, "seed {seed}: S7, start of {task}");
            // The next leader knows only what is stored. Later claims never lower the watermark.
            let Some(stored) = self.store.jobs.get(&task.job) else { continue };
            let stored_watermark = stored.record.start_watermark;
            assert!(
                task.index < stored_watermark,
                "seed {seed}: S7, start of {task} is not stored"
            );
            assert!(
                attempt.generation() <= stored.record.generation,
                "seed {seed}: start of {task} under a claim that is not stored"
            );
        }
    }

    fn advance_random_worker(&mut self) {
        if let Some(name) = self.random_machine() {
            self.advance_worker(&name);
        }
    }

    /// Advances the tasks of a worker, and records which of them have completed.
    fn advance_worker(&mut self, name: &MachineName) {
        let worker = self.workers.get_mut(name).expect("an existing machine");
        let behaviors = &self.behaviors;
        for task in worker.advance_tasks(|id| Self::behavior_of(behaviors, id)) {
            self.completed.entry(task.job).or_default().insert(task.index);
        }
    }

    fn advance_clock_randomly(&mut self) {
        let elapsed = Duration::from_millis(self.rng.random_range(50..900));
        self.advance_clock(elapsed);
    }

    pub(super) fn advance_clock(&mut self, elapsed: Duration) {
        self.now += elapsed;
        for worker in self.workers.values_mut() {
            worker.expire_timeouts(self.now);
        }
        self.scheduler.tick(self.now);
    }

    /// Replaces the leader by another controller with a higher term. Requests of the previous
    /// leader that the store has not received yet stay in flight.
    fn change_leader(&mut self) {
        self.term = self.term.next();
        for pending in &mut self.writes {
            pending.is_abandoned = true;
        }
        self.writes.retain(|pending| matches!(pending.state, WriteState::RequestInTransit));
        for worker in self.workers.values_mut() {
            worker.abandon_heartbeat();
        }
        self.scheduler = new_scheduler(self.term, self.seed);
        self.known_versions.clear();
        for (name, record) in &self.store.machines {
            self.scheduler.add_recorded_machine(name.as_str(), record, Duration::ZERO, self.now);
        }
        self.close_ended_jobs();
    }

    /// Ends all faults and runs until every job has completed.
    ///
    /// # Panics
    ///
    /// Panics if a job does not complete in time.
    pub fn complete_all_jobs(&mut self) {
        self.delayed_heartbeat_probability = 0.0;
        for behavior in self.behaviors.values_mut() {
            *behavior = JobBehavior::Completes;
        }
        for worker in self.workers.values_mut() {
            (worker.is_faulty, worker.has_interruption_notice) = (false, false);
            worker.disconnected_until = self.now;
        }
        let deadline = self.now + COMPLETION_TIMEOUT;
        while !self.store.jobs.is_empty() {
            if self.now >= deadline {
                panic!("seed {}: {}", self.seed, invariants::describe_unfinished_jobs(self));
            }
            self.run_completion_round();
        }
        for id in self.behaviors.keys() {
            let has_ended = self.store.done.contains_key(id) || self.cancelled.contains(id);
            assert!(has_ended, "seed {}: {id} is neither done nor cancelled", self.seed);
        }
    }

    /// Runs one round without faults: answers all heartbeats and all writes.
    fn run_completion_round(&mut self) {
        self.start_machine();
        self.release_random_dead_lettered_job();
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            // The scheduler may have deleted the machine earlier in this round.
            if !self.workers.contains_key(&name) {
                continue;
            }
            self.advance_worker(&name);
            self.send_heartbeat(&name);
            self.answer(&name);
            self.execute_actions();
            self.check_invariants();
        }
        for _ in 0..MAX_JOBS {
            self.begin_claim();
            self.begin_commits();
            while !self.writes.is_empty() {
                self.advance_random_write();
                self.check_invariants();
            }
            self.send_random_direct_request();
        }
        self.execute_actions();
        self.advance_clock(COMPLETION_ROUND);
        self.check_invariants();
    }
}
