//! What the stand-ins share: the jobs as users upload them, and what runs where. Breaches of rules
//! are noted as they happen.

use crate::record::Record;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A job, as its user submits it, and the run time of its tasks in seconds.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Value,
    pub run_s: f64,
}

impl Job {
    /// Returns a job array of a team.
    pub fn array(id: &str, owner: &str, pieces: u32, vcpus: f64, run_s: f64) -> Self {
        let spec = json!({
            "name_id": id, "pool": "nightly", "owner": owner, "shape": "sweep",
            "rank": "normal", "pieces": pieces, "vcpus": vcpus, "accelerators": 0.0,
            "mem_gb": vcpus * 3.5,
            "bundle": "img-1", "image_gb": 0.6, "flavours": null, "site": null,
            "same_place": false, "apart": false, "loaners": true, "guess_s": run_s,
            "snapshot_s": 0.0, "flush_s": 0.0, "due_s": null
        });
        Self { spec, run_s }
    }

    pub fn id(&self) -> &str {
        self.spec["name_id"].as_str().unwrap_or_default()
    }

    pub fn number(&self, field: &str) -> f64 {
        self.spec[field].as_f64().unwrap_or(0.0)
    }
}

/// An answer to a poll, a submission or a withdrawal.
#[derive(Debug, Clone)]
pub struct Poll {
    pub sent_at: Instant,
    /// The status that the answer gave; `None` without an answer of 200 or 404.
    pub status: Option<String>,
}

#[derive(Default)]
struct State {
    jobs: BTreeMap<String, Job>,
    on_machine: BTreeMap<String, BTreeSet<String>>,
    completed: BTreeMap<String, BTreeSet<u32>>,
    starts: BTreeMap<String, u32>,
    polls: BTreeMap<String, Vec<Poll>>,
    cancelled_at: BTreeMap<String, Instant>,
    final_status: BTreeMap<String, (String, Instant)>,
    accepted_at: BTreeMap<String, Instant>,
    teams: BTreeMap<String, f64>,
    machines: BTreeMap<String, Value>,
    breaches: Vec<String>,
    late_reported: BTreeSet<String>,
    killed_by_lease: usize,
}

impl State {
    /// Returns the limits and constraints that the start of a task on a machine breaks.
    fn broken_limits(&self, piece: &str, machine: &str) -> Vec<String> {
        let mut broken = Vec::new();
        let (id, _) = split_piece(piece);
        let Some(job) = self.jobs.get(&id) else { return broken };
        let team = job.spec["owner"].as_str().unwrap_or_default();
        let cpus: f64 = self
            .on_machine
            .iter()
            .filter_map(|(on, machines)| {
                let job = self.jobs.get(&split_piece(on).0)?;
                (job.spec["owner"] == team).then(|| job.number("vcpus") * machines.len() as f64)
            })
            .sum();
        if self.teams.get(team).is_some_and(|max| *max > 0.0 && cpus > max + 1e-6) {
            broken.push(format!("quota: {team} uses {cpus} CPUs when {piece} starts"));
        }
        let Some(properties) = self.machines.get(machine) else { return broken };
        let site_of = |machine: &String| self.machines.get(machine).map(|known| &known["site"]);
        let sites: Vec<&Value> = self
            .on_machine
            .iter()
            .filter(|(on, _)| split_piece(on).0 == id)
            .flat_map(|(_, machines)| machines.iter().filter_map(site_of))
            .collect();
        let here = sites.iter().filter(|site| **site == &properties["site"]).count();
        let allows = |field: &str, value: &Value| match &job.spec[field] {
            Value::Null => true,
            Value::Array(allowed) => allowed.contains(value),
            only => only == value,
        };
        let half = (job.number("pieces") / 2.0).ceil() as usize;
        if !allows("site", &properties["site"])
            || !allows("flavours", &properties["flavour"])
            || job.spec["loaners"] == false && properties["loaners"] == true
            || job.spec["same_place"] == true && here < sites.len()
            || job.spec["apart"] == true && here > half
        {
            broken.push(format!("wrong_place: {piece} starts on {machine} ({properties})"));
        }
        broken
    }
}

/// The shared state of the stand-ins.
pub struct World {
    pub record: Rc<Record>,
    pub cancel_limit: Duration,
    state: RefCell<State>,
}

impl World {
    pub fn new(record: Rc<Record>, cancel_limit: Duration) -> Rc<Self> {
        Rc::new(Self { record, cancel_limit, state: RefCell::default() })
    }

    /// Uploads the description of a job.
    pub fn add_job(&self, job: &Job) {
        self.state.borrow_mut().jobs.insert(job.id().to_owned(), job.clone());
    }

    /// Sets the limit of a team, in CPUs.
    pub fn add_team(&self, name: &str, cpus_max: f64) {
        self.state.borrow_mut().teams.insert(name.to_owned(), cpus_max);
    }

    /// Adds a machine, with its `site`, `flavour` and `loaners`.
    pub fn add_machine(&self, name: &str, properties: Value) {
        self.state.borrow_mut().machines.insert(name.to_owned(), properties);
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.state.borrow().jobs.get(id).cloned()
    }

    fn breach(&self, text: String) {
        self.record.say(format!("BREACH {text}"));
        self.state.borrow_mut().breaches.push(text);
    }

    pub fn breaches(&self) -> Vec<String> {
        self.state.borrow().breaches.clone()
    }

