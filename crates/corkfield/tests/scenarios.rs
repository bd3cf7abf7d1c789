//! Whole controllers against in-memory stand-ins, in simulated time.

mod cluster;
mod combined_faults;
mod fleet;
mod message_faults;

use cluster::{scenario, scenario_under, secs, spec, task, CANCEL_S, LEASE_S, NODES};
use corkfield::settings::Operator;
use corkfield_fakes::{Fault, Plan};
use corkfield_wire::records::{final_key, job_key, machine_key};
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::user::{JobView, PATH_JOBS, PATH_READY};
use corkfield_wire::{JobSpec, JobStatus, Priority};
use std::cell::Cell;

#[test]
fn jobs_are_run_and_done_and_stay_done() {
    scenario(2, |cluster| async move {
        let jobs = [spec(1, 20), spec(2, 3)];
        for job in &jobs {
            assert_eq!(cluster.submit(job, 3.0).await, 201);
            assert_eq!(cluster.submit(job, 3.0).await, 200, "a repeat is known");
        }
        for job in &jobs {
            cluster.until_done(&job.id, 60.0).await;
            assert_eq!(cluster.submit(job, 3.0).await, 200);
            assert!(cluster.record(&job.id).is_none(), "only a small final record is kept");
            assert!(cluster.store.get(&final_key(&job.id)).is_some());
        }
        // Machines that nobody needs are returned in the end.
        secs(120.0).await;
        assert!(cluster.cloud.workers().is_empty());
    });
}

#[test]
fn one_of_three_wins_the_leader_record_and_each_job_is_claimed_once() {
    scenario(1, |cluster| async move {
        assert_eq!(cluster.scheduler().expect("somebody plans").1, 1, "one claim, one term");
        let job = spec(1, 4);
        cluster.submit(&job, 20.0).await;
        secs(3.0).await;
        let record = cluster.record(&job.id).expect("unfinished");
        assert_eq!((record.generation, record.claims), (1, 1));
        secs(12.0).await;
        let record = cluster.record(&job.id).expect("unfinished");
        assert_eq!((record.generation, record.claims), (1, 0), "a healthy claim is refunded");
    });
}

#[test]
fn a_claim_of_the_leader_record_whose_answer_is_lost_leaves_no_gap() {
    scenario(1, |cluster| async move {
        let lost = Cell::new(0);
        cluster.store.set_faults(move |request| {
            let claims = request.path() == PATH_TXN
                && String::from_utf8_lossy(&request.body).contains("\"put\":\"c/planner\"");
            if claims && lost.replace(lost.get() + 1) < 2 {
                Fault::LoseAnswer
            } else {
                Fault::None
            }
        });
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 0.5).await;
        secs(8.0).await;
        let job = spec(1, 2);
        cluster.submit(&job, 2.0).await;
        cluster.until_done(&job.id, 20.0).await;
    });
}

#[test]
fn after_a_crash_of_all_controllers_tasks_go_on_where_they_were() {
    scenario(2, |cluster| async move {
        // More jobs than one claim takes: those not claimed yet must not lose their tasks.
        let jobs: Vec<_> = (1..15).map(|n| spec(n, 1)).collect();
        for job in &jobs {
            cluster.submit(job, 25.0).await;
        }
        secs(6.0).await;
        for n in 0..NODES.len() {
            cluster.kill(n);
        }
        secs(2.0).await;
        // Claims take their time.
        cluster.store.set_faults(|request| match request.path() {
            PATH_TXN => Fault::Slow(0.8),
            _ => Fault::None,
        });
        for n in 0..NODES.len() {
            cluster.start(n);
        }
        for job in &jobs {
            cluster.until_done(&job.id, 60.0).await;
            assert_eq!(cluster.history.started(&task(job, 0)), 1, "nothing was started again");
        }
    });
}

#[test]
fn a_restarted_owner_is_fenced_and_its_late_settling_writes_are_refused() {
    scenario(2, |cluster| async move {
        let job = spec(1, 40);
        cluster.submit(&job, 5.0).await;
        secs(3.0).await;
        let (scheduler, term) = cluster.scheduler().expect("somebody plans");
        // Settling writes are under way when their writer dies; they arrive much later.
        let key = job_key(&job.id);
        cluster.store.set_faults(move |request| {
            let settles =
                request.path() == PATH_TXN && String::from_utf8_lossy(&request.body).contains(&key);
            if settles {
                Fault::Late(40.0)
            } else {
                Fault::None
            }
        });
        secs(7.0).await;
        cluster.store.clear_faults();
        cluster.restart(scheduler, 0.3).await;
        secs(1.5).await;
        assert!(
            cluster.scheduler().expect("somebody plans").1 > term,
            "the old lease ended at once"
        );
        cluster.until_done(&job.id, 45.0).await;
        secs(45.0).await;
        assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Done));
        assert!(cluster.record(&job.id).is_none(), "the late writes brought nothing back");
    });
}

