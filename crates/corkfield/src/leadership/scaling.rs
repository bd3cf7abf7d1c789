//! Rents and returns machines, and ticks the scheduler's timers.

use super::active_leader::ActiveLeader;
use crate::clock::now;
use crate::environment::Environment;
use corkfield_cloud::CloudError;
use corkfield_core::RentalFailure;
use corkfield_wire::cloud::{RentRequest, MAX_RENT};
use corkfield_wire::MachineName;
use std::time::{Duration, Instant};

/// Interval between two ticks of the scheduler with fewer than [`MACHINES_PER_TICK_STEP`] machines.
/// A tick visits every machine, so ticks are less frequent with thousands of machines.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two ticks with many machines.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of machines after which the tick interval doubles.
const MACHINES_PER_TICK_STEP: usize = 1000;

/// Interval between two scaling runs, which rent and return machines.
const SCALE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two scaling runs if a claim or a filled rental request triggers the next
/// one.
const MIN_SCALE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of times that a rental request is sent while it is not answered.
const MAX_RENTAL_ATTEMPTS: u32 = 4;
/// Pause between two attempts to send a rental request.
const RENTAL_RETRY: Duration = Duration::from_millis(500);

impl ActiveLeader {
    /// Ticks the scheduler's timers and runs scaling, in an endless loop.
    pub(super) async fn run_ticks_and_scaling(&self) {
        let mut last_tick = None;
        let mut last_scaling = None;
        loop {
            // A claim triggers scaling without delay, as machines take long to boot. So does a
            // filled rental request: a request covers at most MAX_RENT machines, and a fleet of
            // thousands would otherwise grow by only that many per second.
            let scaling_requested = self.scaling_requested.notified();
            let interval = self.tick_interval();
            let is_requested =
                self.context.env.timers.wait_for_event(interval, scaling_requested).await;
            if is_requested {
                let pause = MIN_SCALE_INTERVAL.saturating_sub(time_since(last_scaling));
                tokio::time::sleep(pause).await;
            }
            if !is_requested || time_since(last_tick) >= self.tick_interval() {
                last_tick = Some(now());
                self.scheduler.borrow_mut().tick(now());
            }
            if self.may_scale() && (is_requested || time_since(last_scaling) >= SCALE_INTERVAL) {
                last_scaling = Some(now());
                self.scheduler.borrow_mut().scale(now());
            }
            self.context.leadership.actions_pending.notify_one();
            self.context.leadership.request_pass();
        }
    }

    /// Returns whether this controller may run scaling. Without a valid lease another controller
    /// may lead and use machines that seem idle, silent or not booted from here. But while no
    /// controller gets answers from the state service, none can have claimed the leader record
    /// since.
    fn may_scale(&self) -> bool {
        self.context.has_valid_lease() || self.context.peers.is_store_unreachable_for_all_peers()
    }

    /// Returns the interval between two ticks for the current number of machines.
    fn tick_interval(&self) -> Duration {
        match self.scheduler.borrow().machine_count() / MACHINES_PER_TICK_STEP {
            0 => MIN_TICK_INTERVAL,
            1 => MIN_TICK_INTERVAL * 2,
            _ => MAX_TICK_INTERVAL,
        }
    }

    /// Sends a rental request to the cloud in the background and reports its outcome to the
    /// scheduler.
    pub(super) fn rent_machines(&self, request: RentRequest) {
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        let scaling_requested = self.scaling_requested.clone();
        tokio::task::spawn_local(async move {
            let outcome = rent_with_retries(&context.env, &request).await;
            let filled = is_filled(&request, &outcome);
            scheduler.borrow_mut().on_rental_answered(&request, outcome, now());
            if filled && request.count >= MAX_RENT {
                scaling_requested.notify_one();
            }
        });
    }

    /// Returns machines to the cloud in the background. Does nothing without a valid lease (S4);
    /// the scheduler repeats the action while it is due.
    pub(super) fn return_machines(&self, machines: Vec<MachineName>) {
        if !self.context.has_valid_lease() {
            tracing::debug!(machines = machines.len(), "machines not returned: no valid lease");
            return;
        }
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        tokio::task::spawn_local(async move {
            match context.env.cloud.delete_machines(machines.clone()).await {
                Ok(()) => {
                    scheduler.borrow_mut().on_machines_deleted(&machines);
                    context.leadership.actions_pending.notify_one();
                }
                Err(error) => tracing::debug!(%error, "can't return machines"),
            }
        });
    }
}

/// Returns the time elapsed since `moment`, or [`Duration::MAX`] if it is `None`.
fn time_since(moment: Option<Instant>) -> Duration {
    moment.map_or(Duration::MAX, |moment| now().saturating_duration_since(moment))
}

/// Returns whether the cloud rented as many machines as were requested.
fn is_filled(request: &RentRequest, outcome: &Result<Vec<MachineName>, RentalFailure>) -> bool {
    outcome.as_ref().is_ok_and(|machines| machines.len() >= request.count as usize)
}

/// Sends a rental request, and repeats it while it is not answered, up to [`MAX_RENTAL_ATTEMPTS`]
/// times.
async fn rent_with_retries(
    env: &Environment,
    request: &RentRequest,
) -> Result<Vec<MachineName>, RentalFailure> {
    for _ in 0..MAX_RENTAL_ATTEMPTS {
        match env.cloud.rent_machines(request).await {
            Ok(machines) => return Ok(machines),
            Err(CloudError::NoCapacity) => return Err(RentalFailure::NoCapacity),
            Err(CloudError::NoResponse(error)) => {
                // If the cloud carried the request out, it answers the repeated request with the
                // same machines, as both have the same name.
                tracing::debug!(%error, request = %request.request, "rental request not answered");
                tokio::time::sleep(RENTAL_RETRY).await;
            }
            Err(error) => {
                tracing::debug!(%error, request = %request.request, "rental request failed");
                return Err(RentalFailure::Other);
            }
        }
    }
    Err(RentalFailure::Other)
}