    /// A task has its image and starts on a machine.
    pub fn on_start(&self, piece: &str, attempt: u64, machine: &str) {
        self.record.note(format!("{machine}: start {piece} try {attempt}"));
        let elsewhere = {
            let mut state = self.state.borrow_mut();
            *state.starts.entry(piece.to_owned()).or_default() += 1;
            let on = state.on_machine.entry(piece.to_owned()).or_default();
            let elsewhere: Vec<String> = on.iter().cloned().collect();
            on.insert(machine.to_owned());
            elsewhere
        };
        let broken = self.state.borrow().broken_limits(piece, machine);
        broken.into_iter().for_each(|text| self.breach(text));
        if !elsewhere.is_empty() {
            self.breach(format!("ran_twice: {piece} starts on {machine} while on {elsewhere:?}"));
        }
        self.check_cancelled(piece);
    }

    /// A task is no longer on a machine.
    pub fn on_end(&self, piece: &str, machine: &str, why: &str) {
        self.record.note(format!("{machine}: end {piece} ({why})"));
        if let Some(on) = self.state.borrow_mut().on_machine.get_mut(piece) {
            on.remove(machine);
        }
        if why == "lease expired" {
            self.state.borrow_mut().killed_by_lease += 1;
        }
        if why == "done" {
            let (job, index) = split_piece(piece);
            self.state.borrow_mut().completed.entry(job).or_default().insert(index);
        }
    }

    /// Returns whether a task has completed before: its result is kept.
    pub fn is_completed(&self, piece: &str) -> bool {
        let (job, index) = split_piece(piece);
        self.state.borrow().completed.get(&job).is_some_and(|done| done.contains(&index))
    }

    pub fn completed_count(&self, job: &str) -> usize {
        self.state.borrow().completed.get(job).map_or(0, BTreeSet::len)
    }

    pub fn jobs(&self) -> Vec<(String, Job)> {
        self.state.borrow().jobs.iter().map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    pub fn accepted_age(&self, id: &str) -> Duration {
        self.state.borrow().accepted_at.get(id).map_or(Duration::ZERO, Instant::elapsed)
    }

    pub fn running_count(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        let state = self.state.borrow();
        let on = state.on_machine.iter().filter(|(piece, _)| piece.starts_with(&prefix));
        on.map(|(_, machines)| machines.len()).sum()
    }

    /// Returns whether a user was told that the job is done or cancelled.
    pub fn is_over(&self, id: &str) -> bool {
        self.state.borrow().final_status.contains_key(id)
    }

    /// Returns how many running tasks were killed because their worker's lease had expired.
    pub fn killed_by_lease(&self) -> usize {
        self.state.borrow().killed_by_lease
    }

    /// Returns how many starts of the job's tasks there were.
    pub fn start_count(&self, job: &str) -> u32 {
        let prefix = format!("{job}/");
        let state = self.state.borrow();
        state.starts.iter().filter(|(piece, _)| piece.starts_with(&prefix)).map(|(_, n)| n).sum()
    }

    /// Notes a breach if the task is on a machine too long after its job was confirmed as cancelled.
    pub fn check_cancelled(&self, piece: &str) {
        let (job, _) = split_piece(piece);
        let late = {
            let mut state = self.state.borrow_mut();
            let cancelled = state.cancelled_at.get(&job).copied();
            let late = cancelled.map(|at| at.elapsed()).filter(|age| *age > self.cancel_limit);
            late.filter(|_| state.late_reported.insert(piece.to_owned()))
        };
        if let Some(age) = late {
            self.breach(format!(
                "ran_cancelled: {piece} is on a machine {:.1} s after its user was told",
                age.as_secs_f64()
            ));
        }
    }

    /// A user got an answer about a job.
    pub fn on_answer(&self, job: &str, sent_at: Instant, status: Option<&str>) {
        let poll = Poll { sent_at, status: status.map(str::to_owned) };
        let mut breach = None;
        {
            let mut state = self.state.borrow_mut();
            state.polls.entry(job.to_owned()).or_default().push(poll);
            let Some(status) = status else { return };
            if status == "404" {
                if state.accepted_at.get(job).is_some_and(|at| *at < sent_at) {
                    breach = Some(format!("forgotten: {job} was accepted and gets 404"));
                }
            } else {
                let is_final = status == "done" || status == "aborted";
                if let Some((earlier, at)) = state.final_status.get(job) {
                    if earlier != status && (is_final || *at < sent_at) {
                        breach = Some(format!("went_back: {job} was {earlier}, now {status}"));
                    }
                }
                state.accepted_at.entry(job.to_owned()).or_insert_with(Instant::now);
                if is_final {
                    let given = (status.to_owned(), Instant::now());
                    state.final_status.entry(job.to_owned()).or_insert(given);
                }
                if status == "aborted" {
                    state.cancelled_at.entry(job.to_owned()).or_insert_with(Instant::now);
                }
                let pieces = state.jobs.get(job).map_or(0.0, |job| job.number("pieces"));
                let done = state.completed.get(job).map_or(0, BTreeSet::len);
                if status == "done" && (done as f64) < pieces {
                    breach = Some(format!("not_done: {job} is called done with {done} tasks done"));
                }
            }
        }
        if let Some(breach) = breach {
            self.breach(breach);
        }
    }

    /// Returns the answers to the polls for a job that were sent since `since`.
    pub fn polls_since(&self, job: &str, since: Instant) -> Vec<Poll> {
        let state = self.state.borrow();
        let polls = state.polls.get(job).map(Vec::as_slice).unwrap_or_default();
        polls.iter().filter(|poll| poll.sent_at >= since).cloned().collect()
    }

    /// Returns the newest status that a user was given for a job.
    pub fn last_status(&self, job: &str) -> Option<String> {
        let state = self.state.borrow();
        state.polls.get(job)?.iter().rev().find_map(|poll| poll.status.clone())
    }
}

/// Splits the id of a task into those of its job and its index.
pub fn split_piece(piece: &str) -> (String, u32) {
    let (job, index) = piece.split_once('/').unwrap_or((piece, "0"));
    (job.to_owned(), index.parse().unwrap_or(0))
}
