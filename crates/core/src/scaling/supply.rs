//! Supply: the capacity of the machines that are up, booting or requested.

use super::room::provides_supply;
use super::RentalsInFlight;
use crate::cluster::Cluster;
use crate::machine::{may_run_on, Machine};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::JobSpec;
use std::time::Instant;

/// Returns the CPUs of all machines that accept tasks, are booting or are requested.
pub(super) fn supply_cpus(
    cluster: &Cluster,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> f64 {
    matching_cpus(cluster, rentals_in_flight, now, |_| true, |_| true)
}

/// Returns the CPUs of those machines that the job allows and that accept tasks, are booting or are
/// requested.
pub(super) fn supply_cpus_for(
    spec: &JobSpec,
    cluster: &Cluster,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> f64 {
    let is_rental_allowed = |request: &RentRequest| {
        may_run_on(spec, &request.machine_type, &request.zone, request.spot)
    };
    matching_cpus(
        cluster,
        rentals_in_flight,
        now,
        |machine| machine.may_run(spec),
        is_rental_allowed,
    )
}

fn matching_cpus(
    cluster: &Cluster,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
    machine_matches: impl Fn(&Machine) -> bool,
    rental_matches: impl Fn(&RentRequest) -> bool,
) -> f64 {
    let heartbeat_timeout = cluster.config.heartbeat_timeout();
    let machine_cpus: f64 = cluster
        .machines
        .values()
        .filter(|machine| {
            provides_supply(machine, heartbeat_timeout, now) && machine_matches(machine)
        })
        .filter_map(|machine| machine.machine_type.as_ref().map(|machine_type| machine_type.cpus))
        .sum();
    let rental_cpus: f64 = rentals_in_flight
        .values()
        .filter(|request| rental_matches(request))
        .filter_map(|request| requested_cpus(cluster, request))
        .sum();
    machine_cpus + rental_cpus
}

/// Returns the CPUs of the machines that a rental requests, or `None` if their type is unknown.
fn requested_cpus(cluster: &Cluster, request: &RentRequest) -> Option<f64> {
    let machine_type =
        cluster.machine_types.iter().find(|known| known.name == request.machine_type)?;
    Some(machine_type.cpus * f64::from(request.count))
}