#[test]
fn a_late_claim_does_not_bring_back_a_cancelled_job() {
    scenario(1, |cluster| async move {
        cluster.store.set_faults(|request| {
            let body = String::from_utf8_lossy(&request.body);
            let claims = request.path() == PATH_TXN && body.contains("\"owner\":\"n");
            if claims {
                Fault::Late(6.0)
            } else {
                Fault::None
            }
        });
        let job = spec(1, 4);
        cluster.submit(&job, 5.0).await;
        secs(1.0).await;
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        secs(10.0).await;
        cluster.store.clear_faults();
        assert!(cluster.record(&job.id).is_none());
        assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
    });
}

#[test]
fn a_failover_waits_for_a_hung_machine_until_its_lease_has_surely_expired() {
    scenario(2, |cluster| async move {
        let job = spec(1, 16);
        cluster.submit(&job, 15.0).await;
        secs(5.0).await;
        let hung = cluster.history.machine_of(&task(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(&hung).expect("a worker");
        worker.set_hung(true);
        // Otherwise the machine would be returned after a while, which settles it as well.
        cluster.cloud.down.set(true);
        secs(1.0).await;
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 1.0).await;
        secs(LEASE_S - 4.0).await;
        assert_eq!(
            cluster.history.machine_of(&task(&job, 0)),
            Some(hung),
            "still there, for all we know"
        );
        // It resumes within its lease, and goes on.
        worker.set_hung(false);
        cluster.until_done(&job.id, 90.0).await;
    });
}

#[test]
fn a_machine_that_hangs_for_long_loses_its_tasks_to_another() {
    scenario(2, |cluster| async move {
        let job = spec(1, 10);
        cluster.submit(&job, 20.0).await;
        secs(5.0).await;
        let hung = cluster.history.machine_of(&task(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(&hung).expect("a worker");
        worker.set_hung(true);
        secs(LEASE_S + 1.0).await;
        // Its worker still holds the tasks, but its lease is over: it forgets them when it wakes.
        worker.set_hung(false);
        cluster.until_done(&job.id, 120.0).await;
        assert!(worker.agent_epoch() > 1);
    });
}

#[test]
fn a_leader_that_alone_is_refused_by_the_store_is_replaced_and_starts_nothing() {
    scenario(3, |cluster| async move {
        let job = spec(1, 24);
        cluster.submit(&job, 30.0).await;
        secs(5.0).await;
        let (old, term) = cluster.scheduler().expect("somebody plans");
        cluster.refused[old].set(true);
        secs(20.0).await;
        let (new, new_term) = cluster.scheduler().expect("somebody plans");
        assert!(new != old && new_term > term);
        let next = spec(2, 6);
        cluster.submit(&next, 3.0).await;
        let (ready, _) = cluster.ask(old, "GET", PATH_READY, b"").await.expect("an answer");
        assert_eq!(ready, 503, "users are sent to those who have the store");
        cluster.until_done(&job.id, 90.0).await;
        cluster.refused[old].set(false);
        cluster.until_done(&next.id, 90.0).await;
        cluster.assert_started_once(&job, "nothing was started again");
    });
}

#[test]
fn a_leader_whose_lease_may_have_ended_starts_nothing() {
    // The lease alone: starts need no younger proof of fresh state than it gives.
    let operator = Operator { start_proof_s: 60.0, ..Operator::default() };
    scenario_under(operator, 2, |cluster| async move {
        // Enough that may begin without a write of its record, for as long as this takes: urgent
        // work is announced by its claim.
        for number in 1..=6 {
            let urgent = JobSpec { priority: Priority::High, ..spec(number, 120) };
            cluster.submit(&urgent, 1.0).await;
        }
        secs(5.0).await;
        let old = cluster.planner_node();
        // Nobody else reaches the workers, so nobody fences them.
        for n in (0..NODES.len()).filter(|n| *n != old) {
            for worker in cluster.cloud.workers() {
                cluster.net.cut(NODES[n], &worker.settings.name);
            }
        }
        cluster.refused[old].set(true);
        let before = cluster.history.starts_in_all();
        secs(6.0).await;
        assert!(cluster.history.starts_in_all() > before, "its lease goes on for a while");
        // Over by now, and for a while it may still answer its workers (S6).
        secs(4.3).await;
        assert_ne!(cluster.planner_node(), old);
        let starts = cluster.history.starts_in_all();
        secs(6.0).await;
        assert_eq!(cluster.history.starts_in_all(), starts, "S4");
    });
}

#[test]
fn a_machine_that_went_while_the_store_was_down_holds_up_no_failover() {
    scenario(3, |cluster| async move {
        let job = spec(1, 60);
        cluster.submit(&job, 4.0).await;
        secs(4.0).await;
        cluster.store.set_down(true);
        let victim = cluster.cloud.workers()[0].settings.name.clone();
        cluster.cloud.take(&victim);
        secs(11.0).await;
        cluster.store.set_down(false);
        secs(2.5).await;
        assert!(
            cluster.store.get(&machine_key(&victim)).is_none(),
            "its record is dropped after all"
        );
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 0.3).await;
        cluster.until_done(&job.id, 60.0).await;
    });
}

#[test]
fn a_leader_that_no_worker_reaches_hands_over() {
    scenario(2, |cluster| async move {
        let job = spec(1, 10);
        cluster.submit(&job, 25.0).await;
        secs(5.0).await;
        let old = cluster.planner_node();
        let machines: Vec<String> =
            cluster.cloud.workers().iter().map(|w| w.settings.name.clone()).collect();
        for machine in &machines {
            cluster.net.cut(NODES[old], machine);
        }
        secs(LEASE_S).await;
        assert_ne!(cluster.planner_node(), old);
        cluster.until_done(&job.id, 60.0).await;
        cluster.assert_started_once(&job, "no lease ran out");
        // What the cut held back arrives now, and does no harm.
        for machine in &machines {
            cluster.net.heal(NODES[old], machine);
        }
        let next = spec(2, 10);
        cluster.submit(&next, 3.0).await;
        cluster.until_done(&next.id, 60.0).await;
    });
}

#[test]
fn a_worker_that_does_not_reach_the_leader_heartbeats_by_way_of_another_controller() {
    scenario(2, |cluster| async move {
        let job = spec(1, 160);
        cluster.submit(&job, 5.0).await;
        secs(4.0).await;
        let scheduler = cluster.planner_node();
        let cut_off = cluster.cloud.workers()[0].clone();
        cluster.net.cut(NODES[scheduler], &cut_off.settings.name);
        secs(12.0).await;
        let before = cluster.history.starts_on(&cut_off.settings.name);
        secs(12.0).await;
        assert!(cluster.history.starts_on(&cut_off.settings.name) > before, "it is given work");
        assert_eq!(cut_off.agent_epoch(), 1, "its lease never ran out");
        assert_eq!(cluster.planner_node(), scheduler, "others reach the planner, so it stays");
        cluster.until_done(&job.id, 120.0).await;
    });
}

#[test]
fn a_short_outage_of_the_store_stops_no_task_and_a_long_one_loses_no_job() {
    scenario(2, |cluster| async move {
        let short = spec(1, 12);
        cluster.submit(&short, 20.0).await;
        secs(4.0).await;
        cluster.store.set_down(true);
        secs(9.0).await;
        cluster.store.set_down(false);
        cluster.until_done(&short.id, 60.0).await;
        cluster.assert_started_once(&short, "nothing was started again");
        let long = spec(2, 12);
        cluster.submit(&long, 60.0).await;
        secs(5.0).await;
        // One that might know of a cancellation can't be asked.
        let other = cluster.others(cluster.planner_node())[0];
        cluster.kill(other);
        cluster.store.set_down(true);
        secs(45.0).await;
        assert_eq!(
            cluster.history.running(&long.id),
            0,
            "without fresh state, leases run out (S6)"
        );
        cluster.store.set_down(false);
        cluster.start(other);
        cluster.until_done(&long.id, 150.0).await;
    });
}

#[test]
fn lost_answers_to_commits_neither_lose_nor_double_anything() {
    scenario(2, |cluster| async move {
        let count = Cell::new(0);
        cluster.store.set_faults(move |request| {
            count.set(count.get() + 1);
            let lost = request.path() == PATH_TXN && count.get() % 4 == 0;
            if lost {
                Fault::LoseAnswer
            } else {
                Fault::None
            }
        });
        let jobs: Vec<_> = (1..6).map(|n| spec(n, 6)).collect();
        for job in &jobs {
            let status = cluster.submit(job, 4.0).await;
            assert!(status == 200 || status == 201, "{status}");
        }
        for job in &jobs {
            cluster.until_done(&job.id, 150.0).await;
        }
    });
}

#[test]
fn transactions_that_are_carried_out_late_do_no_harm() {
    scenario(2, |cluster| async move {
        let count = Cell::new(0);
        cluster.store.set_faults(move |request| {
            count.set(count.get() + 1);
            let late = request.path() == PATH_TXN && count.get() % 5 == 0;
            if late {
                Fault::Late(7.0)
            } else {
                Fault::None
            }
        });
        let jobs: Vec<_> = (1..6).map(|n| spec(n, 6)).collect();
        for job in &jobs {
            cluster.submit(job, 4.0).await;
        }
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 0.3).await;
        for job in &jobs {
            cluster.until_done(&job.id, 200.0).await;
        }
    });
}

#[test]
fn a_cancellation_meets_an_order_in_flight() {
    scenario(2, |cluster| async move {
        for number in 1..8 {
            let job = spec(number, 8);
            cluster.submit(&job, 40.0).await;
            secs(0.3 * f64::from(number)).await;
            assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
            for n in 0..NODES.len() {
                let path = format!("{PATH_JOBS}/{}", job.id);
                let (status, body) = cluster.ask(n, "GET", &path, b"").await.expect("an answer");
                let view: JobView = serde_json::from_slice(&body).expect("a view");
                assert_eq!((status, view.status), (200, JobStatus::Cancelled), "no older answer");
            }
        }
        secs(CANCEL_S).await;
        for number in 1..8 {
            assert_eq!(cluster.history.running(&spec(number, 8).id), 0);
        }
    });
}

#[test]
fn a_cancellation_is_kept_while_the_reporting_controller_is_cut_off_from_everything_but_workers() {
    scenario(2, |cluster| async move {
        let job = spec(1, 12);
        cluster.submit(&job, 200.0).await;
        secs(5.0).await;
        let old = cluster.planner_node();
        // It answers workers, but hears of nothing; and nobody else reaches the workers.
        for other in ["state", "cloud", "user"].into_iter().chain(NODES) {
            cluster.net.cut(NODES[old], other);
        }
        for n in (0..NODES.len()).filter(|n| *n != old) {
            for worker in cluster.cloud.workers() {
                cluster.net.cut(NODES[n], &worker.settings.name);
            }
        }
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        secs(CANCEL_S + 5.0).await;
        assert_eq!(cluster.history.running(&job.id), 0);
    });
}

#[test]
fn a_limit_is_held_through_a_failover() {
    scenario(3, |cluster| async move {
        let mut jobs = Vec::new();
        for number in 1..4 {
            let mut job = spec(number, 5);
            job.team = "capped".to_owned();
            cluster.submit(&job, 9.0).await;
            jobs.push(job);
        }
        secs(4.0).await;
        for _ in 0..2 {
            let scheduler = cluster.planner_node();
            cluster.restart(scheduler, 0.5).await;
            secs(7.0).await;
        }
        for job in &jobs {
            cluster.until_done(&job.id, 150.0).await;
        }
    });
}

#[test]
fn a_rental_without_an_answer_is_found_and_used() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(4);
        cluster.cloud.lose_answers.set(true);
        let mut job = spec(1, 32);
        job.estimate_s = 60.0;
        cluster.submit(&job, 60.0).await;
        secs(25.0).await;
        cluster.cloud.lose_answers.set(false);
        assert!(cluster.cloud.workers().len() > 1, "machines came up all the same");
        assert!(cluster.history.running(&job.id) > 8, "and are used");
        cluster.until_done(&job.id, 150.0).await;
    });
}

