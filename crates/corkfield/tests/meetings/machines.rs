//! Machines that can't be asked, limits and zones.

use crate::world::{secs, spec, story, task, LEASE_S, NODES};
use corkfield_wire::{JobStatus, Priority};

#[test]
fn workers_that_reach_no_controller_lapse_and_obey_direct_orders_meanwhile() {
    for (all, take_over) in [(false, false), (false, true), (true, false), (true, true)] {
        story(3, |world| async move {
            let (job, doomed) = (spec(1, 14), spec(2, 6));
            world.submit(&job, 25.0).await;
            world.submit(&doomed, 300.0).await;
            secs(5.0).await;
            let mute: Vec<_> = match all {
                true => world.cloud.workers(),
                false => vec![world.worker_of(&task(&doomed, 0))],
            };
            mute.iter().for_each(|worker| worker.mute.set(true));
            secs(1.0).await;
            world.cancel(&doomed.id).await;
            if take_over {
                let planner = world.planner_node();
                world.restart(planner, 0.3).await;
            } else {
                secs(2.5).await;
                assert_eq!(world.ledger.running(&doomed.id), 0, "direct orders reach them");
            }
            secs(LEASE_S + 8.0).await;
            mute.iter().for_each(|worker| worker.mute.set(false));
            world.until_done(&job.id, 120.0).await;
        });
    }
}

#[test]
fn a_limit_is_kept_while_planners_change_machines_are_silent_and_a_job_is_cancelled() {
    for (hung_s, when) in [(4.0, 0.5), (9.0, 2.0), (LEASE_S + 3.0, 0.0), (LEASE_S - 1.0, 5.0)] {
        story(4, |world| async move {
            let capped = |number: u32, tasks: u32, cpus: f64| {
                let mut job = spec(number, tasks);
                (job.team, job.cpus) = ("capped".to_owned(), cpus);
                job
            };
            let (first, second, third) = (capped(1, 2, 1.0), capped(2, 2, 2.0), capped(3, 9, 2.0));
            world.submit(&first, 30.0).await;
            world.submit(&second, 300.0).await;
            secs(4.0).await;
            world.submit(&third, 4.0).await;
            secs(1.0).await;
            let worker = world.worker_of(&task(&second, 0));
            worker.set_hung(true);
            world.cloud.down.set(true);
            let planner = world.planner_node();
            world.restart(planner, 0.3).await;
            secs(when).await;
            // What is cancelled counts until it is surely gone.
            world.cancel(&second.id).await;
            secs(hung_s).await;
            worker.set_hung(false);
            world.cloud.down.set(false);
            for job in [&first, &third] {
                world.until_done(&job.id, 150.0).await;
            }
        });
    }
}

#[test]
fn work_bound_to_a_zone_waits_for_no_machines_elsewhere() {
    for (tasks, busy) in [(3, false), (3, true), (24, true)] {
        story(4, |world| async move {
            let mut bound = spec(1, tasks);
            bound.zone = Some("z1".to_owned());
            world.submit(&bound, 12.0).await;
            // The other zone's machines are idle, or busy and kept by their work.
            let mut elsewhere = spec(2, if busy { 80 } else { 1 });
            elsewhere.zone = Some("z2".to_owned());
            world.submit(&elsewhere, 6.0).await;
            secs(5.0).await;
            for worker in world.cloud.workers() {
                if worker.settings.zone == "z1" {
                    world.cloud.take(&worker.settings.name);
                }
            }
            world.until_done(&bound.id, 75.0).await;
            world.until_done(&elsewhere.id, 120.0).await;
        });
    }
}

