//! Unresponsive machines combined with failovers, quotas and placement constraints.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CONTROLLERS, LEASE_S};
use corkfield_wire::{JobStatus, Priority};

#[test]
fn workers_that_reach_no_controller_execute_direct_orders_until_their_leases_expire() {
    for (affects_all, has_failover) in [(false, false), (false, true), (true, false), (true, true)]
    {
        scenario(3, |cluster| async move {
            let (job, to_cancel) = (job_spec(1, 14), job_spec(2, 6));
            cluster.submit(&job, 25.0).await;
            cluster.submit(&to_cancel, 300.0).await;
            sleep_s(5.0).await;
            let affected: Vec<_> = if affects_all {
                cluster.cloud.workers()
            } else {
                vec![cluster.worker_of(&task_id(&to_cancel, 0))]
            };
            affected.iter().for_each(|worker| worker.is_outbound_blocked.set(true));
            sleep_s(1.0).await;
            cluster.cancel(&to_cancel.id).await;
            if has_failover {
                let leader = cluster.leader();
                cluster.restart_controller(leader, 0.3).await;
            } else {
                sleep_s(2.5).await;
                assert_eq!(
                    cluster.history.running_tasks(&to_cancel.id),
                    0,
                    "direct orders reach the workers"
                );
            }
            sleep_s(LEASE_S + 8.0).await;
            affected.iter().for_each(|worker| worker.is_outbound_blocked.set(false));
            cluster.wait_until_done(&job.id, 120.0).await;
        });
    }
}

#[test]
fn a_quota_is_kept_when_a_job_is_cancelled_after_a_failover_while_a_machine_hangs() {
    for (hung_s, cancel_after_s) in
        [(4.0, 0.5), (9.0, 2.0), (LEASE_S + 3.0, 0.0), (LEASE_S - 1.0, 5.0)]
    {
        scenario(4, |cluster| async move {
            let capped_job = |number: u32, tasks: u32, cpus: f64| {
                let mut job = job_spec(number, tasks);
                (job.team, job.cpus) = ("capped".to_owned(), cpus);
                job
            };
            let (first, second, third) =
                (capped_job(1, 2, 1.0), capped_job(2, 2, 2.0), capped_job(3, 9, 2.0));
            cluster.submit(&first, 30.0).await;
            cluster.submit(&second, 300.0).await;
            sleep_s(4.0).await;
            cluster.submit(&third, 4.0).await;
            sleep_s(1.0).await;
            let worker = cluster.worker_of(&task_id(&second, 0));
            worker.set_hung(true);
            cluster.cloud.is_down.set(true);
            let leader = cluster.leader();
            cluster.restart_controller(leader, 0.3).await;
            sleep_s(cancel_after_s).await;
            // Cancelled tasks count towards the quota until they are known to have ended.
            cluster.cancel(&second.id).await;
            sleep_s(hung_s).await;
            worker.set_hung(false);
            cluster.cloud.is_down.set(false);
            for job in [&first, &third] {
                cluster.wait_until_done(&job.id, 150.0).await;
            }
        });
    }
}

#[test]
fn a_job_bound_to_a_zone_waits_for_no_machines_in_other_zones() {
    for (tasks, is_other_zone_busy) in [(3, false), (3, true), (24, true)] {
        scenario(4, |cluster| async move {
            let mut bound = job_spec(1, tasks);
            bound.zone = Some("z1".to_owned());
            cluster.submit(&bound, 12.0).await;
            // The machines in the other zone are idle, or busy and therefore not returned.
            let mut elsewhere = job_spec(2, if is_other_zone_busy { 80 } else { 1 });
            elsewhere.zone = Some("z2".to_owned());
            cluster.submit(&elsewhere, 6.0).await;
            sleep_s(5.0).await;
            for worker in cluster.cloud.workers() {
                if worker.settings.zone == "z1" {
                    cluster.cloud.reclaim(worker.settings.name.as_str());
                }
            }
            cluster.wait_until_done(&bound.id, 75.0).await;
            cluster.wait_until_done(&elsewhere.id, 120.0).await;
        });
    }
}

