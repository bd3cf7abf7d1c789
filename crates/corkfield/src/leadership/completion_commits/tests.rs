use super::*;
use corkfield_wire::JobSpec;

fn commit(number: u32, image: &str) -> CompletionCommit {
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

fn sizes(batches: &[Vec<JobCommit>]) -> Vec<usize> {
    batches.iter().map(Vec::len).collect()
}

#[test]
fn jobs_share_a_transaction_up_to_its_changes() {
    let due: Vec<CompletionCommit> = (0..5).map(|number| commit(number, "i")).collect();
    assert_eq!(sizes(&batches(due.clone(), 4)), [4, 1]);
    let mut finished = due;
    finished.iter_mut().for_each(|commit| commit.completes_job = true);
    assert_eq!(sizes(&batches(finished, 4)), [2, 2, 1], "each drops a record and writes one");
}

#[test]
fn jobs_share_a_transaction_up_to_its_bytes() {
    let large = "i".repeat(MAX_TRANSACTION_BYTES / 2);
    let due = vec![commit(0, "i"), commit(1, &large), commit(2, &large), commit(3, "i")];
    assert_eq!(sizes(&batches(due, 100)), [2, 2]);
    let larger_than_all = "i".repeat(MAX_TRANSACTION_BYTES);
    assert_eq!(sizes(&batches(vec![commit(0, &larger_than_all)], 100)), [1]);
}

#[test]
fn a_finished_job_leaves_a_final_record_in_place_of_its_own() {
    let mut commit = commit(0, "i");
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
