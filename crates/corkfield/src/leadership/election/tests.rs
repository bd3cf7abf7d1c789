use super::*;
use corkfield_wire::records::{Membership, Versioned};
use corkfield_wire::Incarnation;

fn record(node: Option<&str>, incarnation: &str) -> LeaderRecord {
    let incarnation = Incarnation::from(incarnation);
    LeaderRecord {
        node: node.map(ControllerName::from),
        incarnation,
        term: Term::new(5),
        successor: None,
    }
}

/// The condition that a claim gets from the holder; `None` if there can be no claim.
fn condition(
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
fn a_claim_rests_on_the_holder_being_gone() {
    let mut contents = ReplicaContents::default();
    let member =
        |incarnation: &str| Membership { incarnation: Incarnation::from(incarnation), lease: 1 };
    for (name, incarnation, version) in [("a", "a-1", 30), ("b", "b-2", 31)] {
        let version = Revision::new(version);
        let membership = Versioned { record: member(incarnation), version };
        contents.controllers.insert(ControllerName::from(name), membership);
    }

    assert_eq!(condition(&contents, &record(Some("b"), "b-2")), None, "it is there");
    let later = Some((controller_key("b"), Revision::new(31)));
    assert_eq!(condition(&contents, &record(Some("b"), "b-1")), Some(later), "began anew");
    let without = Some((controller_key("c"), Revision::new(0)));
    assert_eq!(condition(&contents, &record(Some("c"), "c-1")), Some(without), "has no key");
    assert_eq!(condition(&contents, &record(Some("a"), "a-1")), Some(None), "this controller");
    assert_eq!(condition(&contents, &record(None, "")), Some(None), "after a hand-over");
    assert!(matches!(
        holder_status(&contents, None, &ControllerName::from("a")),
        HolderStatus::NoOtherHolder
    ));
}
