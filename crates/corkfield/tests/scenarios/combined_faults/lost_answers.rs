//! Transactions that are carried out at once while only their answers are lost.

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

/// What a transaction commits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Commit {
    Acceptance,
    Cancellation,
    Claim,
    Completion,
    MachineRecord,
    HandOver,
    Membership,
}

fn commits(transaction: &Transaction, commit: Commit) -> bool {
    transaction.changes.iter().any(|change| {
        let Change::Put { key, value, .. } = change else { return false };
        let status = value["status"].as_str().unwrap_or("");
        match commit {
            Commit::Acceptance => key.starts_with(JOBS_PREFIX) && value["owner"].is_null(),
            Commit::Claim => key.starts_with(JOBS_PREFIX) && value["owner"].is_string(),
            Commit::Cancellation => key.starts_with(FINAL_RECORDS_PREFIX) && status == "aborted",
            Commit::Completion => key.starts_with(FINAL_RECORDS_PREFIX) && status == "done",
            Commit::MachineRecord => key.starts_with(MACHINE_RECORDS_PREFIX),
            Commit::HandOver => key == LEADER_KEY && value["successor"].is_string(),
            Commit::Membership => key.starts_with(CONTROLLERS_PREFIX),
        }
    })
}

/// Loses the answers to the next so many of these transactions; they are carried out at once.
/// Returns how many were lost.
fn lose_answers(cluster: &Cluster, commit: Commit, most: u32) -> Rc<Cell<u32>> {
    let lost = Rc::new(Cell::new(0));
    let counter = lost.clone();
    cluster.store.set_faults(move |request| {
        if request.path() != PATH_TXN || counter.get() >= most {
            return Fault::None;
        }
        let transaction: Transaction = serde_json::from_slice(&request.body).unwrap_or_default();
        if !commits(&transaction, commit) {
            return Fault::None;
        }
        counter.set(counter.get() + 1);
        Fault::LoseAnswer
    });
    lost
}

#[test]
fn a_commit_without_an_answer_is_seen_by_all_and_taken_back_by_nobody() {
    let commits = [
        Commit::Acceptance,
        Commit::Cancellation,
        Commit::Claim,
        Commit::Completion,
        Commit::MachineRecord,
        Commit::Membership,
    ];
    for commit in commits {
        for most in [1, 4] {
            scenario(3, |cluster| async move {
                let lost = lose_answers(&cluster, commit, most);
                if commit == Commit::Membership || commit == Commit::MachineRecord {
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
                watch_all(&cluster, &kept.id, 1.5).await;
                let status = submission.await.expect("no panic");
                assert!(matches!(status, 200 | 201), "{commit:?}: answered with {status}");
                cluster.submit(&cancelled, 200.0).await;
                sleep_s(4.0).await;
                let (cancelling, id) = (cluster.clone(), cancelled.id.clone());
                let cancellation = tokio::task::spawn_local(async move {
                    cancelling.cancel_at(0, &id).await;
                });
                watch_all(&cluster, &cancelled.id, 2.5).await;
                cancellation.await.expect("cancelled");
                watch_all(&cluster, &kept.id, 6.0).await;
                cluster.wait_until_done(&kept.id, 60.0).await;
                assert_eq!(cluster.status(&cancelled.id).await, Some(JobStatus::Cancelled));
                assert!(lost.get() >= 1, "{commit:?}: no answer was lost");
                cluster.assert_started_once(&kept, "a lost answer starts nothing again");
            });
        }
    }
}

#[test]
fn a_hand_over_without_an_answer_leaves_one_leader() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 20);
        cluster.submit(&job, 14.0).await;
        sleep_s(4.0).await;
        let lost = lose_answers(&cluster, Commit::HandOver, 2);
        let leader = cluster.leader();
        cluster.partition_from_workers(leader);
        sleep_s(LEASE_S).await;
        assert!(lost.get() >= 1, "no answer to a hand-over was lost");
        assert_ne!(cluster.leader(), leader);
        cluster.heal_to_workers(leader);
        cluster.wait_until_done(&job.id, 90.0).await;
    });
}

/// Asks all controllers about a job again and again; the execution history notes answers that go back.
async fn watch_all(cluster: &Rc<Cluster>, id: &corkfield_wire::JobId, seconds: f64) {
    let rounds = (seconds / 0.05) as usize;
    for round in 0..rounds {
        let (asker, id) = (cluster.clone(), id.clone());
        tokio::task::spawn_local(async move {
            asker.request_about_job(round % CONTROLLERS.len(), &id, None).await;
        });
        sleep_s(0.05).await;
    }
}

#[test]
fn a_cancellation_without_an_answer_is_asked_for_again_elsewhere() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 4);
        cluster.submit(&job, 200.0).await;
        sleep_s(3.0).await;
        lose_answers(&cluster, Commit::Cancellation, 1);
        // The user gives up on the first controller before it knows.
        let (first, id) = (cluster.clone(), job.id.clone());
        tokio::task::spawn_local(async move {
            first.request_about_job(0, &id, Some(PATH_CANCEL)).await;
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
