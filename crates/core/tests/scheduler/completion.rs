//! Tests of completion commits: finished tasks are stored before workers forget them, each commit
//! stays within the store's limits, and every job is committed.

use crate::support::{
    claim_job, empty_scheduler, first_job_id, heartbeat, heartbeat_from, job_record,
    scheduler_with_machines, scheduler_with_start_sent, task_status,
};
use corkfield_core::{Action, CompletionCommit, MachineTaskState, Scheduler};
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus};
use corkfield_wire::{AgentEpoch, Attempt, Generation, JobId, Priority, Revision, TaskId, TaskSet};
use std::time::{Duration, Instant};

#[test]
fn a_finished_task_is_stored_before_it_is_forgotten() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    let done = task_status(attempt, TaskPhase::Exited, Some(ExitCause::Done));
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![done.clone()]), true, now);
    assert!(
        scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 3, true, now).is_empty(),
        "S9"
    );
    let due = scheduler.due_completion_commits(4, now);
    assert!(due[0].completes_job);
    scheduler.on_completion_committed(&due[0], Revision::new(6));
    scheduler.on_heartbeat(&heartbeat(4, 1, vec![done]), true, now);
    assert!(matches!(
        scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 4, true, now)[..],
        [Order::Forget { .. }]
    ));
    let states: Vec<MachineTaskState> = scheduler
        .machine("host-1")
        .expect("a known machine")
        .tasks
        .values()
        .map(|task| task.state)
        .collect();
    assert_eq!(states, [MachineTaskState::Done]);
    assert!(scheduler
        .take_actions()
        .iter()
        .any(|action| matches!(action, Action::StoreMachineRecord(..))));
}

#[test]
fn completion_commits_of_a_huge_job_stay_within_value_and_operation_limits() {
    let mut now = Instant::now();
    let mut scheduler = empty_scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
    scheduler.on_job_claimed(
        job_record(100_000, 1),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    let mut sequence = 1;
    let mut version = Revision::new(5);
    let mut stored = 0;
    // Only every second task completes, so that no task indices can be stored as a range.
    for first in (0..100_000).step_by(4000) {
        sequence += 1;
        let done = (first..first + 4000).step_by(2).map(|index| TaskStatus {
            task: TaskId { job: first_job_id(), index },
            ..task_status(Attempt::new(1 << 24), TaskPhase::Exited, Some(ExitCause::Done))
        });
        scheduler.on_heartbeat(&heartbeat(sequence, 1, done.collect()), true, now);
        loop {
            // Commits that only store progress are made at intervals.
            now += Duration::from_secs(1);
            let due = scheduler.due_completion_commits(4, now);
            let [completion_commit] = &due[..] else { break };
            assert!(completion_commit.chunks.len() <= 3, "too many operations in one transaction");
            for (_, set) in &completion_commit.chunks {
                assert!(String::from(set.clone()).len() < 8 * 1024);
            }
            assert!(String::from(completion_commit.record.finished.clone()).len() < 1024);
            stored += completion_commit.tasks.len();
            version = version.next();
            scheduler.on_completion_committed(completion_commit, version);
        }
    }
    assert_eq!(stored, 50_000);
    assert_eq!(
        scheduler.job(&first_job_id()).expect("a claimed job").record.finished_count,
        50_000
    );
}

#[test]
fn awaited_commits_come_first_and_each_of_many_jobs_is_committed() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_machines(50, start);
    for number in 1..=50 {
        claim_job(&mut scheduler, number, Priority::Normal, 400, start);
    }
    let last = JobId::parse("j-000050").expect("a valid job id");
    let done = |number: usize| TaskStatus {
        task: TaskId {
            job: JobId::parse(&format!("j-{number:06}")).expect("a valid job id"),
            index: 0,
        },
        ..task_status(Attempt::new(1 << 24), TaskPhase::Exited, Some(ExitCause::Done))
    };
    let reported = (1..=50).map(done).collect();
    scheduler.on_heartbeat(&heartbeat_from("host-0", 2, reported), true, start);
    // The job with the highest id has started all tasks below its start watermark.
    let mut job_at_watermark = JobRecord { start_watermark: 4, ..job_record(400, 1) };
    job_at_watermark.spec.id = JobId::parse("j-000099").expect("a valid job id");
    job_at_watermark.spec.priority = Priority::High;
    scheduler.on_job_claimed(
        job_at_watermark,
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        start,
    );
    scheduler.run_placement_pass(start);
    let first = scheduler.due_completion_commits(1, start);
    assert_eq!(
        first[0].job.to_string(),
        "j-000099",
        "the other tasks of this job can't start before its commit"
    );
    // A failed commit is retried only after the commits of all other jobs.
    let mut attempted: Vec<JobId> = Vec::new();
    for round in 1..=13 {
        let now = start + Duration::from_secs(round);
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.on_completion_commit_failed(&completion_commit.job, None);
            attempted.push(completion_commit.job);
        }
    }
    assert!(attempted.contains(&last), "{attempted:?}");
}

