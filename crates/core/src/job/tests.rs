//! Tests of attempt numbers, the order of starts, the start watermark, job states and refunds.

use super::{CommitUrgency, Job, JobState};
use corkfield_wire::records::JobRecord;
use corkfield_wire::{Attempt, Generation, JobSpec, Revision, TaskSet};
use std::time::{Duration, Instant};

fn record(tasks: u32) -> JobRecord {
    let text = format!(
        "{{\"name_id\":\"j-000001\",\"pool\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\",\"rank\":\"normal\",\"pieces\":{tasks},\
         \"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"i\",\"image_gb\":0.5,\"same_place\":false,\
         \"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    let spec = JobSpec::parse(text.as_bytes()).expect("a valid submission");
    let mut record = JobRecord::new(spec, 0);
    record.claim("owner".into());
    record
}

fn claimed_job(record: JobRecord, now: Instant) -> Job {
    Job::new(record, TaskSet::default(), Revision::new(1), 0, Duration::ZERO, now)
}

#[test]
fn an_attempt_number_contains_its_generation() {
    let attempt = Attempt::in_generation(Generation::new(7), 3);
    assert_eq!(attempt.get(), (7 << 24) | 3);
    assert_eq!(Attempt::new(attempt.get()).generation(), Generation::new(7));
}

#[test]
fn attempt_numbers_of_a_later_claim_are_higher() {
    let now = Instant::now();
    let mut job = claimed_job(record(4), now);
    let first = job.next_attempt();
    let second = job.next_attempt();
    let mut reclaimed = job.record.clone();
    reclaimed.claim("owner".into());
    job.on_reclaimed(reclaimed, &TaskSet::default(), Revision::new(2), now);
    assert!(first < second && second < job.next_attempt());
}

#[test]
fn a_task_released_from_its_machine_is_started_before_new_tasks() {
    let mut job = claimed_job(record(4), Instant::now());
    let first = job.pop_startable_task(false).expect("a waiting task");
    job.place_task(first, "host-1", Attempt::new(1));
    assert_eq!(job.startable_tasks(false), 3);
    job.release_task(first, "host-1", Attempt::new(2));
    assert_eq!(job.startable_tasks(false), 3, "the release of another attempt has no effect");
    job.release_task(first, "host-1", Attempt::new(1));
    assert_eq!(job.startable_tasks(false), 4);
    assert_eq!(job.pop_startable_task(false), Some(first));
}

#[test]
fn only_tasks_at_or_above_the_previous_start_watermark_count_as_never_started() {
    let mut record = record(6);
    record.previous_start_watermark = 4;
    let mut job = claimed_job(record, Instant::now());
    assert_eq!(job.startable_tasks(true), 2);
    assert_eq!(job.pop_startable_task(true), Some(4));
    assert_eq!(job.pop_startable_task(false), Some(0));
}

#[test]
fn a_raise_of_the_start_watermark_is_requested_before_startable_tasks_run_out() {
    let now = Instant::now();
    let mut job = claimed_job(record(1000), now);
    let watermark = job.record.start_watermark;
    for index in 0..watermark - watermark / 4 {
        assert_eq!(job.commit_urgency(now), None, "before task {index}");
        assert_eq!(job.pop_startable_task(false), Some(index));
    }
    assert_eq!(job.commit_urgency(now), Some(CommitUrgency::Awaited));
    assert!(job.take_watermark_raise());
    assert!(!job.take_watermark_raise());
}

#[test]
fn a_closing_job_never_leaves_that_state() {
    let now = Instant::now();
    let mut job = claimed_job(record(1), now);
    job.back_off(now);
    assert!(matches!(job.state(), JobState::BackingOff(until) if until > now));
    job.transition_to(JobState::NeedsReclaim);
    job.on_reclaimed(record(1), &TaskSet::default(), Revision::new(2), now);
    assert_eq!(job.state(), JobState::Active);
    job.transition_to(JobState::Closing);
    job.transition_to(JobState::Active);
    assert_eq!(job.state(), JobState::Closing);
}

#[test]
fn a_claim_is_refunded_once_and_only_without_failures() {
    let now = Instant::now();
    let later = now + Duration::from_secs(11);
    let mut job = claimed_job(record(1), now);
    assert!(!job.take_refund(now));
    job.failures.add("host-1");
    assert!(!job.take_refund(later));
    let mut job = claimed_job(record(1), now);
    assert!(job.take_refund(later));
    assert!(!job.take_refund(later));
}
