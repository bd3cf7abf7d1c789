//! Becoming the planner, and what it does outside: claims, settling writes, fences, orders,
//! rentals.

mod actions;
mod cancelled;
mod claiming;
mod fencing;
mod overview;
mod provisioning;
mod take_over;

use crate::follow::{Cache, Follower};
use crate::node::{now, wall_ms, Node};
use crate::presence::Current;
use crate::settling::{self, Shared};
use cancelled::Cancelled;
use corkfield_core::Planner;
use corkfield_state::{Share, Use};
use corkfield_wire::records::{JobRecord, MachineRecord, MACHINES};
use corkfield_wire::{JobId, TaskSet};
use fencing::Directing;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use take_over::{request_transfer, take_over};
use tokio::sync::Notify;

pub use overview::overview;

/// The planner's part of the state service's limits; the others share the rest.
const PLANNER_REQUESTS: f64 = 0.6;
const PLANNER_WRITES: f64 = 0.7;
/// The others write nothing but what users send, little on average and much at once: so many
/// seconds' worth may come together.
const STANDBY_BURST_S: f64 = 5.0;
/// A planner known for this long has heard from all workers that reach it.
const PLANNER_SETTLED_AFTER: Duration = Duration::from_secs(10);

/// A controller that stands by looks this often whether it may plan, if it sees no change before.
const STANDBY_INTERVAL: Duration = Duration::from_millis(500);

/// A pass looks at every machine: there is this much time between two for each of them.
const PASS_PACE: Duration = Duration::from_micros(250);
const PASS_PACE_MOST: Duration = Duration::from_millis(120);
/// And this many times as long as the last one took: leases, reports and users come between.
const PASS_REST: u32 = 3;
/// No report waits longer than this for a pass.
const PASS_WAIT: Duration = Duration::from_millis(1000);

/// The claim of the planner record that this controller plans under.
#[derive(Clone)]
struct PlannerClaim {
    incarnation: String,
    /// Version of the planner record that the claim rests on.
    version: Rc<Cell<u64>>,
}

#[derive(Default)]
pub struct Leader {
    claim: RefCell<Option<PlannerClaim>>,
    cancelled: RefCell<Cancelled>,
    leading: Cell<bool>,
    planner: RefCell<Option<Shared>>,
    ready: Notify,
    actions: Notify,
    pub(crate) settle: Notify,
    /// Something changed that a planning pass should see.
    wanted: Notify,
    /// A planning pass has ended.
    planned: Notify,
    waiting_answers: RefCell<HashMap<String, Rc<Notify>>>,
    highest_seen_term: Cell<u64>,
    last_report: Cell<Option<Instant>>,
    transfer_requests: Cell<u64>,
    transfer_wanted: Cell<bool>,
    /// Machines to which direct orders are under way, and how many.
    directs: RefCell<HashMap<String, usize>>,
}

impl Leader {
    pub fn is_leading(&self) -> bool {
        self.leading.get()
    }

    pub fn is_ready(&self) -> bool {
        self.planner.borrow().is_some()
    }

    pub async fn until_ready(&self) {
        self.ready.notified().await;
    }

    pub fn planner(&self) -> Option<Shared> {
        self.planner.borrow().clone()
    }

    /// Whether the copy of the store shows that another claimed the planner record since. Asked
    /// before each answer to a report, as the loop that ends the planner may be behind: fresh
    /// state that shows a successor is no proof to answer from (S6).
    pub fn is_replaced(&self, cache: &Cache) -> bool {
        let claim = self.claim.borrow();
        claim.as_ref().is_none_or(|claim| {
            cache.planner.as_ref().is_some_and(|(record, version)| {
                record.incarnation != claim.incarnation && *version > claim.version.get()
            })
        })
    }

    /// The term under which this controller plans.
    pub fn term(&self) -> Option<u64> {
        Some(self.planner()?.borrow().term())
    }

    /// Whether starts may leave (S4), and machines be returned: the lease that the claim rests on
    /// surely goes on. One that was lost and taken anew doesn't count for what was claimed before.
    pub fn may_start(&self, node: &Node) -> bool {
        let claim = self.claim.borrow();
        let Some(claim) = claim.as_ref() else { return false };
        node.presence.is_valid()
            && node.presence.current().is_some_and(|now| now.incarnation == claim.incarnation)
    }

    /// These jobs are no longer unfinished. Stopping what was cancelled waits for nothing: not
    /// for a claim under way, nor for a read that is repeated.
    pub fn ended(&self, jobs: &[JobId]) {
        let Some(planner) = self.planner().filter(|_| !jobs.is_empty()) else { return };
        jobs.iter().for_each(|id| planner.borrow_mut().close_job(id));
        self.actions.notify_one();
    }

