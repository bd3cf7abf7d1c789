//! Machines that hang, fail, disappear or are rented without an answer.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CONTROLLERS, LEASE_S};
use corkfield_fakes::JobPlan;
use corkfield_wire::records::machine_key;
use corkfield_wire::{AgentEpoch, JobStatus};

#[test]
fn a_failover_waits_for_a_hung_machine_until_its_lease_has_surely_expired() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 16);
        cluster.submit(&job, 15.0).await;
        sleep_s(5.0).await;
        let hung = cluster.history.machine_of(&task_id(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(hung.as_str()).expect("a worker");
        worker.set_hung(true);
        // Otherwise the machine would be returned after a while, which settles it as well.
        cluster.cloud.is_down.set(true);
        sleep_s(1.0).await;
        let leader = cluster.leader();
        cluster.restart_controller(leader, 1.0).await;
        sleep_s(LEASE_S - 4.0).await;
        assert_eq!(
            cluster.history.machine_of(&task_id(&job, 0)),
            Some(hung),
            "still there, for all we know"
        );
        // It resumes within its lease, and goes on.
        worker.set_hung(false);
        cluster.wait_until_done(&job.id, 90.0).await;
    });
}

#[test]
fn a_machine_that_hangs_for_long_loses_its_tasks_to_another() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 10);
        cluster.submit(&job, 20.0).await;
        sleep_s(5.0).await;
        let hung = cluster.history.machine_of(&task_id(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(hung.as_str()).expect("a worker");
        worker.set_hung(true);
        sleep_s(LEASE_S + 1.0).await;
        // Its worker still holds the tasks, but its lease is over: it forgets them when it wakes.
        worker.set_hung(false);
        cluster.wait_until_done(&job.id, 120.0).await;
        assert!(worker.agent_epoch() > AgentEpoch::new(1));
    });
}

#[test]
fn a_machine_lost_in_an_outage_of_the_store_does_not_hold_up_a_failover() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 60);
        cluster.submit(&job, 4.0).await;
        sleep_s(4.0).await;
        cluster.store.set_down(true);
        let victim = cluster.cloud.workers()[0].settings.name.clone();
        cluster.cloud.reclaim(victim.as_str());
        sleep_s(11.0).await;
        cluster.store.set_down(false);
        sleep_s(2.5).await;
        assert!(
            cluster.store.value(&machine_key(victim.as_str())).is_none(),
            "its record is dropped after all"
        );
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.3).await;
        cluster.wait_until_done(&job.id, 60.0).await;
    });
}

#[test]
fn a_worker_that_does_not_reach_the_leader_heartbeats_by_way_of_another_controller() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 160);
        cluster.submit(&job, 5.0).await;
        sleep_s(4.0).await;
        let leader = cluster.leader();
        let cut_off = cluster.cloud.workers()[0].clone();
        cluster.net.partition(CONTROLLERS[leader], cut_off.settings.name.as_str());
        sleep_s(12.0).await;
        let before = cluster.history.start_count_on(cut_off.settings.name.as_str());
        sleep_s(12.0).await;
        assert!(
            cluster.history.start_count_on(cut_off.settings.name.as_str()) > before,
            "it is given work"
        );
        assert_eq!(cut_off.agent_epoch(), AgentEpoch::new(1), "its lease never ran out");
        assert_eq!(cluster.leader(), leader, "others reach the leader, so it stays");
        cluster.wait_until_done(&job.id, 120.0).await;
    });
}

#[test]
fn a_rental_without_an_answer_is_found_and_used() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(4);
        cluster.cloud.is_losing_answers.set(true);
        let mut job = job_spec(1, 32);
        job.estimate_s = 60.0;
        cluster.submit(&job, 60.0).await;
        sleep_s(25.0).await;
        cluster.cloud.is_losing_answers.set(false);
        assert!(cluster.cloud.workers().len() > 1, "machines came up all the same");
        assert!(cluster.history.running_tasks(&job.id) > 8, "and are used");
        cluster.wait_until_done(&job.id, 150.0).await;
    });
}

#[test]
fn machines_reclaimed_without_notice_lose_no_job() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 24);
        cluster.submit(&job, 12.0).await;
        sleep_s(6.0).await;
        let victims: Vec<String> = cluster
            .cloud
            .workers()
            .iter()
            .take(2)
            .map(|worker| worker.settings.name.to_string())
            .collect();
        for name in &victims {
            cluster.cloud.reclaim(name);
        }
        cluster.wait_until_done(&job.id, 120.0).await;
    });
}

#[test]
fn a_failing_machine_is_deleted_and_a_failing_job_stays_queued_without_blaming_machines() {
    scenario(3, |cluster| async move {
        let workers = cluster.cloud.workers();
        workers[0].is_faulty.set(true);
        let jobs = [job_spec(1, 20), job_spec(2, 20)];
        for job in &jobs {
            cluster.submit(job, 4.0).await;
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 90.0).await;
        }
        assert!(workers[0].is_dead.get(), "the sick machine was returned");
        let broken = job_spec(3, 4);
        cluster.submit_plan(JobPlan { spec: broken.clone(), run_s: 1.0, is_failing: true }).await;
        let good = job_spec(4, 400);
        cluster.submit(&good, 4.0).await;
        sleep_s(30.0).await;
        assert_eq!(cluster.status(&broken.id).await, Some(JobStatus::Queued));
        let claims = cluster.job_record(&broken.id).expect("unfinished").claims;
        assert!(claims >= 2, "failing claims are counted: {claims}");
        cluster.wait_until_done(&good.id, 300.0).await;
    });
}
