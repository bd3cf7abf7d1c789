//! One controller: what its parts share, and how they are started.

use crate::environment::Environment;
use crate::leadership::Leadership;
use crate::notifications::Notifications;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use crate::responses::{error, json};
use crate::session_lease::SessionLease;
use crate::settings::Settings;
use crate::workers::RedirectedWorkers;
use crate::{leadership, peers, replica, session_lease, users, workers};
use corkfield_http::{serve_counted, Connections, Limits, Listener, Network, Request, Response};
use corkfield_wire::user::{JobId, PATH_CANCEL, PATH_JOBS, PATH_READY};
use corkfield_wire::worker::PATH_HEARTBEAT;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// All parts of one controller, wired together.
pub struct Node {
    pub env: Rc<Environment>,
    pub replica: Rc<StoreReplica>,
    pub session_lease: Rc<SessionLease>,
    pub leadership: Rc<Leadership>,
    pub peers: Rc<Peers>,
    pub notifications: Rc<Notifications>,
    pub redirected: Rc<RedirectedWorkers>,
    /// Of users and workers.
    pub connections: Rc<Connections>,
}

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("can't listen on {addr}: {error}")]
    Listen { addr: std::net::SocketAddr, error: std::io::Error },
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
    let _params = &platform.params;
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
        env: Rc::new(Environment::new(settings, network, seed)),
        replica: Rc::default(),
        session_lease: Rc::default(),
        leadership: Rc::default(),
        peers: Rc::default(),
        notifications: Rc::default(),
        redirected: Rc::default(),
        connections: connections.clone(),
    });
    tracing::info!(node = %node.env.name, listen = %platform.listen, "controller started");
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
