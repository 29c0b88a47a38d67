//! The origin sends some good answers a second time, some milliseconds later, when nothing else waits on the connection.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::load::Load;
use crate::origin::{good_answer, listed_origin, start_origin, write_all};
use crate::platform::{start_delayed_way, Caches, Random};
use crate::run::{Run, Verdict};
use crate::site::{start_cache_hosts, Site};

/// The time between the balancer's zone and the origin's, one way: 10 to 20 ms on the site's page.
const WAY_TO_ORIGIN: Duration = Duration::from_millis(15);
/// How much later the second answer comes.
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(5);
/// One in this many answers comes twice.
const SECOND_ANSWER_EVERY: u64 = 20;

pub fn play(run: &Arc<Run>) -> Result<Verdict, String> {
    let (caches, random) = (Arc::new(Caches::default()), Arc::new(Random::new(20_261_204)));
    let second_answers = Arc::new(AtomicUsize::new(0));
    let (origin_run, origin_random, counter) =
        (Arc::clone(run), Arc::clone(&random), Arc::clone(&second_answers));
    let origin = start_origin(run, &caches, &random, move |connection, request, body| {
        let answer = good_answer(body);
        let is_written = write_all(connection, &answer);
        if origin_run.trouble && origin_random.below(SECOND_ANSWER_EVERY) == 0 {
            thread::sleep(SECOND_ANSWER_AFTER);
            if connection.has_nothing_waiting() {
                origin_run.note(&format!("origin sends its answer to {} a second time", request.id));
                counter.fetch_add(1, Ordering::Relaxed);
                return write_all(connection, &answer);
            }
        }
        is_written
    });
    let mut servers = start_cache_hosts(run, &caches);
    servers.push(listed_origin(start_delayed_way(origin, WAY_TO_ORIGIN)));
    let site = Site::start(run, &servers)?;
    let seen = Load::usual(Duration::from_secs(40)).play(run, site.address, &random);
    drop(site);
    let second_answers = second_answers.load(Ordering::Relaxed);
    run.say(&format!("second answers of the origin: {second_answers}"));
    Ok(seen.verdict(run, (second_answers > 0) == run.trouble))
}
