//! Writes to the store: claims and completion commits, which are applied and answered in any order.

use super::driver::Driver;
use super::store::{StoredJob, Write};
use corkfield_core::confirm_claim;
use corkfield_wire::records::{JobRecord, Versioned};
use corkfield_wire::{JobId, Revision};
use rand::seq::IteratorRandom;
use rand::Rng;
use std::time::Duration;

/// A job is dead-lettered if it is claimed more often than this without progress.
const CLAIM_LIMIT: u32 = 4;
/// Maximum number of jobs that are claimed with one transaction.
const MAX_CLAIM_BATCH: usize = 3;
/// Probability that a write is not answered.
const LOST_ANSWER_PROBABILITY: f64 = 0.25;
/// Probability that the leader gives up a lost answer when the write's turn comes. A timeout takes
/// far longer than an answer, so that other writes are answered in the meantime.
const TIMEOUT_PROBABILITY: f64 = 0.1;
/// Probability that the read after a write without an answer fails.
const FAILED_READ_PROBABILITY: f64 = 0.2;
/// Maximum number of completion commits in flight.
const MAX_COMMITS: usize = 6;

/// State of a write to the store.
pub(super) enum WriteState {
    /// The store has not received the write yet.
    RequestInTransit,
    /// The write was applied at that version, or refused if `None`; its answer is in transit.
    AnswerInTransit(Option<Revision>),
    /// The write was applied or refused, and its answer was lost. The leader still waits for it.
    AnswerLost,
}

/// A write whose answer the leader has not received.
pub(super) struct PendingWrite {
    pub(super) write: Write,
    pub(super) state: WriteState,
    /// Whether the leader no longer waits for the answer.
    pub(super) is_abandoned: bool,
}

impl Driver {
    /// Begins the claim of some random jobs that must be claimed, unless a claim is in flight.
    pub(super) fn begin_claim(&mut self) {
        self.close_ended_jobs();
        let is_claim_in_flight =
            self.writes.iter().any(|w| matches!(w.write, Write::Claim(_)) && !w.is_abandoned);
        if is_claim_in_flight {
            return;
        }
        let batch = self.rng.random_range(1..=MAX_CLAIM_BATCH);
        let due = self.jobs_to_claim().into_iter().choose_multiple(&mut self.rng, batch);
        let claims: Vec<StoredJob> = due.iter().filter_map(|id| self.build_claim(id)).collect();
        if !claims.is_empty() {
            self.writes.push(PendingWrite {
                write: Write::Claim(claims),
                state: WriteState::RequestInTransit,
                is_abandoned: false,
            });
        }
    }

    pub(super) fn build_claim(&self, id: &JobId) -> Option<StoredJob> {
        let spec = &self.store.jobs.get(id)?.record.spec;
        let starts_soon = self.scheduler.may_start_soon(spec, self.now);
        self.store.build_claim(id, &self.owner(), starts_soon, CLAIM_LIMIT)
    }

    /// Closes jobs that the store no longer holds, and updates which jobs are not claimed yet.
    pub(super) fn close_ended_jobs(&mut self) {
        let Self { scheduler, store, .. } = self;
        scheduler.close_ended_jobs(|id| store.jobs.contains_key(id));
        let unclaimed = store.jobs.keys().filter(|id| scheduler.job(id).is_none()).cloned();
        let unclaimed = unclaimed.collect();
        scheduler.set_unclaimed_jobs(unclaimed);
    }

