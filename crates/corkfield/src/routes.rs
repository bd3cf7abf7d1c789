//! Dispatches HTTP requests to the components that answer them.

use crate::environment::Environment;
use crate::leadership::{self, Leadership};
use crate::peers::Peers;
use crate::replica::StoreReplica;
use crate::responses::{error, json};
use crate::users::UserRequestHandler;
use crate::workers::WorkerHeartbeatHandler;
use corkfield_http::{Request, Response};
use corkfield_wire::user::{JobId, PATH_CANCEL, PATH_JOBS, PATH_READY};
use corkfield_wire::worker::PATH_HEARTBEAT;
use std::rc::Rc;
use std::time::Duration;

const PATH_OVERVIEW: &str = "/operator/overview";
const PATH_RELEASE: &str = "/operator/release/";
/// A controller whose proof of fresh state is older than this counts as cut off from the state
/// service.
const MAX_READY_PROOF_AGE: Duration = Duration::from_secs(4);

/// The operation that a request's method and path ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Route {
    /// A worker's heartbeat.
    Heartbeat,
    /// The load balancer's readiness check.
    Ready,
    /// The overview for operators.
    Overview,
    /// An operator releases a dead-lettered job.
    Release(JobId),
    /// A user submits a job.
    Submit,
    /// A user queries the status of a job.
    Query(JobId),
    /// A user cancels a job.
    Cancel(JobId),
}

/// Why a request matches no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteError {
    NoSuchPath,
    NoSuchJob,
    MethodNotAllowed,
}

impl Route {
    /// Returns the route of a request.
    fn parse(method: &str, path: &str) -> Result<Self, RouteError> {
        match path {
            PATH_HEARTBEAT => post_only(method, Self::Heartbeat),
            PATH_READY => Ok(Self::Ready),
            PATH_OVERVIEW if method == "GET" => Ok(Self::Overview),
            PATH_JOBS => post_only(method, Self::Submit),
            _ => match path.strip_prefix(PATH_RELEASE).and_then(JobId::parse) {
                Some(id) => post_only(method, Self::Release(id)),
                None => Self::parse_job(method, path),
            },
        }
    }

    /// Returns the route of a request for one job.
    fn parse_job(method: &str, path: &str) -> Result<Self, RouteError> {
        let below_jobs = path.strip_prefix(PATH_JOBS).and_then(|path| path.strip_prefix('/'));
        let rest = below_jobs.ok_or(RouteError::NoSuchPath)?;
        let job = |id: &str| JobId::parse(id).ok_or(RouteError::NoSuchJob);
        match (method, rest.split_once('/')) {
            ("GET", None) => job(rest).map(Self::Query),
            ("POST", Some((id, PATH_CANCEL))) => job(id).map(Self::Cancel),
            (_, None | Some((_, PATH_CANCEL))) => Err(RouteError::MethodNotAllowed),
            _ => Err(RouteError::NoSuchPath),
        }
    }
}

/// Returns the route if the method is POST.
fn post_only(method: &str, route: Route) -> Result<Route, RouteError> {
    if method == "POST" {
        Ok(route)
    } else {
        Err(RouteError::MethodNotAllowed)
    }
}

impl RouteError {
    /// Returns the answer to a request that matches no route.
    fn response(self) -> Response {
        match self {
            Self::NoSuchPath => error(404, "no such path"),
            Self::NoSuchJob => error(404, "no such job"),
            Self::MethodNotAllowed => error(405, "method not allowed"),
        }
    }
}

/// Dispatches requests to the components that answer them.
pub struct Routes {
    /// Answers users' requests.
    pub user_request_handler: UserRequestHandler,
    /// Answers workers' heartbeats.
    pub heartbeat_handler: Rc<WorkerHeartbeatHandler>,
    /// The replica: the readiness check uses the age of its proof of fresh state.
    pub replica: Rc<StoreReplica>,
    /// The latest heartbeats of the other controllers: the readiness check uses whether the state
    /// service answers any of them.
    pub peers: Rc<Peers>,
    /// The state of election and leadership, which the operators' overview shows.
    pub leadership: Rc<Leadership>,
    /// Identity and settings of this controller.
    pub env: Rc<Environment>,
}

impl Routes {
    /// Answers a request of a user, a worker, an operator or the load balancer.
    pub async fn answer_request(self: Rc<Self>, request: Request) -> Response {
        let body = &request.body;
        match Route::parse(&request.method, request.path()) {
            Ok(Route::Heartbeat) => {
                self.heartbeat_handler.answer_heartbeat(body, request.connection).await
            }
            Ok(Route::Ready) => self.answer_readiness_check(),
            Ok(Route::Overview) => {
                leadership::answer_overview_request(&self.env, &self.replica, &self.leadership)
            }
            Ok(Route::Release(id)) => self.user_request_handler.answer_release_request(&id).await,
            Ok(Route::Submit) => self.user_request_handler.answer_submission(body).await,
            Ok(Route::Query(id)) => self.user_request_handler.answer_query(&id).await,
            Ok(Route::Cancel(id)) => self.user_request_handler.answer_cancel_request(&id).await,
            Err(error) => error.response(),
        }
    }

    /// Answers the readiness check. A controller that can't reach the state service is not ready
    /// while another controller can reach it. If no controller can, all of them report ready, also
    /// one that was just restarted: no other controller could serve the users better, and the load
    /// balancer would delay users further once the state service is back.
    fn answer_readiness_check(&self) -> Response {
        let is_stale = !self.replica.is_synced() || self.replica.proof_age() > MAX_READY_PROOF_AGE;
        if is_stale && self.peers.has_peer_with_store_access() {
            return error(503, "not ready");
        }
        json(200, &serde_json::json!({"ready": true}))
    }
}

#[cfg(test)]
mod tests;