    /// The same for all that are not among the unfinished.
    pub fn close_all_but(&self, unfinished: &BTreeMap<JobId, (JobRecord, u64)>) {
        let Some(planner) = self.planner() else { return };
        planner.borrow_mut().close_all_but(|id| unfinished.contains_key(id));
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
        planner: &Shared,
        record: JobRecord,
        finished: TaskSet,
        version: u64,
    ) {
        let age = Duration::from_millis(wall_ms().saturating_sub(record.accepted_ms));
        let id = record.spec.id.clone();
        planner.borrow_mut().claimed(record, finished, version, age, now());
        // It may have been cancelled while the claim's answer was under way.
        let unfinished = node.follower.cache.borrow().jobs.contains_key(&id);
        if !unfinished || self.is_cancelled(&id) {
            planner.borrow_mut().close_job(&id);
        }
        self.want_pass();
    }

    /// Drops what a read begun later shows: as a rule the job is no longer unfinished. If it still
    /// is, there is a fault in another controller; its tasks were stopped for nothing, and it is
    /// claimed anew.
    fn forget_cancelled(&self, follower: &Follower) {
        let Some(proven) = follower.proven_at() else { return };
        let mut cancelled = self.cancelled.borrow_mut();
        let shown = cancelled.since.iter().filter(|(_, at)| **at < proven);
        for id in shown.map(|(id, _)| id.clone()).collect::<Vec<JobId>>() {
            if follower.cache.borrow().jobs.contains_key(&id) {
                tracing::error!(job = %id, "said to be cancelled, but the state service has it");
            }
            cancelled.remove(&id);
        }
    }

    pub fn wake_actions(&self) {
        self.last_report.set(Some(now()));
        self.actions.notify_one();
    }

    /// Asks for a planning pass.
    pub fn want_pass(&self) {
        self.wanted.notify_one();
    }

    /// Asks for a planning pass, and waits for its end. One pass serves all that wait: a pass
    /// for each report costs a planner with hundreds of machines more than its processor share.
    pub async fn next_pass(&self) {
        let planned = self.planned.notified();
        self.want_pass();
        let _ = tokio::time::timeout(PASS_WAIT, planned).await;
    }

    /// A worker has seen a term above ours: the next one has to lie above it.
    pub fn saw_higher_term(&self, term: u64) {
        self.highest_seen_term.set(self.highest_seen_term.get().max(term));
    }

    /// Notified when the machine's held-back answer should go.
    pub fn work_for(&self, machine: &str) -> Rc<Notify> {
        let work = Rc::new(Notify::new());
        self.waiting_answers.borrow_mut().insert(machine.to_owned(), work.clone());
        work
    }

    pub fn release(&self, machine: &str, work: &Rc<Notify>) {
        let mut waiting_answers = self.waiting_answers.borrow_mut();
        if waiting_answers.get(machine).is_some_and(|current| Rc::ptr_eq(current, work)) {
            waiting_answers.remove(machine);
        }
    }

    /// Counts direct orders to a machine; `None` if too many are under way: each takes a socket,
    /// and after a take-over there is one for every machine.
    fn directing<'a>(&'a self, machine: &'a str, most: usize) -> Option<Directing<'a>> {
        let mut directs = self.directs.borrow_mut();
        if directs.values().sum::<usize>() >= most {
            return None;
        }
        *directs.entry(machine.to_owned()).or_default() += 1;
        Some(Directing(self, machine))
    }

    /// A worker came here although the planner has been known for a while: it may be that the
    /// planner can't be reached. Workers that only look for a new planner are no such sign.
    pub fn worker_came_here(&self, planner_for: Duration) {
        if planner_for > PLANNER_SETTLED_AFTER {
            self.transfer_requests.set(self.transfer_requests.get() + 1);
            self.transfer_wanted.set(true);
        }
    }

    fn begin(&self, planner: Shared) {
        *self.planner.borrow_mut() = Some(planner);
        self.last_report.set(Some(now()));
        self.ready.notify_waiters();
    }

    fn end(&self) {
        self.leading.set(false);
        *self.claim.borrow_mut() = None;
        *self.planner.borrow_mut() = None;
        self.ready.notify_waiters();
        self.planned.notify_waiters();
        for work in self.waiting_answers.borrow_mut().drain() {
            work.1.notify_one();
        }
    }
}

/// Why a planner stops planning.
#[derive(Debug, Clone, Copy)]
enum End {
    LeaseLost,
    Replaced,
    HandedOver,
}

fn standby_share(node: &Node) -> Share {
    let others = f64::from(node.settings.platform.params.size.saturating_sub(1).max(1));
    Share {
        requests: (1.0 - PLANNER_REQUESTS) / others,
        writes: (1.0 - PLANNER_WRITES) / others,
        burst_s: STANDBY_BURST_S,
    }
}

