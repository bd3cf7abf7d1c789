//! Late copies of requests that were carried out and answered before: direct orders, answers to
//! relayed heartbeats, transactions, rentals and deletions. Controllers and machines are back within
//! a second, and tasks are moved or cancelled in between.

use crate::cluster::{
    is_transaction, job_spec, scenario, sleep_s, task_id, Cluster, CONTROLLERS, LEASE_S,
};
use corkfield_fakes::{FakeWorker, Fault};
use corkfield_wire::worker::PATH_HEARTBEAT;
use corkfield_wire::{JobSpec, JobStatus};
use std::rc::Rc;

/// The time that a restarted controller or machine is away, in seconds.
const RESTART_S: f64 = 0.3;

/// Cuts the first worker off from the leader, so that another controller relays its heartbeats. Each
/// of three machines runs a task that leaves three CPUs free, so that none is returned as idle.
async fn cut_off_a_worker(cluster: &Cluster) -> Rc<FakeWorker> {
    let occupying = JobSpec { cpus: 5.0, estimate_s: 300.0, ..job_spec(90, 3) };
    cluster.submit(&occupying, 300.0).await;
    sleep_s(3.0).await;
    let worker = cluster.cloud.workers()[0].clone();
    let leader = CONTROLLERS[cluster.leader()];
    cluster.net.partition(leader, worker.settings.name.as_str());
    sleep_s(LEASE_S + 2.0).await;
    worker
}

/// Restarts all controllers but the leader, and delivers copies of what the leader answered to their
/// earlier processes. Returns the number of frames of which copies are delivered.
async fn restart_relays_amid_copies(cluster: &Cluster) -> usize {
    let leader = cluster.leader();
    let mut frames = 0;
    for other in cluster.other_controllers(leader) {
        cluster.restart_controller(other, RESTART_S).await;
        frames += cluster.net.deliver_copies_of_answers(CONTROLLERS[leader], CONTROLLERS[other]);
    }
    frames
}

/// Guards against a task that runs again although it has completed, because a relaying controller
/// that is back within a second takes a late copy of an answer to its earlier process for the answer
/// to the heartbeat that it relays now. The worker has forgotten the attempt.
#[test]
fn copies_of_answers_to_relayed_heartbeats_start_no_completed_task_again() {
    scenario(3, |cluster| async move {
        let worker = cut_off_a_worker(&cluster).await;
        let job = job_spec(1, 200);
        cluster.submit(&job, 3.0).await;
        sleep_s(12.0).await;
        let starts = cluster.history.start_count_on(worker.settings.name.as_str());
        assert!(starts > 8, "the worker has run tasks that have ended: {starts} starts");
        assert!(restart_relays_amid_copies(&cluster).await > 0);
        cluster.wait_until_done(&job.id, 120.0).await;
        assert!(cluster.net.delivered_frame_copies() > 0);
        cluster.assert_started_once(&job, "no copy starts a task");
    });
}

/// Guards against a task that runs on two machines, because a copy of the answer that started it
/// reaches the machine after the machine has restarted and the task has moved elsewhere. A second
/// job is cancelled in between.
#[test]
fn copies_of_answers_to_relayed_heartbeats_start_no_moved_or_cancelled_task() {
    scenario(3, |cluster| async move {
        let worker = cut_off_a_worker(&cluster).await;
        let (moved, cancelled) = (job_spec(1, 5), job_spec(2, 4));
        cluster.submit(&moved, 40.0).await;
        cluster.submit(&cancelled, 40.0).await;
        sleep_s(5.0).await;
        assert!(cluster.history.start_count_on(worker.settings.name.as_str()) > 0);
        worker.restart();
        assert_eq!(cluster.cancel(&cancelled.id).await, Some(JobStatus::Cancelled));
        sleep_s(3.0).await;
        assert!(restart_relays_amid_copies(&cluster).await > 0);
        cluster.wait_until_done(&moved.id, 150.0).await;
        assert!(cluster.net.delivered_frame_copies() > 0);
        assert_eq!(cluster.history.running_tasks(&cancelled.id), 0);
    });
}

/// Guards against harm by copies of direct orders. They name attempts that are never used again, and
/// none is a start: a worker that has forgotten an attempt would run it again.
#[test]
fn copies_of_direct_orders_start_nothing_and_stop_no_later_attempt() {
    for copy_delay_s in [0.5, 3.0, 9.0, 20.0] {
        scenario(3, |cluster| async move {
            let workers = cluster.cloud.workers();
            workers.iter().for_each(|worker| worker.command_copy_delay_s.set(Some(copy_delay_s)));
            let kept = job_spec(1, 60);
            cluster.submit(&kept, 6.0).await;
            let cancelled: Vec<JobSpec> = (2..6).map(|number| job_spec(number, 3)).collect();
            for job in &cancelled {
                cluster.submit(job, 200.0).await;
            }
            sleep_s(3.0).await;
            for job in &cancelled {
                cluster.cancel(&job.id).await;
                cluster.restart_controller(cluster.leader(), RESTART_S).await;
                sleep_s(1.5).await;
            }
            workers[0].restart();
            cluster.wait_until_done(&kept.id, 150.0).await;
            sleep_s(copy_delay_s + LEASE_S).await;
            for job in &cancelled {
                assert_eq!(cluster.history.running_tasks(&job.id), 0);
            }
            let copies: u32 = workers.iter().map(|worker| worker.command_copies()).sum();
            assert!(copies > 0, "no copy was executed");
            let starts: u32 = workers.iter().map(|worker| worker.direct_starts()).sum();
            assert_eq!(starts, 0, "S3: starts are sent only in answers to heartbeats");
        });
    }
}

