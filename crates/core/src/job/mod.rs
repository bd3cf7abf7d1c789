//! A claimed job: which of its tasks wait, are placed, are finished, are stored.

mod commit;
mod completion;
mod failures;
mod run_times;
mod start_queue;
mod state;
#[cfg(test)]
mod tests;

pub use state::JobState;

pub(crate) use commit::CommitUrgency;
pub(crate) use failures::JobFailures;
pub(crate) use run_times::RunTimes;

use crate::team::Usage;
use completion::Completion;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{Attempt, Generation, JobSpec, MachineName, Priority, Revision, TaskSet};
use start_queue::{StartQueue, StartView};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The highest count of claims that still doubles the time of a back-off.
const MAX_BACK_OFF_CLAIMS: u32 = 6;
/// The shortest run time that is expected, in seconds, where only estimates are known.
const MIN_ESTIMATE_S: f64 = 1.0;
/// Given beyond the time to save when a task is stopped, in seconds.
const SAVE_MARGIN_S: f64 = 1.0;

/// Where a task is, and under which attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// Its machine.
    pub machine: MachineName,
    /// The attempt under which it was started.
    pub attempt: Attempt,
}

/// A claimed job.
#[derive(Debug)]
pub struct Job {
    /// Its record, as stored last.
    pub record: JobRecord,
    /// Version of the record in the key-value store that this claim rests on.
    pub version: Revision,
    /// What it is doing.
    state: JobState,
    /// Position of its team in the settings.
    pub(crate) team: usize,
    /// When it was accepted.
    pub(crate) accepted_at: Instant,
    /// When it should be complete, if its user said so.
    pub(crate) due_at: Option<Instant>,
    /// Its finished tasks, and the writes that store them.
    completion: Completion,
    /// Placed tasks and their machines.
    active: BTreeMap<u32, Placed>,
    /// Which of its tasks is started next.
    start_queue: StartQueue,
    /// Attempts made under this generation.
    attempts: u64,
    /// How many of its tasks run, as of the last tick.
    pub(crate) running: u32,
    /// Since when tasks of it wait and none is placed.
    pub(crate) unplaced_since: Option<Instant>,
    /// When it was claimed last.
    claimed_at: Instant,
    /// The count of claims when it was claimed last.
    claims_when_claimed: u32,
    /// This claim was refunded, or a write that does so is under way.
    refunded: bool,
    /// Failures of its tasks.
    pub(crate) failures: JobFailures,
    /// Run times of its completed tasks.
    pub(crate) run_times: RunTimes,
}

