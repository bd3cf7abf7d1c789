//! What the cloud says: its list of machines, and the machine types with their prices.

use super::active_leader::ActiveLeader;
use crate::clock::now;
use crate::store_value::store_value;
use corkfield_state::RequestClass;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{MachineTypesRecord, MACHINE_TYPES_KEY};
use std::time::Duration;

/// The list is read once in the time in which the cloud takes so many requests, ...
const LIST_INTERVAL_REQUESTS: f64 = 6.0;
/// ... within these bounds.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
const MAX_LIST_INTERVAL_S: f64 = 10.0;

const TYPES_INTERVAL: Duration = Duration::from_secs(20);
/// After a failed read of the machine types.
const TYPES_RETRY: Duration = Duration::from_secs(1);

impl ActiveLeader {
    /// Reads the cloud's list of machines again and again.
    pub(super) async fn poll_machine_list(&self) {
        let context = &self.context;
        let requests_per_s = context.env.settings.platform.service.cloud.rps.max(0.1);
        let interval_s = (LIST_INTERVAL_REQUESTS / requests_per_s)
            .clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S);
        let interval = Duration::from_secs_f64(interval_s);
        loop {
            let asked = now();
            match context.env.cloud.machines().await {
                Ok(list) => {
                    self.scheduler.borrow_mut().on_machine_list(&list, asked, now());
                    context.leadership.actions_pending.notify_one();
                }
                Err(error) => tracing::debug!(%error, "can't list machines"),
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Machine types come from the cloud, and are kept in the store for when it is away.
    pub(super) async fn refresh_machine_types(&self) {
        loop {
            let pause = match self.context.env.cloud.types().await {
                Ok(types) => {
                    self.take_machine_types(types).await;
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

    async fn take_machine_types(&self, types: Vec<MachineType>) {
        let known = self.context.replica.contents.borrow().types.clone();
        self.scheduler.borrow_mut().set_machine_types(types.clone());
        if known.is_some_and(|known| same_types(&known, &types)) {
            return;
        }
        let value = store_value(&MachineTypesRecord { types });
        let transaction = self.when_leading().put(MACHINE_TYPES_KEY, value);
        if let Err(error) =
            self.context.env.state.transaction(RequestClass::Claim, &transaction).await
        {
            tracing::debug!(%error, "can't store the machine types");
        }
    }
}

/// Prices of spot machines move all the time; that alone is not worth a write.
fn same_types(known: &[MachineType], read: &[MachineType]) -> bool {
    let without_spot_price = |kind: &MachineType| MachineType { spot_price: 0.0, ..kind.clone() };
    known.len() == read.len()
        && known.iter().zip(read).all(|(a, b)| without_spot_price(a) == without_spot_price(b))
}

#[cfg(test)]
mod tests;