#[test]
fn a_job_that_was_never_started_waits_for_no_unresponsive_machine_after_a_failover() {
    scenario(4, |cluster| async move {
        let (long, next) = (job_spec(1, 32), job_spec(2, 10));
        cluster.submit(&long, 300.0).await;
        sleep_s(5.0).await;
        // There is no free capacity for this job yet.
        cluster.submit(&next, 3.0).await;
        sleep_s(2.0).await;
        cluster.cloud.is_down.set(true);
        let worker = cluster.worker_of(&task_id(&long, 0));
        worker.is_inbound_blocked.set(true);
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.2).await;
        cluster.cancel(&long.id).await;
        let waited = cluster.wait_until_done(&next.id, 60.0).await;
        assert!(waited < 14.0, "{waited} s: longer than if all machines had answered");
        worker.is_inbound_blocked.set(false);
        cluster.cloud.is_down.set(false);
        sleep_s(LEASE_S + 3.0).await;
    });
}

#[test]
fn one_zone_and_spread_constraints_are_kept_through_failovers_and_lost_machines() {
    for seed in 0..3u32 {
        scenario(4, |cluster| async move {
            let (mut together, mut apart) = (job_spec(1, 150), job_spec(2, 9));
            (together.one_zone, together.cpus) = (true, 0.2);
            apart.spread = true;
            cluster.submit(&together, 6.0).await;
            cluster.submit(&apart, 20.0).await;
            sleep_s(4.0 + f64::from(seed)).await;
            // Two machines, one of each job, hang during the failover.
            let hung =
                [cluster.worker_of(&task_id(&together, 0)), cluster.worker_of(&task_id(&apart, 0))];
            hung.iter().for_each(|worker| worker.set_hung(true));
            let leader = cluster.leader();
            cluster.restart_controller(leader, 0.3).await;
            sleep_s(7.0).await;
            hung.iter().for_each(|worker| worker.set_hung(false));
            sleep_s(4.0).await;
            let zone = hung[0].settings.zone.clone();
            for worker in cluster.cloud.workers() {
                if worker.settings.zone == zone {
                    cluster.cloud.reclaim(worker.settings.name.as_str());
                }
            }
            for job in [&together, &apart] {
                cluster.wait_until_done(&job.id, 200.0).await;
            }
        });
    }
}

#[test]
fn urgent_jobs_finish_first_when_work_exceeds_capacity_over_slow_links() {
    scenario(2, |cluster| async move {
        cluster.net.set_latency(std::time::Duration::from_millis(120));
        let mut urgent = Vec::new();
        for number in 1..=12 {
            let mut job = job_spec(number, 8);
            job.priority = [Priority::High, Priority::Normal, Priority::Low][number as usize % 3];
            job.cpus = f64::from(1 + number % 2);
            if job.priority == Priority::High {
                urgent.push(job.clone());
            }
            cluster.submit(&job, 5.0).await;
        }
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.5).await;
        let started = tokio::time::Instant::now();
        for job in &urgent {
            cluster.wait_until_done(&job.id, 120.0).await;
        }
        // The urgent jobs are a third of the work.
        let seconds = started.elapsed().as_secs_f64();
        assert!(seconds < 24.0, "{seconds} s");
        for number in 1..=12 {
            cluster.wait_until_done(&job_spec(number, 8).id, 400.0).await;
        }
    });
}

#[test]
fn delayed_direct_orders_and_replies_leave_no_cancelled_task_running() {
    for delay_s in [0.7, 2.0, 3.8, 4.5, 8.0] {
        scenario(2, |cluster| async move {
            let stream = job_spec(1, 120);
            cluster.submit(&stream, 1.3).await;
            let workers = cluster.cloud.workers();
            for number in 2..8 {
                let to_cancel = job_spec(number, 3);
                cluster.submit(&to_cancel, 200.0).await;
                sleep_s(2.5).await;
                let leader = cluster.leader();
                let name = &workers[number as usize % 2].settings.name;
                cluster.net.partition(CONTROLLERS[leader], name.as_str());
                sleep_s(0.2).await;
                assert_eq!(cluster.cancel(&to_cancel.id).await, Some(JobStatus::Cancelled));
                sleep_s(delay_s).await;
                cluster.net.heal(CONTROLLERS[leader], name.as_str());
            }
            cluster.wait_until_done(&stream.id, 200.0).await;
            sleep_s(LEASE_S).await;
            assert!(
                (2..8).all(|number| cluster.history.running_tasks(&job_spec(number, 3).id) == 0)
            );
        });
    }
}
