//! A controller while it leads: preparation, and the loops that serve workers and jobs.

use super::context::LeadershipContext;
use super::election::Elected;
use super::machine_records::MachineRecordQueue;
use super::state::{LeadershipClaim, LeadershipState, SharedScheduler};
use corkfield_core::Scheduler;
use corkfield_wire::records::LEADER_KEY;
use corkfield_wire::store::Transaction;
use corkfield_wire::JobId;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// While the replica lags behind the claim of the leader record, it is looked at this often.
const REPLICA_WAIT: Duration = Duration::from_millis(200);

/// What the loops of one leader share, from the claim of the leader record to the end of leading.
pub(super) struct ActiveLeader {
    /// The parts of the controller.
    pub(super) context: Rc<LeadershipContext>,
    /// Decides what runs where, under the term of the claim.
    pub(super) scheduler: SharedScheduler,
    /// The claim of the leader record.
    pub(super) claim: Rc<LeadershipClaim>,
    /// Jobs were claimed, or a rental was filled: more machines may be needed at once.
    pub(super) scaling_wanted: Rc<Notify>,
    /// Claimed jobs whose finished tasks are being read.
    pub(super) reading: Rc<RefCell<HashSet<JobId>>>,
    /// Machines whose records are to be written.
    pub(super) machine_records: Rc<MachineRecordQueue>,
}

impl ActiveLeader {
    /// Begins the preparation of a leader.
    pub(super) fn new(context: Rc<LeadershipContext>, elected: Elected) -> Self {
        let seed = context.env.random();
        let config = context.env.settings.scheduler_config();
        let mut scheduler = Scheduler::new(config, elected.term, seed);
        let claim = Rc::new(LeadershipClaim {
            membership: elected.membership,
            record_version: Cell::new(elected.record_version),
        });
        context.leadership.enter(LeadershipState::Preparing(claim.clone()));
        if let Some(types) = context.replica.contents.borrow().machine_types.clone() {
            scheduler.set_types(types);
        }
        Self {
            context,
            scheduler: Rc::new(RefCell::new(scheduler)),
            claim,
            scaling_wanted: Rc::default(),
            reading: Rc::default(),
            machine_records: Rc::default(),
        }
    }

    /// A transaction that is carried out only while this controller leads: a leader that was
    /// replaced can't add anything that its successor doesn't know.
    pub(super) fn when_leading(&self) -> Transaction {
        Transaction::default().when(LEADER_KEY, self.claim.record_version.get())
    }

    /// Prepares, then serves; returns only if all its loops end, which they don't.
    pub(super) async fn run(&self) {
        self.prepare().await;
        tokio::join!(
            self.claim_jobs(),
            self.store_completions(),
            self.dispatch_actions(),
            self.write_machine_records(),
            self.run_timers(),
            self.run_placement_passes(),
            self.poll_machine_list(),
            self.fence_machines(),
            self.refresh_machine_types(),
            self.raise_terms(),
        );
    }

    /// Takes over what earlier leaders left, up to the first heartbeat that may be answered.
    async fn prepare(&self) {
        self.load_machine_records().await;
        self.until_replica_shows_claim().await;
        // The most urgent jobs first: heartbeats are of little use without the jobs of their tasks.
        self.claim_round().await;
        let leadership = &self.context.leadership;
        leadership.enter(LeadershipState::leading(self.claim.clone(), self.scheduler.clone()));
        leadership.close_all_but(&self.context.replica.contents.borrow().jobs);
    }

    /// What the leaders before us claimed last may not be in the replica yet, and tasks of jobs
    /// that nobody knows are stopped.
    async fn until_replica_shows_claim(&self) {
        let replica = &self.context.replica;
        while replica.contents.borrow().revision() < self.claim.record_version.get() {
            let changed = replica.changed.notified();
            let _ = tokio::time::timeout(REPLICA_WAIT, changed).await;
        }
    }
}
