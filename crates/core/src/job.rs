//! A claimed job: which of its tasks wait, are placed, are finished, are stored.

use crate::team::Usage;
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::{JobSpec, Priority, TaskSet};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A claim held this long without a failure is refunded.
const HEALTHY: Duration = Duration::from_secs(10);
/// Between two writes of a job for which nobody waits.
const PROGRESS_PAUSE: Duration = Duration::from_millis(700);

/// What a claimed job is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Its tasks may be started.
    Active,
    /// It failed on several machines: nothing is started before the time given.
    BackingOff(Instant),
    /// It waited long enough and has to be claimed anew, which counts (S12).
    NeedsReclaim,
    /// Set aside at the claim limit; its tasks are stopped.
    DeadLettered,
    /// Over, or another's: its tasks are stopped and nothing is started any more.
    Closing,
}

/// Where a task is, and under which attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// Its machine.
    pub machine: String,
    /// The attempt under which it was started.
    pub attempt: u64,
}

/// A claimed job.
#[derive(Debug)]
pub struct Job {
    /// Its record, as stored last.
    pub record: JobRecord,
    /// Version of the record in the state service that this claim rests on.
    pub version: u64,
    state: JobState,
    pub(crate) team: usize,
    pub(crate) accepted_at: Instant,
    pub(crate) due_at: Option<Instant>,
    /// Everything reported as done, stored or not.
    finished: TaskSet,
    /// Reported as done but not yet stored.
    unstored: BTreeSet<u32>,
    /// A settling write is under way.
    pub(crate) committing: bool,
    /// When the newest one was begun.
    pub(crate) last_commit_at: Option<Instant>,
    /// Placed tasks and their machines.
    active: BTreeMap<u32, Placed>,
    retry: Vec<u32>,
    next: u32,
    /// The next of those that no earlier owner can have started.
    untouched: u32,
    /// The record should allow more first starts.
    pub(crate) unannounced: bool,
    attempts: u64,
    pub(crate) running: u32,
    /// Since when none of its tasks has a place.
    pub(crate) nothing_since: Option<Instant>,
    pub(crate) claimed_at: Instant,
    pub(crate) refunded: bool,
    /// Machines on which its tasks failed since something of it last completed.
    pub(crate) failed_on: Vec<String>,
    pub(crate) failures: u32,
    /// Run time of its completed tasks: count and sum in seconds.
    pub(crate) runs: (u32, f64),
}

impl Job {
    pub(crate) fn new(
        record: JobRecord,
        finished: TaskSet,
        version: u64,
        team: usize,
        age: Duration,
        now: Instant,
    ) -> Self {
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let due_at = record.spec.deadline_s.map(|d| accepted_at + Duration::from_secs_f64(d));
        let state = if record.dead_lettered { JobState::DeadLettered } else { JobState::Active };
        let untouched = record.previous_start_watermark;
        // What an earlier owner began is about to be taken up from reports.
        let nothing_since = Some(if untouched == 0 { accepted_at } else { now });
        Self {
            record,
            version,
            state,
            team,
            accepted_at,
            due_at,
            finished,
            unstored: BTreeSet::new(),
            committing: false,
            last_commit_at: None,
            active: BTreeMap::new(),
            retry: Vec::new(),
            next: 0,
            untouched,
            unannounced: false,
            attempts: 0,
            running: 0,
            nothing_since,
            claimed_at: now,
            refunded: false,
            failed_on: Vec::new(),
            failures: 0,
            runs: (0, 0.0),
        }
    }

    /// What its user submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Its state.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// The one place where a job's state changes.
    pub(crate) fn enter(&mut self, state: JobState) {
        if self.state == state || self.state == JobState::Closing {
            return;
        }
        tracing::debug!(job = %self.record.spec.id, from = ?self.state, to = ?state, "job");
        self.state = state;
    }

    /// Whether it is neither over nor another's.
    pub fn is_live(&self) -> bool {
        self.state != JobState::Closing
    }

    pub(crate) fn may_start(&self) -> bool {
        self.state == JobState::Active
    }

    /// Tasks reported as done, stored or not.
    pub fn finished(&self) -> &TaskSet {
        &self.finished
    }

    /// Whether the state service holds that the task is done.
    pub fn is_stored(&self, index: u32) -> bool {
        self.finished.contains(index) && !self.unstored.contains(&index)
    }

