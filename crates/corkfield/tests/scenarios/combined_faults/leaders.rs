//! Changes of the leader, and what meets them.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CONTROLLERS, LEASE_S};
use corkfield_fakes::Fault;
use corkfield_wire::store::{PATH_RENEW, PATH_WATCH};
use corkfield_wire::JobStatus;

#[test]
fn ten_changes_of_the_leader_in_two_minutes_lose_and_double_nothing() {
    for outage in [false, true] {
        scenario(3, |cluster| async move {
            let jobs: Vec<_> = (1..=4).map(|number| job_spec(number, 12)).collect();
            for job in &jobs {
                cluster.submit(job, 40.0).await;
            }
            let to_cancel = job_spec(9, 6);
            cluster.submit(&to_cancel, 300.0).await;
            for round in 0..10 {
                if outage && round == 4 {
                    cluster.store.set_down(true);
                }
                let leader = cluster.leader();
                cluster.restart_controller(leader, 0.1 + f64::from(round % 3)).await;
                sleep_s(if outage { 4.0 } else { 9.0 }).await;
                if round == 2 {
                    cluster.cancel(&to_cancel.id).await;
                }
                if outage && round == 7 {
                    cluster.store.set_down(false);
                    sleep_s(4.0).await;
                }
            }
            for job in &jobs {
                cluster.wait_until_done(&job.id, 200.0).await;
            }
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
        });
    }
}

#[test]
fn a_leader_that_ends_leaves_long_tasks_where_they_can_not_be_asked() {
    // Cut off, hearing nothing, or heard by nobody, while leaders change.
    for kind in 0..3 {
        for after in [1.0, LEASE_S - 3.0, LEASE_S + 6.0] {
            scenario(3, |cluster| async move {
                let job = job_spec(1, 20);
                cluster.submit(&job, 30.0).await;
                sleep_s(5.0).await;
                let worker = cluster.worker_of(&task_id(&job, 0));
                let name = worker.settings.name.to_string();
                // It can't be returned either.
                cluster.cloud.is_down.set(true);
                match kind {
                    0 => cluster.net.partition(&name, "*"),
                    1 => worker.is_inbound_blocked.set(true),
                    _ => worker.is_outbound_blocked.set(true),
                }
                sleep_s(0.7).await;
                let leader = cluster.leader();
                cluster.restart_controller(leader, 0.5).await;
                sleep_s(after).await;
                match kind {
                    0 => cluster.net.heal(&name, "*"),
                    1 => worker.is_inbound_blocked.set(false),
                    _ => worker.is_outbound_blocked.set(false),
                }
                cluster.cloud.is_down.set(false);
                cluster.wait_until_done(&job.id, 150.0).await;
            });
        }
    }
}

#[test]
fn a_leader_cut_off_from_all_but_workers_gives_users_no_stale_answer() {
    for hung in [false, true] {
        scenario(3, |cluster| async move {
            let (kept, to_cancel) = (job_spec(1, 8), job_spec(2, 8));
            cluster.submit(&kept, 40.0).await;
            cluster.submit(&to_cancel, 300.0).await;
            sleep_s(5.0).await;
            let old = cluster.leader();
            cluster.net.partition(CONTROLLERS[old], "state");
            cluster.partition_from_peers(old);
            sleep_s(LEASE_S).await;
            let new = cluster.leader();
            assert_ne!(new, old);
            if hung {
                let worker = cluster.worker_of(&task_id(&to_cancel, 0));
                worker.set_hung(true);
                tokio::task::spawn_local(async move {
                    sleep_s(LEASE_S - 3.0).await;
                    worker.set_hung(false);
                });
            }
            cluster.cancel_at(new, &to_cancel.id).await;
            for _ in 0..20 {
                let answer = cluster.request_about_job(old, &to_cancel.id, None).await;
                assert_eq!(answer, None, "no answer without the store");
                sleep_s(1.0).await;
            }
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
            cluster.net.heal(CONTROLLERS[old], "state");
            cluster.heal_to_peers(old);
            cluster.wait_until_done(&kept.id, 120.0).await;
            assert_eq!(
                cluster.request_about_job(old, &to_cancel.id, None).await,
                Some(JobStatus::Cancelled)
            );
        });
    }
}

