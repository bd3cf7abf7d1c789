//! Tests of supply: which machines count as room for which waiting tasks, and what is rented and
//! returned because of it.

use crate::support::{config, empty_scheduler, heartbeat_from, job_record, mixed_machine_types};
use corkfield_core::{
    check_schedulable, Action, Config, JobState, MachineState, RentalFailure, Scheduler, SupplyGap,
};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::Objective;
use corkfield_wire::worker::{ExitCause, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, JobId, JobSpec, Revision, TaskId, TaskSet, Term};
use std::time::{Duration, Instant};

/// Returns the id of a job by its number.
pub(crate) fn job_id(number: u32) -> JobId {
    JobId::parse(&format!("j-{number:06}")).expect("a valid job id")
}

/// Claims a job of that many tasks, after `change` has changed its specification.
pub(crate) fn claim_job(
    scheduler: &mut Scheduler,
    number: u32,
    tasks: u32,
    change: impl Fn(&mut JobSpec),
    now: Instant,
) {
    let mut record: JobRecord = job_record(tasks, 1);
    record.spec.id = job_id(number);
    record.spec.estimate_s = 300.0;
    change(&mut record.spec);
    scheduler.on_job_claimed(record, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
}

/// Returns the rentals that the scheduler requests.
pub(crate) fn take_rentals(scheduler: &mut Scheduler) -> Vec<RentRequest> {
    let rentals = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::RentMachines(request) => Some(request),
        _ => None,
    });
    rentals.collect()
}

/// Guards against jobs that wait for a reason that no log line and no counter names.
#[test]
fn a_job_for_which_nothing_is_on_its_way_is_reported_with_the_reason() {
    let start = Instant::now();
    let mut scheduler = empty_scheduler(1);
    claim_job(&mut scheduler, 1, 1, |_| {}, start);
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        scheduler.tick(now);
        scheduler.scale(now);
        for rental in take_rentals(&mut scheduler) {
            scheduler.on_rental_answered(&rental, Err(RentalFailure::NoCapacity), now);
        }
        let unsupplied = scheduler.overview(now).unsupplied;
        assert!(second >= 30 || unsupplied.is_empty(), "after {second} s: {unsupplied:?}");
    }
    let now = start + Duration::from_secs(40);
    let [shape] = &scheduler.overview(now).unsupplied[..] else { panic!("no shape is reported") };
    assert_eq!((shape.gap, shape.jobs, shape.cpus), (SupplyGap::OffersBackOff, 1, 1.0));
    assert_eq!(shape.longest_waiting, job_id(1));
}

/// Creates a scheduler that knows [`mixed_machine_types`], without machines.
fn scheduler_with_types() -> Scheduler {
    let mut scheduler = empty_scheduler(1);
    scheduler.set_machine_types(mixed_machine_types());
    scheduler
}

/// A machine of the tests: name, type and zone.
#[derive(Clone, Copy)]
pub(crate) struct TestMachine {
    pub(crate) name: &'static str,
    pub(crate) machine_type: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) spot: bool,
}

/// Returns a spot machine.
pub(crate) fn spot_machine(
    name: &'static str,
    machine_type: &'static str,
    zone: &'static str,
) -> TestMachine {
    TestMachine { name, machine_type, zone, spot: true }
}

/// Returns four small spot machines, two in each zone.
fn small_machines() -> [TestMachine; 4] {
    [
        spot_machine("host-1", "small", "z1"),
        spot_machine("host-2", "small", "z2"),
        spot_machine("host-3", "small", "z1"),
        spot_machine("host-4", "small", "z2"),
    ]
}

/// Delivers a heartbeat without tasks of each machine, with that number, and stores its record.
fn send_heartbeats(
    scheduler: &mut Scheduler,
    machines: &[TestMachine],
    sequence: u64,
    now: Instant,
) {
    for machine in machines {
        let heartbeat = WorkerHeartbeat {
            machine_type: machine.machine_type.into(),
            zone: machine.zone.into(),
            spot: machine.spot,
            ..heartbeat_from(machine.name, sequence, Vec::new())
        };
        scheduler.on_heartbeat(&heartbeat, true, now);
        scheduler.on_machine_record_written(machine.name, true);
    }
}

