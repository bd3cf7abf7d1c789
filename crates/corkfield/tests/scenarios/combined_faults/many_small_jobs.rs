//! One-task jobs in quick succession, and machines that are up at once.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, StoreLoad};
use corkfield_fakes::{Fault, JobPlan};
use corkfield_wire::records::{machine_key, JOBS_PREFIX};
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::{JobSpec, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;

/// Jobs a second, and for how long they come.
const RATE: f64 = 4.0;
const JOBS_IN_ALL: u32 = 480;

async fn submit_and_follow(cluster: Rc<Cluster>, job: JobSpec, number: u32) {
    cluster.submit_plan(JobPlan { spec: job.clone(), run_s: 3.0, is_failing: false }).await;
    if number % 4 == 0 {
        sleep_s(f64::from(number % 7) * 0.7).await;
        cluster.cancel(&job.id).await;
    } else {
        cluster.wait_until_done(&job.id, 60.0).await;
    }
}

#[test]
fn one_task_jobs_at_four_a_second_cost_few_changes_and_starve_no_array() {
    scenario(4, |cluster| async move {
        let store_load = StoreLoad::start_counting(&cluster.store);
        let array = JobSpec { cpus: 4.0, ..job_spec(1, 30) };
        cluster.submit(&array, 8.0).await;
        let mut followed = Vec::new();
        for number in 0..JOBS_IN_ALL {
            let job = JobSpec { cpus: 0.5, memory_gb: 0.2, ..job_spec(1000 + number, 1) };
            followed.push(tokio::task::spawn_local(submit_and_follow(
                cluster.clone(),
                job,
                number,
            )));
            if number == JOBS_IN_ALL / 2 {
                cluster.restart_controller(cluster.leader(), 0.3).await;
            }
            sleep_s(1.0 / RATE).await;
        }
        for job in followed {
            job.await.expect("done or cancelled in time");
        }
        cluster.wait_until_done(&array.id, 60.0).await;
        // Accepted, claimed, running, and over (two changes): five, and the array's own.
        let per_job = f64::from(store_load.changes()) / f64::from(JOBS_IN_ALL);
        assert!(per_job < 5.9, "{per_job} changes a job");
        sleep_s(2.0).await;
        assert_eq!(
            cluster.store.keys(JOBS_PREFIX),
            Vec::<String>::new(),
            "no record is left behind"
        );
        for number in 0..JOBS_IN_ALL {
            let status = cluster.status(&job_spec(1000 + number, 1).id).await;
            assert!(status.is_some_and(JobStatus::is_final), "{status:?}");
        }
    });
}

/// No task may be on a machine that the next leader doesn't know.
fn assert_recorded(cluster: &Cluster) {
    for worker in cluster.cloud.workers() {
        let name = &worker.settings.name;
        let recorded = cluster.store.value(&machine_key(name.as_str())).is_some();
        assert!(
            recorded || cluster.history.start_count_on(name.as_str()) == 0,
            "{name} has no record"
        );
    }
}

#[test]
fn machines_that_are_up_at_once_are_recorded_before_their_first_start() {
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
            // The leader notices, rents anew, and ends as soon as the new ones get work.
            let mut restarted = false;
            for round in 0..400 {
                sleep_s(0.05).await;
                assert_recorded(&cluster);
                let rented = cluster.cloud.executed_rentals.get() > 0;
                if rented && !restarted && f64::from(round) * 0.05 > 8.0 + restart_s {
                    restarted = true;
                    if let Some(leader) = cluster.elected_leader() {
                        cluster.restart_controller(leader.controller, 0.2).await;
                    }
                }
            }
            cluster.store.clear_faults();
            cluster.wait_until_done(&job.id, 120.0).await;
            assert_recorded(&cluster);
            assert!(restarted, "the leader ended in between");
        });
    }
}
