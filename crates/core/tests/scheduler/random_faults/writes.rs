//! Writes to the store: claims and completion commits, carried out and answered in any order.

use super::driver::Driver;
use super::store::{StoredJob, Write};
use corkfield_wire::records::JobRecord;
use corkfield_wire::{JobId, Revision};
use rand::seq::IteratorRandom;
use rand::Rng;
use std::time::Duration;

/// A job is dead-lettered after so many claims.
const CLAIM_LIMIT: u32 = 4;
/// So many completion commits under way at the most.
const MAX_COMMITS: usize = 6;

/// What becomes of a write to the store.
pub(super) enum WriteState {
    /// Not carried out yet.
    Travelling,
    /// Carried out at that version, or refused; the answer is under way.
    Answering(Option<Revision>),
}

/// A write that the leader has not seen answered.
pub(super) struct PendingWrite {
    pub(super) write: Write,
    pub(super) state: WriteState,
    /// Nobody waits for its answer any more.
    pub(super) given_up: bool,
}

impl Driver {
    /// The leader looks through the job records, and claims one that is due.
    pub(super) fn begin_claim(&mut self) {
        self.close_what_is_over();
        let claims_under_way =
            self.writes.iter().any(|w| matches!(w.write, Write::Claim(_)) && !w.given_up);
        if claims_under_way {
            return;
        }
        let due = self.due_jobs();
        let Some(id) = due.into_iter().choose(&mut self.rng) else { return };
        let starts_soon =
            self.scheduler.may_start_soon(&self.store.jobs[&id].record.spec, self.now);
        if let Some(write) = self.store.claim_of(&id, &self.owner(), starts_soon, CLAIM_LIMIT) {
            self.writes.push(PendingWrite {
                write,
                state: WriteState::Travelling,
                given_up: false,
            });
        }
    }

    /// Closes what the store no longer holds, and says what is not claimed yet.
    pub(super) fn close_what_is_over(&mut self) {
        let Self { scheduler, store, .. } = self;
        scheduler.close_ended_jobs(|id| store.jobs.contains_key(id));
        let unclaimed = store.jobs.keys().filter(|id| scheduler.job(id).is_none()).cloned();
        let unclaimed = unclaimed.collect();
        scheduler.set_unclaimed_jobs(unclaimed);
    }

    pub(super) fn due_jobs(&self) -> Vec<JobId> {
        let is_due = |(_, stored): &(&JobId, &StoredJob)| {
            self.scheduler.needs_claim(&stored.record, stored.version)
        };
        self.store.jobs.iter().filter(is_due).map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn begin_commits(&mut self) {
        let under_way = self.writes.iter().filter(|w| matches!(w.write, Write::Commit(_))).count();
        let most = MAX_COMMITS.saturating_sub(under_way);
        for commit in self.scheduler.due_completion_commits(most, self.now) {
            let write = Write::Commit(Box::new(commit));
            self.writes.push(PendingWrite {
                write,
                state: WriteState::Travelling,
                given_up: false,
            });
        }
    }

    /// A write is carried out, answered, or goes unanswered: in any order.
    pub(super) fn advance_some_write(&mut self) {
        if self.writes.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.writes.len());
        let pending = &mut self.writes[position];
        match pending.state {
            WriteState::Travelling => {
                let loses_answer = !pending.given_up && self.rng.random_bool(0.15);
                if loses_answer && self.rng.random_bool(0.5) {
                    // Unanswered, and carried out later.
                    pending.given_up = true;
                    let write = pending.write.clone();
                    self.find_out(&write);
                    return;
                }
                let version = self.store.apply(&pending.write);
                pending.state = WriteState::Answering(version);
                if pending.given_up || loses_answer {
                    let given_up = pending.given_up;
                    let write = self.writes.swap_remove(position).write;
                    if !given_up {
                        self.find_out(&write);
                    }
                }
            }
            WriteState::Answering(version) => {
                let write = self.writes.swap_remove(position).write;
                self.take_write_answer(&write, version);
            }
        }
    }

    pub(super) fn take_write_answer(&mut self, write: &Write, version: Option<Revision>) {
        match (write, version) {
            (Write::Claim(claim), Some(version)) => self.take_up(claim.record.clone(), version),
            (Write::Claim(_), None) => {}
            (Write::Commit(commit), Some(version)) => {
                self.scheduler.on_completion_committed(commit, version);
            }
            (Write::Commit(_), None) => self.find_out(write),
        }
    }

    /// Reads what became of a write that was refused or not answered.
    pub(super) fn find_out(&mut self, write: &Write) {
        let owner = self.owner();
        match write {
            Write::Claim(claim) => {
                let Some(found) = self.store.jobs.get(&claim.record.spec.id).cloned() else {
                    return;
                };
                let is_ours = found.record.owner == claim.record.owner
                    && found.record.generation == claim.record.generation;
                if is_ours {
                    self.take_up(claim.record.clone(), found.version);
                }
            }
            Write::Commit(commit) => {
                let id = &commit.job;
                let found = self.store.jobs.get(id).cloned();
                let generation = commit.record.generation;
                let found = match found {
                    Some(found) if found.record.generation == generation => {
                        Some((found.record.clone(), found.record.finished, found.version))
                    }
                    Some(found) if found.record.owner.as_ref() == Some(&owner) => None,
                    _ => {
                        self.scheduler.close_job(id);
                        None
                    }
                };
                self.scheduler.on_completion_commit_failed(id, found);
            }
        }
    }

    pub(super) fn take_up(&mut self, record: JobRecord, version: Revision) {
        let id = record.spec.id.clone();
        let finished = record.finished.clone();
        self.scheduler.on_job_claimed(record, finished, version, Duration::ZERO, self.now);
        if !self.store.jobs.contains_key(&id) {
            self.scheduler.close_job(&id);
        }
    }
}
