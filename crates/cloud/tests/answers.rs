//! What the client makes of the cloud's answers, and what it sends.

#[path = "../../http/tests/scripted_server/mod.rs"]
mod scripted_server;

use corkfield_cloud::{CloudClient, CloudError};
use corkfield_http::Tcp;
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::MachineName;
use scripted_server::{run, serve_answers, Answer, Received};
use std::rc::Rc;

async fn client_of(answers: &'static [Answer]) -> (CloudClient, Received) {
    let (addr, received) = serve_answers(answers).await;
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
        assert_eq!(client.rent(&rental()).await.unwrap(), [MachineName::from("host-3")]);
        client.delete(vec![MachineName::from("host-3")]).await.unwrap();
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
