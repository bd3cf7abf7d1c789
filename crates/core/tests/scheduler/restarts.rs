//! Tests of workers that restart without downtime and number their messages from the beginning,
//! while heartbeats of the previous process are delayed.

use crate::support::{
    config, empty_scheduler, first_job_id, heartbeat, heartbeat_from, heartbeat_over_connection,
    job_record, placed_task_count, placed_tasks, scheduler_with_start_sent,
    scheduler_with_start_sent_to, task_status,
};
use corkfield_core::{DirectPurpose, MachineState, Scheduler, Verdict};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, Revision, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Creates a scheduler with two machines and a job of one task. The worker of `host-1` sent its
/// first heartbeat and then others, which are delayed. The worker restarted without downtime, and
/// heartbeat 2 of the new process arrived first. Nothing distinguishes that heartbeat from one of
/// the previous process. The answer to heartbeat 2 carried the start of the task. Also returns the
/// attempt of that start.
fn scheduler_with_start_sent_after_restart(now: Instant) -> (Scheduler, Attempt) {
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 1, Vec::new()), true, now);
    scheduler.on_machine_record_written("host-2", true);
    (scheduler, attempt)
}

fn running(attempt: Attempt) -> TaskStatus {
    task_status(attempt, TaskPhase::Running, None)
}

/// Returns the machine and the attempt under which the task is placed.
fn task_placement(scheduler: &Scheduler) -> Option<(String, Attempt)> {
    let placement = placed_tasks(scheduler).get(&0)?;
    Some((placement.machine.to_string(), placement.attempt))
}

/// Guards against a task that runs twice: a delayed heartbeat of the previous process lacks the
/// start, and has a higher number than the heartbeat that was answered with it. If the heartbeat
/// counted as later, the start would count as lost, and the task would be started elsewhere.
/// According to the protocol the message with the higher number is the newer one, but a worker that
/// restarts its numbering violates this. See `docs/questions.md`.
#[test]
fn a_delayed_heartbeat_of_the_previous_process_does_not_prove_that_a_start_was_lost() {
    for (delay_s, sequence) in [(1, 3), (6, 4)] {
        let now = Instant::now();
        let (mut scheduler, attempt) = scheduler_with_start_sent_after_restart(now);
        let later = now + Duration::from_secs(delay_s);
        scheduler.on_heartbeat(&heartbeat_from("host-1", sequence, Vec::new()), true, later);
        scheduler.run_placement_pass(later);
        let placement = task_placement(&scheduler);
        assert_eq!(placement, Some(("host-1".into(), attempt)), "after {delay_s} s");
    }
}

/// Guards against releasing a task that a heartbeat has reported, because a delayed heartbeat of
/// the previous process lacks it. In one agent epoch a worker reports a task until it is ordered to
/// forget it. So a heartbeat without the task proves that there were two processes, and the machine
/// is deleted.
#[test]
fn a_machine_is_deleted_if_a_heartbeat_lacks_a_reported_task_of_the_same_agent_epoch() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_after_restart(now);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 3, vec![running(attempt)]), true, now);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 5, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    assert_eq!(task_placement(&scheduler), Some(("host-1".into(), attempt)));
    let machine = scheduler.machine("host-1").expect("a machine that is not deleted yet");
    assert_eq!(machine.state(), MachineState::Deleting);
    // The answered deletion proves that no task runs on the machine any more (S5b).
    scheduler.on_machines_deleted(&["host-1".into()]);
    scheduler.run_placement_pass(now);
    let new_machine = task_placement(&scheduler).map(|(machine, _)| machine);
    assert_eq!(new_machine.as_deref(), Some("host-2"));
}

