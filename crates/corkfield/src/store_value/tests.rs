use super::*;
use corkfield_wire::records::LeaderRecord;
use corkfield_wire::{ControllerName, Incarnation, Term};

#[test]
fn serialized_bytes_equals_the_length_of_the_json() {
    let node = Some(ControllerName::from("contröller \"a\"\n"));
    let record = LeaderRecord {
        node,
        incarnation: Incarnation::from("a-1"),
        term: Term::new(12),
        successor: None,
    };
    let bytes = serde_json::to_vec(&record).expect("a record").len();
    assert_eq!(serialized_bytes(&record), bytes);
    assert_eq!(serialized_bytes(&store_value(&record)), bytes);
}
