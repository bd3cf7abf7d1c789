//! Transactions that the store executes immediately while only their answers are lost.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS, LEASE_S};
use corkfield_fakes::Fault;
use corkfield_wire::records::{
    CONTROLLERS_PREFIX, FINAL_RECORDS_PREFIX, JOBS_PREFIX, LEADER_KEY, MACHINE_RECORDS_PREFIX,
};
use corkfield_wire::store::{Change, Transaction, PATH_TXN};
use corkfield_wire::user::PATH_CANCEL;
use corkfield_wire::JobStatus;
use std::cell::Cell;
use std::rc::Rc;

/// The kind of a transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
enum TransactionKind {
    Acceptance,
    Cancellation,
    Claim,
    Completion,
    MachineRecord,
    HandOver,
    TermRaise,
    ControllerRecord,
}

/// Returns whether a transaction is of a kind.
fn is_transaction_of_kind(transaction: &Transaction, kind: TransactionKind) -> bool {
    transaction.changes.iter().any(|change| {
        let Change::Put { key, value, .. } = change else { return false };
        let status = value["status"].as_str().unwrap_or("");
        match kind {
            TransactionKind::Acceptance => key.starts_with(JOBS_PREFIX) && value["owner"].is_null(),
            TransactionKind::Claim => key.starts_with(JOBS_PREFIX) && value["owner"].is_string(),
            TransactionKind::Cancellation => {
                key.starts_with(FINAL_RECORDS_PREFIX) && status == "aborted"
            }
            TransactionKind::Completion => {
                key.starts_with(FINAL_RECORDS_PREFIX) && status == "done"
            }
            TransactionKind::MachineRecord => key.starts_with(MACHINE_RECORDS_PREFIX),
            TransactionKind::HandOver => key == LEADER_KEY && value["successor"].is_string(),
            TransactionKind::TermRaise => key == LEADER_KEY && value["node"].is_string(),
            TransactionKind::ControllerRecord => key.starts_with(CONTROLLERS_PREFIX),
        }
    })
}

/// Makes the store lose its answers to the next transactions of a kind, up to `max_lost` of them.
/// The store executes these transactions immediately. Returns a counter of the lost answers.
fn lose_answers(cluster: &Cluster, kind: TransactionKind, max_lost: u32) -> Rc<Cell<u32>> {
    let lost = Rc::new(Cell::new(0));
    let counter = lost.clone();
    cluster.store.set_faults(move |request| {
        if request.path() != PATH_TXN || counter.get() >= max_lost {
            return Fault::None;
        }
        let transaction: Transaction = serde_json::from_slice(&request.body).unwrap_or_default();
        if !is_transaction_of_kind(&transaction, kind) {
            return Fault::None;
        }
        counter.set(counter.get() + 1);
        Fault::LoseAnswer
    });
    lost
}

#[test]
fn a_commit_whose_answer_is_lost_is_visible_at_all_controllers_and_never_reverted() {
    let kinds = [
        TransactionKind::Acceptance,
        TransactionKind::Cancellation,
        TransactionKind::Claim,
        TransactionKind::Completion,
        TransactionKind::MachineRecord,
        TransactionKind::ControllerRecord,
    ];
    for kind in kinds {
        for max_lost in [1, 4] {
            scenario(3, |cluster| async move {
                let lost = lose_answers(&cluster, kind, max_lost);
                if kind == TransactionKind::ControllerRecord
                    || kind == TransactionKind::MachineRecord
                {
                    cluster.restart_controller(cluster.leader(), 0.2).await;
                    let machine = cluster.cloud.add_machine("z1", false, 0.1);
                    sleep_s(1.0).await;
                    assert!(cluster.cloud.worker(machine.as_str()).is_some());
                }
                let (kept, cancelled) = (job_spec(1, 6), job_spec(2, 4));
                let submitting = cluster.clone();
                let first = kept.clone();
                let submission =
                    tokio::task::spawn_local(async move { submitting.submit(&first, 3.0).await });
                poll_all_controllers(&cluster, &kept.id, 1.5).await;
                let status = submission.await.expect("no panic");
                assert!(matches!(status, 200 | 201), "{kind:?}: answered with {status}");
                cluster.submit(&cancelled, 200.0).await;
                sleep_s(4.0).await;
                let (cancelling, id) = (cluster.clone(), cancelled.id.clone());
                let cancellation = tokio::task::spawn_local(async move {
                    cancelling.cancel_at(0, &id).await;
                });
                poll_all_controllers(&cluster, &cancelled.id, 2.5).await;
                cancellation.await.expect("cancelled");
                poll_all_controllers(&cluster, &kept.id, 6.0).await;
                cluster.wait_until_done(&kept.id, 60.0).await;
                assert_eq!(cluster.status(&cancelled.id).await, Some(JobStatus::Cancelled));
                assert!(lost.get() >= 1, "{kind:?}: no answer was lost");
                cluster.assert_started_once(&kept, "a lost answer starts no task again");
            });
        }
    }
}

