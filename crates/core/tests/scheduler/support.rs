//! Builders of configurations, records and heartbeats, and schedulers in the states that tests
//! begin with.

use corkfield_core::{Config, MessageOrigin, Scheduler, TaskPlacement, Verdict};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{JobRecord, MachineRecord};
use corkfield_wire::settings::Team;
use corkfield_wire::worker::{
    ConnectionId, ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use corkfield_wire::{
    AgentEpoch, Attempt, Generation, JobId, JobSpec, Priority, Revision, TaskId, TaskSet, Term,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// One team without a quota, and short periods.
pub fn config() -> Config {
    Config {
        teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        objectives: Vec::new(),
        worker_lease: Duration::from_secs(12),
        heartbeat_interval: Duration::from_secs(2),
        answer_limit: Duration::from_secs(8),
        list_lag: Duration::from_secs(1),
        placement_sample: 64,
        idle_keep: Duration::from_secs(60),
    }
}

/// The only machine type, of four CPUs.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "box".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 5.0,
        zones: vec!["z".into()],
    }
}

/// The record of a machine of the only type.
pub fn machine_record() -> MachineRecord {
    MachineRecord {
        addr: "10.0.0.9:9000".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        recorded_ms: 0,
    }
}

/// A scheduler under a term, without machines and jobs.
pub fn scheduler(term: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(config(), Term::new(term), 1);
    scheduler.set_machine_types(vec![machine_type()]);
    scheduler
}

/// A record of the first job, whose tasks may all be started by its present owner.
pub fn job_record(tasks: u32, generation: u64) -> JobRecord {
    let text = format!(
        "{{\"name_id\":\"j-000001\",\"pool\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\",\"rank\":\"normal\",\"pieces\":{tasks},\
         \"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"i\",\"image_gb\":0.5,\"same_place\":false,\
         \"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    let spec = JobSpec::parse(text.as_bytes()).expect("a valid submission");
    // All may have begun under earlier owners, if there were any.
    let previous_start_watermark = if generation > 1 { u32::MAX } else { 0 };
    JobRecord {
        generation: Generation::new(generation),
        start_watermark: u32::MAX,
        previous_start_watermark,
        ..JobRecord::new(spec, 0)
    }
}

/// The job that most tests are about.
pub fn first_job_id() -> JobId {
    JobId::parse("j-000001").expect("an id")
}

/// A job beside the first.
pub fn second_job_id() -> JobId {
    JobId::parse("j-000002").expect("an id")
}

/// A heartbeat of host-1 in its first agent epoch.
pub fn heartbeat(sequence: u64, term: u64, tasks: Vec<TaskStatus>) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: "host-1".into(),
        addr: "10.0.0.9:9000".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        agent_epoch: AgentEpoch::new(1),
        sequence,
        term: Term::new(term),
        termination_notice_s: None,
        tasks,
    }
}

/// A heartbeat of a machine by its name, under term 1.
pub fn heartbeat_from(machine: &str, sequence: u64, tasks: Vec<TaskStatus>) -> WorkerHeartbeat {
    WorkerHeartbeat { machine: machine.into(), ..heartbeat(sequence, 1, tasks) }
}

/// What a worker says of the first task of the first job.
pub fn task_status(attempt: Attempt, phase: TaskPhase, cause: Option<ExitCause>) -> TaskStatus {
    let task = TaskId { job: first_job_id(), index: 0 };
    TaskStatus { task, attempt, phase, cause, saved: None }
}

/// A scheduler that has assigned the only task of the first job to `host-1`; no order has left.
pub fn scheduler_with_task_assigned(now: Instant) -> Scheduler {
    let mut scheduler = scheduler(1);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now), Verdict::Accept);
    scheduler.on_machine_record_written("host-1", true);
    scheduler.on_job_claimed(
        job_record(1, 1),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    scheduler.run_placement_pass(now);
    scheduler
}

/// One of the worker's own heartbeats, over a connection with that number.
pub fn over_connection(number: u64) -> MessageOrigin {
    MessageOrigin::Heartbeat { connection: Some(ConnectionId { process: 1, number }) }
}

/// A scheduler that has just sent the start of the only task in the reply to heartbeat 2, and the
/// attempt of that start.
pub fn scheduler_with_start_sent(now: Instant) -> (Scheduler, Attempt) {
    scheduler_with_start_sent_to(true.into(), now)
}

/// The same for a heartbeat 2 that came in that way.
pub fn scheduler_with_start_sent_to(origin: MessageOrigin, now: Instant) -> (Scheduler, Attempt) {
    let mut scheduler = scheduler_with_task_assigned(now);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), origin, now), Verdict::Accept);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    (scheduler, attempt)
}

/// A scheduler of that many recorded machines, `host-0` and so on, each with one heartbeat.
pub fn scheduler_with_machines(machines: usize, now: Instant) -> Scheduler {
    let mut scheduler = scheduler(1);
    for number in 0..machines {
        let name = format!("host-{number}");
        scheduler.on_heartbeat(&heartbeat_from(&name, 1, Vec::new()), true, now);
        scheduler.on_machine_record_written(&name, true);
    }
    scheduler
}

/// Claims a job of 400 tasks; those from the watermark on may not be started yet.
pub fn claim_job(
    scheduler: &mut Scheduler,
    number: usize,
    priority: Priority,
    start_watermark: u32,
    now: Instant,
) {
    let mut record = JobRecord { start_watermark, ..job_record(400, 1) };
    record.spec.id = JobId::parse(&format!("j-{number:06}")).expect("an id");
    record.spec.priority = priority;
    record.spec.estimate_s = 300.0;
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
}

/// The tasks of the first job that are placed, by index.
pub fn active_tasks(scheduler: &Scheduler) -> &BTreeMap<u32, TaskPlacement> {
    scheduler.job(&first_job_id()).expect("claimed").placements()
}

/// How many tasks of the first job are placed.
pub fn active_task_count(scheduler: &Scheduler) -> usize {
    active_tasks(scheduler).len()
}
