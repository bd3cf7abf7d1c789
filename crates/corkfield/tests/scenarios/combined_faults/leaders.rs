//! Changes of the leader, and what meets them.

use crate::cluster::{scenario, secs, spec, task, LEASE_S, NODES};
use corkfield_fakes::Fault;
use corkfield_wire::store::{PATH_RENEW, PATH_WATCH};
use corkfield_wire::JobStatus;

#[test]
fn ten_changes_of_the_leader_in_two_minutes_lose_and_double_nothing() {
    for outage in [false, true] {
        scenario(3, |cluster| async move {
            let jobs: Vec<_> = (1..=4).map(|n| spec(n, 12)).collect();
            for job in &jobs {
                cluster.submit(job, 40.0).await;
            }
            let doomed = spec(9, 6);
            cluster.submit(&doomed, 300.0).await;
            for round in 0..10 {
                if outage && round == 4 {
                    cluster.store.set_down(true);
                }
                let scheduler = cluster.planner_node();
                cluster.restart(scheduler, 0.1 + f64::from(round % 3)).await;
                secs(if outage { 4.0 } else { 9.0 }).await;
                if round == 2 {
                    cluster.cancel(&doomed.id).await;
                }
                if outage && round == 7 {
                    cluster.store.set_down(false);
                    secs(4.0).await;
                }
            }
            for job in &jobs {
                cluster.until_done(&job.id, 200.0).await;
            }
            assert_eq!(cluster.history.running(&doomed.id), 0);
        });
    }
}

#[test]
fn a_leader_that_ends_leaves_long_tasks_where_they_can_not_be_asked() {
    // Cut off, hearing nothing, or heard by nobody, while leaders change.
    for kind in 0..3 {
        for after in [1.0, LEASE_S - 3.0, LEASE_S + 6.0] {
            scenario(3, |cluster| async move {
                let job = spec(1, 20);
                cluster.submit(&job, 30.0).await;
                secs(5.0).await;
                let worker = cluster.worker_of(&task(&job, 0));
                let name = worker.settings.name.clone();
                // It can't be returned either.
                cluster.cloud.down.set(true);
                match kind {
                    0 => cluster.net.cut(&name, "*"),
                    1 => worker.deaf.set(true),
                    _ => worker.mute.set(true),
                }
                secs(0.7).await;
                let scheduler = cluster.planner_node();
                cluster.restart(scheduler, 0.5).await;
                secs(after).await;
                match kind {
                    0 => cluster.net.heal(&name, "*"),
                    1 => worker.deaf.set(false),
                    _ => worker.mute.set(false),
                }
                cluster.cloud.down.set(false);
                cluster.until_done(&job.id, 150.0).await;
            });
        }
    }
}

#[test]
fn a_leader_alone_with_its_workers_tells_no_user_anything_old() {
    for hung in [false, true] {
        scenario(3, |cluster| async move {
            let (kept, doomed) = (spec(1, 8), spec(2, 8));
            cluster.submit(&kept, 40.0).await;
            cluster.submit(&doomed, 300.0).await;
            secs(5.0).await;
            let old = cluster.planner_node();
            cluster.net.cut(NODES[old], "state");
            cluster.part(old, true);
            secs(LEASE_S).await;
            let new = cluster.planner_node();
            assert_ne!(new, old);
            if hung {
                let worker = cluster.worker_of(&task(&doomed, 0));
                worker.set_hung(true);
                tokio::task::spawn_local(async move {
                    secs(LEASE_S - 3.0).await;
                    worker.set_hung(false);
                });
            }
            cluster.cancel_at(new, &doomed.id).await;
            for _ in 0..20 {
                let told = cluster.ask_about(old, &doomed.id, None).await;
                assert_eq!(told, None, "no answer without the store");
                secs(1.0).await;
            }
            assert_eq!(cluster.history.running(&doomed.id), 0);
            cluster.net.heal(NODES[old], "state");
            cluster.part(old, false);
            cluster.until_done(&kept.id, 120.0).await;
            assert_eq!(cluster.ask_about(old, &doomed.id, None).await, Some(JobStatus::Cancelled));
        });
    }
}

