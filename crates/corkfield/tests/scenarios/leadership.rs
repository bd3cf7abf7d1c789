//! Election of the leader, and what its successor does with claims, tasks and machines.

use crate::cluster::{scenario, scenario_under, secs, spec, task, LEASE_S, NODES};
use corkfield::settings::Operator;
use corkfield_fakes::Fault;
use corkfield_wire::records::job_key;
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::user::PATH_READY;
use corkfield_wire::{JobSpec, JobStatus, Priority};
use std::cell::Cell;

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
