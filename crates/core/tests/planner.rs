//! The planner alone: what settles a start, and what counts as fresh.

use corkfield_core::{Action, Config, MachineTaskState, Planner, Verdict};
use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::records::{JobRecord, MachineRecord};
use corkfield_wire::settings::Team;
use corkfield_wire::worker::{ExitCause, Order, Report, TaskPhase, TaskReport};
use corkfield_wire::{JobId, JobSpec, Priority, TaskId, TaskSet};
use std::time::{Duration, Instant};

fn config() -> Config {
    Config {
        teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        objectives: Vec::new(),
        worker_lease: Duration::from_secs(12),
        report_interval: Duration::from_secs(2),
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

fn planner(term: u64) -> Planner {
    let mut planner = Planner::new(config(), term, 1);
    planner.set_types(vec![machine_type()]);
    planner
}

fn record(tasks: u32, generation: u64) -> JobRecord {
    let text = format!(
        "{{\"name_id\":\"j-000001\",\"pool\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\",\"rank\":\"normal\",\"pieces\":{tasks},\
         \"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"i\",\"image_gb\":0.5,\"same_place\":false,\
         \"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    let spec = JobSpec::parse(text.as_bytes()).expect("a valid submission");
    // All may have begun under former owners, if there were any.
    let begun_before = if generation > 1 { u32::MAX } else { 0 };
    JobRecord { generation, begun: u32::MAX, begun_before, ..JobRecord::new(spec, 0) }
}

fn id() -> JobId {
    JobId::parse("j-000001").expect("an id")
}

fn report(seq: u64, term: u64, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: "host-1".into(),
        addr: "10.0.0.9:9000".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        seq,
        term,
        notice_s: None,
        tasks,
    }
}

fn on_machine(attempt: u64, phase: TaskPhase, cause: Option<ExitCause>) -> TaskReport {
    let task = TaskId { job: id(), index: 0 };
    TaskReport { task, attempt, phase, cause, saved: None }
}

/// A planner that has just sent the start of the only task in the answer to report 2.
fn with_start_sent(now: Instant) -> (Planner, u64) {
    let mut planner = planner(1);
    assert_eq!(planner.on_report(&report(1, 1, Vec::new()), true, now), Verdict::Accept);
    planner.machine_recorded("host-1", true);
    planner.claimed(record(1, 1), TaskSet::default(), 5, Duration::ZERO, now);
    planner.plan(now);
    assert_eq!(planner.on_report(&report(2, 1, Vec::new()), true, now), Verdict::Accept);
    let orders = planner.orders("host-1", 1, 2, true, now);
    let [Order::Start { attempt, .. }] = orders[..] else { panic!("{orders:?}") };
    (planner, attempt)
}

#[test]
fn only_the_workers_own_next_report_settles_a_start() {
    let now = Instant::now();
    let (mut planner, attempt) = with_start_sent(now);
    // Made while the answer with the start was still under way.
    planner.on_report(&report(3, 1, Vec::new()), false, now);
    let placed = planner.job(&id()).expect("claimed").active().get(&0).cloned();
    assert_eq!(placed.map(|p| p.attempt), Some(attempt), "S3: it may still be carried out");
    planner.on_report(&report(4, 1, Vec::new()), true, now);
    planner.plan(now);
    let again = planner.job(&id()).expect("claimed").active().get(&0).cloned();
    assert!(again.is_some_and(|p| p.attempt > attempt), "attempts never repeat");
}

#[test]
fn a_start_leaves_only_with_the_newest_report_and_a_valid_lease() {
    let now = Instant::now();
    let mut planner = planner(1);
    planner.on_report(&report(1, 1, Vec::new()), true, now);
    planner.machine_recorded("host-1", true);
    planner.claimed(record(1, 1), TaskSet::default(), 5, Duration::ZERO, now);
    planner.plan(now);
    planner.on_report(&report(2, 1, Vec::new()), true, now);
    assert!(planner.orders("host-1", 1, 2, false, now).is_empty(), "S4");
    assert!(planner.orders("host-1", 1, 1, true, now).is_empty(), "that report's worker has left");
    assert_eq!(planner.orders("host-1", 1, 2, true, now).len(), 1);
}

#[test]
fn only_a_report_under_our_term_is_fresh_after_a_take_over() {
    let now = Instant::now();
    let mut planner = planner(7);
    let machine = machine_record();
    planner.recorded_machine("host-1", &machine, Duration::ZERO, now);
    planner.claimed(record(1, 2), TaskSet::default(), 5, Duration::ZERO, now);
    // A report made before the worker took our term, perhaps held back for minutes.
    planner.on_report(&report(8, 6, Vec::new()), true, now);
    planner.plan(now);
    assert!(!planner.is_complete(), "S7");
    assert!(planner.job(&id()).expect("claimed").active().is_empty());
    let running = on_machine((1 << 24) | 1, TaskPhase::Running, None);
    planner.on_report(&report(9, 7, vec![running]), false, now);
    assert!(planner.is_complete());
    let job = planner.job(&id()).expect("claimed");
    assert_eq!(job.active().len(), 1, "taken up where it runs");
}

#[test]
fn a_few_machines_that_stay_silent_after_a_take_over_are_given_up_and_many_are_waited_for() {
    let now = Instant::now();
    // A planner that has not come round to asking them twice doesn't know that they are silent.
    for (silent, asked, given_up) in [(2, 2, true), (2, 1, false), (12, 2, false)] {
        let mut planner = planner(7);
        let machine = machine_record();
        for n in 1..=24 {
            planner.recorded_machine(&format!("host-{n}"), &machine, Duration::ZERO, now);
        }
        planner.claimed(record(4, 2), TaskSet::default(), 5, Duration::ZERO, now);
        for n in silent + 1..=24 {
            let mut report = report(9, 7, Vec::new());
            report.machine = format!("host-{n}");
            planner.on_report(&report, true, now);
        }
        for n in 1..=silent {
            (0..asked).for_each(|_| planner.unanswered(&format!("host-{n}")));
        }
        planner.tick(now + Duration::from_secs(3));
        planner.take_actions();
        planner.tick(now + Duration::from_secs(5));
        let returned: Vec<String> = planner
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Delete(names) => Some(names),
                _ => None,
            })
            .flatten()
            .collect();
        assert_eq!(returned.len(), if given_up { silent } else { 0 });
        assert!(!planner.is_complete(), "S7: only the answer proves them gone");
        planner.deleted(&returned);
        assert_eq!(planner.is_complete(), given_up);
    }
}

