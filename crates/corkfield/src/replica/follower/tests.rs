use super::*;
use crate::settings::tests::test_settings;
use corkfield_http::Tcp;
use corkfield_wire::records::{job_key, JobRecord, Versioned};
use corkfield_wire::store::Event;
use corkfield_wire::{JobSpec, Revision};
use std::cell::RefCell;

const SUBMISSION: &str = r#"{"name_id": "ID", "pool": "sums", "owner": "free", "shape": "sweep",
    "rank": "normal", "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "mem_gb": 1.0,
    "bundle": "img-1", "image_gb": 0.5, "same_place": false, "apart": false, "loaners": true,
    "guess_s": 5.0, "snapshot_s": 0.0, "flush_s": 0.0}"#;

/// State of the replica when the observer was notified of ended jobs.
struct EndedNotification {
    jobs: Vec<JobId>,
    is_still_in_replica: bool,
    proven_at: Option<Instant>,
}

/// An observer that records its notifications.
struct Recorder {
    replica: Rc<StoreReplica>,
    notifications: RefCell<Vec<EndedNotification>>,
}

impl ReplicaObserver for Recorder {
    fn on_jobs_ended(&self, jobs: &[JobId]) {
        let contents = self.replica.contents.borrow();
        self.notifications.borrow_mut().push(EndedNotification {
            jobs: jobs.to_vec(),
            is_still_in_replica: jobs.iter().any(|id| contents.jobs.contains_key(id)),
            proven_at: self.replica.proven_at(),
        });
    }

    fn on_jobs_reloaded(&self, _: &BTreeMap<JobId, Versioned<JobRecord>>) {}

    fn needs_prompt_updates(&self) -> bool {
        false
    }
}

fn follower() -> (ReplicaFollower, Rc<Recorder>) {
    let env = Rc::new(Environment::new(test_settings(14.0, 34.0, ""), Rc::new(Tcp), 1));
    let replica: Rc<StoreReplica> = Rc::default();
    let observer =
        Rc::new(Recorder { replica: replica.clone(), notifications: RefCell::default() });
    (ReplicaFollower { env, replica, observer: observer.clone() }, observer)
}

fn record(id: &str) -> JobRecord {
    let spec = JobSpec::parse(SUBMISSION.replace("ID", id).as_bytes()).expect("a valid submission");
    JobRecord::new(spec, 0)
}

#[tokio::test(start_paused = true)]
async fn read_becomes_proof_of_fresh_state_only_after_the_observer_was_notified() {
    let (follower, observer) = follower();
    let record = record("j-000001");
    let id = record.spec.id.clone();
    let value = serde_json::to_value(&record).expect("serializable");
    let put = Event::Put { key: job_key(&id), value, version: Revision::new(1) };
    let first = now();
    follower.apply_read(WatchAnswer { revision: Revision::new(1), events: vec![put] }, first);
    assert!(follower.replica.contents.borrow().jobs.contains_key(&id));
    assert_eq!(follower.replica.proven_at(), Some(first));
    tokio::time::advance(Duration::from_secs(1)).await;
    let second = now();
    let delete = Event::Delete { key: job_key(&id), version: Revision::new(2) };
    follower.apply_read(WatchAnswer { revision: Revision::new(2), events: vec![delete] }, second);
    assert_eq!(follower.replica.proven_at(), Some(second));
    let notifications = observer.notifications.borrow();
    let seen = notifications.last().expect("the observer was notified");
    assert_eq!(seen.jobs, [id]);
    assert!(!seen.is_still_in_replica, "the replica already contains the change");
    assert_eq!(seen.proven_at, Some(first), "the second read was not the proof yet");
}
