//! What only time and the cloud bring: ticks, lists of machines, machine types.

use super::ActiveLeader;
use crate::clock::now;
use crate::completion_commits::SharedScheduler;
use crate::node::Node;
use corkfield_cloud::CloudError;
use corkfield_state::RequestClass;
use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::records::{MachineTypesRecord, LEADER_KEY, MACHINE_TYPES_KEY};
use corkfield_wire::store::Transaction;
use std::time::{Duration, Instant};

/// What only time brings about is looked at this often. Each look costs time for every machine, so
/// with thousands of them there are fewer.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const TICK_INTERVAL_MOST: Duration = Duration::from_secs(1);
const MACHINES_A_TICK: usize = 1000;

const ADJUST_SOON: Duration = Duration::from_millis(200);

/// Machines are rented and returned this often, or that soon after a claim or a filled rental.
const ADJUST: Duration = Duration::from_secs(1);

impl ActiveLeader<'_> {
    pub(super) async fn run_timers(&self) {
        let mut ticked = None;
        let mut adjusted = None;
        loop {
            // A claim is followed by a look at the machines without delay: boots take long. So is a
            // rental that was filled: a request has a few dozen machines at most, and a fleet of
            // thousands would otherwise be asked for at that many a second.
            let pass_wanted = self.scaling_wanted.notified();
            let woken = self.node.env.timers.within(self.tick_interval(), pass_wanted).await;
            let since = |before: Option<Instant>| {
                before.map_or(Duration::MAX, |before| now().saturating_duration_since(before))
            };
            if woken {
                tokio::time::sleep(ADJUST_SOON.saturating_sub(since(adjusted))).await;
            }
            if !woken || since(ticked) >= self.tick_interval() {
                ticked = Some(now());
                self.scheduler.borrow_mut().tick(now());
            }
            // Another may plan by now, with machines that from here seem idle, silent or never
            // to have come up. While the service is out for all nobody can have taken over since.
            let may_adjust =
                self.node.leadership.may_start(self.node) || self.node.peers.nobody_has_store();
            if may_adjust && (woken || since(adjusted) >= ADJUST) {
                adjusted = Some(now());
                self.scheduler.borrow_mut().scale(now());
            }
            self.node.leadership.actions.notify_one();
            self.node.leadership.want_pass();
        }
    }

    fn tick_interval(&self) -> Duration {
        match self.scheduler.borrow().machine_count() / MACHINES_A_TICK {
            0 => TICK_INTERVAL,
            1 => TICK_INTERVAL * 2,
            _ => TICK_INTERVAL_MOST,
        }
    }

    pub(super) async fn poll_machine_list(&self) {
        let rps = self.node.env.settings.platform.params.cloud.rps;
        let interval = Duration::from_secs_f64((6.0 / rps.max(0.1)).clamp(2.0, 10.0));
        loop {
            let asked = now();
            match self.node.env.cloud.machines().await {
                Ok(list) => {
                    self.scheduler.borrow_mut().on_list(&list, asked, now());
                    self.node.leadership.actions.notify_one();
                }
                Err(error) => tracing::debug!(%error, "can't list machines"),
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Machine types come from the cloud, and are kept in the store for when it is away.
    pub(super) async fn refresh_machine_types(&self) {
        loop {
            match self.node.env.cloud.types().await {
                Ok(types) => {
                    let known = self.node.replica.contents.borrow().types.clone();
                    self.scheduler.borrow_mut().set_types(types.clone());
                    if known.is_none_or(|known| !same_types(&known, &types)) {
                        let value =
                            serde_json::to_value(MachineTypesRecord { types }).unwrap_or_default();
                        let transaction = Transaction::default()
                            .when(LEADER_KEY, self.version.get())
                            .put(MACHINE_TYPES_KEY, value);
                        if let Err(error) =
                            self.node.env.state.transaction(RequestClass::Claim, &transaction).await
                        {
                            tracing::debug!(%error, "can't keep the machine types");
                        }
                    }
                    tokio::time::sleep(Duration::from_secs(20)).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "can't read the machine types");
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
        }
    }
}

/// Prices of spot machines move all the time; that alone is not worth a write.
fn same_types(a: &[MachineType], b: &[MachineType]) -> bool {
    let plain = |t: &MachineType| MachineType { spot_price: 0.0, ..t.clone() };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| plain(a) == plain(b))
}

/// Rents machines; true if as many were to be had as were asked for.
pub(super) async fn rent_machines(
    node: &Node,
    scheduler: &SharedScheduler,
    request: &RentRequest,
) -> bool {
    let mut outcome = Err(false);
    for _ in 0..4 {
        match node.env.cloud.rent(request).await {
            Ok(names) => {
                outcome = Ok(names);
                break;
            }
            Err(CloudError::NoCapacity) => {
                outcome = Err(true);
                break;
            }
            Err(CloudError::NoAnswer(error)) => {
                // The same name again gets the same machines, if it was carried out.
                tracing::debug!(%error, request = %request.request, "rental not answered");
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            Err(error) => {
                tracing::debug!(%error, "rental refused");
                break;
            }
        }
    }
    let filled = outcome.as_ref().is_ok_and(|names| names.len() >= request.count as usize);
    scheduler.borrow_mut().rental_answered(request, outcome, now());
    filled
}
