//! Outages of the state service, lost answers, and transactions that are executed late.

use crate::cluster::{is_transaction, job_spec, scenario, sleep_s, CONTROLLERS};
use corkfield_fakes::Fault;
use corkfield_wire::user::{PATH_JOBS, PATH_READY};
use std::cell::Cell;

#[test]
fn a_short_store_outage_stops_no_task_and_a_long_one_loses_no_job() {
    scenario(2, |cluster| async move {
        let short = job_spec(1, 12);
        cluster.submit(&short, 20.0).await;
        sleep_s(4.0).await;
        cluster.store.set_down(true);
        sleep_s(9.0).await;
        cluster.store.set_down(false);
        cluster.wait_until_done(&short.id, 60.0).await;
        cluster.assert_started_once(&short, "no task was started twice");
        let long = job_spec(2, 12);
        cluster.submit(&long, 60.0).await;
        sleep_s(5.0).await;
        // The leader cannot ask a stopped controller, which might know of a cancellation.
        let other = cluster.other_controllers(cluster.leader())[0];
        cluster.kill_controller(other);
        cluster.store.set_down(true);
        sleep_s(45.0).await;
        assert_eq!(
            cluster.history.running_tasks(&long.id),
            0,
            "worker leases expire without fresh state (S6)"
        );
        cluster.store.set_down(false);
        cluster.start_controller(other);
        cluster.wait_until_done(&long.id, 150.0).await;
    });
}

#[test]
fn lost_answers_to_transactions_lose_no_job_and_start_no_task_twice() {
    scenario(2, |cluster| async move {
        let count = Cell::new(0);
        cluster.store.set_fault_where(Fault::LoseAnswer, move |request| {
            count.set(count.get() + 1);
            is_transaction(request) && count.get() % 4 == 0
        });
        let jobs: Vec<_> = (1..6).map(|number| job_spec(number, 6)).collect();
        for job in &jobs {
            let status = cluster.submit(job, 4.0).await;
            assert!(status == 200 || status == 201, "{status}");
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 150.0).await;
        }
    });
}

#[test]
fn transactions_executed_late_lose_no_job_and_start_no_task_twice() {
    scenario(2, |cluster| async move {
        let count = Cell::new(0);
        cluster.store.set_fault_where(Fault::DelayAndLoseAnswer(7.0), move |request| {
            count.set(count.get() + 1);
            is_transaction(request) && count.get() % 5 == 0
        });
        let jobs: Vec<_> = (1..6).map(|number| job_spec(number, 6)).collect();
        for job in &jobs {
            cluster.submit(job, 4.0).await;
        }
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.3).await;
        for job in &jobs {
            cluster.wait_until_done(&job.id, 200.0).await;
        }
    });
}

#[test]
fn requests_that_need_the_store_get_503_during_an_outage() {
    scenario(1, |cluster| async move {
        let job = job_spec(1, 2);
        cluster.submit(&job, 2.0).await;
        cluster.wait_until_done(&job.id, 30.0).await;
        cluster.store.set_down(true);
        sleep_s(1.0).await;
        let body = serde_json::to_vec(&job_spec(2, 2)).expect("serializable");
        assert_eq!(
            cluster.request(0, "POST", PATH_JOBS, &body).await.map(|(status, _)| status),
            Some(503)
        );
        let unknown_job = "/submissions/j-000009";
        assert_eq!(
            cluster.request(0, "GET", unknown_job, b"").await.map(|(status, _)| status),
            Some(503)
        );
        // A final status may be answered from memory, because it never changes.
        let path = format!("{PATH_JOBS}/{}", job.id);
        let answers = [
            cluster.request(0, "GET", &path, b"").await,
            cluster.request(1, "GET", &path, b"").await,
        ];
        assert!(answers.iter().flatten().all(|(status, _)| matches!(status, 200 | 503)));
        assert_eq!(
            cluster.request(0, "GET", PATH_READY, b"").await.map(|(status, _)| status),
            Some(200)
        );
        // While no controller reaches the store, a controller that has restarted reports ready,
        // although it has no recent proof of fresh state.
        cluster.restart_controller(2, 0.5).await;
        sleep_s(10.0).await;
        assert_eq!(
            cluster.request(2, "GET", PATH_READY, b"").await.map(|(status, _)| status),
            Some(200)
        );
        assert_eq!(
            cluster.request(2, "GET", unknown_job, b"").await.map(|(status, _)| status),
            Some(503)
        );
    });
}

#[test]
fn an_idle_deployment_stays_ready() {
    scenario(1, |cluster| async move {
        // Nothing changes in the store, so proofs of fresh state come from watches that time out.
        for _ in 0..300 {
            sleep_s(0.1).await;
            for controller in 0..CONTROLLERS.len() {
                let answer = cluster.request(controller, "GET", PATH_READY, b"").await;
                assert_eq!(answer.map(|(status, _)| status), Some(200), "controller {controller}");
            }
        }
    });
}
