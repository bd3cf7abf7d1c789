use super::*;

#[test]
fn errors_in_operator_settings_name_the_field() {
    assert!(Operator::parse("{\"lease_s\": 5}").is_ok());
    assert!(Operator::parse("{\"leas_s\": 5}").unwrap_err().to_string().contains("leas_s"));
    let error = Operator::parse("{\"hold_s\": 9}").unwrap_err().to_string();
    assert!(error.contains("hold_s"), "{error}");
    assert!(Operator::parse("[]").is_err());
}

/// Returns settings of a single controller. `lease` is the workers' lease and `cancel` the time
/// limit of cancellations, in seconds; `limits` are TOML lines of the platform's limits.
pub(crate) fn test_settings(lease: f64, cancel: f64, limits: &str) -> Settings {
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
fn limits_of_jobs_and_answers_depend_on_the_memory() {
    let jobs = |limits: &str| test_settings(14.0, 34.0, limits).max_jobs();
    assert!(jobs("mem_mb = 37.0") >= 4000, "a process with little memory keeps 4,000 jobs");
    assert!(
        jobs("mem_mb = 258.0") > 20_000,
        "a process with much memory keeps several times as many"
    );
    assert_eq!(jobs(""), DEFAULT_MAX_JOBS);
    assert_eq!(jobs("mem_mb = 0.0"), DEFAULT_MAX_JOBS);
    assert_eq!(jobs("mem_mb = 0.001"), MIN_MAX_JOBS as usize);
    assert_eq!(jobs("mem_mb = 1e300"), MAX_MAX_JOBS as usize);
    let answer = |limits: &str| test_settings(14.0, 34.0, limits).max_state_answer_bytes();
    assert!(answer("mem_mb = 37.0") < 2 * 1024 * 1024);
    assert!(answer("mem_mb = 0.001") > 512 * 1024, "a page of a list always fits");
    assert_eq!(answer("mem_mb = 1e300"), MAX_STATE_ANSWER_BYTES);
    let operator = Operator::parse("{\"max_jobs\": 7}").unwrap();
    let settings = Settings { operator, ..test_settings(14.0, 34.0, "mem_mb = 37.0") };
    assert_eq!(settings.max_jobs(), 7);
    assert!(Operator::parse("{\"max_jobs\": 0}").unwrap_err().to_string().contains("max_jobs"));
}

#[test]
fn a_watch_without_changes_is_short_compared_with_the_answer_limit() {
    for (lease, cancel) in [(14.0, 34.0), (10.0, 10.0), (26.0, 27.0)] {
        let settings = test_settings(lease, cancel, "");
        assert!(settings.watch_timeout() * 3 <= settings.answer_limit(), "{lease} {cancel}");
    }
}

#[test]
fn errors_use_the_names_of_the_operator_settings() {
    let message = |text: &str| Operator::parse(text).unwrap_err().to_string();
    assert_eq!(message("{\"max_jobs\": 0}"), "max_jobs: must be from 1 to 1000000");
    assert_eq!(message("{\"start_proof_s\": 0}"), "start_proof_s: must be from 0.05 to 60");
    assert_eq!(message("[]"), "must be a JSON object");
    let path = PathBuf::from("operator.json");
    let error = LoadError::Operator { path, error: OperatorError::NotAnObject };
    assert_eq!(error.to_string(), "operator.json: must be a JSON object");
}

#[test]
fn summary_lists_the_effective_settings() {
    let summary = test_settings(14.0, 34.0, "").summary();
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
fn published_schema_matches_the_operator_settings() {
    let published = include_str!("../../../../docs/operator.schema.json");
    assert_eq!(published.trim(), schema().trim());
}