#[test]
fn work_that_nobody_began_waits_for_no_silent_machine_after_a_take_over() {
    story(4, |world| async move {
        let (long, next) = (spec(1, 32), spec(2, 10));
        world.submit(&long, 300.0).await;
        secs(5.0).await;
        // There is no room for it yet.
        world.submit(&next, 3.0).await;
        secs(2.0).await;
        world.cloud.down.set(true);
        let worker = world.worker_of(&task(&long, 0));
        worker.deaf.set(true);
        let planner = world.planner_node();
        world.restart(planner, 0.2).await;
        world.cancel(&long.id).await;
        let waited = world.until_done(&next.id, 60.0).await;
        assert!(waited < 14.0, "{waited} s: no longer than if all machines had answered");
        worker.deaf.set(false);
        world.cloud.down.set(false);
        secs(LEASE_S + 3.0).await;
    });
}

#[test]
fn jobs_that_must_stay_together_or_apart_do_so_through_take_overs_and_losses() {
    for seed in 0..3u32 {
        story(4, |world| async move {
            let (mut together, mut apart) = (spec(1, 150), spec(2, 9));
            (together.one_zone, together.cpus) = (true, 0.2);
            apart.spread = true;
            world.submit(&together, 6.0).await;
            world.submit(&apart, 20.0).await;
            secs(4.0 + f64::from(seed)).await;
            // Two of its machines are silent in the take-over.
            let silent = [world.worker_of(&task(&together, 0)), world.worker_of(&task(&apart, 0))];
            silent.iter().for_each(|worker| worker.set_hung(true));
            let planner = world.planner_node();
            world.restart(planner, 0.3).await;
            secs(7.0).await;
            silent.iter().for_each(|worker| worker.set_hung(false));
            secs(4.0).await;
            let zone = silent[0].settings.zone.clone();
            for worker in world.cloud.workers() {
                if worker.settings.zone == zone {
                    world.cloud.take(&worker.settings.name);
                }
            }
            for job in [&together, &apart] {
                world.until_done(&job.id, 200.0).await;
            }
        });
    }
}

#[test]
fn more_work_than_room_over_slow_links_is_done_in_the_end_and_urgent_work_first() {
    story(2, |world| async move {
        world.net.set_latency(std::time::Duration::from_millis(120));
        let mut urgent = Vec::new();
        for number in 1..=12 {
            let mut job = spec(number, 8);
            job.priority = [Priority::High, Priority::Normal, Priority::Low][number as usize % 3];
            job.cpus = f64::from(1 + number % 2);
            if job.priority == Priority::High {
                urgent.push(job.clone());
            }
            world.submit(&job, 5.0).await;
        }
        let planner = world.planner_node();
        world.restart(planner, 0.5).await;
        let begun = tokio::time::Instant::now();
        for job in &urgent {
            world.until_done(&job.id, 120.0).await;
        }
        // A quarter of the work, and less.
        let seconds = begun.elapsed().as_secs_f64();
        assert!(seconds < 24.0, "{seconds} s");
        for number in 1..=12 {
            world.until_done(&spec(number, 8).id, 400.0).await;
        }
    });
}

#[test]
fn commands_and_answers_that_are_held_up_for_seconds_are_carried_out_or_void() {
    for held_s in [0.7, 2.0, 3.8, 4.5, 8.0] {
        story(2, |world| async move {
            let stream = spec(1, 120);
            world.submit(&stream, 1.3).await;
            let workers = world.cloud.workers();
            for number in 2..8 {
                let doomed = spec(number, 3);
                world.submit(&doomed, 200.0).await;
                secs(2.5).await;
                let planner = world.planner_node();
                let name = &workers[number as usize % 2].settings.name;
                world.net.cut(NODES[planner], name);
                secs(0.2).await;
                assert_eq!(world.cancel(&doomed.id).await, Some(JobStatus::Cancelled));
                secs(held_s).await;
                world.net.heal(NODES[planner], name);
            }
            world.until_done(&stream.id, 200.0).await;
            secs(LEASE_S).await;
            assert!((2..8).all(|number| world.ledger.running(&spec(number, 3).id) == 0));
        });
    }
}
