//! One controller: its components are built and wired together here, and their loops started.

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
use corkfield_http::{serve_counted, Connections, Limits, Listener, Network, Response};
use corkfield_wire::records::{JobRecord, Versioned};
use corkfield_wire::worker::PATH_HEARTBEAT;
use corkfield_wire::JobId;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Tries to listen at an address, after the first one.
const LISTEN_RETRIES: u32 = 20;
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a loop that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// The components of one controller, as built here.
struct Components {
    /// Settings, identity, and clients of outside services.
    env: Rc<Environment>,
    /// The copy of the store.
    replica: Rc<StoreReplica>,
    /// This controller's lease.
    session_lease: Rc<SessionLease>,
    /// This controller's part in election and leading.
    leadership: Rc<Leadership>,
    /// The view of the other controllers.
    peers: Rc<Peers>,
    /// Cancellations that other controllers have still to acknowledge.
    outbox: Rc<CancellationOutbox>,
    /// Workers that were redirected to the leader.
    redirected_workers: Rc<RedirectedWorkers>,
    /// The connections of users and workers.
    connections: Rc<Connections>,
}

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address from the settings can't be listened at.
    #[error("can't listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
}

/// Runs a controller; returns only if it can't start. All its random numbers follow from `seed`.
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

/// Begins to accept connections at an address.
async fn listen(network: &dyn Network, addr: SocketAddr) -> Result<Box<dyn Listener>, RunError> {
    // A restarted process may find its address still taken for a moment.
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

/// Users must not take the connections that workers need: a worker without one loses its lease and
/// all that it runs.
fn http_limits(limits: ConnectionLimits) -> Limits {
    Limits {
        connections: limits.accepted,
        kept: limits.keep_alive,
        others: limits.users,
        kept_for: PATH_HEARTBEAT,
        ..Limits::default()
    }
}

/// What answers workers.
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

/// What answers users.
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

/// What answers all requests.
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

/// Serves users, workers, operators and the load balancer.
fn serve_requests(components: &Components, listener: Box<dyn Listener>, routes: Routes) {
    let routes = Rc::new(routes);
    let handler = Rc::new(move |request| routes.clone().answer(request));
    tokio::task::spawn_local(serve_counted(listener, components.connections.clone(), handler));
}

/// Serves the links that other controllers open, and keeps one to each of them.
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

/// Starts the loops that keep the copy of the store up to date.
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

/// Starts the loop that keeps this controller's lease.
fn maintain_lease(components: &Components) {
    let (env, session_lease) = (components.env.clone(), components.session_lease.clone());
    let keeper = Rc::new(LeaseKeeper { env, session_lease });
    tokio::task::spawn_local(supervise("session lease", move || keeper.clone().maintain()));
}

/// Runs the loop of election and leading.
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

/// Runs a loop for ever. A fault in it must not end the controller, nor leave it half dead: the
/// loop is started again from what is stored.
async fn supervise<F>(name: &str, run: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        let ended = tokio::task::spawn_local(run()).await;
        tracing::error!(component = name, ?ended, "loop ended; started again");
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// A leader stops what a read shows as over before the read counts as proof of fresh state (S6).
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

/// Answers what the other controllers ask of this one.
struct PeerRequests {
    workers: Rc<WorkerHeartbeats>,
    leadership: Rc<Leadership>,
}

impl PeerRequestHandler for PeerRequests {
    fn answer_relayed_heartbeat<'a>(&'a self, body: &'a [u8]) -> LocalFuture<'a, Response> {
        Box::pin(self.workers.answer_relayed(body))
    }

    fn on_job_cancelled(&self, id: &JobId) {
        self.leadership.note_cancelled(id);
    }
}
