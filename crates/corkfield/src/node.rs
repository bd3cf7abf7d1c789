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
use crate::users::UserRequests;
use crate::workers::{RedirectedWorkers, WorkerHeartbeats};
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

/// How often binding a listener is retried after the first attempt failed.
const LISTEN_RETRIES: u32 = 20;
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a loop that ended unexpectedly is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// The components of a controller that are shared between its loops and request handlers.
struct Components {
    /// Settings, identity, and clients of external services.
    env: Rc<Environment>,
    /// The local copy of the state service.
    replica: Rc<StoreReplica>,
    /// This controller's lease.
    session_lease: Rc<SessionLease>,
    /// The state of leader election and leadership.
    leadership: Rc<Leadership>,
    /// The view of the other controllers.
    peers: Rc<Peers>,
    /// Cancellations that other controllers have not acknowledged yet.
    outbox: Rc<CancellationOutbox>,
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

/// Runs a controller; returns only if the controller can't start. `seed` determines all random
/// numbers of the process.
pub async fn run(settings: Settings, network: Rc<dyn Network>, seed: u64) -> Result<(), RunError> {
    let users_listener = listen(&*network, settings.platform.listen).await?;
    let peers_listener = listen(&*network, settings.platform.peer_listen).await?;
    let components = Components::new(settings, network, seed);
    let (name, listen) = (&components.env.name, components.env.settings.platform.listen);
    tracing::info!(controller = %name, %listen, "controller started");
    let links = Rc::new(PeerLinks::new(max_queued_frames(
        components.env.settings.connection_limits().accepted,
    )));
    let workers = Rc::new(build_worker_heartbeats(&components, &links));
    serve_requests(&components, users_listener, build_routes(&components, &links, &workers));
    serve_peers(&components, peers_listener, &links, workers);
    follow_store(&components);
    maintain_lease(&components);
    run_leadership(&components).await;
    Ok(())
}

/// Starts to listen on an address; retries while the address is in use.
async fn listen(network: &dyn Network, addr: SocketAddr) -> Result<Box<dyn Listener>, RunError> {
    // After a restart the address may still be in use by the previous process for a moment.
    let mut retries = 0;
    loop {
        match network.listen(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if retries >= LISTEN_RETRIES => {
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
            outbox: Rc::default(),
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
fn build_worker_heartbeats(components: &Components, links: &Rc<PeerLinks>) -> WorkerHeartbeats {
    WorkerHeartbeats {
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

/// Builds the handler of users' requests.
fn build_user_requests(components: &Components, links: &Rc<PeerLinks>) -> UserRequests {
    UserRequests {
        env: components.env.clone(),
        replica: components.replica.clone(),
        notifier: CancellationNotifier {
            env: components.env.clone(),
            replica: components.replica.clone(),
            leadership: components.leadership.clone(),
            peers: components.peers.clone(),
            links: links.clone(),
            outbox: components.outbox.clone(),
        },
    }
}

/// Builds the dispatcher of HTTP requests.
fn build_routes(
    components: &Components,
    links: &Rc<PeerLinks>,
    workers: &Rc<WorkerHeartbeats>,
) -> Routes {
    Routes {
        users: build_user_requests(components, links),
        workers: workers.clone(),
        replica: components.replica.clone(),
        peers: components.peers.clone(),
        leadership: components.leadership.clone(),
        env: components.env.clone(),
    }
}

/// Starts to serve HTTP requests of users, workers, operators and the load balancer.
fn serve_requests(components: &Components, listener: Box<dyn Listener>, routes: Routes) {
    let routes = Rc::new(routes);
    let handler = Rc::new(move |request| routes.clone().answer(request));
    tokio::task::spawn_local(serve_with_connections(
        listener,
        components.connections.clone(),
        handler,
    ));
}

/// Starts to serve the links that other controllers open, and to maintain a link to each of them.
fn serve_peers(
    components: &Components,
    listener: Box<dyn Listener>,
    links: &Rc<PeerLinks>,
    workers: Rc<WorkerHeartbeats>,
) {
    let incoming = Rc::new(IncomingLinks {
        env: components.env.clone(),
        peers: components.peers.clone(),
        outbox: components.outbox.clone(),
        handler: Rc::new(PeerRequests { workers, leadership: components.leadership.clone() }),
    });
    tokio::task::spawn_local(incoming.accept_links(listener));
    let outgoing = Rc::new(OutgoingLinks {
        env: components.env.clone(),
        replica: components.replica.clone(),
        session_lease: components.session_lease.clone(),
        leadership: components.leadership.clone(),
        peers: components.peers.clone(),
        outbox: components.outbox.clone(),
        links: links.clone(),
    });
    for peer in &components.env.settings.platform.peers {
        tokio::task::spawn_local(outgoing.clone().maintain_link(peer.node.clone(), peer.addr));
    }
}

/// Starts the loops that keep the local copy of the state service up to date.
fn follow_store(components: &Components) {
    let follower = Rc::new(ReplicaFollower {
        env: components.env.clone(),
        replica: components.replica.clone(),
        observer: components.leadership.clone(),
    });
    let refresher = follower.clone();
    let watch = move || follower.clone().watch();
    tokio::task::spawn_local(supervise("watch", watch));
    let serve_refreshes = move || refresher.clone().serve_refreshes();
    tokio::task::spawn_local(supervise("refresher", serve_refreshes));
}

/// Starts the loop that acquires and renews this controller's lease.
fn maintain_lease(components: &Components) {
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
/// end the controller nor leave it running without that loop; the restarted loop begins from the
/// stored state.
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

/// A leader closes the jobs that a read shows as finished before the read counts as proof of fresh
/// state (S6).
impl ReplicaObserver for Leadership {
    fn on_jobs_ended(&self, jobs: &[JobId]) {
        self.close_jobs(jobs);
    }

    fn on_jobs_reloaded(&self, unfinished: &BTreeMap<JobId, Versioned<JobRecord>>) {
        self.close_all_but(unfinished);
    }

    fn needs_prompt_updates(&self) -> bool {
        self.is_leading()
    }
}

/// Handles requests of the other controllers: relayed heartbeats and cancellations.
struct PeerRequests {
    workers: Rc<WorkerHeartbeats>,
    leadership: Rc<Leadership>,
}

impl PeerRequestHandler for PeerRequests {
    fn answer_relayed_heartbeat<'a>(&'a self, body: &'a [u8]) -> LocalFuture<'a, Response> {
        Box::pin(self.workers.answer_relayed(body))
    }

    fn on_job_cancelled(&self, id: &JobId) {
        self.leadership.record_cancelled(id);
    }
}
