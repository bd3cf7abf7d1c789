//! The leader alone: what settles a start, and what counts as fresh.

use corkfield_core::{Action, Config, MachineTaskState, Scheduler, Verdict};
use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::records::{JobRecord, MachineRecord};
use corkfield_wire::settings::Team;
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{JobId, JobSpec, Priority, TaskId, TaskSet};
use std::time::{Duration, Instant};

fn config() -> Config {
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

fn machine_type() -> MachineType {
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

fn machine_record() -> MachineRecord {
    MachineRecord {
        addr: "10.0.0.9:9000".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        recorded_ms: 0,
    }
}

fn scheduler(term: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(config(), term, 1);
    scheduler.set_types(vec![machine_type()]);
    scheduler
}

fn record(tasks: u32, generation: u64) -> JobRecord {
    let text = format!(
        "{{\"name_id\":\"j-000001\",\"pool\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\",\"rank\":\"normal\",\"pieces\":{tasks},\
         \"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"i\",\"image_gb\":0.5,\"same_place\":false,\
         \"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    let spec = JobSpec::parse(text.as_bytes()).expect("a valid submission");
    // All may have begun under former owners, if there were any.
    let previous_start_watermark = if generation > 1 { u32::MAX } else { 0 };
    JobRecord {
        generation,
        start_watermark: u32::MAX,
        previous_start_watermark,
        ..JobRecord::new(spec, 0)
    }
}

fn id() -> JobId {
    JobId::parse("j-000001").expect("an id")
}

fn heartbeat(sequence: u64, term: u64, tasks: Vec<TaskStatus>) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: "host-1".into(),
        addr: "10.0.0.9:9000".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        term,
        notice_s: None,
        tasks,
    }
}

fn on_machine(attempt: u64, phase: TaskPhase, cause: Option<ExitCause>) -> TaskStatus {
    let task = TaskId { job: id(), index: 0 };
    TaskStatus { task, attempt, phase, cause, saved: None }
}

/// A leader that has just sent the start of the only task in the answer to report 2.
fn with_start_sent(now: Instant) -> (Scheduler, u64) {
    let mut scheduler = scheduler(1);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now), Verdict::Accept);
    scheduler.machine_recorded("host-1", true);
    scheduler.claimed(record(1, 1), TaskSet::default(), 5, Duration::ZERO, now);
    scheduler.run_placement_pass(now);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, now), Verdict::Accept);
    let orders = scheduler.orders("host-1", 1, 2, true, now);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    (scheduler, attempt)
}

#[test]
fn only_the_workers_own_next_heartbeat_settles_a_start() {
    let now = Instant::now();
    let (mut scheduler, attempt) = with_start_sent(now);
    // Made while the answer with the start was still under way.
    scheduler.on_heartbeat(&heartbeat(3, 1, Vec::new()), false, now);
    let placed = scheduler.job(&id()).expect("claimed").active().get(&0).cloned();
    assert_eq!(placed.map(|p| p.attempt), Some(attempt), "S3: it may still be carried out");
    scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    let again = scheduler.job(&id()).expect("claimed").active().get(&0).cloned();
    assert!(again.is_some_and(|p| p.attempt > attempt), "attempts never repeat");
}

#[test]
fn a_start_leaves_only_with_the_newest_heartbeat_and_a_valid_lease() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
    scheduler.machine_recorded("host-1", true);
    scheduler.claimed(record(1, 1), TaskSet::default(), 5, Duration::ZERO, now);
    scheduler.run_placement_pass(now);
    scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, now);
    assert!(scheduler.orders("host-1", 1, 2, false, now).is_empty(), "S4");
    assert!(
        scheduler.orders("host-1", 1, 1, true, now).is_empty(),
        "that report's worker has left"
    );
    assert_eq!(scheduler.orders("host-1", 1, 2, true, now).len(), 1);
}

#[test]
fn only_a_heartbeat_under_our_term_is_fresh_after_a_failover() {
    let now = Instant::now();
    let mut scheduler = scheduler(7);
    let machine = machine_record();
    scheduler.recorded_machine("host-1", &machine, Duration::ZERO, now);
    scheduler.claimed(record(1, 2), TaskSet::default(), 5, Duration::ZERO, now);
    // A report made before the worker took our term, perhaps held back for minutes.
    scheduler.on_heartbeat(&heartbeat(8, 6, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    assert!(!scheduler.is_reconciled(), "S7");
    assert!(scheduler.job(&id()).expect("claimed").active().is_empty());
    let running = on_machine((1 << 24) | 1, TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(9, 7, vec![running]), false, now);
    assert!(scheduler.is_reconciled());
    let job = scheduler.job(&id()).expect("claimed");
    assert_eq!(job.active().len(), 1, "taken up where it runs");
}

#[test]
fn a_few_machines_that_stay_silent_after_a_failover_are_given_up_and_many_are_waited_for() {
    let now = Instant::now();
    // A leader that has not come round to asking them twice doesn't know that they are silent.
    for (silent, asked, given_up) in [(2, 2, true), (2, 1, false), (12, 2, false)] {
        let mut scheduler = scheduler(7);
        let machine = machine_record();
        for n in 1..=24 {
            scheduler.recorded_machine(&format!("host-{n}"), &machine, Duration::ZERO, now);
        }
        scheduler.claimed(record(4, 2), TaskSet::default(), 5, Duration::ZERO, now);
        for n in silent + 1..=24 {
            let mut heartbeat = heartbeat(9, 7, Vec::new());
            heartbeat.machine = format!("host-{n}");
            scheduler.on_heartbeat(&heartbeat, true, now);
        }
        for n in 1..=silent {
            (0..asked).for_each(|_| scheduler.unanswered(&format!("host-{n}")));
        }
        scheduler.tick(now + Duration::from_secs(3));
        scheduler.take_actions();
        scheduler.tick(now + Duration::from_secs(5));
        let returned: Vec<String> = scheduler
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Delete(names) => Some(names),
                _ => None,
            })
            .flatten()
            .collect();
        assert_eq!(returned.len(), if given_up { silent } else { 0 });
        assert!(!scheduler.is_reconciled(), "S7: only the answer proves them gone");
        scheduler.deleted(&returned);
        assert_eq!(scheduler.is_reconciled(), given_up);
    }
}

