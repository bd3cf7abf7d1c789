//! Becoming the planner, and what it does outside: claims, settling writes, fences, orders,
//! rentals.

use crate::follow::{Cache, Follower};
use crate::node::{json, now, wall_ms, Node};
use crate::presence::Current;
use crate::settling::{self, finished_chunks, Shared};
use corkfield_cloud::CloudError;
use corkfield_core::{Action, Planner, Verdict};
use corkfield_http::{Client, Response};
use corkfield_state::{Share, StateError, Use};
use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::records::{
    controller_key, job_key, knock_key, machine_key, JobRecord, Knock, MachineRecord,
    PlannerRecord, TypesRecord, MACHINES, PLANNER, TYPES,
};
use corkfield_wire::store::Txn;
use corkfield_wire::worker::{DirectOrders, Order, Report, PATH_COMMANDS};
use corkfield_wire::{JobId, TaskSet};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

const DIRECT_TIMEOUT: Duration = Duration::from_millis(2500);
/// So many machines are asked what they hold, then there is a pause for what their answers bring.
const FENCES_AT_ONCE: usize = 64;
const FENCE_PACE: Duration = Duration::from_millis(50);
/// A machine that did not answer is asked again after this time.
const FENCE_AGAIN: Duration = Duration::from_millis(1500);
/// Other controllers leave the named successor this long to take over.
const SUCCESSOR_HEAD_START: Duration = Duration::from_secs(2);

/// The planner's part of the state service's limits; the others share the rest.
const PLANNER_REQUESTS: f64 = 0.6;
const PLANNER_WRITES: f64 = 0.7;
/// The others write nothing but what users send, little on average and much at once: so many
/// seconds' worth may come together.
const STANDBY_BURST_S: f64 = 5.0;
/// Machines are rented and returned this often, or that soon after a claim.
const ADJUST: Duration = Duration::from_secs(1);
const ADJUST_SOON: Duration = Duration::from_millis(200);
/// A planner known for this long has heard from all workers that reach it.
const SETTLED: Duration = Duration::from_secs(10);

/// A pass looks at every machine: there is this much time between two for each of them.
const PASS_PACE: Duration = Duration::from_micros(250);
const PASS_PACE_MOST: Duration = Duration::from_millis(120);
/// And this many times as long as the last one took: leases, reports and users come between.
const PASS_REST: u32 = 3;
/// No report waits longer than this for a pass.
const PASS_WAIT: Duration = Duration::from_millis(1000);

/// Cancelled jobs that were heard of, kept so that no copy of the store that is behind brings
/// them back.
const MAX_CANCELLED: usize = 4096;

/// The claim of the planner record that this controller plans under.
#[derive(Clone)]
struct Tenure {
    incarnation: String,
    /// Version of the planner record that the claim rests on.
    version: Rc<Cell<u64>>,
}

/// Jobs that the state service holds as cancelled, whatever the copy of it still shows, and when
/// that became known.
#[derive(Default)]
struct Cancelled {
    since: HashMap<JobId, Instant>,
    order: VecDeque<JobId>,
}

impl Cancelled {
    fn insert(&mut self, id: &JobId, at: Instant) {
        if self.since.insert(id.clone(), at).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_CANCELLED {
            if let Some(oldest) = self.order.pop_front() {
                self.since.remove(&oldest);
            }
        }
    }

    fn remove(&mut self, id: &JobId) {
        self.since.remove(id);
        self.order.retain(|other| other != id);
    }
}

#[derive(Default)]
pub struct Leader {
    tenure: RefCell<Option<Tenure>>,
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
    parked: RefCell<HashMap<String, Rc<Notify>>>,
    outbid: Cell<u64>,
    last_report: Cell<Option<Instant>>,
    knocks: Cell<u64>,
    knocking: Cell<bool>,
    /// Machines to which direct orders are under way, and how many.
    directs: RefCell<HashMap<String, usize>>,
}

/// Direct orders under way to one machine.
struct Directing<'a>(&'a Leader, &'a str);

