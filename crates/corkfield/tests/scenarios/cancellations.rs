//! Cancellations that meet claims, orders in flight and controllers that are cut off.

use crate::cluster::{is_job_claim, job_spec, scenario, sleep_s, CANCEL_S, CONTROLLERS};
use corkfield_fakes::Fault;
use corkfield_wire::user::{JobView, PATH_JOBS};
use corkfield_wire::JobStatus;

#[test]
fn a_late_claim_does_not_bring_back_a_cancelled_job() {
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
fn a_cancellation_meets_an_order_in_flight() {
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
                assert_eq!((status, view.status), (200, JobStatus::Cancelled), "no older answer");
            }
        }
        sleep_s(CANCEL_S).await;
        for number in 1..8 {
            assert_eq!(cluster.history.running_tasks(&job_spec(number, 8).id), 0);
        }
    });
}

#[test]
fn a_cancellation_is_kept_while_the_reporting_controller_is_cut_off_from_everything_but_workers() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 12);
        cluster.submit(&job, 200.0).await;
        sleep_s(5.0).await;
        let old = cluster.leader();
        // It answers workers, but hears of nothing; and nobody else reaches the workers.
        for other in ["state", "cloud", "user"].into_iter().chain(CONTROLLERS) {
            cluster.net.partition(CONTROLLERS[old], other);
        }
        for controller in cluster.other_controllers(old) {
            cluster.partition_from_workers(controller);
        }
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        sleep_s(CANCEL_S + 5.0).await;
        assert_eq!(cluster.history.running_tasks(&job.id), 0);
    });
}
