//! Workers that are back within an instant and count their messages anew, while heartbeats of the
//! former process are held back.

use crate::support::{
    active_task_count, active_tasks, config, first_job_id, heartbeat, heartbeat_from, job_record,
    over_connection, scheduler, scheduler_with_start_sent, scheduler_with_start_sent_to,
    task_status,
};
use corkfield_core::{DirectPurpose, MachineState, Scheduler, Verdict};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, Revision, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A scheduler of two machines with a job of one task. `host-1` sent its first heartbeat, went on
/// sending others that are held back, was back within an instant, and its new process sent its
/// second heartbeat, the first that arrives: nothing tells it from the process before. Its answer
/// carried the start of the task.
fn scheduler_with_start_sent_after_restart(now: Instant) -> (Scheduler, Attempt) {
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 1, Vec::new()), true, now);
    scheduler.on_machine_record_written("host-2", true);
    (scheduler, attempt)
}

fn running(attempt: Attempt) -> TaskStatus {
    task_status(attempt, TaskPhase::Running, None)
}

/// The machine and the attempt under which the task may be running.
fn place_of_task(scheduler: &Scheduler) -> Option<(String, Attempt)> {
    let placed = active_tasks(scheduler).get(&0)?;
    Some((placed.machine.to_string(), placed.attempt))
}

/// The former process's heartbeats lack the start, and have higher numbers than the one it was
/// sent with: they settle it as lost, and the task is started elsewhere beside the one that runs.
/// Nothing in the messages tells the processes apart; the protocol says that the message with the
/// larger number is the newer one, which a worker that counts anew does not keep to. See
/// `docs/questions.md`.
#[test]
fn a_held_back_heartbeat_of_a_former_process_settles_no_start() {
    for (arrives_after_s, sequence) in [(1, 3), (6, 4)] {
        let now = Instant::now();
        let (mut scheduler, attempt) = scheduler_with_start_sent_after_restart(now);
        let later = now + Duration::from_secs(arrives_after_s);
        scheduler.on_heartbeat(&heartbeat_from("host-1", sequence, Vec::new()), true, later);
        scheduler.run_placement_pass(later);
        let place = place_of_task(&scheduler);
        assert_eq!(place, Some(("host-1".into(), attempt)), "after {arrives_after_s} s");
    }
}

/// The same once a heartbeat has shown the task. A task stays in the heartbeats of an agent epoch
/// until its worker was ordered to forget it: one that is gone was lost with its process.
#[test]
fn a_heartbeat_that_lacks_a_task_shown_before_frees_nothing_and_the_machine_is_returned() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_after_restart(now);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 3, vec![running(attempt)]), true, now);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 5, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    assert_eq!(place_of_task(&scheduler), Some(("host-1".into(), attempt)));
    let machine = scheduler.machine("host-1").expect("not deleted yet");
    assert_eq!(machine.state(), MachineState::Deleting);
    // The answered deletion shows that nothing of it runs any more (S5b).
    scheduler.on_machines_deleted(&["host-1".into()]);
    scheduler.run_placement_pass(now);
    let moved = place_of_task(&scheduler).map(|(machine, _)| machine);
    assert_eq!(moved.as_deref(), Some("host-2"));
}

/// A scheduler whose only task was lost with host-1's process, and was assigned to `host-2`; and
/// the heartbeat of that process, held back, that shows it as done.
fn scheduler_with_task_done_before_it_was_lost(now: Instant) -> (Scheduler, WorkerHeartbeat) {
    let (mut scheduler, attempt) = scheduler_with_start_sent_to(over_connection(1), now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 1, Vec::new()), true, now);
    scheduler.on_machine_record_written("host-2", true);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 3, Vec::new()), over_connection(1), now);
    scheduler.drain_machine("host-1");
    scheduler.run_placement_pass(now);
    let (machine, _) = place_of_task(&scheduler).expect("placed anew");
    assert_eq!(machine, "host-2");
    let done = task_status(attempt, TaskPhase::Exited, Some(ExitCause::Done));
    (scheduler, heartbeat_from("host-1", 5, vec![done]))
}

/// A task whose result comes late, while it is assigned to another machine, starts nowhere.
#[test]
fn a_task_that_a_late_heartbeat_shows_as_done_is_not_started_again() {
    let now = Instant::now();
    let (mut scheduler, late) = scheduler_with_task_done_before_it_was_lost(now);
    scheduler.on_heartbeat(&late, true, now);
    assert_eq!(active_task_count(&scheduler), 0);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-2", AgentEpoch::FIRST, 2, true, now);
    assert!(orders.is_empty(), "{orders:?}");
}