impl Job {
    /// A job that was claimed now, and accepted `age` ago.
    pub(crate) fn new(
        record: JobRecord,
        finished: TaskSet,
        version: Revision,
        team: usize,
        age: Duration,
        now: Instant,
    ) -> Self {
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let due_at = record.spec.deadline_s.map(|d| accepted_at + Duration::from_secs_f64(d));
        let previous_start_watermark = record.previous_start_watermark;
        // What an earlier owner began is about to be taken up from heartbeats.
        let unplaced_since = Some(if previous_start_watermark == 0 { accepted_at } else { now });
        Self {
            state: JobState::after_claim(record.dead_lettered),
            claims_when_claimed: record.claims,
            record,
            version,
            team,
            accepted_at,
            due_at,
            completion: Completion::new(finished),
            active: BTreeMap::new(),
            start_queue: StartQueue::new(previous_start_watermark),
            attempts: 0,
            running: 0,
            unplaced_since,
            claimed_at: now,
            refunded: false,
            failures: JobFailures::default(),
            run_times: RunTimes::default(),
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
        tracing::debug!(job = %self.record.spec.id, from = ?self.state, to = ?state, "job state");
        self.state = state;
    }

    /// Whether it is neither over nor another's.
    pub fn is_live(&self) -> bool {
        self.state != JobState::Closing
    }

    /// Whether its tasks may be started.
    pub(crate) fn may_start(&self) -> bool {
        self.state == JobState::Active
    }

    /// The generation under which its tasks may be started now, if they may.
    pub(crate) fn start_generation(&self) -> Option<Generation> {
        self.may_start().then_some(self.record.generation)
    }

    /// Tasks reported as done, stored or not.
    pub fn finished(&self) -> &TaskSet {
        self.completion.finished()
    }

    /// Whether the key-value store holds that the task is done.
    pub fn is_stored(&self, index: u32) -> bool {
        self.completion.is_stored(index)
    }

    /// Its placed tasks.
    pub fn active(&self) -> &BTreeMap<u32, Placed> {
        &self.active
    }

    /// How many of its tasks are placed.
    fn placed_count(&self) -> u32 {
        u32::try_from(self.active.len()).unwrap_or(u32::MAX)
    }

    /// How many of its tasks have no place and are not done.
    pub fn waiting(&self) -> u32 {
        self.spec().tasks.saturating_sub(self.finished().len() + self.placed_count())
    }

    /// How many of its tasks are not done.
    pub fn remaining(&self) -> u32 {
        self.spec().tasks.saturating_sub(self.finished().len())
    }

    /// Whether it comes before all that is not urgent.
    pub(crate) fn is_urgent(&self) -> bool {
        self.spec().priority <= Priority::High
    }

    /// Notes since when nothing of it is placed, though something waits.
    pub(crate) fn update_unplaced_since(&mut self, now: Instant) {
        if !self.active.is_empty() || self.waiting() == 0 {
            self.unplaced_since = None;
        } else {
            self.unplaced_since.get_or_insert(now);
        }
    }

    /// None of its tasks was ever placed, as far as is known.
    pub(crate) fn has_not_begun(&self) -> bool {
        self.active.is_empty() && self.finished().is_empty()
    }

    /// Whether its tasks failed on that machine since it was claimed last, or something of it last
    /// completed.
    pub(crate) fn has_failed_on(&self, machine: &str) -> bool {
        self.failures.include(machine)
    }

    /// Whether its tasks failed on any machine since then.
    pub(crate) fn has_failed(&self) -> bool {
        self.failures.include_any()
    }

    /// The next task to place; the caller places it. With `only_never_started`, only one that no
    /// earlier owner can have started (S7).
    pub(crate) fn take_waiting(&mut self, only_never_started: bool) -> Option<u32> {
        let view = StartView {
            record: &self.record,
            finished: self.completion.finished(),
            active: &self.active,
        };
        self.start_queue.pop(&view, only_never_started)
    }

    /// How many tasks [`Self::take_waiting`] would give, at the most; 0 only if there are none.
    /// Jobs whose other tasks wait for their record to allow more first starts would otherwise
    /// be looked at on every machine in every pass, and others stopped for what can't start.
    pub(crate) fn startable(&mut self, only_never_started: bool) -> u32 {
        let view = StartView {
            record: &self.record,
            finished: self.completion.finished(),
            active: &self.active,
        };
        self.start_queue.len(&view, only_never_started).min(self.waiting())
    }

    /// Has its record allow (more) first starts with the next write.
    pub(crate) fn raise_start_watermark(&mut self) {
        self.start_queue.raise_watermark();
    }

    /// Whether the record that is about to be written has to allow more first starts.
    pub(crate) fn take_watermark_raise(&mut self) -> bool {
        self.start_queue.take_watermark_raise()
    }

    /// Its record allows no start at all yet, nor is that about to change.
    pub(crate) fn needs_first_watermark(&self) -> bool {
        self.may_start()
            && self.record.start_watermark == 0
            && !self.start_queue.is_watermark_raise_due()
    }

    /// Tasks that wait and may be started, at the least.
    pub(crate) fn waiting_below_watermark(&self) -> u32 {
        let allowed = self.spec().tasks.min(self.record.start_watermark);
        allowed.saturating_sub(self.finished().len()).saturating_sub(self.placed_count())
    }

    /// The task is, or is about to be, on that machine.
    pub(crate) fn place(&mut self, index: u32, machine: &str, attempt: Attempt) {
        self.active.insert(index, Placed { machine: MachineName::from(machine), attempt });
    }

    /// That attempt is surely no longer on that machine. An earlier attempt that its worker
    /// only now forgets says nothing about a later one, even on the same machine.
    pub(crate) fn release(&mut self, index: u32, machine: &str, attempt: Attempt) {
        let same = |p: &Placed| p.machine.as_str() == machine && p.attempt == attempt;
        if self.active.get(&index).is_some_and(same) {
            self.active.remove(&index);
            if !self.finished().contains(index) {
                self.start_queue.push_retry(index);
            }
        }
    }

    /// The number of a new attempt.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::in_generation(self.record.generation, self.attempts)
    }

    /// A task was reported as done; true if that was not known.
    pub(crate) fn finish(&mut self, index: u32) -> bool {
        let is_new = index < self.spec().tasks && self.completion.finish(index);
        if is_new {
            self.active.remove(&index);
            self.failures.clear();
        }
        is_new
    }

    /// The job failed wherever it was tried: it waits, the longer the more often it was claimed.
    pub(crate) fn back_off(&mut self, now: Instant) {
        if self.may_start() {
            let wait_s = 2f64.powi(self.record.claims.clamp(1, MAX_BACK_OFF_CLAIMS) as i32);
            tracing::info!(job = %self.record.spec.id, wait_s, "job fails on several machines");
            self.enter(JobState::BackingOff(now + Duration::from_secs_f64(wait_s)));
        }
    }

    /// Claimed once more, after a back-off for example.
    pub(crate) fn reclaimed(&mut self, record: JobRecord, version: Revision, now: Instant) {
        let state = JobState::after_claim(record.dead_lettered);
        self.claims_when_claimed = record.claims;
        self.record = record;
        self.version = version;
        self.claimed_at = now;
        self.refunded = false;
        self.failures.forget_machines();
        self.enter(state);
    }

    /// The time that a running task is given when it is stopped: enough to save, if it can.
    pub(crate) fn stop_grace(&self) -> Duration {
        let grace_s = if self.saves_checkpoints() {
            self.spec().checkpoint_save_s + SAVE_MARGIN_S
        } else {
            0.0
        };
        Duration::try_from_secs_f64(grace_s).unwrap_or_default()
    }

    /// Whether its tasks save checkpoints.
    pub(crate) fn saves_checkpoints(&self) -> bool {
        self.spec().checkpoint_interval_s > 0.0
    }

    /// What all of its tasks that are not done take together.
    pub(crate) fn demand(&self) -> Usage {
        Usage::of_tasks(self.spec(), self.remaining())
    }

    /// Expected run time of a task: what was seen, else the owner's guess corrected by what
    /// was seen of the class.
    pub(crate) fn expected_run_s(&self, correction: f64) -> f64 {
        self.run_times
            .mean_s()
            .unwrap_or_else(|| (self.spec().estimate_s * correction).max(MIN_ESTIMATE_S))
    }
}
