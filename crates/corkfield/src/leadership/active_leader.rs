//! The leading controller: its preparation, and the loops that serve workers and jobs.

use super::context::LeadershipContext;
use super::election::WonElection;
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

/// Interval at which the replica's revision is checked while the replica lags behind the claim of
/// the leader record. A change in the replica triggers the check earlier.
const REPLICA_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// State shared by the loops of a leader, from the claim of the leader record until leading ends.
pub(super) struct ActiveLeader {
    /// Components of the controller.
    pub(super) context: Rc<LeadershipContext>,
    /// Decides which task runs on which machine. Its orders carry the term of this leader.
    pub(super) scheduler: SharedScheduler,
    /// The claim of the leader record.
    pub(super) claim: Rc<LeadershipClaim>,
    /// Notified when jobs were claimed or a rental request was filled, as more machines may be
    /// needed at once.
    pub(super) scaling_requested: Rc<Notify>,
    /// Claimed jobs whose finished tasks are being read.
    pub(super) loading_jobs: Rc<RefCell<HashSet<JobId>>>,
    /// Machine records that wait to be written.
    pub(super) machine_records: Rc<MachineRecordQueue>,
}

impl ActiveLeader {
    /// Creates the leader after a won election, and enters the `Preparing` state.
    pub(super) fn new(context: Rc<LeadershipContext>, won: WonElection) -> Self {
        let seed = context.env.random();
        let config = context.env.settings.scheduler_config();
        let mut scheduler = Scheduler::new(config, won.term, seed);
        let claim = Rc::new(LeadershipClaim {
            membership: won.membership,
            record_version: Cell::new(won.record_version),
        });
        context.leadership.transition_to(LeadershipState::Preparing(claim.clone()));
        if let Some(types) = context.replica.contents.borrow().machine_types.clone() {
            scheduler.set_machine_types(types);
        }
        Self {
            context,
            scheduler: Rc::new(RefCell::new(scheduler)),
            claim,
            scaling_requested: Rc::default(),
            loading_jobs: Rc::default(),
            machine_records: Rc::default(),
        }
    }

    /// Returns a transaction that is conditional on this controller's leader record, so that a
    /// replaced leader can't write anything that its successor doesn't know of.
    pub(super) fn leader_transaction(&self) -> Transaction {
        Transaction::default().when(LEADER_KEY, self.claim.record_version.get())
    }

    /// Prepares the leader, then runs its loops, which never return.
    pub(super) async fn run(&self) {
        self.prepare().await;
        tokio::join!(
            self.claim_jobs(),
            self.commit_completions(),
            self.dispatch_actions(),
            self.write_machine_records(),
            self.run_ticks_and_scaling(),
            self.run_placement_passes(),
            self.poll_machine_list(),
            self.fence_machines(),
            self.refresh_machine_types(),
            self.raise_term_when_exceeded(),
        );
    }

    /// Loads the state that earlier leaders stored, claims a first batch of jobs, then enters the
    /// `Leading` state, in which heartbeats are answered.
    async fn prepare(&self) {
        self.load_machine_records().await;
        self.wait_until_replica_has_claim().await;
        // The most urgent jobs are claimed before heartbeats are answered, as heartbeats are of
        // little use without the jobs of the tasks that they report.
        self.claim_next_batch().await;
        let leadership = &self.context.leadership;
        leadership
            .transition_to(LeadershipState::leading(self.claim.clone(), self.scheduler.clone()));
        leadership.close_ended_jobs(&self.context.replica.contents.borrow().jobs);
    }

    /// Waits until the replica contains the claim of the leader record, and so every job that
    /// earlier leaders claimed. Tasks of jobs missing from the replica would be stopped.
    async fn wait_until_replica_has_claim(&self) {
        let replica = &self.context.replica;
        while replica.contents.borrow().revision() < self.claim.record_version.get() {
            let changed = replica.changed.notified();
            let _ = tokio::time::timeout(REPLICA_CHECK_INTERVAL, changed).await;
        }
    }
}
