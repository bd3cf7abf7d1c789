//! The planner: the one view of all jobs and machines, rebuilt from records and reports.
//!
//! Safety rules are named S1 to S12 as in `docs/design.md`.

use crate::config::Config;
use crate::job::{Job, JobState, Placed};
use crate::machine::{Hearing, Held, HeldState, Machine, MachineState, Recorded};
use crate::renting::Renting;
use crate::team::Usage;
use corkfield_wire::cloud::{ListedMachine, ListedState, MachineType, RentRequest, MAX_DELETE};
use corkfield_wire::records::{JobRecord, MachineRecord, CHUNK_TASKS};
use corkfield_wire::worker::{ExitCause, Order, Report, TaskPhase, TaskReport};
use corkfield_wire::{JobId, TaskId, TaskSet};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Chunks of finished numbers in one settling write.
const MAX_CHUNKS: usize = 2;
/// Orders in one answer; keeps the answer's only line far below 64 KiB.
const MAX_ORDERS: usize = 250;
/// Names of machines that are gone, kept so that late messages don't bring them back.
const MAX_GONE: usize = 20_000;
/// A decision that no report came to fetch is taken back after this time.
const ASSIGNED_KEEP: Duration = Duration::from_secs(5);
const RETRY: Duration = Duration::from_secs(3);

/// After a take-over machines have a report interval and this long to show what they hold.
const FENCE_PATIENCE: Duration = Duration::from_secs(2);
/// While others still come, the rest may be on their way: when a cut ends or hung machines go on,
/// they answer one after the other, and the last of them must not be taken for the silent few.
const FENCE_STILL: Duration = Duration::from_secs(3);
/// So many machines that don't, or that part of all, are given up; never most of a small fleet.
const FEW_UNFENCED: usize = 2;
const UNFENCED_PART: usize = 8;
/// And only those that were asked this often in vain: a planner that is busy with the reports of
/// a whole fleet may not have come round to the others yet.
const GIVEN_UP_AFTER: u32 = 2;

/// Between two log lines of what happened to machines.
const NOTE_EVERY: Duration = Duration::from_secs(10);

/// So many reports with low order numbers, each above the one before, and no others, are a reason
/// to ask the worker whether it counts anew.
const BEHIND_REPORTS: u32 = 2;

/// What the world outside should do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A report whose answer is held back should be answered now.
    Answer(String),
    /// Orders that are safe at any time (stops), straight to the machine.
    Direct {
        machine: String,
        addr: String,
        session: u64,
        orders: Vec<Order>,
    },
    /// The state service has to know the machine before anything starts on it.
    Record(String, MachineRecord),
    /// The machine is surely gone, and its record with it.
    Erase(String),
    Rent(RentRequest),
    Delete(Vec<String>),
}

/// What to do with a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Accept,
    /// Older than what is known, or of a machine that is gone: no answer with 200.
    Stale,
    /// The worker has seen a higher term than ours.
    HigherTerm(u64),
}

/// A write that settles finished tasks.
#[derive(Debug, Clone)]
pub struct Settlement {
    pub job: JobId,
    pub version: u64,
    pub record: JobRecord,
    /// Finished numbers by chunk, for jobs too large to keep them in the record.
    pub chunks: Vec<(u32, TaskSet)>,
    pub tasks: Vec<u32>,
    pub finishes: bool,
}

/// Figures for operators.
#[derive(Debug, Clone, Default)]
pub struct Overview {
    pub jobs: usize,
    pub waiting_tasks: u64,
    pub running_tasks: u64,
    pub oldest_waiting: Option<(JobId, Duration)>,
    pub set_aside: Vec<JobId>,
    pub most_claims: u32,
    pub machines_up: usize,
    pub machines_booting: usize,
    pub unfenced: usize,
    /// Planning passes since the planner took over.
    pub passes: u64,
    /// Machines and tasks that these looked at.
    pub steps: u64,
}

pub struct Planner {
    pub(crate) config: Config,
    term: u64,
    pub(crate) types: Vec<MachineType>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) machines: BTreeMap<String, Machine>,
    gone: VecDeque<String>,
    gone_names: HashSet<String>,
    /// Unfinished jobs that are not claimed yet: their tasks are let be.
    unclaimed: BTreeSet<JobId>,
    /// Machines recorded by earlier planners whose tasks are not known yet (S7).
    unfenced: BTreeSet<String>,
    /// Since when there are any.
    unfenced_since: Option<Instant>,
    /// When the newest of them showed what it holds.
    accounted_at: Option<Instant>,
    pub(crate) actions: Vec<Action>,
    pub(crate) rng: SmallRng,
    pub(crate) renting: Renting,
    /// Run time seen against the owners' guesses, by class: count and sum of ratios.
    pub(crate) corrections: HashMap<String, (u32, f64)>,
    last_delete: Option<Instant>,
    pub(crate) passes: u64,
    /// What happened to machines since the last log line of its kind: how often, and to which.
    noted: BTreeMap<&'static str, (u32, String)>,
    noted_at: Option<Instant>,
    deaf: usize,
    /// Rooms and tasks looked at in planning passes.
    pub(crate) steps: Cell<u64>,
}

