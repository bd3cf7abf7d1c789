//! Watches for jobs that wait although their team is under its limit and nothing is on its way for
//! them: neither a machine with room, nor one that boots, nor a request to the cloud.

use super::demand::{has_waiting_tasks, ShapeDemand};
use super::offers::{available_offers, OfferBackoff};
use super::pools::{Pool, Pools};
use super::room::provides_supply;
use super::shape::TaskShape;
use super::RentalsInFlight;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::{Machine, MachineState};
use crate::team::{is_within_limit, Usage};
use corkfield_wire::JobId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A job that has had no placed task for this long is checked.
const CHECKED_WAIT: Duration = Duration::from_secs(30);
/// A job that has had no placed task for this long while an up machine has room is reported.
const UNUSED_ROOM_WAIT: Duration = Duration::from_secs(75);
/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(15);
/// Maximum number of shapes that the overview lists.
const MAX_LISTED_SHAPES: usize = 10;

/// Why nothing is on its way for waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SupplyGap {
    /// The cloud offers no machine that can run such a task.
    NotOffered,
    /// All offers that can run such a task back off after a failed request.
    OffersBackOff,
    /// An offer can run such a task, but was not requested.
    NotRequested,
    /// A machine that is up has room for such a task, but placement does not use it.
    RoomNotUsed,
}

impl SupplyGap {
    /// Returns the name of the gap in logs and in the overview.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotOffered => "not offered",
            Self::OffersBackOff => "offers back off",
            Self::NotRequested => "not requested",
            Self::RoomNotUsed => "room not used",
        }
    }
}

/// Waiting jobs with tasks of the same shape for which nothing is on its way.
#[derive(Debug, Clone)]
pub struct UnsuppliedShape {
    /// CPUs that one task needs.
    pub cpus: f64,
    /// GPUs that one task needs.
    pub gpus: f64,
    /// Memory that one task needs, in GB.
    pub memory_gb: f64,
    /// Why nothing is on its way.
    pub gap: SupplyGap,
    /// Number of waiting jobs.
    pub jobs: u32,
    /// The job that has waited for the longest time.
    pub longest_waiting: JobId,
    /// How long that job has had no placed task.
    pub waited: Duration,
}

/// Result of the last check, and when it was logged.
#[derive(Debug, Default)]
pub(super) struct SupplyWatch {
    unsupplied: Vec<UnsuppliedShape>,
    last_logged_at: Option<Instant>,
}

/// What one scaling round knows about supply.
pub(super) struct SupplyState<'a> {
    pub(super) cluster: &'a Cluster,
    pub(super) pools: &'a Pools<'a>,
    pub(super) backoff: &'a OfferBackoff,
    pub(super) rentals_in_flight: &'a RentalsInFlight,
    /// Tasks without room on any machine that is up, on its way or requested.
    pub(super) unserved: &'a [ShapeDemand],
}

impl SupplyWatch {
    /// Returns the shapes for which nothing was on its way at the last check, the longest-waiting
    /// first, and only the first of them.
    pub(super) fn unsupplied(&self) -> &[UnsuppliedShape] {
        &self.unsupplied
    }

    /// Checks all waiting jobs, and logs a warning if nothing is on its way for some of them.
    pub(super) fn check(&mut self, state: &SupplyState<'_>, now: Instant) {
        let mut by_shape: BTreeMap<(TaskShape, SupplyGap), UnsuppliedShape> = BTreeMap::new();
        let usage = state.cluster.usage_by_team();
        for (id, job) in &state.cluster.jobs {
            let Some(waited) = unplaced_for(job, now).filter(|waited| *waited >= CHECKED_WAIT)
            else {
                continue;
            };
            let team = state.cluster.team_of(job);
            let next_usage = usage[job.team].plus(Usage::of_tasks(job.spec(), 1));
            if !is_within_limit(team, next_usage) {
                continue;
            }
            let shape = TaskShape::of_waiting_tasks(job, state.cluster, state.pools.zones());
            let Some(gap) = state.gap(&shape, waited, now) else { continue };
            let entry = by_shape
                .entry((shape, gap))
                .or_insert_with_key(|(shape, gap)| UnsuppliedShape::new(shape, *gap, id));
            entry.add(id, waited);
        }
        self.unsupplied = by_shape.into_values().collect();
        self.unsupplied.sort_by_key(|shape| std::cmp::Reverse(shape.waited));
        self.log(now);
        self.unsupplied.truncate(MAX_LISTED_SHAPES);
    }

    fn log(&mut self, now: Instant) {
        let Some(longest) = self.unsupplied.first() else { return };
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.last_logged_at.is_some_and(is_recent) {
            return;
        }
        self.last_logged_at = Some(now);
        tracing::warn!(
            jobs = self.unsupplied.iter().map(|shape| shape.jobs).sum::<u32>(),
            job = %longest.longest_waiting,
            waited_s = longest.waited.as_secs(),
            reason = longest.gap.name(),
            cpus = longest.cpus,
            gpus = longest.gpus,
            memory_gb = longest.memory_gb,
            "job waits and nothing is on its way for it"
        );
    }
}

impl UnsuppliedShape {
    fn new(shape: &TaskShape, gap: SupplyGap, job: &JobId) -> Self {
        Self {
            cpus: shape.need.cpus,
            gpus: shape.need.gpus,
            memory_gb: shape.need.memory_gb,
            gap,
            jobs: 0,
            longest_waiting: job.clone(),
            waited: Duration::ZERO,
        }
    }

    fn add(&mut self, job: &JobId, waited: Duration) {
        self.jobs += 1;
        if waited > self.waited {
            self.waited = waited;
            self.longest_waiting = job.clone();
        }
    }
}

impl SupplyState<'_> {
    /// Returns why nothing is on its way for tasks of this shape; `None` if something is.
    fn gap(&self, shape: &TaskShape, waited: Duration, now: Instant) -> Option<SupplyGap> {
        if !self.unserved.iter().any(|unserved| unserved.shape == *shape) {
            let is_unused = waited >= UNUSED_ROOM_WAIT && self.has_room_now(shape, now);
            return is_unused.then_some(SupplyGap::RoomNotUsed);
        }
        let is_offered = |pool: &Pool<'_>| pool.is_offered() && shape.can_run_in(pool);
        if !self.pools.iter().any(|pool| is_offered(&pool)) {
            return Some(SupplyGap::NotOffered);
        }
        let available = available_offers(self.pools, self.backoff, self.rentals_in_flight, now);
        let is_available = available.iter().any(|pool| shape.can_run_in(pool));
        Some(if is_available { SupplyGap::NotRequested } else { SupplyGap::OffersBackOff })
    }

    /// Returns whether a machine that is up has room for a task of this shape now.
    fn has_room_now(&self, shape: &TaskShape, now: Instant) -> bool {
        let heartbeat_timeout = self.cluster.config.heartbeat_timeout();
        let has_room = |machine: &Machine| {
            machine.state() == MachineState::Up
                && provides_supply(machine, heartbeat_timeout, now)
                && !shape.failed_on.contains(&machine.name)
                && self.pools.of_machine(machine).is_some_and(|pool| shape.can_run_in(&pool))
                && machine.task_room().is_some_and(|room| room.free.can_fit(&shape.need))
        };
        self.cluster.machines.values().any(has_room)
    }
}

/// Returns how long the job has had waiting tasks but no placed one; `None` if it has a placed task
/// or waits for none.
fn unplaced_for(job: &Job, now: Instant) -> Option<Duration> {
    let since = job.unplaced_since.filter(|_| has_waiting_tasks(job))?;
    Some(now.saturating_duration_since(since))
}
