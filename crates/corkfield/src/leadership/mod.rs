//! Becoming the leader, and what it does outside: claims, settling writes, fences, orders,
//! rentals.

mod actions;
mod cancelled;
mod claims;
mod failover;
mod fencing;
mod overview;
mod provisioning;

use crate::clock::{now, wall_ms};
use crate::completion_commits::{self, SharedScheduler};
use crate::node::Node;
use crate::replica::{ReplicaContents, StoreReplica};
use crate::session_lease::Current;
use cancelled::Cancelled;
use corkfield_core::Scheduler;
use corkfield_state::{RateBudget, RequestClass};
use corkfield_wire::records::{JobRecord, MachineRecord, MACHINE_RECORDS_PREFIX};
use corkfield_wire::{JobId, TaskSet};
use failover::{failover, request_transfer};
use fencing::DirectOrderGuard;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

pub use overview::overview;

/// The leader's part of the state service's limits; the others share the rest.
const LEADER_REQUESTS: f64 = 0.6;
const LEADER_WRITES: f64 = 0.7;
/// The others write nothing but what users send, little on average and much at once: so many
/// seconds' worth may come together.
const STANDBY_BURST_S: f64 = 5.0;
/// A leader known for this long has heard from all workers that reach it.
const LEADER_SETTLED_AFTER: Duration = Duration::from_secs(10);

/// A controller that stands by looks this often whether it may plan, if it sees no change before.
const STANDBY_INTERVAL: Duration = Duration::from_millis(500);

/// A pass looks at every machine: there is this much time between two for each of them.
const PASS_PACE: Duration = Duration::from_micros(250);
const PASS_PACE_MOST: Duration = Duration::from_millis(120);
/// And this many times as long as the last one took: leases, reports and users come between.
const PASS_REST: u32 = 3;
/// No report waits longer than this for a pass.
const PASS_WAIT: Duration = Duration::from_millis(1000);

/// The claim of the leader record that this controller plans under.
#[derive(Clone)]
struct LeadershipClaim {
    incarnation: String,
    /// Version of the leader record that the claim rests on.
    version: Rc<Cell<u64>>,
}

#[derive(Default)]
pub struct Leadership {
    claim: RefCell<Option<LeadershipClaim>>,
    cancelled: RefCell<Cancelled>,
    leading: Cell<bool>,
    scheduler: RefCell<Option<SharedScheduler>>,
    ready: Notify,
    actions: Notify,
    pub(crate) commit_wanted: Notify,
    /// Something changed that a placement pass should see.
    pass_wanted: Notify,
    /// A placement pass has ended.
    pass_done: Notify,
    waiting_answers: RefCell<HashMap<String, Rc<Notify>>>,
    highest_seen_term: Cell<u64>,
    last_heartbeat: Cell<Option<Instant>>,
    transfer_requests: Cell<u64>,
    transfer_wanted: Cell<bool>,
    /// Machines to which direct orders are under way, and how many.
    direct_orders_in_flight: RefCell<HashMap<String, usize>>,
}

impl Leadership {
    pub fn is_leading(&self) -> bool {
        self.leading.get()
    }

    pub fn is_ready(&self) -> bool {
        self.scheduler.borrow().is_some()
    }

    pub async fn until_ready(&self) {
        self.ready.notified().await;
    }

    pub fn scheduler(&self) -> Option<SharedScheduler> {
        self.scheduler.borrow().clone()
    }

    /// Whether the copy of the store shows that another claimed the leader record since. Asked
    /// before each answer to a report, as the loop that ends the leader may be behind: fresh
    /// state that shows a successor is no proof to answer from (S6).
    pub fn is_replaced(&self, contents: &ReplicaContents) -> bool {
        let claim = self.claim.borrow();
        claim.as_ref().is_none_or(|claim| {
            contents.scheduler.as_ref().is_some_and(|(record, version)| {
                record.incarnation != claim.incarnation && *version > claim.version.get()
            })
        })
    }

