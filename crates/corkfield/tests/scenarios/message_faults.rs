//! Lost, delayed and copied messages, quick restarts of workers and controllers, and the load of
//! hundreds of machines and jobs.

use crate::cluster::{
    is_transaction, job_spec, scenario, sleep_s, task_id, StoreLoad, CONTROLLERS, LEASE_S,
};
use corkfield_fakes::{Fault, JobPlan};
use corkfield_wire::records::MACHINE_RECORDS_PREFIX;
use corkfield_wire::user::{JobView, PATH_CANCEL, PATH_JOBS};
use corkfield_wire::worker::{WorkerHeartbeat, PATH_HEARTBEAT};
use corkfield_wire::JobStatus;
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn a_machine_with_blocked_inbound_messages_gets_no_tasks_until_it_executes_orders_again() {
    scenario(3, |cluster| async move {
        let blocked_worker = cluster.cloud.workers()[0].clone();
        let name = blocked_worker.settings.name.clone();
        blocked_worker.is_inbound_blocked.set(true);
        sleep_s(1.0).await;
        let jobs: Vec<_> = (1..=12).map(|number| job_spec(number, 32)).collect();
        for job in &jobs {
            cluster.submit(job, 4.0).await;
        }
        sleep_s(45.0).await;
        assert_eq!(cluster.history.start_count_on(name.as_str()), 0);
        let undelivered = cluster.undelivered_starts(name.as_str());
        assert!(undelivered <= 2 * 8, "{undelivered} start orders were lost");
        blocked_worker.is_inbound_blocked.set(false);
        for job in &jobs {
            cluster.wait_until_done(&job.id, 200.0).await;
        }
        assert!(cluster.history.start_count_on(name.as_str()) > 0, "the machine gets tasks again");
    });
}

#[test]
fn a_machine_with_blocked_inbound_messages_does_not_delay_a_failover_indefinitely() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 48);
        cluster.submit(&job, 15.0).await;
        sleep_s(5.0).await;
        let blocked_worker = cluster.cloud.workers()[0].clone();
        blocked_worker.is_inbound_blocked.set(true);
        // With the cloud down, the leader cannot return the machine instead of waiting.
        cluster.cloud.is_down.set(true);
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.2).await;
        // The timeout covers the answer limit, a worker's lease and the remaining run time of the
        // tasks.
        cluster.wait_until_done(&job.id, 100.0).await;
    });
}

#[test]
fn delayed_copies_of_heartbeats_do_not_restore_a_reclaimed_machine() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 24);
        cluster.submit(&job, 4.0).await;
        cluster.wait_until_done(&job.id, 40.0).await;
        let reclaimed_worker = cluster.cloud.workers()[0].clone();
        let name = reclaimed_worker.settings.name.clone();
        cluster.cloud.reclaim(name.as_str());
        // Waits until the cloud's list of machines no longer contains the machine.
        sleep_s(20.0).await;
        let copies = reclaimed_worker.sent_heartbeats();
        let record = format!("{MACHINE_RECORDS_PREFIX}{name}");
        for has_new_leader in [false, true] {
            if has_new_leader {
                // The next leader has never received a heartbeat of the machine.
                let leader = cluster.leader();
                cluster.restart_controller(leader, 0.1).await;
                sleep_s(5.0).await;
            }
            for copy in &copies {
                for controller in 0..CONTROLLERS.len() {
                    cluster.request(controller, "POST", PATH_HEARTBEAT, copy).await;
                }
            }
            let next = job_spec(if has_new_leader { 3 } else { 2 }, 32);
            cluster.submit(&next, 2.0).await;
            cluster.wait_until_done(&next.id, 40.0).await;
            sleep_s(15.0).await;
            assert!(cluster.store.value(&record).is_none(), "the machine has no record");
        }
    });
}

#[test]
fn a_machine_whose_worker_restarts_its_sequence_numbers_is_returned() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 30);
        cluster.submit(&job, 20.0).await;
        sleep_s(6.0).await;
        let machine = cluster.history.machine_of(&task_id(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(machine.as_str()).expect("a worker");
        let copies = worker.sent_heartbeats();
        worker.restart();
        sleep_s(0.5).await;
        for copy in &copies {
            cluster.request(cluster.leader(), "POST", PATH_HEARTBEAT, copy).await;
        }
        cluster.wait_until_done(&job.id, LEASE_S + 60.0).await;
        // Only the tasks of the restarted worker were started again.
        let starts = cluster.history.total_starts();
        assert!(starts <= 30 + 8, "{starts} starts");
        let current = cluster.cloud.worker(machine.as_str());
        assert!(current.is_none(), "the machine was returned");
    });
}

