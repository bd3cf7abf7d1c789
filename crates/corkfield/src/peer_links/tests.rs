use super::*;
use corkfield_wire::peer::PeerHeartbeat;
use corkfield_wire::{ControllerName, Incarnation, Term};

#[tokio::test(start_paused = true)]
async fn a_relayed_heartbeat_brings_the_answer_with_its_number() {
    let links = PeerLinks::new(4);
    assert!(links.relay("q", b"no link").await.is_none());
    let (_sender, mut queued) = links.opened("q");
    let leader = async {
        let Some(Frame::WorkerHeartbeat { number, body }) = queued.recv().await else {
            panic!("a worker's heartbeat was relayed");
        };
        assert_eq!(body, b"heartbeat");
        links.answered(number + 1, Response::new(200, b"of another".to_vec()));
        links.answered(number, Response::new(200, b"answer".to_vec()));
    };
    let (response, ()) = tokio::join!(links.relay("q", b"heartbeat"), leader);
    assert_eq!(response.expect("an answer").body, b"answer");
    assert!(links.relays.borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn relayed_heartbeats_without_an_answer_are_bounded_in_number_and_time() {
    let links = PeerLinks::new(2);
    let (_sender, _queued) = links.opened("q");
    let started = tokio::time::Instant::now();
    let relay = || links.relay("q", b"heartbeat");
    let (first, second, third) = tokio::join!(relay(), relay(), async {
        let response = relay().await;
        assert_eq!(started.elapsed(), Duration::ZERO, "one too many is not waited for");
        response
    });
    assert!(first.is_none() && second.is_none() && third.is_none());
    assert_eq!(started.elapsed(), RELAY_LIMIT);
    assert!(links.relays.borrow().is_empty());
    links.closed("q");
    assert!(links.relay("q", b"heartbeat").await.is_none());
    assert_eq!(started.elapsed(), RELAY_LIMIT, "a lost link is not waited for");
}

#[tokio::test(start_paused = true)]
async fn leaders_are_those_with_a_link_that_lead_by_their_own_word_or_by_the_record() {
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
    let _queues = ["leads", "recorded", "standby"].map(|peer| links.opened(peer));
    peers.record(heartbeat("leads", true), None);
    peers.record(heartbeat("standby", false), None);
    peers.record(heartbeat("unlinked", true), None);
    let recorded = ControllerName::from("recorded");
    assert_eq!(
        links.linked_leaders(Some(&recorded), &peers),
        ["leads", "recorded"].map(ControllerName::from)
    );
    tokio::time::advance(crate::peers::HEARTBEAT_TIMEOUT).await;
    assert_eq!(links.linked_leaders(Some(&recorded), &peers), [ControllerName::from("recorded")]);
    assert!(links.linked_leaders(None, &peers).is_empty());
}