    /// The term under which this controller plans.
    pub fn term(&self) -> Option<u64> {
        Some(self.scheduler()?.borrow().term())
    }

    /// Whether starts may leave (S4), and machines be returned: the lease that the claim rests on
    /// surely goes on. One that was lost and taken anew doesn't count for what was claimed before.
    pub fn may_start(&self, node: &Node) -> bool {
        let claim = self.claim.borrow();
        let Some(claim) = claim.as_ref() else { return false };
        node.session_lease.is_valid()
            && node.session_lease.current().is_some_and(|now| now.incarnation == claim.incarnation)
    }

    /// These jobs are no longer unfinished. Stopping what was cancelled waits for nothing: not
    /// for a claim under way, nor for a read that is repeated.
    pub fn ended(&self, jobs: &[JobId]) {
        let Some(scheduler) = self.scheduler().filter(|_| !jobs.is_empty()) else { return };
        jobs.iter().for_each(|id| scheduler.borrow_mut().close_job(id));
        self.actions.notify_one();
    }

    /// The same for all that are not among the unfinished.
    pub fn close_all_but(&self, unfinished: &BTreeMap<JobId, (JobRecord, u64)>) {
        let Some(scheduler) = self.scheduler() else { return };
        scheduler.borrow_mut().close_all_but(|id| unfinished.contains_key(id));
        self.actions.notify_one();
    }

    /// The state service holds the job as cancelled: this controller committed that, or another
    /// one that did, or read it, said so. The copy of the store may be behind, or the service may
    /// refuse this controller.
    pub fn cancelled(&self, id: &JobId) {
        self.cancelled.borrow_mut().insert(id, now());
        self.ended(std::slice::from_ref(id));
    }

    fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.borrow().since.contains_key(id)
    }

    /// A job was claimed, with its finished tasks.
    fn take_claimed(
        &self,
        node: &Node,
        scheduler: &SharedScheduler,
        record: JobRecord,
        finished: TaskSet,
        version: u64,
    ) {
        let age = Duration::from_millis(wall_ms().saturating_sub(record.accepted_ms));
        let id = record.spec.id.clone();
        scheduler.borrow_mut().claimed(record, finished, version, age, now());
        // It may have been cancelled while the claim's answer was under way.
        let unfinished = node.replica.contents.borrow().jobs.contains_key(&id);
        if !unfinished || self.is_cancelled(&id) {
            scheduler.borrow_mut().close_job(&id);
        }
        self.want_pass();
    }

    /// Drops what a read begun later shows: as a rule the job is no longer unfinished. If it still
    /// is, there is a fault in another controller; its tasks were stopped for nothing, and it is
    /// claimed anew.
    fn forget_cancelled(&self, replica: &StoreReplica) {
        let Some(proven) = replica.proven_at() else { return };
        let mut cancelled = self.cancelled.borrow_mut();
        let shown = cancelled.since.iter().filter(|(_, at)| **at < proven);
        for id in shown.map(|(id, _)| id.clone()).collect::<Vec<JobId>>() {
            if replica.contents.borrow().jobs.contains_key(&id) {
                tracing::error!(job = %id, "said to be cancelled, but the state service has it");
            }
            cancelled.remove(&id);
        }
    }

    pub fn wake_actions(&self) {
        self.last_heartbeat.set(Some(now()));
        self.actions.notify_one();
    }

    /// Asks for a placement pass.
    pub fn want_pass(&self) {
        self.pass_wanted.notify_one();
    }

    /// Asks for a placement pass, and waits for its end. One pass serves all that wait: a pass
    /// for each report costs a leader with hundreds of machines more than its processor share.
    pub async fn wait_for_pass(&self) {
        let pass_done = self.pass_done.notified();
        self.want_pass();
        let _ = tokio::time::timeout(PASS_WAIT, pass_done).await;
    }

    /// A worker has seen a term above ours: the next one has to lie above it.
    pub fn saw_higher_term(&self, term: u64) {
        self.highest_seen_term.set(self.highest_seen_term.get().max(term));
    }

    /// Notified when the machine's held-back answer should go.
    pub fn hold_answer(&self, machine: &str) -> Rc<Notify> {
        let run = Rc::new(Notify::new());
        self.waiting_answers.borrow_mut().insert(machine.to_owned(), run.clone());
        run
    }

    pub fn release(&self, machine: &str, run: &Rc<Notify>) {
        let mut waiting_answers = self.waiting_answers.borrow_mut();
        if waiting_answers.get(machine).is_some_and(|current| Rc::ptr_eq(current, run)) {
            waiting_answers.remove(machine);
        }
    }

    /// Counts direct orders to a machine; `None` if too many are under way: each takes a socket,
    /// and after a failover there is one for every machine.
    fn begin_direct_orders<'a>(
        &'a self,
        machine: &'a str,
        most: usize,
    ) -> Option<DirectOrderGuard<'a>> {
        let mut direct_orders_in_flight = self.direct_orders_in_flight.borrow_mut();
        if direct_orders_in_flight.values().sum::<usize>() >= most {
            return None;
        }
        *direct_orders_in_flight.entry(machine.to_owned()).or_default() += 1;
        Some(DirectOrderGuard(self, machine))
    }

    /// A worker came here although the leader has been known for a while: it may be that the
    /// leader can't be reached. Workers that only look for a new leader are no such sign.
    pub fn note_stray_worker(&self, leader_known_for: Duration) {
        if leader_known_for > LEADER_SETTLED_AFTER {
            self.transfer_requests.set(self.transfer_requests.get() + 1);
            self.transfer_wanted.set(true);
        }
    }

    fn begin(&self, scheduler: SharedScheduler) {
        *self.scheduler.borrow_mut() = Some(scheduler);
        self.last_heartbeat.set(Some(now()));
        self.ready.notify_waiters();
    }

    fn end(&self) {
        self.leading.set(false);
        *self.claim.borrow_mut() = None;
        *self.scheduler.borrow_mut() = None;
        self.ready.notify_waiters();
        self.pass_done.notify_waiters();
        for run in self.waiting_answers.borrow_mut().drain() {
            run.1.notify_one();
        }
    }
}

/// Why a leader stops planning.
#[derive(Debug, Clone, Copy)]
enum LeadershipEnd {
    LeaseLost,
    Replaced,
    HandedOver,
}

fn standby_budget(node: &Node) -> RateBudget {
    let others = f64::from(node.env.settings.platform.params.size.saturating_sub(1).max(1));
    RateBudget {
        requests: (1.0 - LEADER_REQUESTS) / others,
        writes: (1.0 - LEADER_WRITES) / others,
        burst_s: STANDBY_BURST_S,
    }
}

const LEADER_BUDGET: RateBudget =
    RateBudget { requests: LEADER_REQUESTS, writes: LEADER_WRITES, burst_s: 1.0 };

/// Stands by, and plans whenever the record can be claimed.
pub async fn run(node: Rc<Node>) {
    node.leadership.end();
    node.env.state.set_budget(standby_budget(&node));
    loop {
        if let Some((me, version, term)) = failover(&node).await {
            tracing::info!(term, "planning");
            node.leadership.leading.set(true);
            node.env.state.set_budget(LEADER_BUDGET);
            let end = lead(&node, &me, version, term).await;
            node.leadership.end();
            node.env.state.set_budget(standby_budget(&node));
            tracing::info!(term, ?end, "no longer planning");
        }
        let changed = node.replica.changed.notified();
        node.env.timers.within(STANDBY_INTERVAL, changed).await;
        request_transfer(&node).await;
    }
}

