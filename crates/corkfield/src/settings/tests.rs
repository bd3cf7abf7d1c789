use super::*;

#[test]
fn operators_mistakes_are_named() {
    assert!(parse_operator("{\"lease_s\": 5}").is_ok());
    assert!(parse_operator("{\"leas_s\": 5}").unwrap_err().contains("leas_s"));
    let error = parse_operator("{\"hold_s\": 9}").unwrap_err();
    assert!(error.contains("hold_s"), "{error}");
    assert!(parse_operator("[]").is_err());
}

#[test]
fn a_quiet_watch_leaves_the_planner_fresh_enough_to_answer() {
    for (lease, cancel) in [(14.0, 34.0), (10.0, 10.0), (26.0, 27.0)] {
        let text = format!(
            "node_name = \"n\"\ndomain = \"z\"\nclient_listen = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
             [endpoints]\ncloud = \"10.0.0.2:1\"\nstate = \"10.0.0.2:2\"\n[settings]\nsize = 1\n\
             [settings.workers]\nreport_s = 3.0\nlease_s = {lease:.1}\ncancel_s = {cancel:.1}\n\
             [settings.state]\nrps = 9.0\nwrite_rps = 9.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
             [settings.cloud]\nrps = 3.0\n[settings.limits]\n"
        );
        let platform = Platform::parse(&text).unwrap();
        let settings = Settings { platform, operator: Operator::default() };
        assert!(settings.watch_wait() * 3 <= settings.answer_limit(), "{lease} {cancel}");
    }
}

#[test]
fn the_published_schema_is_that_of_the_settings() {
    let published = include_str!("../../../../docs/operator.schema.json");
    assert_eq!(published.trim(), schema().trim());
}
