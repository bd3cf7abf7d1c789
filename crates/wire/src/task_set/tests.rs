//! Tests of the task_set module.

use super::*;

#[test]
fn adjacent_ranges_are_merged_and_parsed_back() {
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
fn malformed_texts_are_rejected() {
    for text in ["a", "5-2", "3,3", "0-4000000000", "1-2-3"] {
        assert!(TaskSet::try_from(text.to_owned()).is_err(), "{text}");
    }
}

#[test]
fn the_longest_text_of_a_chunk_is_below_4_kib() {
    // Every second task of the chunk with the longest indices: no two can be merged into a range.
    let mut set = TaskSet::default();
    let first = crate::user::MAX_TASKS - crate::records::CHUNK_TASKS;
    for index in (0..crate::records::CHUNK_TASKS).step_by(2) {
        set.insert(first + index);
    }
    assert!(String::from(set).len() < 4096);
}
