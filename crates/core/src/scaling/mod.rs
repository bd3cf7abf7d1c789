//! Scaling: rents machines for tasks that have no room and drains machines that are not needed.
//!
//! The [`Autoscaler`] keeps the state between two rounds. Each round chooses, from the [`room`] on
//! the machines that are up, on their way or requested, machines for the [`demand`], which is counted
//! in tasks by [`shape`]. For the tasks that fit nowhere it plans rentals ([`rental_plan`]) and
//! requests them ([`scale_out`]); it drains machines that nothing needs ([`scale_in`]). A
//! [`supply_watch`] reports jobs for which nothing is on its way.

mod demand;
mod offers;
mod pools;
mod recent_demand;
mod rental_plan;
mod room;
mod scale_in;
mod scale_out;
mod shape;
mod spot_balance;
mod supply_watch;

pub use supply_watch::{SupplyGap, UnsuppliedShape};

use crate::cluster::Cluster;
use crate::machine::Machine;
use crate::scheduler::{Action, Scheduler};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::{MachineName, Term};
use demand::{demand_by_shape, ShapeDemand, ShortJobs};
use offers::{Offer, OfferBackoff};
use pools::Pools;
use recent_demand::{Headroom, RecentDemand};
use room::{Room, RoomSource};
use scale_in::{DrainReason, IdleUse};
use std::collections::BTreeMap;
use std::time::Instant;
use supply_watch::{SupplyState, SupplyWatch};

/// Rental requests that have not been answered yet, by request name.
type RentalsInFlight = BTreeMap<String, RentRequest>;

/// Decisions of one scaling round.
#[derive(Debug, Default)]
pub(crate) struct ScalingDecisions {
    /// Rental requests to send, in this order.
    pub(crate) rentals: Vec<RentRequest>,
    /// Machines that were drained.
    pub(crate) drained: Vec<DrainedMachine>,
}

/// A drained machine, which is deleted once it is empty.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct DrainedMachine {
    pub(crate) name: MachineName,
    pub(crate) reason: DrainReason,
}

/// The reason why a rental request brought no machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RentalFailure {
    /// The cloud has no capacity for this offer at the moment.
    NoCapacity,
    /// The request was refused for another reason, or abandoned without an answer.
    Other,
}

/// Scaling state that is kept between rounds: rentals, failed offers and recent demand.
pub(crate) struct Autoscaler {
    /// First term of the leader. It is part of the names of the rental requests.
    term: Term,
    /// Number of rental requests created so far; the names of the requests contain it.
    requests_sent: u64,
    backoff: OfferBackoff,
    rentals_in_flight: RentalsInFlight,
    recent_demand: RecentDemand,
    supply_watch: SupplyWatch,
}

impl Autoscaler {
    /// Creates the scaling state for a leader. `term` must be unique to this leader.
    pub(crate) fn new(term: Term) -> Self {
        Self {
            term,
            requests_sent: 0,
            backoff: OfferBackoff::default(),
            rentals_in_flight: RentalsInFlight::new(),
            recent_demand: RecentDemand::default(),
            supply_watch: SupplyWatch::default(),
        }
    }

    /// Handles the answer to a rental request: the names of the rented machines, or a failure.
    pub(crate) fn on_rental_answered(
        &mut self,
        cluster: &mut Cluster,
        request: &RentRequest,
        outcome: Result<Vec<MachineName>, RentalFailure>,
        now: Instant,
    ) {
        self.rentals_in_flight.remove(&request.request);
        let offer = Offer::from(request);
        match outcome {
            Ok(names) => {
                if names.len() < request.count as usize {
                    self.backoff.record_partial_fill(offer, now);
                } else {
                    self.backoff.clear(&offer);
                }
                add_rented_machines(cluster, request, names, now);
            }
            Err(failure) => self.backoff.record_failure(offer, failure, now),
        }
    }

    /// Runs one scaling round: rents capacity that the unfinished tasks need, and drains machines
    /// that they do not need. Expensive machines are drained only when reconciliation is complete:
    /// all tasks of earlier leaders are then accounted for (S7).
    pub(crate) fn scale(
        &mut self,
        cluster: &mut Cluster,
        is_reconciled: bool,
        now: Instant,
    ) -> ScalingDecisions {
        let mut decisions = ScalingDecisions::default();
        scale_in::drain_unbooted_machines(cluster, &mut decisions, now);
        scale_in::update_idle_times(cluster, now);
        let pools = Pools::new(cluster);
        let demand = demand_by_shape(cluster, &pools, now);
        let headroom = self.recent_demand.update(cluster, &pools, now);
        let mut room = self.room(cluster, &pools, &demand, headroom.as_ref(), now);
        let missing = room.place_all(&demand);
        log_missing(&missing);
        let unserved = self.scale_out(cluster, &pools, &missing, &mut decisions, now);
        self.check_supply(cluster, &pools, &unserved, now);
        let expensive =
            if is_reconciled { scale_in::expensive_machines(cluster, &pools) } else { Vec::new() };
        let idle_use = IdleUse { room, missing: &missing, headroom };
        let idle = scale_in::dispensable_idle_machines(cluster, &pools, idle_use, now);
        decisions.drain(cluster, expensive, DrainReason::Expensive);
        decisions.drain(cluster, idle, DrainReason::Idle);
        decisions
    }

