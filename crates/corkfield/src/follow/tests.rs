use super::*;

#[test]
fn of_two_overlapping_reads_the_older_never_undoes_the_newer() {
    let presence = |lease| {
        serde_json::to_value(Presence { incarnation: "a".to_owned(), lease }).expect("serializable")
    };
    let key = format!("{CONTROLLERS}n");
    let put = |version| Event::Put { key: key.clone(), value: presence(version), version };
    let delete = |version| Event::Delete { key: key.clone(), version };
    let mut cache = Cache::default();
    cache.apply(Events { revision: 3, events: vec![put(2), delete(3)] });
    cache.apply(Events { revision: 2, events: vec![put(2)] });
    assert!(cache.controllers.is_empty(), "the older read came last");
    cache.apply(Events { revision: 4, events: vec![delete(3), put(4)] });
    assert_eq!(cache.controllers["n"].1, 4);
}
