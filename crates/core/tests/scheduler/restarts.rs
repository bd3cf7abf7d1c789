//! Workers that are back within an instant and count their messages anew, while heartbeats of the
//! former process are held back.

use crate::support::{
    active_task_count, active_tasks, heartbeat_from, scheduler_with_start_sent, task_status,
};
use corkfield_core::{MachineState, Scheduler};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt};
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
    let (mut scheduler, attempt) = scheduler_with_start_sent_after_restart(now);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 3, Vec::new()), true, now);
    scheduler.drain("host-1");
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
    let orders = scheduler.orders("host-2", AgentEpoch::FIRST, 2, true, now);
    assert!(orders.is_empty(), "{orders:?}");
}

/// The same once its start has left: it is stopped with the machine's next answer.
#[test]
fn a_task_that_a_late_heartbeat_shows_as_done_is_stopped_where_it_was_started_again() {
    let now = Instant::now();
    let (mut scheduler, late) = scheduler_with_task_done_before_it_was_lost(now);
    scheduler.on_heartbeat(&heartbeat_from("host-2", 2, Vec::new()), true, now);
    let orders = scheduler.orders("host-2", AgentEpoch::FIRST, 2, true, now);
    let [Order::Start { attempt: started, .. }] = orders[..] else { panic!("{orders:?}") };
    scheduler.on_heartbeat(&late, true, now);
    let orders = scheduler.orders("host-2", AgentEpoch::FIRST, 2, true, now);
    let [Order::Stop { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    assert_eq!(attempt, started);
}