#[test]
fn machines_taken_without_notice_lose_no_job() {
    scenario(3, |cluster| async move {
        let job = spec(1, 24);
        cluster.submit(&job, 12.0).await;
        secs(6.0).await;
        let victims: Vec<String> =
            cluster.cloud.workers().iter().take(2).map(|w| w.settings.name.clone()).collect();
        for name in &victims {
            cluster.cloud.take(name);
        }
        cluster.until_done(&job.id, 120.0).await;
    });
}

#[test]
fn a_sick_machine_is_returned_and_a_broken_job_is_dead_lettered_without_blaming_machines() {
    scenario(3, |cluster| async move {
        let workers = cluster.cloud.workers();
        workers[0].sick.set(true);
        let jobs = [spec(1, 20), spec(2, 20)];
        for job in &jobs {
            cluster.submit(job, 4.0).await;
        }
        for job in &jobs {
            cluster.until_done(&job.id, 90.0).await;
        }
        assert!(workers[0].dead.get(), "the sick machine was returned");
        let broken = spec(3, 4);
        cluster.submit_plan(Plan { spec: broken.clone(), run_s: 1.0, broken: true }).await;
        let good = spec(4, 400);
        cluster.submit(&good, 4.0).await;
        secs(30.0).await;
        assert_eq!(cluster.status(&broken.id).await, Some(JobStatus::Queued));
        let claims = cluster.record(&broken.id).expect("unfinished").claims;
        assert!(claims >= 2, "failing claims are counted: {claims}");
        cluster.until_done(&good.id, 300.0).await;
    });
}