#[test]
fn a_limit_counts_all_that_silent_machines_may_hold_and_no_more() {
    let now = Instant::now();
    for (limit, placed) in [(11.0, 3), (8.0, 0), (100.0, 4)] {
        let mut config = config();
        config.teams[0].cpus_max = limit;
        let mut planner = Planner::new(config, 7, 1);
        planner.set_types(vec![machine_type()]);
        let machine = machine_record();
        // Two of four CPUs each are silent, one has shown that it is empty.
        for name in ["host-1", "host-2", "host-3"] {
            planner.recorded_machine(name, &machine, Duration::ZERO, now);
        }
        planner.on_report(&report(9, 7, Vec::new()), true, now);
        let mut old = record(10, 2);
        old.spec.id = JobId::parse("j-000002").expect("an id");
        planner.claimed(old.clone(), TaskSet::default(), 5, Duration::ZERO, now);
        planner.claimed(record(10, 1), TaskSet::default(), 6, Duration::ZERO, now);
        planner.plan(now);
        let active = |id: &JobId| planner.job(id).expect("claimed").active().len();
        assert_eq!(active(&id()), placed, "S8: a job that nobody can have started");
        assert_eq!(active(&old.spec.id), 0, "S7: its tasks may be on the silent machines");
    }
}

#[test]
fn while_machines_are_silent_only_tasks_that_nobody_can_have_started_are() {
    let now = Instant::now();
    let mut planner = planner(7);
    let machine = machine_record();
    planner.recorded_machine("host-1", &machine, Duration::ZERO, now);
    planner.recorded_machine("host-2", &machine, Duration::ZERO, now);
    planner.on_report(&report(9, 7, Vec::new()), true, now);
    let mut job = record(100, 1);
    (job.begun, job.begun_before) = (70, 0);
    job.claim("later owner".into());
    assert_eq!((job.generation, job.begun_before, job.begun), (2, 70, 100));
    planner.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
    planner.plan(now);
    let active = planner.job(&id()).expect("claimed").active();
    assert_eq!(active.keys().copied().collect::<Vec<_>>(), [70, 71, 72, 73], "S7");
    planner.deleted(&["host-2".into()]);
    planner.on_report(&report(10, 7, Vec::new()), true, now);
    assert!(planner.is_complete());
}

#[test]
fn first_starts_are_announced_in_the_record_before_they_are_made() {
    let now = Instant::now();
    let mut planner = planner(1);
    for n in 0..120 {
        let mut report = report(1, 1, Vec::new());
        report.machine = format!("host-{n}");
        planner.on_report(&report, true, now);
        planner.machine_recorded(&report.machine, true);
    }
    let mut job = record(450, 1);
    (job.begun, job.generation) = (0, 0);
    job.claim("owner".into());
    planner.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
    let mut announced = Vec::new();
    for version in 6..10 {
        planner.plan(now);
        let job = planner.job(&id()).expect("claimed");
        announced.push((job.active().len(), job.record.begun));
        assert!(job.active().keys().all(|index| *index < job.record.begun));
        for settlement in planner.settlements(4, now) {
            planner.settled(&settlement, version);
        }
    }
    assert_eq!(announced, [(128, 128), (384, 384), (450, 450), (450, 450)]);
}

