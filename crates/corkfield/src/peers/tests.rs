use super::*;
use corkfield_wire::Incarnation;

fn heartbeat(
    process: u64,
    last_received_number: u64,
    last_received_process: u64,
    is_outage_attestation: bool,
) -> PeerHeartbeat {
    PeerHeartbeat {
        node: ControllerName::from("q"),
        incarnation: Incarnation::default(),
        process,
        number: 1,
        last_received_number,
        last_received_process,
        is_outage_attestation,
        is_leader: false,
        is_store_reachable: false,
        leader: None,
        term: Term::new(5),
    }
}

#[tokio::test(start_paused = true)]
async fn attestation_is_dated_by_the_echoed_heartbeat_and_bound_to_both_processes() {
    let peers = Peers::default();
    let sent = now();
    assert_eq!(peers.record_sent_heartbeat("q"), 1);
    tokio::time::advance(Duration::from_secs(9)).await;
    let attested = |peers: &Peers| peers.last_heartbeats.borrow()["q"].attested_at;
    let record = |heartbeat: PeerHeartbeat| {
        peers.record_heartbeat(heartbeat.clone(), peers.echoed_sent_at(&heartbeat, 7))
    };
    // Echoes a heartbeat of an earlier process, echoes a heartbeat that was never sent, or does not
    // attest.
    for heartbeat in [heartbeat(3, 1, 6, true), heartbeat(3, 2, 7, true), heartbeat(3, 1, 7, false)]
    {
        record(heartbeat);
        assert_eq!(attested(&peers), None);
    }
    record(heartbeat(3, 1, 7, true));
    assert_eq!(attested(&peers), Some(sent), "the delay of the heartbeat doesn't matter");
    record(heartbeat(3, 1, 7, false));
    assert_eq!(attested(&peers), Some(sent), "the earlier attestation still counts");
    record(heartbeat(4, 1, 7, false));
    assert_eq!(attested(&peers), None, "a new process of the peer has not attested");
}