#[test]
fn a_limit_counts_all_that_silent_machines_may_hold_and_no_more() {
    let now = Instant::now();
    for (limit, placed) in [(11.0, 3), (8.0, 0), (100.0, 4)] {
        let mut config = config();
        config.teams[0].cpus_max = limit;
        let mut scheduler = Scheduler::new(config, 7, 1);
        scheduler.set_types(vec![machine_type()]);
        let machine = machine_record();
        // Two of four CPUs each are silent, one has shown that it is empty.
        for name in ["host-1", "host-2", "host-3"] {
            scheduler.recorded_machine(name, &machine, Duration::ZERO, now);
        }
        scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
        let mut old = record(10, 2);
        old.spec.id = JobId::parse("j-000002").expect("an id");
        scheduler.claimed(old.clone(), TaskSet::default(), 5, Duration::ZERO, now);
        scheduler.claimed(record(10, 1), TaskSet::default(), 6, Duration::ZERO, now);
        scheduler.run_placement_pass(now);
        let active = |id: &JobId| scheduler.job(id).expect("claimed").active().len();
        assert_eq!(active(&id()), placed, "S8: a job that nobody can have started");
        assert_eq!(active(&old.spec.id), 0, "S7: its tasks may be on the silent machines");
    }
}

#[test]
fn while_machines_are_silent_only_tasks_that_nobody_can_have_started_are() {
    let now = Instant::now();
    let mut scheduler = scheduler(7);
    let machine = machine_record();
    scheduler.recorded_machine("host-1", &machine, Duration::ZERO, now);
    scheduler.recorded_machine("host-2", &machine, Duration::ZERO, now);
    scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
    let mut job = record(100, 1);
    (job.start_watermark, job.previous_start_watermark) = (70, 0);
    job.claim("later owner".into());
    assert_eq!((job.generation, job.previous_start_watermark, job.start_watermark), (2, 70, 100));
    scheduler.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
    scheduler.run_placement_pass(now);
    let active = scheduler.job(&id()).expect("claimed").active();
    assert_eq!(active.keys().copied().collect::<Vec<_>>(), [70, 71, 72, 73], "S7");
    scheduler.deleted(&["host-2".into()]);
    scheduler.on_heartbeat(&heartbeat(10, 7, Vec::new()), true, now);
    assert!(scheduler.is_reconciled());
}

#[test]
fn first_starts_are_announced_in_the_record_before_they_are_made() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    for n in 0..120 {
        let mut heartbeat = heartbeat(1, 1, Vec::new());
        heartbeat.machine = format!("host-{n}");
        scheduler.on_heartbeat(&heartbeat, true, now);
        scheduler.machine_recorded(&heartbeat.machine, true);
    }
    let mut job = record(450, 1);
    (job.start_watermark, job.generation) = (0, 0);
    job.claim("owner".into());
    scheduler.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
    let mut announced = Vec::new();
    for version in 6..10 {
        scheduler.run_placement_pass(now);
        let job = scheduler.job(&id()).expect("claimed");
        announced.push((job.active().len(), job.record.start_watermark));
        assert!(job.active().keys().all(|index| *index < job.record.start_watermark));
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.completion_committed(&completion_commit, version);
        }
    }
    assert_eq!(announced, [(128, 128), (384, 384), (450, 450), (450, 450)]);
}

#[test]
fn answers_that_a_machine_never_took_do_not_hold_up_a_failover() {
    let start = Instant::now();
    let mut scheduler = scheduler(7);
    let machine = machine_record();
    for name in ["host-1", "host-2", "host-3"] {
        scheduler.recorded_machine(name, &machine, Duration::ZERO, start);
    }
    // Its reports come, always under the former term: our answers don't reach it.
    for round in 0..8 {
        let now = start + Duration::from_secs(4 * round);
        let verdict = scheduler.on_heartbeat(&heartbeat(round + 2, 6, Vec::new()), true, now);
        scheduler.tick(now);
        if verdict == Verdict::Accept {
            scheduler.orders("host-1", 1, round + 2, true, now);
        }
    }
    assert!(scheduler.is_reconciled(), "the answer limit and a lease have passed");
}