#[test]
fn answers_that_a_machine_never_took_do_not_hold_up_a_take_over() {
    let start = Instant::now();
    let mut planner = planner(7);
    let machine = machine_record();
    for name in ["host-1", "host-2", "host-3"] {
        planner.recorded_machine(name, &machine, Duration::ZERO, start);
    }
    // Its reports come, always under the former term: our answers don't reach it.
    for round in 0..8 {
        let now = start + Duration::from_secs(4 * round);
        let verdict = planner.on_report(&report(round + 2, 6, Vec::new()), true, now);
        planner.tick(now);
        if verdict == Verdict::Accept {
            planner.orders("host-1", 1, round + 2, true, now);
        }
    }
    assert!(planner.is_complete(), "the answer limit and a lease have passed");
}

#[test]
fn a_machine_whose_first_answer_is_held_back_does_not_lapse_meanwhile() {
    let start = Instant::now();
    let mut planner = planner(1);
    let request = RentRequest {
        request: "r-1-1".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        count: 1,
    };
    planner.rented(&request, Ok(vec!["host-1".into()]), start);
    // It took far longer than a worker's lease to boot.
    let up = start + Duration::from_secs(50);
    assert_eq!(planner.on_report(&report(1, 0, Vec::new()), true, up), Verdict::Accept);
    planner.tick(up + Duration::from_millis(100));
    planner.orders("host-1", 1, 1, true, up + Duration::from_millis(200));
    let next = up + Duration::from_secs(2);
    assert_eq!(planner.on_report(&report(2, 1, Vec::new()), true, next), Verdict::Accept);
    // The same when it is back after a lapse.
    let lapse = next + Duration::from_secs(20);
    planner.tick(lapse);
    assert_eq!(planner.on_report(&report(3, 1, Vec::new()), true, lapse), Verdict::Stale);
    let mut back = report(4, 1, Vec::new());
    back.session = 2;
    assert_eq!(planner.on_report(&back, true, lapse), Verdict::Accept);
    planner.tick(lapse + Duration::from_millis(100));
    back.seq = 5;
    assert_eq!(planner.on_report(&back, true, lapse), Verdict::Accept);
}

#[test]
fn a_worker_whose_term_falls_has_begun_anew() {
    let now = Instant::now();
    let (mut planner, _) = with_start_sent(now);
    planner.take_actions();
    // Numbers above the known ones, but a worker never forgets the highest term it has seen.
    assert_eq!(planner.on_report(&report(5, 0, Vec::new()), true, now), Verdict::Stale);
    let placed = planner.job(&id()).expect("claimed").active().len();
    assert_eq!(placed, 1, "it settles nothing");
    planner.tick(now + Duration::from_secs(1));
    let returned = Action::Delete(vec!["host-1".into()]);
    assert!(planner.take_actions().contains(&returned));
    planner.deleted(&["host-1".into()]);
    assert!(planner.job(&id()).expect("claimed").active().is_empty());
}

#[test]
fn a_task_is_started_elsewhere_only_after_the_lease_has_surely_lapsed() {
    let now = Instant::now();
    let (mut planner, _) = with_start_sent(now);
    let before = now + Duration::from_secs(12);
    planner.tick(before);
    assert_eq!(planner.job(&id()).expect("claimed").active().len(), 1, "S5");
    planner.tick(now + Duration::from_secs(15));
    assert!(planner.job(&id()).expect("claimed").active().is_empty());
    // What that session still sends is not taken any more.
    let late = report(5, 1, Vec::new());
    assert_eq!(planner.on_report(&late, true, now + Duration::from_secs(16)), Verdict::Stale);
}

#[test]
fn an_earlier_attempt_that_is_forgotten_does_not_free_a_later_one() {
    let now = Instant::now();
    let (mut planner, first) = with_start_sent(now);
    let stopped = on_machine(first, TaskPhase::Exited, Some(ExitCause::Stopped));
    planner.on_report(&report(3, 1, vec![stopped.clone()]), true, now);
    planner.plan(now);
    let orders = planner.orders("host-1", 1, 3, true, now);
    assert!(matches!(orders[..], [Order::Forget { .. }, Order::Start { .. }]), "{orders:?}");
    let second = planner.job(&id()).expect("claimed").active()[&0].attempt;
    let running = on_machine(second, TaskPhase::Running, None);
    planner.on_report(&report(4, 1, vec![running]), true, now);
    let active = planner.job(&id()).expect("claimed").active();
    assert_eq!(active.get(&0).map(|p| p.attempt), Some(second));
}