#[test]
fn all_controllers_away_for_longer_than_a_lease_lose_work_but_no_job() {
    for away in [LEASE_S - 7.0, LEASE_S + 3.0, 75.0] {
        // With room beside what still runs.
        scenario(6, |cluster| async move {
            let (job, doomed) = (spec(1, 20), spec(2, 3));
            cluster.submit(&job, 18.0).await;
            cluster.submit(&doomed, 300.0).await;
            secs(5.0).await;
            cluster.cancel(&doomed.id).await;
            // One machine stands still when they are back, the first time within its lease.
            let hung = cluster.worker_of(&task(&job, 0));
            hung.set_hung(true);
            (0..NODES.len()).for_each(|n| cluster.kill(n));
            secs(away).await;
            (0..NODES.len()).for_each(|n| cluster.start(n));
            secs(5.0).await;
            hung.set_hung(false);
            secs(7.0).await;
            assert_eq!(cluster.history.running(&doomed.id), 0);
            cluster.until_done(&job.id, 90.0).await;
            assert_eq!(cluster.status(&doomed.id).await, Some(JobStatus::Cancelled));
        });
    }
}

#[test]
fn a_leader_that_stands_still_while_clocks_run_on_does_no_harm_when_it_goes_on() {
    for still in [3.0, 9.5, 11.0, LEASE_S + 2.0, 70.0] {
        scenario(3, |cluster| async move {
            let (job, stream, doomed) = (spec(1, 10), spec(2, 200), spec(3, 4));
            cluster.submit(&job, 25.0).await;
            cluster.submit(&doomed, 300.0).await;
            cluster.submit(&stream, 0.8).await;
            secs(5.0).await;
            let scheduler = cluster.planner_node();
            let cancelling = {
                let (cluster, id) = (cluster.clone(), doomed.id.clone());
                tokio::task::spawn_local(async move {
                    secs(1.0).await;
                    cluster.cancel_at(cluster.others(scheduler)[0], &id).await;
                })
            };
            cluster.freeze(scheduler, still).await;
            cancelling.await.expect("it is cancelled");
            // It wakes to orders, transactions and reports that are long over.
            secs(LEASE_S + 6.0).await;
            assert_eq!(cluster.history.running(&doomed.id), 0);
            for job in [&job, &stream] {
                cluster.until_done(&job.id, 150.0).await;
            }
        });
    }
}

#[test]
fn a_leader_that_wakes_returns_no_machine_that_another_one_uses() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(4);
        cluster.cloud.boot_s.set(20.0);
        let mut job = spec(1, 30);
        job.estimate_s = 60.0;
        cluster.submit(&job, 60.0).await;
        secs(3.0).await;
        // To it the rented machines are about to come up; to the next leader they do.
        let scheduler = cluster.planner_node();
        cluster.freeze(scheduler, 40.0).await;
        assert_ne!(cluster.planner_node(), scheduler);
        // And the store is out of its reach for a while yet.
        cluster.net.cut(NODES[scheduler], "state");
        secs(4.0).await;
        cluster.net.heal(NODES[scheduler], "state");
        secs(5.0).await;
        assert_eq!(cluster.cloud.workers().len(), 4, "none was returned");
        cluster.until_done(&job.id, 120.0).await;
        cluster.assert_started_once(&job, "nothing was started again");
    });
}

#[test]
fn a_leader_that_was_cut_off_from_all_returns_no_machine_when_the_cut_ends() {
    for cut_s in [20.0, 45.0] {
        scenario(4, |cluster| async move {
            let mut job = spec(1, 30);
            job.estimate_s = 60.0;
            cluster.submit(&job, 90.0).await;
            secs(5.0).await;
            let scheduler = cluster.planner_node();
            // The machines silent, it asks for others meanwhile.
            cluster.cloud.lose_answers.set(true);
            cluster.net.cut(NODES[scheduler], "*");
            secs(cut_s).await;
            assert_ne!(cluster.planner_node(), scheduler);
            // It learns at once that its jobs are another's, so that nothing seems to need the
            // machines, and only seconds later that another plans and its lease is lost.
            cluster.store.set_faults(|request| {
                let path = request.path();
                if path == PATH_WATCH || path.ends_with(PATH_RENEW) {
                    Fault::Drop
                } else {
                    Fault::None
                }
            });
            cluster.net.heal(NODES[scheduler], "*");
            secs(3.0).await;
            cluster.store.clear_faults();
            cluster.cloud.lose_answers.set(false);
            secs(5.0).await;
            assert_eq!(cluster.cloud.workers().len(), 4, "none was returned");
            cluster.until_done(&job.id, 120.0).await;
            cluster.assert_started_once(&job, "nothing was started again");
        });
    }
}

