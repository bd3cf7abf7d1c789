//! A stand-in cloud with a fixed set of machines: it has no capacity for more.

use crate::lab::Record;
use crate::worker::{Ledger, Worker, WorkerSettings};
use corkfield_http::{serve, Limits, Network, Request, Response, Tcp};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub struct Cloud {
    types: Value,
    machines: RefCell<BTreeMap<String, (Rc<Worker>, Instant)>>,
    record: Rc<Record>,
}

impl Cloud {
    pub fn start(addr: SocketAddr, types: Value, record: Rc<Record>) -> Rc<Self> {
        let cloud = Rc::new(Self { types, machines: RefCell::default(), record });
        let serving = cloud.clone();
        tokio::task::spawn_local(async move {
            let Ok(listener) = Tcp.listen(addr).await else { return };
            let handler = move |request| serving.clone().handle(request);
            serve(listener, Limits::default(), Rc::new(handler)).await;
        });
        cloud
    }

    /// Adds a machine that is up at the start.
    pub fn add(&self, settings: WorkerSettings, ledger: &Rc<Ledger>) -> Rc<Worker> {
        let number = self.machines.borrow().len();
        let host = format!("host-{number:06}");
        let seed = number as u64;
        let worker =
            Worker::start(host.clone(), settings, ledger.clone(), self.record.clone(), seed);
        self.machines.borrow_mut().insert(host, (worker.clone(), Instant::now()));
        worker
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let answer =
            |status: u16, body: Value| Response::new(status, body.to_string().into_bytes());
        match (request.method.as_str(), request.path()) {
            ("GET", "/flavors") => answer(200, json!({"flavours": self.types})),
            ("GET", "/hosts") => answer(200, self.list(&request.target)),
            ("POST", "/hosts") => {
                self.record.write(&format!("cloud: rental refused, no capacity: {body}"));
                answer(503, json!({"error": "no capacity"}))
            }
            ("POST", "/hosts/delete") => {
                for host in body["hosts"].as_array().into_iter().flatten() {
                    let removed =
                        self.machines.borrow_mut().remove(host.as_str().unwrap_or_default());
                    if let Some((worker, _)) = removed {
                        self.record.write(&format!("cloud: {} deleted", worker.host));
                        worker.delete();
                    }
                }
                answer(200, json!({}))
            }
            _ => answer(404, json!({})),
        }
    }

    fn list(&self, target: &str) -> Value {
        let after = target.split(['?', '&']).find_map(|part| part.strip_prefix("after="));
        let machines = self.machines.borrow();
        let listed = machines.iter().filter(|(host, _)| after.is_none_or(|a| host.as_str() > a));
        let hosts: Vec<Value> = listed
            .map(|(host, (worker, since))| {
                json!({"name_id": host, "addr": worker.addr.to_string(),
                    "flavour": worker.settings.flavour, "site": worker.settings.site,
                    "loaners": false, "status": "running",
                    "age_s": since.elapsed().as_secs_f64()})
            })
            .collect();
        json!({"hosts": hosts, "truncated": false})
    }
}
