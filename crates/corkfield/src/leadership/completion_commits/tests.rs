use super::*;
use corkfield_wire::JobSpec;

fn completion_commit(number: u32, image: &str) -> CompletionCommit {
    let spec = format!(
        "{{\"name_id\":\"j-{number:06}\",\"pool\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\",\
         \"rank\":\"normal\",\"pieces\":9,\"vcpus\":1,\"accelerators\":0,\"mem_gb\":1,\
         \"bundle\":\"{image}\",\"image_gb\":1,\"same_place\":false,\"apart\":false,\
         \"loaners\":true,\"guess_s\":1,\"snapshot_s\":0,\"flush_s\":0}}"
    );
    let spec: JobSpec = serde_json::from_str(&spec).expect("a submission");
    CompletionCommit {
        job: spec.id.clone(),
        version: Revision::new(7),
        record: JobRecord::new(spec, 0),
        chunks: Vec::new(),
        tasks: vec![1],
        completes_job: false,
    }
}

fn batch_sizes(batches: &[Vec<JobCommit>]) -> Vec<usize> {
    batches.iter().map(Vec::len).collect()
}

#[test]
fn batches_are_limited_by_the_changes_of_a_transaction() {
    let due: Vec<CompletionCommit> = (0..5).map(|number| completion_commit(number, "i")).collect();
    assert_eq!(batch_sizes(&group_into_batches(due.clone(), 4)), [4, 1]);
    let mut finished = due;
    finished.iter_mut().for_each(|commit| commit.completes_job = true);
    assert_eq!(
        batch_sizes(&group_into_batches(finished, 4)),
        [2, 2, 1],
        "each deletes a record and writes another"
    );
}

#[test]
fn batches_are_limited_by_the_bytes_of_a_transaction() {
    let large = "i".repeat(MAX_TRANSACTION_BYTES / 2);
    let due = vec![
        completion_commit(0, "i"),
        completion_commit(1, &large),
        completion_commit(2, &large),
        completion_commit(3, "i"),
    ];
    assert_eq!(batch_sizes(&group_into_batches(due, 100)), [2, 2]);
    let larger_than_limit = "i".repeat(MAX_TRANSACTION_BYTES);
    assert_eq!(
        batch_sizes(&group_into_batches(vec![completion_commit(0, &larger_than_limit)], 100)),
        [1]
    );
}

#[test]
fn final_commit_replaces_the_job_record_by_a_final_record() {
    let mut commit = completion_commit(0, "i");
    commit.completes_job = true;
    let id = commit.job.clone();
    let transaction = JobCommit::new(commit).transaction;
    let record = FinalRecord { status: JobStatus::Done, finished_count: 0 };
    let expected = Transaction::default()
        .when(job_key(&id), Revision::new(7))
        .delete(job_key(&id))
        .put(final_record_key(&id), store_value(&record));
    assert_eq!(transaction, expected);
}
