//! Scale out: which offers are rented for what is missing.

use super::demand::{constrained_demand, waits, Demand};
use super::offers::{is_expensive, open_offers, PricedOffer};
use super::spot_balance::SpotBalance;
use super::supply::supply_cpus_for;
use super::{Scaling, ScalingDecisions};
use crate::cluster::Cluster;
use crate::float_order::compare;
use corkfield_wire::cloud::{RentRequest, MAX_MACHINES_PER_RENTAL};
use std::time::Instant;

impl Scaling {
    /// Rents what the demand lacks.
    pub(super) fn scale_out(
        &mut self,
        cluster: &Cluster,
        demand: Demand,
        supply_cpus: f64,
        decisions: &mut ScalingDecisions,
        now: Instant,
    ) {
        let missing_cpus = demand.cpus - supply_cpus;
        if missing_cpus <= 0.0 {
            return;
        }
        let balance = SpotBalance::from_cluster(cluster);
        let spot_unanswered = self.rentals_in_flight.values().any(|request| request.spot);
        let mut offers = open_offers(cluster, &self.backoff, &self.rentals_in_flight, now);
        offers.retain(|offer| {
            let useful = if offer.spot {
                demand.spot_cpus > 0.0
            } else {
                !is_needless(offer, demand, balance, spot_unanswered)
            };
            useful && suits_waiting_job(offer, cluster)
        });
        self.request_rentals(missing_cpus, offers, decisions);
    }

    /// Jobs bound to a zone, to machine types or to on-demand machines find no use in what there
    /// is elsewhere: what the machines that suit them lack is rented besides.
    pub(super) fn scale_out_for_constrained(
        &mut self,
        cluster: &Cluster,
        decisions: &mut ScalingDecisions,
        now: Instant,
    ) {
        for demand in constrained_demand(cluster) {
            let supply_cpus =
                supply_cpus_for(&demand.largest, cluster, &self.rentals_in_flight, now);
            let missing_cpus = demand.cpus - supply_cpus;
            if missing_cpus <= 0.0 {
                continue;
            }
            let mut offers = open_offers(cluster, &self.backoff, &self.rentals_in_flight, now);
            offers.retain(|offer| offer.suits(&demand.largest));
            self.request_rentals(missing_cpus, offers, decisions);
        }
    }

    /// Rents machines with so many CPUs, the cheapest offers first.
    fn request_rentals(
        &mut self,
        mut missing_cpus: f64,
        mut offers: Vec<PricedOffer<'_>>,
        decisions: &mut ScalingDecisions,
    ) {
        offers.sort_by(|left, right| compare(left.price_per_cpu, right.price_per_cpu));
        for (position, offer) in offers.iter().enumerate() {
            if missing_cpus <= 0.0 {
                return;
            }
            // Offers of the same price share the need, all asked for at once: capacity shows
            // only when it is refused, and the cloud takes few requests a second.
            let same_price = offers[position..].iter().take_while(|o| o.costs_as_much_as(offer));
            let share_cpus = missing_cpus / offer.divisor_cpus() / same_price.count() as f64;
            let machines = share_cpus.ceil().max(1.0);
            missing_cpus -= machines * offer.machine_type.cpus;
            decisions.rentals.push(self.request_rental(offer, machines as u32));
        }
    }

    /// A request for so many machines of an offer, at most as many as one request may ask for.
    fn request_rental(&mut self, offer: &PricedOffer<'_>, machines: u32) -> RentRequest {
        self.requests_sent += 1;
        let request = RentRequest {
            // Terms are never taken twice, so neither is a name (request names must not be).
            request: format!("r-{}-{}", self.term, self.requests_sent),
            machine_type: offer.machine_type.name.clone(),
            zone: offer.zone.to_owned(),
            spot: offer.spot,
            count: machines.min(MAX_MACHINES_PER_RENTAL),
        };
        tracing::debug!(?request, "renting machines");
        self.rentals_in_flight.insert(request.request.clone(), request.clone());
        request
    }
}

/// Whether an on-demand offer is too expensive for what it would add: it would be returned as soon
/// as it is up; or how many spot machines are to be had is not known yet, and an offer that was
/// asked for already is none at the moment.
fn is_needless(
    offer: &PricedOffer<'_>,
    demand: Demand,
    balance: SpotBalance,
    spot_unanswered: bool,
) -> bool {
    let all_may_use_spot = demand.cpus <= demand.spot_cpus;
    let on_demand_cpus = balance.on_demand_cpus + offer.machine_type.cpus;
    let with_offer = SpotBalance { on_demand_cpus, ..balance };
    all_may_use_spot
        && is_expensive(offer.machine_type)
        && (spot_unanswered || with_offer.makes_expensive_needless(demand.cpus))
}

/// Whether a task of some waiting job may run on such a machine.
fn suits_waiting_job(offer: &PricedOffer<'_>, cluster: &Cluster) -> bool {
    cluster.jobs.values().any(|job| waits(job) && offer.suits(job.spec()))
}
