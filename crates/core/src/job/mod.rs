//! State of a claimed job: which of its tasks wait, are placed, are finished and are stored.

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
use start_queue::{StartConstraints, StartQueue};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The duration of a backoff doubles with each claim up to this number of claims.
const MAX_BACKOFF_CLAIMS: u32 = 6;
/// Lower bound in seconds for the expected run time if it is based on an estimate.
const MIN_ESTIMATE_S: f64 = 1.0;
/// Time in seconds that is added to the time to save a checkpoint, for the grace period of a stopped
/// task.
const SAVE_MARGIN_S: f64 = 1.0;

/// Machine and attempt of a placed task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskPlacement {
    /// Machine on which the task is placed.
    pub machine: MachineName,
    /// Attempt under which the task is started.
    pub attempt: Attempt,
}

/// A job that this controller has claimed.
#[derive(Debug)]
pub struct Job {
    /// The newest stored record of the job.
    pub record: JobRecord,
    /// Version of `record` in the key-value store; commits are conditional on it.
    pub version: Revision,
    /// Current state of the job; see [`JobState`].
    state: JobState,
    /// Position of the job's team in the settings.
    pub(crate) team: usize,
    /// When the job was accepted.
    pub(crate) accepted_at: Instant,
    /// When the job should be complete, if its user gave a deadline.
    pub(crate) due_at: Option<Instant>,
    /// Finished tasks, and the commits that store them.
    completion: Completion,
    /// Placed tasks, by task index.
    placements: BTreeMap<u32, TaskPlacement>,
    /// Tasks that wait for their start.
    start_queue: StartQueue,
    /// Number of attempts made so far; a new claim does not reset it.
    attempts: u64,
    /// Number of running tasks as of the last tick.
    pub(crate) running_tasks: u32,
    /// Since when tasks of the job wait while none is placed; `None` if a task is placed or none
    /// waits.
    pub(crate) unplaced_since: Option<Instant>,
    /// When the job was claimed last.
    claimed_at: Instant,
    /// Number of claims in the record when the job was claimed last.
    claims_when_claimed: u32,
    /// Whether this claim was refunded, so that it no longer counts towards the claim limit (S12),
    /// or a commit that refunds it is in flight.
    is_refunded: bool,
    /// Failures of the job's tasks.
    pub(crate) failures: JobFailures,
    /// Run times of the completed tasks.
    pub(crate) run_times: RunTimes,
}

