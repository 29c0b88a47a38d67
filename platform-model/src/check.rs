//! Checks of an experiment's file beyond its form: values out of range, faults on who does not exist, faults that
//! contradict each other. Each problem names the line, the field and what would be right.

#[cfg(test)]
mod tests;

use crate::experiment::{Experiment, Fault, Problem, What};
use crate::group::{members, Members};
use crate::rng::{seeded_rng, RngStream};

/// The most processes of a run: as many as a fleet's membership holds.
const MOST_BALANCERS: usize = 1_024;
/// The most cache servers.
const MAX_SERVERS: usize = 1_024;

/// Everything that is wrong with an experiment; `text` is the file's, for the lines.
pub fn check(e: &Experiment, text: &str) -> Vec<Problem> {
    let mut found = Found { text, problems: Vec::new() };
    let whole = |x: f64| (0.0..=1.0).contains(&x);
    let over = |x: f64| x > 0.0 && x.is_finite();
    found.need(over(e.seconds), "", "seconds", "is a number over 0");
    found.need(
        (1..=MOST_BALANCERS).contains(&e.fleet.balancers),
        "fleet",
        "balancers",
        "lies from 1 to 1024",
    );
    found.need((1..=MAX_SERVERS).contains(&e.fleet.servers), "fleet", "hosts", "lies from 1 to 1024");
    found.need((1..=16).contains(&e.fleet.zones), "fleet", "zones", "lies from 1 to 16");
    found.need(e.fleet.told != Some(0), "fleet", "told", "is at least 1");
    let weights = &e.fleet.weights;
    found.need(
        !weights.is_empty() && weights.iter().all(|w| over(*w)),
        "fleet",
        "weights",
        "are numbers over 0",
    );
    found.need(over(e.load.rate), "load", "rate", "is a number over 0");
    found.need(e.load.keys > 0, "load", "keys", "is at least 1");
    found.need(e.load.zipf >= 0.0 && e.load.zipf.is_finite(), "load", "zipf", "is a number from 0 up");
    found.need(whole(e.load.writes), "load", "writes", "is a share from 0 to 1");
    found.need(whole(e.load.drift), "load", "drift", "is a share from 0 to 1");
    found.need(over(e.load.ramp), "load", "ramp", "is a number over 0");
    found.need((0.0..=600.0).contains(&e.load.warm), "load", "warm", "lies from 0 to 600 s");
    let uneven = e.load.uneven;
    found.need(uneven.is_none_or(|u| whole(u.share)), "load", "uneven", "has a share from 0 to 1");
    found.need(
        uneven.is_none_or(|u| u.at > 0.0 && u.at <= 1.0),
        "load",
        "uneven",
        "has an at over 0 and up to 1",
    );
    let hot: f64 = e.load.hot.iter().map(|hot| hot.share).sum();
    found.need(
        e.load.hot.iter().all(|h| whole(h.share) && h.at >= 0.0),
        "load",
        "hot",
        "has shares from 0 to 1",
    );
    found.need(hot <= 1.0, "load", "hot", "has shares that are 1 at most together");
    let burst = |b: &crate::experiment::Burst| b.at >= 0.0 && b.lasts > 0.0 && b.times >= 0.0;
    found.need(e.load.burst.iter().all(burst), "load", "burst", "begins at 0 or later and lasts over 0 s");
    found.need(whole(e.clients.honour), "clients", "honour", "is a share from 0 to 1");
    found.need(whole(e.clients.impatient), "clients", "impatient", "is a share from 0 to 1");
    found.need(over(e.clients.backoff_ms), "clients", "backoff_ms", "is a number over 0");
    found.need(over(e.servers.work_ms), "hosts", "work_ms", "is a number over 0");
    found.need(e.servers.slots > 0, "hosts", "slots", "is at least 1");
    found.need(over(e.servers.keep), "hosts", "keep", "is a number over 0");
    found.need(
        e.servers.cold_from > 0.0 && whole(e.servers.cold_from),
        "hosts",
        "cold_from",
        "is a share over 0",
    );
    found.need(over(e.servers.fall_times), "hosts", "fall_times", "is a number over 0");
    found.need(over(e.origin.capacity), "origin", "capacity", "is a number over 0");
    found.need(over(e.origin.work_ms), "origin", "work_ms", "is a number over 0");
    found.need(over(e.origin.fall_times), "origin", "fall_times", "is a number over 0");
    found.need(over(e.discovery.calls_per_s), "discovery", "calls_per_s", "is a number over 0");
    found.need(e.net.same_ms >= 0.0 && e.net.cross_ms >= 0.0, "net", "cross_ms", "is a number from 0 up");
    let mut rng = seeded_rng(e.seed, RngStream::Groups);
    let mut named = Vec::new();
    for (number, fault) in e.fault.iter().enumerate() {
        named.push(found.fault(e, number, fault, &mut rng));
    }
    contradictions(&mut found, e, &named);
    found.problems
}