/// Guards against tasks that run twice after a worker restarted within its first few heartbeats.
/// The leader did not notice the restart, because the first heartbeat of the new process that
/// arrived had a higher sequence number than the last known one. Then a delayed heartbeat of the
/// previous process arrives with the highest sequence number. It does not report the running tasks;
/// the leader released them ("task released ... state=Running") and started them elsewhere as well.
#[test]
fn a_delayed_heartbeat_of_a_previous_worker_process_starts_no_task_twice() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 12);
        cluster.submit(&job, 20.0).await;
        sleep_s(5.0).await;
        let worker = cluster.worker_of(&task_id(&job, 0));
        let newest = worker.sent_heartbeats().pop().expect("the worker sent heartbeats");
        let newest: WorkerHeartbeat = serde_json::from_slice(&newest).expect("a heartbeat");
        let sequence = newest.sequence + 30;
        let delayed = WorkerHeartbeat { sequence, tasks: Vec::new(), ..newest };
        let body = serde_json::to_vec(&delayed).expect("serializable");
        cluster.request(cluster.leader(), "POST", PATH_HEARTBEAT, &body).await;
        cluster.wait_until_done(&job.id, 60.0).await;
        let name = worker.settings.name.as_str();
        assert!(cluster.cloud.worker(name).is_none(), "the machine was returned");
    });
}

#[test]
fn controllers_that_restart_during_elections_lose_no_job() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 60);
        cluster.submit(&job, 4.0).await;
        for round in 0..6 {
            for controller in 0..CONTROLLERS.len() {
                cluster.restart_controller(controller, 0.05 * f64::from(round % 3)).await;
                sleep_s(0.07 * f64::from(round)).await;
            }
        }
        cluster.wait_until_done(&job.id, 90.0).await;
        assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Done));
    });
}

/// Guards against load that grows with the product of heartbeats and machines, and against one
/// write for each task. The bounds are counts, so that they hold on a test machine of any speed.
#[test]
fn hundreds_of_machines_and_thousands_of_tasks_need_few_placement_passes_and_requests() {
    scenario(300, |cluster| async move {
        let store_load = StoreLoad::start_counting(&cluster.store);
        let passes = || async {
            let view = cluster.overview(cluster.leader()).await;

            view["planning"]["passes"].as_u64().expect("it is the leader")
        };
        let before = passes().await;
        let started = tokio::time::Instant::now();
        let jobs: Vec<_> = (1..=3).map(|number| job_spec(number, 3000)).collect();
        for job in &jobs {
            cluster.submit(job, 6.0).await;
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 90.0).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        let passes = passes().await - before;
        let (requests, writes) = (store_load.requests(), store_load.changes());
        // 9,000 tasks of 6 s run on 2,400 CPUs, and each machine sends up to two heartbeats per
        // second.
        assert!(seconds < 60.0, "{seconds} s");
        assert!(passes < 400, "{passes} passes");
        assert!(requests < 700, "{requests} requests");
        // Completions are written for each job, not for each task.
        assert!(writes < 300, "{writes} writes");
        assert_eq!(cluster.history.total_starts(), 9000);
    });
}

#[test]
fn bursts_of_status_requests_are_answered_in_time_after_an_outage_and_failovers() {
    scenario(3, |cluster| async move {
        // One job is far larger than the fleet, one fails on every machine, and many are queued.
        let largest = job_spec(1, 20_000);
        let failing = job_spec(2, 4);
        cluster.submit(&largest, 5.0).await;
        cluster.submit_plan(JobPlan { spec: failing.clone(), run_s: 1.0, is_failing: true }).await;
        let queued: Vec<_> = (3..40).map(|number| job_spec(number, 50)).collect();
        for job in &queued {
            cluster.submit(job, 5.0).await;
        }
        cluster.store.set_down(true);
        for controller in 0..CONTROLLERS.len() {
            cluster.restart_controller(controller, 0.1).await;
        }
        sleep_s(20.0).await;
        cluster.store.set_down(false);
        for round in 0..3 {
            cluster.restart_controller(round % CONTROLLERS.len(), 0.3).await;
            sleep_s(1.0).await;
        }
        sleep_s(6.0).await;
        let (answered_in_time, sent) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        for poll in 0..20 {
            for job in queued.iter().chain([&largest, &failing]) {
                let (cluster, path) = (cluster.clone(), format!("{PATH_JOBS}/{}", job.id));
                let (answered_in_time, controller) =
                    (answered_in_time.clone(), poll % CONTROLLERS.len());
                sent.set(sent.get() + 1);
                tokio::task::spawn_local(async move {
                    let started = tokio::time::Instant::now();
                    let answer = cluster.request(controller, "GET", &path, b"").await;
                    let is_answered = answer.is_some_and(|(status, _)| status == 200);
                    if is_answered && started.elapsed().as_secs_f64() < 2.0 {
                        answered_in_time.set(answered_in_time.get() + 1);
                    }
                });
            }
            sleep_s(0.25).await;
        }
        sleep_s(5.0).await;
        assert_eq!(answered_in_time.get(), sent.get());
    });
}