    pub(super) fn jobs_to_claim(&self) -> Vec<JobId> {
        let is_due = |(_, stored): &(&JobId, &StoredJob)| {
            self.scheduler.needs_claim(&stored.record, stored.version)
        };
        self.store.jobs.iter().filter(is_due).map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn begin_commits(&mut self) {
        let commits_in_flight =
            self.writes.iter().filter(|w| matches!(w.write, Write::Commit(_))).count();
        let max_new_commits = MAX_COMMITS.saturating_sub(commits_in_flight);
        for commit in self.scheduler.due_completion_commits(max_new_commits, self.now) {
            let write = Write::Commit(Box::new(commit));
            self.writes.push(PendingWrite {
                write,
                state: WriteState::RequestInTransit,
                is_abandoned: false,
            });
        }
    }

    /// Applies a random write, delivers its answer, or loses the answer.
    pub(super) fn advance_random_write(&mut self) {
        if self.writes.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.writes.len());
        match self.writes[position].state {
            WriteState::RequestInTransit => self.advance_request(position),
            WriteState::AnswerInTransit(version) => {
                let write = self.writes.swap_remove(position).write;
                self.handle_write_answer(&write, version);
            }
            WriteState::AnswerLost if self.rng.random_bool(TIMEOUT_PROBABILITY) => {
                let write = self.writes.swap_remove(position).write;
                self.handle_missing_answer(&write);
            }
            WriteState::AnswerLost => {}
        }
    }

    /// Applies a write, or makes the leader give up waiting for its answer before it is applied.
    fn advance_request(&mut self, position: usize) {
        let is_abandoned = self.writes[position].is_abandoned;
        let loses_answer = !is_abandoned && self.rng.random_bool(LOST_ANSWER_PROBABILITY);
        if loses_answer && self.rng.random_bool(0.5) {
            self.writes[position].is_abandoned = true;
            let write = self.writes[position].write.clone();
            self.handle_missing_answer(&write);
            return;
        }
        let version = self.store.apply(&self.writes[position].write);
        if is_abandoned {
            self.writes.swap_remove(position);
        } else if loses_answer {
            self.writes[position].state = WriteState::AnswerLost;
        } else {
            self.writes[position].state = WriteState::AnswerInTransit(version);
        }
    }

    /// Handles a write that was not answered. The read that follows it may fail, too.
    fn handle_missing_answer(&mut self, write: &Write) {
        if !self.rng.random_bool(FAILED_READ_PROBABILITY) {
            self.read_back(write);
        } else if let Write::Commit(commit) = write {
            self.scheduler.on_completion_commit_failed(&commit.job, None);
        }
    }

    pub(super) fn handle_write_answer(&mut self, write: &Write, version: Option<Revision>) {
        match (write, version) {
            (Write::Claim(claims), Some(version)) => {
                for claim in claims {
                    self.apply_claim(claim.record.clone(), version);
                }
            }
            (Write::Claim(_), None) => {}
            (Write::Commit(commit), Some(version)) => {
                self.scheduler.on_completion_committed(commit, version);
            }
            (Write::Commit(_), None) => self.read_back(write),
        }
    }

    /// Handles a write that was refused or not answered: reads the stored record and passes it to
    /// the scheduler.
    pub(super) fn read_back(&mut self, write: &Write) {
        let owner = self.owner();
        match write {
            Write::Claim(claims) => {
                for claim in claims {
                    let Some(stored) = self.store.read(&claim.record.spec.id) else { continue };
                    if let Some(Versioned { record, version }) =
                        confirm_claim(&claim.record, stored)
                    {
                        self.apply_claim(record, version);
                    }
                }
            }
            Write::Commit(commit) => {
                let id = &commit.job;
                let stored = self.store.jobs.get(id).cloned();
                let generation = commit.record.generation;
                let stored = match stored {
                    Some(stored) if stored.record.generation == generation => {
                        Some((stored.record, self.store.finished_tasks(id), stored.version))
                    }
                    Some(stored) if stored.record.owner.as_ref() == Some(&owner) => None,
                    _ => {
                        self.scheduler.close_job(id);
                        None
                    }
                };
                self.scheduler.on_completion_commit_failed(id, stored);
            }
        }
    }

    /// Passes a stored claim to the scheduler.
    pub(super) fn apply_claim(&mut self, record: JobRecord, version: Revision) {
        let id = record.spec.id.clone();
        let finished = self.store.finished_tasks(&id);
        self.scheduler.on_job_claimed(record, finished, version, Duration::ZERO, self.now);
        if !self.store.jobs.contains_key(&id) {
            self.scheduler.close_job(&id);
        }
    }
}