    /// Its placed tasks.
    pub fn active(&self) -> &BTreeMap<u32, Placed> {
        &self.active
    }

    /// How many of its tasks have no place and are not done.
    pub fn waiting(&self) -> u32 {
        let active = u32::try_from(self.active.len()).unwrap_or(u32::MAX);
        self.spec().tasks.saturating_sub(self.finished.len() + active)
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.spec().priority <= Priority::High
    }

    /// Notes since when nothing of it has a place, though something waits.
    pub(crate) fn note_nothing(&mut self, now: Instant) {
        if !self.active.is_empty() || self.waiting() == 0 {
            self.nothing_since = None;
        } else {
            self.nothing_since.get_or_insert(now);
        }
    }

    /// None of its tasks was ever placed, as far as is known.
    pub(crate) fn has_not_begun(&self) -> bool {
        self.active.is_empty() && self.finished.is_empty()
    }

    /// How many of its tasks are not done.
    pub fn remaining(&self) -> u32 {
        self.spec().tasks.saturating_sub(self.finished.len())
    }

    /// The next task to place; the caller places it. With `untouched`, only one that no earlier
    /// owner can have started (S7).
    pub(crate) fn take_waiting(&mut self, untouched: bool) -> Option<u32> {
        if untouched {
            let index =
                Self::advance(&mut self.untouched, &self.record, &self.finished, &self.active);
            self.announce(self.untouched);
            return index;
        }
        while let Some(index) = self.retry.pop() {
            if !self.finished.contains(index) && !self.active.contains_key(&index) {
                return Some(index);
            }
        }
        let index = Self::advance(&mut self.next, &self.record, &self.finished, &self.active);
        self.announce(self.next);
        index
    }

    fn advance(
        next: &mut u32,
        record: &JobRecord,
        finished: &TaskSet,
        active: &BTreeMap<u32, Placed>,
    ) -> Option<u32> {
        Self::skip(next, record, finished, active);
        let index = *next;
        (index < record.spec.tasks.min(record.start_watermark)).then(|| {
            *next += 1;
            index
        })
    }

    /// Passes over what is finished or placed: if it comes off its machine, it is tried again
    /// from another list.
    fn skip(
        next: &mut u32,
        record: &JobRecord,
        finished: &TaskSet,
        active: &BTreeMap<u32, Placed>,
    ) {
        let end = record.spec.tasks.min(record.start_watermark);
        while *next < end && (finished.contains(*next) || active.contains_key(next)) {
            *next += 1;
        }
    }

    /// How many tasks [`Self::take_waiting`] would give, at the most; 0 only if there are none.
    /// Jobs whose other tasks wait for their record to allow more first starts would otherwise
    /// be looked at on every machine in every pass, and others stopped for what can't start.
    pub(crate) fn startable(&mut self, untouched: bool) -> u32 {
        let next = if untouched { &mut self.untouched } else { &mut self.next };
        Self::skip(next, &self.record, &self.finished, &self.active);
        let next = *next;
        self.announce(next);
        let mut count =
            self.record.spec.tasks.min(self.record.start_watermark).saturating_sub(next);
        if !untouched {
            let (finished, active) = (&self.finished, &self.active);
            self.retry.retain(|n| !finished.contains(*n) && !active.contains_key(n));
            count += u32::try_from(self.retry.len()).unwrap_or(u32::MAX);
        }
        count.min(self.waiting())
    }

    /// Has the record allow more first starts before they run out: that takes a write, and while
    /// the state service is away there is none.
    fn announce(&mut self, next: u32) {
        let start_watermark = self.record.start_watermark;
        self.unannounced |= start_watermark > 0
            && start_watermark < self.spec().tasks
            && next >= start_watermark - start_watermark / 4;
    }

    /// Its record allows no start at all yet, nor is that about to change.
    pub(crate) fn waits_unannounced(&self) -> bool {
        self.may_start() && self.record.start_watermark == 0 && !self.unannounced
    }

    /// Tasks that wait and may be started, at the least.
    pub(crate) fn announced_waiting(&self) -> u32 {
        let placed = u32::try_from(self.active.len()).unwrap_or(u32::MAX);
        let allowed = self.spec().tasks.min(self.record.start_watermark);
        allowed.saturating_sub(self.finished.len()).saturating_sub(placed)
    }

    pub(crate) fn place(&mut self, index: u32, machine: &str, attempt: u64) {
        self.active.insert(index, Placed { machine: machine.to_owned(), attempt });
    }