#[test]
fn all_controllers_away_for_longer_than_a_lease_lose_work_but_no_job() {
    for away in [LEASE_S - 7.0, LEASE_S + 3.0, 75.0] {
        // With room beside what still runs.
        scenario(6, |cluster| async move {
            let (job, to_cancel) = (job_spec(1, 20), job_spec(2, 3));
            cluster.submit(&job, 18.0).await;
            cluster.submit(&to_cancel, 300.0).await;
            sleep_s(5.0).await;
            cluster.cancel(&to_cancel.id).await;
            // One machine stands still when they are back, the first time within its lease.
            let hung = cluster.worker_of(&task_id(&job, 0));
            hung.set_hung(true);
            (0..CONTROLLERS.len()).for_each(|controller| cluster.kill_controller(controller));
            sleep_s(away).await;
            (0..CONTROLLERS.len()).for_each(|controller| cluster.start_controller(controller));
            sleep_s(5.0).await;
            hung.set_hung(false);
            sleep_s(7.0).await;
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
            cluster.wait_until_done(&job.id, 90.0).await;
            assert_eq!(cluster.status(&to_cancel.id).await, Some(JobStatus::Cancelled));
        });
    }
}

#[test]
fn a_leader_paused_while_clocks_run_on_does_no_harm_when_it_resumes() {
    for still in [3.0, 9.5, 11.0, LEASE_S + 2.0, 70.0] {
        scenario(3, |cluster| async move {
            let (job, stream, to_cancel) = (job_spec(1, 10), job_spec(2, 200), job_spec(3, 4));
            cluster.submit(&job, 25.0).await;
            cluster.submit(&to_cancel, 300.0).await;
            cluster.submit(&stream, 0.8).await;
            sleep_s(5.0).await;
            let leader = cluster.leader();
            let cancelling = {
                let (cluster, id) = (cluster.clone(), to_cancel.id.clone());
                tokio::task::spawn_local(async move {
                    sleep_s(1.0).await;
                    cluster.cancel_at(cluster.other_controllers(leader)[0], &id).await;
                })
            };
            cluster.pause_controller(leader, still).await;
            cancelling.await.expect("it is cancelled");
            // It wakes to orders, transactions and heartbeats that are long over.
            sleep_s(LEASE_S + 6.0).await;
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
            for job in [&job, &stream] {
                cluster.wait_until_done(&job.id, 150.0).await;
            }
        });
    }
}

#[test]
fn a_leader_that_resumes_deletes_no_machine_that_its_successor_uses() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(4);
        cluster.cloud.boot_s.set(20.0);
        let mut job = job_spec(1, 30);
        job.estimate_s = 60.0;
        cluster.submit(&job, 60.0).await;
        sleep_s(3.0).await;
        // To it the rented machines are about to come up; to the next leader they do.
        let leader = cluster.leader();
        cluster.pause_controller(leader, 40.0).await;
        assert_ne!(cluster.leader(), leader);
        // And the store is out of its reach for a while yet.
        cluster.net.partition(CONTROLLERS[leader], "state");
        sleep_s(4.0).await;
        cluster.net.heal(CONTROLLERS[leader], "state");
        sleep_s(5.0).await;
        assert_eq!(cluster.cloud.workers().len(), 4, "none was returned");
        cluster.wait_until_done(&job.id, 120.0).await;
        cluster.assert_started_once(&job, "nothing was started again");
    });
}

#[test]
fn a_leader_that_was_cut_off_from_all_deletes_no_machine_when_the_partition_ends() {
    for cut_s in [20.0, 45.0] {
        scenario(4, |cluster| async move {
            let mut job = job_spec(1, 30);
            job.estimate_s = 60.0;
            cluster.submit(&job, 90.0).await;
            sleep_s(5.0).await;
            let leader = cluster.leader();
            // The machines silent, it asks for others meanwhile.
            cluster.cloud.is_losing_answers.set(true);
            cluster.net.partition(CONTROLLERS[leader], "*");
            sleep_s(cut_s).await;
            assert_ne!(cluster.leader(), leader);
            // It learns at once that its jobs are another's, so that nothing seems to need the
            // machines, and only seconds later that another one leads and its lease is lost.
            cluster.store.set_fault_where(Fault::Drop, |request| {
                request.path() == PATH_WATCH || request.path().ends_with(PATH_RENEW)
            });
            cluster.net.heal(CONTROLLERS[leader], "*");
            sleep_s(3.0).await;
            cluster.store.clear_faults();
            cluster.cloud.is_losing_answers.set(false);
            sleep_s(5.0).await;
            assert_eq!(cluster.cloud.workers().len(), 4, "none was returned");
            cluster.wait_until_done(&job.id, 120.0).await;
            cluster.assert_started_once(&job, "nothing was started again");
        });
    }
}

