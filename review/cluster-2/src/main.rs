//! Runs the cases of the second review: a small deployment of real controllers on loopback
//! addresses, with stand-ins for the state service, the cloud, the workers, the load balancer and
//! the users.
//!
//! `corkfield-review-cluster-2 CASE ROOT RECORD`, with `TROUBLE=0` in the environment for a run
//! without the disruption. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could
//! not run.

mod balancer;
mod cases;
mod cloud;
mod cluster;
mod http1;
mod ports;
mod proxy;
mod record;
mod user;
mod worker;
mod world;

use cases::Outcome;
use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// No run takes longer.
const TIME_LIMIT: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: corkfield-review-cluster-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("corkfield-review-{}", std::process::id()));
    let outcome = run(case, Path::new(root), Path::new(record), &folder, has_trouble);
    if std::env::var("KEEP_FOLDER").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(
    case: &str,
    root: &Path,
    record: &Path,
    folder: &PathBuf,
    has_trouble: bool,
) -> std::io::Result<Outcome> {
    std::fs::create_dir_all(folder)?;
    let record = Rc::new(Record::create(record)?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let running = cases::run(case, root, folder, record.clone(), has_trouble);
        let outcome = tokio::time::timeout(TIME_LIMIT, running).await;
        let outcome = outcome.unwrap_or_else(|_| {
            record.say("the case took too long");
            Ok(Outcome::NotRun)
        });
        if let Ok(outcome) = &outcome {
            record.say(format!("{case}, trouble {has_trouble}: {outcome:?}"));
        }
        outcome
    })
}