#[test]
fn a_job_at_the_claim_limit_is_dead_lettered_and_can_be_released_or_cancelled() {
    scenario(2, |cluster| async move {
        let broken = spec(1, 2);
        cluster.submit_plan(Plan { spec: broken.clone(), run_s: 1.0, broken: true }).await;
        let mut waited = 0;
        while !cluster.record(&broken.id).is_some_and(|r| r.dead_lettered) {
            secs(20.0).await;
            waited += 1;
            assert!(waited < 120, "never set aside: {:?}", cluster.record(&broken.id));
        }
        assert_eq!(cluster.record(&broken.id).expect("kept").claims, 13);
        assert_eq!(
            cluster.status(&broken.id).await,
            Some(JobStatus::Queued),
            "never a final state"
        );
        let release = format!("/operator/release/{}", broken.id);
        assert_eq!(cluster.ask(0, "POST", &release, b"").await.map(|r| r.0), Some(200));
        secs(5.0).await;
        assert!(!cluster.record(&broken.id).expect("kept").dead_lettered);
        assert_eq!(cluster.cancel(&broken.id).await, Some(JobStatus::Cancelled));
    });
}

#[test]
fn urgent_work_takes_room_from_idle_work() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(1);
        let mut low = spec(1, 8);
        low.priority = Priority::Low;
        cluster.submit(&low, 300.0).await;
        secs(5.0).await;
        assert_eq!(cluster.history.running(&low.id), 8);
        let mut urgent = spec(2, 2);
        urgent.priority = Priority::High;
        urgent.cpus = 4.0;
        cluster.submit(&urgent, 5.0).await;
        cluster.until_done(&urgent.id, 40.0).await;
    });
}

