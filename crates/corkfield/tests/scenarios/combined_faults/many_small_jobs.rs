//! One-task jobs in quick succession, and machines that boot almost immediately.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, StoreLoad};
use corkfield_fakes::{Fault, JobPlan};
use corkfield_wire::records::{machine_key, JOBS_PREFIX};
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::{JobSpec, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;

/// Jobs submitted per second.
const JOBS_PER_S: f64 = 4.0;
/// One-task jobs in total: two minutes' worth.
const TOTAL_JOBS: u32 = 480;

/// Submits a one-task job, and cancels every fourth job or waits until the job is done.
async fn submit_then_cancel_or_wait(cluster: Rc<Cluster>, job: JobSpec, number: u32) {
    cluster.submit_plan(JobPlan { spec: job.clone(), run_s: 3.0, is_failing: false }).await;
    if number % 4 == 0 {
        sleep_s(f64::from(number % 7) * 0.7).await;
        cluster.cancel(&job.id).await;
    } else {
        cluster.wait_until_done(&job.id, 60.0).await;
    }
}

#[test]
fn one_task_jobs_at_four_per_second_cost_few_store_changes_and_do_not_starve_an_array() {
    scenario(4, |cluster| async move {
        let store_load = StoreLoad::start_counting(&cluster.store);
        let array = JobSpec { cpus: 4.0, ..job_spec(1, 30) };
        cluster.submit(&array, 8.0).await;
        let mut submissions = Vec::new();
        for number in 0..TOTAL_JOBS {
            let job = JobSpec { cpus: 0.5, memory_gb: 0.2, ..job_spec(1000 + number, 1) };
            submissions.push(tokio::task::spawn_local(submit_then_cancel_or_wait(
                cluster.clone(),
                job,
                number,
            )));
            if number == TOTAL_JOBS / 2 {
                cluster.restart_controller(cluster.leader(), 0.3).await;
            }
            sleep_s(1.0 / JOBS_PER_S).await;
        }
        for submission in submissions {
            submission.await.expect("done or cancelled in time");
        }
        cluster.wait_until_done(&array.id, 60.0).await;
        // A job costs five changes: one each when it is accepted, claimed and running, and two when
        // it ends. The rest of the bound is for the array's changes.
        let per_job = f64::from(store_load.changes()) / f64::from(TOTAL_JOBS);
        assert!(per_job < 5.9, "{per_job} changes per job");
        sleep_s(2.0).await;
        assert_eq!(
            cluster.store.keys(JOBS_PREFIX),
            Vec::<String>::new(),
            "no record is left behind"
        );
        for number in 0..TOTAL_JOBS {
            let status = cluster.status(&job_spec(1000 + number, 1).id).await;
            assert!(status.is_some_and(JobStatus::is_final), "{status:?}");
        }
    });
}

/// Asserts that each machine with a started task has a machine record, which the next leader needs
/// to find the machine.
fn assert_machines_recorded(cluster: &Cluster) {
    for worker in cluster.cloud.workers() {
        let name = &worker.settings.name;
        let is_recorded = cluster.store.value(&machine_key(name.as_str())).is_some();
        assert!(
            is_recorded || cluster.history.start_count_on(name.as_str()) == 0,
            "{name} has no record"
        );
    }
}

#[test]
fn machines_that_boot_almost_at_once_are_recorded_before_their_first_start() {
    for (seed, restart_s) in [(0, 0.6), (1, 1.2), (2, 2.0), (3, 3.5)] {
        scenario(4, |cluster| async move {
            cluster.cloud.boot_s.set(0.2);
            let job = job_spec(1, 60);
            cluster.submit(&job, 5.0).await;
            sleep_s(4.0).await;
            let rng = RefCell::new(SmallRng::seed_from_u64(seed));
            cluster.store.set_faults(move |request| {
                let mut rng = rng.borrow_mut();
                if request.path() == PATH_TXN && rng.random_bool(0.5) {
                    Fault::DelayAndLoseAnswer(rng.random_range(2.0..8.0))
                } else {
                    Fault::Delay(rng.random_range(0.0..0.4))
                }
            });
            for worker in cluster.cloud.workers() {
                cluster.cloud.reclaim(worker.settings.name.as_str());
            }
            // The leader detects the loss and rents new machines. It is restarted when the new
            // machines are about to get their first tasks.
            let mut was_restarted = false;
            for round in 0..400 {
                sleep_s(0.05).await;
                assert_machines_recorded(&cluster);
                let has_rented = cluster.cloud.executed_rentals.get() > 0;
                if has_rented && !was_restarted && f64::from(round) * 0.05 > 8.0 + restart_s {
                    was_restarted = true;
                    if let Some(leader) = cluster.elected_leader() {
                        cluster.restart_controller(leader.controller, 0.2).await;
                    }
                }
            }
            cluster.store.clear_faults();
            cluster.wait_until_done(&job.id, 120.0).await;
            assert_machines_recorded(&cluster);
            assert!(was_restarted, "the leader was not restarted");
        });
    }
}