#[test]
fn a_hand_over_whose_answer_is_lost_leaves_one_leader() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 20);
        cluster.submit(&job, 14.0).await;
        sleep_s(4.0).await;
        let lost = lose_answers(&cluster, TransactionKind::HandOver, 2);
        let leader = cluster.leader();
        cluster.partition_from_workers(leader);
        sleep_s(LEASE_S).await;
        assert!(lost.get() >= 1, "no answer to a hand-over was lost");
        assert_ne!(cluster.leader(), leader);
        cluster.heal_to_workers(leader);
        cluster.wait_until_done(&job.id, 90.0).await;
    });
}

/// Guards against a leader whose writes are all refused for good. A worker reports a higher term; the
/// store executes the write that raises the leader's term and loses the answer. Before the fix, the
/// leader kept the earlier version of its own record, on which all of its writes are conditional:
/// it claimed no job, and could not raise its term either.
#[test]
fn a_leader_continues_after_the_answer_to_a_raise_of_its_term_is_lost() {
    scenario(2, |cluster| async move {
        let before = cluster.elected_leader().expect("there is a leader");
        let lost = lose_answers(&cluster, TransactionKind::TermRaise, 1);
        let seen = before.term.next().next();
        cluster.cloud.workers()[0].see_term(seen);
        sleep_s(LEASE_S).await;
        assert_eq!(lost.get(), 1, "one answer was lost");
        let after = cluster.elected_leader().expect("there is a leader");
        assert_eq!(after.controller, before.controller);
        assert!(after.term > seen, "the term was raised");
        let job = job_spec(1, 20);
        cluster.submit(&job, 2.0).await;
        cluster.wait_until_done(&job.id, 40.0).await;
    });
}

/// Polls the status of a job at all controllers in turn, every 50 ms. The execution history records
/// a violation when an answer is older than one given before.
async fn poll_all_controllers(cluster: &Rc<Cluster>, id: &corkfield_wire::JobId, seconds: f64) {
    let rounds = (seconds / 0.05) as usize;
    for round in 0..rounds {
        let (requester, id) = (cluster.clone(), id.clone());
        tokio::task::spawn_local(async move {
            requester.request_about_job(round % CONTROLLERS.len(), &id, None).await;
        });
        sleep_s(0.05).await;
    }
}

#[test]
fn a_cancellation_whose_answer_is_lost_can_be_repeated_at_another_controller() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 4);
        cluster.submit(&job, 200.0).await;
        sleep_s(3.0).await;
        lose_answers(&cluster, TransactionKind::Cancellation, 1);
        // The user repeats the request at a second controller before the first one has an answer.
        let (requester, id) = (cluster.clone(), job.id.clone());
        tokio::task::spawn_local(async move {
            requester.request_about_job(0, &id, Some(PATH_CANCEL)).await;
        });
        sleep_s(0.1).await;
        let answer = cluster.request_about_job(1, &job.id, Some(PATH_CANCEL)).await;
        assert_eq!(answer, Some(JobStatus::Cancelled));
        for controller in 0..CONTROLLERS.len() {
            assert_eq!(cluster.request_about_job(controller, &job.id, None).await, answer);
        }
        sleep_s(4.0).await;
        assert_eq!(cluster.history.running_tasks(&job.id), 0);
    });
}
