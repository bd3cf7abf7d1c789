use super::*;

#[test]
fn deprecated_keys_are_kept_beside_their_replacements() {
    let leading = LeaderOverview {
        term: Term::new(4),
        jobs: 1,
        passes: 2,
        steps: 3,
        waiting_tasks: 0,
        running_tasks: 5,
        oldest_waiting: None,
        oldest_waiting_s: None,
        most_claims: 6,
        jobs_without_supply: 2,
        without_supply: vec![UnsuppliedView {
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 16.0,
            jobs: 2,
            reason: "not requested",
            longest_waiting: "j-000002".to_owned(),
            waited_s: 31.0,
        }],
        machines_up: 7,
        machines_booting: 8,
        machines_unreconciled: 9,
        machines_unfenced: 9,
    };
    let dead_lettered = ["j-000001".to_owned()];
    let body = ControllerOverview {
        node: "a",
        leader: Some("a"),
        planner: Some("a"),
        unfinished_jobs: 1,
        dead_lettered: &dead_lettered,
        set_aside: &dead_lettered,
        state_age_s: 0.5,
        leading: Some(&leading),
        planning: Some(&leading),
    };
    let leading = serde_json::json!({
        "term": 4, "jobs": 1, "passes": 2, "steps": 3, "waiting_tasks": 0, "running_tasks": 5,
        "oldest_waiting": null, "oldest_waiting_s": null, "most_claims": 6,
        "jobs_without_supply": 2,
        "without_supply": [{
            "cpus": 8.0, "gpus": 0.0, "memory_gb": 16.0, "jobs": 2, "reason": "not requested",
            "longest_waiting": "j-000002", "waited_s": 31.0,
        }],
        "machines_up": 7,
        "machines_booting": 8, "machines_unreconciled": 9, "machines_unfenced": 9,
    });
    let expected = serde_json::json!({
        "node": "a", "leader": "a", "planner": "a", "unfinished_jobs": 1,
        "dead_lettered": ["j-000001"], "set_aside": ["j-000001"], "state_age_s": 0.5,
        "leading": leading, "planning": leading,
    });
    assert_eq!(serde_json::to_value(&body).expect("an overview"), expected);

    let standby = ControllerOverview { leading: None, planning: None, ..body };
    let json = serde_json::to_value(&standby).expect("an overview");
    assert!(json.get("planning").is_none() && json.get("leading").is_none());
}
