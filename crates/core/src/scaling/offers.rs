//! The cloud's offers: their prices, and which of them may be requested now.

use super::pools::{Pool, Pools};
use super::{RentalFailure, RentalsInFlight};
use corkfield_wire::cloud::{MachineType, RentRequest};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// On-demand machines are expensive if they cost more than this many times the spot price.
const EXPENSIVE_RATIO: f64 = 2.0;

/// Minimum number of CPUs that a machine counts as in price comparisons, to avoid division by 0.
const MIN_MACHINE_CPUS: f64 = 0.1;

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
    /// Returns the offer of a pool.
    fn of_pool(pool: &Pool<'_>) -> Self {
        Self {
            machine_type: pool.machine_type.name.clone(),
            zone: pool.zone.to_owned(),
            spot: pool.spot,
        }
    }

    fn is_requested_by(&self, request: &RentRequest) -> bool {
        self.machine_type == request.machine_type
            && self.zone == request.zone
            && self.spot == request.spot
    }
}

/// Returns the price per CPU of a spot or on-demand machine of this type.
pub(super) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    let price = if spot { machine_type.spot_price } else { machine_type.price };
    price / machine_type.cpus.max(MIN_MACHINE_CPUS)
}

/// Returns whether on-demand machines of this type are expensive compared to its spot machines.
pub(super) fn is_expensive(machine_type: &MachineType) -> bool {
    machine_type.spot_price > 0.0 && machine_type.price > EXPENSIVE_RATIO * machine_type.spot_price
}

/// Returns the pools that the cloud offers and that are neither in backoff nor requested by a rental
/// in flight.
pub(super) fn available_offers<'a>(
    pools: &Pools<'a>,
    backoff: &OfferBackoff,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> Vec<Pool<'a>> {
    let is_available = |pool: &Pool<'_>| {
        let offer = Offer::of_pool(pool);
        let is_requested = rentals_in_flight.values().any(|request| offer.is_requested_by(request));
        pool.is_offered() && !is_requested && !backoff.is_backing_off(&offer, now)
    };
    pools.iter().filter(is_available).collect()
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
