//! Drivers of the review's cases: `review-standins CASE FOLDER RECORD`. Stand-ins of the state
//! service, the cloud, workers and users run in this process; controllers are processes of their
//! own. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cloud;
mod lab;
mod left_waiting;
mod no_takeover;
mod not_done;
mod ran_twice;
mod worker;

use lab::{Record, EXIT_NOT_RUN};
use std::path::Path;
use std::time::Duration;

const TIME_LIMIT: Duration = Duration::from_secs(118);

async fn run_case(case: &str, folder: &Path, record: std::rc::Rc<Record>) -> i32 {
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    record.say(&format!("case {case}, TROUBLE={trouble}"));
    let share = std::env::var("SHARE").ok().and_then(|s| s.parse().ok()).unwrap_or(1.0);
    match case {
        "not-done" => {
            let options = not_done::Options {
                is_losing_answers: matches!(trouble.as_str(), "1" | "lost"),
                has_sick_machines: matches!(trouble.as_str(), "1" | "sick"),
                share,
            };
            not_done::run(folder, record, options).await
        }
        "left-waiting" => left_waiting::run(folder, record, trouble == "1").await,
        "no-takeover" => {
            let options = no_takeover::Options {
                has_storm: matches!(trouble.as_str(), "1" | "storm"),
                has_freeze: matches!(trouble.as_str(), "1" | "freeze"),
                jobs: std::env::var("JOBS").ok().and_then(|s| s.parse().ok()).unwrap_or(80),
            };
            no_takeover::run(folder, record, options).await
        }
        "ran-twice" => {
            let options = ran_twice::Options {
                has_late_writes: matches!(trouble.as_str(), "1" | "late"),
                has_hang_and_crash: matches!(trouble.as_str(), "1" | "crash"),
            };
            ran_twice::run(folder, record, options).await
        }
        _ => EXIT_NOT_RUN,
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER RECORD");
        std::process::exit(EXIT_NOT_RUN);
    };
    let record = Record::create(Path::new(record)).expect("the record is writable");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let code = local.block_on(&runtime, async {
        let case = run_case(case, Path::new(folder), record.clone());
        match tokio::time::timeout(TIME_LIMIT, case).await {
            Ok(code) => code,
            Err(_) => {
                record.say("out of time");
                EXIT_NOT_RUN
            }
        }
    });
    std::process::exit(code);
}
