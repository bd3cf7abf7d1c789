//! Tests of the requests that the client sends and of its handling of the state service's
//! responses.

#[path = "../../http/tests/scripted_server/mod.rs"]
mod scripted_server;

use corkfield_http::Tcp;
use corkfield_state::{RequestClass, StateClient, StateError};
use corkfield_wire::store::Transaction;
use corkfield_wire::Revision;
use scripted_server::{block_on, serve_scripted, ReceivedRequests, ScriptedResponse};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

const CLASS: RequestClass = RequestClass::Lease;
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Creates a client of a server with these responses.
async fn scripted_client(
    responses: &'static [ScriptedResponse],
) -> (StateClient, ReceivedRequests) {
    let (addr, received) = serve_scripted(responses).await;
    (StateClient::new(Rc::new(Tcp), addr, 100.0, 40.0, 1024 * 1024), received)
}

fn transaction() -> Transaction {
    Transaction::default()
        .when("a/b", Revision::new(0))
        .put_leased("a/b", json!(1), 7)
        .delete("c/d")
}

#[test]
fn requests_have_the_paths_and_bodies_of_the_protocol() {
    block_on(async {
        let (client, received) = scripted_client(&[
            (200, r#"{"k":"a/b","v":1,"stamp":412,"claim":7}"#),
            (200, r#"{"items":[{"k":"c/7","v":1,"stamp":3}],"truncated":true,"generation":431}"#),
            (200, r#"{"items":[{"k":"c/8","v":2,"stamp":4}],"truncated":false,"generation":433}"#),
            (200, r#"{"generation":432}"#),
            (200, r#"{"claim":7}"#),
            (200, "{}"),
            (200, r#"{"generation":9,"log":[]}"#),
        ])
        .await;
        let item = client.get(CLASS, "a/b").await.unwrap().unwrap();
        assert_eq!(
            (item.key.as_str(), item.version, item.lease),
            ("a/b", Revision::new(412), Some(7))
        );
        let (items, revision) = client.list(CLASS, "c/").await.unwrap();
        assert_eq!(
            (items.len(), revision),
            (2, Revision::new(431)),
            "a list returns the revision of its first page"
        );
        assert_eq!(client.commit(CLASS, &transaction()).await.unwrap(), Revision::new(432));
        assert_eq!(client.grant_lease(Duration::from_secs(5)).await.unwrap(), 7);
        client.renew_lease(7, TIME_LIMIT).await.unwrap();
        let events =
            client.watch(CLASS, "c/", Revision::new(8), Duration::from_millis(20)).await.unwrap();
        assert_eq!(events.revision, Revision::new(9));
        let expected = [
            "GET /kv/a/b ",
            "GET /kv?prefix=c/&limit=1000 ",
            "GET /kv?prefix=c/&after=c/7&limit=1000 ",
            r#"POST /txn {"when":[{"k":"a/b","stamp":0}],"then":[{"put":"a/b","v":1,"claim":7},{"drop":"c/d"}]}"#,
            r#"POST /grants {"ttl_ms":5000}"#,
            "POST /grants/7/extend ",
            "GET /changes?prefix=c/&after=8&wait_ms=20 ",
        ];
        assert_eq!(*received.borrow(), expected);
    });
}

#[test]
fn status_404_is_none_for_a_key_and_an_error_for_a_lease_or_list() {
    block_on(async {
        let (client, _) = scripted_client(&[(404, r#"{"generation":431}"#)]).await;
        assert_eq!(client.get(CLASS, "a").await.unwrap(), None);
        let renewed = client.renew_lease(7, TIME_LIMIT).await;
        assert!(matches!(renewed, Err(StateError::NoSuchLease)), "{renewed:?}");
        let listed = client.list(CLASS, "a").await;
        assert!(matches!(listed, Err(StateError::UnexpectedResponse(_))), "{listed:?}");
    });
}

#[test]
fn conflicts_missing_leases_and_unexpected_responses_of_a_transaction_differ() {
    block_on(async {
        let (client, _) = scripted_client(&[
            (409, r#"{"failed":["a/b"],"generation":431}"#),
            (400, r#"{"error":"no such lease"}"#),
            (400, r#"{"error":"malformed"}"#),
            (409, "no json"),
            (200, "no json"),
        ])
        .await;
        let conflict = client.commit(CLASS, &transaction()).await;
        let Err(StateError::Conflict(keys)) = &conflict else { panic!("{conflict:?}") };
        assert_eq!(keys, &["a/b"]);
        let no_lease = client.commit(CLASS, &transaction()).await;
        assert!(matches!(no_lease, Err(StateError::NoSuchLease)), "{no_lease:?}");
        for _ in 0..3 {
            let unexpected = client.commit(CLASS, &transaction()).await;
            assert!(matches!(unexpected, Err(StateError::UnexpectedResponse(_))), "{unexpected:?}");
        }
    });
}

#[test]
fn status_429_and_server_errors_are_refusals() {
    block_on(async {
        for (responses, expected) in [
            (&[(429, "{}")][..], 429),
            (&[(500, "no such lease")][..], 500),
            (&[(503, r#"{"error":"trouble"}"#)][..], 503),
        ] {
            let (client, _) = scripted_client(responses).await;
            let read = client.get(CLASS, "a").await;
            assert!(
                matches!(read, Err(StateError::Refused(status)) if status == expected),
                "{read:?}"
            );
            let watched = client.watch(CLASS, "c/", Revision::new(1), Duration::ZERO).await;
            assert!(matches!(watched, Err(StateError::Refused(_))), "{watched:?}");
            let renewed = client.renew_lease(7, TIME_LIMIT).await;
            assert!(matches!(renewed, Err(StateError::Refused(_))), "{renewed:?}");
        }
    });
}

#[test]
fn status_410_of_a_watch_means_that_the_revision_is_too_old() {
    block_on(async {
        let (client, _) = scripted_client(&[(410, "{}")]).await;
        let watched = client.watch(CLASS, "c/", Revision::new(1), Duration::ZERO).await;
        assert!(matches!(watched, Err(StateError::RevisionTooOld)), "{watched:?}");
    });
}
