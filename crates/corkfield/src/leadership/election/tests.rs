use super::*;
use corkfield_wire::records::{Membership, Versioned};
use corkfield_wire::Incarnation;

fn leader_record(node: Option<&str>, incarnation: &str) -> LeaderRecord {
    let incarnation = Incarnation::from(incarnation);
    LeaderRecord {
        node: node.map(ControllerName::from),
        incarnation,
        term: Term::new(5),
        successor: None,
    }
}

/// Returns `None` if another holder is present, so that the record can't be claimed, or else the
/// condition on the holder's membership key that the claim needs, if any.
fn claim_condition(
    contents: &ReplicaContents,
    record: &LeaderRecord,
) -> Option<Option<(String, Revision)>> {
    match holder_status(contents, Some(record), &ControllerName::from("a")) {
        HolderStatus::NoOtherHolder => Some(None),
        HolderStatus::Present => None,
        HolderStatus::Gone { membership_key, version } => Some(Some((membership_key, version))),
    }
}

#[test]
fn leader_record_is_claimed_only_if_its_holder_is_gone() {
    let mut contents = ReplicaContents::default();
    let member =
        |incarnation: &str| Membership { incarnation: Incarnation::from(incarnation), lease: 1 };
    for (name, incarnation, version) in [("a", "a-1", 30), ("b", "b-2", 31)] {
        let version = Revision::new(version);
        let membership = Versioned { record: member(incarnation), version };
        contents.controllers.insert(ControllerName::from(name), membership);
    }

    assert_eq!(
        claim_condition(&contents, &leader_record(Some("b"), "b-2")),
        None,
        "holder is present"
    );
    let later = Some((controller_key("b"), Revision::new(31)));
    assert_eq!(
        claim_condition(&contents, &leader_record(Some("b"), "b-1")),
        Some(later),
        "restarted as a later incarnation"
    );
    let without = Some((controller_key("c"), Revision::new(0)));
    assert_eq!(
        claim_condition(&contents, &leader_record(Some("c"), "c-1")),
        Some(without),
        "has no membership key"
    );
    assert_eq!(
        claim_condition(&contents, &leader_record(Some("a"), "a-1")),
        Some(None),
        "this controller"
    );
    assert_eq!(
        claim_condition(&contents, &leader_record(None, "")),
        Some(None),
        "after a handover"
    );
    assert!(matches!(
        holder_status(&contents, None, &ControllerName::from("a")),
        HolderStatus::NoOtherHolder
    ));
}
