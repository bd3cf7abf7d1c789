//! Completion commits whose answers are lost for longer than a back-off takes, so that the leader
//! claims the job again before it gives up the answer.

use super::driver::Driver;
use super::store::Write;
use super::writes::{PendingWrite, WriteState};
use corkfield_core::JobState;
use corkfield_wire::JobId;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Interval at which the leader looks for jobs to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of claim intervals for which an answer is lost.
const MAX_CLAIM_INTERVALS: u32 = 10;

impl Driver {
    /// Applies a commit of a random job that backs off, loses its answer, and lets the leader claim
    /// the job again. The leader gives up the answer later.
    pub(super) fn claim_random_job_amid_lost_commit(&mut self) {
        self.begin_commits();
        let candidates = self.writes.iter().enumerate().filter_map(|(position, pending)| {
            self.backing_off_job_of(pending).map(|id| (position, id.clone()))
        });
        let candidates: Vec<(usize, JobId)> = candidates.collect();
        let Some((position, id)) = candidates.into_iter().choose(&mut self.rng) else { return };
        if self.store.apply(&self.writes[position].write).is_none() {
            return;
        }
        self.writes[position].state = WriteState::AnswerLost;
        for _ in 0..MAX_CLAIM_INTERVALS {
            self.advance_clock(CLAIM_INTERVAL);
            self.close_ended_jobs();
            if self.jobs_to_claim().contains(&id) {
                let claim = Write::Claim(self.build_claim(&id).into_iter().collect());
                let version = self.store.apply(&claim);
                self.handle_write_answer(&claim, version);
                return;
            }
        }
    }

    /// Returns the job of a commit that the store has not received, if the job backs off.
    fn backing_off_job_of<'a>(&self, pending: &'a PendingWrite) -> Option<&'a JobId> {
        let Write::Commit(commit) = &pending.write else { return None };
        if pending.is_abandoned || !matches!(pending.state, WriteState::RequestInTransit) {
            return None;
        }
        let state = self.scheduler.job(&commit.job)?.state();
        let backs_off = matches!(state, JobState::BackingOff(_) | JobState::NeedsReclaim);
        backs_off.then_some(&commit.job)
    }
}
