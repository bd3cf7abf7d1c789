//! Tests of the peer module.

use super::*;

#[test]
fn frames_are_decoded_as_encoded_and_malformed_ones_are_rejected() {
    let frame = Frame::Answer { number: 7, status: 200, body: b"{}".to_vec() };
    let bytes = frame.encode();
    assert_eq!(usize::from(bytes[0]), bytes.len() - 4);
    assert_eq!(Frame::decode(&bytes[4..]), Ok(frame));
    assert_eq!(Frame::decode(&[9, 0]), Err(FrameError::Version(9)));
    assert_eq!(Frame::decode(&[VERSION, 250, 1]), Err(FrameError::Malformed));
    assert_eq!(Frame::decode(&[]), Err(FrameError::Malformed));
}
