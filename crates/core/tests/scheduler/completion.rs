//! Finished tasks are stored before they are forgotten, in small values, and each job in its turn.

use crate::support::{
    claim_job, first_job_id, heartbeat, heartbeat_from, job_record, scheduler,
    scheduler_with_machines, scheduler_with_start_sent, task_status,
};
use corkfield_core::{Action, CompletionCommit, MachineTaskState, Scheduler};
use corkfield_wire::records::JobRecord;
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
    let states: Vec<MachineTaskState> =
        scheduler.machine("host-1").expect("known").tasks.values().map(|task| task.state).collect();
    assert_eq!(states, [MachineTaskState::Done]);
    assert!(scheduler
        .take_actions()
        .iter()
        .any(|action| matches!(action, Action::StoreMachineRecord(..))));
}

#[test]
fn completion_commits_of_a_huge_job_stay_within_value_and_operation_limits() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(1);
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
    // Every second task: ranges can't be joined.
    for first in (0..100_000).step_by(4000) {
        sequence += 1;
        let done = (first..first + 4000).step_by(2).map(|index| TaskStatus {
            task: TaskId { job: first_job_id(), index },
            ..task_status(Attempt::new(1 << 24), TaskPhase::Exited, Some(ExitCause::Done))
        });
        scheduler.on_heartbeat(&heartbeat(sequence, 1, done.collect()), true, now);
        loop {
            // Between two writes of progress there is a pause.
            now += Duration::from_secs(1);
            let due = scheduler.due_completion_commits(4, now);
            let [completion_commit] = &due[..] else { break };
            assert!(completion_commit.chunks.len() <= 3, "operations in one transaction");
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
    assert_eq!(scheduler.job(&first_job_id()).expect("claimed").record.finished_count, 50_000);
}

#[test]
fn each_of_many_jobs_has_its_turn_to_be_stored_and_what_is_waited_for_comes_first() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_machines(50, start);
    for number in 1..=50 {
        claim_job(&mut scheduler, number, Priority::Normal, 400, start);
    }
    let last = JobId::parse("j-000050").expect("an id");
    let done = |number: usize| TaskStatus {
        task: TaskId { job: JobId::parse(&format!("j-{number:06}")).expect("an id"), index: 0 },
        ..task_status(Attempt::new(1 << 24), TaskPhase::Exited, Some(ExitCause::Done))
    };
    let reported = (1..=50).map(done).collect();
    scheduler.on_heartbeat(&heartbeat_from("host-0", 2, reported), true, start);
    // The last of them by id has begun all that its record allows.
    let mut announcing = JobRecord { start_watermark: 4, ..job_record(400, 1) };
    announcing.spec.id = JobId::parse("j-000099").expect("an id");
    announcing.spec.priority = Priority::High;
    scheduler.on_job_claimed(
        announcing,
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        start,
    );
    scheduler.run_placement_pass(start);
    let first = scheduler.due_completion_commits(1, start);
    assert_eq!(first[0].job.to_string(), "j-000099", "its other tasks wait for this");
    // Writes that fail come again, but not before all others had their turn.
    let mut stored: Vec<JobId> = Vec::new();
    for round in 1..=13 {
        let now = start + Duration::from_secs(round);
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.on_completion_commit_failed(&completion_commit.job, None);
            stored.push(completion_commit.job);
        }
    }
    assert!(stored.contains(&last), "{stored:?}");
}

/// A scheduler whose first job has a completion commit under way, and is claimed once more before
/// that is answered; with the commit.
fn scheduler_that_claimed_during_a_commit(now: Instant) -> (Scheduler, CompletionCommit) {
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

/// The commit was carried out before the claim, and its answer comes after it: taken as the
/// newest, its record brought back the generation and the version before the claim, on which no
/// later commit of the job could succeed.
#[test]
fn a_late_answer_to_a_commit_leaves_the_record_of_a_later_claim() {
    let now = Instant::now();
    let (mut scheduler, commit) = scheduler_that_claimed_during_a_commit(now);
    let commit = CompletionCommit { completes_job: false, ..commit };
    scheduler.on_completion_committed(&commit, Revision::new(6));
    let job = scheduler.job(&first_job_id()).expect("claimed");
    assert_eq!(job.record.generation, Generation::new(2));
    assert_eq!(job.version, Revision::new(7));
    assert!(job.is_stored(0), "the commit was carried out");
}

/// The same for a record that was read because the commit was not answered.
#[test]
fn a_record_read_before_a_later_claim_leaves_the_record_of_that_claim() {
    let now = Instant::now();
    let (mut scheduler, commit) = scheduler_that_claimed_during_a_commit(now);
    let record = JobRecord { owner: Some("owner".into()), ..commit.record.clone() };
    let read = (record, commit.record.finished.clone(), Revision::new(6));
    scheduler.on_completion_commit_failed(&commit.job, Some(read));
    let job = scheduler.job(&first_job_id()).expect("claimed");
    assert_eq!(job.record.generation, Generation::new(2));
    assert_eq!(job.version, Revision::new(7));
    assert!(job.is_stored(0), "the read showed it as done");
}

/// An operator releases a dead-lettered job while a write of its record is under way: the write is
/// refused, and the record read after it is of the same generation, but nobody's. Taken as ours it
/// was not claimed anew, as its version was known: the job stayed dead-lettered in the scheduler
/// alone, and ran no more while that leader led.
#[test]
fn a_record_that_an_operator_released_meanwhile_is_left_to_the_next_claim() {
    let now = Instant::now();
    let (mut scheduler, commit) = scheduler_that_claimed_during_a_commit(now);
    let claimed = scheduler.job(&first_job_id()).expect("claimed").record.clone();
    let released = JobRecord { owner: None, claims: 0, ..claimed };
    let read = (released, TaskSet::default(), Revision::new(8));
    scheduler.on_completion_commit_failed(&commit.job, Some(read));
    let version = scheduler.job(&first_job_id()).expect("claimed").version;
    assert_eq!(version, Revision::new(7), "the one that our claim rests on");
}

/// A claim that is held for 10 s without a failure is refunded (S12). The write that does so may be
/// refused, in an outage of the store for example, or while the leader has no budget: the refund
/// was forgotten then, and 13 failovers, each with such a write, dead-lettered a healthy job.
#[test]
fn a_refund_whose_write_failed_is_made_by_the_next_write_and_only_once() {
    let now = Instant::now();
    let after_s = |seconds: u64| now + Duration::from_secs(seconds);
    let mut scheduler = scheduler(1);
    let record = JobRecord { claims: 3, ..job_record(1, 4) };
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    let refused = scheduler.due_completion_commits(4, after_s(11)).remove(0);
    assert_eq!(refused.record.claims, 2);
    scheduler.on_completion_commit_failed(&refused.job, None);
    let stored = scheduler.due_completion_commits(4, after_s(13)).remove(0);
    assert_eq!(stored.record.claims, 2, "the refund is still due");
    scheduler.on_completion_committed(&stored, Revision::new(6));
    assert!(scheduler.due_completion_commits(4, after_s(30)).is_empty(), "refunded once");
    // Not answered, but carried out: found in the store.
    let record = JobRecord { claims: 2, ..job_record(1, 5) };
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(7), Duration::ZERO, now);
    let unanswered = scheduler.due_completion_commits(4, after_s(31)).remove(0);
    let found = (unanswered.record.clone(), TaskSet::default(), Revision::new(8));
    scheduler.on_completion_commit_failed(&unanswered.job, Some(found));
    assert!(scheduler.due_completion_commits(4, after_s(50)).is_empty(), "refunded once");
}
