use super::*;
use corkfield_wire::peer::PeerHeartbeat;
use corkfield_wire::{ControllerName, Incarnation, Term};

#[tokio::test(start_paused = true)]
async fn relayed_heartbeat_returns_the_answer_with_the_same_number() {
    let links = PeerLinks::new(4);
    assert!(links.relay_heartbeat("q", b"no link").await.is_none());
    let (_sender, mut queued) = links.register_link("q");
    let leader = async {
        let Some(Frame::WorkerHeartbeat { number, body }) = queued.recv().await else {
            panic!("a worker's heartbeat was relayed");
        };
        assert_eq!(body, b"heartbeat");
        links.complete_relay(number + 1, Response::new(200, b"of another".to_vec()));
        links.complete_relay(number, Response::new(200, b"answer".to_vec()));
    };
    let (response, ()) = tokio::join!(links.relay_heartbeat("q", b"heartbeat"), leader);
    assert_eq!(response.expect("an answer").body, b"answer");
    assert!(links.pending_relays.borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn relayed_heartbeats_without_an_answer_are_limited_in_number_and_time() {
    let links = PeerLinks::new(2);
    let (_sender, _queued) = links.register_link("q");
    let started = tokio::time::Instant::now();
    let relay = || links.relay_heartbeat("q", b"heartbeat");
    let (first, second, third) = tokio::join!(relay(), relay(), async {
        let response = relay().await;
        assert_eq!(
            started.elapsed(),
            Duration::ZERO,
            "a heartbeat above the limit is refused at once"
        );
        response
    });
    assert!(first.is_none() && second.is_none() && third.is_none());
    assert_eq!(started.elapsed(), RELAY_TIMEOUT);
    assert!(links.pending_relays.borrow().is_empty());
    links.remove_link("q");
    assert!(links.relay_heartbeat("q", b"heartbeat").await.is_none());
    assert_eq!(started.elapsed(), RELAY_TIMEOUT, "without a link the heartbeat is refused at once");
}

#[tokio::test(start_paused = true)]
async fn linked_leaders_are_controllers_with_a_link_that_report_or_are_recorded_to_lead() {
    let (links, peers) = (PeerLinks::new(4), Peers::default());
    let heartbeat = |node: &str, leading| PeerHeartbeat {
        node: ControllerName::from(node),
        incarnation: Incarnation::default(),
        process: 1,
        number: 1,
        last_received_number: 0,
        last_received_process: 0,
        is_outage_attestation: false,
        is_leader: leading,
        is_store_reachable: true,
        leader: None,
        term: Term::new(1),
    };
    let _queues = ["leads", "recorded", "standby"].map(|peer| links.register_link(peer));
    peers.record_heartbeat(heartbeat("leads", true), None);
    peers.record_heartbeat(heartbeat("standby", false), None);
    peers.record_heartbeat(heartbeat("unlinked", true), None);
    let recorded = ControllerName::from("recorded");
    assert_eq!(
        links.linked_leaders(Some(&recorded), &peers),
        ["leads", "recorded"].map(ControllerName::from)
    );
    tokio::time::advance(crate::peers::HEARTBEAT_TIMEOUT).await;
    assert_eq!(links.linked_leaders(Some(&recorded), &peers), [ControllerName::from("recorded")]);
    assert!(links.linked_leaders(None, &peers).is_empty());
}
