//! Tests of supply: which machines count as room for which waiting tasks, and what is rented and
//! returned because of it.

use crate::support::{empty_scheduler, job_record};
use corkfield_core::{Action, RentalFailure, Scheduler, SupplyGap};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{JobId, JobSpec, Revision, TaskSet};
use std::time::{Duration, Instant};

/// Returns the id of a job by its number.
fn job_id(number: u32) -> JobId {
    JobId::parse(&format!("j-{number:06}")).expect("a valid job id")
}

/// Claims a job of that many tasks, after `change` has changed its specification.
fn claim_job(
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
fn take_rentals(scheduler: &mut Scheduler) -> Vec<RentRequest> {
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