struct Found<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Found<'_> {
    fn need(&mut self, holds: bool, table: &str, field: &str, right: &str) {
        if !holds {
            let line = line_of(self.text, &format!("[{table}]"), 0, field);
            let field = if table.is_empty() { field.to_owned() } else { format!("{table}.{field}") };
            self.problems.push(Problem { line, field, what: format!("what is given cannot be: it {right}") });
        }
    }

    fn at_fault(&mut self, number: usize, field: &str, what: String) {
        let line = line_of(self.text, "[[fault]]", number, field);
        self.problems.push(Problem { line, field: format!("fault {}: {field}", number + 1), what });
    }

    /// Checks one fault; gives the members of its groups.
    fn fault(
        &mut self,
        e: &Experiment,
        number: usize,
        fault: &Fault,
        rng: &mut crate::rng::SeededRng,
    ) -> Vec<Members> {
        if !(fault.at >= 0.0 && fault.at.is_finite()) {
            self.at_fault(number, "at", "it begins at 0 s or later".into());
        } else if fault.at > e.seconds {
            self.at_fault(number, "at", format!("it begins after the load has ended, at {} s", e.seconds));
        }
        if fault.lasts.is_some_and(|lasts| lasts.is_nan() || lasts <= 0.0) {
            self.at_fault(number, "for", "it lasts longer than 0 s".into());
        }
        let allowed = fields_of(fault.what);
        let given = [
            ("for", fault.lasts.is_some()),
            ("between", fault.between.is_some()),
            ("direction", fault.direction.is_some()),
            ("who", fault.who.is_some()),
            ("share", fault.share.is_some()),
            ("ms", fault.ms.is_some()),
            ("jitter", fault.jitter.is_some()),
            ("times", fault.times.is_some()),
            ("back", fault.back.is_some()),
            ("every", fault.every.is_some()),
            ("seconds", fault.seconds.is_some()),
        ];
        for (name, there) in given {
            match allowed.iter().find(|field| field.trim_end_matches('!') == name) {
                Some(field) if field.ends_with('!') && !there => {
                    self.at_fault(number, name, format!("{:?} needs it", fault.what));
                }
                None if there => self.at_fault(number, name, format!("{:?} has no such field", fault.what)),
                _ => {}
            }
        }
        if fault.share.is_some_and(|share| !(share > 0.0 && share <= 1.0)) {
            self.at_fault(number, "share", "a share lies over 0 and up to 1".into());
        }
        for (name, value) in
            [("ms", fault.ms), ("jitter", fault.jitter), ("back", fault.back), ("seconds", fault.seconds)]
        {
            if value.is_some_and(|value| value.is_nan() || value < 0.0) {
                self.at_fault(number, name, "it is a number from 0 up".into());
            }
        }
        for (name, value) in [("times", fault.times), ("every", fault.every)] {
            if value.is_some_and(|value| value.is_nan() || value <= 0.0) {
                self.at_fault(number, name, "it is a number over 0".into());
            }
        }
        let texts: Vec<(&str, &String)> = fault
            .between
            .iter()
            .flatten()
            .map(|text| ("between", text))
            .chain(fault.who.iter().map(|text| ("who", text)))
            .collect();
        let mut named = Vec::new();
        for (field, text) in texts {
            match members(text, &e.fleet, rng) {
                Ok(group) => {
                    if let Some(problem) = wrong_target(fault.what, &group) {
                        self.at_fault(number, field, format!("{text:?}: {problem}"));
                    }
                    named.push(group);
                }
                Err(problem) => self.at_fault(number, field, problem),
            }
        }
        let packets = matches!(fault.what, What::Repeat | What::Reorder);
        if packets && named.iter().any(|group| !group.servers.is_empty() || group.origin || group.discovery) {
            let why = "TCP hides repeats and disorder from both ends: name balancers on both sides";
            self.at_fault(number, "between", why.into());
        }
        if let (false, [first, second]) = (packets, &named[..]) {
            if first.balancers.is_empty() && second.balancers.is_empty() {
                let why = "no link leads from the one to the other: one side has to name balancers";
                self.at_fault(number, "between", why.into());
            }
        }
        named
    }
}

