//! Resources that all components of a controller share: settings, identity, clients of external
//! services, timers and random numbers.

use crate::clock::unix_time_ms;
use crate::settings::Settings;
use crate::timers::AlignedTimers;
use corkfield_cloud::CloudClient;
use corkfield_http::Network;
use corkfield_state::StateClient;
use corkfield_wire::ControllerName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// Shared resources of a controller process.
pub struct Environment {
    /// The platform settings and the operator settings.
    pub settings: Settings,
    /// Name of this controller.
    pub name: ControllerName,
    /// Random number that identifies this process among all processes of this controller.
    pub process: u64,
    /// Opens and accepts connections.
    pub network: Rc<dyn Network>,
    /// Client of the state service.
    pub state: StateClient,
    /// Client of the cloud.
    pub cloud: CloudClient,
    /// Timers of periodic work.
    pub timers: AlignedTimers,
    rng: RefCell<SmallRng>,
}

impl Environment {
    /// Creates the clients and timers; `seed` determines all random numbers of the process.
    pub fn new(settings: Settings, network: Rc<dyn Network>, seed: u64) -> Self {
        let platform = &settings.platform;
        let params = &platform.service;
        Self {
            name: platform.node.clone(),
            process: SmallRng::seed_from_u64(!seed).random(),
            state: StateClient::new(
                network.clone(),
                platform.endpoints.state,
                params.state.rps,
                params.state.write_rps,
                settings.max_state_answer_bytes(),
            ),
            cloud: CloudClient::new(network.clone(), platform.endpoints.cloud, params.cloud.rps),
            timers: AlignedTimers::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            network,
            settings,
        }
    }

    /// Sleeps for a random time within `ms`, in milliseconds, so that controllers don't all retry
    /// at the same moment.
    pub async fn sleep_random(&self, ms: Range<u64>) {
        let ms = self.rng.borrow_mut().random_range(ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// Returns the minimum time since another controller recorded the wall-clock time
    /// `recorded_ms`, allowing for the largest difference between the two controllers' clocks.
    pub fn min_age(&self, recorded_ms: u64) -> Duration {
        let max_clock_difference_ms =
            2.0 * self.settings.platform.service.max_clock_error_ms.max(0.0);
        let age = Duration::from_millis(unix_time_ms().saturating_sub(recorded_ms));
        age.saturating_sub(
            Duration::try_from_secs_f64(max_clock_difference_ms / 1000.0).unwrap_or_default(),
        )
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }
}
