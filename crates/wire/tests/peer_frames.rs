//! Tests that the encoding of frames between controllers doesn't change, because during an upgrade
//! controllers of both versions are connected. The expected bytes were written by the version at
//! commit 2b8fbd7.

use corkfield_wire::peer::{Frame, PeerHeartbeat};
use corkfield_wire::{ControllerName, Incarnation, Term};

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        node: ControllerName::from("worker-0"),
        incarnation: Incarnation::from("worker-0-0000002a"),
        process: 5,
        number: 6,
        last_received_number: 7,
        last_received_process: 8,
        is_outage_attestation: true,
        is_leader: false,
        is_store_reachable: true,
        leader: Some(ControllerName::from("worker-1")),
        term: Term::new(41),
    }
}

fn heartbeat_without_leader() -> PeerHeartbeat {
    PeerHeartbeat {
        node: ControllerName::from("n"),
        incarnation: Incarnation::default(),
        process: 0,
        number: u64::MAX,
        last_received_number: 0,
        last_received_process: 0,
        is_outage_attestation: false,
        is_leader: true,
        is_store_reachable: false,
        leader: None,
        term: Term::new(0),
    }
}

fn assert_encoded_as(frame: Frame, expected: &str) {
    let bytes = frame.encode();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, expected, "{frame:?}");
    assert_eq!(Frame::decode(&bytes[4..]), Ok(frame));
}

#[test]
fn heartbeat_encoding_is_unchanged() {
    assert_encoded_as(
        Frame::PeerHeartbeat(heartbeat()),
        concat!(
            "5b000000",                                   // length
            "02",                                         // version
            "00",                                         // variant
            "08000000776f726b65722d30",                   // node
            "11000000776f726b65722d302d3030303030303261", // incarnation
            "0500000000000000",                           // process
            "0600000000000000",                           // number
            "0700000000000000",                           // last_received_number
            "0800000000000000",                           // last_received_process
            "01",                                         // is_outage_attestation
            "00",                                         // is_leader
            "01",                                         // is_store_reachable
            "0108000000776f726b65722d31",                 // leader
            "2900000000000000",                           // term
        ),
    );
    assert_encoded_as(
        Frame::PeerHeartbeat(heartbeat_without_leader()),
        "370000000200010000006e000000000000000000000000ffffffffffffffff\
         00000000000000000000000000000000000100000000000000000000",
    );
}

#[test]
fn encoding_of_other_frames_is_unchanged() {
    assert_encoded_as(
        Frame::WorkerHeartbeat { number: 9, body: b"{}".to_vec() },
        "1000000002010900000000000000020000007b7d",
    );
    assert_encoded_as(
        Frame::Answer { number: 9, status: 421, body: b"{}".to_vec() },
        "1200000002020900000000000000a501020000007b7d",
    );
    assert_encoded_as(
        Frame::Cancelled { jobs: vec!["j-1".to_owned(), "j-02".to_owned()] },
        "15000000020302000000030000006a2d31040000006a2d3032",
    );
    assert_encoded_as(Frame::Acknowledged { jobs: Vec::new() }, "06000000020400000000");
}
