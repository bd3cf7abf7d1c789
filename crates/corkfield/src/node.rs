//! One controller: what its parts share, and how they are started.

use crate::leadership::Leadership;
use crate::notifications::Notifications;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use crate::session_lease::SessionLease;
use crate::settings::Settings;
use crate::timers::AlignedTimers;
use crate::workers::RedirectedWorkers;
use crate::{leadership, peers, replica, session_lease, users, workers};
use corkfield_cloud::CloudClient;
use corkfield_http::{serve_counted, Connections, Limits, Listener, Network, Request, Response};
use corkfield_state::StateClient;
use corkfield_wire::user::{ErrorView, JobId, PATH_CANCEL, PATH_JOBS, PATH_READY};
use corkfield_wire::worker::PATH_HEARTBEAT;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::cell::RefCell;
use std::future::Future;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Node {
    pub network: Rc<dyn Network>,
    rng: RefCell<SmallRng>,
    pub settings: Settings,
    pub name: String,
    /// Tells this process from others of the same controller.
    pub process: u64,
    pub state: StateClient,
    pub cloud: CloudClient,
    pub replica: StoreReplica,
    pub session_lease: SessionLease,
    pub leadership: Leadership,
    pub peers: Peers,
    pub notifications: Notifications,
    pub redirected: RedirectedWorkers,
    pub timers: AlignedTimers,
    /// Of users and workers.
    pub connections: Rc<Connections>,
}

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("can't listen on {addr}: {error}")]
    Listen { addr: std::net::SocketAddr, error: std::io::Error },
}

/// The steady clock, as the scheduler sees it.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// The time of day in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Node {
    /// A random wait, so that controllers don't all try again at once.
    pub async fn pause(&self, ms: Range<u64>) {
        let ms = self.rng.borrow_mut().random_range(ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// How long ago another controller noted this time of day, at the least.
    pub fn age_at_least(&self, noted_ms: u64) -> Duration {
        let off_ms = 2.0 * self.settings.platform.params.clock_off_ms.max(0.0);
        let age = Duration::from_millis(wall_ms().saturating_sub(noted_ms));
        age.saturating_sub(Duration::try_from_secs_f64(off_ms / 1000.0).unwrap_or_default())
    }

    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }
}

async fn listen(
    network: &dyn Network,
    addr: std::net::SocketAddr,
) -> Result<Box<dyn Listener>, RunError> {
    // A restarted process may find its address still taken for a moment.
    let mut tries = 0;
    loop {
        match network.listen(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if tries >= 20 => return Err(RunError::Listen { addr, error }),
            Err(_) => {
                tries += 1;
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
        }
    }
}

/// Runs a controller; returns only if it can't start.
pub async fn run(settings: Settings, network: Rc<dyn Network>, seed: u64) -> Result<(), RunError> {
    let platform = settings.platform.clone();
    let params = &platform.params;
    let sockets = settings.sockets();
    let users_listener = listen(&*network, platform.listen).await?;
    let peers_listener = listen(&*network, platform.peer_listen).await?;
    // Users must not take the connections that workers need: a worker without one loses its
    // lease and all that it runs.
    let connections = Rc::new(Connections::new(Limits {
        connections: sockets.accepted,
        kept: sockets.kept,
        others: sockets.users,
        kept_for: PATH_HEARTBEAT,
        ..Limits::default()
    }));
    let node = Rc::new(Node {
        process: SmallRng::seed_from_u64(!seed).random(),
        name: platform.node.clone(),
        state: StateClient::new(
            network.clone(),
            platform.endpoints.state,
            params.state.rps,
            params.state.write_rps,
            settings.state_answer_limit(),
        ),
        cloud: CloudClient::new(network.clone(), platform.endpoints.cloud, params.cloud.rps),
        network,
        rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        replica: StoreReplica::default(),
        session_lease: SessionLease::default(),
        leadership: Leadership::default(),
        peers: Peers::default(),
        notifications: Notifications::default(),
        redirected: RedirectedWorkers::default(),
        timers: AlignedTimers::default(),
        connections: connections.clone(),
        settings,
    });
    tracing::info!(node = %node.name, listen = %platform.listen, "controller started");
    let handler = {
        let node = node.clone();
        move |request| handle(node.clone(), request)
    };
    tokio::task::spawn_local(serve_counted(users_listener, connections, Rc::new(handler)));
    tokio::task::spawn_local(peers::listen(node.clone(), peers_listener));
    for peer in &platform.peers {
        tokio::task::spawn_local(peers::maintain_link(node.clone(), peer.node.clone(), peer.addr));
    }
    tokio::task::spawn_local(supervise("watch", node.clone(), replica::watch));
    tokio::task::spawn_local(supervise("refresher", node.clone(), replica::refresher));
    tokio::task::spawn_local(supervise("presence", node.clone(), session_lease::maintain_lease));
    supervise("leader", node, leadership::run).await;
    Ok(())
}

/// Runs a loop for ever. A fault in it must not end the controller, nor leave it half dead: the
/// loop is started again from what is stored.
async fn supervise<F>(name: &str, node: Rc<Node>, run: impl Fn(Rc<Node>) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        let ended = tokio::task::spawn_local(run(node.clone())).await;
        tracing::error!(name, ?ended, "a loop ended; started again");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

async fn handle(node: Rc<Node>, request: Request) -> Response {
    let path = request.path().to_owned();
    let method = request.method.as_str();
    if path == PATH_HEARTBEAT {
        return match method {
            "POST" => workers::heartbeat(&node, &request.body).await,
            _ => error(405, "method not allowed"),
        };
    }
    if path == PATH_READY {
        return ready(&node);
    }
    if path == "/operator/overview" && method == "GET" {
        return leadership::overview(&node);
    }
    if let Some(id) = path.strip_prefix("/operator/release/").and_then(JobId::parse) {
        return match method {
            "POST" => users::release(&node, &id).await,
            _ => error(405, "method not allowed"),
        };
    }
    if path == PATH_JOBS {
        return match method {
            "POST" => users::submit(&node, &request.body).await,
            _ => error(405, "method not allowed"),
        };
    }
    let Some(rest) = path.strip_prefix(PATH_JOBS).and_then(|p| p.strip_prefix('/')) else {
        return error(404, "no such path");
    };
    match (method, rest.split_once('/')) {
        ("GET", None) => match JobId::parse(rest) {
            Some(id) => users::query(&node, &id).await,
            None => error(404, "no such job"),
        },
        ("POST", Some((id, PATH_CANCEL))) => match JobId::parse(id) {
            Some(id) => users::cancel(&node, &id).await,
            None => error(404, "no such job"),
        },
        (_, None | Some((_, PATH_CANCEL))) => error(405, "method not allowed"),
        _ => error(404, "no such path"),
    }
}

/// A controller that alone gets no answers from the state service sends users elsewhere. When
/// none of them does, all stay, a restarted one too: there is nowhere better to go, and the load
/// balancer would only let them wait longer once the service is back.
fn ready(node: &Node) -> Response {
    let stale = !node.replica.is_synced() || node.replica.proof_age() > Duration::from_secs(4);
    if stale && node.peers.somebody_has_store() {
        return error(503, "not ready");
    }
    json(200, &serde_json::json!({"ready": true}))
}

pub fn json(status: u16, body: &impl Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

pub fn error(status: u16, reason: &str) -> Response {
    json(status, &ErrorView { error: reason.to_owned() })
}

/// Asks the client to come back.
pub fn later(reason: &str) -> Response {
    Response { retry_after: Some(1), ..error(503, reason) }
}