#[test]
fn a_job_of_a_hundred_thousand_tasks_stays_within_the_limits_and_survives_a_failover() {
    scenario(4, |cluster| async move {
        let mut job = spec(1, 100_000);
        job.cpus = 0.1;
        job.memory_gb = 0.1;
        assert_eq!(cluster.submit(&job, 0.4).await, 201);
        secs(40.0).await;
        let before = cluster.record(&job.id).expect("unfinished").done;
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 0.3).await;
        secs(20.0).await;
        let after = cluster.record(&job.id).expect("unfinished").done;
        assert!(before > 500 && after > before, "{before} then {after}");
        assert!(cluster.store.largest_value() < 16 * 1024);
        assert!(cluster.store.most_ops() <= 12);
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        secs(CANCEL_S).await;
    });
}

#[test]
fn bad_input_is_refused_and_known_ids_are_recognised_first() {
    scenario(1, |cluster| async move {
        let good = spec(1, 2);
        cluster.submit(&good, 2.0).await;
        let as_json = |f: &dyn Fn(&mut serde_json::Value)| {
            let mut value = serde_json::to_value(spec(2, 2)).expect("serializable");
            f(&mut value);
            serde_json::to_vec(&value).expect("serializable")
        };
        let cases: Vec<(Vec<u8>, u16)> = vec![
            (b"{".to_vec(), 400),
            (b"[1]".to_vec(), 400),
            (b"\xff\xfe".to_vec(), 400),
            (as_json(&|v| v["name_id"] = "x-1".into()), 400),
            (as_json(&|v| v["pieces"] = 0.into()), 400),
            (as_json(&|v| v["pieces"] = 100_001.into()), 400),
            (as_json(&|v| v["pieces"] = "3".into()), 400),
            (as_json(&|v| v["vcpus"] = (-1.0).into()), 400),
            (as_json(&|v| v["shape"] = "standing".into()), 400),
            (as_json(&|v| v["rank"] = "highest".into()), 400),
            (as_json(&|v| v["flavours"] = serde_json::json!([])), 400),
            (as_json(&|v| drop(v.as_object_mut().map(|o| o.remove("guess_s")))), 400),
            (as_json(&|v| v["owner"] = "nobody".into()), 422),
            (as_json(&|v| v["vcpus"] = 9.0.into()), 422),
            (as_json(&|v| v["site"] = "z9".into()), 422),
            (as_json(&|v| v["flavours"] = serde_json::json!(["huge"])), 422),
            (as_json(&|v| (v["owner"], v["vcpus"]) = ("capped".into(), 7.0.into())), 422),
            (as_json(&|v| v["unknown_field"] = 1.into()), 201),
        ];
        for (body, expected) in cases {
            let text = String::from_utf8_lossy(&body).into_owned();
            let answer = cluster.ask(1, "POST", PATH_JOBS, &body).await.map(|r| r.0);
            assert_eq!(answer, Some(expected), "{text}");
        }
        // S2: an accepted job's id is never refused, whatever comes with it.
        let bad = format!("{{\"name_id\":\"{}\"}}", good.id);
        assert_eq!(cluster.ask(2, "POST", PATH_JOBS, bad.as_bytes()).await.map(|r| r.0), Some(200));
        for path in ["/submissions/j-777777", "/submissions/nonsense", "/nowhere"] {
            assert_eq!(cluster.ask(0, "GET", path, b"").await.map(|r| r.0), Some(404), "{path}");
        }
        assert_eq!(cluster.ask(0, "DELETE", PATH_JOBS, b"").await.map(|r| r.0), Some(405));
        assert_eq!(
            cluster.ask(0, "POST", "/agent/beat", b"{\"host\":1}").await.map(|r| r.0),
            Some(400)
        );
    });
}