    /// That attempt is surely no longer on that machine. An earlier attempt that its worker
    /// only now forgets says nothing about a later one, even on the same machine.
    pub(crate) fn release(&mut self, index: u32, machine: &str, attempt: u64) {
        let same = |p: &Placed| p.machine == machine && p.attempt == attempt;
        if self.active.get(&index).is_some_and(same) {
            self.active.remove(&index);
            if !self.finished.contains(index) {
                self.retry.push(index);
            }
        }
    }

    /// Attempts never repeat: the generation, raised by each claim, is their high part.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.record.generation << 24) | (self.attempts & 0xff_ffff)
    }

    /// A task was reported as done; true if that is news.
    pub(crate) fn finish(&mut self, index: u32) -> bool {
        let is_new = index < self.spec().tasks && self.finished.insert(index);
        if is_new {
            self.active.remove(&index);
            self.unstored.insert(index);
            self.failed_on.clear();
            self.failures = 0;
        }
        is_new
    }

    /// Whether something of it is to be stored, and whether somebody waits for that: its user, or
    /// tasks that may start only once the record says so. Mere progress is stored less often.
    pub(crate) fn commit_due(&self, now: Instant) -> Option<bool> {
        if self.committing || !self.is_live() {
            return None;
        }
        let display = (self.running > 0) != (self.record.running > 0);
        let finished = !self.unstored.is_empty() && self.finished.len() >= self.spec().tasks;
        if self.unannounced || display || finished {
            return Some(true);
        }
        let recently = |at| now.saturating_duration_since(at) < PROGRESS_PAUSE;
        let progress = !self.unstored.is_empty() || self.is_refunded_now(now);
        (progress && !self.last_commit_at.is_some_and(recently)).then_some(false)
    }

    /// A claim that harmed nobody for a while didn't end because of the job (S12).
    pub(crate) fn is_refunded_now(&self, now: Instant) -> bool {
        self.record.claims > 0
            && !self.refunded
            && self.failures == 0
            && now.saturating_duration_since(self.claimed_at) > HEALTHY
    }

    pub(crate) fn unstored(&self) -> &BTreeSet<u32> {
        &self.unstored
    }

    pub(crate) fn stored(&mut self, tasks: &[u32]) {
        for index in tasks {
            self.unstored.remove(index);
        }
    }

    /// Finished tasks found in the store (after a write whose answer was lost, say).
    pub(crate) fn found_stored(&mut self, stored: &TaskSet) {
        self.unstored.retain(|n| !stored.contains(*n));
        self.finished.extend(stored);
    }

    /// The job failed wherever it was tried: it waits, the longer the more often it failed.
    pub(crate) fn back_off(&mut self, now: Instant) {
        if self.may_start() {
            let wait_s = 2f64.powi(self.record.claims.clamp(1, 6) as i32);
            tracing::info!(job = %self.record.spec.id, wait_s, "job fails on several machines");
            self.enter(JobState::BackingOff(now + Duration::from_secs_f64(wait_s)));
        }
    }

    /// Claimed once more after a back-off.
    pub(crate) fn reclaimed(&mut self, record: JobRecord, version: u64, now: Instant) {
        let state = if record.dead_lettered { JobState::DeadLettered } else { JobState::Active };
        self.record = record;
        self.version = version;
        self.claimed_at = now;
        self.refunded = false;
        self.failed_on.clear();
        self.enter(state);
    }

    /// Finished numbers of a chunk.
    pub(crate) fn chunk(&self, chunk: u32) -> TaskSet {
        self.finished.slice(chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS)
    }

    /// The time that a running task is given when it is stopped: enough to save, if it can.
    pub(crate) fn stop_grace(&self) -> Duration {
        let saves = self.spec().checkpoint_s > 0.0;
        let grace_s = if saves { self.spec().save_s + 1.0 } else { 0.0 };
        Duration::try_from_secs_f64(grace_s).unwrap_or_default()
    }

    pub(crate) fn demand(&self) -> Usage {
        Usage::of_tasks(self.spec(), self.remaining())
    }

    /// Expected run time of a task: what was seen, else the owner's guess corrected by what
    /// was seen of the class.
    pub(crate) fn expected_run_s(&self, correction: f64) -> f64 {
        match self.runs {
            (0, _) => (self.spec().estimate_s * correction).max(1.0),
            (n, sum) => (sum / f64::from(n)).max(0.5),
        }
    }
}