/// Creates a scheduler whose only task was started on `host-1`, was lost when the worker's process
/// ended, and is assigned to `host-2`. Also returns a delayed heartbeat of the ended process, which
/// reports the task as done.
fn scheduler_with_late_result(now: Instant) -> (Scheduler, WorkerHeartbeat) {
    let (mut scheduler, attempt) = scheduler_with_start_sent_to(heartbeat_over_connection(1), now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 1, Vec::new()), true, now);
    scheduler.on_machine_record_written("host-2", true);
    scheduler.on_heartbeat(
        &heartbeat_from("host-1", 3, Vec::new()),
        heartbeat_over_connection(1),
        now,
    );
    scheduler.drain_machine("host-1");
    scheduler.run_placement_pass(now);
    let (machine, _) = task_placement(&scheduler).expect("a placed task");
    assert_eq!(machine, "host-2");
    let done = task_status(attempt, TaskPhase::Exited, Some(ExitCause::Done));
    (scheduler, heartbeat_from("host-1", 5, vec![done]))
}

/// Guards against starting a finished task again: its result arrives while the task is assigned to
/// another machine and its start was not sent yet.
#[test]
fn a_task_that_a_late_heartbeat_reports_as_done_is_released() {
    let now = Instant::now();
    let (mut scheduler, late_heartbeat) = scheduler_with_late_result(now);
    scheduler.on_heartbeat(&late_heartbeat, true, now);
    assert_eq!(placed_task_count(&scheduler), 0);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-2", AgentEpoch::FIRST, 2, true, now);
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against a finished task that keeps running: its result arrives after the task was started
/// on another machine.
#[test]
fn a_task_that_a_late_heartbeat_reports_as_done_is_stopped_on_its_new_machine() {
    let now = Instant::now();
    let (mut scheduler, late_heartbeat) = scheduler_with_late_result(now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-2", AgentEpoch::FIRST, 2, true, now);
    let [Order::Start { attempt: started, .. }] = orders[..] else { panic!("{orders:?}") };
    scheduler.on_heartbeat(&late_heartbeat, true, now);
    let orders = scheduler.orders_for_answer("host-2", AgentEpoch::FIRST, 2, true, now);
    let [Order::Stop { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    assert_eq!(attempt, started);
}

/// Runs a placement pass at `now` and returns the attempt under which the task is placed then.
fn attempt_after_pass(scheduler: &mut Scheduler, now: Instant) -> Option<Attempt> {
    scheduler.run_placement_pass(now);
    task_placement(scheduler).map(|(_, attempt)| attempt)
}

/// Creates a scheduler with term 7 and one machine that no earlier leader used. The worker learned
/// the term from the answer to its first heartbeat, and its second heartbeat was answered with the
/// start of the only task. Also returns the attempt of that start.
fn scheduler_with_start_sent_to_new_machine(now: Instant) -> (Scheduler, Attempt) {
    let mut scheduler = empty_scheduler(7);
    scheduler.on_heartbeat(&heartbeat(1, 0, Vec::new()), true, now);
    scheduler.on_machine_record_written("host-1", true);
    assert!(scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 1, true, now).is_empty());
    let record = job_record(1, 1);
    let finished = TaskSet::default();
    scheduler.on_job_claimed(record, finished, Revision::new(5), Duration::ZERO, now);
    scheduler.on_heartbeat(&heartbeat(2, 7, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 2, true, now);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    (scheduler, attempt)
}

/// Guards against a needless wait: if only one process of the worker can know our term, the message
/// numbers prove that a start was lost. Neither a known connection nor an answered inspection is
/// needed, which a machine that receives nothing could not provide.
#[test]
fn a_lost_start_is_replaced_at_once_if_only_one_process_can_know_our_term() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to_new_machine(now);
    scheduler.on_heartbeat(&heartbeat(3, 7, Vec::new()), true, now);
    assert!(attempt_after_pass(&mut scheduler, now).is_some_and(|newest| newest > attempt));
}

/// Guards against trusting message numbers when two processes may know our term: a process that
/// started since may have received direct orders that were not answered.
#[test]
fn a_start_stays_unconfirmed_after_direct_orders_that_another_process_may_have_received() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to_new_machine(now);
    let request = scheduler.begin_direct_request("host-1", DirectPurpose::Order, now);
    scheduler.on_direct_request_failed("host-1", request);
    scheduler.on_heartbeat(&heartbeat(3, 7, Vec::new()), true, now);
    assert_eq!(attempt_after_pass(&mut scheduler, now), Some(attempt));
}

/// Guards against treating an unanswered inspection like unanswered direct orders: an inspection
/// does not carry our term, so no other process can have learned the term from it.
#[test]
fn an_unanswered_inspection_leaves_the_term_known_to_one_process() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to_new_machine(now);
    let request = scheduler.begin_direct_request("host-1", DirectPurpose::Inspect, now);
    scheduler.on_direct_request_failed("host-1", request);
    scheduler.on_heartbeat(&heartbeat(3, 7, Vec::new()), true, now);
    assert!(attempt_after_pass(&mut scheduler, now).is_some_and(|newest| newest > attempt));
}

/// Guards against an inspection that is sent too early. If only message numbers indicate that a
/// start was lost, an inspection proves it, but only one that is sent when the worker would already
/// drop the answer that carried the start.
#[test]
fn an_inspection_proves_a_start_lost_once_the_worker_would_drop_the_answer_with_the_start() {
    for (inspected_after_s, is_proof) in [(3, false), (5, true)] {
        let now = Instant::now();
        let (mut scheduler, attempt) = scheduler_with_start_sent(now);
        let later = now + Duration::from_secs(inspected_after_s);
        scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), true, later);
        assert_eq!(attempt_after_pass(&mut scheduler, later), Some(attempt));
        let purposes: Vec<DirectPurpose> =
            scheduler.direct_request_targets().iter().map(|target| target.purpose).collect();
        assert_eq!(purposes.len(), usize::from(is_proof), "inspected only once this is a proof");
        assert!(purposes.iter().all(|purpose| *purpose == DirectPurpose::Inspect));
        let request = scheduler.begin_direct_request("host-1", DirectPurpose::Inspect, later);
        scheduler.on_direct_request_answered(&heartbeat(5, 1, Vec::new()), request, later);
        let newest = attempt_after_pass(&mut scheduler, later);
        assert_eq!(newest != Some(attempt), is_proof, "inspected after {inspected_after_s} s");
    }
}

