//! Tests of the requests that the client sends and of its handling of the cloud's responses.

#[path = "../../http/tests/scripted_server/mod.rs"]
mod scripted_server;

use corkfield_cloud::{CloudClient, CloudError};
use corkfield_http::Tcp;
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::MachineName;
use scripted_server::{block_on, serve_scripted, ReceivedRequests, ScriptedResponse};
use std::rc::Rc;

/// Creates a client of a server with these responses.
async fn scripted_client(
    responses: &'static [ScriptedResponse],
) -> (CloudClient, ReceivedRequests) {
    let (addr, received) = serve_scripted(responses).await;
    (CloudClient::new(Rc::new(Tcp), addr, 1000.0), received)
}

fn rent_request() -> RentRequest {
    RentRequest {
        request: "r-17".to_owned(),
        machine_type: "g8".to_owned(),
        zone: "a".to_owned(),
        spot: true,
        count: 12,
    }
}

#[test]
fn requests_have_the_paths_and_bodies_of_the_protocol() {
    block_on(async {
        let (client, received) = scripted_client(&[
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
        assert_eq!(client.list_machine_types().await.unwrap()[0].name, "g8");
        let machines = client.list_machines().await.unwrap();
        let names: Vec<&str> = machines.iter().map(|machine| machine.name.as_str()).collect();
        assert_eq!(names, ["host-1", "host-2"], "an empty page ends the list");
        assert_eq!(
            client.rent_machines(&rent_request()).await.unwrap(),
            [MachineName::from("host-3")]
        );
        client.delete_machines(vec![MachineName::from("host-3")]).await.unwrap();
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
fn missing_capacity_differs_from_other_refusals() {
    block_on(async {
        let (client, _) = scripted_client(&[
            (503, r#"{"error":"no capacity"}"#),
            (503, r#"{"error":"trouble"}"#),
            (429, r#"{"error":"no capacity"}"#),
            (500, "{}"),
        ])
        .await;
        let rented = client.rent_machines(&rent_request()).await;
        assert!(matches!(rented, Err(CloudError::NoCapacity)), "{rented:?}");
        for status in [503, 429, 500] {
            let rented = client.rent_machines(&rent_request()).await;
            assert!(
                matches!(rented, Err(CloudError::Refused(refused)) if refused == status),
                "{rented:?}"
            );
        }
    });
}

#[test]
fn invalid_bodies_and_unknown_statuses_are_unexpected_responses() {
    block_on(async {
        let (client, _) =
            scripted_client(&[(200, "no json"), (400, r#"{"error":"malformed"}"#), (404, "{}")])
                .await;
        for _ in 0..3 {
            let rented = client.rent_machines(&rent_request()).await;
            assert!(matches!(rented, Err(CloudError::UnexpectedResponse(_))), "{rented:?}");
        }
    });
}
