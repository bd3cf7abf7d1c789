//! Storing finished tasks and first starts, with the generation of our claim as condition (S9).

use crate::clock::now;
use crate::node::Node;
use corkfield_core::{CompletionCommit, Scheduler};
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{
    final_key, finished_key, finished_prefix, job_key, FinalRecord, JobRecord, CHUNK_TASKS,
};
use corkfield_wire::store::Transaction;
use corkfield_wire::{JobId, JobStatus, TaskSet};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The leader, shared by all loops that serve it.
pub type SharedScheduler = Rc<RefCell<Scheduler>>;

/// Transactions under way at once. One after another, each would wait for the loop's turn and for
/// a slow answer, and with hundreds of jobs their tasks would wait to be announced meanwhile.
const AT_ONCE: usize = 6;
/// Bytes of values that share a transaction, of settling or of claims, far below what one may have.
pub(crate) const MOST_BYTES: usize = 32 * 1024;

/// While nothing is due, and no placement pass ends. What comes in between two passes is stored
/// together.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

pub async fn run(node: &Rc<Node>, scheduler: &SharedScheduler) {
    let under_way = Rc::new(());
    let most = node.env.settings.platform.params.state.txn_ops.max(4) as usize;
    loop {
        let free = AT_ONCE.saturating_sub(Rc::strong_count(&under_way) - 1);
        let due = scheduler.borrow_mut().due_completion_commits(free * most / 2, now());
        if due.is_empty() {
            let woken = node.leadership.commit_wanted.notified();
            node.env.timers.within(IDLE_INTERVAL, woken).await;
            continue;
        }
        for batch in batches(due, most) {
            let (node, scheduler, turn) = (node.clone(), scheduler.clone(), under_way.clone());
            tokio::task::spawn_local(async move {
                commit_wanted(&node, &scheduler, batch).await;
                drop(turn);
                node.leadership.commit_wanted.notify_one();
            });
        }
    }
}

/// One job's part of a transaction.
struct Write {
    completion_commit: CompletionCommit,
    transaction: Transaction,
}

impl Write {
    fn new(completion_commit: CompletionCommit) -> Self {
        let id = &completion_commit.job;
        let mut transaction = Transaction::default().when(job_key(id), completion_commit.version);
        if completion_commit.finishes {
            let over = FinalRecord { status: JobStatus::Done, done: completion_commit.record.done };
            let value = serde_json::to_value(&over).unwrap_or_default();
            transaction = transaction.delete(job_key(id)).put(final_key(id), value);
        } else {
            let value = serde_json::to_value(&completion_commit.record).unwrap_or_default();
            transaction = transaction.put(job_key(id), value);
            for (chunk, set) in &completion_commit.chunks {
                let value = serde_json::to_value(set).unwrap_or_default();
                transaction = transaction.put(finished_key(id, *chunk), value);
            }
        }
        Self { completion_commit, transaction }
    }

    fn bytes(&self) -> usize {
        serde_json::to_vec(&self.transaction).map_or(0, |bytes| bytes.len())
    }
}

/// Jobs that share a transaction, within what one may change.
fn batches(due: Vec<CompletionCommit>, most: usize) -> Vec<Vec<Write>> {
    let mut batches: Vec<Vec<Write>> = Vec::new();
    let (mut changes, mut bytes) = (usize::MAX, 0);
    for write in due.into_iter().map(Write::new) {
        let (more, larger) = (write.transaction.changes.len(), write.bytes());
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
async fn commit_wanted(node: &Node, scheduler: &SharedScheduler, batch: Vec<Write>) {
    let mut transaction = Transaction::default();
    for write in &batch {
        transaction.conditions.extend(write.transaction.conditions.iter().cloned());
        transaction.changes.extend(write.transaction.changes.iter().cloned());
    }
    let outcome = node.env.state.transaction(RequestClass::Completion, &transaction).await;
    match &outcome {
        Ok(version) => {
            for Write { completion_commit, .. } in &batch {
                scheduler.borrow_mut().completion_committed(completion_commit, *version);
            }
            node.leadership.want_pass();
            for Write { completion_commit, .. } in &batch {
                if completion_commit.finishes && completion_commit.record.is_chunked() {
                    drop_chunks(node, &completion_commit.record).await;
                }
            }
        }
        Err(error) => {
            tracing::debug!(jobs = batch.len(), %error, "settling write not taken");
            for Write { completion_commit, .. } in &batch {
                let id = &completion_commit.job;
                // Of a transaction that was refused, only the records named have changed.
                let doubtful = match error {
                    StateError::Conflict(failed) => failed.contains(&job_key(id)),
                    StateError::NoAnswer(_) => true,
                    _ => false,
                };
                let found = match doubtful {
                    true => find_own(node, scheduler, id, &completion_commit.record).await,
                    false => None,
                };
                scheduler.borrow_mut().completion_commit_failed(id, found);
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
    scheduler: &SharedScheduler,
    id: &JobId,
    ours: &JobRecord,
) -> Option<(JobRecord, TaskSet, u64)> {
    let Ok(read) = node.env.state.get(RequestClass::Completion, &job_key(id)).await else {
        return None;
    };
    let Some(item) = read else {
        // Cancelled, or a final write of ours that was carried out after all.
        scheduler.borrow_mut().close_job(id);
        return None;
    };
    let found: JobRecord = serde_json::from_value(item.value).ok()?;
    if found.generation != ours.generation && found.owner == ours.owner {
        // A claim of our own, after a back-off, came in between. It takes the job up again.
        return None;
    }
    if found.generation != ours.generation {
        tracing::warn!(job = %id, "a settling write met a newer generation; job dropped");
        scheduler.borrow_mut().close_job(id);
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
    let (items, _) = node.env.state.list(RequestClass::Claim, &finished_prefix(id)).await.ok()?;
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
        let transaction = part
            .iter()
            .fold(Transaction::default(), |transaction, key| transaction.delete(key.clone()));
        let _ = node.env.state.transaction(RequestClass::Housekeeping, &transaction).await;
    }
}
