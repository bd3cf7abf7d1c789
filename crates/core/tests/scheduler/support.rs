//! Builders for configurations, records and heartbeats, and for schedulers in the initial states
//! of the tests.

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

/// Returns a configuration with one team without a guarantee or limit, and with short timeouts.
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

/// Returns the only machine type, which has four CPUs.
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

/// Returns a machine type that is offered in the zones `z1` and `z2`.
fn type_in_two_zones(
    name: &str,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    spot_price: f64,
) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb,
        price: 4.0 * spot_price,
        spot_price,
        zones: vec!["z1".into(), "z2".into()],
        ..machine_type()
    }
}

/// Returns four machine types: small, medium and large ones, and one with GPUs. Per CPU, medium ones
/// are the most expensive of those without GPUs.
pub fn mixed_machine_types() -> Vec<MachineType> {
    vec![
        type_in_two_zones("small", 4.0, 0.0, 16.0, 0.07),
        type_in_two_zones("medium", 8.0, 0.0, 64.0, 0.18),
        type_in_two_zones("large", 32.0, 0.0, 128.0, 0.63),
        type_in_two_zones("gpu", 8.0, 2.0, 64.0, 1.0),
    ]
}

/// Returns the record of a machine of the only type.
pub fn machine_record() -> MachineRecord {
    MachineRecord {
        addr: "10.0.0.9:9000".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        recorded_ms: 0,
    }
}

/// Creates a scheduler with the given term, without machines and jobs.
pub fn empty_scheduler(term: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(config(), Term::new(term), 1);
    scheduler.set_machine_types(vec![machine_type()]);
    scheduler
}

/// Returns a record of the first job with a start watermark that lets its owner start all tasks.
pub fn job_record(tasks: u32, generation: u64) -> JobRecord {
    let text = format!(
        "{{\"name_id\":\"j-000001\",\"pool\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\",\"rank\":\"normal\",\"pieces\":{tasks},\
         \"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"i\",\"image_gb\":0.5,\"same_place\":false,\
         \"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    let spec = JobSpec::parse(text.as_bytes()).expect("a valid submission");
    // If there were earlier owners, they may have started all tasks.
    let previous_start_watermark = if generation > 1 { u32::MAX } else { 0 };
    JobRecord {
        generation: Generation::new(generation),
        start_watermark: u32::MAX,
        previous_start_watermark,
        ..JobRecord::new(spec, 0)
    }
}

/// Returns the id of the job that most tests use.
pub fn first_job_id() -> JobId {
    JobId::parse("j-000001").expect("a valid job id")
}

/// Returns the id of a job other than the first.
pub fn second_job_id() -> JobId {
    JobId::parse("j-000002").expect("a valid job id")
}

/// Returns a heartbeat of `host-1` in its first agent epoch.
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
        interruption_notice_s: None,
        tasks,
    }
}

/// Returns a heartbeat of the named machine, under term 1.
pub fn heartbeat_from(machine: &str, sequence: u64, tasks: Vec<TaskStatus>) -> WorkerHeartbeat {
    WorkerHeartbeat { machine: machine.into(), ..heartbeat(sequence, 1, tasks) }
}

/// Returns a worker's status of the first task of the first job.
pub fn task_status(attempt: Attempt, phase: TaskPhase, cause: Option<ExitCause>) -> TaskStatus {
    let task = TaskId { job: first_job_id(), index: 0 };
    TaskStatus { task, attempt, phase, cause, saved: None }
}

/// Creates a scheduler that has assigned the only task of the first job to `host-1`, but has not
/// sent its start.
pub fn scheduler_with_task_assigned(now: Instant) -> Scheduler {
    let mut scheduler = empty_scheduler(1);
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

/// Returns the origin of a heartbeat that the worker sent by itself over the connection with that
/// number.
pub fn heartbeat_over_connection(number: u64) -> MessageOrigin {
    MessageOrigin::Heartbeat { connection: Some(ConnectionId { process: 1, number }) }
}

/// Creates a scheduler that has just sent the start of the only task with the answer to heartbeat
/// 2. Also returns the attempt of that start.
pub fn scheduler_with_start_sent(now: Instant) -> (Scheduler, Attempt) {
    scheduler_with_start_sent_to(true.into(), now)
}

/// Creates the same scheduler as [`scheduler_with_start_sent`], with the given origin of
/// heartbeat 2.
pub fn scheduler_with_start_sent_to(origin: MessageOrigin, now: Instant) -> (Scheduler, Attempt) {
    let mut scheduler = scheduler_with_task_assigned(now);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), origin, now), Verdict::Accept);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    (scheduler, attempt)
}

/// Creates a scheduler with that many recorded machines, named `host-0` and so on, each of which
/// has sent one heartbeat.
pub fn scheduler_with_machines(machines: usize, now: Instant) -> Scheduler {
    let mut scheduler = empty_scheduler(1);
    for number in 0..machines {
        let name = format!("host-{number}");
        scheduler.on_heartbeat(&heartbeat_from(&name, 1, Vec::new()), true, now);
        scheduler.on_machine_record_written(&name, true);
    }
    scheduler
}

/// Claims a job of 400 tasks. Tasks at or above the start watermark may not be started yet.
pub fn claim_job(
    scheduler: &mut Scheduler,
    number: usize,
    priority: Priority,
    start_watermark: u32,
    now: Instant,
) {
    let mut record = JobRecord { start_watermark, ..job_record(400, 1) };
    record.spec.id = JobId::parse(&format!("j-{number:06}")).expect("a valid job id");
    record.spec.priority = priority;
    record.spec.estimate_s = 300.0;
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
}

/// Returns the placed tasks of the first job, by task index.
pub fn placed_tasks(scheduler: &Scheduler) -> &BTreeMap<u32, TaskPlacement> {
    scheduler.job(&first_job_id()).expect("a claimed job").placements()
}

/// Returns the number of placed tasks of the first job.
pub fn placed_task_count(scheduler: &Scheduler) -> usize {
    placed_tasks(scheduler).len()
}