    /// Returns the room on all machines that are up, on their way or requested, for the demand and
    /// for future jobs.
    fn room(
        &self,
        cluster: &Cluster,
        pools: &Pools<'_>,
        demand: &[ShapeDemand],
        headroom: Option<&Headroom>,
        now: Instant,
    ) -> Room {
        let shapes = demand.iter().map(|demand| &demand.shape);
        let shapes = shapes.chain(headroom.map(|headroom| &headroom.shape));
        let needs = shapes.map(|shape| shape.need);
        let smallest_need = needs.reduce(|left, right| left.minimum(&right));
        let source = RoomSource {
            cluster,
            pools,
            rentals_in_flight: &self.rentals_in_flight,
            short_jobs: ShortJobs::new(cluster),
            failed_on: demand.iter().flat_map(|demand| &demand.shape.failed_on).collect(),
            smallest_need: smallest_need.unwrap_or_default(),
        };
        Room::new(&source, now)
    }

    /// Returns the shapes of waiting tasks for which nothing was on its way at the last check.
    pub(crate) fn unsupplied(&self) -> &[UnsuppliedShape] {
        self.supply_watch.unsupplied()
    }

    /// Checks whether something is on its way for each waiting job. `unserved` are the tasks that
    /// have no room and for which no machine was requested.
    fn check_supply(
        &mut self,
        cluster: &Cluster,
        pools: &Pools<'_>,
        unserved: &[ShapeDemand],
        now: Instant,
    ) {
        let state = SupplyState {
            cluster,
            pools,
            backoff: &self.backoff,
            rentals_in_flight: &self.rentals_in_flight,
            unserved,
        };
        self.supply_watch.check(&state, now);
    }
}

impl ScalingDecisions {
    /// Drains machines for a reason, unless they drain already.
    fn drain(&mut self, cluster: &mut Cluster, names: Vec<MachineName>, reason: DrainReason) {
        for name in names {
            cluster.drain_machine(name.as_str());
            if !self.drained.iter().any(|drained| drained.name == name) {
                self.drained.push(DrainedMachine { name, reason });
            }
        }
    }
}

/// Logs the tasks that have no room.
fn log_missing(missing: &[ShapeDemand]) {
    for ShapeDemand { shape, tasks, .. } in missing {
        tracing::debug!(tasks, need = ?shape.need, zones = ?shape.zones, "tasks have no room");
    }
}

/// Adds rented machines as booting, unless their workers' heartbeats have already added them.
fn add_rented_machines(
    cluster: &mut Cluster,
    request: &RentRequest,
    names: Vec<MachineName>,
    now: Instant,
) {
    let types = &cluster.machine_types;
    for name in names {
        let RentRequest { machine_type, zone, spot, .. } = request.clone();
        cluster
            .machines
            .entry(name.clone())
            .or_insert_with(|| Machine::new(name, machine_type, zone, spot, types, now));
    }
}

impl Scheduler {
    /// Handles the answer to a rental request: the names of the rented machines, or a failure. If
    /// an answer comes after the request was abandoned, its machines become known from the cloud's
    /// list and from heartbeats.
    pub fn on_rental_answered(
        &mut self,
        request: &RentRequest,
        outcome: Result<Vec<MachineName>, RentalFailure>,
        now: Instant,
    ) {
        self.scaling.on_rental_answered(&mut self.cluster, request, outcome, now);
    }

    /// Runs one scaling round: rents machines that the unfinished tasks need and drains machines
    /// that they do not need. Does nothing while the cloud's machine types are unknown.
    pub fn scale(&mut self, now: Instant) {
        if self.cluster.machine_types.is_empty() {
            return;
        }
        let is_reconciled = self.is_reconciled();
        let decisions = self.scaling.scale(&mut self.cluster, is_reconciled, now);
        for drained in decisions.drained {
            if let Some(message) = drained.reason.message() {
                self.log_machine_event(drained.name.as_str(), message);
            }
        }
        self.actions.extend(decisions.rentals.into_iter().map(Action::RentMachines));
    }
}
