//! What capacity there is, or is on its way.

use super::RentalsInFlight;
use crate::cluster::Cluster;
use crate::machine::{may_run_on, Machine, MachineState, Reachability};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::JobSpec;
use std::time::{Duration, Instant};

/// CPUs of the machines that take tasks or are on their way.
pub(super) fn supply_cpus(
    cluster: &Cluster,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> f64 {
    matching_cpus(cluster, rentals_in_flight, now, |_| true, |_| true)
}

/// The same, of those machines that the job allows.
pub(super) fn supply_cpus_for(
    spec: &JobSpec,
    cluster: &Cluster,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
) -> f64 {
    let rental_allowed = |request: &RentRequest| {
        may_run_on(spec, &request.machine_type, &request.zone, request.spot)
    };
    matching_cpus(cluster, rentals_in_flight, now, |machine| machine.may_run(spec), rental_allowed)
}

fn matching_cpus(
    cluster: &Cluster,
    rentals_in_flight: &RentalsInFlight,
    now: Instant,
    matches: impl Fn(&Machine) -> bool,
    rental_matches: impl Fn(&RentRequest) -> bool,
) -> f64 {
    let overdue_after = cluster.config.heartbeat_overdue_after();
    let present: f64 = cluster
        .machines
        .values()
        .filter(|machine| is_supply(machine, overdue_after, now) && matches(machine))
        .filter_map(|machine| machine.machine_type.as_ref().map(|size| size.cpus))
        .sum();
    let coming: f64 = rentals_in_flight
        .values()
        .filter(|request| rental_matches(request))
        .filter_map(|request| rented_cpus(cluster, request))
        .sum();
    present + coming
}

/// Whether the machine takes tasks, or will once it is up.
fn is_supply(machine: &Machine, overdue_after: Duration, now: Instant) -> bool {
    is_up_or_booting(machine)
        && !machine.has_interruption_notice
        && machine.reachability() != Reachability::Unreachable
        && !is_heartbeat_overdue(machine, overdue_after, now)
}

/// Whether the machine is in use or on its way, and its worker's lease has not expired.
pub(super) fn is_up_or_booting(machine: &Machine) -> bool {
    matches!(machine.state(), MachineState::Up | MachineState::Booting)
        && !machine.is_lease_expired()
}

/// A machine whose heartbeat is overdue is probably gone. What that means for its tasks is decided
/// by S5; another machine may be rented meanwhile.
fn is_heartbeat_overdue(machine: &Machine, overdue_after: Duration, now: Instant) -> bool {
    machine.last_message_at.is_some_and(|at| now.saturating_duration_since(at) > overdue_after)
}

/// CPUs of the machines that a rental asks for; `None` if their type is not known.
fn rented_cpus(cluster: &Cluster, request: &RentRequest) -> Option<f64> {
    let machine_type =
        cluster.machine_types.iter().find(|known| known.name == request.machine_type)?;
    Some(machine_type.cpus * f64::from(request.count))
}
