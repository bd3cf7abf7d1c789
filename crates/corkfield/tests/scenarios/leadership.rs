//! Election of the leader, and what its successor does with claims, tasks and machines.

use crate::cluster::{
    is_transaction, is_transaction_with, job_spec, scenario, scenario_with_operator, sleep_s,
    task_id, ElectedLeader, CONTROLLERS, LEASE_S,
};
use corkfield::settings::Operator;
use corkfield_fakes::Fault;
use corkfield_wire::records::job_key;
use corkfield_wire::user::PATH_READY;
use corkfield_wire::{Generation, JobSpec, JobStatus, Priority, Term};
use std::cell::Cell;

#[test]
fn one_of_three_wins_the_leader_record_and_each_job_is_claimed_once() {
    scenario(1, |cluster| async move {
        assert_eq!(
            cluster.elected_leader().expect("there is a leader").term,
            Term::new(1),
            "one claim, one term"
        );
        let job = job_spec(1, 4);
        cluster.submit(&job, 20.0).await;
        sleep_s(3.0).await;
        let record = cluster.job_record(&job.id).expect("unfinished");
        assert_eq!((record.generation, record.claims), (Generation::new(1), 1));
        sleep_s(12.0).await;
        let record = cluster.job_record(&job.id).expect("unfinished");
        assert_eq!(
            (record.generation, record.claims),
            (Generation::new(1), 0),
            "a healthy claim is refunded"
        );
    });
}

#[test]
fn a_lost_answer_to_a_claim_of_the_leader_record_leaves_no_gap_in_leadership() {
    scenario(1, |cluster| async move {
        let lost = Cell::new(0);
        cluster.store.set_fault_where(Fault::LoseAnswer, move |request| {
            let claims = is_transaction_with(request, "\"put\":\"c/planner\"");
            claims && lost.replace(lost.get() + 1) < 2
        });
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.5).await;
        sleep_s(8.0).await;
        let job = job_spec(1, 2);
        cluster.submit(&job, 2.0).await;
        cluster.wait_until_done(&job.id, 20.0).await;
    });
}

#[test]
fn after_a_crash_of_all_controllers_tasks_go_on_where_they_were() {
    scenario(2, |cluster| async move {
        // More jobs than one claim takes: those not claimed yet must not lose their tasks.
        let jobs: Vec<_> = (1..15).map(|number| job_spec(number, 1)).collect();
        for job in &jobs {
            cluster.submit(job, 25.0).await;
        }
        sleep_s(6.0).await;
        for controller in 0..CONTROLLERS.len() {
            cluster.kill_controller(controller);
        }
        sleep_s(2.0).await;
        // Claims take their time.
        cluster.store.set_fault_where(Fault::Delay(0.8), is_transaction);
        for controller in 0..CONTROLLERS.len() {
            cluster.start_controller(controller);
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 60.0).await;
            assert_eq!(
                cluster.history.start_count(&task_id(job, 0)),
                1,
                "nothing was started again"
            );
        }
    });
}

#[test]
fn a_restarted_owner_is_fenced_and_its_late_completion_commits_are_refused() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 40);
        cluster.submit(&job, 5.0).await;
        sleep_s(3.0).await;
        let ElectedLeader { controller: leader, term } =
            cluster.elected_leader().expect("there is a leader");
        // Completion commits are under way when their writer dies; they arrive much later.
        let key = job_key(&job.id);
        cluster.store.set_fault_where(Fault::DelayAndLoseAnswer(40.0), move |request| {
            is_transaction_with(request, &key)
        });
        sleep_s(7.0).await;
        cluster.store.clear_faults();
        cluster.restart_controller(leader, 0.3).await;
        sleep_s(1.5).await;
        assert!(
            cluster.elected_leader().expect("there is a leader").term > term,
            "the old lease ended at once"
        );
        cluster.wait_until_done(&job.id, 45.0).await;
        sleep_s(45.0).await;
        assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Done));
        assert!(cluster.job_record(&job.id).is_none(), "the late writes brought nothing back");
    });
}

#[test]
fn a_leader_that_alone_is_refused_by_the_store_is_replaced_and_starts_nothing() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 24);
        cluster.submit(&job, 30.0).await;
        sleep_s(5.0).await;
        let old = cluster.elected_leader().expect("there is a leader");
        cluster.is_refused_by_store[old.controller].set(true);
        sleep_s(20.0).await;
        let new = cluster.elected_leader().expect("there is a leader");
        assert!(new.controller != old.controller && new.term > old.term);
        let next = job_spec(2, 6);
        cluster.submit(&next, 3.0).await;
        let (ready, _) =
            cluster.request(old.controller, "GET", PATH_READY, b"").await.expect("an answer");
        assert_eq!(ready, 503, "users are sent to those who have the store");
        cluster.wait_until_done(&job.id, 90.0).await;
        cluster.is_refused_by_store[old.controller].set(false);
        cluster.wait_until_done(&next.id, 90.0).await;
        cluster.assert_started_once(&job, "nothing was started again");
    });
}

#[test]
fn a_leader_whose_lease_may_have_ended_starts_nothing() {
    // The lease alone: starts need no younger proof of fresh state than it gives.
    let operator = Operator { start_proof_s: 60.0, ..Operator::default() };
    scenario_with_operator(operator, 2, |cluster| async move {
        // Enough that may begin without a write of its record, for as long as this takes: urgent
        // work is announced by its claim.
        for number in 1..=6 {
            let urgent = JobSpec { priority: Priority::High, ..job_spec(number, 120) };
            cluster.submit(&urgent, 1.0).await;
        }
        sleep_s(5.0).await;
        let old = cluster.leader();
        // Nobody else reaches the workers, so nobody fences them.
        for controller in cluster.other_controllers(old) {
            cluster.partition_from_workers(controller);
        }
        cluster.is_refused_by_store[old].set(true);
        let before = cluster.history.total_starts();
        sleep_s(6.0).await;
        assert!(cluster.history.total_starts() > before, "its lease goes on for a while");
        // Over by now, and for a while it may still answer its workers (S6).
        sleep_s(4.3).await;
        assert_ne!(cluster.leader(), old);
        let starts = cluster.history.total_starts();
        sleep_s(6.0).await;
        assert_eq!(cluster.history.total_starts(), starts, "S4");
    });
}

#[test]
fn a_leader_that_no_worker_reaches_hands_over_to_another_controller() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 10);
        cluster.submit(&job, 25.0).await;
        sleep_s(5.0).await;
        let old = cluster.leader();
        let machines: Vec<String> =
            cluster.cloud.workers().iter().map(|worker| worker.settings.name.to_string()).collect();
        for machine in &machines {
            cluster.net.partition(CONTROLLERS[old], machine);
        }
        sleep_s(LEASE_S).await;
        assert_ne!(cluster.leader(), old);
        cluster.wait_until_done(&job.id, 60.0).await;
        cluster.assert_started_once(&job, "no lease expired");
        // What the cut held back arrives now, and does no harm.
        for machine in &machines {
            cluster.net.heal(CONTROLLERS[old], machine);
        }
        let next = job_spec(2, 10);
        cluster.submit(&next, 3.0).await;
        cluster.wait_until_done(&next.id, 60.0).await;
    });
}