#[test]
fn a_machine_whose_first_answer_is_held_back_does_not_expire_meanwhile() {
    let start = Instant::now();
    let mut scheduler = scheduler(1);
    let request = RentRequest {
        request: "r-1-1".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        count: 1,
    };
    scheduler.rental_answered(&request, Ok(vec!["host-1".into()]), start);
    // It took far longer than a worker's lease to boot.
    let up = start + Duration::from_secs(50);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(1, 0, Vec::new()), true, up), Verdict::Accept);
    scheduler.tick(up + Duration::from_millis(100));
    scheduler.orders("host-1", 1, 1, true, up + Duration::from_millis(200));
    let next = up + Duration::from_secs(2);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, next), Verdict::Accept);
    // The same when it is back after a lapse.
    let lease_expiry = next + Duration::from_secs(20);
    scheduler.tick(lease_expiry);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(3, 1, Vec::new()), true, lease_expiry),
        Verdict::Stale
    );
    let mut back = heartbeat(4, 1, Vec::new());
    back.agent_epoch = 2;
    assert_eq!(scheduler.on_heartbeat(&back, true, lease_expiry), Verdict::Accept);
    scheduler.tick(lease_expiry + Duration::from_millis(100));
    back.sequence = 5;
    assert_eq!(scheduler.on_heartbeat(&back, true, lease_expiry), Verdict::Accept);
}

#[test]
fn a_worker_whose_term_falls_has_begun_anew() {
    let now = Instant::now();
    let (mut scheduler, _) = with_start_sent(now);
    scheduler.take_actions();
    // Numbers above the known ones, but a worker never forgets the highest term it has seen.
    assert_eq!(scheduler.on_heartbeat(&heartbeat(5, 0, Vec::new()), true, now), Verdict::Stale);
    let placed = scheduler.job(&id()).expect("claimed").active().len();
    assert_eq!(placed, 1, "it settles nothing");
    scheduler.tick(now + Duration::from_secs(1));
    let returned = Action::Delete(vec!["host-1".into()]);
    assert!(scheduler.take_actions().contains(&returned));
    scheduler.deleted(&["host-1".into()]);
    assert!(scheduler.job(&id()).expect("claimed").active().is_empty());
}

#[test]
fn a_task_is_started_elsewhere_only_after_the_lease_has_surely_expired() {
    let now = Instant::now();
    let (mut scheduler, _) = with_start_sent(now);
    let before = now + Duration::from_secs(12);
    scheduler.tick(before);
    assert_eq!(scheduler.job(&id()).expect("claimed").active().len(), 1, "S5");
    scheduler.tick(now + Duration::from_secs(15));
    assert!(scheduler.job(&id()).expect("claimed").active().is_empty());
    // What that session still sends is not taken any more.
    let late = heartbeat(5, 1, Vec::new());
    assert_eq!(scheduler.on_heartbeat(&late, true, now + Duration::from_secs(16)), Verdict::Stale);
}

#[test]
fn an_earlier_attempt_that_is_forgotten_does_not_free_a_later_one() {
    let now = Instant::now();
    let (mut scheduler, first) = with_start_sent(now);
    let stopped = on_machine(first, TaskPhase::Exited, Some(ExitCause::Stopped));
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![stopped.clone()]), true, now);
    scheduler.run_placement_pass(now);
    let orders = scheduler.orders("host-1", 1, 3, true, now);
    assert!(matches!(orders[..], [Order::Forget { .. }, Order::Start { .. }]), "{orders:?}");
    let second = scheduler.job(&id()).expect("claimed").active()[&0].attempt;
    let running = on_machine(second, TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(4, 1, vec![running]), true, now);
    let active = scheduler.job(&id()).expect("claimed").active();
    assert_eq!(active.get(&0).map(|p| p.attempt), Some(second));
}

#[test]
fn a_finished_task_is_stored_before_it_is_forgotten() {
    let now = Instant::now();
    let (mut scheduler, attempt) = with_start_sent(now);
    let done = on_machine(attempt, TaskPhase::Exited, Some(ExitCause::Done));
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![done.clone()]), true, now);
    assert!(scheduler.orders("host-1", 1, 3, true, now).is_empty(), "S9");
    let due = scheduler.due_completion_commits(4, now);
    assert!(due[0].finishes);
    scheduler.completion_committed(&due[0], 6);
    scheduler.on_heartbeat(&heartbeat(4, 1, vec![done]), true, now);
    assert!(matches!(scheduler.orders("host-1", 1, 4, true, now)[..], [Order::Forget { .. }]));
    let held: Vec<MachineTaskState> =
        scheduler.machine("host-1").expect("known").tasks.values().map(|h| h.state).collect();
    assert_eq!(held, [MachineTaskState::Done]);
    assert!(scheduler.take_actions().iter().any(|a| matches!(a, Action::Record(..))));
}

