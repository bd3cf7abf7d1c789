//! Chooses what happens next, and carries it out.

use super::invariants;
use super::machines::MAX_MACHINES;
use super::restarts::HeldHeartbeat;
use super::store::Store;
use super::workers::{Exchange, Fate, Worker};
use super::writes::{PendingWrite, WriteState};
use crate::support::{config, job_record, machine_type};
use corkfield_core::{Config, Scheduler, Verdict};
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::Team;
use corkfield_wire::worker::Order;
use corkfield_wire::{Incarnation, JobId, MachineName, Priority, Revision, Term};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// CPUs that the team with a limit may use.
pub const CPU_LIMIT: f64 = 6.0;
/// The part of the heartbeats that are held back while there are troubles.
const HELD_BACK: f64 = 0.15;
/// So many unfinished jobs at the most.
const MAX_JOBS: usize = 6;
/// How long the rest may take once all troubles are over.
const TIME_TO_FINISH: Duration = Duration::from_secs(600);
/// A turn of that time.
const FINISH_TURN: Duration = Duration::from_millis(500);

/// The scheduler, and all that it deals with.
pub struct Driver {
    seed: u64,
    pub(super) rng: SmallRng,
    pub now: Instant,
    pub scheduler: Scheduler,
    pub store: Store,
    pub workers: BTreeMap<MachineName, Worker>,
    pub(super) fates: BTreeMap<JobId, Fate>,
    cancelled: Vec<JobId>,
    pub(super) writes: Vec<PendingWrite>,
    /// Heartbeats that are held back on their way; their senders have given them up.
    pub(super) held_heartbeats: Vec<HeldHeartbeat>,
    /// Versions of the jobs' records that the scheduler knew after the step before.
    pub known_versions: BTreeMap<JobId, Revision>,
    term: Term,
    pub(super) machines_started: u32,
    jobs_submitted: u32,
    /// The part of the heartbeats that are held back.
    held_back: f64,
}

