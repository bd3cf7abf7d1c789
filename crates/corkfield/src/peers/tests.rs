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
async fn an_attestation_counts_from_what_it_echoes_and_for_its_processes_alone() {
    let peers = Peers::default();
    let sent = now();
    assert_eq!(peers.record_sent("q"), 1);
    tokio::time::advance(Duration::from_secs(9)).await;
    let attested = |peers: &Peers| peers.last.borrow()["q"].attested;
    let record = |heartbeat: PeerHeartbeat| {
        peers.record(heartbeat.clone(), peers.echoed_sent(&heartbeat, 7))
    };
    // Held back since before this process, or an answer to nothing that it sent.
    for heartbeat in [heartbeat(3, 1, 6, true), heartbeat(3, 2, 7, true), heartbeat(3, 1, 7, false)]
    {
        record(heartbeat);
        assert_eq!(attested(&peers), None);
    }
    record(heartbeat(3, 1, 7, true));
    assert_eq!(attested(&peers), Some(sent), "however late it comes");
    record(heartbeat(3, 1, 7, false));
    assert_eq!(attested(&peers), Some(sent), "it said so then");
    record(heartbeat(4, 1, 7, false));
    assert_eq!(attested(&peers), None, "another process");
}