#[test]
fn a_zone_with_a_controller_that_is_cut_off_goes_on_or_expires_and_doubles_nothing() {
    for leader_inside in [true, false] {
        for long in [LEASE_S - 4.0, LEASE_S + 8.0] {
            scenario(4, |cluster| async move {
                let (job, to_cancel) = (job_spec(1, 20), job_spec(2, 6));
                cluster.submit(&job, 30.0).await;
                cluster.submit(&to_cancel, 300.0).await;
                sleep_s(5.0).await;
                let leader = cluster.leader();
                let inside =
                    if leader_inside { leader } else { cluster.other_controllers(leader)[0] };
                let workers = cluster.cloud.workers();
                let (near, far): (Vec<_>, Vec<_>) =
                    workers.iter().partition(|worker| worker.settings.zone == "z1");
                let cuts = || {
                    let outside = ["state", "cloud", "user"].into_iter().map(str::to_owned);
                    let outside =
                        outside.chain(far.iter().map(|worker| worker.settings.name.to_string()));
                    let others = cluster
                        .other_controllers(inside)
                        .into_iter()
                        .map(|other| CONTROLLERS[other].to_owned());
                    let outside: Vec<String> = outside.chain(others).collect();
                    let within = near.iter().map(|worker| worker.settings.name.to_string());
                    let within: Vec<String> =
                        within.chain([CONTROLLERS[inside].to_owned()]).collect();
                    within
                        .into_iter()
                        .flat_map(move |a| outside.clone().into_iter().map(move |b| (a.clone(), b)))
                };
                cuts().for_each(|(a, b)| cluster.net.partition(&a, &b));
                sleep_s(2.0).await;
                cluster.cancel_at(cluster.other_controllers(inside)[0], &to_cancel.id).await;
                sleep_s(long).await;
                cuts().for_each(|(a, b)| cluster.net.heal(&a, &b));
                sleep_s(LEASE_S).await;
                assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
                cluster.wait_until_done(&job.id, 150.0).await;
            });
        }
    }
}

#[test]
fn leaders_hand_over_and_back_and_one_returns_within_an_instant() {
    for back in [0.05, 0.6, 4.0] {
        scenario(2, |cluster| async move {
            let job = job_spec(1, 14);
            cluster.submit(&job, 70.0).await;
            sleep_s(5.0).await;
            let machines: Vec<String> = cluster
                .cloud
                .workers()
                .iter()
                .map(|worker| worker.settings.name.to_string())
                .collect();
            // Twice the workers lose their leader.
            for _ in 0..2 {
                let leader = cluster.leader();
                machines
                    .iter()
                    .for_each(|machine| cluster.net.partition(CONTROLLERS[leader], machine));
                sleep_s(LEASE_S).await;
                assert_ne!(cluster.leader(), leader);
                machines.iter().for_each(|machine| cluster.net.heal(CONTROLLERS[leader], machine));
                sleep_s(2.0).await;
            }
            let last = cluster.leader();
            (0..CONTROLLERS.len()).for_each(|controller| cluster.kill_controller(controller));
            sleep_s(back).await;
            cluster.start_controller(last);
            sleep_s(6.0).await;
            cluster
                .other_controllers(last)
                .into_iter()
                .for_each(|controller| cluster.start_controller(controller));
            cluster.wait_until_done(&job.id, 150.0).await;
            cluster.assert_started_once(&job, "no lease expired");
        });
    }
}

#[test]
fn tasks_that_end_far_apart_across_changes_of_the_leader_are_each_counted_once() {
    for seed in 0..4u32 {
        scenario(1, |cluster| async move {
            // Two or three tasks that run one after the other.
            let jobs: Vec<_> = (1..=3)
                .map(|number| {
                    let mut job = job_spec(number, 1 + number.min(2));
                    job.cpus = 5.0;
                    job
                })
                .collect();
            for job in &jobs {
                cluster.submit(job, 7.0).await;
            }
            for round in 0..6u32 {
                sleep_s(4.0 + f64::from((seed * 7 + round * 5) % 6)).await;
                let leader = cluster.leader();
                cluster.restart_controller(leader, 0.1 * f64::from(round)).await;
            }
            for job in &jobs {
                cluster.wait_until_done(&job.id, 120.0).await;
                cluster.assert_started_once(job, "nothing was started again");
            }
        });
    }
}