/// The same once its start has left: it is stopped with the machine's next answer.
#[test]
fn a_task_that_a_late_heartbeat_shows_as_done_is_stopped_where_it_was_started_again() {
    let now = Instant::now();
    let (mut scheduler, late) = scheduler_with_task_done_before_it_was_lost(now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-2", AgentEpoch::FIRST, 2, true, now);
    let [Order::Start { attempt: started, .. }] = orders[..] else { panic!("{orders:?}") };
    scheduler.on_heartbeat(&late, true, now);
    let orders = scheduler.orders_for_answer("host-2", AgentEpoch::FIRST, 2, true, now);
    let [Order::Stop { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    assert_eq!(attempt, started);
}

/// The place of the task after a placement pass at that time.
fn place_after_pass(scheduler: &mut Scheduler, now: Instant) -> Option<Attempt> {
    scheduler.run_placement_pass(now);
    place_of_task(scheduler).map(|(_, attempt)| attempt)
}

/// A scheduler under term 7 whose only machine was new to it. It took our term from the answer to
/// its first heartbeat, and its second one was answered with the start of the only task.
fn scheduler_with_start_sent_to_new_machine(now: Instant) -> (Scheduler, Attempt) {
    let mut scheduler = scheduler(7);
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

/// Where only one process of a worker can know our term, a lost start waits for no proof: a
/// connection, or an answer to a question, which a machine that receives nothing can't give.
#[test]
fn a_lost_start_is_settled_at_once_where_only_one_process_can_know_our_term() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to_new_machine(now);
    scheduler.on_heartbeat(&heartbeat(3, 7, Vec::new()), true, now);
    assert!(place_after_pass(&mut scheduler, now).is_some_and(|again| again > attempt));
}

/// Direct orders without an answer may have told our term to a process that began since: heartbeats
/// of the one before no longer settle anything by their numbers.
#[test]
fn a_start_stays_in_doubt_after_direct_orders_that_another_process_may_have_taken() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to_new_machine(now);
    let exchange = scheduler.begin_direct_exchange("host-1", DirectPurpose::Order, now);
    scheduler.on_direct_exchange_failed("host-1", exchange);
    scheduler.on_heartbeat(&heartbeat(3, 7, Vec::new()), true, now);
    assert_eq!(place_after_pass(&mut scheduler, now), Some(attempt));
}

/// A question says nothing of our term, so one without an answer leaves no doubt behind.
#[test]
fn a_question_without_an_answer_raises_no_doubt() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to_new_machine(now);
    let exchange = scheduler.begin_direct_exchange("host-1", DirectPurpose::Inspect, now);
    scheduler.on_direct_exchange_failed("host-1", exchange);
    scheduler.on_heartbeat(&heartbeat(3, 7, Vec::new()), true, now);
    assert!(place_after_pass(&mut scheduler, now).is_some_and(|again| again > attempt));
}

/// A lost start of which nothing but numbers tells is settled by the answer to a question, asked
/// once the worker no longer takes the answer that carried it; not by one asked before.
#[test]
fn a_question_settles_a_start_once_its_answer_is_no_longer_taken() {
    for (asked_after_s, settles) in [(3, false), (5, true)] {
        let now = Instant::now();
        let (mut scheduler, attempt) = scheduler_with_start_sent(now);
        let later = now + Duration::from_secs(asked_after_s);
        scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), true, later);
        assert_eq!(place_after_pass(&mut scheduler, later), Some(attempt));
        let asked: Vec<DirectPurpose> =
            scheduler.fence_targets().iter().map(|target| target.purpose).collect();
        assert_eq!(asked.len(), usize::from(settles), "asked once that settles it");
        assert!(asked.iter().all(|purpose| *purpose == DirectPurpose::Inspect));
        let exchange = scheduler.begin_direct_exchange("host-1", DirectPurpose::Inspect, later);
        scheduler.on_direct_orders_answer(&heartbeat(5, 1, Vec::new()), exchange, later);
        let place = place_after_pass(&mut scheduler, later);
        assert_eq!(place != Some(attempt), settles, "asked after {asked_after_s} s");
    }
}

/// Heartbeats come, no answer and no question reaches the machine, and its start stays in doubt: it
/// is returned after a lease, so that its task does not wait for ever.
#[test]
fn a_machine_whose_start_stays_in_doubt_for_a_lease_is_returned() {
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
        let returned = scheduler.machine("host-1").expect("known").state();
        let is_returned = returned == MachineState::Deleting;
        assert_eq!(is_returned, round > 3, "after {} s", 5 * round);
        assert_eq!(place_of_task(&scheduler).map(|(_, attempt)| attempt), Some(attempt));
    }
    scheduler.on_machines_deleted(&["host-1".into()]);
    assert_eq!(active_task_count(&scheduler), 0);
}

