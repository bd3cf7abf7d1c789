//! Tests of the task_set module.

use super::*;

#[test]
fn ranges_join_and_survive_a_round_trip() {
    let mut set = TaskSet::default();
    for index in [4, 2, 3, 9, 0, 3] {
        set.insert(index);
    }
    let text = String::from(set.clone());
    assert_eq!(text, "0,2-4,9");
    assert_eq!(TaskSet::try_from(text).unwrap(), set);
    assert_eq!(set.len(), 5);
    assert!(set.contains(3) && !set.contains(1));
    assert_eq!(String::from(set.slice(3, 9)), "3-4");
}

#[test]
fn nonsense_is_refused() {
    for text in ["a", "5-2", "3,3", "0-4000000000", "1-2-3"] {
        assert!(TaskSet::try_from(text.to_owned()).is_err(), "{text}");
    }
}

#[test]
fn a_chunk_at_its_worst_fits_a_small_value() {
    let mut set = TaskSet::default();
    let first = crate::user::MAX_TASKS - crate::records::CHUNK_TASKS;
    for index in (0..crate::records::CHUNK_TASKS).step_by(2) {
        set.insert(first + index);
    }
    assert!(String::from(set).len() < 4096);
}
