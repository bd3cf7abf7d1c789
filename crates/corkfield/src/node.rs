//! Builds the components of a controller, connects them and starts their loops.

use crate::environment::Environment;
use crate::leadership::{self, Leadership, LeadershipContext};
use crate::notifications::CancellationNotifier;
use crate::outbox::CancellationOutbox;
use crate::peer_links::{
    max_queued_frames, IncomingLinks, OutgoingLinks, PeerLinks, PeerRequestHandler,
};
use crate::peers::Peers;
use crate::replica::{ReplicaFollower, ReplicaObserver, StoreReplica};
use crate::routes::Routes;
use crate::session_lease::{LeaseKeeper, SessionLease};
use crate::settings::{ConnectionLimits, Settings};
use crate::users::UserRequestHandler;
use crate::workers::{RedirectedWorkers, WorkerHeartbeatHandler};
use corkfield_http::net::LocalFuture;
use corkfield_http::{serve_with_connections, Connections, Limits, Listener, Network, Response};
use corkfield_wire::records::{JobRecord, Versioned};
use corkfield_wire::worker::PATH_HEARTBEAT;
use corkfield_wire::JobId;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of times that listening on an address is retried after the first attempt failed.
const MAX_LISTEN_RETRIES: u32 = 20;
/// Pause between two attempts to listen on an address.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a loop that ended unexpectedly is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// The components of a controller that are shared between its loops and request handlers.
struct Components {
    /// Settings, identity, and clients of external services.
    env: Rc<Environment>,
    /// The replica of the state service's records.
    replica: Rc<StoreReplica>,
    /// This controller's session lease in the state service.
    session_lease: Rc<SessionLease>,
    /// The state of leader election and leadership.
    leadership: Rc<Leadership>,
    /// The latest heartbeats of the other controllers.
    peers: Rc<Peers>,
    /// Cancellations that other controllers have not acknowledged yet.
    cancellation_outbox: Rc<CancellationOutbox>,
    /// Workers that were recently redirected to the leader.
    redirected_workers: Rc<RedirectedWorkers>,
    /// Counts the open connections of users and workers.
    connections: Rc<Connections>,
}

/// An error that prevents a controller from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The controller can't listen on an address from its settings.
    #[error("can't listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        error: std::io::Error,
    },
}

/// Runs a controller. Never returns once the controller listens on its addresses. `seed` determines
/// all random numbers of the process.
///
/// # Errors
///
/// If the controller can't listen on one of its addresses.
pub async fn run(settings: Settings, network: Rc<dyn Network>, seed: u64) -> Result<(), RunError> {
    let client_listener = listen(&*network, settings.platform.listen).await?;
    let peer_listener = listen(&*network, settings.platform.peer_listen).await?;
    let components = Components::new(settings, network, seed);
    let name = &components.env.name;
    let client_addr = components.env.settings.platform.listen;
    tracing::info!(controller = %name, listen = %client_addr, "controller started");
    let max_queued = max_queued_frames(components.env.settings.connection_limits().accepted);
    let links = Rc::new(PeerLinks::new(max_queued, components.env.process));
    let heartbeat_handler = Rc::new(build_heartbeat_handler(&components, &links));
    start_http_server(
        &components,
        client_listener,
        build_routes(&components, &links, &heartbeat_handler),
    );
    start_peer_links(&components, peer_listener, &links, heartbeat_handler);
    start_replica_follower(&components);
    start_lease_keeper(&components);
    run_leadership(&components).await;
    Ok(())
}

/// Starts to listen on an address. After an error of any kind, retries up to [`MAX_LISTEN_RETRIES`]
/// times.
async fn listen(network: &dyn Network, addr: SocketAddr) -> Result<Box<dyn Listener>, RunError> {
    // The usual error is that the address is still in use by the previous process shortly after a
    // restart.
    let mut retries = 0;
    loop {
        match network.listen(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if retries >= MAX_LISTEN_RETRIES => {
                return Err(RunError::Listen { addr, error })
            }
            Err(_) => {
                retries += 1;
                tokio::time::sleep(LISTEN_RETRY_PAUSE).await;
            }
        }
    }
}

impl Components {
    fn new(settings: Settings, network: Rc<dyn Network>, seed: u64) -> Self {
        let connections = Rc::new(Connections::new(http_limits(settings.connection_limits())));
        Self {
            env: Rc::new(Environment::new(settings, network, seed)),
            replica: Rc::default(),
            session_lease: Rc::default(),
            leadership: Rc::default(),
            peers: Rc::default(),
            cancellation_outbox: Rc::default(),
            redirected_workers: Rc::default(),
            connections,
        }
    }
}

/// Returns the connection limits of the HTTP server. Connections of users are limited separately:
/// a worker that gets no connection loses its lease and all tasks that it runs.
fn http_limits(limits: ConnectionLimits) -> Limits {
    Limits {
        max_connections: limits.accepted,
        max_keep_alive: limits.keep_alive,
        max_unreserved: limits.users,
        reserved_path: PATH_HEARTBEAT,
        ..Limits::default()
    }
}

/// Builds the handler of workers' heartbeats.
fn build_heartbeat_handler(
    components: &Components,
    links: &Rc<PeerLinks>,
) -> WorkerHeartbeatHandler {
    WorkerHeartbeatHandler {
        env: components.env.clone(),
        replica: components.replica.clone(),
        leadership: components.leadership.clone(),
        session_lease: components.session_lease.clone(),
        peers: components.peers.clone(),
        links: links.clone(),
        redirected_workers: components.redirected_workers.clone(),
        connections: components.connections.clone(),
    }
}