impl Drop for Directing<'_> {
    fn drop(&mut self) {
        let mut directs = self.0.directs.borrow_mut();
        if let Some(count) = directs.get_mut(self.1) {
            *count -= 1;
            if *count == 0 {
                directs.remove(self.1);
            }
        }
    }
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
        let tenure = self.tenure.borrow();
        tenure.as_ref().is_none_or(|tenure| {
            cache.planner.as_ref().is_some_and(|(record, version)| {
                record.incarnation != tenure.incarnation && *version > tenure.version.get()
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
        let tenure = self.tenure.borrow();
        let Some(tenure) = tenure.as_ref() else { return false };
        node.presence.is_valid()
            && node.presence.current().is_some_and(|now| now.incarnation == tenure.incarnation)
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
        self.settle.notify_one();
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
    pub fn outbid(&self, term: u64) {
        self.outbid.set(self.outbid.get().max(term));
    }

    /// Notified when the machine's held-back answer should go.
    pub fn work_for(&self, machine: &str) -> Rc<Notify> {
        let work = Rc::new(Notify::new());
        self.parked.borrow_mut().insert(machine.to_owned(), work.clone());
        work
    }

    pub fn release(&self, machine: &str, work: &Rc<Notify>) {
        let mut parked = self.parked.borrow_mut();
        if parked.get(machine).is_some_and(|current| Rc::ptr_eq(current, work)) {
            parked.remove(machine);
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
    pub fn knocked(&self, planner_for: Duration) {
        if planner_for > SETTLED {
            self.knocks.set(self.knocks.get() + 1);
            self.knocking.set(true);
        }
    }

    fn begin(&self, planner: Shared) {
        *self.planner.borrow_mut() = Some(planner);
        self.last_report.set(Some(now()));
        self.ready.notify_waiters();
    }

    fn end(&self) {
        self.leading.set(false);
        *self.tenure.borrow_mut() = None;
        *self.planner.borrow_mut() = None;
        self.ready.notify_waiters();
        self.planned.notify_waiters();
        for work in self.parked.borrow_mut().drain() {
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
pub async fn lead(node: Rc<Node>) {
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
        let _ = tokio::time::timeout(Duration::from_millis(300), changed).await;
        knock(&node).await;
    }
}

/// Tells the planner, through the store, that workers come here instead.
async fn knock(node: &Node) {
    if node.leader.knocking.take() {
        let count = node.leader.knocks.get();
        let value = serde_json::to_value(Knock { count }).unwrap_or_default();
        let planner = node.follower.cache.borrow().planner.as_ref().map_or(0, |p| p.1);
        // Carried out late, it must not drive out another planner than the one it is about.
        let txn = Txn::default().when(PLANNER, planner).put(knock_key(&node.name), value);
        let _ = node.state.txn(Use::Housekeeping, &txn).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

/// Claims the planner record if its holder is gone.
async fn take_over(node: &Node) -> Option<(Current, u64, u64)> {
    let me = node.presence.current().filter(|_| node.presence.is_valid())?;
    let (old, version, holder) = {
        let cache = node.follower.cache.borrow();
        if !node.follower.is_synced()
            || cache.types.is_none() && node.follower.proof_age() > Duration::from_secs(4)
        {
            return None;
        }
        match &cache.planner {
            None => (None, 0, None),
            Some((record, version)) => {
                let holder = record.node.as_ref().map(|name| {
                    let presence = cache.controllers.get(name);
                    let key = controller_key(name);
                    match presence {
                        Some((p, _)) if p.incarnation == record.incarnation => (key, None),
                        Some((_, version)) => (key, Some(*version)),
                        None => (key, Some(0)),
                    }
                });
                (Some(record.clone()), *version, holder)
            }
        }
    };
    let mut txn =
        Txn::default().when(PLANNER, version).when(controller_key(&node.name), me.version);
    match holder {
        // Its holder is there, unless that is this controller, which does not plan: the answer
        // to its claim was lost, or planning broke off. It claims anew, under a new term.
        Some((key, None)) if key != controller_key(&node.name) => return None,
        Some((key, Some(version))) if key != controller_key(&node.name) => {
            txn = txn.when(key, version);
        }
        _ => {}
    }
    let successor = old.as_ref().and_then(|record| record.successor.clone());
    if successor.is_some_and(|name| name != node.name) {
        tokio::time::sleep(SUCCESSOR_HEAD_START).await;
    } else {
        // Not all at once.
        node.pause(0..60).await;
    }
    let term = old.map_or(0, |record| record.term).max(node.leader.outbid.get()) + 1;
    let record = PlannerRecord {
        node: Some(node.name.clone()),
        incarnation: me.incarnation.clone(),
        term,
        successor: None,
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match node.state.txn(Use::Claim, &txn.put(PLANNER, value)).await {
        Ok(version) => Some((me, version, term)),
        Err(error) => {
            tracing::debug!(%error, "planner record not taken");
            None
        }
    }
}

struct Planning<'a> {
    node: &'a Rc<Node>,
    planner: Shared,
    me: Current,
    /// Version of the planner record that this claim rests on.
    version: Rc<Cell<u64>>,
    claimed: Notify,
    /// Claimed jobs whose finished tasks are being read.
    reading: Rc<RefCell<HashSet<JobId>>>,
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
        claimed: Notify::new(),
        reading: Rc::default(),
    };
    let incarnation = me.incarnation.clone();
    *node.leader.tenure.borrow_mut() = Some(Tenure { incarnation, version });
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
            self.ticking(),
            self.passes(),
            self.listing(),
            self.fencing(),
            self.typing(),
            self.outbidding(),
        );
    }

    async fn until_lost(&self) -> End {
        loop {
            let changed = self.node.follower.changed.notified();
            let lease = self.node.presence.changed.notified();
            let kept = self.node.presence.current();
            if kept.is_none_or(|current| current.incarnation != self.me.incarnation) {
                return End::LeaseLost;
            }
            if self.node.leader.is_replaced(&self.node.follower.cache.borrow()) {
                return End::Replaced;
            }
            tokio::select! {
                () = changed => {}
                () = lease => {}
                () = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
        }
    }

    /// Beside [`Self::until_lost`], which must see at once that another plans, however long a
    /// hand-over's transaction takes.
    async fn until_handed_over(&self) {
        while !self.hand_over().await {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// A planner that hears no workers, while they knock at another controller's door, leaves
    /// its place to that one.
    async fn hand_over(&self) -> bool {
        let quiet = self
            .node
            .leader
            .last_report
            .get()
            .map_or(Duration::ZERO, |at| now().saturating_duration_since(at));
        let workers = &self.node.settings.platform.params.workers;
        if quiet < workers.report_interval().mul_f64(1.5) + Duration::from_secs(1)
            || !self.node.leader.is_ready()
        {
            return false;
        }
        let successor = {
            let cache = self.node.follower.cache.borrow();
            let mut recent = cache.knocked_within(Duration::from_secs(3));
            recent.find(|name| **name != self.node.name).cloned()
        };
        let Some(successor) = successor else {
            return false;
        };
        let record = PlannerRecord {
            node: None,
            incarnation: String::new(),
            term: self.planner.borrow().term(),
            successor: Some(successor.clone()),
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let txn = Txn::default().when(PLANNER, self.version.get()).put(PLANNER, value);
        tracing::info!(%successor, "no worker reports here; handing over");
        self.node.state.txn(Use::Lease, &txn).await.is_ok()
    }

    async fn claims(&self) {
        loop {
            let changed = self.node.follower.changed.notified();
            let claimed = self.claim_round().await;
            if !claimed {
                let _ = tokio::time::timeout(Duration::from_millis(250), changed).await;
            }
        }
    }

    /// Closes what is over, and claims what is new or lapsed; true if more may be left.
    async fn claim_round(&self) -> bool {
        let mut due: Vec<(JobRecord, u64)> = Vec::new();
        self.node.leader.forget_cancelled(&self.node.follower);
        {
            let cache = self.node.follower.cache.borrow();
            let mut planner = self.planner.borrow_mut();
            let is_cancelled = |id: &JobId| self.node.leader.is_cancelled(id);
            planner.close_all_but(|id| cache.jobs.contains_key(id));
            let unclaimed = cache.jobs.keys().filter(|id| planner.job(id).is_none());
            let unclaimed = unclaimed.filter(|id| !is_cancelled(id)).cloned().collect();
            planner.set_unclaimed(unclaimed);
            let lapsed: HashSet<JobId> = planner.lapsed_jobs().into_iter().collect();
            let reading = self.reading.borrow();
            let open = |id: &JobId| !is_cancelled(id) && !reading.contains(id);
            for (id, (record, version)) in cache.jobs.iter().filter(|(id, _)| open(id)) {
                let known = planner.job(id);
                let ours = record.owner.as_deref() == Some(self.me.incarnation.as_str());
                let new = known.is_none_or(|job| *version > job.version && !ours);
                if new || lapsed.contains(id) {
                    due.push((record.clone(), *version));
                }
            }
        }
        due.sort_by_key(|(record, _)| (record.spec.priority, record.accepted_ms));
        let most = self.node.settings.platform.params.state.txn_ops.max(1) as usize;
        let batch = (self.node.settings.operator.claim_batch as usize).min(most);
        let more = due.len() > batch;
        due.truncate(batch);
        if due.is_empty() {
            return false;
        }
        self.claim(due).await && more
    }

    /// The design's claim: one conditional transaction over a few records.
    async fn claim(&self, batch: Vec<(JobRecord, u64)>) -> bool {
        let mut txn = Txn::default()
            .when(PLANNER, self.version.get())
            .when(controller_key(&self.node.name), self.me.version);
        let mut claimed = Vec::new();
        for (mut record, version) in batch {
            let owner = self.me.incarnation.clone();
            match record.begun > 0 || self.planner.borrow().may_begin_soon(&record.spec, now()) {
                true => record.claim(owner),
                false => record.claim_to_wait(owner),
            }
            if record.claims > self.node.settings.operator.claim_limit {
                tracing::warn!(job = %record.spec.id, claims = record.claims, "claim limit reached; set aside");
                record.set_aside = true;
            }
            let key = job_key(&record.spec.id);
            let value = serde_json::to_value(&record).unwrap_or_default();
            txn = txn.when(key.clone(), version).put(key, value);
            claimed.push(record);
        }
        let version = match self.node.state.txn(Use::Claim, &txn).await {
            Ok(version) => version,
            Err(StateError::NoAnswer(_)) => match self.claim_landed(&claimed[0]).await {
                Some(version) => version,
                None => return false,
            },
            Err(error) => {
                tracing::debug!(%error, "claim failed");
                self.node.pause(50..150).await;
                return false;
            }
        };
        for record in claimed {
            if record.is_chunked() && record.done > 0 {
                self.read_finished(record, version);
            } else {
                let finished = record.finished.clone();
                self.node.leader.take_claimed(self.node, &self.planner, record, finished, version);
            }
        }
        self.claimed.notify_one();
        true
    }

    /// Takes up a claimed job once its finished tasks are read. Other claims don't wait for that.
    fn read_finished(&self, record: JobRecord, version: u64) {
        let id = record.spec.id.clone();
        self.reading.borrow_mut().insert(id.clone());
        let (node, reading) = (self.node.clone(), self.reading.clone());
        let planner = Rc::downgrade(&self.planner);
        tokio::task::spawn_local(async move {
            while let Some(planner) = planner.upgrade() {
                if let Some(finished) = finished_chunks(&node, &id).await {
                    node.leader.take_claimed(&node, &planner, record, finished, version);
                    break;
                }
                drop(planner);
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            reading.borrow_mut().remove(&id);
        });
    }

    /// Whether a claim without an answer was carried out (all of it, as it is one transaction).
    async fn claim_landed(&self, record: &JobRecord) -> Option<u64> {
        let item = self.node.state.get(Use::Claim, &job_key(&record.spec.id)).await.ok()??;
        let found: JobRecord = serde_json::from_value(item.value).ok()?;
        (found.owner == record.owner && found.generation == record.generation)
            .then_some(item.version)
    }

    async fn acting(&self) {
        loop {
            let actions = self.planner.borrow_mut().take_actions();
            if actions.is_empty() {
                self.node.leader.actions.notified().await;
                continue;
            }
            let mut records = Vec::new();
            let mut erased = Vec::new();
            for action in actions {
                match action {
                    Action::Record(name, record) => records.push((name, record)),
                    Action::Erase(name) => erased.push(name),
                    action => self.act(action),
                }
            }
            // Hundreds of machines come and go together; what is written of them shares requests.
            let most = self.node.settings.platform.params.state.txn_ops.max(1) as usize;
            records.chunks(most).for_each(|part| self.record(part.to_vec()));
            erased.chunks(most).for_each(|part| self.erase(part.to_vec()));
        }
    }

    fn act(&self, action: Action) {
        let node = self.node.clone();
        let planner = self.planner.clone();
        match action {
            Action::Answer(machine) => {
                if let Some(work) = node.leader.parked.borrow_mut().remove(&machine) {
                    work.notify_one();
                }
            }
            Action::Direct { machine, addr, session, orders } => {
                tokio::task::spawn_local(async move {
                    direct(&node, &planner, &machine, &addr, session, orders).await;
                });
            }
            Action::Rent(request) => {
                tokio::task::spawn_local(async move {
                    rent(&node, &planner, &request).await;
                });
            }
            // Asked for again while it is due: see [`Leader::may_start`].
            Action::Delete(names) if !node.leader.may_start(&node) => {
                tracing::debug!(machines = names.len(), "not returned without a valid lease");
            }
            Action::Delete(names) => {
                tokio::task::spawn_local(async move {
                    match node.cloud.delete(names.clone()).await {
                        Ok(()) => {
                            planner.borrow_mut().deleted(&names);
                            node.leader.actions.notify_one();
                        }
                        Err(error) => tracing::debug!(%error, "deletion failed"),
                    }
                });
            }
            // Written in groups by the caller.
            Action::Record(..) | Action::Erase(..) => {}
        }
    }

    /// Writes machine records, conditional on the planner record: a planner that was replaced
    /// can't add machines that its successor doesn't know.
    fn record(&self, machines: Vec<(String, MachineRecord)>) {
        let (node, planner) = (self.node.clone(), self.planner.clone());
        let mut txn = Txn::default().when(PLANNER, self.version.get());
        let recorded_ms = wall_ms();
        for (name, record) in &machines {
            let record = MachineRecord { recorded_ms, ..record.clone() };
            txn = txn.put(machine_key(name), serde_json::to_value(&record).unwrap_or_default());
        }
        tokio::task::spawn_local(async move {
            // After what users send: a fleet that comes up has hundreds of these.
            let stored = node.state.txn(Use::Settling, &txn).await;
            for (name, _) in &machines {
                planner.borrow_mut().machine_recorded(name, stored.is_ok());
            }
            node.leader.want_pass();
        });
    }

    fn erase(&self, machines: Vec<String>) {
        let (node, current) = (self.node.clone(), self.version.clone());
        tokio::task::spawn_local(async move {
            // A record that is left over holds up the next take-over, so this is tried until it
            // succeeds or another plans.
            loop {
                let version = current.get();
                let txn = Txn::default().when(PLANNER, version);
                let txn = machines.iter().fold(txn, |txn, name| txn.delete(machine_key(name)));
                let Err(error) = node.state.txn(Use::Housekeeping, &txn).await else {
                    return;
                };
                tracing::debug!(?machines, %error, "can't drop machines' records");
                // Our own term may have been raised meanwhile, and the record with it.
                if matches!(error, StateError::Conflict(_)) && version == current.get() {
                    return;
                }
                node.pause(500..1500).await;
            }
        });
    }

    async fn ticking(&self) {
        let mut adjusted = None;
        loop {
            // A claim is followed by a look at the machines without delay: boots take long.
            let claimed = self.claimed.notified();
            let woken = tokio::time::timeout(Duration::from_millis(250), claimed).await.is_ok();
            let at = now();
            // Another may plan by now, with machines that from here seem idle, silent or never
            // to have come up. While the service is out for all nobody can have taken over since.
            let may_adjust =
                self.node.leader.may_start(self.node) || self.node.peers.nobody_has_store();
            let mut planner = self.planner.borrow_mut();
            planner.tick(at);
            let age = adjusted.map(|before| at.saturating_duration_since(before));
            let due = if woken { ADJUST_SOON } else { ADJUST };
            if may_adjust && age.is_none_or(|age| age >= due) {
                adjusted = Some(at);
                planner.adjust_machines(at);
            }
            drop(planner);
            self.node.leader.actions.notify_one();
            self.node.leader.want_pass();
        }
    }

    async fn passes(&self) {
        loop {
            self.node.leader.wanted.notified().await;
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
            tokio::time::sleep(pace.min(PASS_PACE_MOST).max(took * PASS_REST)).await;
        }
    }

    async fn listing(&self) {
        let rps = self.node.settings.platform.params.cloud.rps;
        let interval = Duration::from_secs_f64((6.0 / rps.max(0.1)).clamp(2.0, 10.0));
        loop {
            let asked = now();
            match self.node.cloud.machines().await {
                Ok(list) => {
                    self.planner.borrow_mut().on_list(&list, asked, now());
                    self.node.leader.actions.notify_one();
                }
                Err(error) => tracing::debug!(%error, "can't list machines"),
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Sends every recorded machine an empty order under our term (S7), until it has answered,
    /// lapsed or is gone. Never all at once: each takes a socket, and all answers together would
    /// hold up the reports that come at the same time.
    async fn fencing(&self) {
        let mut tried: HashMap<String, Instant> = HashMap::new();
        loop {
            let mut targets = self.planner.borrow().fence_targets();
            let at = now();
            let under_way: HashSet<String> =
                self.node.leader.directs.borrow().keys().cloned().collect();
            targets.retain(|(machine, ..)| {
                let soon = |before: &Instant| at.saturating_duration_since(*before) < FENCE_AGAIN;
                !under_way.contains(machine) && !tried.get(machine).is_some_and(soon)
            });
            if targets.is_empty() {
                if self.planner.borrow().is_complete() {
                    tried.clear();
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
                continue;
            }
            // Those that never answered come after those that were never asked.
            targets.sort_by_key(|(machine, ..)| tried.get(machine).copied());
            for (machine, addr, session) in targets.into_iter().take(FENCES_AT_ONCE) {
                tried.insert(machine.clone(), at);
                let (node, planner) = (self.node.clone(), self.planner.clone());
                tokio::task::spawn_local(async move {
                    direct(&node, &planner, &machine, &addr, session, Vec::new()).await;
                });
            }
            tokio::time::sleep(FENCE_PACE).await;
        }
    }

    /// Machine types come from the cloud, and are kept in the store for when it is away.
    async fn typing(&self) {
        loop {
            match self.node.cloud.types().await {
                Ok(types) => {
                    let known = self.node.follower.cache.borrow().types.clone();
                    self.planner.borrow_mut().set_types(types.clone());
                    if known.is_none_or(|known| !same_types(&known, &types)) {
                        let value = serde_json::to_value(TypesRecord { types }).unwrap_or_default();
                        let txn =
                            Txn::default().when(PLANNER, self.version.get()).put(TYPES, value);
                        if let Err(error) = self.node.state.txn(Use::Claim, &txn).await {
                            tracing::debug!(%error, "can't keep the machine types");
                        }
                    }
                    tokio::time::sleep(Duration::from_secs(20)).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "can't read the machine types");
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
        }
    }

    /// Takes a term above one that a worker has seen.
    async fn outbidding(&self) {
        loop {
            let seen = self.node.leader.outbid.get();
            let term = self.planner.borrow().term();
            if seen <= term {
                tokio::time::sleep(Duration::from_millis(200)).await;
                continue;
            }
            let record = PlannerRecord {
                node: Some(self.node.name.clone()),
                incarnation: self.me.incarnation.clone(),
                term: seen + 1,
                successor: None,
            };
            let value = serde_json::to_value(&record).unwrap_or_default();
            let txn = Txn::default().when(PLANNER, self.version.get()).put(PLANNER, value);
            match self.node.state.txn(Use::Claim, &txn).await {
                Ok(version) => {
                    self.version.set(version);
                    self.planner.borrow_mut().raise_term(seen + 1);
                }
                Err(error) => {
                    tracing::debug!(%error, "can't take a higher term");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    }
}

/// Prices of spot machines move all the time; that alone is not worth a write.
fn same_types(a: &[MachineType], b: &[MachineType]) -> bool {
    let plain = |t: &MachineType| MachineType { spot_price: 0.0, ..t.clone() };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| plain(a) == plain(b))
}

async fn direct(
    node: &Node,
    planner: &Shared,
    machine: &str,
    addr: &str,
    session: u64,
    orders: Vec<Order>,
) {
    let Ok(addr) = addr.parse() else { return };
    // What is left out here goes with the answer to the machine's next report, or, if it is a
    // fence, soon again.
    let Some(_under_way) = node.leader.directing(machine, node.settings.sockets().directs) else {
        tracing::debug!(machine, "too many direct orders under way");
        return;
    };
    let mut session = session;
    // A machine may be in a later session than we know: its refusal says which.
    for _ in 0..2 {
        let term = planner.borrow().term();
        let body = serde_json::to_vec(&DirectOrders { term, session, orders: orders.clone() });
        let client = Client::new(node.network.clone(), addr, 1, 256 * 1024);
        let body = body.unwrap_or_default();
        let known = planner.borrow().known_order(machine);
        let reply = match client.request("POST", PATH_COMMANDS, &body, DIRECT_TIMEOUT).await {
            Ok(reply) => reply,
            Err(error) => {
                tracing::debug!(machine, %error, "direct orders not answered");
                planner.borrow_mut().unanswered(machine);
                return;
            }
        };
        let Ok(report) = serde_json::from_slice::<Report>(&reply.body) else {
            return;
        };
        if report.machine != machine {
            tracing::debug!(machine, other = %report.machine, "another machine answered");
            return;
        }
        let verdict = planner.borrow_mut().on_answer(&report, known, now());
        if let Verdict::HigherTerm(term) = verdict {
            node.leader.outbid(term);
            return;
        }
        if reply.status != 409 || report.session == session {
            break;
        }
        session = report.session;
    }
    node.leader.want_pass();
    node.leader.settle.notify_one();
}

async fn rent(node: &Node, planner: &Shared, request: &RentRequest) {
    let mut outcome = Err(false);
    for _ in 0..4 {
        match node.cloud.rent(request).await {
            Ok(names) => {
                outcome = Ok(names);
                break;
            }
            Err(CloudError::NoCapacity) => {
                outcome = Err(true);
                break;
            }
            Err(CloudError::NoAnswer(error)) => {
                // The same name again gets the same machines, if it was carried out.
                tracing::debug!(%error, request = %request.request, "rental not answered");
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            Err(error) => {
                tracing::debug!(%error, "rental refused");
                break;
            }
        }
    }
    planner.borrow_mut().rented(request, outcome, now());
}

/// What operators see: the queue, the claims, what was set aside.
pub fn overview(node: &Node) -> Response {
    let cache = node.follower.cache.borrow();
    let planner = cache.planner.as_ref().and_then(|(record, _)| record.node.clone());
    let mut body = serde_json::json!({
        "node": node.name,
        "planner": planner,
        "unfinished_jobs": cache.jobs.len(),
        "set_aside": cache.jobs.iter().filter(|(_, (r, _))| r.set_aside).map(|(id, _)| id.as_str()).collect::<Vec<_>>(),
        "state_age_s": node.follower.proof_age().as_secs_f64(),
    });
    if let Some(planner) = node.leader.planner() {
        let view = planner.borrow().overview(now());
        let oldest = view.oldest_waiting.as_ref();
        body["planning"] = serde_json::json!({
            "term": planner.borrow().term(),
            "jobs": view.jobs,
            "passes": view.passes,
            "steps": view.steps,
            "waiting_tasks": view.waiting_tasks,
            "running_tasks": view.running_tasks,
            "oldest_waiting": oldest.map(|(id, _)| id.as_str()),
            "oldest_waiting_s": oldest.map(|(_, age)| age.as_secs_f64()),
            "most_claims": view.most_claims,
            "machines_up": view.machines_up,
            "machines_booting": view.machines_booting,
            "machines_unfenced": view.unfenced,
        });
    }
    json(200, &body)
}