#[test]
fn same_place_and_apart_are_kept() {
    let now = Instant::now();
    for (one_zone, spread, most) in [(true, false, 4), (false, true, 3)] {
        let mut scheduler = scheduler(1);
        for (n, zone) in ["z", "y", "z", "y"].into_iter().enumerate() {
            let mut heartbeat = heartbeat(1, 1, Vec::new());
            heartbeat.machine = format!("host-{n}");
            heartbeat.zone = zone.into();
            scheduler.on_heartbeat(&heartbeat, true, now);
            scheduler.machine_recorded(&heartbeat.machine, true);
        }
        let mut job = record(6, 1);
        (job.spec.one_zone, job.spec.spread, job.spec.cpus) = (one_zone, spread, 2.0);
        scheduler.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
        scheduler.run_placement_pass(now);
        let job = scheduler.job(&id()).expect("claimed");
        let in_z = job
            .active()
            .values()
            .filter(|p| scheduler.machine(&p.machine).is_some_and(|m| m.zone == "z"));
        let (in_z, all) = (in_z.count(), job.active().len());
        if one_zone {
            assert!(in_z == 0 || in_z == all, "same place: {in_z} of {all}");
            assert_eq!(all, most);
        } else {
            assert_eq!((in_z, all), (most, 6), "at most half, rounded up, in a zone");
        }
    }
}

#[test]
fn two_jobs_never_stop_each_other_in_turn() {
    let start = Instant::now();
    let mut config = config();
    let guaranteed = Team { name: "g".into(), cpus: 3.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    config.teams.push(guaranteed);
    let mut scheduler = Scheduler::new(config, 1, 1);
    scheduler.set_types(vec![machine_type()]);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, start);
    scheduler.machine_recorded("host-1", true);
    // Idle work within a guarantee against normal work without one.
    let mut idle = record(30, 1);
    (idle.spec.team, idle.spec.priority) = ("g".into(), Priority::Low);
    idle.spec.estimate_s = 300.0;
    let mut normal = record(30, 1);
    normal.spec.id = JobId::parse("j-000002").expect("an id");
    normal.spec.estimate_s = 300.0;
    scheduler.claimed(idle, TaskSet::default(), 5, Duration::ZERO, start);
    scheduler.claimed(normal, TaskSet::default(), 6, Duration::ZERO, start);
    let mut running: Vec<TaskStatus> = Vec::new();
    let mut starts = 0;
    for second in 1..240 {
        let now = start + Duration::from_secs(second);
        scheduler.on_heartbeat(&heartbeat(second + 1, 1, running.clone()), true, now);
        scheduler.run_placement_pass(now);
        if second == 1 {
            let ahead = scheduler.job(&id()).expect("claimed").active().len();
            assert_eq!(ahead, 3, "ahead of others only as far as the guarantee goes");
        }
        for order in scheduler.orders("host-1", 1, second + 1, true, now) {
            match order {
                Order::Start { task, attempt } => {
                    starts += 1;
                    let phase = TaskPhase::Running;
                    running.push(TaskStatus { task, attempt, phase, cause: None, saved: None });
                }
                Order::Stop { task, attempt, .. } => {
                    for known in
                        running.iter_mut().filter(|t| t.task == task && t.attempt == attempt)
                    {
                        known.phase = TaskPhase::Exited;
                        known.cause = Some(ExitCause::Stopped);
                    }
                }
                Order::Forget { task, attempt } => {
                    running.retain(|t| !(t.task == task && t.attempt == attempt));
                }
            }
        }
    }
    assert!(starts <= 8, "{starts} starts for four places");
}

#[test]
fn under_lasting_overload_the_largest_and_idle_jobs_begin_within_minutes() {
    let start = Instant::now();
    let mut scheduler = scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, start);
    scheduler.machine_recorded("host-1", true);
    let job = |n: u64, tasks: u32, priority: Priority| {
        let mut job = record(tasks, 1);
        job.spec.id = JobId::parse(&format!("j-{n:06}")).expect("an id");
        job.spec.priority = priority;
        job
    };
    let (largest, idle) = (job(1, 3000, Priority::Normal), job(2, 10, Priority::Low));
    let watched = [largest.spec.id.clone(), idle.spec.id.clone()];
    scheduler.claimed(largest, TaskSet::default(), 5, Duration::ZERO, start);
    scheduler.claimed(idle, TaskSet::default(), 6, Duration::ZERO, start);
    let mut running: Vec<(TaskStatus, u64)> = Vec::new();
    let mut started = [None; 2];
    for second in 1..240 {
        let now = start + Duration::from_secs(second);
        // More small jobs than there is room for, all day long.
        let small = job(100 + second, 6, Priority::Normal);
        scheduler.claimed(small, TaskSet::default(), 7, Duration::ZERO, now);
        let heartbeats: Vec<TaskStatus> = running
            .iter()
            .map(|(task, until)| match second >= *until {
                true => TaskStatus {
                    phase: TaskPhase::Exited,
                    cause: Some(ExitCause::Done),
                    ..task.clone()
                },
                false => task.clone(),
            })
            .collect();
        scheduler.on_heartbeat(&heartbeat(second + 1, 1, heartbeats), true, now);
        for completion_commit in scheduler.due_completion_commits(100, now) {
            scheduler.completion_committed(&completion_commit, 8);
        }
        scheduler.run_placement_pass(now);
        for order in scheduler.orders("host-1", 1, second + 1, true, now) {
            match order {
                Order::Start { task, attempt } => {
                    for (n, id) in watched.iter().enumerate() {
                        if task.job == *id {
                            started[n].get_or_insert(second);
                        }
                    }
                    let phase = TaskPhase::Running;
                    let heartbeat = TaskStatus { task, attempt, phase, cause: None, saved: None };
                    running.push((heartbeat, second + 5));
                }
                Order::Stop { .. } => {}
                Order::Forget { task, .. } => running.retain(|(t, _)| t.task != task),
            }
        }
    }
    for started in started {
        assert!(started.is_some_and(|second| second < 200), "{started:?}");
    }
}