#[test]
fn a_zone_with_a_controller_that_is_cut_off_goes_on_or_expires_and_doubles_nothing() {
    for planner_inside in [true, false] {
        for long in [LEASE_S - 4.0, LEASE_S + 8.0] {
            scenario(4, |cluster| async move {
                let (job, doomed) = (spec(1, 20), spec(2, 6));
                cluster.submit(&job, 30.0).await;
                cluster.submit(&doomed, 300.0).await;
                secs(5.0).await;
                let scheduler = cluster.planner_node();
                let inside = if planner_inside { scheduler } else { cluster.others(scheduler)[0] };
                let workers = cluster.cloud.workers();
                let (near, far): (Vec<_>, Vec<_>) =
                    workers.iter().partition(|worker| worker.settings.zone == "z1");
                let cuts = || {
                    let outside = ["state", "cloud", "user"].into_iter().map(str::to_owned);
                    let outside = outside.chain(far.iter().map(|w| w.settings.name.clone()));
                    let others = cluster.others(inside).into_iter().map(|n| NODES[n].to_owned());
                    let outside: Vec<String> = outside.chain(others).collect();
                    let within = near.iter().map(|w| w.settings.name.clone());
                    let within: Vec<String> = within.chain([NODES[inside].to_owned()]).collect();
                    within
                        .into_iter()
                        .flat_map(move |a| outside.clone().into_iter().map(move |b| (a.clone(), b)))
                };
                cuts().for_each(|(a, b)| cluster.net.cut(&a, &b));
                secs(2.0).await;
                cluster.cancel_at(cluster.others(inside)[0], &doomed.id).await;
                secs(long).await;
                cuts().for_each(|(a, b)| cluster.net.heal(&a, &b));
                secs(LEASE_S).await;
                assert_eq!(cluster.history.running(&doomed.id), 0);
                cluster.until_done(&job.id, 150.0).await;
            });
        }
    }
}

#[test]
fn leaders_hand_over_and_back_and_one_returns_within_an_instant() {
    for back in [0.05, 0.6, 4.0] {
        scenario(2, |cluster| async move {
            let job = spec(1, 14);
            cluster.submit(&job, 70.0).await;
            secs(5.0).await;
            let machines: Vec<String> =
                cluster.cloud.workers().iter().map(|w| w.settings.name.clone()).collect();
            // Twice the workers lose their leader.
            for _ in 0..2 {
                let scheduler = cluster.planner_node();
                machines.iter().for_each(|machine| cluster.net.cut(NODES[scheduler], machine));
                secs(LEASE_S).await;
                assert_ne!(cluster.planner_node(), scheduler);
                machines.iter().for_each(|machine| cluster.net.heal(NODES[scheduler], machine));
                secs(2.0).await;
            }
            let last = cluster.planner_node();
            (0..NODES.len()).for_each(|n| cluster.kill(n));
            secs(back).await;
            cluster.start(last);
            secs(6.0).await;
            cluster.others(last).into_iter().for_each(|n| cluster.start(n));
            cluster.until_done(&job.id, 150.0).await;
            cluster.assert_started_once(&job, "no lease ran out");
        });
    }
}

#[test]
fn tasks_that_end_far_apart_across_changes_of_the_leader_are_each_counted_once() {
    for seed in 0..4u32 {
        scenario(1, |cluster| async move {
            // Two or three tasks that run one after the other.
            let jobs: Vec<_> = (1..=3)
                .map(|n| {
                    let mut job = spec(n, 1 + n.min(2));
                    job.cpus = 5.0;
                    job
                })
                .collect();
            for job in &jobs {
                cluster.submit(job, 7.0).await;
            }
            for round in 0..6u32 {
                secs(4.0 + f64::from((seed * 7 + round * 5) % 6)).await;
                let scheduler = cluster.planner_node();
                cluster.restart(scheduler, 0.1 * f64::from(round)).await;
            }
            for job in &jobs {
                cluster.until_done(&job.id, 120.0).await;
                cluster.assert_started_once(job, "nothing was started again");
            }
        });
    }
}