impl Planner {
    pub fn new(config: Config, term: u64, seed: u64) -> Self {
        Self {
            config,
            term,
            types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            gone: VecDeque::new(),
            gone_names: HashSet::new(),
            unclaimed: BTreeSet::new(),
            unfenced: BTreeSet::new(),
            unfenced_since: None,
            accounted_at: None,
            actions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            renting: Renting::new(term),
            corrections: HashMap::new(),
            last_delete: None,
            passes: 0,
            noted: BTreeMap::new(),
            noted_at: None,
            deaf: 0,
            steps: Cell::new(0),
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes a higher term after a worker showed one that is higher than ours.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        for machine in self.machines.values_mut() {
            machine.size = types.iter().find(|t| t.name == machine.type_name).cloned();
        }
        self.types = types;
    }

    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Jobs that have to be claimed once more.
    pub fn lapsed_jobs(&self) -> Vec<JobId> {
        let lapsed = self.jobs.iter().filter(|(_, j)| j.state() == JobState::Lapsed);
        lapsed.map(|(id, _)| id.clone()).collect()
    }

    pub fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Whether a planning pass might start something there, now that it has reported.
    pub fn may_start_on(&self, name: &str, now: Instant) -> bool {
        self.machines.get(name).is_some_and(|machine| {
            machine.takes_work(now, Duration::MAX)
                && machine.free().is_some_and(|free| free.cpus > 0.0)
        }) && self.jobs.values().any(|job| job.may_start() && job.waiting() > 0)
    }

    // ----- take-over -----

    /// A machine on which an earlier planner may have started tasks. Nothing that was claimed
    /// before is started until it has reported under our term, or is gone, or has lapsed.
    /// `age` is the time since the record was written, at the least.
    pub fn recorded_machine(
        &mut self,
        name: &str,
        record: &MachineRecord,
        age: Duration,
        now: Instant,
    ) {
        let MachineRecord { addr, machine_type, zone, spot, .. } = record.clone();
        let mut machine = Machine::new(name.to_owned(), machine_type, zone, spot, &self.types, now);
        machine.addr = addr;
        machine.recorded = Recorded::Yes;
        // It existed then, so the first lists may tell already that it is gone.
        machine.known_since = now.checked_sub(age).unwrap_or(now);
        // S6: the planner before us may have answered it until its fresh state ran out.
        machine.answered_at = now + self.config.answer_limit;
        machine.enter(MachineState::Up);
        self.unfenced.insert(name.to_owned());
        self.unfenced_since.get_or_insert(now);
        self.machines.insert(name.to_owned(), machine);
    }

    /// Machines that have to be asked, under our term, what they hold, or whether they hear.
    pub fn fence_targets(&self) -> Vec<(String, String, u64)> {
        let asked = self.machines.values().filter(|machine| {
            !machine.addr.is_empty()
                && machine.state() != MachineState::Deleting
                && (machine.hearing() == Hearing::Deaf
                    || machine.behind.1 >= BEHIND_REPORTS
                    || self.unfenced.contains(&machine.name))
        });
        asked.map(|m| (m.name.clone(), m.addr.clone(), m.session.max(1))).collect()
    }

    /// The newest order number known of a machine: what it says in answer to a question asked
    /// after this is newer.
    pub fn known_order(&self, name: &str) -> (u64, u64) {
        self.machines.get(name).map_or((0, 0), |m| (m.session, m.seq))
    }

    /// A machine's answer to direct orders that were sent when `known` was the newest order
    /// number known of it.
    pub fn on_answer(&mut self, report: &Report, known: (u64, u64), now: Instant) -> Verdict {
        let verdict = self.on_report(report, false, now);
        if (report.session, report.seq) <= known {
            self.restarted(&report.machine);
        }
        verdict
    }

    /// A worker that counts anew has lost all its tasks, and its numbers no longer tell old
    /// reports from new ones. So it is not trusted again: the machine is returned.
    fn restarted(&mut self, name: &str) {
        self.hand_back(name, "its worker began anew; returned");
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
        let deaf = self.machines.values().filter(|m| m.hearing() == Hearing::Deaf).count();
        if deaf != std::mem::replace(&mut self.deaf, deaf) {
            tracing::info!(machines = deaf, "report but take no orders");
            self.noted_at = Some(now);
        }
        for (what, (machines, one)) in std::mem::take(&mut self.noted) {
            tracing::info!(machines, one, "{what}");
            self.noted_at = Some(now);
        }
    }

    /// Returns a machine at once, with all that it may hold; the answered deletion settles that.
    fn hand_back(&mut self, name: &str, why: &'static str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.state() != MachineState::Deleting {
            machine.enter(MachineState::Deleting);
            self.last_delete = None;
            self.note(name, why);
        }
    }