#[test]
fn a_finished_task_is_stored_before_it_is_forgotten() {
    let now = Instant::now();
    let (mut planner, attempt) = with_start_sent(now);
    let done = on_machine(attempt, TaskPhase::Exited, Some(ExitCause::Done));
    planner.on_report(&report(3, 1, vec![done.clone()]), true, now);
    assert!(planner.orders("host-1", 1, 3, true, now).is_empty(), "S9");
    let due = planner.settlements(4, now);
    assert!(due[0].finishes);
    planner.settled(&due[0], 6);
    planner.on_report(&report(4, 1, vec![done]), true, now);
    assert!(matches!(planner.orders("host-1", 1, 4, true, now)[..], [Order::Forget { .. }]));
    let held: Vec<MachineTaskState> =
        planner.machine("host-1").expect("known").held.values().map(|h| h.state).collect();
    assert_eq!(held, [MachineTaskState::Done]);
    assert!(planner.take_actions().iter().any(|a| matches!(a, Action::Record(..))));
}

#[test]
fn same_place_and_apart_are_kept() {
    let now = Instant::now();
    for (one_zone, spread, most) in [(true, false, 4), (false, true, 3)] {
        let mut planner = planner(1);
        for (n, zone) in ["z", "y", "z", "y"].into_iter().enumerate() {
            let mut report = report(1, 1, Vec::new());
            report.machine = format!("host-{n}");
            report.zone = zone.into();
            planner.on_report(&report, true, now);
            planner.machine_recorded(&report.machine, true);
        }
        let mut job = record(6, 1);
        (job.spec.one_zone, job.spec.spread, job.spec.cpus) = (one_zone, spread, 2.0);
        planner.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
        planner.plan(now);
        let job = planner.job(&id()).expect("claimed");
        let in_z = job
            .active()
            .values()
            .filter(|p| planner.machine(&p.machine).is_some_and(|m| m.zone == "z"));
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
    let mut planner = Planner::new(config, 1, 1);
    planner.set_types(vec![machine_type()]);
    planner.on_report(&report(1, 1, Vec::new()), true, start);
    planner.machine_recorded("host-1", true);
    // Idle work within a guarantee against normal work without one.
    let mut idle = record(30, 1);
    (idle.spec.team, idle.spec.priority) = ("g".into(), Priority::Low);
    idle.spec.estimate_s = 300.0;
    let mut normal = record(30, 1);
    normal.spec.id = JobId::parse("j-000002").expect("an id");
    normal.spec.estimate_s = 300.0;
    planner.claimed(idle, TaskSet::default(), 5, Duration::ZERO, start);
    planner.claimed(normal, TaskSet::default(), 6, Duration::ZERO, start);
    let mut running: Vec<TaskReport> = Vec::new();
    let mut starts = 0;
    for second in 1..240 {
        let now = start + Duration::from_secs(second);
        planner.on_report(&report(second + 1, 1, running.clone()), true, now);
        planner.plan(now);
        if second == 1 {
            let ahead = planner.job(&id()).expect("claimed").active().len();
            assert_eq!(ahead, 3, "ahead of others only as far as the guarantee goes");
        }
        for order in planner.orders("host-1", 1, second + 1, true, now) {
            match order {
                Order::Start { task, attempt } => {
                    starts += 1;
                    let phase = TaskPhase::Running;
                    running.push(TaskReport { task, attempt, phase, cause: None, saved: None });
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
    let mut planner = planner(1);
    planner.on_report(&report(1, 1, Vec::new()), true, start);
    planner.machine_recorded("host-1", true);
    let job = |n: u64, tasks: u32, priority: Priority| {
        let mut job = record(tasks, 1);
        job.spec.id = JobId::parse(&format!("j-{n:06}")).expect("an id");
        job.spec.priority = priority;
        job
    };
    let (largest, idle) = (job(1, 3000, Priority::Normal), job(2, 10, Priority::Low));
    let watched = [largest.spec.id.clone(), idle.spec.id.clone()];
    planner.claimed(largest, TaskSet::default(), 5, Duration::ZERO, start);
    planner.claimed(idle, TaskSet::default(), 6, Duration::ZERO, start);
    let mut running: Vec<(TaskReport, u64)> = Vec::new();
    let mut begun = [None; 2];
    for second in 1..240 {
        let now = start + Duration::from_secs(second);
        // More small jobs than there is room for, all day long.
        let small = job(100 + second, 6, Priority::Normal);
        planner.claimed(small, TaskSet::default(), 7, Duration::ZERO, now);
        let reports: Vec<TaskReport> = running
            .iter()
            .map(|(task, until)| match second >= *until {
                true => TaskReport {
                    phase: TaskPhase::Exited,
                    cause: Some(ExitCause::Done),
                    ..task.clone()
                },
                false => task.clone(),
            })
            .collect();
        planner.on_report(&report(second + 1, 1, reports), true, now);
        for settlement in planner.settlements(100, now) {
            planner.settled(&settlement, 8);
        }
        planner.plan(now);
        for order in planner.orders("host-1", 1, second + 1, true, now) {
            match order {
                Order::Start { task, attempt } => {
                    for (n, id) in watched.iter().enumerate() {
                        if task.job == *id {
                            begun[n].get_or_insert(second);
                        }
                    }
                    let phase = TaskPhase::Running;
                    let report = TaskReport { task, attempt, phase, cause: None, saved: None };
                    running.push((report, second + 5));
                }
                Order::Stop { .. } => {}
                Order::Forget { task, .. } => running.retain(|(t, _)| t.task != task),
            }
        }
    }
    for begun in begun {
        assert!(begun.is_some_and(|second| second < 200), "{begun:?}");
    }
}

#[test]
fn held_back_reports_are_not_taken() {
    let now = Instant::now();
    let (mut planner, attempt) = with_start_sent(now);
    let running = on_machine(attempt, TaskPhase::Running, None);
    planner.on_report(&report(5, 1, vec![running]), true, now);
    assert_eq!(planner.on_report(&report(4, 1, Vec::new()), true, now), Verdict::Stale, "S10");
    assert_eq!(planner.job(&id()).expect("claimed").active().len(), 1);
    // A later session has none of the tasks of the one before.
    let mut next = report(1, 1, Vec::new());
    next.session = 2;
    assert_eq!(planner.on_report(&next, true, now), Verdict::Accept);
    assert!(planner.job(&id()).expect("claimed").active().is_empty());
}

#[test]
fn tasks_of_jobs_that_are_over_are_stopped_and_those_merely_unclaimed_are_not() {
    let now = Instant::now();
    let mut planner = planner(1);
    let running = on_machine(9, TaskPhase::Running, None);
    planner.set_unclaimed([id()].into());
    planner.on_report(&report(1, 1, vec![running.clone()]), true, now);
    assert!(planner.orders("host-1", 1, 1, true, now).is_empty());
    planner.set_unclaimed([].into());
    planner.on_report(&report(2, 1, vec![running]), true, now);
    let orders = planner.orders("host-1", 1, 2, true, now);
    assert!(matches!(orders[..], [Order::Stop { .. }]), "S11: {orders:?}");
}

#[test]
fn finished_tasks_of_a_huge_job_are_stored_in_small_values() {
    let mut now = Instant::now();
    let mut planner = planner(1);
    planner.on_report(&report(1, 1, Vec::new()), true, now);
    planner.claimed(record(100_000, 1), TaskSet::default(), 5, Duration::ZERO, now);
    let mut seq = 1;
    let mut version = 5;
    let mut stored = 0;
    // Every second task: ranges can't be joined.
    for first in (0..100_000).step_by(4000) {
        seq += 1;
        let done = (first..first + 4000).step_by(2).map(|index| TaskReport {
            task: TaskId { job: id(), index },
            ..on_machine(1 << 24, TaskPhase::Exited, Some(ExitCause::Done))
        });
        planner.on_report(&report(seq, 1, done.collect()), true, now);
        loop {
            // Between two writes of progress there is a pause.
            now += Duration::from_secs(1);
            let due = planner.settlements(4, now);
            let [settlement] = &due[..] else { break };
            assert!(settlement.chunks.len() <= 3, "operations in one transaction");
            for (_, set) in &settlement.chunks {
                assert!(String::from(set.clone()).len() < 8 * 1024);
            }
            assert!(String::from(settlement.record.finished.clone()).len() < 1024);
            stored += settlement.tasks.len();
            version += 1;
            planner.settled(settlement, version);
        }
    }
    assert_eq!(stored, 50_000);
    assert_eq!(planner.job(&id()).expect("claimed").record.done, 50_000);
}

#[test]
fn a_list_proves_a_machine_gone_only_if_it_describes_a_later_moment() {
    let now = Instant::now();
    let (mut planner, _) = with_start_sent(now);
    // Asked soon after the machine was known: it may describe the time before.
    let soon = now + Duration::from_secs(3);
    planner.on_list(&[], soon, soon);
    assert!(planner.machine("host-1").is_some(), "S5");
    let later = now + Duration::from_secs(5);
    planner.on_list(&[], later, later);
    assert!(planner.machine("host-1").is_none());
    assert!(planner.job(&id()).expect("claimed").active().is_empty());
    assert_eq!(planner.on_report(&report(9, 1, Vec::new()), true, later), Verdict::Stale);
}

/// A fleet that is up, with its planner.
fn fleet(machines: usize, now: Instant) -> Planner {
    let mut planner = planner(1);
    for n in 0..machines {
        let name = format!("host-{n}");
        planner.on_report(&Report { machine: name.clone(), ..report(1, 1, Vec::new()) }, true, now);
        planner.machine_recorded(&name, true);
    }
    planner
}

fn claim(planner: &mut Planner, number: usize, priority: Priority, begun: u32, now: Instant) {
    let mut record = JobRecord { begun, ..record(400, 1) };
    record.spec.id = JobId::parse(&format!("j-{number:06}")).expect("an id");
    record.spec.priority = priority;
    record.spec.estimate_s = 300.0;
    planner.claimed(record, TaskSet::default(), 5, Duration::ZERO, now);
}

#[test]
fn jobs_that_may_not_start_more_yet_cost_no_looks_and_stop_nobody() {
    let start = Instant::now();
    let mut planner = fleet(40, start);
    // All that runs may be stopped for the urgent jobs, which have begun what they may begin.
    claim(&mut planner, 1, Priority::Low, 160, start);
    planner.plan(start);
    for number in 2..30 {
        claim(&mut planner, number, Priority::High, 0, start);
    }
    planner.take_actions();
    let before = planner.overview(start);
    assert_eq!(planner.job(&id()).expect("claimed").active().len(), 160);
    let later = start + Duration::from_secs(60);
    for n in 0..40 {
        let name = format!("host-{n}");
        let again = Report { machine: name.clone(), ..report(2, 1, Vec::new()) };
        planner.on_report(&again, true, later);
        planner.orders(&name, 1, 2, true, later);
    }
    planner.plan(later);
    let stops = planner.take_actions();
    assert!(stops.iter().all(|a| !matches!(a, Action::Direct { .. })), "{stops:?}");
    assert_eq!(planner.overview(later).steps, before.steps, "no machine was looked at for them");
}

/// Counts, so that it holds on any machine: with four times the machines and four times the jobs
/// that wait for them, a pass may look at some four times as much, not at sixteen times.
#[test]
fn the_work_of_a_pass_grows_no_faster_than_the_fleet() {
    let start = Instant::now();
    let steps = |machines: usize| {
        let mut planner = fleet(machines, start);
        for number in 0..machines / 4 {
            let priority = [Priority::Low, Priority::Normal, Priority::High][number % 3];
            claim(&mut planner, number, priority, 400, start);
        }
        planner.plan(start);
        let before = planner.overview(start);
        let later = start + Duration::from_secs(1);
        for _ in 0..10 {
            planner.plan(later);
        }
        let after = planner.overview(later);
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
    let mut planner = fleet(50, start);
    for number in 1..=50 {
        claim(&mut planner, number, Priority::Normal, 400, start);
    }
    let last = JobId::parse("j-000050").expect("an id");
    let done = |number: usize| TaskReport {
        task: TaskId { job: JobId::parse(&format!("j-{number:06}")).expect("an id"), index: 0 },
        ..on_machine(1 << 24, TaskPhase::Exited, Some(ExitCause::Done))
    };
    let reported = (1..=50).map(done).collect();
    planner.on_report(&Report { machine: "host-0".into(), ..report(2, 1, reported) }, true, start);
    // The last of them by id has begun all that its record allows.
    let mut announcing = JobRecord { begun: 4, ..record(400, 1) };
    announcing.spec.id = JobId::parse("j-000099").expect("an id");
    announcing.spec.priority = Priority::High;
    planner.claimed(announcing, TaskSet::default(), 5, Duration::ZERO, start);
    planner.plan(start);
    let first = planner.settlements(1, start);
    assert_eq!(first[0].job.to_string(), "j-000099", "its other tasks wait for this");
    // Writes that fail come again, but not before all others had their turn.
    let mut stored: Vec<JobId> = Vec::new();
    for round in 1..=13 {
        let now = start + Duration::from_secs(round);
        for settlement in planner.settlements(4, now) {
            planner.settling_failed(&settlement.job, None);
            stored.push(settlement.job);
        }
    }
    assert!(stored.contains(&last), "{stored:?}");
}

#[test]
fn while_silent_machines_come_back_one_after_the_other_the_last_are_not_given_up() {
    let start = Instant::now();
    let mut planner = planner(7);
    for n in 0..48 {
        planner.recorded_machine(&format!("host-{n}"), &machine_record(), Duration::ZERO, start);
        (0..3).for_each(|_| planner.unanswered(&format!("host-{n}")));
    }
    // Long after the patience with a few, a cut ends.
    for n in 0..47 {
        let now = start + Duration::from_secs(8) + Duration::from_millis(200) * n;
        let again = Report { machine: format!("host-{n}"), ..report(9, 7, Vec::new()) };
        planner.on_report(&again, true, now);
        planner.tick(now);
        let returned = |action: &Action| matches!(action, Action::Delete(_));
        assert!(!planner.take_actions().iter().any(returned), "after machine {n}");
    }
    planner.tick(start + Duration::from_secs(21));
    let last = Action::Delete(vec!["host-47".into()]);
    assert!(planner.take_actions().contains(&last), "silent while nothing else comes");
}

#[test]
fn tasks_that_belong_together_or_apart_wait_until_all_machines_have_shown_what_they_hold() {
    let now = Instant::now();
    for (one_zone, spread) in [(true, false), (false, true)] {
        let mut planner = planner(7);
        let machine = machine_record();
        planner.recorded_machine("host-1", &machine, Duration::ZERO, now);
        let other = MachineRecord { zone: "y".into(), ..machine };
        planner.recorded_machine("host-2", &other, Duration::ZERO, now);
        planner.on_report(&report(9, 7, Vec::new()), true, now);
        let mut job = record(100, 1);
        (job.begun, job.begun_before) = (70, 0);
        (job.spec.one_zone, job.spec.spread) = (one_zone, spread);
        job.claim("later owner".into());
        planner.claimed(job, TaskSet::default(), 5, Duration::ZERO, now);
        planner.plan(now);
        let active = |planner: &Planner| planner.job(&id()).expect("claimed").active().len();
        assert_eq!(active(&planner), 0, "S8: the others may be in another zone");
        planner.deleted(&["host-2".into()]);
        planner.plan(now);
        assert_eq!(active(&planner), 4);
    }
}

/// Lets a machine run four tasks, one after the other, that take `run` each; its reports come
/// every 2 s, or whenever a task ends.
fn run_four(planner: &mut Planner, name: &str, run: Duration, held_up: Duration, start: Instant) {
    let (mut at, mut seq) = (start, 10);
    for _ in 0..4 {
        let mut say = |planner: &mut Planner, at: Instant, tasks: Vec<TaskReport>| {
            seq += 1;
            let report = Report { machine: name.to_owned(), ..report(seq, 1, tasks) };
            planner.on_report(&report, true, at);
            planner.orders(name, 1, seq, true, at)
        };
        say(planner, at, Vec::new());
        planner.plan(at);
        let orders = say(planner, at, Vec::new());
        let starts: Vec<(TaskId, u64)> = orders
            .iter()
            .filter_map(|order| match order {
                Order::Start { task, attempt } => Some((task.clone(), *attempt)),
                _ => None,
            })
            .collect();
        assert!(!starts.is_empty(), "{name} is given work");
        let tell = |phase, cause| {
            let told = starts.iter().map(|(task, attempt)| TaskReport {
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
            say(planner, at, tell(TaskPhase::Running, None));
            at += Duration::from_secs(2).min(end - at);
        }
        at += held_up;
        say(planner, at, tell(TaskPhase::Exited, Some(ExitCause::Done)));
        for settlement in planner.settlements(4, at) {
            planner.settled(&settlement, 6);
        }
        say(planner, at, tell(TaskPhase::Exited, Some(ExitCause::Done)));
        say(planner, at, Vec::new());
    }
}

#[test]
fn a_slow_machine_is_left_to_jobs_of_which_nothing_runs_and_one_that_is_held_up_is_not_slow() {
    let start = Instant::now();
    let secs = Duration::from_secs;
    let cases = [(true, secs(4), Duration::ZERO), (false, secs(1), Duration::from_millis(1900))];
    for (slow, run, held_up) in cases {
        let mut planner = planner(1);
        let mut at = start;
        // Each has the work to itself, one after the other.
        for (name, run) in [("host-0", run), ("host-1", if slow { run * 4 } else { run })] {
            let report = Report { machine: name.into(), ..report(1, 1, Vec::new()) };
            planner.on_report(&report, true, at);
            planner.machine_recorded(name, true);
            if name == "host-0" {
                planner.claimed(record(400, 1), TaskSet::default(), 5, Duration::ZERO, at);
            }
            let late = if name == "host-1" { held_up } else { Duration::ZERO };
            run_four(&mut planner, name, run, late, at);
            // The other one is silent meanwhile, and so gets nothing.
            at += secs(100);
        }
        let say = |planner: &mut Planner, name: &str, seq: u64, at: Instant| {
            let report = Report { machine: name.into(), ..report(seq, 1, Vec::new()) };
            planner.on_report(&report, true, at);
            planner.orders(name, 1, seq, false, at);
        };
        say(&mut planner, "host-0", 900, at);
        say(&mut planner, "host-1", 900, at);
        planner.plan(at);
        let on = |planner: &Planner, name: &str| {
            let job = planner.job(&id()).expect("claimed");
            job.active().values().filter(|p| p.machine == name).count()
        };
        assert_eq!(on(&planner, "host-0"), 4);
        assert_eq!(on(&planner, "host-1"), if slow { 0 } else { 4 }, "slow: {slow}");
        // Nothing else is left, and nothing of the job has run for a minute.
        planner.deleted(&["host-0".into()]);
        for wait in [0, 61] {
            say(&mut planner, "host-1", 901 + wait, at + secs(wait));
            planner.tick(at + secs(wait));
            planner.plan(at + secs(wait));
        }
        assert_eq!(on(&planner, "host-1"), if slow { 1 } else { 4 }, "slow: {slow}");
    }
}

#[test]
fn a_job_that_is_passed_over_for_a_minute_begins_in_room_that_is_kept_for_urgent_ones() {
    let start = Instant::now();
    let mut planner = planner(1);
    let say = |planner: &mut Planner, seq: u64, now: Instant| {
        planner.on_report(&report(seq, 1, Vec::new()), true, now);
    };
    say(&mut planner, 1, start);
    planner.machine_recorded("host-1", true);
    // Three of four CPUs are taken by work that is not urgent; an urgent task needs two.
    for (number, priority, tasks, cpus) in
        [(2, Priority::Normal, 3, 1.0), (3, Priority::High, 1, 2.0), (1, Priority::Normal, 5, 1.0)]
    {
        let mut job = record(tasks, 1);
        job.spec.id = JobId::parse(&format!("j-{number:06}")).expect("an id");
        (job.spec.priority, job.spec.cpus) = (priority, cpus);
        planner.claimed(job, TaskSet::default(), 5, Duration::ZERO, start);
        if number == 2 {
            planner.plan(start);
        }
    }
    let active = |planner: &Planner| planner.job(&id()).expect("claimed").active().len();
    planner.plan(start);
    assert_eq!(active(&planner), 0, "the CPU that is left is kept for the urgent job");
    let later = start + Duration::from_secs(61);
    say(&mut planner, 2, later);
    planner.orders("host-1", 1, 2, false, later);
    planner.plan(later);
    planner.tick(later);
    planner.plan(later);
    assert_eq!(active(&planner), 1, "it begins, and no more than that");
}

/// A second machine, of the name given, that takes work.
fn report_of(name: &str, seq: u64) -> Report {
    Report { machine: name.into(), addr: "10.0.0.10:9000".into(), ..report(seq, 1, Vec::new()) }
}

#[test]
fn a_task_assigned_to_a_machine_that_takes_no_more_work_is_assigned_elsewhere() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    for notice in [true, false] {
        let mut planner = planner(1);
        planner.on_report(&report(1, 1, Vec::new()), true, now);
        planner.machine_recorded("host-1", true);
        planner.claimed(record(1, 1), TaskSet::default(), 5, Duration::ZERO, now);
        planner.plan(now);
        assert!(planner.has_starts_for("host-1"));
        // While no start may leave, say in an outage of the store, its machine has to go.
        if notice {
            let noticed = Report { notice_s: Some(30.0), ..report(2, 1, Vec::new()) };
            planner.on_report(&noticed, true, later);
        } else {
            planner.drain("host-1");
            planner.on_report(&report(2, 1, Vec::new()), true, later);
        }
        planner.on_report(&report_of("host-2", 1), true, later);
        planner.machine_recorded("host-2", true);
        planner.tick(later);
        planner.plan(later);
        assert!(!planner.has_starts_for("host-1"), "notice: {notice}");
        assert!(planner.has_starts_for("host-2"), "notice: {notice}");
        if !notice {
            planner.tick(later);
            let deletes = |action: &Action| matches!(action, Action::Delete(names) if names.iter().any(|name| name == "host-1"));
            assert!(planner.take_actions().iter().any(deletes), "nothing holds it back");
        }
    }
}

/// Rentals of ordinary machines among what the planner asks for.
fn ordinary_rentals(planner: &mut Planner) -> Vec<RentRequest> {
    let rentals = planner.take_actions().into_iter().filter_map(|action| match action {
        Action::Rent(request) if !request.spot => Some(request),
        _ => None,
    });
    rentals.collect()
}

#[test]
fn dear_machines_are_asked_for_only_once_it_is_known_that_cheap_ones_lack() {
    let now = Instant::now();
    let mut planner = planner(1);
    planner.claimed(record(80, 1), TaskSet::default(), 5, Duration::ZERO, now);
    planner.adjust_machines(now);
    let actions = planner.take_actions();
    let Some(Action::Rent(spot)) = actions.iter().find(|a| matches!(a, Action::Rent(r) if r.spot))
    else {
        panic!("{actions:?}")
    };
    let more =
        JobRecord { spec: JobSpec { id: other_id(), ..record(400, 1).spec }, ..record(400, 1) };
    planner.claimed(more, TaskSet::default(), 5, Duration::ZERO, now);
    // The spot offer is under way, and so not open; that is no reason to take the dear one.
    let soon = now + Duration::from_millis(200);
    planner.adjust_machines(soon);
    assert_eq!(ordinary_rentals(&mut planner), Vec::new());
    planner.rented(spot, Err(true), soon);
    planner.adjust_machines(soon);
    assert!(!ordinary_rentals(&mut planner).is_empty(), "no spot machine is to be had");
}

fn other_id() -> JobId {
    JobId::parse("j-000002").expect("an id")
}
