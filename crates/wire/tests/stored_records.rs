//! Tests that this version reads the records that earlier versions stored and writes the same text.
//!
//! The fixtures were written by the version at commit 2b8fbd7. The `older_*` fixtures lack the
//! fields that still earlier versions did not have.

use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::*;
use corkfield_wire::{
    ControllerName, Generation, Incarnation, JobId, JobSpec, JobStatus, TaskSet, Term,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

macro_rules! fixture {
    ($name:literal) => {
        include_str!(concat!("fixtures/", $name, ".json")).trim_end()
    };
}

const ACCEPTED_MS: u64 = 1_700_000_000_123;

fn read<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error} in {text}"))
}

/// Requires that the fixture's text is parsed as `expected`, and that `expected` is serialized as
/// exactly this text.
fn assert_stored_as<T>(expected: &T, text: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(&read::<T>(text), expected);
    assert_eq!(serde_json::to_string(expected).unwrap(), text);
    // Records are converted to and from `serde_json::Value` when they are stored and read.
    let value = serde_json::to_value(expected).unwrap();
    assert_eq!(value, read::<serde_json::Value>(text));
    assert_eq!(&serde_json::from_value::<T>(value).unwrap(), expected);
}

fn job_id() -> JobId {
    JobId::parse("j-000412").unwrap()
}

fn job_spec(tasks: u32) -> JobSpec {
    let submission = format!(
        r#"{{"name_id":"j-000412","pool":"train","owner":"vision","shape":"sweep",
        "rank":"urgent","pieces":{tasks},"vcpus":8.0,"accelerators":1.0,"mem_gb":64.0,
        "bundle":"img-07","image_gb":6.2,"flavours":["g8"],"site":"a","same_place":true,
        "apart":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,
        "due_s":900.0}}"#
    );
    JobSpec::parse(submission.as_bytes()).unwrap()
}

fn task_set(indices: &[u32]) -> TaskSet {
    let mut set = TaskSet::default();
    for &index in indices {
        set.insert(index);
    }
    set
}

/// Returns a job of 1,000 tasks that was claimed twice, with finished and running tasks.
fn running_job() -> JobRecord {
    let mut record = JobRecord::new(job_spec(1000), ACCEPTED_MS);
    record.claim(Incarnation::from("worker-2.1700000000000.5"));
    record.finished = task_set(&[0, 1, 2, 5, 9, 10]);
    record.finished_count = 6;
    record.running_count = 13;
    record.claim(Incarnation::from("worker-3.1"));
    record
}

#[test]
fn json_of_an_accepted_job_without_optional_fields_is_unchanged() {
    let mut record = JobRecord::new(job_spec(16), ACCEPTED_MS);
    record.spec.types = None;
    record.spec.zone = None;
    record.spec.deadline_s = None;
    assert_stored_as(&record, fixture!("job_accepted"));
}

#[test]
fn json_of_a_claimed_job_is_unchanged() {
    let record = running_job();
    assert_stored_as(&record, fixture!("job_running"));
    assert_eq!(record.start_watermark, 384);
    assert_eq!(record.previous_start_watermark, 128);
    assert_eq!(record.status(), JobStatus::Running);
    assert!(!record.is_chunked());
}

#[test]
fn json_of_a_dead_lettered_job_is_unchanged() {
    let mut record = running_job();
    record.dead_lettered = true;
    record.claim_keeping_start_watermark(Incarnation::from("worker-1.7"));
    assert_stored_as(&record, fixture!("job_dead_lettered"));
    assert_eq!(record.status(), JobStatus::Queued);
}

#[test]
fn json_of_a_chunked_job_is_unchanged() {
    let mut record = JobRecord::new(job_spec(100_000), 1);
    record.claim(Incarnation::from("w"));
    record.claim(Incarnation::from("w"));
    record.raise_start_watermark();
    assert_stored_as(&record, fixture!("job_chunked"));
    assert!(record.is_chunked());
    assert_stored_as(&task_set(&[1024, 1026, 1027]), fixture!("finished_chunk"));
}

#[test]
fn jobs_of_older_versions_may_have_started_all_tasks() {
    let text = fixture!("older_job");
    let record: JobRecord = read(text);
    let expected = JobRecord {
        generation: Generation::new(2),
        claims: 2,
        start_watermark: u32::MAX,
        previous_start_watermark: u32::MAX,
        ..JobRecord::new(job_spec(1000), ACCEPTED_MS)
    };
    assert_eq!(record, expected);
    // Writing the record adds the missing fields.
    let written = serde_json::to_string(&record).unwrap();
    let added =
        r#","done":0,"running":0,"begun":4294967295,"begun_before":4294967295,"set_aside":false}"#;
    assert_eq!(written, format!("{}{added}", text.strip_suffix('}').unwrap()));
    // A further claim must not overflow the start watermark.
    let mut claimed = record;
    claimed.claim(Incarnation::from("w"));
    assert_eq!(claimed.start_watermark, u32::MAX);
    assert_eq!(claimed.previous_start_watermark, u32::MAX);
}

