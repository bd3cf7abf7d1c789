//! Renting and returning machines, and what only time brings about.

use super::active_leader::ActiveLeader;
use crate::clock::now;
use crate::environment::Environment;
use corkfield_cloud::CloudError;
use corkfield_core::RentalFailure;
use corkfield_wire::cloud::{RentRequest, MAX_MACHINES_PER_RENTAL};
use corkfield_wire::MachineName;
use std::time::{Duration, Instant};

/// What only time brings about is looked at this often. Each look costs time for every machine, so
/// with thousands of them there are fewer.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
const MACHINES_PER_TICK_STEP: usize = 1000;

/// Machines are rented and returned this often, or that soon after a claim or a filled rental.
const SCALE_INTERVAL: Duration = Duration::from_secs(1);
const MIN_SCALE_INTERVAL: Duration = Duration::from_millis(200);

/// A rental without an answer is sent so often in all, with this pause between.
const RENTAL_TRIES: u32 = 4;
const RENTAL_RETRY: Duration = Duration::from_millis(500);

impl ActiveLeader {
    /// Lets the scheduler see time pass, and scale out or in.
    pub(super) async fn run_timers(&self) {
        let mut last_tick = None;
        let mut last_scaling = None;
        loop {
            // A claim is followed by a look at the machines without delay: boots take long. So is a
            // rental that was filled: a request has a few dozen machines at most, and a fleet of
            // thousands would otherwise be asked for at that many a second.
            let scaling_wanted = self.scaling_wanted.notified();
            let interval = self.tick_interval();
            let woken = self.context.env.timers.within(interval, scaling_wanted).await;
            if woken {
                let pause = MIN_SCALE_INTERVAL.saturating_sub(time_since(last_scaling));
                tokio::time::sleep(pause).await;
            }
            if !woken || time_since(last_tick) >= self.tick_interval() {
                last_tick = Some(now());
                self.scheduler.borrow_mut().tick(now());
            }
            if self.may_scale() && (woken || time_since(last_scaling) >= SCALE_INTERVAL) {
                last_scaling = Some(now());
                self.scheduler.borrow_mut().scale(now());
            }
            self.context.leadership.actions_pending.notify_one();
            self.context.leadership.request_pass();
        }
    }

    /// Another controller may lead by now, with machines that from here seem idle, silent or never
    /// to have come up. While the service is out for all nobody can have taken over since.
    fn may_scale(&self) -> bool {
        self.context.may_start() || self.context.peers.nobody_has_store()
    }

    fn tick_interval(&self) -> Duration {
        match self.scheduler.borrow().machine_count() / MACHINES_PER_TICK_STEP {
            0 => MIN_TICK_INTERVAL,
            1 => MIN_TICK_INTERVAL * 2,
            _ => MAX_TICK_INTERVAL,
        }
    }

    /// Asks the cloud for machines.
    pub(super) fn rent_machines(&self, request: RentRequest) {
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        let scaling_wanted = self.scaling_wanted.clone();
        tokio::task::spawn_local(async move {
            let outcome = rent(&context.env, &request).await;
            let filled = is_filled(&request, &outcome);
            scheduler.borrow_mut().rental_answered(&request, outcome, now());
            if filled && request.count >= MAX_MACHINES_PER_RENTAL {
                scaling_wanted.notify_one();
            }
        });
    }

    /// Returns machines to the cloud. Without a valid lease this is left for later: it is asked for
    /// again while it is due (S4).
    pub(super) fn return_machines(&self, machines: Vec<MachineName>) {
        if !self.context.may_start() {
            tracing::debug!(machines = machines.len(), "not returned without a valid lease");
            return;
        }
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        tokio::task::spawn_local(async move {
            match context.env.cloud.delete(machines.clone()).await {
                Ok(()) => {
                    scheduler.borrow_mut().on_machines_deleted(&machines);
                    context.leadership.actions_pending.notify_one();
                }
                Err(error) => tracing::debug!(%error, "can't return machines"),
            }
        });
    }
}

/// Time since that moment; endless if it never was.
fn time_since(moment: Option<Instant>) -> Duration {
    moment.map_or(Duration::MAX, |moment| now().saturating_duration_since(moment))
}

/// Whether as many machines were to be had as were asked for.
fn is_filled(request: &RentRequest, outcome: &Result<Vec<MachineName>, RentalFailure>) -> bool {
    outcome.as_ref().is_ok_and(|machines| machines.len() >= request.count as usize)
}

/// Sends a rental until it is answered, or has been tried often enough.
async fn rent(env: &Environment, request: &RentRequest) -> Result<Vec<MachineName>, RentalFailure> {
    for _ in 0..RENTAL_TRIES {
        match env.cloud.rent(request).await {
            Ok(machines) => return Ok(machines),
            Err(CloudError::NoCapacity) => return Err(RentalFailure::NoCapacity),
            Err(CloudError::NoAnswer(error)) => {
                // The same name again gets the same machines, if it was carried out.
                tracing::debug!(%error, request = %request.request, "rental not answered");
                tokio::time::sleep(RENTAL_RETRY).await;
            }
            Err(error) => {
                tracing::debug!(%error, request = %request.request, "rental refused");
                return Err(RentalFailure::Other);
            }
        }
    }
    Err(RentalFailure::Other)
}