#[test]
fn held_back_heartbeats_are_not_taken() {
    let now = Instant::now();
    let (mut scheduler, attempt) = with_start_sent(now);
    let running = on_machine(attempt, TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(5, 1, vec![running]), true, now);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), true, now),
        Verdict::Stale,
        "S10"
    );
    assert_eq!(scheduler.job(&id()).expect("claimed").active().len(), 1);
    // A later session has none of the tasks of the one before.
    let mut next = heartbeat(1, 1, Vec::new());
    next.agent_epoch = 2;
    assert_eq!(scheduler.on_heartbeat(&next, true, now), Verdict::Accept);
    assert!(scheduler.job(&id()).expect("claimed").active().is_empty());
}

#[test]
fn tasks_of_jobs_that_are_over_are_stopped_and_those_merely_unclaimed_are_not() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    let running = on_machine(9, TaskPhase::Running, None);
    scheduler.set_unclaimed([id()].into());
    scheduler.on_heartbeat(&heartbeat(1, 1, vec![running.clone()]), true, now);
    assert!(scheduler.orders("host-1", 1, 1, true, now).is_empty());
    scheduler.set_unclaimed([].into());
    scheduler.on_heartbeat(&heartbeat(2, 1, vec![running]), true, now);
    let orders = scheduler.orders("host-1", 1, 2, true, now);
    assert!(matches!(orders[..], [Order::Stop { .. }]), "S11: {orders:?}");
}

#[test]
fn finished_tasks_of_a_huge_job_are_stored_in_small_values() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(1);
    scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
    scheduler.claimed(record(100_000, 1), TaskSet::default(), 5, Duration::ZERO, now);
    let mut sequence = 1;
    let mut version = 5;
    let mut stored = 0;
    // Every second task: ranges can't be joined.
    for first in (0..100_000).step_by(4000) {
        sequence += 1;
        let done = (first..first + 4000).step_by(2).map(|index| TaskStatus {
            task: TaskId { job: id(), index },
            ..on_machine(1 << 24, TaskPhase::Exited, Some(ExitCause::Done))
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
            version += 1;
            scheduler.completion_committed(completion_commit, version);
        }
    }
    assert_eq!(stored, 50_000);
    assert_eq!(scheduler.job(&id()).expect("claimed").record.done, 50_000);
}

#[test]
fn a_list_proves_a_machine_gone_only_if_it_describes_a_later_moment() {
    let now = Instant::now();
    let (mut scheduler, _) = with_start_sent(now);
    // Asked soon after the machine was known: it may describe the time before.
    let soon = now + Duration::from_secs(3);
    scheduler.on_list(&[], soon, soon);
    assert!(scheduler.machine("host-1").is_some(), "S5");
    let later = now + Duration::from_secs(5);
    scheduler.on_list(&[], later, later);
    assert!(scheduler.machine("host-1").is_none());
    assert!(scheduler.job(&id()).expect("claimed").active().is_empty());
    assert_eq!(scheduler.on_heartbeat(&heartbeat(9, 1, Vec::new()), true, later), Verdict::Stale);
}

/// A fleet that is up, with its leader.
fn fleet(machines: usize, now: Instant) -> Scheduler {
    let mut scheduler = scheduler(1);
    for n in 0..machines {
        let name = format!("host-{n}");
        scheduler.on_heartbeat(
            &WorkerHeartbeat { machine: name.clone(), ..heartbeat(1, 1, Vec::new()) },
            true,
            now,
        );
        scheduler.machine_recorded(&name, true);
    }
    scheduler
}

fn claim(
    scheduler: &mut Scheduler,
    number: usize,
    priority: Priority,
    start_watermark: u32,
    now: Instant,
) {
    let mut record = JobRecord { start_watermark, ..record(400, 1) };
    record.spec.id = JobId::parse(&format!("j-{number:06}")).expect("an id");
    record.spec.priority = priority;
    record.spec.estimate_s = 300.0;
    scheduler.claimed(record, TaskSet::default(), 5, Duration::ZERO, now);
}