/// Creates a scheduler with these machines, which are up and hold no task.
pub(crate) fn scheduler_with(machines: &[TestMachine], now: Instant) -> Scheduler {
    let mut scheduler = scheduler_with_types();
    send_heartbeats(&mut scheduler, machines, 1, now);
    scheduler
}

/// Runs a placement pass and then a scaling round. Returns the requested machines as type, zone,
/// whether spot, and count.
fn place_and_scale(scheduler: &mut Scheduler, now: Instant) -> Vec<(String, String, bool, u32)> {
    scheduler.run_placement_pass(now);
    scheduler.scale(now);
    let requests = take_rentals(scheduler).into_iter();
    requests.map(|r| (r.machine_type, r.zone, r.spot, r.count)).collect()
}

/// Returns the types of the machines in `requested`, each once.
fn requested_types(requested: &[(String, String, bool, u32)]) -> Vec<&str> {
    let mut types: Vec<&str> = requested.iter().map(|(name, ..)| name.as_str()).collect();
    types.sort_unstable();
    types.dedup();
    types
}

/// Guards against accepted jobs that never run because machines on which their tasks do not fit
/// count as enough CPUs.
#[test]
fn a_task_too_large_for_the_machines_that_are_up_gets_one_that_fits() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&small_machines(), now);
    claim_job(&mut scheduler, 1, 1, |spec| spec.cpus = 8.0, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("medium".into(), "z1".into(), true, 1)], "the cheapest that fits");
    let later = now + Duration::from_millis(500);
    assert_eq!(place_and_scale(&mut scheduler, later), [], "one request serves the task");
}

/// Guards against the same for a task that needs more memory than the machines have.
#[test]
fn a_task_that_needs_more_memory_gets_a_machine_that_has_it() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&small_machines(), now);
    claim_job(&mut scheduler, 1, 1, |spec| spec.memory_gb = 100.0, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("large".into(), "z1".into(), true, 1)]);
}

/// Guards against the same for a task that needs a GPU.
#[test]
fn a_task_that_needs_a_gpu_gets_a_machine_that_has_one() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&small_machines(), now);
    claim_job(&mut scheduler, 1, 1, |spec| spec.gpus = 1.0, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("gpu".into(), "z1".into(), true, 1)]);
}

/// Guards against the same for a job bound to machine types, of which the smaller ones are up.
#[test]
fn a_job_bound_to_types_gets_the_one_that_its_tasks_fit_on() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&small_machines(), now);
    let change = |spec: &mut JobSpec| {
        spec.types = Some(vec!["small".into(), "large".into()]);
        spec.cpus = 8.0;
    };
    claim_job(&mut scheduler, 1, 1, change, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("large".into(), "z1".into(), true, 1)]);
}

/// Guards against tasks that are accepted, as they fit on a machine but for a rounding error, and for
/// which no machine is rented.
#[test]
fn a_machine_is_rented_for_each_task_that_is_accepted() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&[], now);
    let change = |spec: &mut JobSpec| spec.cpus = 32.000_000_5;
    claim_job(&mut scheduler, 1, 1, change, now);
    let job = scheduler.job(&job_id(1)).expect("a claimed job");
    assert_eq!(check_schedulable(job.spec(), &config().teams, &mixed_machine_types()), Ok(()));
    assert_eq!(requested_types(&place_and_scale(&mut scheduler, now)), ["large"]);
}

/// Guards against tasks that wait for ever because free pieces of several machines, none of which is
/// large enough, count as room.
#[test]
fn free_pieces_that_a_task_does_not_fit_on_are_no_room_for_it() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&small_machines(), now);
    claim_job(&mut scheduler, 1, 4, |spec| spec.cpus = 3.0, now);
    assert_eq!(place_and_scale(&mut scheduler, now), [], "each machine has room for one task");
    claim_job(&mut scheduler, 2, 1, |spec| spec.cpus = 2.0, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("small".into(), "z1".into(), true, 1)]);
}

