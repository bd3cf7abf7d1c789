//! Polls the cloud for its list of machines and for the machine types with their prices.

use super::active_leader::ActiveLeader;
use crate::clock::now;
use crate::store_value::store_value;
use corkfield_state::RequestClass;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{MachineTypesRecord, MACHINE_TYPES_KEY};
use std::time::Duration;

/// The machine list is read once in the time in which the cloud's rate limit allows this many
/// requests, within [`MIN_LIST_INTERVAL_S`] and [`MAX_LIST_INTERVAL_S`].
const REQUESTS_PER_LIST: f64 = 6.0;
/// Lower bound on the interval between two reads of the machine list, in seconds.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
/// Upper bound on the interval between two reads of the machine list, in seconds.
const MAX_LIST_INTERVAL_S: f64 = 10.0;

/// Interval between two reads of the machine types.
const TYPES_INTERVAL: Duration = Duration::from_secs(20);
/// Pause after a failed read of the machine types.
const TYPES_RETRY: Duration = Duration::from_secs(1);

impl ActiveLeader {
    /// Periodically reads the cloud's list of machines and passes it to the scheduler.
    pub(super) async fn poll_machine_list(&self) {
        let context = &self.context;
        let requests_per_s = context.env.settings.platform.params.cloud.rps.max(0.1);
        let interval_s =
            (REQUESTS_PER_LIST / requests_per_s).clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S);
        let interval = Duration::from_secs_f64(interval_s);
        loop {
            let requested_at = now();
            match context.env.cloud.list_machines().await {
                Ok(list) => {
                    self.scheduler.borrow_mut().on_machine_list(&list, requested_at, now());
                    context.leadership.actions_pending.notify_one();
                }
                Err(error) => tracing::debug!(%error, "can't list machines"),
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Periodically reads the machine types from the cloud. They are also stored in the state
    /// service, so that a new leader has them while the cloud does not answer.
    pub(super) async fn refresh_machine_types(&self) {
        loop {
            let pause = match self.context.env.cloud.list_machine_types().await {
                Ok(types) => {
                    self.update_machine_types(types).await;
                    TYPES_INTERVAL
                }
                Err(error) => {
                    tracing::debug!(%error, "can't read the machine types");
                    TYPES_RETRY
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Passes the machine types to the scheduler, and stores them if they have changed.
    async fn update_machine_types(&self, types: Vec<MachineType>) {
        let known = self.context.replica.contents.borrow().machine_types.clone();
        self.scheduler.borrow_mut().set_machine_types(types.clone());
        if known.is_some_and(|known| are_equal_except_spot_prices(&known, &types)) {
            return;
        }
        let value = store_value(&MachineTypesRecord { types });
        let transaction = self.leader_transaction().put(MACHINE_TYPES_KEY, value);
        if let Err(error) = self.context.env.state.commit(RequestClass::Claim, &transaction).await {
            tracing::debug!(%error, "can't store the machine types");
        }
    }
}

/// Returns whether both lists are equal apart from spot prices. Spot prices change all the time,
/// and such a change alone does not justify a write to the state service.
fn are_equal_except_spot_prices(known: &[MachineType], read: &[MachineType]) -> bool {
    let without_spot_price =
        |machine_type: &MachineType| MachineType { spot_price: 0.0, ..machine_type.clone() };
    known.len() == read.len()
        && known.iter().zip(read).all(|(a, b)| without_spot_price(a) == without_spot_price(b))
}

#[cfg(test)]
mod tests;
