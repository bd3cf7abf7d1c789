use super::*;
use crate::settings::tests::settings_of;
use corkfield_http::Tcp;
use corkfield_wire::records::{job_key, JobRecord, Versioned};
use corkfield_wire::store::Event;
use corkfield_wire::{JobSpec, Revision};
use std::cell::RefCell;

const SUBMISSION: &str = r#"{"name_id": "ID", "pool": "sums", "owner": "free", "shape": "sweep",
    "rank": "normal", "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "mem_gb": 1.0,
    "bundle": "img-1", "image_gb": 0.5, "same_place": false, "apart": false, "loaners": true,
    "guess_s": 5.0, "snapshot_s": 0.0, "flush_s": 0.0}"#;

/// What the observer saw when it was told of jobs that ended.
struct Ended {
    jobs: Vec<JobId>,
    still_in_replica: bool,
    proven_at: Option<Instant>,
}

struct Recorder {
    replica: Rc<StoreReplica>,
    ended: RefCell<Vec<Ended>>,
}

impl ReplicaObserver for Recorder {
    fn jobs_ended(&self, jobs: &[JobId]) {
        let contents = self.replica.contents.borrow();
        self.ended.borrow_mut().push(Ended {
            jobs: jobs.to_vec(),
            still_in_replica: jobs.iter().any(|id| contents.jobs.contains_key(id)),
            proven_at: self.replica.proven_at(),
        });
    }

    fn jobs_reloaded(&self, _: &BTreeMap<JobId, Versioned<JobRecord>>) {}

    fn watches_closely(&self) -> bool {
        false
    }
}

fn follower() -> (ReplicaFollower, Rc<Recorder>) {
    let env = Rc::new(Environment::new(settings_of(14.0, 34.0, ""), Rc::new(Tcp), 1));
    let replica: Rc<StoreReplica> = Rc::default();
    let observer = Rc::new(Recorder { replica: replica.clone(), ended: RefCell::default() });
    (ReplicaFollower { env, replica, observer: observer.clone() }, observer)
}

fn record(id: &str) -> JobRecord {
    let spec = JobSpec::parse(SUBMISSION.replace("ID", id).as_bytes()).expect("a valid submission");
    JobRecord::new(spec, 0)
}

#[tokio::test(start_paused = true)]
async fn a_read_is_proof_only_after_the_observer_has_what_it_brought() {
    let (follower, observer) = follower();
    let record = record("j-000001");
    let id = record.spec.id.clone();
    let value = serde_json::to_value(&record).expect("serializable");
    let put = Event::Put { key: job_key(&id), value, version: Revision::new(1) };
    let first = now();
    follower.take_events(WatchAnswer { revision: Revision::new(1), events: vec![put] }, first);
    assert!(follower.replica.contents.borrow().jobs.contains_key(&id));
    assert_eq!(follower.replica.proven_at(), Some(first));
    tokio::time::advance(Duration::from_secs(1)).await;
    let second = now();
    let delete = Event::Delete { key: job_key(&id), version: Revision::new(2) };
    follower.take_events(WatchAnswer { revision: Revision::new(2), events: vec![delete] }, second);
    assert_eq!(follower.replica.proven_at(), Some(second));
    let ended = observer.ended.borrow();
    let seen = ended.last().expect("the observer was told");
    assert_eq!(seen.jobs, [id]);
    assert!(!seen.still_in_replica, "the replica shows it already");
    assert_eq!(seen.proven_at, Some(first), "the second read was no proof yet");
}