/// Guards against a task that waits forever: heartbeats arrive from a machine, but no answer and no
/// direct request reaches it, so a start stays unconfirmed. The machine is deleted after the
/// duration of a lease.
#[test]
fn a_machine_with_an_unconfirmed_start_is_deleted_after_the_duration_of_a_lease() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    for round in 1..8 {
        let later = now + Duration::from_secs(5 * round);
        let number = 2 + round;
        let verdict = scheduler.on_heartbeat(&heartbeat(number, 1, Vec::new()), true, later);
        if verdict == Verdict::Accept {
            scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, number, true, later);
        }
        scheduler.tick(later);
        let state = scheduler.machine("host-1").expect("a known machine").state();
        let is_deleting = state == MachineState::Deleting;
        assert_eq!(is_deleting, round > 3, "after {} s", 5 * round);
        assert_eq!(task_placement(&scheduler).map(|(_, attempt)| attempt), Some(attempt));
    }
    scheduler.on_machines_deleted(&["host-1".into()]);
    assert_eq!(placed_task_count(&scheduler), 0);
}

/// Guards against releasing a running task: the previous process was in a later agent epoch than
/// the current one, so its numbers are higher, and its delayed heartbeat lacks the task. The
/// heartbeat is rejected, and the machine is inspected.
#[test]
fn a_delayed_heartbeat_of_a_later_agent_epoch_does_not_release_a_running_task() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![running(attempt)]), true, now);
    let mut delayed = heartbeat(2, 1, Vec::new());
    delayed.agent_epoch = AgentEpoch::new(2);
    scheduler.on_heartbeat(&delayed, true, now);
    assert_eq!(attempt_after_pass(&mut scheduler, now), Some(attempt));
    let request = scheduler.begin_direct_request("host-1", DirectPurpose::Inspect, now);
    scheduler.on_direct_request_answered(&heartbeat(4, 1, vec![running(attempt)]), request, now);
    assert_eq!(attempt_after_pass(&mut scheduler, now), Some(attempt), "the task still runs");
    assert!(scheduler.direct_request_targets().is_empty(), "no inspection is needed any more");
}