/// Creates a scheduler whose first job was claimed again while a completion commit of the job was
/// in flight. Also returns the commit, which is not answered yet.
fn scheduler_with_claim_during_commit(now: Instant) -> (Scheduler, CompletionCommit) {
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    let done = task_status(attempt, TaskPhase::Exited, Some(ExitCause::Done));
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![done]), true, now);
    let commit = scheduler.due_completion_commits(4, now).remove(0);
    let record = JobRecord {
        generation: Generation::new(2),
        owner: Some("owner".into()),
        ..commit.record.clone()
    };
    let finished = record.finished.clone();
    scheduler.on_job_claimed(record, finished, Revision::new(7), Duration::ZERO, now);
    (scheduler, commit)
}

/// Guards against a record that goes back to the generation and version before a claim, after which
/// the store refuses every commit of the job. This happens if a commit is carried out before the
/// claim, but its answer arrives after the claim's.
#[test]
fn a_late_answer_to_a_commit_does_not_replace_the_record_of_a_later_claim() {
    let now = Instant::now();
    let (mut scheduler, commit) = scheduler_with_claim_during_commit(now);
    let commit = CompletionCommit { completes_job: false, ..commit };
    scheduler.on_completion_committed(&commit, Revision::new(6));
    let job = scheduler.job(&first_job_id()).expect("a claimed job");
    assert_eq!(job.record.generation, Generation::new(2));
    assert_eq!(job.version, Revision::new(7));
    assert!(job.is_stored(0), "the commit was carried out, so its task is stored");
}

/// Guards against the same fault if the commit is not answered, and the record that is read instead
/// is older than the claim.
#[test]
fn a_record_read_before_a_later_claim_does_not_replace_the_record_of_that_claim() {
    let now = Instant::now();
    let (mut scheduler, commit) = scheduler_with_claim_during_commit(now);
    let record = JobRecord { owner: Some("owner".into()), ..commit.record.clone() };
    let read = (record, commit.record.finished.clone(), Revision::new(6));
    scheduler.on_completion_commit_failed(&commit.job, Some(read));
    let job = scheduler.job(&first_job_id()).expect("a claimed job");
    assert_eq!(job.record.generation, Generation::new(2));
    assert_eq!(job.version, Revision::new(7));
    assert!(job.is_stored(0), "the record shows the task as done");
}

/// Guards against a released job that stays dead-lettered in the scheduler until the next failover.
/// An operator releases the job while a commit of its record is in flight. The commit is refused,
/// and the record that is read afterwards has the same generation but no owner. If its version were
/// adopted, the job would not be claimed again.
#[test]
fn the_version_of_a_record_that_an_operator_released_is_not_adopted() {
    let now = Instant::now();
    let (mut scheduler, commit) = scheduler_with_claim_during_commit(now);
    let claimed = scheduler.job(&first_job_id()).expect("a claimed job").record.clone();
    let released = JobRecord { owner: None, claims: 0, ..claimed };
    let read = (released, TaskSet::default(), Revision::new(8));
    scheduler.on_completion_commit_failed(&commit.job, Some(read));
    let version = scheduler.job(&first_job_id()).expect("a claimed job").version;
    assert_eq!(version, Revision::new(7), "the version of our claim");
}

