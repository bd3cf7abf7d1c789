//! Tests of fairness under preemption and overload: no job waits forever, and no two jobs preempt
//! each other in turn.

use crate::support::{
    config, empty_scheduler, heartbeat, job_record, machine_type, placed_task_count, second_job_id,
};
use corkfield_core::Scheduler;
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::Team;
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus};
use corkfield_wire::{AgentEpoch, Attempt, JobId, Priority, Revision, TaskId, TaskSet, Term};
use std::time::{Duration, Instant};

/// Executes an order immediately on a machine without resource limits. Returns whether the order
/// started a task.
fn execute_order(tasks: &mut Vec<TaskStatus>, order: Order) -> bool {
    match order {
        Order::Start { task, attempt } => {
            tasks.push(running_status(task, attempt));
            return true;
        }
        Order::Stop { task, attempt, .. } => {
            let stopped =
                tasks.iter_mut().filter(|status| status.task == task && status.attempt == attempt);
            for status in stopped {
                status.phase = TaskPhase::Exited;
                status.cause = Some(ExitCause::Stopped);
            }
        }
        Order::Forget { task, attempt } => {
            tasks.retain(|status| !(status.task == task && status.attempt == attempt));
        }
    }
    false
}

fn running_status(task: TaskId, attempt: Attempt) -> TaskStatus {
    TaskStatus { task, attempt, phase: TaskPhase::Running, cause: None, saved: None }
}

/// Creates a scheduler with one machine, a low-priority job of a team with a guarantee, and a job
/// of normal priority of a team without one.
fn scheduler_with_guarantee_and_priority(start: Instant) -> Scheduler {
    let mut config = config();
    let guaranteed_team =
        Team { name: "g".into(), cpus: 3.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    config.teams.push(guaranteed_team);
    let mut scheduler = Scheduler::new(config, Term::new(1), 1);
    scheduler.set_machine_types(vec![machine_type()]);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, start);
    scheduler.on_machine_record_written("host-1", true);
    let mut low = job_record(30, 1);
    (low.spec.team, low.spec.priority) = ("g".into(), Priority::Low);
    low.spec.estimate_s = 300.0;
    let mut normal = job_record(30, 1);
    normal.spec.id = second_job_id();
    normal.spec.estimate_s = 300.0;
    scheduler.on_job_claimed(low, TaskSet::default(), Revision::new(5), Duration::ZERO, start);
    scheduler.on_job_claimed(normal, TaskSet::default(), Revision::new(6), Duration::ZERO, start);
    scheduler
}

#[test]
fn two_jobs_never_preempt_each_other_in_turn() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_guarantee_and_priority(start);
    let mut tasks: Vec<TaskStatus> = Vec::new();
    let mut starts = 0;
    for second in 1..240 {
        let now = start + Duration::from_secs(second);
        scheduler.on_heartbeat(&heartbeat(second + 1, 1, tasks.clone()), true, now);
        scheduler.run_placement_pass(now);
        if second == 1 {
            let guaranteed = placed_task_count(&scheduler);
            assert_eq!(guaranteed, 3, "only tasks within the guarantee are placed first");
        }
        for order in
            scheduler.orders_for_answer("host-1", AgentEpoch::new(1), second + 1, true, now)
        {
            starts += u32::from(execute_order(&mut tasks, order));
        }
    }
    assert!(starts <= 8, "{starts} starts on a machine with room for four tasks");
}

/// A task on a machine, and the second of the test in which it ends.
struct TimedTask {
    status: TaskStatus,
    ends_in_second: u64,
}

impl TimedTask {
    /// Returns the worker's status of the task in the given second of the test.
    fn status_in(&self, second: u64) -> TaskStatus {
        if second < self.ends_in_second {
            return self.status.clone();
        }
        let (phase, cause) = (TaskPhase::Exited, Some(ExitCause::Done));
        TaskStatus { phase, cause, ..self.status.clone() }
    }
}

fn numbered_job(number: u64, tasks: u32, priority: Priority) -> JobRecord {
    let mut job = job_record(tasks, 1);
    job.spec.id = JobId::parse(&format!("j-{number:06}")).expect("a valid job id");
    job.spec.priority = priority;
    job
}

