use super::*;

#[test]
fn operators_mistakes_are_named() {
    assert!(parse_operator("{\"lease_s\": 5}").is_ok());
    assert!(parse_operator("{\"leas_s\": 5}").unwrap_err().contains("leas_s"));
    let error = parse_operator("{\"hold_s\": 9}").unwrap_err();
    assert!(error.contains("hold_s"), "{error}");
    assert!(parse_operator("[]").is_err());
}

fn settings_of(lease: f64, cancel: f64, limits: &str) -> Settings {
    let text = format!(
        "node_name = \"n\"\ndomain = \"z\"\nclient_listen = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
         [endpoints]\ncloud = \"10.0.0.2:1\"\nstate = \"10.0.0.2:2\"\n[settings]\nsize = 1\n\
         [settings.workers]\nreport_s = 3.0\nlease_s = {lease:.1}\ncancel_s = {cancel:.1}\n\
         [settings.state]\nrps = 9.0\nwrite_rps = 9.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = 3.0\n[settings.limits]\n{limits}\n"
    );
    let platform = Platform::parse(&text).unwrap();
    Settings { platform, operator: Operator::default() }
}

#[test]
fn unfinished_jobs_and_answers_follow_the_memory() {
    let jobs = |limits: &str| settings_of(14.0, 34.0, limits).max_jobs();
    assert!(jobs("mem_mb = 37.0") >= 4000, "a small process keeps as many as before");
    assert!(jobs("mem_mb = 258.0") > 20_000, "a large one several times as many");
    assert_eq!(jobs(""), DEFAULT_MAX_JOBS);
    assert_eq!(jobs("mem_mb = 0.0"), DEFAULT_MAX_JOBS);
    assert_eq!(jobs("mem_mb = 0.001"), LEAST_MAX_JOBS as usize);
    assert_eq!(jobs("mem_mb = 1e300"), MOST_MAX_JOBS as usize);
    let answer = |limits: &str| settings_of(14.0, 34.0, limits).state_answer_limit();
    assert!(answer("mem_mb = 37.0") < 2 * 1024 * 1024);
    assert!(answer("mem_mb = 0.001") > 512 * 1024, "a page of a list always fits");
    assert_eq!(answer("mem_mb = 1e300"), MOST_ANSWER);
    let operator = parse_operator("{\"max_jobs\": 7}").unwrap();
    let settings = Settings { operator, ..settings_of(14.0, 34.0, "mem_mb = 37.0") };
    assert_eq!(settings.max_jobs(), 7);
    assert!(parse_operator("{\"max_jobs\": 0}").unwrap_err().contains("max_jobs"));
}

#[test]
fn a_quiet_watch_leaves_the_leader_fresh_enough_to_answer() {
    for (lease, cancel) in [(14.0, 34.0), (10.0, 10.0), (26.0, 27.0)] {
        let settings = settings_of(lease, cancel, "");
        assert!(settings.watch_wait() * 3 <= settings.answer_limit(), "{lease} {cancel}");
    }
}

#[test]
fn the_published_schema_is_that_of_the_settings() {
    let published = include_str!("../../../../docs/operator.schema.json");
    assert_eq!(published.trim(), schema().trim());
}
