//! Election of the leader, and the claims, tasks and machines after a failover.

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
use std::rc::Rc;

#[test]
fn one_of_three_controllers_becomes_leader_and_claims_each_job_once() {
    scenario(1, |cluster| async move {
        assert_eq!(
            cluster.elected_leader().expect("there is a leader").term,
            Term::new(1),
            "one claim of the leader record raises the term once"
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
            "a claim that is held without failures is refunded"
        );
    });
}

#[test]
fn lost_answers_to_claims_of_the_leader_record_do_not_prevent_an_election() {
    scenario(1, |cluster| async move {
        let lost_answers = Cell::new(0);
        cluster.store.set_fault_where(Fault::LoseAnswer, move |request| {
            let is_claim = is_transaction_with(request, "\"put\":\"c/planner\"");
            is_claim && lost_answers.replace(lost_answers.get() + 1) < 2
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
fn tasks_keep_running_on_their_machines_after_a_crash_of_all_controllers() {
    scenario(2, |cluster| async move {
        // One claim transaction does not cover all the jobs. Jobs that are not claimed yet must not
        // lose their tasks.
        let jobs: Vec<_> = (1..15).map(|number| job_spec(number, 1)).collect();
        for job in &jobs {
            cluster.submit(job, 25.0).await;
        }
        sleep_s(6.0).await;
        for controller in 0..CONTROLLERS.len() {
            cluster.kill_controller(controller);
        }
        sleep_s(2.0).await;
        // Delays the claims.
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
fn a_restarted_leader_is_fenced_and_its_delayed_completion_commits_are_refused() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 40);
        cluster.submit(&job, 5.0).await;
        sleep_s(3.0).await;
        let ElectedLeader { controller: leader, term } =
            cluster.elected_leader().expect("there is a leader");
        // Completion commits are in flight when the leader is killed; the store executes them much
        // later.
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
            "the session lease of the killed leader ended before its expiry"
        );
        cluster.wait_until_done(&job.id, 45.0).await;
        sleep_s(45.0).await;
        assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Done));
        assert!(
            cluster.job_record(&job.id).is_none(),
            "the delayed commits do not restore the record"
        );
    });
}

#[test]
fn a_leader_that_is_refused_by_the_store_is_replaced_and_starts_no_tasks() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 24);
        cluster.submit(&job, 30.0).await;
        sleep_s(5.0).await;
        let old_leader = cluster.elected_leader().expect("there is a leader");
        cluster.is_refused_by_store[old_leader.controller].set(true);
        sleep_s(20.0).await;
        let new_leader = cluster.elected_leader().expect("there is a leader");
        assert!(
            new_leader.controller != old_leader.controller && new_leader.term > old_leader.term
        );
        let next = job_spec(2, 6);
        cluster.submit(&next, 3.0).await;
        let (ready, _) = cluster
            .request(old_leader.controller, "GET", PATH_READY, b"")
            .await
            .expect("an answer");
        assert_eq!(ready, 503, "a controller without the store is not ready");
        cluster.wait_until_done(&job.id, 90.0).await;
        cluster.is_refused_by_store[old_leader.controller].set(false);
        cluster.wait_until_done(&next.id, 90.0).await;
        cluster.assert_started_once(&job, "no task was started twice");
    });
}

#[test]
fn a_leader_whose_lease_may_have_expired_starts_no_tasks() {
    // The longest proof age, so that only the lease prevents starts.
    let operator = Operator { start_proof_s: 60.0, ..Operator::default() };
    scenario_with_operator(operator, 2, |cluster| async move {
        // Enough tasks that the leader may start without writing the job record first, for the
        // whole test: the claim of a high-priority job raises its start watermark.
        for number in 1..=6 {
            let job = JobSpec { priority: Priority::High, ..job_spec(number, 120) };
            cluster.submit(&job, 1.0).await;
        }
        sleep_s(5.0).await;
        let old_leader = cluster.leader();
        // No other controller reaches the workers, so no other controller can fence them.
        for controller in cluster.other_controllers(old_leader) {
            cluster.partition_from_workers(controller);
        }
        cluster.is_refused_by_store[old_leader].set(true);
        let starts_before = cluster.history.total_starts();
        sleep_s(6.0).await;
        assert!(
            cluster.history.total_starts() > starts_before,
            "the leader starts tasks until its lease expires"
        );
        // The lease has expired by now, but the leader may still answer its workers (S6).
        sleep_s(4.3).await;
        assert_ne!(cluster.leader(), old_leader);
        let starts_before = cluster.history.total_starts();
        sleep_s(6.0).await;
        assert_eq!(cluster.history.total_starts(), starts_before, "S4: no starts without a lease");
    });
}

#[test]
fn a_leader_partitioned_from_all_workers_transfers_leadership() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 10);
        cluster.submit(&job, 25.0).await;
        sleep_s(5.0).await;
        let old_leader = cluster.leader();
        let machines: Vec<String> =
            cluster.cloud.workers().iter().map(|worker| worker.settings.name.to_string()).collect();
        for machine in &machines {
            cluster.net.partition(CONTROLLERS[old_leader], machine);
        }
        sleep_s(LEASE_S).await;
        assert_ne!(cluster.leader(), old_leader);
        cluster.wait_until_done(&job.id, 60.0).await;
        cluster.assert_started_once(&job, "no worker lease expired");
        // The messages that the partition delayed arrive now and have no effect.
        for machine in &machines {
            cluster.net.heal(CONTROLLERS[old_leader], machine);
        }
        let next = job_spec(2, 10);
        cluster.submit(&next, 3.0).await;
        cluster.wait_until_done(&next.id, 60.0).await;
    });
}

/// The time within which a successor leads after the leader has stopped, in seconds: the lease of
/// ten seconds, and three more to notice its end and to claim the leader record.
const MAX_SUCCESSION_S: f64 = 13.0;

/// Guards against an election that waits, without a limit, for a request of the lowest class while
/// users ask much: no controller took over from a leader that stood still, until the workers' leases
/// had ended and their tasks were killed.
#[test]
fn a_successor_takes_over_from_a_stopped_leader_while_users_ask_much() {
    scenario(3, |cluster| async move {
        let jobs: Vec<JobSpec> = (1..25).map(|number| job_spec(number, 1)).collect();
        for job in &jobs {
            cluster.submit(job, 60.0).await;
        }
        sleep_s(3.0).await;
        let stopped = cluster.elected_leader().expect("there is a leader");
        let is_over = Rc::new(Cell::new(false));
        // Workers turn to the next controller first; with it, the other one could lead.
        let standby = (stopped.controller + 1) % CONTROLLERS.len();
        cluster.kill_controller((stopped.controller + 2) % CONTROLLERS.len());
        cluster.ask_without_pause(standby, &is_over);
        sleep_s(2.0).await;
        let stopping = cluster.clone();
        tokio::task::spawn_local(async move {
            stopping.pause_controller(stopped.controller, 40.0).await;
        });
        sleep_s(MAX_SUCCESSION_S).await;
        let successor = cluster.elected_leader().expect("there is a leader");
        assert_ne!(successor.controller, stopped.controller, "no successor leads");
        sleep_s(LEASE_S).await;
        is_over.set(true);
        for job in &jobs {
            cluster.assert_started_once(job, "no lease has ended");
        }
    });
}