fn two_teams() -> Config {
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
    let mut scheduler = Scheduler::new(two_teams(), term, seed);
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
            fates: BTreeMap::new(),
            cancelled: Vec::new(),
            writes: Vec::new(),
            held_heartbeats: Vec::new(),
            known_versions: BTreeMap::new(),
            term: Term::new(1),
            machines_started: 0,
            jobs_submitted: 0,
            held_back: HELD_BACK,
        };
        for _ in 0..MAX_MACHINES / 2 {
            driver.start_machine();
        }
        driver
    }

    /// One random event, and the check of all invariants.
    pub fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..=24 => self.exchange_with_some_worker(),
            25..=26 => self.restart_amid_held_heartbeats(),
            27..=29 => self.deliver_some_held_heartbeat(),
            30..=41 => self.advance_some_worker(),
            42..=53 => self.pass_time(),
            54..=61 => self.begin_claim(),
            62..=67 => self.begin_commits(),
            68..=79 => self.advance_some_write(),
            80..=84 => self.submit_job(),
            85..=89 => self.send_some_fence(),
            90..=91 => self.start_machine(),
            92 => self.lose_some_machine(),
            93 => self.silence_some_worker(),
            94 => match self.rng.random_range(0..3) {
                0 => self.trouble_some_machine(),
                1 => self.restart_some_worker(),
                _ => self.drop_some_held_heartbeat(),
            },
            95..=96 => self.cancel_some_job(),
            97 => self.release_some_dead_lettered_job(),
            98 => self.upload_some_description(),
            _ => {
                if self.rng.random_bool(0.3) {
                    self.change_leader();
                }
            }
        }
        self.carry_out_actions();
        self.check();
    }

    pub(super) fn check(&mut self) {
        if let Err(broken) = invariants::check(self) {
            panic!("seed {}: {broken}", self.seed);
        }
        let jobs = self.store.jobs.keys().filter_map(|id| Some((id, self.scheduler.job(id)?)));
        self.known_versions = jobs.map(|(id, job)| (id.clone(), job.version)).collect();
    }

    pub(super) fn owner(&self) -> Incarnation {
        Incarnation::from(format!("leader-{}", self.term).as_str())
    }

    pub(super) fn some_machine(&mut self) -> Option<MachineName> {
        self.workers.keys().choose(&mut self.rng).cloned()
    }

    pub(super) fn fate(fates: &BTreeMap<JobId, Fate>, id: &JobId) -> Fate {
        fates.get(id).copied().unwrap_or(Fate::Unknown)
    }

    /// A worker sends its next heartbeat, or its last one is answered.
    fn exchange_with_some_worker(&mut self) {
        let Some(name) = self.some_machine() else { return };
        let waits = self.workers[&name].exchange.is_some();
        if waits || (self.send_heartbeat(&name) && self.rng.random_bool(0.7)) {
            self.answer(&name);
        }
    }

    /// A worker sends its heartbeat, if it can; whether it was accepted.
    fn send_heartbeat(&mut self, name: &MachineName) -> bool {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("a machine that is up");
        if !worker.may_send(now) {
            return false;
        }
        if self.rng.random_bool(self.held_back) {
            self.held_heartbeats.push(HeldHeartbeat::sent_by(worker));
            return false;
        }
        let (heartbeat, origin) = (worker.next_message(), worker.origin());
        if self.scheduler.on_heartbeat(&heartbeat, origin, now) != Verdict::Accept {
            worker.give_up_exchange();
            return false;
        }
        let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
        worker.exchange =
            Some(Exchange { agent_epoch, sequence, sent_at: now, is_answered: false });
        true
    }

    /// Answers the heartbeat that a worker waits with; some answers are lost.
    fn answer(&mut self, name: &MachineName) {
        let worker = self.workers.get_mut(name).expect("a machine that is up");
        let Some(sent) = worker.begin_answer() else { return };
        if self.rng.random_bool(0.8) {
            self.scheduler.run_placement_pass(self.now);
        }
        // S4: without a proof of fresh state no start leaves.
        let may_start = self.rng.random_bool(0.8);
        let orders = self.scheduler.orders_for_answer(
            name.as_str(),
            sent.agent_epoch,
            sent.sequence,
            may_start,
            self.now,
        );
        self.check_orders(&orders);
        let is_lost = self.rng.random_bool(0.1);
        let worker = self.workers.get_mut(name).expect("a machine that is up");
        if !is_lost && self.now >= worker.silent_until {
            let fates = &self.fates;
            worker.take_answer(self.scheduler.term(), orders, |id| Self::fate(fates, id));
        }
    }

    pub(super) fn check_orders(&self, orders: &[Order]) {
        for order in orders {
            let Order::Start { task, attempt } = order else { continue };
            let record =
                &self.scheduler.job(&task.job).expect("a start is of a claimed job").record;
            let seed = self.seed;
            assert_eq!(attempt.generation(), record.generation, "seed {seed}: start of {task}");
            assert!(task.index < record.start_watermark, "seed {seed}: S7, start of {task}");
        }
    }

    fn advance_some_worker(&mut self) {
        let Some(name) = self.some_machine() else { return };
        let worker = self.workers.get_mut(&name).expect("a machine that is up");
        let fates = &self.fates;
        worker.advance_tasks(|id| Self::fate(fates, id));
    }

    fn pass_time(&mut self) {
        let by = Duration::from_millis(self.rng.random_range(50..900));
        self.advance_clock(by);
    }

    pub(super) fn advance_clock(&mut self, by: Duration) {
        self.now += by;
        for worker in self.workers.values_mut() {
            worker.pass_time(self.now);
        }
        self.scheduler.tick(self.now);
    }

    fn submit_job(&mut self) {
        if self.store.jobs.len() >= MAX_JOBS {
            return;
        }
        self.jobs_submitted += 1;
        let tasks = self.rng.random_range(1..14);
        let mut record = JobRecord::new(job_record(tasks, 1).spec, 0);
        record.spec.id =
            JobId::parse(&format!("j-{:06}", self.jobs_submitted)).expect("a valid job id");
        record.spec.cpus = [1.0, 1.0, 2.0][self.rng.random_range(0..3)];
        record.spec.priority =
            [Priority::High, Priority::Normal, Priority::Low][self.rng.random_range(0..3)];
        if self.rng.random_bool(0.5) {
            record.spec.team = "limited".into();
        }
        let fate = match self.rng.random_range(0..10) {
            0..=1 => Fate::Fails,
            2..=3 => Fate::Unknown,
            _ => Fate::Completes,
        };
        self.fates.insert(record.spec.id.clone(), fate);
        self.store.put(record);
    }

    fn cancel_some_job(&mut self) {
        let Some(id) = self.store.jobs.keys().choose(&mut self.rng).cloned() else { return };
        self.store.jobs.remove(&id);
        self.cancelled.push(id.clone());
        self.scheduler.close_job(&id);
    }

    fn release_some_dead_lettered_job(&mut self) {
        let dead = self.store.jobs.values().filter(|stored| stored.record.dead_lettered);
        let Some(record) = dead.choose(&mut self.rng).map(|stored| stored.record.clone()) else {
            return;
        };
        self.store.put(JobRecord { dead_lettered: false, claims: 0, owner: None, ..record });
    }

    /// The user of a job that workers did not know uploads its description.
    fn upload_some_description(&mut self) {
        let unknown = self.fates.iter_mut().filter(|(_, fate)| **fate == Fate::Unknown);
        if let Some((_, fate)) = unknown.choose(&mut self.rng) {
            *fate = Fate::Completes;
        }
    }

    /// Another controller leads, under a higher term. Writes of the one before are still under
    /// way.
    fn change_leader(&mut self) {
        self.term = self.term.next();
        for pending in &mut self.writes {
            pending.given_up = true;
        }
        self.writes.retain(|pending| matches!(pending.state, WriteState::Travelling));
        for worker in self.workers.values_mut() {
            worker.give_up_exchange();
        }
        self.scheduler = new_scheduler(self.term, self.seed);
        self.known_versions.clear();
        for (name, record) in &self.store.machines {
            self.scheduler.add_recorded_machine(name.as_str(), record, Duration::ZERO, self.now);
        }
        self.close_what_is_over();
    }

    /// All troubles are over: what can complete has to be done within some minutes.
    pub fn end_troubles(&mut self) {
        self.held_back = 0.0;
        for fate in self.fates.values_mut() {
            *fate = Fate::Completes;
        }
        for worker in self.workers.values_mut() {
            (worker.is_faulty, worker.has_notice) = (false, false);
            worker.silent_until = self.now;
        }
        let deadline = self.now + TIME_TO_FINISH;
        while !self.store.jobs.is_empty() {
            if self.now >= deadline {
                panic!("seed {}: {}", self.seed, invariants::describe_stuck(self));
            }
            self.finish_turn();
        }
        for id in self.fates.keys() {
            let is_over = self.store.done.contains(id) || self.cancelled.contains(id);
            assert!(is_over, "seed {}: {id} is lost", self.seed);
        }
    }

    fn finish_turn(&mut self) {
        self.start_machine();
        self.release_some_dead_lettered_job();
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            // Machines that the scheduler returned before their turn are gone.
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let fates = &self.fates;
            worker.advance_tasks(|id| Self::fate(fates, id));
            self.send_heartbeat(&name);
            self.answer(&name);
            self.carry_out_actions();
            self.check();
        }
        for _ in 0..MAX_JOBS {
            self.begin_claim();
            self.begin_commits();
            while !self.writes.is_empty() {
                self.advance_some_write();
                self.check();
            }
            self.send_some_fence();
        }
        self.carry_out_actions();
        self.advance_clock(FINISH_TURN);
        self.check();
    }
}
