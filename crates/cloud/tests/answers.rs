//! What the client makes of the cloud's answers, and what it sends.

use corkfield_cloud::{CloudClient, CloudError};
use corkfield_http::{serve, Limits, Network, Request, Response, Tcp};
use corkfield_wire::cloud::RentRequest;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Requests as the cloud received them.
type Received = Rc<RefCell<Vec<String>>>;

/// A cloud that gives these answers in turn, and the last one again and again.
async fn client_of(answers: &'static [(u16, &'static str)]) -> (CloudClient, Received) {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = probe.local_addr().unwrap();
    drop(probe);
    let listener = Tcp.listen(addr).await.unwrap();
    let received = Received::default();
    let log = received.clone();
    let handler = move |request: Request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        log.borrow_mut().push(format!("{} {} {body}", request.method, request.target));
        let (status, body) = answers[(log.borrow().len() - 1).min(answers.len() - 1)];
        async move { Response::new(status, body.as_bytes().to_vec()) }
    };
    tokio::task::spawn_local(serve(listener, Limits::default(), Rc::new(handler)));
    (CloudClient::new(Rc::new(Tcp), addr, 1000.0), received)
}

fn rental() -> RentRequest {
    RentRequest {
        request: "r-17".to_owned(),
        machine_type: "g8".to_owned(),
        zone: "a".to_owned(),
        spot: true,
        count: 12,
    }
}

#[test]
fn requests_are_spelt_as_the_protocol_says() {
    run(async {
        let (client, received) = client_of(&[
            (200, r#"{"flavours":[{"label":"g8","vcpus":96,"mem_gb":768}]}"#),
            (
                200,
                r#"{"hosts":[{"name_id":"host-1","flavour":"g8","site":"a","status":"starting"}],"truncated":true}"#,
            ),
            (
                200,
                r#"{"hosts":[{"name_id":"host-2","flavour":"g8","site":"a","status":"odd"}],"truncated":true}"#,
            ),
            (200, r#"{"hosts":[],"truncated":true}"#),
            (200, r#"{"hosts":["host-3"]}"#),
            (200, "{}"),
        ])
        .await;
        assert_eq!(client.types().await.unwrap()[0].name, "g8");
        let machines = client.machines().await.unwrap();
        let names: Vec<&str> = machines.iter().map(|machine| machine.name.as_str()).collect();
        assert_eq!(names, ["host-1", "host-2"], "an empty page ends the list");
        assert_eq!(client.rent(&rental()).await.unwrap(), ["host-3"]);
        client.delete(vec!["host-3".to_owned()]).await.unwrap();
        let expected = [
            "GET /flavors ",
            "GET /hosts?limit=500 ",
            "GET /hosts?after=host-1&limit=500 ",
            "GET /hosts?after=host-2&limit=500 ",
            r#"POST /hosts {"booking":"r-17","flavour":"g8","site":"a","loaners":true,"number":12}"#,
            r#"POST /hosts/delete {"hosts":["host-3"]}"#,
        ];
        assert_eq!(*received.borrow(), expected);
    });
}

#[test]
fn refusals_are_told_apart() {
    run(async {
        let (client, _) = client_of(&[
            (503, r#"{"error":"no capacity"}"#),
            (503, r#"{"error":"trouble"}"#),
            (429, r#"{"error":"no capacity"}"#),
            (500, "{}"),
        ])
        .await;
        let rented = client.rent(&rental()).await;
        assert!(matches!(rented, Err(CloudError::NoCapacity)), "{rented:?}");
        for status in [503, 429, 500] {
            let rented = client.rent(&rental()).await;
            assert!(matches!(rented, Err(CloudError::Refused(s)) if s == status), "{rented:?}");
        }
    });
}

#[test]
fn answers_that_cannot_be_read_are_malformed() {
    run(async {
        let (client, _) =
            client_of(&[(200, "no json"), (400, r#"{"error":"malformed"}"#), (404, "{}")]).await;
        for _ in 0..3 {
            let rented = client.rent(&rental()).await;
            assert!(matches!(rented, Err(CloudError::MalformedAnswer(_))), "{rented:?}");
        }
    });
}
