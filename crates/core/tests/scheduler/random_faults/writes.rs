//! Writes to the store: claims and completion commits, which are applied and answered in any order.

use super::driver::Driver;
use super::store::{StoredJob, Write};
use corkfield_wire::records::JobRecord;
use corkfield_wire::{JobId, Revision};
use rand::seq::IteratorRandom;
use rand::Rng;
use std::time::Duration;

/// A job is dead-lettered if it is claimed more often than this without progress.
const CLAIM_LIMIT: u32 = 4;
/// Maximum number of completion commits in flight.
const MAX_COMMITS: usize = 6;

/// State of a write to the store.
pub(super) enum WriteState {
    /// The store has not received the write yet.
    RequestInTransit,
    /// The write was applied at that version, or refused if `None`; its answer is in transit.
    AnswerInTransit(Option<Revision>),
}

/// A write whose answer the leader has not received.
pub(super) struct PendingWrite {
    pub(super) write: Write,
    pub(super) state: WriteState,
    /// Whether the leader no longer waits for the answer.
    pub(super) is_abandoned: bool,
}

impl Driver {
    /// Begins the claim of a random job that must be claimed, unless a claim is in flight.
    pub(super) fn begin_claim(&mut self) {
        self.close_ended_jobs();
        let is_claim_in_flight =
            self.writes.iter().any(|w| matches!(w.write, Write::Claim(_)) && !w.is_abandoned);
        if is_claim_in_flight {
            return;
        }
        let due = self.jobs_to_claim();
        let Some(id) = due.into_iter().choose(&mut self.rng) else { return };
        let starts_soon =
            self.scheduler.may_start_soon(&self.store.jobs[&id].record.spec, self.now);
        if let Some(write) = self.store.build_claim(&id, &self.owner(), starts_soon, CLAIM_LIMIT) {
            self.writes.push(PendingWrite {
                write,
                state: WriteState::RequestInTransit,
                is_abandoned: false,
            });
        }
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
        let pending = &mut self.writes[position];
        match pending.state {
            WriteState::RequestInTransit => {
                let loses_answer = !pending.is_abandoned && self.rng.random_bool(0.15);
                if loses_answer && self.rng.random_bool(0.5) {
                    // The leader gives up waiting for the answer, and the write is applied later.
                    pending.is_abandoned = true;
                    let write = pending.write.clone();
                    self.read_back(&write);
                    return;
                }
                let version = self.store.apply(&pending.write);
                pending.state = WriteState::AnswerInTransit(version);
                if pending.is_abandoned || loses_answer {
                    let is_abandoned = pending.is_abandoned;
                    let write = self.writes.swap_remove(position).write;
                    if !is_abandoned {
                        self.read_back(&write);
                    }
                }
            }
            WriteState::AnswerInTransit(version) => {
                let write = self.writes.swap_remove(position).write;
                self.handle_write_answer(&write, version);
            }
        }
    }

    pub(super) fn handle_write_answer(&mut self, write: &Write, version: Option<Revision>) {
        match (write, version) {
            (Write::Claim(claim), Some(version)) => self.apply_claim(claim.record.clone(), version),
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
            Write::Claim(claim) => {
                let Some(stored) = self.store.jobs.get(&claim.record.spec.id).cloned() else {
                    return;
                };
                let is_ours = stored.record.owner == claim.record.owner
                    && stored.record.generation == claim.record.generation;
                if is_ours {
                    self.apply_claim(claim.record.clone(), stored.version);
                }
            }
            Write::Commit(commit) => {
                let id = &commit.job;
                let stored = self.store.jobs.get(id).cloned();
                let generation = commit.record.generation;
                let stored = match stored {
                    Some(stored) if stored.record.generation == generation => {
                        Some((stored.record.clone(), stored.record.finished, stored.version))
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
        let finished = record.finished.clone();
        self.scheduler.on_job_claimed(record, finished, version, Duration::ZERO, self.now);
        if !self.store.jobs.contains_key(&id) {
            self.scheduler.close_job(&id);
        }
    }
}
