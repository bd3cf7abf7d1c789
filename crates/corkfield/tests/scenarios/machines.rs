//! Machines that hang, fail, are reclaimed, or are rented by a request whose answer is lost.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CONTROLLERS, LEASE_S};
use corkfield_fakes::JobPlan;
use corkfield_wire::records::machine_key;
use corkfield_wire::{AgentEpoch, JobStatus};

#[test]
fn a_failover_waits_for_a_hung_machine_until_its_lease_must_have_expired() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 16);
        cluster.submit(&job, 15.0).await;
        sleep_s(5.0).await;
        let hung_machine = cluster.history.machine_of(&task_id(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(hung_machine.as_str()).expect("a worker");
        worker.set_hung(true);
        // With the cloud down, the new leader cannot return the machine instead of waiting.
        cluster.cloud.is_down.set(true);
        sleep_s(1.0).await;
        let leader = cluster.leader();
        cluster.restart_controller(leader, 1.0).await;
        sleep_s(LEASE_S - 4.0).await;
        assert_eq!(
            cluster.history.machine_of(&task_id(&job, 0)),
            Some(hung_machine),
            "the task is not started elsewhere"
        );
        // The machine resumes within its lease and continues its tasks.
        worker.set_hung(false);
        cluster.wait_until_done(&job.id, 90.0).await;
    });
}

#[test]
fn tasks_of_a_machine_that_hangs_beyond_its_lease_run_elsewhere() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 10);
        cluster.submit(&job, 20.0).await;
        sleep_s(5.0).await;
        let hung_machine = cluster.history.machine_of(&task_id(&job, 0)).expect("running");
        let worker = cluster.cloud.worker(hung_machine.as_str()).expect("a worker");
        worker.set_hung(true);
        sleep_s(LEASE_S + 1.0).await;
        // The worker still has its tasks, but its lease has expired: it drops them when it resumes.
        worker.set_hung(false);
        cluster.wait_until_done(&job.id, 120.0).await;
        assert!(worker.agent_epoch() > AgentEpoch::new(1));
    });
}

#[test]
fn a_machine_reclaimed_during_a_store_outage_does_not_delay_a_failover() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 60);
        cluster.submit(&job, 4.0).await;
        sleep_s(4.0).await;
        cluster.store.set_down(true);
        let reclaimed = cluster.cloud.workers()[0].settings.name.clone();
        cluster.cloud.reclaim(reclaimed.as_str());
        sleep_s(11.0).await;
        cluster.store.set_down(false);
        sleep_s(2.5).await;
        assert!(
            cluster.store.value(&machine_key(reclaimed.as_str())).is_none(),
            "the record of the machine is deleted after the outage"
        );
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.3).await;
        cluster.wait_until_done(&job.id, 60.0).await;
    });
}

#[test]
fn a_worker_that_cannot_reach_the_leader_has_its_heartbeats_relayed() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 160);
        cluster.submit(&job, 5.0).await;
        sleep_s(4.0).await;
        let leader = cluster.leader();
        let partitioned_worker = cluster.cloud.workers()[0].clone();
        cluster.net.partition(CONTROLLERS[leader], partitioned_worker.settings.name.as_str());
        sleep_s(12.0).await;
        let starts_before =
            cluster.history.start_count_on(partitioned_worker.settings.name.as_str());
        sleep_s(12.0).await;
        assert!(
            cluster.history.start_count_on(partitioned_worker.settings.name.as_str())
                > starts_before,
            "the machine gets tasks"
        );
        assert_eq!(partitioned_worker.agent_epoch(), AgentEpoch::new(1), "its lease never expired");
        assert_eq!(
            cluster.leader(),
            leader,
            "another worker reaches the leader, so leadership does not change"
        );
        cluster.wait_until_done(&job.id, 120.0).await;
    });
}

#[test]
fn machines_of_a_rental_with_a_lost_answer_are_discovered_and_used() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(4);
        cluster.cloud.is_losing_answers.set(true);
        let mut job = job_spec(1, 32);
        job.estimate_s = 60.0;
        cluster.submit(&job, 60.0).await;
        sleep_s(25.0).await;
        cluster.cloud.is_losing_answers.set(false);
        assert!(cluster.cloud.workers().len() > 1, "the rented machines have booted");
        assert!(cluster.history.running_tasks(&job.id) > 8, "the rented machines run tasks");
        cluster.wait_until_done(&job.id, 150.0).await;
    });
}

#[test]
fn a_job_completes_after_machines_are_reclaimed_without_notice() {
    scenario(3, |cluster| async move {
        let job = job_spec(1, 24);
        cluster.submit(&job, 12.0).await;
        sleep_s(6.0).await;
        let reclaimed: Vec<String> = cluster
            .cloud
            .workers()
            .iter()
            .take(2)
            .map(|worker| worker.settings.name.to_string())
            .collect();
        for name in &reclaimed {
            cluster.cloud.reclaim(name);
        }
        cluster.wait_until_done(&job.id, 120.0).await;
    });
}

#[test]
fn a_faulty_machine_is_deleted_and_a_failing_job_stays_queued_without_delaying_others() {
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
        assert!(workers[0].is_dead.get(), "the faulty machine was returned");
        let failing_job = job_spec(3, 4);
        cluster
            .submit_plan(JobPlan { spec: failing_job.clone(), run_s: 1.0, is_failing: true })
            .await;
        let other_job = job_spec(4, 400);
        cluster.submit(&other_job, 4.0).await;
        sleep_s(30.0).await;
        assert_eq!(cluster.status(&failing_job.id).await, Some(JobStatus::Queued));
        let claims = cluster.job_record(&failing_job.id).expect("unfinished").claims;
        assert!(claims >= 2, "claims without progress are counted: {claims}");
        cluster.wait_until_done(&other_job.id, 300.0).await;
    });
}
