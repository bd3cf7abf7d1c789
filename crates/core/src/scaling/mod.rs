//! Scaling: machines are rented for the tasks that there are, and returned when they are not
//! needed.
//!
//! [`Scaling`] owns what has to be remembered between two rounds. In each round it compares the
//! [`demand`] with the [`supply`], rents the cheapest [`offers`] for what is missing ([`scale_out`])
//! and drains what is too much ([`scale_in`]).

mod demand;
mod offers;
mod scale_in;
mod scale_out;
mod spot_balance;
mod supply;

use crate::cluster::Cluster;
use crate::machine::Machine;
use crate::scheduler::{Action, Scheduler};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::{MachineName, Term};
use demand::RecentDemand;
use offers::{Offer, OfferBackoff};
use scale_in::DrainReason;
use std::collections::BTreeMap;
use std::time::Instant;

/// Rental requests that were sent and not answered yet, by their names.
type RentalsInFlight = BTreeMap<String, RentRequest>;

/// What becomes of machines in a round of scaling.
#[derive(Debug, Default)]
pub(crate) struct ScalingDecisions {
    /// Machines to be rented, in this order.
    pub(crate) rentals: Vec<RentRequest>,
    /// Machines that were taken out of use.
    pub(crate) drained: Vec<DrainedMachine>,
}

/// A machine that was taken out of use, to be returned once it is empty.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct DrainedMachine {
    pub(crate) name: MachineName,
    pub(crate) reason: DrainReason,
}

/// Why a rental brought no machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RentalFailure {
    /// The cloud has no such machines at the moment.
    NoCapacity,
    /// It was refused for another reason, or given up without an answer.
    Other,
}

/// What scaling remembers of its rentals and of the demand.
pub(crate) struct Scaling {
    /// The leader's first term, part of the names of its requests.
    term: Term,
    requests_sent: u64,
    backoff: OfferBackoff,
    rentals_in_flight: RentalsInFlight,
    recent_demand: RecentDemand,
}

impl Scaling {
    /// Scaling under a term that nobody else ever holds.
    pub(crate) fn new(term: Term) -> Self {
        Self {
            term,
            requests_sent: 0,
            backoff: OfferBackoff::default(),
            rentals_in_flight: RentalsInFlight::new(),
            recent_demand: RecentDemand::default(),
        }
    }

    /// Takes the answer to a rental, with the names of the machines.
    pub(crate) fn rental_answered(
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
                    self.backoff.partly_filled(offer, now);
                } else {
                    self.backoff.filled(&offer);
                }
                add_rented_machines(cluster, request, names, now);
            }
            Err(failure) => self.backoff.failed(offer, failure, now),
        }
    }

    /// One round: rents what the unfinished tasks need, and takes out of use what they do not.
    /// Nothing expensive is let go before all earlier tasks are accounted for (S7, `reconciled`).
    pub(crate) fn scale(
        &mut self,
        cluster: &mut Cluster,
        reconciled: bool,
        now: Instant,
    ) -> ScalingDecisions {
        let mut decisions = ScalingDecisions::default();
        scale_in::drain_late_boots(cluster, &mut decisions, now);
        let demand = demand::wanted_cpus(cluster);
        let supply_cpus = supply::supply_cpus(cluster, &self.rentals_in_flight, now);
        self.scale_out(cluster, demand, supply_cpus, &mut decisions, now);
        self.scale_out_for_constrained(cluster, &mut decisions, now);
        if reconciled {
            scale_in::drain_expensive(cluster, demand.cpus, &mut decisions);
        }
        let headroom_cpus = self.recent_demand.update(cluster, now);
        let spare = scale_in::Spare { cpus: supply_cpus - demand.cpus, headroom_cpus };
        scale_in::drain_idle(cluster, spare, &mut decisions, now);
        decisions
    }
}

/// Machines that a rental brought are booting, unless their workers have reported already.
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
    /// A rental was answered with the names of its machines, or brought none. Machines of a late
    /// answer turn up in the list and in heartbeats.
    pub fn rental_answered(
        &mut self,
        request: &RentRequest,
        outcome: Result<Vec<MachineName>, RentalFailure>,
        now: Instant,
    ) {
        self.scaling.rental_answered(&mut self.cluster, request, outcome, now);
    }

    /// Rents what the unfinished tasks need and returns what they do not. Nothing happens while
    /// the cloud's machine types are not known.
    pub fn scale(&mut self, now: Instant) {
        if self.cluster.machine_types.is_empty() {
            return;
        }
        let reconciled = self.is_reconciled();
        let decisions = self.scaling.scale(&mut self.cluster, reconciled, now);
        for drained in decisions.drained {
            if let Some(message) = drained.reason.message() {
                self.log_machine_event(drained.name.as_str(), message);
            }
        }
        self.actions.extend(decisions.rentals.into_iter().map(Action::RentMachines));
    }
}