/// Guards against the same fault for a start that no heartbeat has reported yet.
#[test]
fn a_delayed_heartbeat_of_a_later_agent_epoch_does_not_prove_that_a_start_was_lost() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    let mut delayed = heartbeat(2, 1, Vec::new());
    delayed.agent_epoch = AgentEpoch::new(2);
    scheduler.on_heartbeat(&delayed, true, now);
    assert_eq!(attempt_after_pass(&mut scheduler, now), Some(attempt));
}

/// Guards against tasks that are never started again after a lease has expired: the worker is then
/// in its next agent epoch without any task. The answer to an inspection proves this.
#[test]
fn an_inspection_proves_that_a_later_agent_epoch_has_begun() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![running(attempt)]), true, now);
    let mut later_epoch = heartbeat(1, 1, Vec::new());
    later_epoch.agent_epoch = AgentEpoch::new(2);
    assert_eq!(scheduler.on_heartbeat(&later_epoch, true, now), Verdict::Stale);
    assert_eq!(scheduler.direct_request_targets().len(), 1);
    let request = scheduler.begin_direct_request("host-1", DirectPurpose::Inspect, now);
    later_epoch.sequence = 2;
    scheduler.on_direct_request_answered(&later_epoch, request, now);
    assert_eq!(placed_task_count(&scheduler), 0);
    assert!(attempt_after_pass(&mut scheduler, now).is_some_and(|newest| newest > attempt));
}

/// Guards against expiring a lease too early: a heartbeat that reports an earlier term than the
/// newest answer carried may have been written before that answer. It does not prove that the
/// answer renewed no lease, and the task that the answer started may still run.
#[test]
fn a_delayed_heartbeat_with_an_earlier_term_does_not_shorten_the_lease() {
    let start = Instant::now();
    let answered_at = start + Duration::from_secs(5);
    let mut scheduler = empty_scheduler(7);
    scheduler.on_heartbeat(&heartbeat(1, 0, Vec::new()), true, start);
    scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 1, true, start);
    scheduler.on_machine_record_written("host-1", true);
    let record = job_record(1, 1);
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, start);
    scheduler.on_heartbeat(&heartbeat(2, 0, Vec::new()), true, answered_at);
    scheduler.run_placement_pass(answered_at);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 2, true, answered_at);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    let delayed = heartbeat(4, 0, Vec::new());
    assert_eq!(scheduler.on_heartbeat(&delayed, true, answered_at), Verdict::AnswersInDoubt);
    let lease_end = answered_at + config().worker_lease;
    scheduler.tick(lease_end);
    assert_eq!(attempt_after_pass(&mut scheduler, lease_end), Some(attempt));
}

/// Guards against a finished task that is placed as running and also hides a waiting task of its
/// job. Before a new leader has claimed the job, a delayed heartbeat reports the task as running on
/// one machine, and another heartbeat reports it as done on a second machine. The order in which
/// the machines are examined must not matter.
#[test]
fn a_task_reported_as_running_and_as_done_before_its_job_is_claimed_is_stopped() {
    for (running_on, done_on) in [("host-1", "host-2"), ("host-2", "host-1")] {
        let now = Instant::now();
        let mut scheduler = empty_scheduler(1);
        scheduler.set_unclaimed_jobs(BTreeSet::from([first_job_id()]));
        let (first, second) = (Attempt::new(1), Attempt::new(2));
        let done = task_status(second, TaskPhase::Exited, Some(ExitCause::Done));
        scheduler.on_heartbeat(&heartbeat_from(running_on, 1, vec![running(first)]), true, now);
        scheduler.on_heartbeat(&heartbeat_from(done_on, 1, vec![done]), true, now);
        let record = job_record(2, 2);
        let finished = TaskSet::default();
        scheduler.on_job_claimed(record, finished, Revision::new(5), Duration::ZERO, now);
        assert_eq!(placed_task_count(&scheduler), 0, "running on {running_on}");
        assert_eq!(scheduler.job(&first_job_id()).expect("a claimed job").waiting_tasks(), 1);
        let orders = scheduler.orders_for_answer(running_on, AgentEpoch::FIRST, 1, false, now);
        assert!(matches!(orders[..], [Order::Stop { .. }]), "{orders:?}");
    }
}