#[test]
fn json_of_final_records_is_unchanged() {
    let done = FinalRecord { status: JobStatus::Done, finished_count: 16 };
    assert_stored_as(&done, fixture!("final_done"));
    let cancelled = FinalRecord { status: JobStatus::Cancelled, finished_count: 3 };
    assert_stored_as(&cancelled, fixture!("final_cancelled"));
}

#[test]
fn json_of_membership_and_leader_records_is_unchanged() {
    let membership = Membership { incarnation: Incarnation::from("worker-2.1"), lease: 7 };
    assert_stored_as(&membership, fixture!("membership"));
    let leader = LeaderRecord {
        node: Some(ControllerName::from("worker-2")),
        incarnation: Incarnation::from("worker-2.1"),
        term: Term::new(41),
        successor: None,
    };
    assert_stored_as(&leader, fixture!("leader"));
    assert_eq!(read::<LeaderRecord>(fixture!("older_leader")), leader);
    let handed_over =
        LeaderRecord { node: None, successor: Some(ControllerName::from("worker-3")), ..leader };
    assert_stored_as(&handed_over, fixture!("leader_after_hand_over"));
}

#[test]
fn json_of_machine_records_is_unchanged() {
    let machine = MachineRecord {
        addr: "10.1.0.232:9000".to_owned(),
        machine_type: "g8".to_owned(),
        zone: "a".to_owned(),
        spot: true,
        recorded_ms: ACCEPTED_MS,
    };
    assert_stored_as(&machine, fixture!("machine"));
    let older: MachineRecord = read(fixture!("older_machine"));
    assert_eq!(older, MachineRecord { recorded_ms: 0, ..machine });
}

#[test]
fn json_of_transfer_requests_and_machine_types_is_unchanged() {
    assert_stored_as(&TransferRequest { count: 3 }, fixture!("transfer_request"));
    let machine_type = MachineType {
        name: "g8".to_owned(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".to_owned(), "b".to_owned()],
    };
    let types = MachineTypesRecord { types: vec![machine_type.clone()] };
    assert_stored_as(&types, fixture!("machine_types"));
    let older: MachineTypesRecord = read(fixture!("older_machine_types"));
    let expected = MachineType {
        gpus: 0.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.0,
        spot_price: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
        ..machine_type
    };
    assert_eq!(older.types, [expected]);
}

#[test]
fn unknown_fields_of_later_versions_are_ignored() {
    let text = fixture!("machine").replacen('{', r#"{"of_a_later_version":[1],"#, 1);
    assert_eq!(read::<MachineRecord>(&text), read::<MachineRecord>(fixture!("machine")));
    let text = fixture!("job_running").replacen('{', r#"{"of_a_later_version":[1],"#, 1);
    assert_eq!(read::<JobRecord>(&text), running_job());
}

#[test]
fn keys_are_unchanged() {
    let id = job_id();
    assert_eq!(job_key(&id), "c/jobs/j-000412");
    assert_eq!(final_record_key(&id), "f/j-000412");
    assert_eq!(finished_tasks_prefix(&id), "d/j-000412/");
    assert_eq!(finished_tasks_key(&id, 7), "d/j-000412/0007");
    assert_eq!(finished_tasks_key(&id, 12_345), "d/j-000412/12345");
    assert_eq!(controller_key("worker-2"), "c/controllers/worker-2");
    assert_eq!(transfer_request_key("worker-2"), "c/transfer_requests/worker-2");
    assert_eq!(machine_key("host-000231"), "h/host-000231");
}

#[test]
fn prefixes_and_limits_of_stored_records_are_unchanged() {
    assert_eq!(REPLICATED_PREFIX, "c/");
    assert_eq!(JOBS_PREFIX, "c/jobs/");
    assert_eq!(CONTROLLERS_PREFIX, "c/controllers/");
    assert_eq!(TRANSFER_REQUESTS_PREFIX, "c/transfer_requests/");
    assert_eq!(LEADER_KEY, "c/planner");
    assert_eq!(MACHINE_TYPES_KEY, "c/types");
    assert_eq!(FINAL_RECORDS_PREFIX, "f/");
    assert_eq!(FINISHED_TASKS_PREFIX, "d/");
    assert_eq!(MACHINE_RECORDS_PREFIX, "h/");
    assert_eq!(CHUNK_TASKS, 1024);
    assert_eq!(MIN_START_WATERMARK_STEP, 128);
}