/// Guards against tasks that wait while requested machines on which they do not fit count as room.
#[test]
fn requested_machines_are_room_only_for_tasks_that_fit_on_them() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&[], now);
    // Ten small machines have three more CPUs than these tasks need.
    claim_job(&mut scheduler, 1, 37, |_| {}, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested_types(&requested), ["small"]);
    claim_job(&mut scheduler, 2, 1, |spec| spec.memory_gb = 60.0, now);
    let requested = place_and_scale(&mut scheduler, now + Duration::from_millis(500));
    assert_eq!(requested, [("medium".into(), "z1".into(), true, 1)]);
}

/// Guards against tasks of a job in one zone that wait while machines in other zones count as room.
#[test]
fn a_job_in_one_zone_gets_machines_in_the_zone_of_its_placed_tasks() {
    let now = Instant::now();
    let machines = [spot_machine("host-1", "small", "z1"), spot_machine("host-2", "small", "z2")];
    let mut scheduler = scheduler_with(&machines, now);
    let takes_most_of_first_zone = |spec: &mut JobSpec| {
        spec.zone = Some("z1".into());
        spec.cpus = 3.0;
    };
    claim_job(&mut scheduler, 1, 1, takes_most_of_first_zone, now);
    assert_eq!(place_and_scale(&mut scheduler, now), []);
    claim_job(&mut scheduler, 2, 5, |spec| spec.one_zone = true, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("small".into(), "z2".into(), true, 1)]);
}

/// Guards against tasks of a job spread over zones that wait while a zone that has half of them
/// counts as room.
#[test]
fn a_spread_job_gets_machines_outside_the_zones_that_have_half_of_its_tasks() {
    let now = Instant::now();
    let mut scheduler = scheduler_with(&[spot_machine("host-1", "small", "z1")], now);
    claim_job(&mut scheduler, 1, 4, |spec| spec.spread = true, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("small".into(), "z2".into(), true, 1)]);
}

/// Places the only task of a job on the only machine that is up, and reports it as failed there.
fn fail_task_on(scheduler: &mut Scheduler, number: u32, machine: TestMachine, now: Instant) {
    scheduler.run_placement_pass(now);
    let job = scheduler.job(&job_id(number)).expect("a claimed job");
    let placement = job.placements()[&0].clone();
    assert_eq!(placement.machine.as_str(), machine.name);
    scheduler.orders_for_answer(machine.name, AgentEpoch::new(1), 1, true, now);
    let task = TaskId { job: job_id(number), index: 0 };
    let failed = TaskStatus {
        task,
        attempt: placement.attempt,
        phase: TaskPhase::Exited,
        cause: Some(ExitCause::Error),
        saved: None,
    };
    let heartbeat = WorkerHeartbeat {
        machine_type: machine.machine_type.into(),
        zone: machine.zone.into(),
        spot: machine.spot,
        ..heartbeat_from(machine.name, 2, vec![failed])
    };
    scheduler.on_heartbeat(&heartbeat, true, now);
    send_heartbeats(scheduler, &[machine], 3, now);
    scheduler.take_actions();
}

/// Guards against machines that are rented, and kept, for tasks that may not start because their team
/// is at its limit.
#[test]
fn nothing_is_rented_for_tasks_beyond_a_teams_limit() {
    let now = Instant::now();
    let mut config = config();
    config.teams[0].cpus_max = 6.0;
    let mut scheduler = Scheduler::new(config, Term::new(1), 1);
    scheduler.set_machine_types(mixed_machine_types());
    send_heartbeats(&mut scheduler, &[spot_machine("host-1", "small", "z1")], 1, now);
    claim_job(&mut scheduler, 1, 4, |_| {}, now);
    assert_eq!(place_and_scale(&mut scheduler, now), []);
    claim_job(&mut scheduler, 2, 40, |_| {}, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("small".into(), "z1".into(), true, 1)], "for two tasks");
    claim_job(&mut scheduler, 3, 1, |spec| spec.cpus = 8.0, now);
    assert_eq!(place_and_scale(&mut scheduler, now), [], "the task exceeds what is left");
}

