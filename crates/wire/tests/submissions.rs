//! Tests of rejected submissions, with the exact reasons that users see.

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

fn parse_error(body: &[u8]) -> SubmissionError {
    JobSpec::parse(body).expect_err("malformed")
}

fn id() -> Option<JobId> {
    JobId::parse("j-000412")
}

#[test]
fn valid_submissions_are_parsed() {
    let spec = JobSpec::parse(submission().to_string().as_bytes()).expect("valid");
    assert_eq!(Some(spec.id.clone()), id());
    assert_eq!(spec.types.as_deref(), Some(&["g8".to_owned()][..]));
    assert_eq!(spec.zone, None);
    assert_eq!(spec.deadline_s, Some(900.0));
}

#[test]
fn rejections_of_bodies_that_are_not_objects_have_no_id() {
    for (body, reason) in [
        ("{", "body is not JSON: EOF while parsing an object at line 1 column 1"),
        ("[]", "body is not an object"),
        ("7", "body is not an object"),
    ] {
        let error = parse_error(body.as_bytes());
        assert_eq!((error.id.clone(), error.reason.as_str()), (None, reason));
        assert_eq!(error.to_string(), reason);
    }
}

#[test]
fn rejections_of_invalid_ids_have_no_id() {
    let mut body = submission();
    body["name_id"] = json!("k-1");
    let error = parse_error(body.to_string().as_bytes());
    assert_eq!((error.id, error.reason.as_str()), (None, "malformed job id"));
}

#[test]
fn rejections_name_the_missing_or_invalid_field_and_contain_the_id() {
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
        let error = parse_error(body.to_string().as_bytes());
        assert_eq!((error.id, error.reason.as_str()), (id(), reason), "{field}");
    }
    let mut body = submission();
    body.as_object_mut().expect("an object").remove("rank");
    let error = parse_error(body.to_string().as_bytes());
    assert_eq!((error.id, error.reason.as_str()), (id(), "missing field `rank`"));
}

#[test]
fn rejections_name_the_first_error() {
    let mut body = submission();
    body["pool"] = json!("");
    body["pieces"] = json!(0);
    body["vcpus"] = json!(-1.0);
    let error = parse_error(body.to_string().as_bytes());
    assert_eq!(error.reason, "pool: must have 1 to 120 bytes");
    body["pool"] = json!("train");
    assert_eq!(parse_error(body.to_string().as_bytes()).reason, "pieces: must be 1 to 100000");
}