/// The fields that a kind of fault has beside `at` and `what`; those with a `!` it cannot do without.
fn fields_of(what: What) -> &'static [&'static str] {
    match what {
        What::Cut | What::Reset => &["for", "between!", "direction"],
        What::Lose | What::Repeat | What::Reorder | What::Spoil => {
            &["for", "between!", "direction", "share!"]
        }
        What::Delay => &["for", "between!", "direction", "ms!", "jitter"],
        What::Kill | What::Term => &["who!", "back"],
        What::Freeze => &["for!", "who!"],
        What::Roll => &["who!", "share!", "every!"],
        What::Silent | What::Drain | What::Gone => &["for", "who!"],
        What::Slow => &["for", "who!", "times!"],
        What::Failing => &["for", "who!", "share!"],
        What::Restart | What::Replace => &["who!"],
        What::Flap => &["for", "who!", "every!"],
        What::OriginSlow => &["for", "times!"],
        What::DiscoveryDown => &["for"],
        What::ListLate => &["for", "seconds!"],
    }
}

/// Why this fault cannot be on these.
fn wrong_target(what: What, group: &Members) -> Option<&'static str> {
    match what {
        What::Kill | What::Term | What::Freeze | What::Roll => {
            (group.balancers.is_empty()).then_some("it is a fault of processes: name balancers")
        }
        What::Silent
        | What::Slow
        | What::Failing
        | What::Drain
        | What::Gone
        | What::Restart
        | What::Replace
        | What::Flap => {
            (group.servers.is_empty()).then_some("it is a fault of cache hosts: name hosts or a zone")
        }
        _ => None,
    }
}

/// What a server or a process cannot be at once: out of the list and in it, frozen and killed.
fn contradictions(found: &mut Found, e: &Experiment, named: &[Vec<Members>]) {
    let span = |fault: &Fault| (fault.at, fault.at + fault.lasts.unwrap_or(f64::INFINITY));
    for (later, b) in e.fault.iter().enumerate() {
        for (earlier, a) in e.fault[..later].iter().enumerate() {
            let ends = |what| matches!(what, What::Drain | What::Gone | What::Restart | What::Replace);
            let state = |what| matches!(what, What::Silent | What::Flap);
            let stops = |what| matches!(what, What::Kill | What::Term | What::Freeze | What::Roll);
            let both = (ends(a.what) && ends(b.what))
                || (state(a.what) && state(b.what))
                || (stops(a.what) && stops(b.what));
            let once =
                |what| matches!(what, What::Restart | What::Replace | What::Kill | What::Term | What::Roll);
            let (mut one, mut two) = (span(a), span(b));
            for (fault, span) in [(a, &mut one), (b, &mut two)] {
                if once(fault.what) {
                    span.1 = span.0 + fault.back.unwrap_or(0.0);
                }
            }
            let meet = one.0 <= two.1 && two.0 <= one.1;
            let shared = named[earlier].iter().any(|x| {
                named[later].iter().any(|y| {
                    x.servers.iter().any(|n| y.servers.contains(n)) && !stops(a.what)
                        || x.balancers.iter().any(|n| y.balancers.contains(n)) && stops(a.what)
                })
            });
            if both && meet && shared {
                let (who, what) = (earlier + 1, a.what);
                let why = format!("contradicts fault {who} ({what:?}): both name the same at the same time");
                found.at_fault(later, "what", why);
            }
        }
    }
}

/// The line of a field in the so-manieth table of this head; of the table's head where the field is not there.
fn line_of(text: &str, head: &str, number: usize, field: &str) -> Option<usize> {
    let (mut seen, mut inside, mut at) = (0, head == "[]", None);
    for (place, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            inside = line.starts_with(head) && {
                seen += 1;
                seen == number + 1
            };
            if inside {
                at = Some(place + 1);
            }
        } else if inside && line.split('=').next().is_some_and(|name| name.trim() == field) {
            return Some(place + 1);
        }
    }
    at
}