/// Guards against a healthy job that is dead-lettered because refunds were forgotten, which took 13
/// failovers, each with a failed commit. A claim that is held for 10 s without a failure is
/// refunded (S12). The commit that stores the refund may fail, for example in an outage of the
/// store or because the leader's request budget is used up. The refund must then be part of the
/// next commit.
#[test]
fn a_refund_whose_commit_failed_is_part_of_the_next_commit_and_made_only_once() {
    let now = Instant::now();
    let after_s = |seconds: u64| now + Duration::from_secs(seconds);
    let mut scheduler = empty_scheduler(1);
    let record = JobRecord { claims: 3, ..job_record(1, 4) };
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    let refused = scheduler.due_completion_commits(4, after_s(11)).remove(0);
    assert_eq!(refused.record.claims, 2);
    scheduler.on_completion_commit_failed(&refused.job, None);
    let stored = scheduler.due_completion_commits(4, after_s(13)).remove(0);
    assert_eq!(stored.record.claims, 2, "the refund is still due");
    scheduler.on_completion_committed(&stored, Revision::new(6));
    assert!(
        scheduler.due_completion_commits(4, after_s(30)).is_empty(),
        "the claim is refunded only once"
    );
    // A commit that was carried out but not answered is found in the store.
    let record = JobRecord { claims: 2, ..job_record(1, 5) };
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(7), Duration::ZERO, now);
    let unanswered = scheduler.due_completion_commits(4, after_s(31)).remove(0);
    let found = (unanswered.record.clone(), TaskSet::default(), Revision::new(8));
    scheduler.on_completion_commit_failed(&unanswered.job, Some(found));
    assert!(
        scheduler.due_completion_commits(4, after_s(50)).is_empty(),
        "the claim is refunded only once"
    );
}

/// Reports tasks of the first job as done on `host-1`.
fn report_done(
    scheduler: &mut Scheduler,
    sequence: u64,
    tasks: std::ops::Range<u32>,
    now: Instant,
) {
    let done = tasks.map(|index| TaskStatus {
        task: TaskId { job: first_job_id(), index },
        ..task_status(Attempt::new(1 << 24), TaskPhase::Exited, Some(ExitCause::Done))
    });
    scheduler.on_heartbeat(&heartbeat(sequence, 1, done.collect()), true, now);
}

/// Guards against a large job that is done before its tasks are. A commit is carried out but not
/// answered, and the job is claimed again before the leader gives up the answer. The claimed record
/// counts the tasks of the commit, so they must not be added to the count once more.
#[test]
fn tasks_of_an_unanswered_commit_are_counted_once_after_the_next_claim() {
    let now = Instant::now();
    let tasks = CHUNK_TASKS + 10;
    let mut scheduler = empty_scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
    let claimed = job_record(tasks, 1);
    scheduler.on_job_claimed(claimed, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    report_done(&mut scheduler, 2, 0..20, now);
    let unanswered = scheduler.due_completion_commits(4, now).remove(0);
    assert_eq!(unanswered.record.finished_count, 20);
    // The leader claims the job again, from the record that the commit has written.
    let record = JobRecord { generation: Generation::new(2), ..unanswered.record.clone() };
    let stored = unanswered.chunks[0].1.clone();
    scheduler.on_job_claimed(record, stored, Revision::new(7), Duration::ZERO, now);
    scheduler.on_completion_commit_failed(&first_job_id(), None);
    assert!(scheduler.job(&first_job_id()).expect("a claimed job").is_stored(19));
    report_done(&mut scheduler, 3, 20..25, now);
    let next = scheduler.due_completion_commits(4, now + Duration::from_secs(1)).remove(0);
    assert_eq!(next.record.finished_count, 25);
    assert_eq!(next.tasks, [20, 21, 22, 23, 24]);
}

/// Guards against the same fault in records that were written before it was fixed: a count that is
/// too high is corrected by the next commit, from the stored set of finished tasks.
#[test]
fn a_stored_count_that_is_too_high_is_corrected_from_the_set_of_finished_tasks() {
    let now = Instant::now();
    let tasks = CHUNK_TASKS + 10;
    let mut scheduler = empty_scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
    let record = JobRecord { finished_count: tasks - 1, ..job_record(tasks, 2) };
    let stored = TaskSet::try_from("0-19".to_owned()).expect("a task set");
    scheduler.on_job_claimed(record, stored, Revision::new(5), Duration::ZERO, now);
    report_done(&mut scheduler, 2, 20..25, now);
    let next = scheduler.due_completion_commits(4, now).remove(0);
    assert_eq!(next.record.finished_count, 25);
    assert!(!next.completes_job);
}