const PLANNER_SHARE: Share =
    Share { requests: PLANNER_REQUESTS, writes: PLANNER_WRITES, burst_s: 1.0 };

/// Stands by, and plans whenever the record can be claimed.
pub async fn run(node: Rc<Node>) {
    node.leader.end();
    node.state.set_share(standby_share(&node));
    loop {
        if let Some((me, version, term)) = take_over(&node).await {
            tracing::info!(term, "planning");
            node.leader.leading.set(true);
            node.state.set_share(PLANNER_SHARE);
            let end = plan(&node, &me, version, term).await;
            node.leader.end();
            node.state.set_share(standby_share(&node));
            tracing::info!(term, ?end, "no longer planning");
        }
        let changed = node.follower.changed.notified();
        node.timers.within(STANDBY_INTERVAL, changed).await;
        request_transfer(&node).await;
    }
}

struct Planning<'a> {
    node: &'a Rc<Node>,
    planner: Shared,
    me: Current,
    /// Version of the planner record that this claim rests on.
    version: Rc<Cell<u64>>,
    /// Jobs were claimed, or a rental was filled: more machines may be needed at once.
    adjust_wanted: Rc<Notify>,
    /// Claimed jobs whose finished tasks are being read.
    reading: Rc<RefCell<HashSet<JobId>>>,
    /// Machines whose records are to be written.
    unrecorded: RefCell<VecDeque<(String, MachineRecord)>>,
    /// There are such machines, or a write of records has ended.
    record_wanted: Rc<Notify>,
}

async fn plan(node: &Rc<Node>, me: &Current, version: u64, term: u64) -> End {
    let seed = node.random();
    let planner = Planner::new(node.settings.planner_config(), term, seed);
    let version = Rc::new(Cell::new(version));
    let planning = Planning {
        node,
        planner: Rc::new(RefCell::new(planner)),
        me: me.clone(),
        version: version.clone(),
        adjust_wanted: Rc::default(),
        reading: Rc::default(),
        unrecorded: RefCell::default(),
        record_wanted: Rc::default(),
    };
    let incarnation = me.incarnation.clone();
    *node.leader.claim.borrow_mut() = Some(PlannerClaim { incarnation, version });
    let types = node.follower.cache.borrow().types.clone();
    if let Some(types) = types {
        planning.planner.borrow_mut().set_types(types);
    }
    tokio::select! {
        end = planning.until_lost() => end,
        () = planning.until_handed_over() => End::HandedOver,
        () = planning.work() => End::Replaced,
    }
}

impl Planning<'_> {
    async fn work(&self) {
        // Every machine that may hold tasks has a record, written before its first task.
        loop {
            match self.node.state.list(Use::Claim, MACHINES).await {
                Ok((items, _)) => {
                    for item in items {
                        let Some(name) = item.key.strip_prefix(MACHINES) else {
                            continue;
                        };
                        match serde_json::from_value::<MachineRecord>(item.value) {
                            Ok(record) => {
                                let age = self.node.age_at_least(record.recorded_ms);
                                let mut planner = self.planner.borrow_mut();
                                planner.recorded_machine(name, &record, age, now());
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
        // What the planners before us claimed last may not be in the copy of the store yet, and
        // tasks of jobs that nobody knows are stopped.
        while self.node.follower.cache.borrow().revision() < self.version.get() {
            let changed = self.node.follower.changed.notified();
            let _ = tokio::time::timeout(Duration::from_millis(200), changed).await;
        }
        // The most urgent jobs first: reports of tasks are of little use without their jobs.
        self.claim_round().await;
        self.node.leader.begin(self.planner.clone());
        self.node.leader.close_all_but(&self.node.follower.cache.borrow().jobs);
        tokio::join!(
            self.claims(),
            settling::run(self.node, &self.planner),
            self.acting(),
            self.recording(),
            self.ticking(),
            self.passes(),
            self.listing(),
            self.fencing(),
            self.typing(),
            self.raise_terms(),
        );
    }

    async fn passes(&self) {
        let mut earliest = tokio::time::Instant::now();
        loop {
            self.node.leader.wanted.notified().await;
            tokio::time::sleep_until(earliest).await;
            let begun = now();
            let machines = {
                let mut planner = self.planner.borrow_mut();
                planner.plan(begun);
                planner.machine_count()
            };
            let took = now().saturating_duration_since(begun);
            self.node.leader.planned.notify_waiters();
            self.node.leader.actions.notify_one();
            self.node.leader.settle.notify_one();
            let pace = PASS_PACE * u32::try_from(machines).unwrap_or(u32::MAX);
            earliest = tokio::time::Instant::now() + pace.min(PASS_PACE_MOST).max(took * PASS_REST);
        }
    }
}