struct ActiveLeader<'a> {
    node: &'a Rc<Node>,
    scheduler: SharedScheduler,
    me: Current,
    /// Version of the leader record that this claim rests on.
    version: Rc<Cell<u64>>,
    /// Jobs were claimed, or a rental was filled: more machines may be needed at once.
    scaling_wanted: Rc<Notify>,
    /// Claimed jobs whose finished tasks are being read.
    reading: Rc<RefCell<HashSet<JobId>>>,
    /// Machines whose records are to be written.
    unrecorded: RefCell<VecDeque<(String, MachineRecord)>>,
    /// There are such machines, or a write of records has ended.
    record_write_wanted: Rc<Notify>,
}

async fn lead(node: &Rc<Node>, me: &Current, version: u64, term: u64) -> LeadershipEnd {
    let seed = node.env.random();
    let scheduler = Scheduler::new(node.env.settings.scheduler_config(), term, seed);
    let version = Rc::new(Cell::new(version));
    let active = ActiveLeader {
        node,
        scheduler: Rc::new(RefCell::new(scheduler)),
        me: me.clone(),
        version: version.clone(),
        scaling_wanted: Rc::default(),
        reading: Rc::default(),
        unrecorded: RefCell::default(),
        record_write_wanted: Rc::default(),
    };
    let incarnation = me.incarnation.clone();
    *node.leadership.claim.borrow_mut() = Some(LeadershipClaim { incarnation, version });
    let types = node.replica.contents.borrow().types.clone();
    if let Some(types) = types {
        active.scheduler.borrow_mut().set_types(types);
    }
    tokio::select! {
        end = active.until_leadership_lost() => end,
        () = active.until_handed_over() => LeadershipEnd::HandedOver,
        () = active.run() => LeadershipEnd::Replaced,
    }
}

impl ActiveLeader<'_> {
    async fn run(&self) {
        // Every machine that may hold tasks has a record, written before its first task.
        loop {
            match self.node.env.state.list(RequestClass::Claim, MACHINE_RECORDS_PREFIX).await {
                Ok((items, _)) => {
                    for item in items {
                        let Some(name) = item.key.strip_prefix(MACHINE_RECORDS_PREFIX) else {
                            continue;
                        };
                        match serde_json::from_value::<MachineRecord>(item.value) {
                            Ok(record) => {
                                let age = self.node.env.age_at_least(record.recorded_ms);
                                let mut scheduler = self.scheduler.borrow_mut();
                                scheduler.recorded_machine(name, &record, age, now());
                            }
                            Err(error) => {
                                tracing::error!(name, %error, "unreadable machine record")
                            }
                        }
                    }
                    break;
                }
                Err(error) => {
                    tracing::debug!(%error, "can't read the machines");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
        // What the leaders before us claimed last may not be in the copy of the store yet, and
        // tasks of jobs that nobody knows are stopped.
        while self.node.replica.contents.borrow().revision() < self.version.get() {
            let changed = self.node.replica.changed.notified();
            let _ = tokio::time::timeout(Duration::from_millis(200), changed).await;
        }
        // The most urgent jobs first: reports of tasks are of little use without their jobs.
        self.claim_round().await;
        self.node.leadership.begin(self.scheduler.clone());
        self.node.leadership.close_all_but(&self.node.replica.contents.borrow().jobs);
        tokio::join!(
            self.claim_jobs(),
            completion_commits::run(self.node, &self.scheduler),
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

    async fn run_placement_passes(&self) {
        let mut earliest = tokio::time::Instant::now();
        loop {
            self.node.leadership.pass_wanted.notified().await;
            tokio::time::sleep_until(earliest).await;
            let started = now();
            let machines = {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.run_placement_pass(started);
                scheduler.machine_count()
            };
            let took = now().saturating_duration_since(started);
            self.node.leadership.pass_done.notify_waiters();
            self.node.leadership.actions.notify_one();
            self.node.leadership.commit_wanted.notify_one();
            let pace = PASS_PACE * u32::try_from(machines).unwrap_or(u32::MAX);
            earliest = tokio::time::Instant::now() + pace.min(PASS_PACE_MOST).max(took * PASS_REST);
        }
    }
}
