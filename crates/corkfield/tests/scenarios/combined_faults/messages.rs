//! Heartbeats and transactions that arrive late or out of order.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CONTROLLERS, LEASE_S};
use corkfield_fakes::Fault;
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::worker::PATH_HEARTBEAT;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;

#[test]
fn a_heartbeat_delayed_past_a_failover_is_not_treated_as_current() {
    for delay_s in [3.0, 9.0, 16.0, 30.0, 45.0] {
        scenario(3, |cluster| async move {
            let job = job_spec(1, 20);
            cluster.submit(&job, 14.0).await;
            sleep_s(5.0).await;
            let worker = cluster.worker_of(&task_id(&job, 0));
            let name = worker.settings.name.to_string();
            cluster.cloud.is_down.set(true);
            // The machine's heartbeats to each controller are in flight when the leader
            // restarts.
            for controller in CONTROLLERS {
                cluster.net.partition(&name, controller);
            }
            sleep_s(1.0).await;
            let leader = cluster.leader();
            cluster.restart_controller(leader, 0.4).await;
            sleep_s(delay_s).await;
            for controller in CONTROLLERS {
                cluster.net.heal(&name, controller);
            }
            cluster.cloud.is_down.set(false);
            cluster.wait_until_done(&job.id, 150.0).await;
        });
    }
}

#[test]
fn replayed_heartbeats_lose_no_task_and_start_none_twice_at_once() {
    for seed in 0..3 {
        scenario(3, |cluster| async move {
            let mut rng = SmallRng::seed_from_u64(seed);
            let jobs: Vec<_> = (1..=3).map(|number| job_spec(number, 30)).collect();
            for job in &jobs {
                cluster.submit(job, 3.0).await;
            }
            for round in 0..160 {
                sleep_s(0.25).await;
                let workers = cluster.cloud.workers();
                let Some(worker) = workers.get(rng.random_range(0..workers.len().max(1))) else {
                    // All jobs are done, and the machines were returned.
                    continue;
                };
                // Replays a heartbeat of the current agent epoch or an earlier one, with the
                // current attempts or earlier ones.
                let sent = worker.sent_heartbeats();
                if let Some(copy) = sent.get(rng.random_range(0..sent.len().max(1))) {
                    let controller = rng.random_range(0..CONTROLLERS.len());
                    cluster.request(controller, "POST", PATH_HEARTBEAT, copy).await;
                }
                match round {
                    40 => {
                        // The machine hangs for longer than its lease, so its agent epoch ends.
                        let hung = worker.clone();
                        hung.set_hung(true);
                        tokio::task::spawn_local(async move {
                            sleep_s(LEASE_S + 1.0).await;
                            hung.set_hung(false);
                        });
                    }
                    90 => {
                        let leader = cluster.leader();
                        cluster.restart_controller(leader, 0.2).await;
                    }
                    _ => {}
                }
            }
            for job in &jobs {
                cluster.wait_until_done(&job.id, 120.0).await;
            }
        });
    }
}

#[test]
fn transactions_executed_after_newer_ones_lose_no_job_and_violate_no_safety_rule() {
    for seed in 0..5 {
        scenario(3, |cluster| async move {
            let rng = RefCell::new(SmallRng::seed_from_u64(seed));
            cluster.store.set_faults(move |request| {
                let mut rng = rng.borrow_mut();
                if request.path() == PATH_TXN && rng.random_bool(0.2) {
                    Fault::DelayAndLoseAnswer(rng.random_range(2.0..12.0))
                } else {
                    Fault::None
                }
            });
            let jobs: Vec<_> = (1..=6).map(|number| job_spec(number, 10)).collect();
            for job in &jobs {
                cluster.submit(job, 4.0).await;
            }
            let to_cancel = job_spec(9, 6);
            cluster.submit(&to_cancel, 300.0).await;
            // A hand-over, a cancellation and a crash occur while transactions are delayed.
            let leader = cluster.leader();
            let machines: Vec<String> = cluster
                .cloud
                .workers()
                .iter()
                .map(|worker| worker.settings.name.to_string())
                .collect();
            machines.iter().for_each(|machine| cluster.net.partition(CONTROLLERS[leader], machine));
            sleep_s(LEASE_S - 1.0).await;
            machines.iter().for_each(|machine| cluster.net.heal(CONTROLLERS[leader], machine));
            cluster.cancel(&to_cancel.id).await;
            let leader = cluster.leader();
            cluster.restart_controller(leader, 0.3).await;
            for job in &jobs {
                cluster.wait_until_done(&job.id, 250.0).await;
            }
            cluster.store.clear_faults();
            sleep_s(14.0).await;
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
            for job in &jobs {
                cluster.wait_until_done(&job.id, 5.0).await;
            }
            let last = job_spec(20, 4);
            cluster.submit(&last, 2.0).await;
            cluster.wait_until_done(&last.id, 30.0).await;
        });
    }
}
