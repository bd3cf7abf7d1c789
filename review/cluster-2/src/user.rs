//! A stand-in for a user, after the protocol page. A user keeps its connection until the other side
//! closes it, or until a request on it gets no answer.

use crate::balancer::{Balancer, UserConnection};
use crate::http1::{exchange, Answer};
use crate::world::{Job, World};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_FOR: Duration = Duration::from_secs(60);
const MAX_RETRY_AFTER_S: f64 = 30.0;
const POLL_PAUSE: Duration = Duration::from_secs(5);

/// A user with a connection of its own.
pub struct User {
    name: String,
    balancer: Rc<Balancer>,
    world: Rc<World>,
    connection: Option<UserConnection>,
}

impl User {
    pub fn new(name: &str, balancer: &Rc<Balancer>, world: &Rc<World>) -> Self {
        Self {
            name: name.to_owned(),
            balancer: balancer.clone(),
            world: world.clone(),
            connection: None,
        }
    }

    /// Returns the node that the user's connection goes to.
    pub fn node(&self) -> Option<String> {
        self.connection.as_ref().map(|connection| connection.node_name().to_owned())
    }

    /// Sends one request and notes it and its answer.
    async fn request(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<Answer> {
        let sent_at = Instant::now();
        let mut node = "no node".to_owned();
        let exchanging = async {
            let mut connection = match self.connection.take() {
                Some(connection) => connection,
                None => self.balancer.connect().await?,
            };
            node = connection.node_name().to_owned();
            let handle = connection.handle();
            let answer = tokio::select! {
                answer = exchange(&mut connection.stream, method, target, body) => answer.ok()?,
                () = UserConnection::wait_for_reset(handle) => return None,
            };
            if !answer.closes {
                self.connection = Some(connection);
            }
            Some(answer)
        };
        let answer = tokio::time::timeout(limit, exchanging).await.ok().flatten();
        let result = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body))
        });
        self.world.record.note(format!(
            "{} via {node}: {method} {target} -> {result} ({} ms)",
            self.name,
            sent_at.elapsed().as_millis()
        ));
        answer
    }

    /// Submits a job, and repeats it as the page says. Returns whether it was accepted.
    pub async fn submit(&mut self, job: &Job) -> bool {
        self.world.add_job(job);
        let first_at = Instant::now();
        let body = job.spec.to_string().into_bytes();
        while first_at.elapsed() < RETRY_FOR {
            let sent_at = Instant::now();
            let answer = self.request("POST", "/submissions", &body, SUBMIT_TIMEOUT).await;
            let mut pause_s = 1.0;
            if let Some(answer) = answer {
                match answer.status {
                    200 | 201 => {
                        let status = answer.json()["status"].as_str().map(str::to_owned);
                        self.world.on_answer(job.id(), sent_at, status.as_deref());
                        return true;
                    }
                    400 | 422 => return false,
                    _ => pause_s = answer.retry_after_s.clamp(1.0, MAX_RETRY_AFTER_S),
                }
            }
            tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
        }
        false
    }

    /// Asks once for a job. Returns the status that the answer gives.
    pub async fn poll(&mut self, id: &str) -> Option<String> {
        let sent_at = Instant::now();
        let target = format!("/submissions/{id}");
        let answer = self.request("GET", &target, b"", POLL_TIMEOUT).await;
        let status = answer.and_then(|answer| match answer.status {
            200 => answer.json()["status"].as_str().map(str::to_owned),
            404 => Some("404".to_owned()),
            _ => None,
        });
        self.world.on_answer(id, sent_at, status.as_deref());
        status
    }

    /// Asks for a job every 5 s until it is done or cancelled.
    pub async fn poll_until_over(&mut self, id: &str) {
        loop {
            tokio::time::sleep(POLL_PAUSE).await;
            if matches!(self.poll(id).await.as_deref(), Some("done" | "aborted")) {
                return;
            }
        }
    }

    /// Asks to cancel a job until it is answered, for a minute at most.
    pub async fn withdraw(&mut self, id: &str) -> Option<String> {
        let first_at = Instant::now();
        while first_at.elapsed() < RETRY_FOR {
            let sent_at = Instant::now();
            let target = format!("/submissions/{id}/withdraw");
            let answer = self.request("POST", &target, b"", SUBMIT_TIMEOUT).await;
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                let status = answer.json()["status"].as_str().map(str::to_owned);
                self.world.on_answer(id, sent_at, status.as_deref());
                return status;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        None
    }
}
