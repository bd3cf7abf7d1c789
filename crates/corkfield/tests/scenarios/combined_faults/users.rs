//! User requests that arrive while a job ends, and many jobs under frequent polls.

use crate::cluster::{
    is_job_cancellation, is_transaction, job_spec, scenario, sleep_s, StoreLoad, CONTROLLERS,
};
use corkfield_fakes::Fault;
use corkfield_wire::user::PATH_CANCEL;
use corkfield_wire::{JobSpec, Priority};
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn cancellations_queries_and_resubmissions_are_answered_while_the_last_task_ends() {
    for (has_failover, write_delay_s) in [(false, 0.0), (true, 0.0), (false, 0.12), (true, 0.3)] {
        scenario(4, |cluster| async move {
            // The delay lets another write happen between the read of the job and the write that
            // ends it.
            cluster.store.set_fault_where(Fault::Delay(write_delay_s), move |request| {
                is_transaction(request) && write_delay_s > 0.0
            });
            let mut requests = Vec::new();
            for number in 0..24u32 {
                let job = job_spec(number + 1, 1 + number % 3);
                cluster.submit(&job, 2.0).await;
                // The requests start before the last task ends and continue after its end is
                // stored.
                let start_after_s = 1.9 + 3.0 * write_delay_s + 0.06 * f64::from(number);
                let requester = cluster.clone();
                requests.push(tokio::task::spawn_local(async move {
                    sleep_s(start_after_s).await;
                    let first = number as usize % CONTROLLERS.len();
                    let (id, verb) = (&job.id, (number % 2 == 0).then_some(PATH_CANCEL));
                    for round in 0..12 {
                        let controller = (first + round) % CONTROLLERS.len();
                        // A cancellation may be answered late; the other requests do not wait for
                        // it.
                        let (background_requester, background_id) = (requester.clone(), id.clone());
                        tokio::task::spawn_local(async move {
                            background_requester
                                .request_about_job(controller, &background_id, verb)
                                .await;
                        });
                        tokio::join!(
                            requester.request_about_job(
                                (controller + 1) % CONTROLLERS.len(),
                                id,
                                None
                            ),
                            requester.submit_to((controller + 2) % CONTROLLERS.len(), &job),
                        );
                        for wait in [0.03, 0.04, 0.04, 0.04] {
                            sleep_s(wait).await;
                            requester
                                .request_about_job((controller + 1) % CONTROLLERS.len(), id, None)
                                .await;
                        }
                    }
                    let status = requester.status(id).await.expect("the job is known");
                    if verb.is_some() {
                        assert!(status.is_final(), "{id} is {status:?}");
                    } else {
                        requester.wait_until_done(id, 60.0).await;
                    }
                }));
                sleep_s(0.3).await;
                if has_failover && number == 12 {
                    let leader = cluster.leader();
                    cluster.restart_controller(leader, 0.2).await;
                }
            }
            for request in requests {
                request.await.expect("all requests are answered");
            }
        });
    }
}

#[test]
fn a_cancellation_executed_after_the_job_ended_is_answered_with_the_final_status() {
    scenario(2, |cluster| async move {
        cluster.store.set_fault_where(Fault::Delay(1.2), is_job_cancellation);
        for number in 1..=8u32 {
            let job = job_spec(number, 2);
            cluster.submit(&job, 2.0).await;
            sleep_s(1.5 + 0.1 * f64::from(number)).await;
            let (requester, id) = (cluster.clone(), job.id.clone());
            let cancelling = tokio::task::spawn_local(async move {
                requester
                    .request_about_job(number as usize % CONTROLLERS.len(), &id, Some(PATH_CANCEL))
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

/// Guards against starvation when users submit many one-task jobs, one large array and long
/// low-priority work, and poll much more often than usual.
#[test]
fn small_jobs_a_large_array_and_low_priority_work_starve_no_job_under_frequent_polls() {
    scenario(4, |cluster| async move {
        let store_load = StoreLoad::start_counting(&cluster.store);
        let mut large_array = job_spec(1, 2000);
        (large_array.cpus, large_array.memory_gb) = (0.25, 0.2);
        cluster.submit(&large_array, 1.0).await;
        let mut low_priority = job_spec(2, 20);
        low_priority.priority = Priority::Low;
        cluster.submit(&low_priority, 60.0).await;
        let one_task_jobs: Vec<JobSpec> = (100..250)
            .map(|number| JobSpec { cpus: 0.25, memory_gb: 0.1, ..job_spec(number, 1) })
            .collect();
        let arrays: Vec<JobSpec> = (3..9).map(|number| job_spec(number, 10)).collect();
        let urgent = JobSpec { priority: Priority::High, cpus: 4.0, ..job_spec(9, 2) };
        for job in one_task_jobs.iter().chain(&arrays).chain([&urgent]) {
            cluster.submit(job, 2.0).await;
        }
        let started = tokio::time::Instant::now();
        let (polls, late_polls) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        for round in 0..150usize {
            for job in one_task_jobs.iter().chain(&arrays).skip(round % 5).step_by(5) {
                let (requester, id) = (cluster.clone(), job.id.clone());
                let (polls, late_polls) = (polls.clone(), late_polls.clone());
                tokio::task::spawn_local(async move {
                    let sent_at = tokio::time::Instant::now();
                    let answer =
                        requester.request_about_job(round % CONTROLLERS.len(), &id, None).await;
                    polls.set(polls.get() + 1);
                    if answer.is_none() || sent_at.elapsed().as_secs_f64() > 2.0 {
                        late_polls.set(late_polls.get() + 1);
                    }
                });
            }
            sleep_s(0.1).await;
        }
        cluster.wait_until_done(&urgent.id, 30.0).await;
        for job in one_task_jobs.iter().chain(&arrays).chain([&large_array, &low_priority]) {
            cluster.wait_until_done(&job.id, 240.0).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        assert!(seconds < 240.0, "{seconds} s");
        assert!(
            late_polls.get() * 50 < polls.get(),
            "{} of {} polls late or unanswered",
            late_polls.get(),
            polls.get()
        );
        // Most changes of a one-task job are those of its acceptance, claim and end.
        let per_job =
            f64::from(store_load.changes()) / (one_task_jobs.len() + arrays.len() + 3) as f64;
        assert!(per_job < 7.0, "{per_job} changes per job");
    });
}
