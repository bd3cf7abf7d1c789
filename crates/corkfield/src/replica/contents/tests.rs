use super::*;
use corkfield_wire::Incarnation;

#[test]
fn an_older_overlapping_read_never_reverts_a_newer_one() {
    let membership = |lease| {
        serde_json::to_value(Membership { incarnation: Incarnation::from("a"), lease })
            .expect("serializable")
    };
    let key = format!("{CONTROLLERS_PREFIX}n");
    let put = |number| {
        let (value, version) = (membership(number), Revision::new(number));
        Event::Put { key: key.clone(), value, version }
    };
    let delete = |number| Event::Delete { key: key.clone(), version: Revision::new(number) };
    let mut contents = ReplicaContents::default();
    contents
        .apply_events(WatchAnswer { revision: Revision::new(3), events: vec![put(2), delete(3)] });
    contents.apply_events(WatchAnswer { revision: Revision::new(2), events: vec![put(2)] });
    assert!(contents.controllers.is_empty(), "the older read arrived last and must be ignored");
    contents
        .apply_events(WatchAnswer { revision: Revision::new(4), events: vec![delete(3), put(4)] });
    assert_eq!(contents.controllers["n"].version, Revision::new(4));
}
