//! The scheduler, a cloud with several machine types, and users with jobs of mixed shapes.

use super::machine::Machine;
use crate::support::{config, job_record, mixed_machine_types};
use corkfield_core::{Action, Config, RentalFailure, Scheduler, Verdict};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::Team;
use corkfield_wire::{AgentEpoch, JobId, JobSpec, MachineName, Priority, Revision, TaskSet, Term};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(250);
/// Number of steps with troubles: two minutes.
const TROUBLED_STEPS: u32 = 480;
/// Number of steps without troubles: three minutes.
const QUIET_STEPS: u32 = 720;
/// The users' rule: once the troubles are over, no job waits for this long.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// Limit of the `limited` team, in CPUs. It suffices for one of the largest tasks.
const CPU_LIMIT: f64 = 40.0;
/// Maximum number of unfinished jobs.
const MAX_JOBS: usize = 12;
/// Maximum number of commits that are begun at once.
const MAX_COMMITS: usize = 32;
/// Time between two heartbeats of a machine.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Term of the only leader.
const TERM: Term = Term::new(1);

/// Pool of machines, as type, zone and kind.
type PoolName = (String, String, bool);

/// A job that is neither done nor cancelled.
struct UnfinishedJob {
    spec: JobSpec,
    run_time: Duration,
    /// Since when the job has had no placed task, counted from the end of the troubles at the
    /// earliest; `None` if it has one or its team is at its limit.
    waits_since: Option<Instant>,
}

