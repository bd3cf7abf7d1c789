//! The cloud's offers: their prices, and which of them may be requested now.

use super::{RentalFailure, RentalsInFlight};
use crate::cluster::Cluster;
use crate::machine::may_run_on;
use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::JobSpec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// On-demand machines are expensive if they cost more than this many times the spot price.
const EXPENSIVE_RATIO: f64 = 2.0;

/// Minimum number of CPUs that a machine counts as in price comparisons, to avoid division by 0.
const MIN_MACHINE_CPUS: f64 = 0.1;

/// Prices per CPU that differ by less than this are equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// Initial backoff in seconds of an offer without capacity; it doubles with each consecutive
/// failure.
const NO_CAPACITY_BACKOFF_S: f64 = 5.0;
/// Initial backoff in seconds of an offer after any other failure; it doubles in the same way.
const FAILURE_BACKOFF_S: f64 = 2.0;
/// The backoff no longer doubles after this many consecutive failures.
const MAX_BACKOFF_FAILURES: u32 = 5;
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Backoff of an offer after a request that brought only some of the requested machines.
const PARTIAL_FILL_BACKOFF: Duration = Duration::from_secs(10);

/// Something that the cloud rents out: machines of one type in one zone, as spot or on-demand
/// machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Offer {
    machine_type: String,
    zone: String,
    spot: bool,
}

impl From<&RentRequest> for Offer {
    /// Returns the offer that a rental request is for.
    fn from(request: &RentRequest) -> Self {
        let RentRequest { machine_type, zone, spot, .. } = request.clone();
        Self { machine_type, zone, spot }
    }
}

impl Offer {
    fn is_requested_by(&self, request: &RentRequest) -> bool {
        self.machine_type == request.machine_type
            && self.zone == request.zone
            && self.spot == request.spot
    }
}

/// An offer and its price per CPU.
#[derive(Debug, Clone, Copy)]
pub(super) struct PricedOffer<'a> {
    pub(super) machine_type: &'a MachineType,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
    pub(super) price_per_cpu: f64,
}

impl PricedOffer<'_> {
    /// Returns whether a task of the job may run on a machine of this offer and fits into an empty
    /// one.
    pub(super) fn can_run(&self, spec: &JobSpec) -> bool {
        let machine_type = self.machine_type;
        may_run_on(spec, &machine_type.name, self.zone, self.spot)
            && spec.cpus <= machine_type.cpus
            && spec.gpus <= machine_type.gpus
            && spec.memory_gb <= machine_type.memory_gb
    }

    /// Returns whether both offers have the same price per CPU.
    pub(super) fn has_same_price_as(&self, other: &Self) -> bool {
        (self.price_per_cpu - other.price_per_cpu).abs() < PRICE_TOLERANCE
    }

    /// Returns the CPUs of one machine, at least [`MIN_MACHINE_CPUS`], for use as a divisor.
    pub(super) fn nonzero_cpus(&self) -> f64 {
        nonzero_cpus(self.machine_type)
    }
}

/// Returns the price per CPU of a spot or on-demand machine of this type.
pub(super) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    let price = if spot { machine_type.spot_price } else { machine_type.price };
    price / nonzero_cpus(machine_type)
}

fn nonzero_cpus(machine_type: &MachineType) -> f64 {
    machine_type.cpus.max(MIN_MACHINE_CPUS)
}

/// Returns whether on-demand machines of this type are expensive compared to its spot machines.
pub(super) fn is_expensive(machine_type: &MachineType) -> bool {
    machine_type.spot_price > 0.0 && machine_type.price > EXPENSIVE_RATIO * machine_type.spot_price
}

/// Returns the offers that are neither in backoff nor requested by a rental in flight.
pub(super) fn available_offers<'a>(
    cluster: &'a Cluster,
    backoff: &OfferBackoff,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> Vec<PricedOffer<'a>> {
    let mut offers = Vec::new();
    for machine_type in &cluster.machine_types {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                let offer =
                    Offer { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                let is_requested =
                    rentals_in_flight.values().any(|request| offer.is_requested_by(request));
                if !is_requested && !backoff.is_backing_off(&offer, now) {
                    let price_per_cpu = price_per_cpu(machine_type, spot);
                    offers.push(PricedOffer { machine_type, zone, spot, price_per_cpu });
                }
            }
        }
    }
    offers
}

/// Offers that are not requested again before a certain time.
#[derive(Debug, Default)]
pub(super) struct OfferBackoff {
    backoffs: BTreeMap<Offer, Backoff>,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    /// Number of consecutive failures.
    failures: u32,
}

impl OfferBackoff {
    /// Ends the backoff of an offer after all requested machines were rented.
    pub(super) fn clear(&mut self, offer: &Offer) {
        self.backoffs.remove(offer);
    }

    /// Starts the backoff of an offer after only some of the requested machines were rented.
    pub(super) fn record_partial_fill(&mut self, offer: Offer, now: Instant) {
        let backoff = Backoff { until: now + PARTIAL_FILL_BACKOFF, failures: 1 };
        self.backoffs.insert(offer, backoff);
    }

    /// Starts the backoff of an offer after no machine was rented. The backoff doubles with each
    /// consecutive failure.
    pub(super) fn record_failure(&mut self, offer: Offer, failure: RentalFailure, now: Instant) {
        let failures = self.backoffs.get(&offer).map_or(0, |backoff| backoff.failures) + 1;
        let initial_s = match failure {
            RentalFailure::NoCapacity => NO_CAPACITY_BACKOFF_S,
            RentalFailure::Other => FAILURE_BACKOFF_S,
        };
        let doublings = failures.min(MAX_BACKOFF_FAILURES) as i32 - 1;
        let wait = Duration::from_secs_f64(initial_s * 2f64.powi(doublings)).min(MAX_BACKOFF);
        self.backoffs.insert(offer, Backoff { until: now + wait, failures });
    }

    fn is_backing_off(&self, offer: &Offer, now: Instant) -> bool {
        self.backoffs.get(offer).is_some_and(|backoff| now < backoff.until)
    }
}
