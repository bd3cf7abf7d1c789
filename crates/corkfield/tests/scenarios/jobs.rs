//! Jobs from submission to completion: validation, limits, priorities, quotas and dead-lettering.

use crate::cluster::{job_spec, scenario, sleep_s, CANCEL_S};
use corkfield_fakes::JobPlan;
use corkfield_wire::records::final_record_key;
use corkfield_wire::user::PATH_JOBS;
use corkfield_wire::{JobStatus, Priority};
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn completed_jobs_stay_done_and_idle_machines_are_returned() {
    scenario(2, |cluster| async move {
        let jobs = [job_spec(1, 20), job_spec(2, 3)];
        for job in &jobs {
            assert_eq!(cluster.submit(job, 3.0).await, 201);
            assert_eq!(cluster.submit(job, 3.0).await, 200, "a repeated submission is recognized");
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 60.0).await;
            assert_eq!(cluster.submit(job, 3.0).await, 200);
            assert!(cluster.job_record(&job.id).is_none(), "only the final record is kept");
            assert!(cluster.store.value(&final_record_key(&job.id)).is_some());
        }
        // Idle machines are returned.
        sleep_s(120.0).await;
        assert!(cluster.cloud.workers().is_empty());
    });
}

/// Returns submissions that are invalid or barely valid, each with the expected status.
fn boundary_submissions() -> Vec<(Vec<u8>, u16)> {
    let as_json = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut value = serde_json::to_value(job_spec(2, 2)).expect("serializable");
        change(&mut value);
        serde_json::to_vec(&value).expect("serializable")
    };
    vec![
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
    ]
}

#[test]
fn invalid_requests_are_refused_but_accepted_ids_are_recognized_first() {
    scenario(1, |cluster| async move {
        let valid_job = job_spec(1, 2);
        cluster.submit(&valid_job, 2.0).await;
        for (body, expected) in boundary_submissions() {
            let text = String::from_utf8_lossy(&body).into_owned();
            let answer =
                cluster.request(1, "POST", PATH_JOBS, &body).await.map(|(status, _)| status);
            assert_eq!(answer, Some(expected), "{text}");
        }
        // S2: a submission with the id of an accepted job is never refused, even if it is invalid.
        let incomplete = format!("{{\"name_id\":\"{}\"}}", valid_job.id);
        assert_eq!(
            cluster
                .request(2, "POST", PATH_JOBS, incomplete.as_bytes())
                .await
                .map(|(status, _)| status),
            Some(200)
        );
        for path in ["/submissions/j-777777", "/submissions/nonsense", "/nowhere"] {
            assert_eq!(
                cluster.request(0, "GET", path, b"").await.map(|(status, _)| status),
                Some(404),
                "{path}"
            );
        }
        assert_eq!(
            cluster.request(0, "DELETE", PATH_JOBS, b"").await.map(|(status, _)| status),
            Some(405)
        );
        assert_eq!(
            cluster
                .request(0, "POST", "/agent/beat", b"{\"host\":1}")
                .await
                .map(|(status, _)| status),
            Some(400)
        );
    });
}

#[test]
fn a_job_of_a_hundred_thousand_tasks_stays_within_the_store_limits_and_survives_a_failover() {
    scenario(4, |cluster| async move {
        let mut job = job_spec(1, 100_000);
        job.cpus = 0.1;
        job.memory_gb = 0.1;
        assert_eq!(cluster.submit(&job, 0.4).await, 201);
        sleep_s(40.0).await;
        let done_before = cluster.job_record(&job.id).expect("unfinished").finished_count;
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.3).await;
        sleep_s(20.0).await;
        let done_after = cluster.job_record(&job.id).expect("unfinished").finished_count;
        assert!(done_before > 500 && done_after > done_before, "{done_before} then {done_after}");
        assert!(cluster.store.max_value_bytes() < 16 * 1024);
        assert!(cluster.store.max_transaction_changes() <= 12);
        assert_eq!(cluster.cancel(&job.id).await, Some(JobStatus::Cancelled));
        sleep_s(CANCEL_S).await;
    });
}

#[test]
fn a_job_at_the_claim_limit_is_dead_lettered_and_can_be_released_or_cancelled() {
    scenario(2, |cluster| async move {
        let failing = job_spec(1, 2);
        cluster.submit_plan(JobPlan { spec: failing.clone(), run_s: 1.0, is_failing: true }).await;
        let mut waited = 0;
        while !cluster.job_record(&failing.id).is_some_and(|r| r.dead_lettered) {
            sleep_s(20.0).await;
            waited += 1;
            assert!(
                waited < 120,
                "the job is never dead-lettered: {:?}",
                cluster.job_record(&failing.id)
            );
        }
        assert_eq!(cluster.job_record(&failing.id).expect("kept").claims, 13);
        assert_eq!(
            cluster.status(&failing.id).await,
            Some(JobStatus::Queued),
            "a dead-lettered job has no final status"
        );
        let release = format!("/operator/release/{}", failing.id);
        assert_eq!(
            cluster.request(0, "POST", &release, b"").await.map(|(status, _)| status),
            Some(200)
        );
        sleep_s(5.0).await;
        assert!(!cluster.job_record(&failing.id).expect("kept").dead_lettered);
        assert_eq!(cluster.cancel(&failing.id).await, Some(JobStatus::Cancelled));
    });
}

#[test]
fn a_high_priority_job_preempts_a_low_priority_job() {
    scenario(1, |cluster| async move {
        cluster.cloud.capacity.set(1);
        let mut low = job_spec(1, 8);
        low.priority = Priority::Low;
        cluster.submit(&low, 300.0).await;
        sleep_s(5.0).await;
        assert_eq!(cluster.history.running_tasks(&low.id), 8);
        let mut high = job_spec(2, 2);
        high.priority = Priority::High;
        high.cpus = 4.0;
        cluster.submit(&high, 5.0).await;
        cluster.wait_until_done(&high.id, 40.0).await;
    });
}

#[test]
fn a_team_quota_is_not_exceeded_during_failovers() {
    scenario(3, |cluster| async move {
        let mut jobs = Vec::new();
        for number in 1..4 {
            let mut job = job_spec(number, 5);
            job.team = "capped".to_owned();
            cluster.submit(&job, 9.0).await;
            jobs.push(job);
        }
        sleep_s(4.0).await;
        for _ in 0..2 {
            let leader = cluster.leader();
            cluster.restart_controller(leader, 0.5).await;
            sleep_s(7.0).await;
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 150.0).await;
        }
    });
}

/// Guards against jobs that are not reported as done while users ask much, because the deletion of
/// large arrays' records, which waits in the lowest class, holds the places for commits.
#[test]
fn finished_jobs_are_reported_while_users_ask_much_and_large_arrays_end() {
    scenario(40, |cluster| async move {
        let arrays: Vec<_> = (1..9).map(|number| job_spec(number, 1030)).collect();
        for job in &arrays {
            cluster.submit(job, 0.2).await;
        }
        let is_over = Rc::new(Cell::new(false));
        cluster.ask_without_pause(cluster.leader(), &is_over);
        for job in &arrays {
            cluster.wait_until_done(&job.id, 120.0).await;
        }
        let small = job_spec(20, 2);
        cluster.submit(&small, 1.0).await;
        cluster.wait_until_done(&small.id, 30.0).await;
        is_over.set(true);
    });
}