#[test]
fn jobs_that_may_not_start_more_yet_cost_no_looks_and_stop_nobody() {
    let start = Instant::now();
    let mut scheduler = fleet(40, start);
    // All that runs may be stopped for the urgent jobs, which have begun what they may begin.
    claim(&mut scheduler, 1, Priority::Low, 160, start);
    scheduler.run_placement_pass(start);
    for number in 2..30 {
        claim(&mut scheduler, number, Priority::High, 0, start);
    }
    scheduler.take_actions();
    let before = scheduler.overview(start);
    assert_eq!(scheduler.job(&id()).expect("claimed").active().len(), 160);
    let later = start + Duration::from_secs(60);
    for n in 0..40 {
        let name = format!("host-{n}");
        let again = WorkerHeartbeat { machine: name.clone(), ..heartbeat(2, 1, Vec::new()) };
        scheduler.on_heartbeat(&again, true, later);
        scheduler.orders(&name, 1, 2, true, later);
    }
    scheduler.run_placement_pass(later);
    let stops = scheduler.take_actions();
    assert!(stops.iter().all(|a| !matches!(a, Action::Direct { .. })), "{stops:?}");
    assert_eq!(scheduler.overview(later).steps, before.steps, "no machine was looked at for them");
}

/// Counts, so that it holds on any machine: with four times the machines and four times the jobs
/// that wait for them, a pass may look at some four times as much, not at sixteen times.
#[test]
fn the_work_of_a_pass_grows_no_faster_than_the_fleet() {
    let start = Instant::now();
    let steps = |machines: usize| {
        let mut scheduler = fleet(machines, start);
        for number in 0..machines / 4 {
            let priority = [Priority::Low, Priority::Normal, Priority::High][number % 3];
            claim(&mut scheduler, number, priority, 400, start);
        }
        scheduler.run_placement_pass(start);
        let before = scheduler.overview(start);
        let later = start + Duration::from_secs(1);
        for _ in 0..10 {
            scheduler.run_placement_pass(later);
        }
        let after = scheduler.overview(later);
        assert!(after.waiting_tasks > 0, "there is more work than room");
        (after.steps - before.steps) / (after.passes - before.passes)
    };
    let (few, many) = (steps(400), steps(1600));
    assert!(many <= few * 6, "{few} steps a pass, then {many}");
    // Some looks at each machine, for hundreds of jobs that wait.
    assert!(many <= 1600 * 8, "{many} steps a pass");
}

#[test]
fn each_of_many_jobs_has_its_turn_to_be_stored_and_what_is_waited_for_comes_first() {
    let start = Instant::now();
    let mut scheduler = fleet(50, start);
    for number in 1..=50 {
        claim(&mut scheduler, number, Priority::Normal, 400, start);
    }
    let last = JobId::parse("j-000050").expect("an id");
    let done = |number: usize| TaskStatus {
        task: TaskId { job: JobId::parse(&format!("j-{number:06}")).expect("an id"), index: 0 },
        ..on_machine(1 << 24, TaskPhase::Exited, Some(ExitCause::Done))
    };
    let reported = (1..=50).map(done).collect();
    scheduler.on_heartbeat(
        &WorkerHeartbeat { machine: "host-0".into(), ..heartbeat(2, 1, reported) },
        true,
        start,
    );
    // The last of them by id has begun all that its record allows.
    let mut announcing = JobRecord { start_watermark: 4, ..record(400, 1) };
    announcing.spec.id = JobId::parse("j-000099").expect("an id");
    announcing.spec.priority = Priority::High;
    scheduler.claimed(announcing, TaskSet::default(), 5, Duration::ZERO, start);
    scheduler.run_placement_pass(start);
    let first = scheduler.due_completion_commits(1, start);
    assert_eq!(first[0].job.to_string(), "j-000099", "its other tasks wait for this");
    // Writes that fail come again, but not before all others had their turn.
    let mut stored: Vec<JobId> = Vec::new();
    for round in 1..=13 {
        let now = start + Duration::from_secs(round);
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.completion_commit_failed(&completion_commit.job, None);
            stored.push(completion_commit.job);
        }
    }
    assert!(stored.contains(&last), "{stored:?}");
}

#[test]
fn while_silent_machines_come_back_one_after_the_other_the_last_are_not_given_up() {
    let start = Instant::now();
    let mut scheduler = scheduler(7);
    for n in 0..48 {
        scheduler.recorded_machine(&format!("host-{n}"), &machine_record(), Duration::ZERO, start);
        (0..3).for_each(|_| scheduler.unanswered(&format!("host-{n}")));
    }
    // Long after the patience with a few, a cut ends.
    for n in 0..47 {
        let now = start + Duration::from_secs(8) + Duration::from_millis(200) * n;
        let again = WorkerHeartbeat { machine: format!("host-{n}"), ..heartbeat(9, 7, Vec::new()) };
        scheduler.on_heartbeat(&again, true, now);
        scheduler.tick(now);
        let returned = |action: &Action| matches!(action, Action::Delete(_));
        assert!(!scheduler.take_actions().iter().any(returned), "after machine {n}");
    }
    scheduler.tick(start + Duration::from_secs(21));
    let last = Action::Delete(vec!["host-47".into()]);
    assert!(scheduler.take_actions().contains(&last), "silent while nothing else comes");
}