/// Guards against jobs that wait while a machine that gets one task at a time counts as room for all
/// of them.
#[test]
fn a_machine_with_a_failed_task_is_room_for_one_task() {
    let now = Instant::now();
    let machine = spot_machine("host-1", "medium", "z1");
    let mut scheduler = scheduler_with(&[machine], now);
    claim_job(&mut scheduler, 1, 1, |_| {}, now);
    fail_task_on(&mut scheduler, 1, machine, now);
    scheduler.close_job(&job_id(1));
    claim_job(&mut scheduler, 2, 1, |_| {}, now);
    assert_eq!(place_and_scale(&mut scheduler, now), [], "the machine has room for one task");
    claim_job(&mut scheduler, 3, 1, |_| {}, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("small".into(), "z1".into(), true, 1)]);
}

/// Guards against a job that waits beside a machine that placement does not use for it, because one
/// of its tasks has failed there, and that counts as room.
#[test]
fn a_machine_on_which_a_job_failed_is_no_room_for_it() {
    let now = Instant::now();
    let machine = spot_machine("host-1", "small", "z1");
    let mut scheduler = scheduler_with(&[machine], now);
    claim_job(&mut scheduler, 1, 1, |_| {}, now);
    fail_task_on(&mut scheduler, 1, machine, now);
    let requested = place_and_scale(&mut scheduler, now);
    assert_eq!(requested, [("small".into(), "z1".into(), true, 1)]);
}

/// Names of the small spot machines of [`scheduler_with_small_spot_machines`].
const SMALL_SPOT_MACHINES: [&str; 16] = [
    "host-01", "host-02", "host-03", "host-04", "host-05", "host-06", "host-07", "host-08",
    "host-09", "host-10", "host-11", "host-12", "host-13", "host-14", "host-15", "host-16",
];

/// Creates a scheduler with so many small spot machines that no on-demand machine is needed for
/// tasks that fit on them, and with the given machines.
fn scheduler_with_small_spot_machines(machines: &[TestMachine], now: Instant) -> Scheduler {
    let mut all = SMALL_SPOT_MACHINES.map(|name| spot_machine(name, "small", "z1")).to_vec();
    all.extend(machines);
    scheduler_with(&all, now)
}

/// Guards against tasks that wait because spot machines on which they do not fit make on-demand
/// machines too expensive.
#[test]
fn on_demand_machines_are_rented_for_tasks_that_fit_no_available_spot_machine() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_small_spot_machines(&[], start);
    claim_job(&mut scheduler, 1, 1, |spec| spec.cpus = 8.0, start);
    for round in 0..8 {
        let now = start + Duration::from_millis(200) * round;
        scheduler.scale(now);
        for rental in take_rentals(&mut scheduler) {
            if !rental.spot {
                assert_eq!(rental.machine_type, "medium");
                return;
            }
            scheduler.on_rental_answered(&rental, Err(RentalFailure::NoCapacity), now);
        }
    }
    panic!("no on-demand machine is requested");
}

/// Guards against draining the only machine that a running task fits on, because there are many spot
/// machines on which it does not fit.
#[test]
fn an_on_demand_machine_that_alone_fits_a_task_is_not_drained_as_expensive() {
    let now = Instant::now();
    let on_demand =
        TestMachine { name: "host-90", machine_type: "medium", zone: "z2", spot: false };
    let mut scheduler = scheduler_with_small_spot_machines(&[on_demand], now);
    claim_job(&mut scheduler, 1, 1, |spec| spec.cpus = 8.0, now);
    assert_eq!(place_and_scale(&mut scheduler, now), []);
    let machine = scheduler.machine(on_demand.name).expect("a known machine");
    assert_eq!(machine.state(), MachineState::Up);
}