#[test]
fn under_sustained_overload_large_and_low_priority_jobs_start_within_minutes() {
    let start = Instant::now();
    let mut scheduler = empty_scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, start);
    scheduler.on_machine_record_written("host-1", true);
    let largest = numbered_job(1, 3000, Priority::Normal);
    let low = numbered_job(2, 10, Priority::Low);
    let observed_jobs = [largest.spec.id.clone(), low.spec.id.clone()];
    scheduler.on_job_claimed(largest, TaskSet::default(), Revision::new(5), Duration::ZERO, start);
    scheduler.on_job_claimed(low, TaskSet::default(), Revision::new(6), Duration::ZERO, start);
    let mut tasks: Vec<TimedTask> = Vec::new();
    let mut first_starts = [None; 2];
    for second in 1..240 {
        let now = start + Duration::from_secs(second);
        // In every second, more small tasks are submitted than there is room for.
        let small = numbered_job(100 + second, 6, Priority::Normal);
        scheduler.on_job_claimed(small, TaskSet::default(), Revision::new(7), Duration::ZERO, now);
        let statuses = tasks.iter().map(|task| task.status_in(second)).collect();
        scheduler.on_heartbeat(&heartbeat(second + 1, 1, statuses), true, now);
        for completion_commit in scheduler.due_completion_commits(100, now) {
            scheduler.on_completion_committed(&completion_commit, Revision::new(8));
        }
        scheduler.run_placement_pass(now);
        for order in
            scheduler.orders_for_answer("host-1", AgentEpoch::new(1), second + 1, true, now)
        {
            match order {
                Order::Start { task, attempt } => {
                    if let Some(index) = observed_jobs.iter().position(|id| *id == task.job) {
                        first_starts[index].get_or_insert(second);
                    }
                    let status = running_status(task, attempt);
                    tasks.push(TimedTask { status, ends_in_second: second + 5 });
                }
                Order::Stop { .. } => {}
                Order::Forget { task, .. } => tasks.retain(|timed| timed.status.task != task),
            }
        }
    }
    for first_start in first_starts {
        assert!(first_start.is_some_and(|second| second < 200), "{first_start:?}");
    }
}

#[test]
fn a_job_that_waited_a_minute_gets_one_task_of_capacity_reserved_for_urgent_jobs() {
    let start = Instant::now();
    let mut scheduler = empty_scheduler(1);
    let send_heartbeat = |scheduler: &mut Scheduler, sequence: u64, now: Instant| {
        scheduler.on_heartbeat(&heartbeat(sequence, 1, Vec::new()), true, now);
    };
    send_heartbeat(&mut scheduler, 1, start);
    scheduler.on_machine_record_written("host-1", true);
    // Tasks that are not urgent use three of four CPUs; an urgent task needs two.
    for (number, priority, tasks, cpus) in
        [(2, Priority::Normal, 3, 1.0), (3, Priority::High, 1, 2.0), (1, Priority::Normal, 5, 1.0)]
    {
        let mut job = job_record(tasks, 1);
        job.spec.id = JobId::parse(&format!("j-{number:06}")).expect("a valid job id");
        (job.spec.priority, job.spec.cpus) = (priority, cpus);
        scheduler.on_job_claimed(job, TaskSet::default(), Revision::new(5), Duration::ZERO, start);
        if number == 2 {
            scheduler.run_placement_pass(start);
        }
    }
    scheduler.run_placement_pass(start);
    assert_eq!(placed_task_count(&scheduler), 0, "the free CPU is reserved for the urgent job");
    let later = start + Duration::from_secs(61);
    send_heartbeat(&mut scheduler, 2, later);
    scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, false, later);
    scheduler.run_placement_pass(later);
    scheduler.tick(later);
    scheduler.run_placement_pass(later);
    assert_eq!(placed_task_count(&scheduler), 1, "only one task is placed");
}

/// Guards against jobs that wait for ever beside a machine with room, because an urgent job whose
/// team is at its limit keeps the room reserved for tasks that may not start.
#[test]
fn a_job_whose_team_is_at_its_limit_reserves_no_capacity() {
    let now = Instant::now();
    let mut config = config();
    config.teams.push(Team {
        name: "limited".into(),
        cpus: 0.0,
        cpus_max: 2.0,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    let mut scheduler = Scheduler::new(config, Term::new(1), 1);
    scheduler.set_machine_types(vec![machine_type()]);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
    scheduler.on_machine_record_written("host-1", true);
    let mut limited = numbered_job(1, 4, Priority::High);
    limited.spec.team = "limited".into();
    let mut other = numbered_job(2, 1, Priority::High);
    // The job comes after the limited one in the queue.
    other.spec.estimate_s = 300.0;
    let other_id = other.spec.id.clone();
    for record in [limited, other] {
        scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    }
    scheduler.run_placement_pass(now);
    assert_eq!(placed_task_count(&scheduler), 2, "the team's limit");
    let other = scheduler.job(&other_id).expect("a claimed job");
    assert_eq!(other.placements().len(), 1, "the machine has two free CPUs");
}
