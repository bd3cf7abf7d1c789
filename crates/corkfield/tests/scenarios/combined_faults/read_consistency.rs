//! Users ask all controllers within milliseconds of a change.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS};
use corkfield_fakes::Fault;
use corkfield_wire::user::PATH_CANCEL;
use corkfield_wire::{JobSpec, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;

/// Questions and repeats at all controllers, within milliseconds; the execution history notes what goes back.
async fn ask_all(cluster: &Rc<Cluster>, job: &JobSpec) {
    let mut asked = Vec::new();
    for wait_ms in [0, 1, 3, 10, 40] {
        tokio::time::sleep(std::time::Duration::from_millis(wait_ms)).await;
        for controller in 0..CONTROLLERS.len() {
            let (asker, job) = (cluster.clone(), job.clone());
            asked.push(tokio::task::spawn_local(async move {
                asker.request_about_job(controller, &job.id, None).await;
                asker.submit_to(controller, &job).await;
            }));
        }
    }
    for task in asked {
        task.await.expect("no panic");
    }
}

#[test]
fn no_controller_answers_something_older_than_another_did() {
    // The store answers at once, or slowly and unevenly.
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
                // The execution history has to know the job before its worker does.
                cluster.history.add_plan(corkfield_fakes::JobPlan {
                    spec: job.clone(),
                    run_s: if number % 3 == 0 { 120.0 } else { 1.0 },
                    is_failing: false,
                });
                while !matches!(cluster.submit_to(controller, &job).await, Some(200 | 201)) {
                    sleep_s(0.2).await;
                }
                ask_all(&cluster, &job).await;
                match number % 3 {
                    0 => {
                        cluster.cancel_at((controller + 1) % CONTROLLERS.len(), &job.id).await;
                        ask_all(&cluster, &job).await;
                    }
                    1 => {
                        // Whoever is told first that it is done, the others must know as well.
                        for round in 0..600 {
                            let asked = round % CONTROLLERS.len();
                            if cluster.request_about_job(asked, &job.id, None).await
                                == Some(JobStatus::Done)
                            {
                                break;
                            }
                            sleep_s(0.05).await;
                        }
                        ask_all(&cluster, &job).await;
                        let after =
                            cluster.request_about_job(controller, &job.id, Some(PATH_CANCEL)).await;
                        assert!(after.is_none_or(|status| status == JobStatus::Done));
                    }
                    _ => {}
                }
            }
        });
    }
}