/// Guards against harm by copies of heartbeats that reach all controllers, also the leader's next
/// process, after the machine has restarted and a task was moved or cancelled.
#[test]
fn copies_of_heartbeats_start_no_task_again_after_restarts() {
    scenario(3, |cluster| async move {
        let (kept, cancelled) = (job_spec(1, 80), job_spec(2, 8));
        cluster.submit(&cancelled, 60.0).await;
        sleep_s(2.0).await;
        cluster.submit(&kept, 5.0).await;
        sleep_s(6.0).await;
        let restarted = cluster.worker_of(&task_id(&cancelled, 0));
        let copies: Vec<Vec<u8>> =
            cluster.cloud.workers().iter().flat_map(|worker| worker.sent_heartbeats()).collect();
        cluster.cancel(&cancelled.id).await;
        restarted.restart();
        for round in 0..3 {
            if round == 1 {
                cluster.restart_controller(cluster.leader(), RESTART_S).await;
            }
            for copy in &copies {
                for controller in 0..CONTROLLERS.len() {
                    let (sender, copy) = (cluster.clone(), copy.clone());
                    tokio::task::spawn_local(async move {
                        sender.request(controller, "POST", PATH_HEARTBEAT, &copy).await;
                    });
                }
            }
            sleep_s(3.0).await;
        }
        cluster.wait_until_done(&kept.id, 150.0).await;
        assert_eq!(cluster.history.running_tasks(&cancelled.id), 0);
    });
}

/// Guards against harm by copies of transactions: claims, commits of finished tasks, cancellations
/// and elections that were carried out and answered are carried out once more, after newer ones.
#[test]
fn copies_of_transactions_undo_and_repeat_nothing() {
    for copy_delay_s in [0.4, 2.0, 7.0, 15.0] {
        scenario(3, |cluster| async move {
            cluster.store.set_fault_where(Fault::Repeat(copy_delay_s), is_transaction);
            let jobs: Vec<JobSpec> = (1..6).map(|number| job_spec(number, 30)).collect();
            for job in &jobs {
                cluster.submit(job, 4.0).await;
            }
            let cancelled = job_spec(9, 10);
            cluster.submit(&cancelled, 60.0).await;
            sleep_s(4.0).await;
            cluster.restart_controller(cluster.leader(), RESTART_S).await;
            sleep_s(2.0).await;
            assert_eq!(cluster.cancel(&cancelled.id).await, Some(JobStatus::Cancelled));
            for job in &jobs {
                cluster.wait_until_done(&job.id, 150.0).await;
            }
            sleep_s(copy_delay_s + 1.0).await;
            for job in &jobs {
                assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Done));
                cluster.assert_started_once(job, "no copy moves a task");
            }
            assert_eq!(cluster.status(&cancelled.id).await, Some(JobStatus::Cancelled));
        });
    }
}

/// Guards against harm by copies of rentals and deletions: names of requests and of machines are
/// never used again, so a copy rents nothing and deletes nothing that exists.
#[test]
fn copies_of_rentals_and_deletions_change_nothing() {
    scenario(2, |cluster| async move {
        cluster.cloud.capacity.set(8);
        cluster.cloud.copy_delay_s.set(Some(6.0));
        for number in 1..4 {
            let job = JobSpec { estimate_s: 10.0, ..job_spec(number, 40) };
            cluster.submit(&job, 10.0).await;
            cluster.wait_until_done(&job.id, 120.0).await;
            cluster.assert_started_once(&job, "no copy deletes a machine");
            cluster.restart_controller(cluster.leader(), RESTART_S).await;
            // Idle machines are returned in the meantime.
            sleep_s(30.0).await;
        }
        assert!(cluster.cloud.copies.get() > 0, "no copy arrived");
    });
}

/// Guards against harm by copies of frames that a controller sent to an earlier process of the leader:
/// relayed heartbeats, its own heartbeats and notifications of cancellations.
#[test]
fn copies_of_relayed_heartbeats_start_no_task_again_after_the_leader_restarted() {
    scenario(3, |cluster| async move {
        cut_off_a_worker(&cluster).await;
        let (job, cancelled) = (job_spec(1, 100), job_spec(2, 4));
        cluster.submit(&cancelled, 60.0).await;
        cluster.submit(&job, 3.0).await;
        sleep_s(8.0).await;
        assert_eq!(cluster.cancel(&cancelled.id).await, Some(JobStatus::Cancelled));
        let leader = cluster.leader();
        cluster.restart_controller(leader, RESTART_S).await;
        for (from, name) in CONTROLLERS.iter().enumerate() {
            for to in cluster.other_controllers(from) {
                cluster.net.deliver_copies_of_requests(name, CONTROLLERS[to]);
            }
        }
        cluster.wait_until_done(&job.id, 150.0).await;
        assert!(cluster.net.delivered_frame_copies() > 0);
        cluster.assert_started_once(&job, "no copy moves a task");
        assert_eq!(cluster.history.running_tasks(&cancelled.id), 0);
    });
}
