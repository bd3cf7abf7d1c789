//! Which records have to be claimed, and what a claim changes.

use crate::support::{job_record, scheduler as scheduler_without_machines};
use corkfield_core::Scheduler;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{Generation, Incarnation, Revision, TaskSet};
use std::time::{Duration, Instant};

const KNOWN_VERSION: Revision = Revision::new(5);
const LATER_VERSION: Revision = Revision::new(6);

fn owner() -> Incarnation {
    Incarnation::from("n0-1")
}

/// The record of a job that we claimed, at its second generation.
fn our_record() -> JobRecord {
    JobRecord { owner: Some(owner()), ..job_record(1, 2) }
}

/// A scheduler that has taken up our claim.
fn scheduler_with_claim() -> Scheduler {
    let mut scheduler = scheduler_without_machines(1);
    scheduler.on_job_claimed(
        our_record(),
        TaskSet::default(),
        KNOWN_VERSION,
        Duration::ZERO,
        Instant::now(),
    );
    scheduler
}

#[test]
fn records_that_somebody_else_changed_need_a_claim_and_our_own_do_not() {
    let scheduler = scheduler_with_claim();
    let needs_claim = |record: &JobRecord, version| scheduler.needs_claim(record, version);
    let released = JobRecord { owner: None, ..our_record() };
    let others = JobRecord { owner: Some("n1-7".into()), ..our_record() };
    for record in [&released, &others] {
        assert!(needs_claim(record, LATER_VERSION), "{record:?}");
        assert!(!needs_claim(record, KNOWN_VERSION), "the replica lags: {record:?}");
    }
    assert!(!needs_claim(&our_record(), LATER_VERSION), "a commit of our own");
    assert!(!needs_claim(&our_record(), KNOWN_VERSION));
    let fresh = scheduler_without_machines(1).needs_claim(&our_record(), KNOWN_VERSION);
    assert!(fresh, "not known");
}

/// A claim of ours went unanswered, was looked for in vain, and was carried out late.
#[test]
fn a_record_of_our_own_at_an_unknown_generation_needs_a_claim() {
    let scheduler = scheduler_with_claim();
    let late = JobRecord { generation: Generation::new(3), ..our_record() };
    assert!(scheduler.needs_claim(&late, LATER_VERSION));
}
