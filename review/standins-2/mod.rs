//! What the cases of the second review share: stand-ins for clients, cache servers, the origin and discovery, and the
//! processes of the balancer. Only the standard library is used. Stand-ins run as processes of their own: a case starts its
//! own program again with the name of a role.
// No case uses all of it.
#![allow(dead_code)]

pub mod balancer;
pub mod client;
pub mod fleet;
pub mod memcache_server;
pub mod origin;
pub mod process;
pub mod record;
pub mod roles;

use std::time::Duration;

/// What a case found out.
pub enum Verdict {
    Held,
    Broken,
}

/// The longest that a case may run.
const MAX_RUN: Duration = Duration::from_secs(112);

/// Runs a case: plays the role that the command line names, or the case itself. The exit code is 1 if the rule was broken, 0
/// if it held, and 2 if the case could not run.
pub fn main(case: fn(&record::Record, bool) -> Result<Verdict, String>) -> ! {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(role) = arguments.first() {
        roles::play(role, &arguments[1..]);
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let record = match record::Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case begins, TROUBLE={}", u8::from(has_trouble)));
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        process::end_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(|| case(&record, has_trouble));
    process::end_all();
    let code = match result {
        Ok(Ok(Verdict::Held)) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(Ok(Verdict::Broken)) => {
            record.line("verdict: the rule was broken");
            1
        }
        Ok(Err(problem)) => {
            record.line(&format!("the case could not run: {problem}"));
            2
        }
        Err(_) => {
            record.line("the case could not run: panic");
            2
        }
    };
    println!("{}", record.last());
    std::process::exit(code);
}
