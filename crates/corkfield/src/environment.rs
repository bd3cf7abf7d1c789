//! What every part of a controller uses and none of them owns: settings, identity, clients of
//! outside services, timers and random numbers.

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

/// The surroundings of one controller process.
pub struct Environment {
    /// The settings in force.
    pub settings: Settings,
    /// Name of this controller.
    pub name: ControllerName,
    /// Tells this process from others of the same controller.
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
    /// `seed` determines all random numbers of the process.
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
                settings.state_answer_limit(),
            ),
            cloud: CloudClient::new(network.clone(), platform.endpoints.cloud, params.cloud.rps),
            timers: AlignedTimers::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            network,
            settings,
        }
    }

    /// Waits for a random time, so that controllers don't all retry at once.
    pub async fn pause(&self, ms: Range<u64>) {
        let ms = self.rng.borrow_mut().random_range(ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// How long ago another controller noted this time of day, at the least.
    pub fn min_age(&self, noted_ms: u64) -> Duration {
        let off_ms = 2.0 * self.settings.platform.service.max_clock_error_ms.max(0.0);
        let age = Duration::from_millis(unix_time_ms().saturating_sub(noted_ms));
        age.saturating_sub(Duration::try_from_secs_f64(off_ms / 1000.0).unwrap_or_default())
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }
}