    /// Takes a machine out of use: it gets no new work, and is returned once it is empty.
    pub fn drain(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.enter(MachineState::Draining);
        }
    }

    /// A few machines that don't answer hold up every task claimed before, until they lapse or
    /// the list drops them half a minute later. Returned ones are surely gone (S5b), so those
    /// few are given up. Where many are silent it is more likely a zone, or this controller,
    /// that is cut off: then their work is worth the wait.
    fn give_up_unfenced(&mut self, now: Instant) {
        let Some(since) = self.unfenced_since else {
            return;
        };
        let waited = now.saturating_duration_since(since);
        let machines = self.machines.len();
        if self.unfenced.is_empty() {
            let waited_s = waited.as_secs_f64();
            tracing::info!(machines, waited_s, "all machines accounted for after the take-over");
            self.unfenced_since = None;
            return;
        }
        let few = FEW_UNFENCED.min(machines / 2).max(machines / UNFENCED_PART);
        let patience = self.config.report_interval + FENCE_PATIENCE;
        let coming =
            self.accounted_at.is_some_and(|at| now.saturating_duration_since(at) < FENCE_STILL);
        if waited < patience || coming || self.unfenced.len() > few {
            return;
        }
        let asked = |name: &&String| {
            self.machines.get(*name).is_some_and(|machine| machine.unanswered >= GIVEN_UP_AFTER)
        };
        let silent: Vec<String> = self.unfenced.iter().filter(asked).cloned().collect();
        for name in silent {
            self.hand_back(&name, "no answer after the take-over; returned");
        }
    }

    /// A machine did not answer direct orders in time.
    pub fn unanswered(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.unanswered += 1;
        }
    }

    /// All tasks that earlier planners started are accounted for.
    pub fn is_complete(&self) -> bool {
        self.unfenced.is_empty()
    }

    // ----- jobs -----

    /// Which unfinished jobs are still to be claimed. A take-over claims them a few at a time,
    /// and their machines report meanwhile: tasks of jobs that are merely not claimed yet must
    /// neither be stopped as nobody's, nor their results be forgotten.
    pub fn set_unclaimed(&mut self, unclaimed: BTreeSet<JobId>) {
        self.unclaimed = unclaimed;
    }

    /// A job that was claimed, with its finished tasks.
    pub fn claimed(
        &mut self,
        record: JobRecord,
        finished: TaskSet,
        version: u64,
        age: Duration,
        now: Instant,
    ) {
        let Some(team) = self.config.teams.iter().position(|t| t.name == record.spec.team) else {
            tracing::error!(job = %record.spec.id, "claimed a job of an unknown team");
            return;
        };
        let id = record.spec.id.clone();
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_live()) {
            job.reclaimed(record, version, now);
            if job.state() == JobState::SetAside {
                self.stop_job(&id);
            }
            return;
        }
        let mut job = Job::new(record, finished, version, team, age, now);
        // Tasks that fresh machines reported before the claim are taken up now.
        for machine in self.machines.values_mut() {
            for ((task, attempt), held) in machine.held.iter_mut().filter(|((t, _), _)| t.job == id)
            {
                held.belongs_to(job.spec(), team);
                if held.state == HeldState::Done {
                    job.finish(task.index);
                } else if held.takes_room() && !job.active().contains_key(&task.index) {
                    held.stop = None;
                    job.place(task.index, &machine.name, *attempt);
                }
            }
        }
        let spec = job.spec();
        tracing::debug!(
            job = %id,
            class = %spec.class,
            tasks = spec.tasks,
            cpus = spec.cpus,
            memory_gb = spec.memory_gb,
            zone = ?spec.zone,
            types = ?spec.types,
            spot = spec.spot,
            one_zone = spec.one_zone,
            spread = spec.spread,
            estimate_s = spec.estimate_s,
            deadline_s = spec.deadline_s,
            age_s = age.as_secs_f64(),
            generation = job.record.generation,
            claims = job.record.claims,
            "claimed"
        );
        self.jobs.insert(id, job);
    }

    /// Closes all jobs that are no longer unfinished.
    pub fn close_all_but(&mut self, unfinished: impl Fn(&JobId) -> bool) {
        let live = self.jobs.iter().filter(|(_, job)| job.is_live()).map(|(id, _)| id);
        let over = live.chain(&self.unclaimed).filter(|id| !unfinished(id)).cloned();
        for id in over.collect::<Vec<JobId>>() {
            self.close_job(&id);
        }
    }

    /// The job is cancelled, done, or another's: nothing of it may start any more, and what of it
    /// is on machines is stopped, whether it was claimed yet or not.
    pub fn close_job(&mut self, id: &JobId) {
        let unclaimed = self.unclaimed.remove(id);
        match self.jobs.get_mut(id) {
            Some(job) if job.is_live() => job.enter(JobState::Closing),
            None if unclaimed => {}
            _ => return,
        }
        tracing::debug!(job = %id, "closed");
        self.stop_job(id);
        self.sweep_job(id);
    }

    fn stop_job(&mut self, id: &JobId) {
        let mut orders: Vec<Action> = Vec::new();
        for machine in self.machines.values_mut().filter(|m| m.held.has_tasks_of(id)) {
            machine
                .held
                .retain(|(task, _), held| !(task.job == *id && held.state == HeldState::Assigned));
            let mut stops = Vec::new();
            for ((task, attempt), held) in machine.held.iter_mut() {
                if task.job == *id && held.takes_room() {
                    held.stop = Some(Duration::ZERO);
                    let (task, attempt) = (task.clone(), *attempt);
                    stops.push(Order::Stop { task, attempt, grace_s: 0.0 });
                }
            }
            if !stops.is_empty() && machine.session > 0 {
                orders.push(direct(machine, stops));
            }
        }
        self.actions.extend(orders);
        if let Some(job) = self.jobs.get_mut(id) {
            let id = id.clone();
            let held = |index: u32, placed: &Placed| {
                let key = (TaskId { job: id.clone(), index }, placed.attempt);
                self.machines.get(&placed.machine).is_some_and(|m| m.held.contains_key(&key))
            };
            let active = job.active().iter();
            let lost: Vec<(u32, Placed)> =
                active.filter(|(n, p)| !held(**n, p)).map(|(n, p)| (*n, p.clone())).collect();
            for (index, placed) in lost {
                job.release(index, &placed.machine, placed.attempt);
            }
        }
    }

    fn sweep_job(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|j| !j.is_live() && j.active().is_empty()) {
            self.jobs.remove(id);
        }
    }

    /// Settling writes that are due, those first for which somebody waits, then those that have
    /// waited longest: in the order of their ids, the last of hundreds would never have their
    /// turn. Each has to be answered with [`Self::settled`] or [`Self::settling_failed`].
    pub fn settlements(&mut self, most: usize, now: Instant) -> Vec<Settlement> {
        let due = self.jobs.values_mut().filter_map(|job| {
            let waited_for = job.settling_due(now)?;
            Some((!waited_for, job.settled_at, job))
        });
        let mut due: Vec<(bool, Option<Instant>, &mut Job)> = due.collect();
        due.sort_by_key(|(later, at, _)| (*later, *at));
        due.truncate(most);
        due.into_iter().map(|(_, _, job)| Self::settlement(job, now)).collect()
    }

    fn settlement(job: &mut Job, now: Instant) -> Settlement {
        let mut record = job.record.clone();
        let mut chunks: BTreeMap<u32, TaskSet> = BTreeMap::new();
        let mut tasks = Vec::new();
        if record.is_chunked() {
            // A few chunks at a time stay below the limits of a transaction.
            for &index in job.unstored() {
                let chunk = index / CHUNK_TASKS;
                if !chunks.contains_key(&chunk) {
                    if chunks.len() >= MAX_CHUNKS {
                        break;
                    }
                    chunks.insert(chunk, job.chunk(chunk));
                }
                tasks.push(index);
            }
            record.done = record.done.saturating_add(u32::try_from(tasks.len()).unwrap_or(0));
        } else {
            tasks.extend(job.unstored());
            record.finished = job.finished().clone();
            record.done = record.finished.len();
        }
        record.running = job.running;
        if std::mem::take(&mut job.unannounced) {
            record.begin_more();
        }
        if job.is_refunded_now(now) {
            job.refunded = true;
            record.claims -= 1;
        }
        if !tasks.is_empty() {
            // Progress resets the count of claims (S12).
            record.claims = 0;
        }
        job.settling = true;
        job.settled_at = Some(now);
        Settlement {
            job: record.spec.id.clone(),
            version: job.version,
            finishes: record.done >= record.spec.tasks,
            record,
            chunks: chunks.into_iter().collect(),
            tasks,
        }
    }

    pub fn settled(&mut self, settlement: &Settlement, version: u64) {
        let Some(job) = self.jobs.get_mut(&settlement.job) else {
            return;
        };
        job.settling = false;
        job.stored(&settlement.tasks);
        job.version = version;
        job.record = settlement.record.clone();
        if settlement.finishes {
            tracing::debug!(job = %settlement.job, tasks = settlement.record.done, "job done");
            self.close_job(&settlement.job);
        }
    }

    /// The write may be tried again from the record as it was found, if that is still ours.
    pub fn settling_failed(&mut self, id: &JobId, found: Option<(JobRecord, TaskSet, u64)>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.settling = false;
        if let Some((record, finished, version)) = found {
            job.found_stored(&finished);
            job.record = record;
            job.version = version;
        }
    }

    // ----- reports -----

    /// Takes a message of a worker: one of its own reports, or its answer to direct orders.
    pub fn on_report(&mut self, report: &Report, own_report: bool, now: Instant) -> Verdict {
        if report.term > self.term {
            return Verdict::HigherTerm(report.term);
        }
        if self.gone_names.contains(&report.machine) {
            return Verdict::Stale;
        }
        let known = self.machines.contains_key(&report.machine);
        if !known {
            tracing::debug!(machine = %report.machine, kind = %report.machine_type, "new machine");
        }
        let types = &self.types;
        let machine = self.machines.entry(report.machine.clone()).or_insert_with(|| {
            Machine::new(
                report.machine.clone(),
                report.machine_type.clone(),
                report.zone.clone(),
                report.spot,
                types,
                now,
            )
        });
        // Held-back messages: older ones never count (S10), nor do those of sessions that
        // are known to have ended (S5). If they go on coming, and only they, the worker may have
        // begun to count anew.
        let order = (report.session, report.seq);
        if report.session <= machine.ended_sessions || order <= (machine.session, machine.seq) {
            if own_report && order > machine.behind.0 {
                machine.behind = (order, machine.behind.1 + 1);
            }
            return Verdict::Stale;
        }
        // The highest term that a worker has seen never falls.
        if report.term < machine.shown_term {
            self.restarted(&report.machine);
            return Verdict::Stale;
        }
        machine.shown_term = report.term;
        machine.behind = ((0, 0), 0);
        machine.unanswered = 0;
        if own_report {
            machine.reported(report.term);
        } else {
            machine.heard(true);
        }
        machine.addr.clone_from(&report.addr);
        let gap = machine.heard_at.map(|at| now.saturating_duration_since(at));
        let prompt = gap.filter(|gap| *gap <= self.config.report_interval.mul_f64(1.5));
        machine.heard_at = Some(now);
        machine.notice = report.notice_s.is_some();
        if machine.state() == MachineState::Booting {
            machine.enter(MachineState::Up);
            machine.about_to_answer(now);
        }
        machine.session = report.session;
        machine.seq = report.seq;
        let name = report.machine.clone();
        // S7: only what was sent after the worker took our term is fresh. A machine without a
        // record was never given a task by anybody.
        let unused = machine.recorded == Recorded::No && report.tasks.is_empty();
        machine.fresh = machine.fresh || unused || report.term == self.term;
        if !machine.fresh {
            return Verdict::Accept;
        }
        if machine.lapsed {
            machine.lapsed = false;
            machine.about_to_answer(now);
        }
        if machine.recorded == Recorded::No {
            machine.recorded = Recorded::Writing;
            let record = MachineRecord {
                addr: machine.addr.clone(),
                machine_type: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                recorded_ms: 0,
            };
            self.actions.push(Action::Record(name.clone(), record));
        }
        self.sync_tasks(&name, report, own_report, prompt, now);
        if self.unfenced.remove(&name) {
            self.accounted_at = Some(now);
        }
        if report.notice_s.is_some() {
            self.drain_noticed(&name);
        }
        Verdict::Accept
    }

    fn sync_tasks(
        &mut self,
        name: &str,
        report: &Report,
        own_report: bool,
        prompt: Option<Duration>,
        now: Instant,
    ) {
        let mut reported: BTreeSet<(TaskId, u64)> = BTreeSet::new();
        let mut taken = false;
        for task in &report.tasks {
            reported.insert((task.task.clone(), task.attempt));
            taken |= self.sync_task(name, task, prompt, now);
        }
        let (session, seq) = (report.session, report.seq);
        let missing = |key: &(TaskId, u64), held: &Held| {
            let settled = match held.state {
                HeldState::Assigned => false,
                // A start travels only in the answer to a report, and the worker drops it after
                // a while (S3). Only a later report of its own shows that it was not carried
                // out; an answer to direct orders may have been made while it was under way.
                HeldState::Ordered { session: s, seq: n } => own_report && (session, seq) > (s, n),
                _ => true,
            };
            settled && !reported.contains(key)
        };
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let lost: Vec<((TaskId, u64), bool)> = machine
            .held
            .iter()
            .filter(|(k, h)| missing(k, h))
            .map(|(k, h)| (k.clone(), matches!(h.state, HeldState::Ordered { .. })))
            .collect();
        if taken || lost.iter().any(|(_, ordered)| *ordered) {
            machine.heard(taken);
        }
        for (key, _) in lost {
            self.release(name, &key);
        }
    }

    /// Takes what a report says of a task; true if that shows that a start was taken.
    fn sync_task(
        &mut self,
        name: &str,
        task: &TaskReport,
        prompt: Option<Duration>,
        now: Instant,
    ) -> bool {
        let key = (task.task.clone(), task.attempt);
        let job = self.jobs.get_mut(&task.task.job);
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let state = match (task.phase, task.cause) {
            (TaskPhase::Fetching, _) => HeldState::Fetching,
            (TaskPhase::Running | TaskPhase::Other, _) => HeldState::Running,
            (TaskPhase::Saving, _) => HeldState::Saving,
            (TaskPhase::Exited, Some(ExitCause::Done)) => HeldState::Done,
            (TaskPhase::Exited, _) => HeldState::Exited,
        };
        let before = machine.held.get(&key).map(|h| (h.state, h.since));
        let taken = matches!(before, Some((HeldState::Ordered { .. }, _)));
        let held = machine.held.entry(key.clone()).or_insert_with(|| Held {
            state,
            since: now,
            spec: None,
            team: None,
            priority: None,
            ours: false,
            stop: None,
        });
        if before.is_none_or(|(known, _)| known != state) {
            tracing::debug!(task = %task.task, machine = name, attempt = task.attempt, ?state, "task");
        }
        held.enter(state, now);
        let Some(job) = job else {
            // Cancelled, done, or not claimed yet; stopped once all jobs are claimed.
            return taken;
        };
        held.belongs_to(job.spec(), job.team);
        let index = task.task.index;
        match state {
            HeldState::Done => {
                if job.finish(index) {
                    machine.failures = 0;
                    machine.failed_jobs.clear();
                    // A run time is known only if its beginning and its end were reported at
                    // once: a machine that couldn't report for a while is not a slow one.
                    let before = before.filter(|_| held.ours);
                    if let (Some((HeldState::Running, since)), Some(gap)) = (before, prompt) {
                        let ran = now.duration_since(since);
                        Self::note_run(&mut self.corrections, job, machine, ran, gap);
                    }
                }
            }
            HeldState::Exited => {
                if !matches!(before, Some((HeldState::Exited, _))) {
                    job.release(index, name, task.attempt);
                    self.note_exit(name, task, now);
                }
            }
            _ if !job.is_live()
                || job.state() == JobState::SetAside
                || job.finished().contains(index) =>
            {
                held.stop = Some(Duration::ZERO);
            }
            _ => match job.active().get(&index) {
                None => {
                    // Started by an earlier planner, or found again: it goes on.
                    job.place(index, name, task.attempt);
                    machine.touch_image(&job.record.spec.image, job.record.spec.image_gb);
                }
                Some(placed) if placed.machine == name && placed.attempt == task.attempt => {}
                Some(placed) => {
                    let other = &placed.machine;
                    tracing::warn!(task = %task.task, machine = name, other, "task reported twice");
                    held.stop = Some(Duration::ZERO);
                }
            },
        }
        self.sweep_job(&task.task.job);
        taken
    }

    fn note_run(
        corrections: &mut HashMap<String, (u32, f64)>,
        job: &mut Job,
        machine: &mut Machine,
        ran: Duration,
        gap: Duration,
    ) {
        if job.runs.0 >= 2 {
            let mean = job.runs.1 / f64::from(job.runs.0);
            // It may have ended at any moment since the report before: a machine whose reports
            // are held up for seconds is not a slow one.
            let least = ran.saturating_sub(gap).as_secs_f64();
            let ratio = (least / mean.max(0.5)).clamp(0.2, 10.0);
            machine.slowness = machine.slowness * 0.7 + ratio * 0.3;
            machine.slowness_samples += 1;
        }
        let ran = ran.as_secs_f64();
        job.runs.0 += 1;
        job.runs.1 += ran;
        let guess = job.record.spec.estimate_s;
        if guess > 0.0 {
            let class = corrections.entry(job.record.spec.class.clone()).or_insert((0, 0.0));
            if class.0 >= 200 {
                *class = (class.0 / 2, class.1 / 2.0);
            }
            class.0 += 1;
            class.1 += (ran / guess).clamp(0.05, 20.0);
        }
    }

    fn note_exit(&mut self, name: &str, task: &TaskReport, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.task.job) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        match task.cause {
            Some(ExitCause::Error) => {
                tracing::debug!(task = %task.task, machine = name, "task failed");
                job.failures += 1;
                if !job.failed_on.iter().any(|m| m == name) {
                    job.failed_on.push(name.to_owned());
                }
                // A job that fails everywhere says nothing about the machines it fails on.
                if job.failed_on.len() <= 2 || job.runs.0 > 0 {
                    machine.failures += 1;
                    let id = task.task.job.as_str();
                    if !machine.failed_jobs.iter().any(|j| j == id) {
                        machine.failed_jobs.push(id.to_owned());
                    }
                }
                if job.failed_on.len() >= 3 {
                    job.back_off(now);
                }
                let proven =
                    machine.failed_jobs.len() >= 2 || (machine.failures >= 2 && job.runs.0 > 0);
                if proven && machine.state() == MachineState::Up {
                    machine.enter(MachineState::Draining);
                    self.note(name, "machine fails its tasks; returned");
                }
            }
            Some(ExitCause::NoRoom | ExitCause::Busy) => {
                machine.shunned_until = Some(now + Duration::from_secs(2));
            }
            Some(ExitCause::Unknown) => {
                job.enter(JobState::BackingOff(now + Duration::from_secs(3)));
            }
            _ => {}
        }
    }

    fn drain_noticed(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let mut saving: Vec<((TaskId, u64), Duration)> = Vec::new();
        for (key, held) in machine.held.iter() {
            let Some(job) = self.jobs.get(&key.0.job) else {
                continue;
            };
            let saves = job.spec().checkpoint_s > 0.0;
            if held.state == HeldState::Running && saves && held.stop.is_none() {
                saving.push((key.clone(), job.stop_grace()));
            }
        }
        let stops: Vec<Order> =
            saving.iter().filter_map(|(key, grace)| machine.stop(key, *grace)).collect();
        if !stops.is_empty() {
            let action = direct(machine, stops);
            self.actions.push(action);
        }
    }

    /// Whether starts wait for that machine's next report.
    pub fn has_starts_for(&self, name: &str) -> bool {
        let assigned = |held: &Held| held.state == HeldState::Assigned;
        self.machines.get(name).is_some_and(|machine| machine.held.values().any(assigned))
    }

    /// Whether the answer to a report may wait for work: the machine has nothing to tell.
    pub fn may_hold(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|m| {
            m.fresh && m.held.is_empty() && m.state() == MachineState::Up && !m.notice
        })
    }

    /// The answer to the report with this session and number. `may_start` is false while our
    /// own lease may have ended (S4). Every call counts as an answer with 200.
    pub fn orders(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        may_start: bool,
        now: Instant,
    ) -> Vec<Order> {
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        machine.answered(self.term, now);
        if !machine.fresh {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for ((task, attempt), held) in machine.held.iter_mut() {
            let job = self.jobs.get(&task.job);
            if job.is_none() && self.unclaimed.contains(&task.job) {
                continue;
            }
            let forget = match held.state {
                // S9: stored before it is forgotten.
                HeldState::Done => match job {
                    Some(job) => !job.is_live() || job.is_stored(task.index),
                    None => true,
                },
                HeldState::Exited => true,
                _ => false,
            };
            if forget {
                orders.push(Order::Forget { task: task.clone(), attempt: *attempt });
            } else if job.is_none() && held.takes_room() {
                // S11: nobody's task, so cancelled, done or lost.
                held.stop = Some(Duration::ZERO);
            }
        }
        orders.extend(machine.stops());
        orders.truncate(MAX_ORDERS);
        let current = (machine.session, machine.seq) == (session, seq);
        if may_start && current && machine.takes_work(now, Duration::MAX) {
            for ((task, attempt), held) in machine.held.iter_mut() {
                if held.state != HeldState::Assigned || orders.len() >= MAX_ORDERS {
                    continue;
                }
                let Some(job) = self.jobs.get(&task.job).filter(|j| j.may_start()) else {
                    continue;
                };
                // The order's generation must be that of the job's record.
                debug_assert_eq!(*attempt >> 24, job.record.generation);
                let waited_ms = now.saturating_duration_since(held.since).as_millis();
                held.enter(HeldState::Ordered { session, seq }, now);
                tracing::debug!(%task, machine = name, attempt, seq, waited_ms, "start ordered");
                orders.push(Order::Start { task: task.clone(), attempt: *attempt });
            }
        }
        orders
    }

    /// The machine's record is in the state service.
    pub fn machine_recorded(&mut self, name: &str, stored: bool) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.recorded = if stored { Recorded::Yes } else { Recorded::No };
        }
    }

    // ----- machines that go -----

    /// Takes a task off a machine that surely no longer has it.
    fn release(&mut self, name: &str, key: &(TaskId, u64)) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if let Some(held) = machine.held.remove(key) {
            tracing::debug!(task = %key.0, machine = name, attempt = key.1, was = ?held.state, "task off");
            if let Some(job) = self.jobs.get_mut(&key.0.job) {
                job.release(key.0.index, name, key.1);
            }
            self.sweep_job(&key.0.job);
        }
    }

    fn drop_held(&mut self, name: &str, which: impl Fn(&Held) -> bool) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let keys: Vec<(TaskId, u64)> =
            machine.held.iter().filter(|(_, h)| which(h)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.release(name, &key);
        }
    }

    fn machine_gone(&mut self, name: &str) {
        self.drop_held(name, |_| true);
        if let Some(machine) = self.machines.remove(name) {
            tracing::debug!(machine = name, "machine gone");
            if machine.recorded != Recorded::No {
                self.actions.push(Action::Erase(name.to_owned()));
            }
        }
        self.unfenced.remove(name);
        if self.gone_names.insert(name.to_owned()) {
            self.gone.push_back(name.to_owned());
        }
        if self.gone.len() > MAX_GONE {
            if let Some(oldest) = self.gone.pop_front() {
                self.gone_names.remove(&oldest);
            }
        }
    }

    /// A deletion was answered with 200.
    pub fn deleted(&mut self, names: &[String]) {
        for name in names {
            self.machine_gone(name);
        }
    }

    /// A whole list of the cloud, asked for at `asked`.
    pub fn on_list(&mut self, list: &[ListedMachine], asked: Instant, now: Instant) {
        let settle = self.config.list_settles_after();
        let mut listed: BTreeSet<&str> = BTreeSet::new();
        for entry in list {
            listed.insert(&entry.name);
            if self.gone_names.contains(&entry.name) {
                continue;
            }
            if entry.state == ListedState::Failed {
                if self.machines.contains_key(&entry.name) {
                    self.machine_gone(&entry.name);
                    self.actions.push(Action::Delete(vec![entry.name.clone()]));
                }
                continue;
            }
            let types = &self.types;
            let machine = self.machines.entry(entry.name.clone()).or_insert_with(|| {
                let mut machine = Machine::new(
                    entry.name.clone(),
                    entry.machine_type.clone(),
                    entry.zone.clone(),
                    entry.spot,
                    types,
                    now,
                );
                let age = Duration::try_from_secs_f64(entry.age_s).unwrap_or_default();
                machine.rented_at = now.checked_sub(age).unwrap_or(now);
                machine
            });
            if machine.addr.is_empty() {
                machine.addr.clone_from(&entry.addr);
            }
        }
        let mut missing = Vec::new();
        for machine in self.machines.values_mut() {
            // It existed when we came to know it, and this list describes a later moment.
            if !listed.contains(machine.name.as_str()) && asked >= machine.known_since + settle {
                missing.push(machine.name.clone());
            }
        }
        for name in missing {
            tracing::debug!(machine = %name, "no longer listed");
            self.machine_gone(&name);
        }
    }

    /// Everything that only time brings about.
    pub fn tick(&mut self, now: Instant) {
        let lapse = self.config.lapse_after();
        let mut unassign = Vec::new();
        let mut lapsed = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.lapsed
                && machine.state() != MachineState::Booting
                && now.saturating_duration_since(machine.answered_at) > lapse
            {
                // S5c: no controller can have answered it for longer than its lease.
                tracing::debug!(machine = %machine.name, "worker lease has lapsed");
                machine.lapsed = true;
                machine.fresh = false;
                machine.ended_sessions = machine.session;
                let ordered = |held: &Held| matches!(held.state, HeldState::Ordered { .. });
                if machine.held.values().any(ordered) {
                    machine.heard(false);
                }
                lapsed.push(machine.name.clone());
                continue;
            }
            // Also one that reports, but takes no more work: no start goes to a machine that drains
            // or is about to be taken, so what was assigned to it would wait there for ever, and
            // hold up its return.
            if !machine.takes_work(now, ASSIGNED_KEEP) && !machine.held.is_empty() {
                unassign.push(machine.name.clone());
            }
        }
        for name in lapsed {
            self.unfenced.remove(&name);
            self.drop_held(&name, |_| true);
        }
        for name in unassign {
            self.drop_held(&name, |held| held.state == HeldState::Assigned);
        }
        for job in self.jobs.values_mut() {
            if matches!(job.state(), JobState::BackingOff(until) if now >= until) {
                job.enter(JobState::Lapsed);
            }
            job.running = 0;
            job.note_nothing(now);
            // A job that failed on every machine there is would otherwise wait for ever.
            let untried = |m: &Machine| {
                m.state() == MachineState::Up
                    && m.allows(&job.record.spec)
                    && !job.failed_on.contains(&m.name)
            };
            if !job.failed_on.is_empty() && !self.machines.values().any(untried) {
                job.back_off(now);
            }
        }
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.machines.values() {
            for (job, count) in &machine.held.totals().running {
                *running.entry(job).or_default() += count;
            }
        }
        for (id, count) in running {
            if let Some(job) = self.jobs.get_mut(id) {
                job.running = count;
            }
        }
        self.give_up_unfenced(now);
        self.tick_machines(now);
        self.tell_noted(now);
    }

    fn tick_machines(&mut self, now: Instant) {
        let mut delete = Vec::new();
        let again = self.last_delete.is_none_or(|at| now.duration_since(at) >= RETRY);
        for machine in self.machines.values_mut() {
            if machine.state() == MachineState::Draining && machine.held.is_empty() {
                machine.enter(MachineState::Deleting);
                delete.push(machine.name.clone());
            } else if machine.state() == MachineState::Deleting && again {
                delete.push(machine.name.clone());
            }
        }
        if again {
            self.last_delete = Some(now);
        }
        for names in delete.chunks(MAX_DELETE) {
            self.actions.push(Action::Delete(names.to_vec()));
        }
    }

    pub(crate) fn usage(&self) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.config.teams.len()];
        for machine in self.machines.values() {
            for (sum, used) in usage.iter_mut().zip(&machine.held.totals().by_team) {
                *sum = sum.plus(*used);
            }
        }
        usage
    }

    pub(crate) fn is_unfenced(&self, machine: &str) -> bool {
        self.unfenced.contains(machine)
    }

    pub fn overview(&self, now: Instant) -> Overview {
        let mut view = Overview { jobs: self.jobs.len(), ..Overview::default() };
        view.unfenced = self.unfenced.len();
        view.passes = self.passes;
        view.steps = self.steps.get();
        for (id, job) in &self.jobs {
            view.waiting_tasks += u64::from(job.waiting());
            view.running_tasks += u64::from(job.running);
            view.most_claims = view.most_claims.max(job.record.claims);
            if job.state() == JobState::SetAside {
                view.set_aside.push(id.clone());
            }
            let age = now.saturating_duration_since(job.accepted_at);
            let older = view.oldest_waiting.as_ref().is_none_or(|(_, oldest)| age > *oldest);
            if job.waiting() > 0 && older {
                view.oldest_waiting = Some((id.clone(), age));
            }
        }
        for machine in self.machines.values() {
            match machine.state() {
                MachineState::Up => view.machines_up += 1,
                MachineState::Booting => view.machines_booting += 1,
                _ => {}
            }
        }
        view
    }
}

pub(crate) fn direct(machine: &Machine, orders: Vec<Order>) -> Action {
    Action::Direct {
        machine: machine.name.clone(),
        addr: machine.addr.clone(),
        session: machine.session,
        orders,
    }
}
