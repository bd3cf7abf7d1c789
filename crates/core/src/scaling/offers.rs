//! The cloud's offers: their prices, and which of them are open.

use super::{RentalFailure, RentalsInFlight};
use crate::cluster::Cluster;
use crate::machine::may_run_on;
use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::JobSpec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An on-demand machine that costs more than this many times a spot one is expensive.
const EXPENSIVE_RATIO: f64 = 2.0;

/// Machines with fewer CPUs count as having this many, where prices are compared.
const MIN_MACHINE_CPUS: f64 = 0.1;

/// Prices for a CPU that differ by less are the same.
const PRICE_TOLERANCE: f64 = 1e-9;

/// The first wait for an offer that there was no capacity for, in seconds; it doubles with each
/// failure.
const NO_CAPACITY_BACKOFF_S: f64 = 5.0;
/// The same, after any other failure.
const FAILURE_BACKOFF_S: f64 = 2.0;
/// Failures in a row up to which the wait doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// No wait for an offer is longer.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// An offer of which only a part was to be had is not asked for again before this time.
const PARTLY_FILLED_BACKOFF: Duration = Duration::from_secs(10);

/// What the cloud rents out: machines of a type, in a zone, spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Offer {
    machine_type: String,
    zone: String,
    spot: bool,
}

impl From<&RentRequest> for Offer {
    /// The offer that a rental asks for.
    fn from(request: &RentRequest) -> Self {
        let RentRequest { machine_type, zone, spot, .. } = request.clone();
        Self { machine_type, zone, spot }
    }
}

impl Offer {
    fn is_asked_for_by(&self, request: &RentRequest) -> bool {
        self.machine_type == request.machine_type
            && self.zone == request.zone
            && self.spot == request.spot
    }
}

/// An offer with its price.
#[derive(Debug, Clone, Copy)]
pub(super) struct PricedOffer<'a> {
    pub(super) machine_type: &'a MachineType,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
    pub(super) price_per_cpu: f64,
}

impl PricedOffer<'_> {
    /// Whether a task of the job may run on such a machine, and fits into an empty one.
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        let machine_type = self.machine_type;
        may_run_on(spec, &machine_type.name, self.zone, self.spot)
            && spec.cpus <= machine_type.cpus
            && spec.gpus <= machine_type.gpus
            && spec.memory_gb <= machine_type.memory_gb
    }

    /// Whether it costs the same as another.
    pub(super) fn costs_as_much_as(&self, other: &Self) -> bool {
        (self.price_per_cpu - other.price_per_cpu).abs() < PRICE_TOLERANCE
    }

    /// CPUs of one machine, where amounts are divided by them.
    pub(super) fn divisor_cpus(&self) -> f64 {
        divisor_cpus(self.machine_type)
    }
}

/// The price of a CPU on a machine of that type.
pub(super) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    let price = if spot { machine_type.spot_price } else { machine_type.price };
    price / divisor_cpus(machine_type)
}

fn divisor_cpus(machine_type: &MachineType) -> f64 {
    machine_type.cpus.max(MIN_MACHINE_CPUS)
}

/// Whether on-demand machines of that type are expensive beside its spot machines.
pub(super) fn is_expensive(machine_type: &MachineType) -> bool {
    machine_type.spot_price > 0.0 && machine_type.price > EXPENSIVE_RATIO * machine_type.spot_price
}

/// Offers that were not refused lately and are not asked for at the moment.
pub(super) fn open_offers<'a>(
    cluster: &'a Cluster,
    backoff: &OfferBackoff,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> Vec<PricedOffer<'a>> {
    let mut open = Vec::new();
    for machine_type in &cluster.machine_types {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                let offer =
                    Offer { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                let asked_for =
                    rentals_in_flight.values().any(|request| offer.is_asked_for_by(request));
                if !asked_for && !backoff.is_waiting(&offer, now) {
                    let price_per_cpu = price_per_cpu(machine_type, spot);
                    open.push(PricedOffer { machine_type, zone, spot, price_per_cpu });
                }
            }
        }
    }
    open
}

/// Offers that are not asked for until a time.
#[derive(Debug, Default)]
pub(super) struct OfferBackoff {
    waits: BTreeMap<Offer, BackoffWait>,
}

#[derive(Debug, Clone, Copy)]
struct BackoffWait {
    until: Instant,
    /// Failures in a row.
    failures: u32,
}

impl OfferBackoff {
    /// All machines that were asked for are there.
    pub(super) fn filled(&mut self, offer: &Offer) {
        self.waits.remove(offer);
    }

    /// Only some of the machines that were asked for are there.
    pub(super) fn partly_filled(&mut self, offer: Offer, now: Instant) {
        let wait = BackoffWait { until: now + PARTLY_FILLED_BACKOFF, failures: 1 };
        self.waits.insert(offer, wait);
    }

    /// No machines are there: the wait doubles with each failure in a row.
    pub(super) fn failed(&mut self, offer: Offer, failure: RentalFailure, now: Instant) {
        let failures = self.waits.get(&offer).map_or(0, |wait| wait.failures) + 1;
        let first_s = match failure {
            RentalFailure::NoCapacity => NO_CAPACITY_BACKOFF_S,
            RentalFailure::Other => FAILURE_BACKOFF_S,
        };
        let doublings = failures.min(MAX_BACKOFF_DOUBLINGS) as i32 - 1;
        let wait = Duration::from_secs_f64(first_s * 2f64.powi(doublings)).min(MAX_BACKOFF);
        self.waits.insert(offer, BackoffWait { until: now + wait, failures });
    }

    fn is_waiting(&self, offer: &Offer, now: Instant) -> bool {
        self.waits.get(offer).is_some_and(|wait| now < wait.until)
    }
}
