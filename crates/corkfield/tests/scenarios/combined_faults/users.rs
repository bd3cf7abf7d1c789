//! What users ask meets the end of a job.

use crate::cluster::{
    is_job_cancellation, is_transaction, job_spec, scenario, sleep_s, StoreLoad, CONTROLLERS,
};
use corkfield_fakes::Fault;
use corkfield_wire::user::PATH_CANCEL;
use corkfield_wire::{JobSpec, Priority};
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn a_cancellation_a_question_or_a_repeat_meets_the_end_of_the_last_task() {
    for (leader_ends, slow_s) in [(false, 0.0), (true, 0.0), (false, 0.12), (true, 0.3)] {
        scenario(4, |cluster| async move {
            // Between a read of the job and the write that ends it another one may come.
            cluster.store.set_fault_where(Fault::Delay(slow_s), move |request| {
                is_transaction(request) && slow_s > 0.0
            });
            let mut asking = Vec::new();
            for number in 0..24u32 {
                let job = job_spec(number + 1, 1 + number % 3);
                cluster.submit(&job, 2.0).await;
                // From before the end of the last task to after it was stored.
                let wait = 1.9 + 3.0 * slow_s + 0.06 * f64::from(number);
                let asker = cluster.clone();
                asking.push(tokio::task::spawn_local(async move {
                    sleep_s(wait).await;
                    let first = number as usize % CONTROLLERS.len();
                    let (id, verb) = (&job.id, (number % 2 == 0).then_some(PATH_CANCEL));
                    for round in 0..12 {
                        let controller = (first + round) % CONTROLLERS.len();
                        // The answer to a cancellation may take its time; others ask meanwhile.
                        let (requester, to_cancel) = (asker.clone(), id.clone());
                        tokio::task::spawn_local(async move {
                            requester.request_about_job(controller, &to_cancel, verb).await;
                        });
                        tokio::join!(
                            asker.request_about_job((controller + 1) % CONTROLLERS.len(), id, None),
                            asker.submit_to((controller + 2) % CONTROLLERS.len(), &job),
                        );
                        for wait in [0.03, 0.04, 0.04, 0.04] {
                            sleep_s(wait).await;
                            asker
                                .request_about_job((controller + 1) % CONTROLLERS.len(), id, None)
                                .await;
                        }
                    }
                    let status = asker.status(id).await.expect("known");
                    if verb.is_some() {
                        assert!(status.is_final(), "{id} is {status:?}");
                    } else {
                        asker.wait_until_done(id, 60.0).await;
                    }
                }));
                sleep_s(0.3).await;
                if leader_ends && number == 12 {
                    let leader = cluster.leader();
                    cluster.restart_controller(leader, 0.2).await;
                }
            }
            for asked in asking {
                asked.await.expect("all was answered");
            }
        });
    }
}

#[test]
fn a_cancellation_that_is_carried_out_after_the_end_is_answered_with_the_end() {
    scenario(2, |cluster| async move {
        cluster.store.set_fault_where(Fault::Delay(1.2), is_job_cancellation);
        for number in 1..=8u32 {
            let job = job_spec(number, 2);
            cluster.submit(&job, 2.0).await;
            sleep_s(1.5 + 0.1 * f64::from(number)).await;
            let (requester, to_cancel) = (cluster.clone(), job.id.clone());
            let cancelling = tokio::task::spawn_local(async move {
                requester
                    .request_about_job(
                        number as usize % CONTROLLERS.len(),
                        &to_cancel,
                        Some(PATH_CANCEL),
                    )
                    .await
            });
            for round in 0..30 {
                cluster.request_about_job(round % CONTROLLERS.len(), &job.id, None).await;
                sleep_s(0.05).await;
            }
            assert!(cancelling.await.expect("no panic").is_some_and(|status| status.is_final()));
        }
    });
}

/// Guests bring a swarm of tiny jobs, one huge array and spare-time work of minutes, and everybody
/// asks many times as often as usual.
#[test]
fn many_small_jobs_a_huge_array_and_low_priority_work_starve_nobody_under_frequent_polls() {
    scenario(4, |cluster| async move {
        let store_load = StoreLoad::start_counting(&cluster.store);
        let mut huge = job_spec(1, 2000);
        (huge.cpus, huge.memory_gb) = (0.25, 0.2);
        cluster.submit(&huge, 1.0).await;
        let mut spare = job_spec(2, 20);
        spare.priority = Priority::Low;
        cluster.submit(&spare, 60.0).await;
        let swarm: Vec<JobSpec> = (100..250)
            .map(|number| JobSpec { cpus: 0.25, memory_gb: 0.1, ..job_spec(number, 1) })
            .collect();
        let usual: Vec<JobSpec> = (3..9).map(|number| job_spec(number, 10)).collect();
        let urgent = JobSpec { priority: Priority::High, cpus: 4.0, ..job_spec(9, 2) };
        for job in swarm.iter().chain(&usual).chain([&urgent]) {
            cluster.submit(job, 2.0).await;
        }
        let started = tokio::time::Instant::now();
        let (asked, late) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        for round in 0..150usize {
            for job in swarm.iter().chain(&usual).skip(round % 5).step_by(5) {
                let (asker, id) = (cluster.clone(), job.id.clone());
                let (asked, late) = (asked.clone(), late.clone());
                tokio::task::spawn_local(async move {
                    let asked_at = tokio::time::Instant::now();
                    let answer =
                        asker.request_about_job(round % CONTROLLERS.len(), &id, None).await;
                    asked.set(asked.get() + 1);
                    if answer.is_none() || asked_at.elapsed().as_secs_f64() > 2.0 {
                        late.set(late.get() + 1);
                    }
                });
            }
            sleep_s(0.1).await;
        }
        cluster.wait_until_done(&urgent.id, 30.0).await;
        for job in swarm.iter().chain(&usual).chain([&huge, &spare]) {
            cluster.wait_until_done(&job.id, 240.0).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        assert!(seconds < 240.0, "{seconds} s");
        assert!(late.get() * 50 < asked.get(), "{} of {} in vain", late.get(), asked.get());
        // A tiny job is accepted, claimed and ended; what else it costs is less than that.
        let per_job = f64::from(store_load.changes()) / (swarm.len() + usual.len() + 3) as f64;
        assert!(per_job < 7.0, "{per_job} changes a job");
    });
}
