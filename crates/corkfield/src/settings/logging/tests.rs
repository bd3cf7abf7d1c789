use super::*;

#[test]
fn log_format_defaults_to_text() {
    assert_eq!(LogFormat::parse(None), Ok(LogFormat::Text));
    assert_eq!(LogFormat::parse(Some("")), Ok(LogFormat::Text));
    assert_eq!(LogFormat::parse(Some("text")), Ok(LogFormat::Text));
    assert_eq!(LogFormat::parse(Some("json")), Ok(LogFormat::Json));
}

#[test]
fn errors_name_unknown_log_settings() {
    let format = LogFormat::parse(Some("JSON")).unwrap_err();
    assert_eq!(format.to_string(), "LOG_FORMAT: `JSON` is not text or json");
    let level = parse_level(Some("trace")).unwrap_err();
    assert_eq!(level.to_string(), "LOG_LEVEL: `trace` is not error, warn, info or debug");
}

#[test]
fn log_level_defaults_to_info() {
    assert_eq!(parse_level(None), Ok(LevelFilter::INFO));
    assert_eq!(parse_level(Some("")), Ok(LevelFilter::INFO));
    assert_eq!(parse_level(Some("error")), Ok(LevelFilter::ERROR));
    assert_eq!(parse_level(Some("warn")), Ok(LevelFilter::WARN));
    assert_eq!(parse_level(Some("info")), Ok(LevelFilter::INFO));
    assert_eq!(parse_level(Some("debug")), Ok(LevelFilter::DEBUG));
}
