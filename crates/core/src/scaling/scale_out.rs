//! Scale-out: selects the offers to rent for missing capacity.

use super::demand::{constrained_demand, has_waiting_tasks, Demand};
use super::offers::{available_offers, is_expensive, PricedOffer};
use super::spot_balance::SpotBalance;
use super::supply::supply_cpus_for;
use super::{Autoscaler, ScalingDecisions};
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use corkfield_wire::cloud::{RentRequest, MAX_MACHINES_PER_RENTAL};
use std::time::Instant;

impl Autoscaler {
    /// Rents the capacity that is missing for the demand of all jobs.
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
        let has_spot_rental_in_flight = self.rentals_in_flight.values().any(|request| request.spot);
        let mut offers = available_offers(cluster, &self.backoff, &self.rentals_in_flight, now);
        offers.retain(|offer| {
            let is_useful = if offer.spot {
                demand.spot_cpus > 0.0
            } else {
                !is_too_expensive(offer, demand, balance, has_spot_rental_in_flight)
            };
            is_useful && can_run_waiting_job(offer, cluster)
        });
        self.request_rentals(missing_cpus, offers, decisions);
    }

    /// Rents the capacity that is missing for jobs bound to a zone, to machine types or to
    /// on-demand machines. Such jobs cannot use spare capacity elsewhere, so only machines that
    /// they may use count as their supply.
    pub(super) fn scale_out_for_constrained_jobs(
        &mut self,
        cluster: &Cluster,
        decisions: &mut ScalingDecisions,
        now: Instant,
    ) {
        for demand in constrained_demand(cluster) {
            let supply_cpus =
                supply_cpus_for(&demand.largest_spec, cluster, &self.rentals_in_flight, now);
            let missing_cpus = demand.cpus - supply_cpus;
            if missing_cpus <= 0.0 {
                continue;
            }
            let mut offers = available_offers(cluster, &self.backoff, &self.rentals_in_flight, now);
            offers.retain(|offer| offer.can_run(&demand.largest_spec));
            self.request_rentals(missing_cpus, offers, decisions);
        }
    }

    /// Requests machines with `missing_cpus` CPUs in total from the cheapest offers.
    fn request_rentals(
        &mut self,
        mut missing_cpus: f64,
        mut offers: Vec<PricedOffer<'_>>,
        decisions: &mut ScalingDecisions,
    ) {
        offers.sort_by(|left, right| compare_f64(left.price_per_cpu, right.price_per_cpu));
        for (position, offer) in offers.iter().enumerate() {
            if missing_cpus <= 0.0 {
                return;
            }
            // The missing capacity is divided among all offers of the same price, and all of them
            // are requested in the same round: only a refused request shows that an offer has no
            // capacity, and the cloud limits the rate of requests.
            let same_price = offers[position..].iter().take_while(|o| o.has_same_price_as(offer));
            let machine_share = missing_cpus / offer.nonzero_cpus() / same_price.count() as f64;
            let machines = machine_share.ceil().max(1.0);
            missing_cpus -= machines * offer.machine_type.cpus;
            decisions.rentals.push(self.request_rental(offer, machines as u32));
        }
    }

    /// Creates a request for `machines` machines of an offer, limited to
    /// [`MAX_MACHINES_PER_RENTAL`].
    fn request_rental(&mut self, offer: &PricedOffer<'_>, machines: u32) -> RentRequest {
        self.requests_sent += 1;
        let request = RentRequest {
            // Request names must never be reused. The name contains the leader's term, which no
            // other leader ever holds.
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

/// Returns whether an on-demand offer is too expensive to rent. This is the case if its machines
/// would be drained as soon as they are up. It is also the case for any expensive offer while a
/// spot request is unanswered: until then the number of available spot machines is unknown, and
/// the offers that are requested are not available, so that only expensive offers might remain. If
/// some of the demand must not run on spot machines, no offer is too expensive.
fn is_too_expensive(
    offer: &PricedOffer<'_>,
    demand: Demand,
    balance: SpotBalance,
    has_spot_rental_in_flight: bool,
) -> bool {
    let can_all_run_on_spot = demand.cpus <= demand.spot_cpus;
    let on_demand_cpus = balance.on_demand_cpus + offer.machine_type.cpus;
    let balance_with_offer = SpotBalance { on_demand_cpus, ..balance };
    can_all_run_on_spot
        && is_expensive(offer.machine_type)
        && (has_spot_rental_in_flight || balance_with_offer.is_spot_sufficient(demand.cpus))
}

/// Returns whether a task of any waiting job may run on a machine of this offer.
fn can_run_waiting_job(offer: &PricedOffer<'_>, cluster: &Cluster) -> bool {
    cluster.jobs.values().any(|job| has_waiting_tasks(job) && offer.can_run(job.spec()))
}