pub struct Simulation {
    seed: u64,
    rng: SmallRng,
    now: Instant,
    scheduler: Scheduler,
    machines: BTreeMap<MachineName, Machine>,
    machines_started: u32,
    jobs: BTreeMap<JobId, UnfinishedJob>,
    jobs_submitted: u32,
    revision: u64,
    /// Pools without capacity, and until when.
    without_capacity: BTreeMap<PoolName, Instant>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let team = |name: &str, cpus_max: f64| Team {
            name: name.into(),
            cpus: 0.0,
            cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        let teams = vec![team("t", 0.0), team("limited", CPU_LIMIT)];
        let mut scheduler = Scheduler::new(Config { teams, ..config() }, TERM, seed);
        scheduler.set_machine_types(mixed_machine_types());
        Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            scheduler,
            machines: BTreeMap::new(),
            machines_started: 0,
            jobs: BTreeMap::new(),
            jobs_submitted: 0,
            revision: 1,
            without_capacity: BTreeMap::new(),
        }
    }

    /// Runs with troubles and then without. Returns a description of the first job that waits for
    /// too long.
    pub fn run(&mut self) -> Result<(), String> {
        for step in 0..TROUBLED_STEPS {
            self.cause_random_trouble();
            self.step(step);
        }
        self.without_capacity.clear();
        for machine in self.machines.values_mut() {
            machine.fails_until = self.now;
        }
        for step in 0..QUIET_STEPS {
            self.step(step);
            self.check_waiting_jobs()?;
        }
        Ok(())
    }

    fn cause_random_trouble(&mut self) {
        match self.rng.random_range(0..100) {
            0..=7 => self.submit_random_job(),
            8..=9 => self.cancel_random_job(),
            10 => self.reclaim_random_machine(),
            11 => self.end_capacity_of_random_pool(),
            12 => self.make_random_machine_fail(),
            _ => {}
        }
    }

    fn step(&mut self, step: u32) {
        self.now += STEP;
        self.send_heartbeats();
        self.scheduler.tick(self.now);
        self.commit_completions();
        self.reclaim_jobs();
        self.scheduler.run_placement_pass(self.now);
        if step % 4 == 0 {
            self.scheduler.scale(self.now);
        }
        self.execute_actions();
    }

    fn submit_random_job(&mut self) {
        if self.jobs.len() >= MAX_JOBS {
            return;
        }
        self.jobs_submitted += 1;
        let tasks = *[1, 1, 2, 5, 12].iter().choose(&mut self.rng).expect("not empty");
        let mut record: JobRecord = job_record(tasks, 1);
        let spec = &mut record.spec;
        spec.id = JobId::parse(&format!("j-{:06}", self.jobs_submitted)).expect("a valid job id");
        let rng = &mut self.rng;
        spec.cpus = [0.5, 1.0, 3.0, 5.0, 8.0, 20.0][rng.random_range(0..6)];
        spec.memory_gb = [1.0, 1.0, 12.0, 40.0, 100.0][rng.random_range(0..5)];
        if rng.random_bool(0.15) {
            (spec.gpus, spec.cpus, spec.memory_gb) = (1.0, 4.0, 12.0);
        }
        if rng.random_bool(0.2) {
            spec.zone = Some(["z1", "z2"][rng.random_range(0..2)].into());
        } else if rng.random_bool(0.2) {
            spec.one_zone = true;
        } else if rng.random_bool(0.2) {
            spec.spread = true;
        }
        if rng.random_bool(0.2) {
            spec.types = Some(vec!["large".into(), "gpu".into()]);
            spec.memory_gb = spec.memory_gb.min(60.0);
        }
        spec.spot = rng.random_bool(0.8);
        spec.priority = [Priority::High, Priority::Normal, Priority::Low][rng.random_range(0..3)];
        if rng.random_bool(0.3) {
            spec.team = "limited".into();
        }
        let run_s: f64 = [3.0, 15.0, 60.0, 1000.0][rng.random_range(0..4)];
        spec.estimate_s = run_s * [0.6, 1.0, 1.6][rng.random_range(0..3)];
        let id = spec.id.clone();
        let spec = spec.clone();
        let run_time = Duration::from_secs_f64(run_s);
        self.jobs.insert(id, UnfinishedJob { spec, run_time, waits_since: None });
        self.claim(record, TaskSet::default());
    }

    fn claim(&mut self, record: JobRecord, finished: TaskSet) {
        self.revision += 1;
        let revision = Revision::new(self.revision);
        self.scheduler.on_job_claimed(record, finished, revision, Duration::ZERO, self.now);
    }

    /// Claims jobs again that have backed off. The claim limit is not part of this simulation.
    fn reclaim_jobs(&mut self) {
        for id in self.scheduler.jobs_to_reclaim() {
            let Some(job) = self.scheduler.job(&id) else { continue };
            let record =
                JobRecord { generation: job.record.generation.next(), ..job.record.clone() };
            let finished = job.finished().clone();
            self.claim(record, finished);
        }
    }

    fn commit_completions(&mut self) {
        for commit in self.scheduler.due_completion_commits(MAX_COMMITS, self.now) {
            self.revision += 1;
            if commit.completes_job {
                self.jobs.remove(&commit.job);
            }
            self.scheduler.on_completion_committed(&commit, Revision::new(self.revision));
        }
    }

    fn cancel_random_job(&mut self) {
        let Some(id) = self.jobs.keys().choose(&mut self.rng).cloned() else { return };
        self.jobs.remove(&id);
        self.scheduler.close_job(&id);
    }

    fn reclaim_random_machine(&mut self) {
        let name = self.machines.keys().choose(&mut self.rng).cloned();
        if let Some(name) = name {
            self.remove_machine(&name);
        }
    }

    fn remove_machine(&mut self, name: &MachineName) {
        self.machines.remove(name);
        self.scheduler.on_machines_deleted(std::slice::from_ref(name));
    }

    fn end_capacity_of_random_pool(&mut self) {
        let types = mixed_machine_types();
        let name = &types[self.rng.random_range(0..types.len())].name;
        let zone = ["z1", "z2"][self.rng.random_range(0..2)];
        let pool = (name.clone(), zone.to_owned(), self.rng.random_bool(0.7));
        let until = self.now + Duration::from_secs(self.rng.random_range(5..60));
        self.without_capacity.insert(pool, until);
    }

    fn make_random_machine_fail(&mut self) {
        let until = self.now + Duration::from_secs(self.rng.random_range(1..10));
        if let Some(machine) = self.machines.values_mut().choose(&mut self.rng) {
            machine.fails_until = until;
        }
    }

    /// Delivers the heartbeats that are due, and executes the orders of their answers.
    fn send_heartbeats(&mut self) {
        let now = self.now;
        for machine in self.machines.values_mut().filter(|machine| now >= machine.up_at) {
            if !machine.advance(now) && now < machine.next_heartbeat_at {
                continue;
            }
            machine.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            let heartbeat = machine.next_heartbeat(TERM);
            if self.scheduler.on_heartbeat(&heartbeat, true, now) != Verdict::Accept {
                continue;
            }
            let orders = self.scheduler.orders_for_answer(
                machine.name.as_str(),
                AgentEpoch::FIRST,
                machine.last_sequence(),
                true,
                now,
            );
            let run_time =
                |id: &JobId| self.jobs.get(id).map_or(Duration::ZERO, |job| job.run_time);
            machine.execute(orders, run_time, now);
        }
    }

    fn execute_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::RentMachines(request) => self.answer_rental(&request),
                Action::DeleteMachines(names) => {
                    names.iter().for_each(|name| self.remove_machine(name));
                }
                Action::StoreMachineRecord(machine, _) => {
                    self.scheduler.on_machine_record_written(machine.as_str(), true);
                }
                // Stops are repeated in the answers to heartbeats.
                Action::SendDirectOrders { .. }
                | Action::SendHeldAnswer(_)
                | Action::DeleteMachineRecord(_) => {}
            }
        }
    }

    fn answer_rental(&mut self, request: &RentRequest) {
        let pool = (request.machine_type.clone(), request.zone.clone(), request.spot);
        let outcome = if self.without_capacity.get(&pool).is_some_and(|until| self.now < *until) {
            Err(RentalFailure::NoCapacity)
        } else {
            Ok((0..request.count).map(|_| self.start_machine(request)).collect())
        };
        self.scheduler.on_rental_answered(request, outcome, self.now);
    }

    fn start_machine(&mut self, request: &RentRequest) -> MachineName {
        self.machines_started += 1;
        let name = MachineName::from(format!("host-{:05}", self.machines_started));
        let types = mixed_machine_types();
        let machine_type =
            types.into_iter().find(|known| known.name == request.machine_type).expect("offered");
        let boot_s = machine_type.boot_s * self.rng.random_range(0.6..1.5);
        let up_at = self.now + Duration::from_secs_f64(boot_s);
        let machine = Machine::new(name.clone(), machine_type, request, up_at);
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Checks that no job of a team under its limit has waited for [`MAX_WAIT`].
    fn check_waiting_jobs(&mut self) -> Result<(), String> {
        let scheduler = &self.scheduler;
        let placed = |id: &JobId| scheduler.job(id).map_or(0, |job| job.placements().len());
        let limited = self.jobs.iter().filter(|(_, job)| job.spec.team == "limited");
        let limited_cpus: f64 = limited.map(|(id, job)| placed(id) as f64 * job.spec.cpus).sum();
        for (id, job) in &mut self.jobs {
            let is_at_limit =
                job.spec.team == "limited" && limited_cpus + job.spec.cpus > CPU_LIMIT;
            if placed(id) > 0 || is_at_limit {
                job.waits_since = None;
                continue;
            }
            let since = *job.waits_since.get_or_insert(self.now);
            if self.now - since > MAX_WAIT {
                let JobSpec { cpus, gpus, memory_gb, spot, zone, types, one_zone, spread, .. } =
                    &job.spec;
                return Err(format!(
                    "seed {}: {id} waits: {cpus} CPUs, {gpus} GPUs, {memory_gb} GB, spot {spot}, \
                     zone {zone:?}, types {types:?}, one zone {one_zone}, spread {spread}; \
                     {} machines",
                    self.seed,
                    self.machines.len()
                ));
            }
        }
        Ok(())
    }
}
