use super::*;
use corkfield_wire::peer::PeerHeartbeat;
use corkfield_wire::{ControllerName, Incarnation, Term};

/// Random number that identifies the process of most tests.
const PROCESS: u64 = u64::MAX - 1;

#[tokio::test(start_paused = true)]
async fn relayed_heartbeat_returns_the_answer_with_the_same_number() {
    let links = PeerLinks::new(4, PROCESS);
    assert!(links.relay_heartbeat("q", b"no link").await.is_none());
    let (_sender, mut queued) = links.register_link("q");
    let leader = async {
        let Some(Frame::WorkerHeartbeat { number, body }) = queued.recv().await else {
            panic!("a worker's heartbeat was relayed");
        };
        assert_eq!(body, b"heartbeat");
        links.complete_relay(
            "q",
            number.wrapping_add(1),
            Response::new(200, b"of another".to_vec()),
        );
        links.complete_relay("q", number, Response::new(200, b"answer".to_vec()));
    };
    let (response, ()) = tokio::join!(links.relay_heartbeat("q", b"heartbeat"), leader);
    assert_eq!(response.expect("an answer").body, b"answer");
    assert!(links.pending_relays.borrow().is_empty());
}

/// Relays a heartbeat to `q` and returns the number under which it was relayed. The answer is lost.
async fn relay_without_answer(links: &PeerLinks) -> u64 {
    let (_sender, mut queued) = links.register_link("q");
    let (_, frame) = tokio::join!(links.relay_heartbeat("q", b"heartbeat"), queued.recv());
    let Some(Frame::WorkerHeartbeat { number, .. }) = frame else { panic!("{frame:?}") };
    number
}

/// Guards against tasks that start a second time, or on a machine that they were not placed on,
/// because a late copy of an answer to a process that has ended answers a heartbeat of the next one.
#[tokio::test(start_paused = true)]
async fn an_answer_to_an_earlier_process_answers_no_heartbeat_of_the_next_one() {
    let earlier = PeerLinks::new(4, 17);
    let number = relay_without_answer(&earlier).await;
    let links = PeerLinks::new(4, 0x5eed_0000_0000_0001);
    let (_sender, mut queued) = links.register_link("q");
    let leader = async {
        let Some(Frame::WorkerHeartbeat { number: own_number, .. }) = queued.recv().await else {
            panic!("a worker's heartbeat was relayed");
        };
        links.complete_relay("q", number, Response::new(200, b"late copy".to_vec()));
        links.complete_relay("r", own_number, Response::new(200, b"of another peer".to_vec()));
        links.complete_relay("q", own_number, Response::new(200, b"answer".to_vec()));
        links.complete_relay("q", own_number, Response::new(200, b"copy".to_vec()));
    };
    let (response, ()) = tokio::join!(links.relay_heartbeat("q", b"heartbeat"), leader);
    assert_eq!(response.expect("an answer").body, b"answer");
}

#[tokio::test(start_paused = true)]
async fn relayed_heartbeats_without_an_answer_are_limited_in_number_and_time() {
    let links = PeerLinks::new(2, PROCESS);
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
    let (links, peers) = (PeerLinks::new(4, PROCESS), Peers::default());
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
