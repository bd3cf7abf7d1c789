//! Which submissions are refused, and the reason that their users read, word for word.

use corkfield_wire::user::SubmissionError;
use corkfield_wire::{JobId, JobSpec};
use serde_json::{json, Value};

fn submission() -> Value {
    json!({
        "name_id": "j-000412", "pool": "train", "owner": "vision", "shape": "sweep",
        "rank": "urgent", "pieces": 16, "vcpus": 8.0, "accelerators": 1.0, "mem_gb": 64.0,
        "bundle": "img-07", "image_gb": 6.2, "flavours": ["g8"], "site": null,
        "same_place": true, "apart": false, "loaners": true, "guess_s": 240.0,
        "snapshot_s": 30.0, "flush_s": 4.0, "due_s": 900.0
    })
}

fn refusal(body: &[u8]) -> SubmissionError {
    JobSpec::parse(body).expect_err("malformed")
}

fn id() -> Option<JobId> {
    JobId::parse("j-000412")
}

#[test]
fn the_protocols_example_is_read() {
    let spec = JobSpec::parse(submission().to_string().as_bytes()).expect("valid");
    assert_eq!(Some(spec.id.clone()), id());
    assert_eq!(spec.types.as_deref(), Some(&["g8".to_owned()][..]));
    assert_eq!(spec.zone, None);
    assert_eq!(spec.deadline_s, Some(900.0));
}

#[test]
fn bodies_that_are_no_object_are_refused_without_an_id() {
    for (body, reason) in [
        ("{", "body is not JSON: EOF while parsing an object at line 1 column 1"),
        ("[]", "body is not an object"),
        ("7", "body is not an object"),
    ] {
        let refused = refusal(body.as_bytes());
        assert_eq!((refused.id.clone(), refused.reason.as_str()), (None, reason));
        assert_eq!(refused.to_string(), reason);
    }
}

#[test]
fn an_id_that_is_none_is_refused_without_one() {
    let mut body = submission();
    body["name_id"] = json!("k-1");
    let refused = refusal(body.to_string().as_bytes());
    assert_eq!((refused.id, refused.reason.as_str()), (None, "malformed job id"));
}

#[test]
fn a_field_that_is_missing_or_invalid_is_named_and_the_id_kept() {
    let long = "x".repeat(121);
    let types = vec!["g8"; 65];
    let cases = [
        ("pool", Value::Null, "invalid type: null, expected a string"),
        ("pool", json!(""), "pool: must have 1 to 120 bytes"),
        ("owner", json!(long), "owner: must have 1 to 120 bytes"),
        ("bundle", json!(""), "bundle: must have 1 to 120 bytes"),
        ("site", json!(""), "site: must have 1 to 120 bytes"),
        ("flavours", json!([]), "flavours: must name 1 to 64 types"),
        ("flavours", json!(types), "flavours: must name 1 to 64 types"),
        ("flavours", json!(["g8", ""]), "flavours: must have 1 to 120 bytes"),
        ("pieces", json!(0), "pieces: must be 1 to 100000"),
        ("pieces", json!(100_001), "pieces: must be 1 to 100000"),
        ("vcpus", json!(-1.0), "vcpus: must be an amount of 0 or more"),
        ("accelerators", json!(-0.5), "accelerators: must be an amount of 0 or more"),
        ("mem_gb", json!(2e9), "mem_gb: must be an amount of 0 or more"),
        ("image_gb", json!(-1.0), "image_gb: must be an amount of 0 or more"),
        ("guess_s", json!(-1.0), "guess_s: must be an amount of 0 or more"),
        ("snapshot_s", json!(-1.0), "snapshot_s: must be an amount of 0 or more"),
        ("flush_s", json!(-1.0), "flush_s: must be an amount of 0 or more"),
        ("due_s", json!(-1.0), "due_s: must be an amount of 0 or more"),
    ];
    for (field, value, reason) in cases {
        let mut body = submission();
        body[field] = value;
        let refused = refusal(body.to_string().as_bytes());
        assert_eq!((refused.id, refused.reason.as_str()), (id(), reason), "{field}");
    }
    let mut body = submission();
    body.as_object_mut().expect("an object").remove("rank");
    let refused = refusal(body.to_string().as_bytes());
    assert_eq!((refused.id, refused.reason.as_str()), (id(), "missing field `rank`"));
}

#[test]
fn the_first_fault_is_the_one_named() {
    let mut body = submission();
    body["pool"] = json!("");
    body["pieces"] = json!(0);
    body["vcpus"] = json!(-1.0);
    let refused = refusal(body.to_string().as_bytes());
    assert_eq!(refused.reason, "pool: must have 1 to 120 bytes");
    body["pool"] = json!("train");
    assert_eq!(refusal(body.to_string().as_bytes()).reason, "pieces: must be 1 to 100000");
}
