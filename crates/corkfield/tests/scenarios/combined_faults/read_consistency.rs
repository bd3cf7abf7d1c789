//! Users poll all controllers within milliseconds of a status change.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS};
use corkfield_fakes::Fault;
use corkfield_wire::user::PATH_CANCEL;
use corkfield_wire::{JobSpec, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;

/// Queries a job's status and repeats its submission at all controllers, five times within 60 ms.
/// The execution history records a violation when an answer is older than one given before.
async fn request_from_all(cluster: &Rc<Cluster>, job: &JobSpec) {
    let mut requests = Vec::new();
    for wait_ms in [0, 1, 3, 10, 40] {
        tokio::time::sleep(std::time::Duration::from_millis(wait_ms)).await;
        for controller in 0..CONTROLLERS.len() {
            let (requester, job) = (cluster.clone(), job.clone());
            requests.push(tokio::task::spawn_local(async move {
                requester.request_about_job(controller, &job.id, None).await;
                requester.submit_to(controller, &job).await;
            }));
        }
    }
    for request in requests {
        request.await.expect("no panic");
    }
}

#[test]
fn no_controller_answers_with_a_status_older_than_another_has_answered() {
    // The store answers immediately, or after a random delay of up to `slowest_s` seconds.
    for (seed, slowest_s) in [(0, 0.0), (1, 0.03), (2, 0.3), (3, 0.9)] {
        scenario(3, |cluster| async move {
            let rng = RefCell::new(SmallRng::seed_from_u64(seed));
            cluster.store.set_faults(move |_| {
                if slowest_s > 0.0 {
                    Fault::Delay(rng.borrow_mut().random_range(0.0..slowest_s))
                } else {
                    Fault::None
                }
            });
            for number in 1..=18u32 {
                let job = job_spec(number, 1 + number % 2);
                let controller = number as usize % CONTROLLERS.len();
                // The execution history needs the plan before a worker gets a task of the job.
                cluster.history.add_plan(corkfield_fakes::JobPlan {
                    spec: job.clone(),
                    run_s: if number % 3 == 0 { 120.0 } else { 1.0 },
                    is_failing: false,
                });
                while !matches!(cluster.submit_to(controller, &job).await, Some(200 | 201)) {
                    sleep_s(0.2).await;
                }
                request_from_all(&cluster, &job).await;
                match number % 3 {
                    0 => {
                        cluster.cancel_at((controller + 1) % CONTROLLERS.len(), &job.id).await;
                        request_from_all(&cluster, &job).await;
                    }
                    1 => {
                        // Once one controller has answered that the job is done, the others must do
                        // so too.
                        for round in 0..600 {
                            let polled = round % CONTROLLERS.len();
                            if cluster.request_about_job(polled, &job.id, None).await
                                == Some(JobStatus::Done)
                            {
                                break;
                            }
                            sleep_s(0.05).await;
                        }
                        request_from_all(&cluster, &job).await;
                        let status =
                            cluster.request_about_job(controller, &job.id, Some(PATH_CANCEL)).await;
                        assert!(status.is_none_or(|status| status == JobStatus::Done));
                    }
                    _ => {}
                }
            }
        });
    }
}