/// The former process was in a later agent epoch than the present one: its numbers are above all,
/// and its heartbeat lacks what runs. It is not taken, and the machine is asked.
#[test]
fn a_held_back_heartbeat_of_a_later_agent_epoch_frees_no_task() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![running(attempt)]), true, now);
    let mut held_back = heartbeat(2, 1, Vec::new());
    held_back.agent_epoch = AgentEpoch::new(2);
    scheduler.on_heartbeat(&held_back, true, now);
    assert_eq!(place_after_pass(&mut scheduler, now), Some(attempt));
    let exchange = scheduler.begin_direct_exchange("host-1", DirectPurpose::Inspect, now);
    scheduler.on_direct_orders_answer(&heartbeat(4, 1, vec![running(attempt)]), exchange, now);
    assert_eq!(place_after_pass(&mut scheduler, now), Some(attempt), "it runs on");
    assert!(scheduler.fence_targets().is_empty(), "nothing is in doubt any more");
}

/// The same for a start that no heartbeat has shown.
#[test]
fn a_held_back_heartbeat_of_a_later_agent_epoch_settles_no_start() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    let mut held_back = heartbeat(2, 1, Vec::new());
    held_back.agent_epoch = AgentEpoch::new(2);
    scheduler.on_heartbeat(&held_back, true, now);
    assert_eq!(place_after_pass(&mut scheduler, now), Some(attempt));
}

/// A worker whose lease has run out is in its next agent epoch; the answer to a question proves it,
/// and its tasks are placed anew.
#[test]
fn a_question_proves_that_a_later_agent_epoch_has_begun() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![running(attempt)]), true, now);
    let mut next = heartbeat(1, 1, Vec::new());
    next.agent_epoch = AgentEpoch::new(2);
    assert_eq!(scheduler.on_heartbeat(&next, true, now), Verdict::Stale);
    assert_eq!(scheduler.fence_targets().len(), 1);
    let exchange = scheduler.begin_direct_exchange("host-1", DirectPurpose::Inspect, now);
    next.sequence = 2;
    scheduler.on_direct_orders_answer(&next, exchange, now);
    assert_eq!(active_task_count(&scheduler), 0);
    assert!(place_after_pass(&mut scheduler, now).is_some_and(|again| again > attempt));
}

/// A heartbeat without our term that comes after an answer under it may have been held back from
/// before: it does not show that the answer renewed no lease, and what the answer started runs on.
#[test]
fn a_held_back_heartbeat_without_our_term_shortens_no_lease() {
    let start = Instant::now();
    let answered = start + Duration::from_secs(5);
    let mut scheduler = scheduler(7);
    scheduler.on_heartbeat(&heartbeat(1, 0, Vec::new()), true, start);
    scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 1, true, start);
    scheduler.on_machine_record_written("host-1", true);
    let record = job_record(1, 1);
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, start);
    scheduler.on_heartbeat(&heartbeat(2, 0, Vec::new()), true, answered);
    scheduler.run_placement_pass(answered);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 2, true, answered);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    let held_back = heartbeat(4, 0, Vec::new());
    assert_eq!(scheduler.on_heartbeat(&held_back, true, answered), Verdict::AnswersInDoubt);
    let before_its_lease_ends = answered + config().worker_lease;
    scheduler.tick(before_its_lease_ends);
    assert_eq!(place_after_pass(&mut scheduler, before_its_lease_ends), Some(attempt));
}

/// A new leader learns that a task runs on one machine, from a heartbeat that was held back, and is
/// done on another, before it has claimed the job: whichever it looks at first, nothing of the task
/// goes on. It was placed as running, which also hid one other task that waits.
#[test]
fn a_task_reported_as_done_and_as_running_before_its_claim_is_done_and_stopped() {
    for (running_on, done_on) in [("host-1", "host-2"), ("host-2", "host-1")] {
        let now = Instant::now();
        let mut scheduler = scheduler(1);
        scheduler.set_unclaimed_jobs(BTreeSet::from([first_job_id()]));
        let (first, second) = (Attempt::new(1), Attempt::new(2));
        let done = task_status(second, TaskPhase::Exited, Some(ExitCause::Done));
        scheduler.on_heartbeat(&heartbeat_from(running_on, 1, vec![running(first)]), true, now);
        scheduler.on_heartbeat(&heartbeat_from(done_on, 1, vec![done]), true, now);
        let record = job_record(2, 2);
        let finished = TaskSet::default();
        scheduler.on_job_claimed(record, finished, Revision::new(5), Duration::ZERO, now);
        assert_eq!(active_task_count(&scheduler), 0, "running on {running_on}");
        assert_eq!(scheduler.job(&first_job_id()).expect("claimed").waiting_tasks(), 1);
        let orders = scheduler.orders_for_answer(running_on, AgentEpoch::FIRST, 1, false, now);
        assert!(matches!(orders[..], [Order::Stop { .. }]), "{orders:?}");
    }
}
