//! Stand-ins for clients, cache servers, the origin and discovery on loopback, around real processes of the balancer.
//!
//! `standins CASE FOLDER` plays one case and writes `record.txt` to the folder. It exits with 1 if the case's rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` plays it without the disruption.

mod client;
mod late_answer;
mod load;
mod memory;
mod origin;
mod platform;
mod run;
mod site;
mod slow_reader;

use std::process::ExitCode;
use std::time::Duration;

use run::{Run, Verdict};

/// The longest time that a run may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(Verdict::CouldNotRun as u8);
    };
    let run = match Run::begin(folder, LIMIT) {
        Ok(run) => run,
        Err(error) => {
            eprintln!("cannot begin the run: {error}");
            return ExitCode::from(Verdict::CouldNotRun as u8);
        }
    };
    let played = match case.as_str() {
        "late-answer" => late_answer::play(&run),
        "memory" => memory::play(&run),
        "slow-reader" => slow_reader::play(&run),
        _ => Err(format!("there is no case {case}")),
    };
    let verdict = played.unwrap_or_else(|problem| {
        run.say(&format!("the case could not run: {problem}"));
        Verdict::CouldNotRun
    });
    run.say(match verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "the rule was broken",
        Verdict::CouldNotRun => "the case could not run",
    });
    run.finish();
    ExitCode::from(verdict as u8)
}
