//! Tests of the settings file: parsing, defaults of limits, and errors for invalid values.

use corkfield_wire::settings::PlatformSettings;
use std::time::Duration;

const SETTINGS: &str = r#"
node_name = "worker-0"
domain = "lahore"
client_listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"

[[seeds]]
node_name = "worker-1"
domain = "karachi"
endpoint = "10.0.0.2:8081"

[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[settings]
size = 3
zones = ["karachi", "lahore"]
clock_error_ms = 1000.0

[[settings.teams]]
name = "mains-team"
cpus = 72.0
cpus_max = 232.0

[[settings.objectives]]
kind = "finished"
class = "trace-decode"
within_s = 90.0
share = 0.8

[settings.workers]
report_s = 3.0
lease_s = 26.0
cancel_s = 46.0

[settings.state]
rps = 150.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12

[settings.cloud]
rps = 6.0
list_lag_s = 4.0

[settings.limits]
cpu_share = 0.04
mem_mb = 72.0
sockets = 1200
"#;

#[test]
fn all_fields_are_parsed() {
    let platform = PlatformSettings::parse(SETTINGS).expect("valid");
    assert_eq!((platform.node.as_str(), platform.zone.as_str()), ("worker-0", "lahore"));
    assert_eq!(platform.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(platform.peer_listen.to_string(), "10.0.0.1:8081");
    let [peer] = &platform.peers[..] else { panic!("{:?}", platform.peers) };
    assert_eq!((peer.node.as_str(), peer.zone.as_str()), ("worker-1", "karachi"));
    assert_eq!(peer.addr.to_string(), "10.0.0.2:8081");
    assert_eq!(platform.endpoints.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(platform.endpoints.state.to_string(), "10.2.0.1:2379");
    let service = &platform.service;
    assert_eq!(service.size, 3);
    assert_eq!(service.zones, ["karachi", "lahore"]);
    assert_eq!(service.max_clock_error_ms, 1000.0);
    assert_eq!((service.teams[0].cpus, service.teams[0].cpus_max), (72.0, 232.0));
    assert_eq!((service.teams[0].gpus, service.teams[0].gpus_max), (0.0, 0.0));
    assert_eq!(service.objectives[0].kind, "finished");
    assert_eq!(service.objectives[0].class.as_deref(), Some("trace-decode"));
    assert_eq!(service.objectives[0].within_s, Some(90.0));
    assert_eq!(service.objectives[0].share, Some(0.8));
    assert_eq!(service.workers.heartbeat_interval(), Duration::from_secs(3));
    assert_eq!(service.workers.lease_duration(), Duration::from_secs(26));
    assert_eq!(service.workers.cancel_timeout(), Duration::from_secs(46));
    assert_eq!((service.state.rps, service.state.write_rps), (150.0, 60.0));
    assert_eq!((service.state.value_kb, service.state.txn_ops), (16.0, 12));
    assert_eq!((service.cloud.rps, service.cloud.list_lag_s), (6.0, 4.0));
    assert_eq!((service.limits.cpu_share, service.limits.memory_mb), (0.04, 72.0));
    assert_eq!(service.limits.max_connections, 1200);
}

#[test]
fn missing_limits_get_defaults() {
    let limits_start = SETTINGS.find("[settings.state]").expect("in the text");
    let service = PlatformSettings::parse(&SETTINGS[..limits_start]).expect("valid").service;
    assert_eq!((service.state.rps, service.state.write_rps), (100.0, 40.0));
    assert_eq!((service.state.value_kb, service.state.txn_ops), (16.0, 8));
    assert_eq!((service.cloud.rps, service.cloud.list_lag_s), (2.0, 0.0));
    assert_eq!((service.limits.cpu_share, service.limits.memory_mb), (0.0, 0.0));
    assert_eq!(service.limits.max_connections, 0);
}

#[test]
fn errors_name_the_field_and_its_requirement() {
    let above_zero = "must be a number above 0";
    let node_name = "must be 1 to 100 bytes without spaces or slashes";
    let cases = [
        ("size = 3", "size = 0", "settings.size", above_zero),
        ("report_s = 3.0", "report_s = 0.0", "settings.workers.report_s", above_zero),
        ("lease_s = 26.0", "lease_s = -1.0", "settings.workers.lease_s", above_zero),
        ("cancel_s = 46.0", "cancel_s = 2e9", "settings.workers.cancel_s", above_zero),
        ("rps = 150.0", "rps = nan", "settings.state.rps", above_zero),
        ("write_rps = 60.0", "write_rps = -2.0", "settings.state.write_rps", above_zero),
        ("value_kb = 16.0", "value_kb = inf", "settings.state.value_kb", above_zero),
        ("value_kb = 16.0", "value_kb = 7.9", "settings.state.value_kb", "must be 8 or more"),
        ("txn_ops = 12", "txn_ops = 3", "settings.state.txn_ops", "must be 4 or more"),
        ("rps = 6.0", "rps = -6.0", "settings.cloud.rps", above_zero),
        ("list_lag_s = 4.0", "list_lag_s = -1.0", "settings.cloud.list_lag_s", "must be 0 or more"),
        ("list_lag_s = 4.0", "list_lag_s = 2e6", "settings.cloud.list_lag_s", "must be 0 or more"),
        ("cpus = 72.0", "cpus = -1.0", "settings.teams", "amounts must be 0 or more"),
        ("cpus_max = 232.0", "gpus_max = nan", "settings.teams", "amounts must be 0 or more"),
        ("\"worker-0\"", "\"\"", "node_name", node_name),
        ("\"worker-0\"", "\"worker 0\"", "node_name", node_name),
        ("\"worker-0\"", "\"worker/0\"", "node_name", node_name),
    ];
    for (valid, invalid, field, reason) in cases {
        assert!(SETTINGS.contains(valid), "{valid}");
        let error =
            PlatformSettings::parse(&SETTINGS.replacen(valid, invalid, 1)).expect_err(invalid);
        assert_eq!(error.to_string(), format!("{field}: {reason}"), "{invalid}");
    }
    let error = PlatformSettings::parse("node_name = 7").expect_err("no settings").to_string();
    assert!(error.contains("node_name = 7"), "{error}");
}
