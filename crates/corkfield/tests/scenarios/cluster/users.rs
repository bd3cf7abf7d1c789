//! Requests of users: submissions, status requests and cancellations. The execution history checks
//! the answers.

use super::{sleep_s, Cluster, CONTROLLERS};
use corkfield_fakes::JobPlan;
use corkfield_wire::user::{JobView, PATH_CANCEL, PATH_JOBS};
use corkfield_wire::{JobId, JobSpec, JobStatus};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time limit for one answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of times that a request is sent.
const MAX_ATTEMPTS: usize = 60;
/// The number of users who ask a controller without pause.
const ASKING_USERS: u32 = 120;

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// An answer that is final for a request: neither a server error nor a request to retry later.
struct DefinitiveAnswer {
    status: u16,
    view: Option<JobView>,
}

impl Cluster {
    /// Sends one request to one controller; returns the status and the body of the answer, or
    /// `None` if there is no answer.
    pub async fn request(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let client = &self.clients[controller];
        let reply = client.request(method, path, body, REQUEST_TIMEOUT).await.ok()?;
        Some((reply.status, reply.body))
    }

    /// Has users ask a controller about jobs that nobody submitted, more often than its share of the
    /// state service's request rate allows, until `is_over` is set. Each question needs a read of
    /// its own.
    pub fn ask_without_pause(self: &Rc<Self>, controller: usize, is_over: &Rc<Cell<bool>>) {
        for number in 0..ASKING_USERS {
            let (cluster, is_over) = (self.clone(), is_over.clone());
            let path = format!("{PATH_JOBS}/j-{:06}", 900_000 + number);
            tokio::task::spawn_local(async move {
                while !is_over.get() {
                    cluster.request(controller, "GET", &path, b"").await;
                    sleep_s(0.2).await;
                }
            });
        }
    }

    /// Returns the overview of a controller for operators.
    pub async fn overview(&self, controller: usize) -> serde_json::Value {
        let answer = self.request(controller, "GET", "/operator/overview", b"").await;
        serde_json::from_slice(&answer.expect("an answer").1).expect("an overview")
    }

    /// Repeats a request, at one controller after another, until a definitive answer arrives.
    async fn request_until_answered(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> DefinitiveAnswer {
        for round in 0..MAX_ATTEMPTS {
            let controller = round % CONTROLLERS.len();
            if let Some((status, body)) = self.request(controller, method, path, body).await {
                if status < 500 && status != 429 {
                    return DefinitiveAnswer { status, view: serde_json::from_slice(&body).ok() };
                }
            }
            sleep_s(1.0).await;
        }
        panic!("no definitive answer to {method} {path}");
    }

    /// Sends one submission to one controller and records the answer; returns its status.
    pub async fn submit_to(&self, controller: usize, spec: &JobSpec) -> Option<u16> {
        let requested_at = now();
        let body = serde_json::to_vec(spec).expect("serializable");
        let (status, body) = self.request(controller, "POST", PATH_JOBS, &body).await?;
        let is_accepted = matches!(status, 200 | 201);
        let view = serde_json::from_slice(&body).ok().filter(|_| is_accepted);
        self.record_answer(&spec.id, requested_at, view);
        Some(status)
    }

    /// Submits a job whose tasks complete after `run_s` seconds; returns the status of the answer.
    pub async fn submit(&self, spec: &JobSpec, run_s: f64) -> u16 {
        self.submit_plan(JobPlan { spec: spec.clone(), run_s, is_failing: false }).await
    }

    /// Repeats the submission of a job until a definitive answer arrives; returns its status.
    pub async fn submit_plan(&self, plan: JobPlan) -> u16 {
        let body = serde_json::to_vec(&plan.spec).expect("serializable");
        let id = plan.spec.id.clone();
        self.history.add_plan(plan);
        let requested_at = now();
        let answer = self.request_until_answered("POST", PATH_JOBS, &body).await;
        let is_accepted = matches!(answer.status, 200 | 201);
        self.record_answer(&id, requested_at, answer.view.filter(|_| is_accepted));
        answer.status
    }

    /// Repeats a request for the status of a job until a definitive answer arrives.
    pub async fn status(&self, id: &JobId) -> Option<JobStatus> {
        let requested_at = now();
        let path = format!("{PATH_JOBS}/{id}");
        let answer = self.request_until_answered("GET", &path, b"").await;
        self.record_answer(id, requested_at, answer.view)
    }

    /// Repeats the cancellation of a job, at one controller after another, until a definitive
    /// answer arrives; returns the job status in the answer.
    pub async fn cancel(&self, id: &JobId) -> Option<JobStatus> {
        let path = format!("{PATH_JOBS}/{id}/{PATH_CANCEL}");
        let requested_at = now();
        let answer = self.request_until_answered("POST", &path, b"").await;
        self.record_answer(id, requested_at, answer.view)
    }

    /// Sends one request for a job to one controller and records the answer. Without a verb, the
    /// request is a status request.
    pub async fn request_about_job(
        &self,
        controller: usize,
        id: &JobId,
        verb: Option<&str>,
    ) -> Option<JobStatus> {
        let requested_at = now();
        let path = format!("{PATH_JOBS}/{id}");
        let answer = match verb {
            Some(verb) => self.request(controller, "POST", &format!("{path}/{verb}"), b"").await,
            None => self.request(controller, "GET", &path, b"").await,
        };
        let (status, body) = answer?;
        if status == 404 {
            self.history.record_not_found_answer(id, requested_at);
        }
        let view = serde_json::from_slice(&body).ok().filter(|_| status == 200);
        self.record_answer(id, requested_at, view)
    }

    /// Repeats a cancellation at one controller until the job is reported as cancelled.
    pub async fn cancel_at(&self, controller: usize, id: &JobId) {
        for _ in 0..MAX_ATTEMPTS {
            let status = self.request_about_job(controller, id, Some(PATH_CANCEL)).await;
            if status == Some(JobStatus::Cancelled) {
                return;
            }
            sleep_s(0.5).await;
        }
        panic!("{id} is not cancelled");
    }

    fn record_answer(
        &self,
        id: &JobId,
        requested_at: Instant,
        view: Option<JobView>,
    ) -> Option<JobStatus> {
        let status = view?.status;
        self.history.record_user_answer(id, status, requested_at);
        Some(status)
    }

    /// Waits until a job is done; returns the time waited, in seconds.
    pub async fn wait_until_done(&self, id: &JobId, timeout_s: f64) -> f64 {
        let start = tokio::time::Instant::now();
        while self.status(id).await != Some(JobStatus::Done) {
            let waited = start.elapsed().as_secs_f64();
            if waited >= timeout_s {
                let view = self.request(self.leader(), "GET", "/operator/overview", b"").await;
                let view = view.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
                panic!("{id} is not done after {waited} s: {:?}, {view:?}", self.job_record(id));
            }
            sleep_s(1.0).await;
        }
        start.elapsed().as_secs_f64()
    }
}
