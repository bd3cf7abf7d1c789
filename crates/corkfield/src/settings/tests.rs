use super::*;

#[test]
fn operators_mistakes_are_named() {
    assert!(Operator::parse("{\"lease_s\": 5}").is_ok());
    assert!(Operator::parse("{\"leas_s\": 5}").unwrap_err().to_string().contains("leas_s"));
    let error = Operator::parse("{\"hold_s\": 9}").unwrap_err().to_string();
    assert!(error.contains("hold_s"), "{error}");
    assert!(Operator::parse("[]").is_err());
}

/// Settings of a lone controller, with these times of workers in seconds.
pub(crate) fn settings_of(lease: f64, cancel: f64, limits: &str) -> Settings {
    let text = format!(
        "node_name = \"n\"\ndomain = \"z\"\nclient_listen = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
         [endpoints]\ncloud = \"10.0.0.2:1\"\nstate = \"10.0.0.2:2\"\n[settings]\nsize = 1\n\
         [settings.workers]\nreport_s = 3.0\nlease_s = {lease:.1}\ncancel_s = {cancel:.1}\n\
         [settings.state]\nrps = 9.0\nwrite_rps = 9.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = 3.0\n[settings.limits]\n{limits}\n"
    );
    let platform = PlatformSettings::parse(&text).unwrap();
    Settings { platform, operator: Operator::default() }
}

#[test]
fn unfinished_jobs_and_answers_follow_the_memory() {
    let jobs = |limits: &str| settings_of(14.0, 34.0, limits).max_jobs();
    assert!(jobs("mem_mb = 37.0") >= 4000, "a small process keeps as many as before");
    assert!(jobs("mem_mb = 258.0") > 20_000, "a large one several times as many");
    assert_eq!(jobs(""), DEFAULT_MAX_JOBS);
    assert_eq!(jobs("mem_mb = 0.0"), DEFAULT_MAX_JOBS);
    assert_eq!(jobs("mem_mb = 0.001"), MIN_MAX_JOBS as usize);
    assert_eq!(jobs("mem_mb = 1e300"), MAX_MAX_JOBS as usize);
    let answer = |limits: &str| settings_of(14.0, 34.0, limits).state_answer_limit();
    assert!(answer("mem_mb = 37.0") < 2 * 1024 * 1024);
    assert!(answer("mem_mb = 0.001") > 512 * 1024, "a page of a list always fits");
    assert_eq!(answer("mem_mb = 1e300"), MAX_ANSWER_LIMIT);
    let operator = Operator::parse("{\"max_jobs\": 7}").unwrap();
    let settings = Settings { operator, ..settings_of(14.0, 34.0, "mem_mb = 37.0") };
    assert_eq!(settings.max_jobs(), 7);
    assert!(Operator::parse("{\"max_jobs\": 0}").unwrap_err().to_string().contains("max_jobs"));
}

#[test]
fn a_quiet_watch_leaves_the_leader_fresh_enough_to_answer() {
    for (lease, cancel) in [(14.0, 34.0), (10.0, 10.0), (26.0, 27.0)] {
        let settings = settings_of(lease, cancel, "");
        assert!(settings.watch_wait() * 3 <= settings.answer_limit(), "{lease} {cancel}");
    }
}

#[test]
fn mistakes_are_reported_in_the_words_that_operators_know() {
    let message = |text: &str| Operator::parse(text).unwrap_err().to_string();
    assert_eq!(message("{\"max_jobs\": 0}"), "max_jobs: must be from 1 to 1000000");
    assert_eq!(message("{\"start_proof_s\": 0}"), "start_proof_s: must be from 0.05 to 60");
    assert_eq!(message("[]"), "must be a JSON object");
    let path = PathBuf::from("operator.json");
    let error = LoadError::Operator { path, error: OperatorError::NotAnObject };
    assert_eq!(error.to_string(), "operator.json: must be a JSON object");
}

#[test]
fn the_summary_says_what_the_settings_come_to() {
    let summary = settings_of(14.0, 34.0, "").summary();
    let (platform, operator) = summary.split_once("operators' settings: ").unwrap();
    assert_eq!(
        platform,
        "controller n in zone z, 1 controllers, 0 teams\n\
         connections: 585 accepted, 558 of them kept between requests, 225 of users, \
         198 to machines\n\
         users and workers: 10.0.0.1:1\nunfinished jobs: 20000 at most\n\
         controllers: 10.0.0.1:2\nstate service: 10.0.0.2:2\ncloud: 10.0.0.2:1\n"
    );
    assert!(operator.starts_with("{\n  \"lease_s\": 10.0,\n"), "{operator}");
    assert!(operator.ends_with("\n}\nsettings are valid"), "{operator}");
}

#[test]
fn the_published_schema_is_that_of_the_settings() {
    let published = include_str!("../../../../docs/operator.schema.json");
    assert_eq!(published.trim(), schema().trim());
}
