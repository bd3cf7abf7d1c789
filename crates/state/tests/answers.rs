//! What the client makes of the state service's answers, and what it sends.

#[path = "../../http/tests/scripted_server/mod.rs"]
mod scripted_server;

use corkfield_http::Tcp;
use corkfield_state::{RequestClass, StateClient, StateError};
use corkfield_wire::store::Transaction;
use corkfield_wire::Revision;
use scripted_server::{run, serve_answers, Answer, Received};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

const CLASS: RequestClass = RequestClass::Lease;
const LIMIT: Duration = Duration::from_secs(5);

async fn client_of(answers: &'static [Answer]) -> (StateClient, Received) {
    let (addr, received) = serve_answers(answers).await;
    (StateClient::new(Rc::new(Tcp), addr, 100.0, 40.0, 1024 * 1024), received)
}

fn transaction() -> Transaction {
    Transaction::default()
        .when("a/b", Revision::new(0))
        .put_leased("a/b", json!(1), 7)
        .delete("c/d")
}

#[test]
fn requests_are_spelt_as_the_protocol_says() {
    run(async {
        let (client, received) = client_of(&[
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
            "the revision of the first page"
        );
        assert_eq!(client.transaction(CLASS, &transaction()).await.unwrap(), Revision::new(432));
        assert_eq!(client.grant(Duration::from_secs(5)).await.unwrap(), 7);
        client.renew(7, LIMIT).await.unwrap();
        let changes =
            client.changes(CLASS, "c/", Revision::new(8), Duration::from_millis(20)).await.unwrap();
        assert_eq!(changes.revision, Revision::new(9));
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
fn a_missing_key_is_none_and_a_missing_lease_an_error() {
    run(async {
        let (client, _) = client_of(&[(404, r#"{"generation":431}"#)]).await;
        assert_eq!(client.get(CLASS, "a").await.unwrap(), None);
        let renewed = client.renew(7, LIMIT).await;
        assert!(matches!(renewed, Err(StateError::NoSuchLease)), "{renewed:?}");
        let listed = client.list(CLASS, "a").await;
        assert!(matches!(listed, Err(StateError::MalformedAnswer(_))), "{listed:?}");
    });
}

#[test]
fn refusals_of_a_transaction_are_told_apart() {
    run(async {
        let (client, _) = client_of(&[
            (409, r#"{"failed":["a/b"],"generation":431}"#),
            (400, r#"{"error":"no such lease"}"#),
            (400, r#"{"error":"malformed"}"#),
            (409, "no json"),
            (200, "no json"),
        ])
        .await;
        let conflict = client.transaction(CLASS, &transaction()).await;
        let Err(StateError::Conflict(keys)) = &conflict else { panic!("{conflict:?}") };
        assert_eq!(keys, &["a/b"]);
        let no_lease = client.transaction(CLASS, &transaction()).await;
        assert!(matches!(no_lease, Err(StateError::NoSuchLease)), "{no_lease:?}");
        for _ in 0..3 {
            let malformed = client.transaction(CLASS, &transaction()).await;
            assert!(matches!(malformed, Err(StateError::MalformedAnswer(_))), "{malformed:?}");
        }
    });
}

#[test]
fn statuses_that_say_that_nothing_was_executed_are_refusals() {
    run(async {
        for (answers, expected) in [
            (&[(429, "{}")][..], 429),
            (&[(500, "no such lease")][..], 500),
            (&[(503, r#"{"error":"trouble"}"#)][..], 503),
        ] {
            let (client, _) = client_of(answers).await;
            let got = client.get(CLASS, "a").await;
            assert!(matches!(got, Err(StateError::Refused(s)) if s == expected), "{got:?}");
            let watched = client.changes(CLASS, "c/", Revision::new(1), Duration::ZERO).await;
            assert!(matches!(watched, Err(StateError::Refused(_))), "{watched:?}");
            let renewed = client.renew(7, LIMIT).await;
            assert!(matches!(renewed, Err(StateError::Refused(_))), "{renewed:?}");
        }
    });
}

#[test]
fn a_watch_from_a_revision_no_longer_kept_is_too_old() {
    run(async {
        let (client, _) = client_of(&[(410, "{}")]).await;
        let watched = client.changes(CLASS, "c/", Revision::new(1), Duration::ZERO).await;
        assert!(matches!(watched, Err(StateError::TooOld)), "{watched:?}");
    });
}