/// Builds the handler of users' requests, and of operators' requests to release a job.
fn build_user_request_handler(
    components: &Components,
    links: &Rc<PeerLinks>,
) -> UserRequestHandler {
    UserRequestHandler {
        env: components.env.clone(),
        replica: components.replica.clone(),
        notifier: CancellationNotifier {
            env: components.env.clone(),
            replica: components.replica.clone(),
            leadership: components.leadership.clone(),
            peers: components.peers.clone(),
            links: links.clone(),
            cancellation_outbox: components.cancellation_outbox.clone(),
        },
    }
}

/// Builds the dispatcher of HTTP requests.
fn build_routes(
    components: &Components,
    links: &Rc<PeerLinks>,
    heartbeat_handler: &Rc<WorkerHeartbeatHandler>,
) -> Routes {
    Routes {
        user_request_handler: build_user_request_handler(components, links),
        heartbeat_handler: heartbeat_handler.clone(),
        replica: components.replica.clone(),
        peers: components.peers.clone(),
        leadership: components.leadership.clone(),
        env: components.env.clone(),
    }
}

/// Starts the HTTP server for requests of users, workers and operators, and for the load balancer's
/// readiness checks.
fn start_http_server(components: &Components, listener: Box<dyn Listener>, routes: Routes) {
    let routes = Rc::new(routes);
    let handler = Rc::new(move |request| routes.clone().answer_request(request));
    tokio::task::spawn_local(serve_with_connections(
        listener,
        components.connections.clone(),
        handler,
    ));
}

/// Starts to serve the links that other controllers open, and to maintain a link from this
/// controller to each of them.
fn start_peer_links(
    components: &Components,
    listener: Box<dyn Listener>,
    links: &Rc<PeerLinks>,
    heartbeat_handler: Rc<WorkerHeartbeatHandler>,
) {
    let incoming = Rc::new(IncomingLinks {
        env: components.env.clone(),
        peers: components.peers.clone(),
        cancellation_outbox: components.cancellation_outbox.clone(),
        handler: Rc::new(PeerRequestDispatcher {
            heartbeat_handler,
            leadership: components.leadership.clone(),
        }),
    });
    tokio::task::spawn_local(incoming.accept_links(listener));
    let outgoing = Rc::new(OutgoingLinks {
        env: components.env.clone(),
        replica: components.replica.clone(),
        session_lease: components.session_lease.clone(),
        leadership: components.leadership.clone(),
        peers: components.peers.clone(),
        cancellation_outbox: components.cancellation_outbox.clone(),
        links: links.clone(),
    });
    for peer in &components.env.settings.platform.peers {
        tokio::task::spawn_local(outgoing.clone().maintain_link(peer.node.clone(), peer.addr));
    }
}

/// Starts the two loops that keep the replica up to date: one follows all changes, the other reads
/// the state service on request.
fn start_replica_follower(components: &Components) {
    let follower = Rc::new(ReplicaFollower {
        env: components.env.clone(),
        replica: components.replica.clone(),
        observer: components.leadership.clone(),
    });
    let refresh_follower = follower.clone();
    let watch = move || follower.clone().watch();
    tokio::task::spawn_local(supervise("watch", watch));
    let serve_refreshes = move || refresh_follower.clone().serve_refreshes();
    tokio::task::spawn_local(supervise("refresher", serve_refreshes));
}

/// Starts the loop that acquires and renews this controller's session lease.
fn start_lease_keeper(components: &Components) {
    let (env, session_lease) = (components.env.clone(), components.session_lease.clone());
    let keeper = Rc::new(LeaseKeeper { env, session_lease });
    tokio::task::spawn_local(supervise("session lease", move || keeper.clone().maintain()));
}

/// Runs the loop of leader election and leadership.
async fn run_leadership(components: &Components) {
    let context = Rc::new(LeadershipContext {
        env: components.env.clone(),
        replica: components.replica.clone(),
        session_lease: components.session_lease.clone(),
        peers: components.peers.clone(),
        leadership: components.leadership.clone(),
    });
    supervise("leader", move || leadership::run(context.clone())).await;
}

/// Runs a loop forever and restarts it whenever it ends or panics. A fault in one loop must neither
/// end the controller nor leave it running without that loop; the restarted loop starts over from
/// the components, which outlive it. A controller whose leader loop is restarted returns to standby
/// and must claim the leader record again.
async fn supervise<F>(name: &str, run: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        let ended = tokio::task::spawn_local(run()).await;
        tracing::error!(component = name, ?ended, "loop ended unexpectedly; restarting it");
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// The [`ReplicaFollower`] calls these methods after a read has changed the replica and before the
/// read counts as proof of fresh state (S6). A leader that answers heartbeats under that proof has
/// therefore already closed the jobs that the read shows as finished or cancelled.
impl ReplicaObserver for Leadership {
    fn on_jobs_ended(&self, jobs: &[JobId]) {
        self.close_jobs(jobs);
    }

    fn on_jobs_reloaded(&self, unfinished: &BTreeMap<JobId, Versioned<JobRecord>>) {
        self.close_ended_jobs(unfinished);
    }

    fn needs_prompt_updates(&self) -> bool {
        self.is_leading()
    }
}

/// Passes requests of the other controllers on: relayed heartbeats to the heartbeat handler, and
/// notifications of cancellations to the leadership.
struct PeerRequestDispatcher {
    heartbeat_handler: Rc<WorkerHeartbeatHandler>,
    leadership: Rc<Leadership>,
}

impl PeerRequestHandler for PeerRequestDispatcher {
    fn answer_relayed_heartbeat<'a>(&'a self, body: &'a [u8]) -> LocalFuture<'a, Response> {
        Box::pin(self.heartbeat_handler.answer_relayed_heartbeat(body))
    }

    fn on_job_cancelled(&self, id: &JobId) {
        self.leadership.record_cancelled(id);
    }
}