#[test]
fn tasks_that_belong_together_or_apart_wait_until_all_machines_have_shown_what_they_hold() {
    let now = Instant::now();
    for (one_zone, spread) in [(true, false), (false, true)] {
        let mut scheduler = scheduler(7);
        let machine = machine_record();
        scheduler.recorded_machine("host-1", &machine, Duration::ZERO, now);
        let other = MachineRecord { zone: "y".into(), ..machine };
        scheduler.recorded_machine("host-2", &other, Duration::ZERO, now);
        scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
        let mut job = record(100, 1);
        (job.start_watermark, job.previous_start_watermark) = (70, 0);
        (job.spec.one_zone, job.spec.spread) = (one_zone, spread);
        job.claim("later owner".into());
        scheduler.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
        scheduler.run_placement_pass(now);
        let active = |scheduler: &Scheduler| scheduler.job(&id()).expect("claimed").active().len();
        assert_eq!(active(&scheduler), 0, "S8: the others may be in another zone");
        scheduler.deleted(&["host-2".into()]);
        scheduler.run_placement_pass(now);
        assert_eq!(active(&scheduler), 4);
    }
}

/// Lets a machine run four tasks, one after the other, that take `run` each; its reports come
/// every 2 s, or whenever a task ends.
fn run_four(
    scheduler: &mut Scheduler,
    name: &str,
    run: Duration,
    held_up: Duration,
    start: Instant,
) {
    let (mut at, mut sequence) = (start, 10);
    for _ in 0..4 {
        let mut say = |scheduler: &mut Scheduler, at: Instant, tasks: Vec<TaskStatus>| {
            sequence += 1;
            let heartbeat =
                WorkerHeartbeat { machine: name.to_owned(), ..heartbeat(sequence, 1, tasks) };
            scheduler.on_heartbeat(&heartbeat, true, at);
            scheduler.orders(name, 1, sequence, true, at)
        };
        say(scheduler, at, Vec::new());
        scheduler.run_placement_pass(at);
        let orders = say(scheduler, at, Vec::new());
        let starts: Vec<(TaskId, u64)> = orders
            .iter()
            .filter_map(|order| match order {
                Order::Start { task, attempt } => Some((task.clone(), *attempt)),
                _ => None,
            })
            .collect();
        assert!(!starts.is_empty(), "{name} is given work");
        let tell = |phase, cause| {
            let told = starts.iter().map(|(task, attempt)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                phase,
                cause,
                saved: None,
            });
            told.collect::<Vec<_>>()
        };
        let end = at + run;
        while at < end {
            say(scheduler, at, tell(TaskPhase::Running, None));
            at += Duration::from_secs(2).min(end - at);
        }
        at += held_up;
        say(scheduler, at, tell(TaskPhase::Exited, Some(ExitCause::Done)));
        for completion_commit in scheduler.due_completion_commits(4, at) {
            scheduler.completion_committed(&completion_commit, 6);
        }
        say(scheduler, at, tell(TaskPhase::Exited, Some(ExitCause::Done)));
        say(scheduler, at, Vec::new());
    }
}

#[test]
fn a_slow_machine_is_left_to_jobs_of_which_nothing_runs_and_one_that_is_held_up_is_not_slow() {
    let start = Instant::now();
    let secs = Duration::from_secs;
    let cases = [(true, secs(4), Duration::ZERO), (false, secs(1), Duration::from_millis(1900))];
    for (slow, run, held_up) in cases {
        let mut scheduler = scheduler(1);
        let mut at = start;
        // Each has the work to itself, one after the other.
        for (name, run) in [("host-0", run), ("host-1", if slow { run * 4 } else { run })] {
            let heartbeat = WorkerHeartbeat { machine: name.into(), ..heartbeat(1, 1, Vec::new()) };
            scheduler.on_heartbeat(&heartbeat, true, at);
            scheduler.machine_recorded(name, true);
            if name == "host-0" {
                scheduler.claimed(record(400, 1), TaskSet::default(), 5, Duration::ZERO, at);
            }
            let late = if name == "host-1" { held_up } else { Duration::ZERO };
            run_four(&mut scheduler, name, run, late, at);
            // The other one is silent meanwhile, and so gets nothing.
            at += secs(100);
        }
        let say = |scheduler: &mut Scheduler, name: &str, sequence: u64, at: Instant| {
            let heartbeat =
                WorkerHeartbeat { machine: name.into(), ..heartbeat(sequence, 1, Vec::new()) };
            scheduler.on_heartbeat(&heartbeat, true, at);
            scheduler.orders(name, 1, sequence, false, at);
        };
        say(&mut scheduler, "host-0", 900, at);
        say(&mut scheduler, "host-1", 900, at);
        scheduler.run_placement_pass(at);
        let on = |scheduler: &Scheduler, name: &str| {
            let job = scheduler.job(&id()).expect("claimed");
            job.active().values().filter(|p| p.machine == name).count()
        };
        assert_eq!(on(&scheduler, "host-0"), 4);
        assert_eq!(on(&scheduler, "host-1"), if slow { 0 } else { 4 }, "slow: {slow}");
        // Nothing else is left, and nothing of the job has run for a minute.
        scheduler.deleted(&["host-0".into()]);
        for wait in [0, 61] {
            say(&mut scheduler, "host-1", 901 + wait, at + secs(wait));
            scheduler.tick(at + secs(wait));
            scheduler.run_placement_pass(at + secs(wait));
        }
        assert_eq!(on(&scheduler, "host-1"), if slow { 1 } else { 4 }, "slow: {slow}");
    }
}

