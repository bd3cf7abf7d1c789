//! Claims of job records under the leader record.

use super::ActiveLeader;
use crate::clock::now;
use crate::completion_commits::{finished_chunks, MOST_BYTES};
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{controller_key, job_key, JobRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use corkfield_wire::JobId;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Records are looked through this often, if no change of them is seen before.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// Above so many records that are due, a claim takes as many as a transaction may change.
const MANY_DUE: usize = 32;

/// Keeps the first records that have no more than so many bytes together, and one at least.
fn truncate_to_bytes(due: &mut Vec<(JobRecord, u64)>, most: usize) {
    let mut bytes = 0;
    let fits = due.iter().take_while(|(record, _)| {
        bytes += serde_json::to_vec(record).map_or(0, |value| value.len());
        bytes <= most
    });
    let count = fits.count();
    due.truncate(count.max(1));
}

impl ActiveLeader<'_> {
    pub(super) async fn claim_jobs(&self) {
        loop {
            let changed = self.node.replica.changed.notified();
            let claimed = self.claim_round().await;
            if !claimed {
                self.node.env.timers.within(CLAIM_INTERVAL, changed).await;
            }
        }
    }

    /// Closes what is over, and claims what is new or lapsed; true if more may be left.
    pub(super) async fn claim_round(&self) -> bool {
        let mut due: Vec<(JobRecord, u64)> = Vec::new();
        self.node.leadership.forget_cancelled(&self.node.replica);
        {
            let contents = self.node.replica.contents.borrow();
            let mut scheduler = self.scheduler.borrow_mut();
            let is_cancelled = |id: &JobId| self.node.leadership.is_cancelled(id);
            scheduler.close_all_but(|id| contents.jobs.contains_key(id));
            let unclaimed = contents.jobs.keys().filter(|id| scheduler.job(id).is_none());
            let unclaimed = unclaimed.filter(|id| !is_cancelled(id)).cloned().collect();
            scheduler.set_unclaimed(unclaimed);
            let lease_expired: HashSet<JobId> = scheduler.jobs_to_reclaim().into_iter().collect();
            let reading = self.reading.borrow();
            let open = |id: &JobId| !is_cancelled(id) && !reading.contains(id);
            for (id, (record, version)) in contents.jobs.iter().filter(|(id, _)| open(id)) {
                let known = scheduler.job(id);
                let ours = record.owner.as_deref() == Some(self.me.incarnation.as_str());
                let new = known.is_none_or(|job| *version > job.version && !ours);
                if new || lease_expired.contains(id) {
                    due.push((record.clone(), *version));
                }
            }
        }
        due.sort_by_key(|(record, _)| (record.spec.priority, record.accepted_ms));
        let most = self.node.env.settings.platform.params.state.txn_ops.max(1) as usize;
        let batch = (self.node.env.settings.operator.claim_batch as usize).min(most);
        // A failover has hundreds of them. How long they take is set by the changes that may be
        // written a second; larger claims spare most of the transactions.
        let batch = if due.len() > MANY_DUE { most } else { batch };
        let all = due.len();
        due.truncate(batch);
        truncate_to_bytes(&mut due, MOST_BYTES);
        let more = due.len() < all;
        if due.is_empty() {
            return false;
        }
        self.claim(due).await && more
    }

    /// The design's claim: one conditional transaction over a few records.
    async fn claim(&self, batch: Vec<(JobRecord, u64)>) -> bool {
        let mut transaction = Transaction::default()
            .when(LEADER_KEY, self.version.get())
            .when(controller_key(&self.node.env.name), self.me.version);
        let mut claimed = Vec::new();
        for (mut record, version) in batch {
            let owner = self.me.incarnation.clone();
            match record.start_watermark > 0
                || self.scheduler.borrow().may_begin_soon(&record.spec, now())
            {
                true => record.claim(owner),
                false => record.claim_without_starts(owner),
            }
            if record.claims > self.node.env.settings.operator.claim_limit {
                tracing::warn!(job = %record.spec.id, claims = record.claims, "claim limit reached; set aside");
                record.dead_lettered = true;
            }
            let key = job_key(&record.spec.id);
            let value = serde_json::to_value(&record).unwrap_or_default();
            transaction = transaction.when(key.clone(), version).put(key, value);
            claimed.push(record);
        }
        let version = match self.node.env.state.transaction(RequestClass::Claim, &transaction).await
        {
            Ok(version) => version,
            Err(StateError::NoAnswer(_)) => match self.claim_landed(&claimed[0]).await {
                Some(version) => version,
                None => return false,
            },
            Err(error) => {
                tracing::debug!(%error, "claim failed");
                self.node.env.pause(50..150).await;
                return false;
            }
        };
        for record in claimed {
            if record.is_chunked() && record.done > 0 {
                self.read_finished(record, version);
            } else {
                let finished = record.finished.clone();
                self.node.leadership.take_claimed(
                    self.node,
                    &self.scheduler,
                    record,
                    finished,
                    version,
                );
            }
        }
        self.scaling_wanted.notify_one();
        true
    }

    /// Takes up a claimed job once its finished tasks are read. Other claims don't wait for that.
    fn read_finished(&self, record: JobRecord, version: u64) {
        let id = record.spec.id.clone();
        self.reading.borrow_mut().insert(id.clone());
        let (node, reading) = (self.node.clone(), self.reading.clone());
        let scheduler = Rc::downgrade(&self.scheduler);
        tokio::task::spawn_local(async move {
            while let Some(scheduler) = scheduler.upgrade() {
                if let Some(finished) = finished_chunks(&node, &id).await {
                    node.leadership.take_claimed(&node, &scheduler, record, finished, version);
                    break;
                }
                drop(scheduler);
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            reading.borrow_mut().remove(&id);
        });
    }

    /// Whether a claim without an answer was carried out (all of it, as it is one transaction).
    async fn claim_landed(&self, record: &JobRecord) -> Option<u64> {
        let item = self
            .node
            .env
            .state
            .get(RequestClass::Claim, &job_key(&record.spec.id))
            .await
            .ok()??;
        let found: JobRecord = serde_json::from_value(item.value).ok()?;
        (found.owner == record.owner && found.generation == record.generation)
            .then_some(item.version)
    }
}