#[test]
fn without_the_store_nothing_is_guessed() {
    scenario(1, |cluster| async move {
        let job = spec(1, 2);
        cluster.submit(&job, 2.0).await;
        cluster.until_done(&job.id, 30.0).await;
        cluster.store.set_down(true);
        secs(1.0).await;
        let body = serde_json::to_vec(&spec(2, 2)).expect("serializable");
        assert_eq!(cluster.ask(0, "POST", PATH_JOBS, &body).await.map(|r| r.0), Some(503));
        let unknown = "/submissions/j-000009";
        assert_eq!(cluster.ask(0, "GET", unknown, b"").await.map(|r| r.0), Some(503));
        // A final state may be answered from memory: it never changes.
        let path = format!("{PATH_JOBS}/{}", job.id);
        let answers =
            [cluster.ask(0, "GET", &path, b"").await, cluster.ask(1, "GET", &path, b"").await];
        assert!(answers.iter().flatten().all(|r| r.0 == 200 || r.0 == 503));
        assert_eq!(cluster.ask(0, "GET", PATH_READY, b"").await.map(|r| r.0), Some(200));
        // A controller restarted meanwhile is no worse than the others, once their last word
        // of the store is old.
        cluster.restart(2, 0.5).await;
        secs(10.0).await;
        assert_eq!(cluster.ask(2, "GET", PATH_READY, b"").await.map(|r| r.0), Some(200));
        assert_eq!(cluster.ask(2, "GET", unknown, b"").await.map(|r| r.0), Some(503));
    });
}

#[test]
fn a_quiet_deployment_stays_ready() {
    scenario(1, |cluster| async move {
        // Nothing changes in the store: proofs of fresh state come from watches that run out.
        for _ in 0..300 {
            secs(0.1).await;
            for node in 0..NODES.len() {
                let answer = cluster.ask(node, "GET", PATH_READY, b"").await;
                assert_eq!(answer.map(|(status, _)| status), Some(200), "node {node}");
            }
        }
    });
}
