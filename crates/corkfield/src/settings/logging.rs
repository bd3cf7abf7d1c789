//! Logging, whose level and format the environment variables `LOG_LEVEL` and `LOG_FORMAT` set.

use tracing_subscriber::filter::LevelFilter;

/// An error in the environment variables that set up logging.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoggingError {
    /// `LOG_LEVEL` names no level.
    #[error("LOG_LEVEL: `{0}` is not error, warn, info or debug")]
    UnknownLevel(String),
    /// `LOG_FORMAT` names no format.
    #[error("LOG_FORMAT: `{0}` is not text or json")]
    UnknownFormat(String),
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object a line, with the fields of the event at its top level.
    Json,
}

impl LogFormat {
    /// Parses a value of `LOG_FORMAT`; the default is text.
    fn parse(value: Option<&str>) -> Result<Self, LoggingError> {
        match value {
            Some("text" | "") | None => Ok(Self::Text),
            Some("json") => Ok(Self::Json),
            Some(other) => Err(LoggingError::UnknownFormat(other.to_owned())),
        }
    }
}

/// Parses a value of `LOG_LEVEL`; the default is info.
fn parse_level(value: Option<&str>) -> Result<LevelFilter, LoggingError> {
    match value {
        Some("error") => Ok(LevelFilter::ERROR),
        Some("warn") => Ok(LevelFilter::WARN),
        Some("info" | "") | None => Ok(LevelFilter::INFO),
        Some("debug") => Ok(LevelFilter::DEBUG),
        Some(other) => Err(LoggingError::UnknownLevel(other.to_owned())),
    }
}

/// Starts logging to standard error, at the level of `LOG_LEVEL` and in the format of `LOG_FORMAT`.
///
/// # Errors
///
/// If one of the two environment variables has an unknown value.
pub fn start_logging() -> Result<(), LoggingError> {
    let level = parse_level(std::env::var("LOG_LEVEL").ok().as_deref())?;
    let format = LogFormat::parse(std::env::var("LOG_FORMAT").ok().as_deref())?;
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_target(false)
        .with_ansi(false);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