#[test]
fn a_job_that_is_passed_over_for_a_minute_begins_in_room_that_is_kept_for_urgent_ones() {
    let start = Instant::now();
    let mut scheduler = scheduler(1);
    let say = |scheduler: &mut Scheduler, sequence: u64, now: Instant| {
        scheduler.on_heartbeat(&heartbeat(sequence, 1, Vec::new()), true, now);
    };
    say(&mut scheduler, 1, start);
    scheduler.machine_recorded("host-1", true);
    // Three of four CPUs are taken by work that is not urgent; an urgent task needs two.
    for (number, priority, tasks, cpus) in
        [(2, Priority::Normal, 3, 1.0), (3, Priority::High, 1, 2.0), (1, Priority::Normal, 5, 1.0)]
    {
        let mut job = record(tasks, 1);
        job.spec.id = JobId::parse(&format!("j-{number:06}")).expect("an id");
        (job.spec.priority, job.spec.cpus) = (priority, cpus);
        scheduler.claimed(job, TaskSet::default(), 5, Duration::ZERO, start);
        if number == 2 {
            scheduler.run_placement_pass(start);
        }
    }
    let active = |scheduler: &Scheduler| scheduler.job(&id()).expect("claimed").active().len();
    scheduler.run_placement_pass(start);
    assert_eq!(active(&scheduler), 0, "the CPU that is left is kept for the urgent job");
    let later = start + Duration::from_secs(61);
    say(&mut scheduler, 2, later);
    scheduler.orders("host-1", 1, 2, false, later);
    scheduler.run_placement_pass(later);
    scheduler.tick(later);
    scheduler.run_placement_pass(later);
    assert_eq!(active(&scheduler), 1, "it begins, and no more than that");
}

/// A second machine, of the name given, that takes work.
fn heartbeat_of(name: &str, sequence: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: name.into(),
        addr: "10.0.0.10:9000".into(),
        ..heartbeat(sequence, 1, Vec::new())
    }
}

#[test]
fn a_task_assigned_to_a_machine_that_takes_no_more_work_is_assigned_elsewhere() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    for notice in [true, false] {
        let mut scheduler = scheduler(1);
        scheduler.on_heartbeat(&heartbeat(1, 1, Vec::new()), true, now);
        scheduler.machine_recorded("host-1", true);
        scheduler.claimed(record(1, 1), TaskSet::default(), 5, Duration::ZERO, now);
        scheduler.run_placement_pass(now);
        assert!(scheduler.has_starts_for("host-1"));
        // While no start may leave, say in an outage of the store, its machine has to go.
        if notice {
            let noticed = WorkerHeartbeat { notice_s: Some(30.0), ..heartbeat(2, 1, Vec::new()) };
            scheduler.on_heartbeat(&noticed, true, later);
        } else {
            scheduler.drain("host-1");
            scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, later);
        }
        scheduler.on_heartbeat(&heartbeat_of("host-2", 1), true, later);
        scheduler.machine_recorded("host-2", true);
        scheduler.tick(later);
        scheduler.run_placement_pass(later);
        assert!(!scheduler.has_starts_for("host-1"), "notice: {notice}");
        assert!(scheduler.has_starts_for("host-2"), "notice: {notice}");
        if !notice {
            scheduler.tick(later);
            let deletes = |action: &Action| matches!(action, Action::Delete(names) if names.iter().any(|name| name == "host-1"));
            assert!(scheduler.take_actions().iter().any(deletes), "nothing holds it back");
        }
    }
}

/// Rentals of ordinary machines among what the leader asks for.
fn ordinary_rentals(scheduler: &mut Scheduler) -> Vec<RentRequest> {
    let rentals = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::Rent(request) if !request.spot => Some(request),
        _ => None,
    });
    rentals.collect()
}

#[test]
fn dear_machines_are_asked_for_only_once_it_is_known_that_cheap_ones_lack() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    scheduler.claimed(record(80, 1), TaskSet::default(), 5, Duration::ZERO, now);
    scheduler.scale(now);
    let actions = scheduler.take_actions();
    let Some(Action::Rent(spot)) = actions.iter().find(|a| matches!(a, Action::Rent(r) if r.spot))
    else {
        panic!("{actions:?}")
    };
    let more =
        JobRecord { spec: JobSpec { id: other_id(), ..record(400, 1).spec }, ..record(400, 1) };
    scheduler.claimed(more, TaskSet::default(), 5, Duration::ZERO, now);
    // The spot offer is under way, and so not open; that is no reason to take the dear one.
    let soon = now + Duration::from_millis(200);
    scheduler.scale(soon);
    assert_eq!(ordinary_rentals(&mut scheduler), Vec::new());
    scheduler.rental_answered(spot, Err(true), soon);
    scheduler.scale(soon);
    assert!(!ordinary_rentals(&mut scheduler).is_empty(), "no spot machine is to be had");
}

fn other_id() -> JobId {
    JobId::parse("j-000002").expect("an id")
}
