//! Scale-out: rents machines for tasks that have no room.

use super::demand::{CpuDemand, ShapeDemand};
use super::offers::{available_offers, is_expensive};
use super::pools::{Pool, Pools};
use super::rental_plan::RentalPlan;
use super::room::is_up_or_booting;
use super::spot_balance::PoolCapacity;
use super::{Autoscaler, ScalingDecisions};
use crate::cluster::Cluster;
use corkfield_wire::cloud::{RentRequest, MAX_MACHINES_PER_RENTAL};
use std::time::Instant;

impl Autoscaler {
    /// Rents machines for the tasks that have no room. Returns those tasks for which no machine was
    /// requested.
    pub(super) fn scale_out(
        &mut self,
        cluster: &Cluster,
        pools: &Pools<'_>,
        missing: &[ShapeDemand],
        decisions: &mut ScalingDecisions,
        now: Instant,
    ) -> Vec<ShapeDemand> {
        if missing.is_empty() {
            return Vec::new();
        }
        let offers = available_offers(pools, &self.backoff, &self.rentals_in_flight, now);
        let demand = CpuDemand::new(cluster, pools);
        let capacity = PoolCapacity::new(cluster, pools, is_up_or_booting);
        let plan = RentalPlan::new(offers, missing, |shape_demand, pool| {
            !self.is_too_expensive(pool, shape_demand, &demand, &capacity, pools)
        });
        for (pool, machines) in plan.requests() {
            decisions.rentals.push(self.request_rental(&pool, machines));
        }
        plan.unserved()
    }

    /// Returns whether an on-demand offer is too expensive for tasks of this shape. This is the case
    /// if its machines would be drained as soon as they are up. It is also the case for any
    /// expensive offer while a spot request for such tasks is unanswered: until then the number of
    /// available spot machines is unknown, and the offers that are requested are not available, so
    /// that only expensive offers might remain. If some of the demand must not run on spot machines,
    /// no offer is too expensive.
    fn is_too_expensive(
        &self,
        pool: &Pool<'_>,
        shape_demand: &ShapeDemand,
        demand: &CpuDemand,
        capacity: &PoolCapacity<'_>,
        pools: &Pools<'_>,
    ) -> bool {
        if pool.spot || !demand.can_all_run_on_spot() || !is_expensive(pool.machine_type) {
            return false;
        }
        let is_spot_requested = self.rentals_in_flight.values().any(|request| {
            let pool = pools.find(&request.machine_type, &request.zone, request.spot);
            request.spot && pool.is_some_and(|pool| shape_demand.pools[pool.index])
        });
        let balance = capacity.balance_in(&shape_demand.pools, |_| true);
        let demand_cpus = demand.cpus_bound_to(&shape_demand.pools);
        is_spot_requested || balance.with_on_demand_machine(pool).is_spot_sufficient(demand_cpus)
    }

    /// Creates a request for `machines` machines of an offer, limited to
    /// [`MAX_MACHINES_PER_RENTAL`].
    fn request_rental(&mut self, pool: &Pool<'_>, machines: u32) -> RentRequest {
        self.requests_sent += 1;
        let request = RentRequest {
            // Request names must never be reused. The name contains the leader's term, which no
            // other leader ever holds.
            request: format!("r-{}-{}", self.term, self.requests_sent),
            machine_type: pool.machine_type.name.clone(),
            zone: pool.zone.to_owned(),
            spot: pool.spot,
            count: machines.min(MAX_MACHINES_PER_RENTAL),
        };
        tracing::debug!(?request, "renting machines");
        self.rentals_in_flight.insert(request.request.clone(), request.clone());
        request
    }
}
