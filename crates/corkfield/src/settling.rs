//! Storing finished tasks and first starts, with the generation of our claim as condition (S9).

use crate::node::{now, Node};
use corkfield_core::{Planner, Settlement};
use corkfield_state::{StateError, Use};
use corkfield_wire::records::{
    final_key, finished_key, finished_prefix, job_key, FinalRecord, JobRecord, CHUNK_TASKS,
};
use corkfield_wire::store::Txn;
use corkfield_wire::{JobId, JobStatus, TaskSet};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The planner, shared by all loops that serve it.
pub type Shared = Rc<RefCell<Planner>>;

/// Transactions under way at once. One after another, each would wait for the loop's turn and for
/// a slow answer, and with hundreds of jobs their tasks would wait to be announced meanwhile.
const AT_ONCE: usize = 6;
/// Bytes of values that share a transaction, of settling or of claims, far below what one may have.
pub(crate) const MOST_BYTES: usize = 32 * 1024;

/// While nothing is due, and no planning pass ends. What comes in between two passes is stored
/// together.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

pub async fn run(node: &Rc<Node>, planner: &Shared) {
    let under_way = Rc::new(());
    let most = node.settings.platform.params.state.txn_ops.max(4) as usize;
    loop {
        let free = AT_ONCE.saturating_sub(Rc::strong_count(&under_way) - 1);
        let due = planner.borrow_mut().settlements(free * most / 2, now());
        if due.is_empty() {
            let woken = node.leader.settle.notified();
            node.timers.within(IDLE_INTERVAL, woken).await;
            continue;
        }
        for batch in batches(due, most) {
            let (node, planner, turn) = (node.clone(), planner.clone(), under_way.clone());
            tokio::task::spawn_local(async move {
                settle(&node, &planner, batch).await;
                drop(turn);
                node.leader.settle.notify_one();
            });
        }
    }
}

/// One job's part of a transaction.
struct Write {
    settlement: Settlement,
    txn: Txn,
}

impl Write {
    fn new(settlement: Settlement) -> Self {
        let id = &settlement.job;
        let mut txn = Txn::default().when(job_key(id), settlement.version);
        if settlement.finishes {
            let over = FinalRecord { status: JobStatus::Done, done: settlement.record.done };
            let value = serde_json::to_value(&over).unwrap_or_default();
            txn = txn.delete(job_key(id)).put(final_key(id), value);
        } else {
            let value = serde_json::to_value(&settlement.record).unwrap_or_default();
            txn = txn.put(job_key(id), value);
            for (chunk, set) in &settlement.chunks {
                let value = serde_json::to_value(set).unwrap_or_default();
                txn = txn.put(finished_key(id, *chunk), value);
            }
        }
        Self { settlement, txn }
    }

    fn bytes(&self) -> usize {
        serde_json::to_vec(&self.txn).map_or(0, |bytes| bytes.len())
    }
}

/// Jobs that share a transaction, within what one may change.
fn batches(due: Vec<Settlement>, most: usize) -> Vec<Vec<Write>> {
    let mut batches: Vec<Vec<Write>> = Vec::new();
    let (mut changes, mut bytes) = (usize::MAX, 0);
    for write in due.into_iter().map(Write::new) {
        let (more, larger) = (write.txn.changes.len(), write.bytes());
        if changes.saturating_add(more) > most || bytes + larger > MOST_BYTES {
            batches.push(Vec::new());
            (changes, bytes) = (0, 0);
        }
        changes += more;
        bytes += larger;
        if let Some(batch) = batches.last_mut() {
            batch.push(write);
        }
    }
    batches
}

/// Stores finished tasks while the records are still of our claims (S9).
async fn settle(node: &Node, planner: &Shared, batch: Vec<Write>) {
    let mut txn = Txn::default();
    for write in &batch {
        txn.conditions.extend(write.txn.conditions.iter().cloned());
        txn.changes.extend(write.txn.changes.iter().cloned());
    }
    let outcome = node.state.txn(Use::Settling, &txn).await;
    match &outcome {
        Ok(version) => {
            for Write { settlement, .. } in &batch {
                planner.borrow_mut().settled(settlement, *version);
            }
            node.leader.want_pass();
            for Write { settlement, .. } in &batch {
                if settlement.finishes && settlement.record.is_chunked() {
                    drop_chunks(node, &settlement.record).await;
                }
            }
        }
        Err(error) => {
            tracing::debug!(jobs = batch.len(), %error, "settling write not taken");
            for Write { settlement, .. } in &batch {
                let id = &settlement.job;
                // Of a transaction that was refused, only the records named have changed.
                let doubtful = match error {
                    StateError::Conflict(failed) => failed.contains(&job_key(id)),
                    StateError::NoAnswer(_) => true,
                    _ => false,
                };
                let found = match doubtful {
                    true => find_own(node, planner, id, &settlement.record).await,
                    false => None,
                };
                planner.borrow_mut().settling_failed(id, found);
            }
            if !matches!(error, StateError::Conflict(_) | StateError::NoAnswer(_)) {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

/// The record as the store has it, if it is still of our claim.
async fn find_own(
    node: &Node,
    planner: &Shared,
    id: &JobId,
    ours: &JobRecord,
) -> Option<(JobRecord, TaskSet, u64)> {
    let Ok(read) = node.state.get(Use::Settling, &job_key(id)).await else {
        return None;
    };
    let Some(item) = read else {
        // Cancelled, or a final write of ours that was carried out after all.
        planner.borrow_mut().close_job(id);
        return None;
    };
    let found: JobRecord = serde_json::from_value(item.value).ok()?;
    if found.generation != ours.generation && found.owner == ours.owner {
        // A claim of our own, after a back-off, came in between. It takes the job up again.
        return None;
    }
    if found.generation != ours.generation {
        tracing::warn!(job = %id, "a settling write met a newer generation; job dropped");
        planner.borrow_mut().close_job(id);
        return None;
    }
    let finished = match found.is_chunked() {
        true => finished_chunks(node, id).await?,
        false => found.finished.clone(),
    };
    Some((found, finished, item.version))
}

/// Finished tasks of a job that is too large to keep them in its record; `None` without an answer.
pub async fn finished_chunks(node: &Node, id: &JobId) -> Option<TaskSet> {
    let (items, _) = node.state.list(Use::Claim, &finished_prefix(id)).await.ok()?;
    let mut all = TaskSet::default();
    for item in items {
        if let Ok(set) = serde_json::from_value::<TaskSet>(item.value) {
            all.extend(&set);
        }
    }
    Some(all)
}

async fn drop_chunks(node: &Node, record: &JobRecord) {
    let chunks = record.spec.tasks.div_ceil(CHUNK_TASKS);
    let keys: Vec<String> = (0..chunks).map(|chunk| finished_key(&record.spec.id, chunk)).collect();
    for part in keys.chunks(4) {
        let txn = part.iter().fold(Txn::default(), |txn, key| txn.delete(key.clone()));
        let _ = node.state.txn(Use::Housekeeping, &txn).await;
    }
}
