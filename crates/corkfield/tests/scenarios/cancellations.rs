//! Cancellations during claims, with orders in flight and with partitioned controllers.

use crate::cluster::{is_job_claim, job_spec, scenario, sleep_s, CANCEL_S, CONTROLLERS};
use corkfield_fakes::Fault;
use corkfield_wire::user::{JobView, PATH_JOBS};
use corkfield_wire::JobStatus;

#[test]
fn a_delayed_claim_does_not_restore_a_cancelled_job() {
    scenario(1, |cluster| async move {
        cluster.store.set_fault_where(Fault::DelayAndLoseAnswer(6.0), is_job_claim);
        let job = job_spec(1, 4);
        cluster.submit(&job, 5.0).await;
        sleep_s(1.0).await;
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        sleep_s(10.0).await;
        cluster.store.clear_faults();
        assert!(cluster.job_record(&job.id).is_none());
        assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
    });
}

#[test]
fn a_cancellation_stops_tasks_whose_start_orders_are_in_flight() {
    scenario(2, |cluster| async move {
        for number in 1..8 {
            let job = job_spec(number, 8);
            cluster.submit(&job, 40.0).await;
            sleep_s(0.3 * f64::from(number)).await;
            assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
            for controller in 0..CONTROLLERS.len() {
                let path = format!("{PATH_JOBS}/{}", job.id);
                let (status, body) =
                    cluster.request(controller, "GET", &path, b"").await.expect("an answer");
                let view: JobView = serde_json::from_slice(&body).expect("a view");
                assert_eq!(
                    (status, view.status),
                    (200, JobStatus::Cancelled),
                    "controller {controller} gives no older status"
                );
            }
        }
        sleep_s(CANCEL_S).await;
        for number in 1..8 {
            assert_eq!(cluster.history.running_tasks(&job_spec(number, 8).id), 0);
        }
    });
}

#[test]
fn a_cancellation_is_enforced_while_the_leader_reaches_only_workers() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 12);
        cluster.submit(&job, 200.0).await;
        sleep_s(5.0).await;
        let leader = cluster.leader();
        // The leader still answers the workers but does not learn of the cancellation, and no other
        // controller reaches the workers.
        for other in ["state", "cloud", "user"].into_iter().chain(CONTROLLERS) {
            cluster.net.partition(CONTROLLERS[leader], other);
        }
        for controller in cluster.other_controllers(leader) {
            cluster.partition_from_workers(controller);
        }
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        sleep_s(CANCEL_S + 5.0).await;
        assert_eq!(cluster.history.running_tasks(&job.id), 0);
    });
}
