//! Tests of the settings module.

use super::*;

const MINIMAL_SETTINGS: &str = "node_name = \"n\"\ndomain = \"z\"\n\
    client_listen = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\nnew_field = [1, 2]\n\
    [endpoints]\ncloud = \"10.0.0.2:1\"\nstate = \"10.0.0.2:2\"\n[settings]\nsize = 7\n\
    [settings.workers]\nreport_s = 9.0\nlease_s = 40.0\ncancel_s = 70.0\n";

#[test]
fn missing_and_zero_limits_get_defaults_and_errors_name_invalid_limits() {
    let with_zero_limits =
        format!("{MINIMAL_SETTINGS}[settings.state]\nrps = 0.0\n[settings.cloud]\nrps = 0.0\n");
    for text in [MINIMAL_SETTINGS, &with_zero_limits] {
        let service = PlatformSettings::parse(text).expect("valid").service;
        assert!(service.state.rps > 0.0 && service.state.write_rps > 0.0);
        assert!(service.state.value_kb >= 8.0 && service.state.txn_ops >= 4);
        assert!(service.cloud.rps > 0.0 && service.size == 7);
    }
    let with_negative_limit = format!("{MINIMAL_SETTINGS}[settings.state]\nrps = -1.0\n");
    let error = PlatformSettings::parse(&with_negative_limit).expect_err("negative").to_string();
    assert!(error.contains("settings.state.rps"), "{error}");
}
