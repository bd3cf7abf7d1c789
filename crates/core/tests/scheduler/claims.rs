//! Tests of which job records have to be claimed.

use crate::support::{empty_scheduler, job_record};
use corkfield_core::{confirm_claim, Scheduler};
use corkfield_wire::records::{JobRecord, Versioned};
use corkfield_wire::{Generation, Incarnation, Revision, TaskSet};
use std::time::{Duration, Instant};

const KNOWN_VERSION: Revision = Revision::new(5);
const LATER_VERSION: Revision = Revision::new(6);

fn owner() -> Incarnation {
    Incarnation::from("n0-1")
}

/// Returns the record of a job that this controller claimed, at the job's second generation.
fn our_record() -> JobRecord {
    JobRecord { owner: Some(owner()), ..job_record(1, 2) }
}

/// Creates a scheduler with a job that this controller claimed.
fn scheduler_with_claimed_job() -> Scheduler {
    let mut scheduler = empty_scheduler(1);
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
fn records_changed_by_others_and_unknown_jobs_need_a_claim() {
    let scheduler = scheduler_with_claimed_job();
    let needs_claim = |record: &JobRecord, version| scheduler.needs_claim(record, version);
    let released = JobRecord { owner: None, ..our_record() };
    let claimed_by_other = JobRecord { owner: Some("n1-7".into()), ..our_record() };
    for record in [&released, &claimed_by_other] {
        assert!(needs_claim(record, LATER_VERSION), "{record:?}");
        assert!(
            !needs_claim(record, KNOWN_VERSION),
            "a lagging replica shows a known version: {record:?}"
        );
    }
    assert!(
        !needs_claim(&our_record(), LATER_VERSION),
        "the new version was written by our own commit"
    );
    assert!(!needs_claim(&our_record(), KNOWN_VERSION));
    let unknown_job = empty_scheduler(1).needs_claim(&our_record(), KNOWN_VERSION);
    assert!(unknown_job, "a job that the scheduler does not know");
}

/// Guards against a job that stays unclaimed: a claim of this controller was not answered, was not
/// in the store when it was looked up, and was carried out later.
#[test]
fn our_own_record_with_an_unknown_generation_needs_a_claim() {
    let scheduler = scheduler_with_claimed_job();
    let late_claim = JobRecord { generation: Generation::new(3), ..our_record() };
    assert!(scheduler.needs_claim(&late_claim, LATER_VERSION));
}

/// Guards against starts that the next leader does not know of: a record that was read after an
/// unanswered claim comes from an earlier claim of the same job, with a lower start watermark. The
/// claim that was meant to be written must not be taken for stored.
#[test]
fn an_unanswered_claim_is_confirmed_as_the_store_holds_it() {
    let meant = JobRecord { start_watermark: 128, ..our_record() };
    let earlier = JobRecord { start_watermark: 0, ..our_record() };
    let stored = Versioned { record: earlier, version: LATER_VERSION };
    assert_eq!(confirm_claim(&meant, stored.clone()), Some(stored));
}

/// Guards against jobs that count as claimed because another job of the same claim is: each record
/// is looked at on its own.
#[test]
fn an_unanswered_claim_is_not_confirmed_by_the_record_before_it() {
    let unclaimed = JobRecord { owner: None, ..job_record(1, 1) };
    let claimed_by_other = JobRecord { owner: Some("n1-7".into()), ..our_record() };
    let later_claim = JobRecord { generation: Generation::new(3), ..our_record() };
    for record in [unclaimed, claimed_by_other, later_claim] {
        let stored = Versioned { record, version: LATER_VERSION };
        assert_eq!(confirm_claim(&our_record(), stored.clone()), None, "{stored:?}");
    }
}