/// Guards against returning the last machine that the tasks of a job fit on while the job backs off.
#[test]
fn the_last_machine_for_a_job_that_backs_off_is_not_returned() {
    let start = Instant::now();
    let only = spot_machine("host-1", "medium", "z1");
    let other = spot_machine("host-2", "small", "z2");
    let mut scheduler = scheduler_with(&[only], start);
    let needs_medium = |spec: &mut JobSpec| {
        spec.types = Some(vec!["medium".into()]);
        spec.cpus = 8.0;
    };
    claim_job(&mut scheduler, 1, 1, needs_medium, start);
    fail_task_on(&mut scheduler, 1, only, start);
    scheduler.tick(start);
    let job = scheduler.job(&job_id(1)).expect("a claimed job");
    assert!(matches!(job.state(), JobState::BackingOff(_)), "{:?}", job.state());
    for second in 1..90 {
        let now = start + Duration::from_secs(second);
        send_heartbeats(&mut scheduler, &[only, other], second + 3, now);
        scheduler.scale(now);
    }
    let state = |name| scheduler.machine(name).map(|machine| machine.state());
    assert_eq!(state(only.name), Some(MachineState::Up));
    assert_eq!(state(other.name), Some(MachineState::Draining), "it is idle");
}

/// Guards against keeping machines for future jobs on which the tasks of such jobs do not fit, and
/// returning the one on which they do.
#[test]
fn idle_machines_are_kept_for_future_jobs_only_if_their_tasks_fit() {
    let start = Instant::now();
    let objective = Objective {
        kind: "wait".into(),
        class: Some("c".into()),
        within_s: Some(10.0),
        share: Some(0.9),
    };
    let config = Config { objectives: vec![objective], ..config() };
    let mut scheduler = Scheduler::new(config, Term::new(1), 1);
    scheduler.set_machine_types(mixed_machine_types());
    let medium = spot_machine("host-9", "medium", "z1");
    let machines = [&small_machines()[..], &[medium]].concat();
    send_heartbeats(&mut scheduler, &machines, 1, start);
    claim_job(&mut scheduler, 1, 1, |spec| spec.cpus = 8.0, start);
    scheduler.scale(start);
    scheduler.close_job(&job_id(1));
    for second in 1..30 {
        let now = start + Duration::from_secs(second);
        send_heartbeats(&mut scheduler, &machines, second + 1, now);
        scheduler.scale(now);
    }
    let state = |name| scheduler.machine(name).map(|machine| machine.state());
    assert_eq!(state(medium.name), Some(MachineState::Up), "such a task fits on it");
    assert_eq!(state("host-1"), Some(MachineState::Draining));
}

/// Guards against returning a machine that is idle because the only waiting job has failed there,
/// while the cloud has no other for it.
#[test]
fn an_idle_machine_is_kept_while_tasks_that_fit_on_it_have_no_room() {
    let start = Instant::now();
    let machine = spot_machine("host-1", "small", "z1");
    let mut scheduler = scheduler_with(&[machine, spot_machine("host-2", "small", "z2")], start);
    let fills_second_machine = |spec: &mut JobSpec| {
        spec.zone = Some("z2".into());
        spec.cpus = 4.0;
    };
    claim_job(&mut scheduler, 2, 1, fills_second_machine, start);
    scheduler.run_placement_pass(start);
    claim_job(&mut scheduler, 1, 1, |_| {}, start);
    fail_task_on(&mut scheduler, 1, machine, start);
    for second in 1..60 {
        let now = start + Duration::from_secs(second);
        send_heartbeats(&mut scheduler, &[machine], second + 3, now);
        scheduler.scale(now);
        for rental in take_rentals(&mut scheduler) {
            scheduler.on_rental_answered(&rental, Err(RentalFailure::NoCapacity), now);
        }
    }
    let state = scheduler.machine(machine.name).map(|machine| machine.state());
    assert_eq!(state, Some(MachineState::Up));
}