#[test]
fn delayed_copies_of_user_requests_change_nothing() {
    scenario(2, |cluster| async move {
        let (done, cancelled) = (job_spec(1, 4), job_spec(2, 40));
        let bodies = [&done, &cancelled].map(|job| serde_json::to_vec(job).expect("serializable"));
        cluster.submit(&done, 1.0).await;
        cluster.submit(&cancelled, 30.0).await;
        cluster.wait_until_done(&done.id, 30.0).await;
        assert_eq!(cluster.cancel(&cancelled.id).await, Some(JobStatus::Cancelled));
        let starts_before = cluster.history.total_starts();
        for controller in 0..CONTROLLERS.len() {
            for body in &bodies {
                let answer = cluster.request(controller, "POST", PATH_JOBS, body).await;
                assert_eq!(answer.map(|(status, _)| status), Some(200), "the job is known");
            }
            let cancellation = format!("{PATH_JOBS}/{}/{PATH_CANCEL}", done.id);
            let (status, body) =
                cluster.request(controller, "POST", &cancellation, b"").await.expect("an answer");
            let view: JobView = serde_json::from_slice(&body).expect("a view");
            assert_eq!((status, view.status), (200, JobStatus::Done));
        }
        sleep_s(10.0).await;
        assert_eq!(cluster.status(&cancelled.id).await, Some(JobStatus::Cancelled));
        assert_eq!(cluster.status(&done.id).await, Some(JobStatus::Done));
        assert_eq!(cluster.history.total_starts(), starts_before, "no copy starts a task");
    });
}

#[test]
fn a_controller_that_reaches_only_workers_is_replaced_and_gives_no_stale_answers() {
    for is_leader in [true, false] {
        scenario(3, |cluster| async move {
            let job = job_spec(1, 60);
            cluster.submit(&job, 6.0).await;
            sleep_s(4.0).await;
            let leader = cluster.leader();
            let isolated = if is_leader { leader } else { (leader + 1) % CONTROLLERS.len() };
            for other in ["state", "cloud"].into_iter().chain(CONTROLLERS) {
                if other != CONTROLLERS[isolated] {
                    cluster.net.partition(CONTROLLERS[isolated], other);
                }
            }
            // The isolated controller answers users with 503, in time and without a stale status.
            sleep_s(6.0).await;
            let body = serde_json::to_vec(&job_spec(2, 3)).expect("serializable");
            let answer = cluster.request(isolated, "POST", PATH_JOBS, &body).await;
            assert_eq!(answer.map(|(status, _)| status), Some(503));
            let path = format!("{PATH_JOBS}/{}", job.id);
            let answer = cluster.request(isolated, "GET", &path, b"").await;
            assert_eq!(answer.map(|(status, _)| status), Some(503));
            // The other controllers still reach the workers, so the new leader fences them (S7). In
            // addition, the isolated controller stops answering its workers soon (S6). Each of the
            // two suffices here.
            let others = cluster.other_controllers(isolated);
            let mut is_done = false;
            for _ in 0..100 {
                sleep_s(1.0).await;
                let answer = cluster.request(others[0], "GET", &path, b"").await;
                let view = answer.and_then(|(_, body)| serde_json::from_slice(&body).ok());
                is_done |= view.is_some_and(|view: JobView| view.status == JobStatus::Done);
            }
            assert!(is_done, "the other controllers report the job as done");
            assert!(others.contains(&cluster.leader()));
            for other in ["state", "cloud"].into_iter().chain(CONTROLLERS) {
                cluster.net.heal(CONTROLLERS[isolated], other);
            }
            cluster.submit(&job_spec(2, 3), 1.0).await;
            cluster.wait_until_done(&job_spec(2, 3).id, 60.0).await;
        });
    }
}

#[test]
fn records_of_many_jobs_are_written_concurrently_while_the_store_is_slow() {
    scenario(60, |cluster| async move {
        cluster.store.set_fault_where(Fault::Delay(0.9), is_transaction);
        // The first 128 tasks of each job may start immediately; the others require a write
        // of the job's record first.
        let jobs: Vec<_> = (1..=40).map(|number| job_spec(number, 200)).collect();
        let started = tokio::time::Instant::now();
        for job in &jobs {
            cluster.submit(job, 2.0).await;
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 200.0).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        // 8,000 tasks of 2 s run on 480 CPUs, and each claim takes 0.9 s. Writing one record after
        // another takes 90 s.
        assert!(seconds < 75.0, "{seconds} s");
    });
}