impl Job {
    /// Creates a job that is claimed at `now` and was accepted `age` ago.
    pub(crate) fn new(
        record: JobRecord,
        finished: TaskSet,
        version: Revision,
        team: usize,
        age: Duration,
        now: Instant,
    ) -> Self {
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let due_at = record
            .spec
            .deadline_s
            .map(|deadline_s| accepted_at + Duration::from_secs_f64(deadline_s));
        let previous_start_watermark = record.previous_start_watermark;
        // Tasks that an earlier owner started will be found in heartbeats, so the wait of such a
        // job begins now.
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
            placements: BTreeMap::new(),
            start_queue: StartQueue::new(previous_start_watermark),
            attempts: 0,
            running_tasks: 0,
            unplaced_since,
            claimed_at: now,
            is_refunded: false,
            failures: JobFailures::default(),
            run_times: RunTimes::default(),
        }
    }

    /// Returns the specification that the user submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Returns the current state.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// Changes the state, unless the job is closed. All changes go through this method.
    pub(crate) fn transition_to(&mut self, state: JobState) {
        if self.state == state || self.state == JobState::Closing {
            return;
        }
        tracing::debug!(
            job = %self.record.spec.id,
            from = ?self.state,
            to = ?state,
            "job state changed"
        );
        self.state = state;
    }

    /// Returns whether the job is unfinished and still claimed by this controller.
    pub fn is_live(&self) -> bool {
        self.state != JobState::Closing
    }

    /// Returns whether tasks of the job may be started.
    pub(crate) fn may_start_tasks(&self) -> bool {
        self.state == JobState::Active
    }

    /// Returns the generation under which tasks may be started; `None` if none may be started.
    pub(crate) fn start_generation(&self) -> Option<Generation> {
        self.may_start_tasks().then_some(self.record.generation)
    }

    /// Returns the tasks that are reported as done, stored or not.
    pub fn finished(&self) -> &TaskSet {
        self.completion.finished()
    }

    /// Returns whether the key-value store has the task as done.
    pub fn is_stored(&self, index: u32) -> bool {
        self.completion.is_stored(index)
    }

    /// Returns the placed tasks, by task index.
    pub fn placements(&self) -> &BTreeMap<u32, TaskPlacement> {
        &self.placements
    }

    /// Returns the number of placed tasks.
    pub(crate) fn placed_count(&self) -> u32 {
        u32::try_from(self.placements.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks that are neither placed nor finished.
    pub fn waiting_tasks(&self) -> u32 {
        self.spec().tasks.saturating_sub(self.finished().len() + self.placed_count())
    }

    /// Returns the number of unfinished tasks.
    pub fn remaining_tasks(&self) -> u32 {
        self.spec().tasks.saturating_sub(self.finished().len())
    }

    /// Returns whether the job is urgent: its priority is [`Priority::High`] or higher. Urgent jobs
    /// are placed before all others.
    pub(crate) fn is_urgent(&self) -> bool {
        self.spec().priority <= Priority::High
    }

    /// Updates `unplaced_since`: sets it to `now` if tasks wait and none is placed any more, and
    /// clears it if a task is placed or none waits.
    pub(crate) fn update_unplaced_since(&mut self, now: Instant) {
        if !self.placements.is_empty() || self.waiting_tasks() == 0 {
            self.unplaced_since = None;
        } else {
            self.unplaced_since.get_or_insert(now);
        }
    }

    /// Returns whether no task of the job is placed or finished.
    pub(crate) fn has_not_started(&self) -> bool {
        self.placements.is_empty() && self.finished().is_empty()
    }

    /// Returns whether tasks of the job have failed on the machine since the last claim and since a
    /// task last completed.
    pub(crate) fn has_failed_on(&self, machine: &str) -> bool {
        self.failures.contains_machine(machine)
    }

    /// Returns whether tasks of the job have failed on any machine since the last claim and since a
    /// task last completed.
    pub(crate) fn has_failed_tasks(&self) -> bool {
        self.failures.has_any_machine()
    }

    /// Removes the next task to place from the queue and returns it; the caller has to place it.
    /// With `only_never_started`, returns only a task that no earlier owner can have started (S7).
    pub(crate) fn pop_startable_task(&mut self, only_never_started: bool) -> Option<u32> {
        let constraints = StartConstraints {
            record: &self.record,
            finished: self.completion.finished(),
            placements: &self.placements,
        };
        self.start_queue.pop(&constraints, only_never_started)
    }

    /// Returns an upper bound for the number of tasks that [`Self::pop_startable_task`] would
    /// return; 0 only if it would return none.
    ///
    /// Tasks above the start watermark are not counted. Otherwise every pass would try to place
    /// them on every machine, and tasks of other jobs would be preempted for tasks that can't
    /// start.
    pub(crate) fn startable_tasks(&mut self, only_never_started: bool) -> u32 {
        let constraints = StartConstraints {
            record: &self.record,
            finished: self.completion.finished(),
            placements: &self.placements,
        };
        self.start_queue.len(&constraints, only_never_started).min(self.waiting_tasks())
    }

    /// Requests that the next commit raises the start watermark.
    pub(crate) fn request_start_watermark_raise(&mut self) {
        self.start_queue.request_watermark_raise();
    }

    /// Returns whether the commit that is being built has to raise the start watermark, and clears
    /// the request.
    pub(crate) fn take_watermark_raise(&mut self) -> bool {
        self.start_queue.take_watermark_raise()
    }

    /// Returns whether tasks may be started but the start watermark is 0 and no raise is requested.
    pub(crate) fn needs_first_watermark(&self) -> bool {
        self.may_start_tasks()
            && self.record.start_watermark == 0
            && !self.start_queue.is_watermark_raise_due()
    }

    /// Returns a lower bound for the number of waiting tasks below the start watermark.
    pub(crate) fn waiting_below_watermark(&self) -> u32 {
        let allowed = self.spec().tasks.min(self.record.start_watermark);
        allowed.saturating_sub(self.finished().len()).saturating_sub(self.placed_count())
    }

    /// Records that a task is on the machine, or is about to be started on it.
    pub(crate) fn place_task(&mut self, index: u32, machine: &str, attempt: Attempt) {
        self.placements
            .insert(index, TaskPlacement { machine: MachineName::from(machine), attempt });
    }

    /// Releases a task: removes the placement of an attempt that has exited or is provably not on
    /// the machine. The task waits again if it is unfinished.
    ///
    /// Does nothing if the task is placed under another attempt: when a worker forgets an earlier
    /// attempt, the later one may still be on the same machine.
    pub(crate) fn release_task(&mut self, index: u32, machine: &str, attempt: Attempt) {
        let is_same_attempt = |placement: &TaskPlacement| {
            placement.machine.as_str() == machine && placement.attempt == attempt
        };
        if self.placements.get(&index).is_some_and(is_same_attempt) {
            self.placements.remove(&index);
            if !self.finished().contains(index) {
                self.start_queue.push_retry(index);
            }
        }
    }

    /// Returns the number for a new attempt.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::in_generation(self.record.generation, self.attempts)
    }

    /// Marks a task as finished. Returns true if it was not finished before.
    pub(crate) fn mark_finished(&mut self, index: u32) -> bool {
        let is_new = index < self.spec().tasks && self.completion.mark_finished(index);
        if is_new {
            self.placements.remove(&index);
            self.failures.clear();
        }
        is_new
    }

    /// Makes the job back off, because its tasks failed on several machines or on every machine
    /// where they may run. The duration doubles with each claim, up to a limit.
    pub(crate) fn back_off(&mut self, now: Instant) {
        if self.may_start_tasks() {
            let wait_s = 2f64.powi(self.record.claims.clamp(1, MAX_BACKOFF_CLAIMS) as i32);
            tracing::info!(job = %self.record.spec.id, wait_s, "job fails on several machines");
            self.transition_to(JobState::BackingOff(now + Duration::from_secs_f64(wait_s)));
        }
    }

    /// Processes a new claim of the job, for example after a backoff. `finished` are the stored
    /// finished tasks: a commit that was not answered may have stored more than are known here.
    pub(crate) fn on_reclaimed(
        &mut self,
        record: JobRecord,
        finished: &TaskSet,
        version: Revision,
        now: Instant,
    ) {
        let state = JobState::after_claim(record.dead_lettered);
        self.claims_when_claimed = record.claims;
        self.record = record;
        self.version = version;
        self.completion.merge_stored(finished);
        self.claimed_at = now;
        self.is_refunded = false;
        self.failures.clear_machines();
        self.transition_to(state);
    }

    /// Returns the time that a running task has when it is stopped: enough to save a checkpoint, or
    /// zero if it saves none.
    pub(crate) fn stop_grace(&self) -> Duration {
        let grace_s = if self.can_save_checkpoints() {
            self.spec().checkpoint_save_s + SAVE_MARGIN_S
        } else {
            0.0
        };
        Duration::try_from_secs_f64(grace_s).unwrap_or_default()
    }

    /// Returns whether tasks of the job save checkpoints.
    pub(crate) fn can_save_checkpoints(&self) -> bool {
        self.spec().checkpoint_interval_s > 0.0
    }

    /// Returns the resources that all unfinished tasks use together.
    pub(crate) fn remaining_demand(&self) -> Usage {
        Usage::of_tasks(self.spec(), self.remaining_tasks())
    }

    /// Returns the expected run time of a task in seconds: the mean of the known run times, or else
    /// the user's estimate times the correction for the job's class.
    pub(crate) fn expected_run_s(&self, correction: f64) -> f64 {
        self.run_times
            .mean_s()
            .unwrap_or_else(|| (self.spec().estimate_s * correction).max(MIN_ESTIMATE_S))
    }
}
