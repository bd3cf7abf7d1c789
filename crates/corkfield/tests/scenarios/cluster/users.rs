//! What users do: they submit, ask and cancel, and the execution history checks what they are
//! answered.

use super::{sleep_s, Cluster, CONTROLLERS};
use corkfield_fakes::JobPlan;
use corkfield_wire::user::{JobView, PATH_CANCEL, PATH_JOBS};
use corkfield_wire::{JobId, JobSpec, JobStatus};
use std::time::{Duration, Instant};

/// How long a user waits for one answer.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// How often a request or a cancellation is repeated.
const MAX_ATTEMPTS: usize = 60;

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// An answer that holds: neither a failure of a controller nor a request to come back.
struct LastingAnswer {
    status: u16,
    view: Option<JobView>,
}

impl Cluster {
    /// One request to one controller: status and body, or `None` without an answer.
    pub async fn request(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let client = &self.clients[controller];
        let reply = client.request(method, path, body, REQUEST_LIMIT).await.ok()?;
        Some((reply.status, reply.body))
    }

    /// A controller's overview for operators.
    pub async fn overview(&self, controller: usize) -> serde_json::Value {
        let answer = self.request(controller, "GET", "/operator/overview", b"").await;
        serde_json::from_slice(&answer.expect("an answer").1).expect("an overview")
    }

    /// Repeats a request, at one controller after another, until it has a lasting answer.
    async fn request_until_answered(&self, method: &str, path: &str, body: &[u8]) -> LastingAnswer {
        for round in 0..MAX_ATTEMPTS {
            let controller = round % CONTROLLERS.len();
            if let Some((status, body)) = self.request(controller, method, path, body).await {
                if status < 500 && status != 429 {
                    return LastingAnswer { status, view: serde_json::from_slice(&body).ok() };
                }
            }
            sleep_s(1.0).await;
        }
        panic!("no lasting answer to {method} {path}");
    }

    /// Repeats a submission to one controller, and records its answer.
    pub async fn submit_to(&self, controller: usize, spec: &JobSpec) -> Option<u16> {
        let asked = now();
        let body = serde_json::to_vec(spec).expect("serializable");
        let (status, body) = self.request(controller, "POST", PATH_JOBS, &body).await?;
        let accepted = matches!(status, 200 | 201);
        let view = serde_json::from_slice(&body).ok().filter(|_| accepted);
        self.record_answer(&spec.id, asked, view);
        Some(status)
    }

    /// Submits a job whose tasks run that long and end well; returns the status.
    pub async fn submit(&self, spec: &JobSpec, run_s: f64) -> u16 {
        self.submit_plan(JobPlan { spec: spec.clone(), run_s, is_failing: false }).await
    }

    /// Submits a job until it has a lasting answer; returns the status.
    pub async fn submit_plan(&self, plan: JobPlan) -> u16 {
        let body = serde_json::to_vec(&plan.spec).expect("serializable");
        let id = plan.spec.id.clone();
        self.history.add_plan(plan);
        let asked = now();
        let answer = self.request_until_answered("POST", PATH_JOBS, &body).await;
        let accepted = matches!(answer.status, 200 | 201);
        self.record_answer(&id, asked, answer.view.filter(|_| accepted));
        answer.status
    }

    /// Asks for a job's status until there is a lasting answer.
    pub async fn status(&self, id: &JobId) -> Option<JobStatus> {
        let asked = now();
        let path = format!("{PATH_JOBS}/{id}");
        let answer = self.request_until_answered("GET", &path, b"").await;
        self.record_answer(id, asked, answer.view)
    }

    /// Cancels a job, at any controller; returns the status that was answered.
    pub async fn cancel(&self, id: &JobId) -> Option<JobStatus> {
        let path = format!("{PATH_JOBS}/{id}/{PATH_CANCEL}");
        let asked = now();
        let answer = self.request_until_answered("POST", &path, b"").await;
        self.record_answer(id, asked, answer.view)
    }

    /// One request about a job to one controller, whose answer is recorded.
    pub async fn request_about_job(
        &self,
        controller: usize,
        id: &JobId,
        verb: Option<&str>,
    ) -> Option<JobStatus> {
        let asked = now();
        let path = format!("{PATH_JOBS}/{id}");
        let answer = match verb {
            Some(verb) => self.request(controller, "POST", &format!("{path}/{verb}"), b"").await,
            None => self.request(controller, "GET", &path, b"").await,
        };
        let (status, body) = answer?;
        if status == 404 {
            self.history.record_not_found_answer(id, asked);
        }
        let view = serde_json::from_slice(&body).ok().filter(|_| status == 200);
        self.record_answer(id, asked, view)
    }

    /// Cancels a job at one controller, as often as it takes.
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
        asked: Instant,
        view: Option<JobView>,
    ) -> Option<JobStatus> {
        let status = view?.status;
        self.history.record_user_answer(id, status, asked);
        Some(status)
    }

    /// Waits until the job is done; returns how long that took, in seconds.
    pub async fn wait_until_done(&self, id: &JobId, limit_s: f64) -> f64 {
        let start = tokio::time::Instant::now();
        while self.status(id).await != Some(JobStatus::Done) {
            let waited = start.elapsed().as_secs_f64();
            if waited >= limit_s {
                let view = self.request(self.leader(), "GET", "/operator/overview", b"").await;
                let view = view.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
                panic!("{id} is not done after {waited} s: {:?}, {view:?}", self.job_record(id));
            }
            sleep_s(1.0).await;
        }
        start.elapsed().as_secs_f64()
    }
}
