//! `report.html`: one self-contained page about a run, made from the files that the run left.

use std::fmt::Write as _;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use juniperladder_platform_model::checker::rules::Violation;
use juniperladder_platform_model::checker::series::Second;
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::summary::Summary;
use serde::de::DeserializeOwned;

use crate::charts;
use crate::exit::{KEPT, NOT_ALLOWED};

type Error = Box<dyn std::error::Error>;

/// Breaches that are shown with their stories.
const SHOWN: usize = 50;

const STYLE: &str =
    "body{font:15px/1.45 system-ui,sans-serif;margin:24px auto;max-width:980px;color:#222;padding:0 12px}\
    h1{font-size:22px}h2{font-size:17px;margin-top:28px}table{border-collapse:collapse;margin:8px 0}\
    td,th{padding:3px 12px 3px 0;text-align:left;border-bottom:1px solid #eee}td.n{text-align:right}\
    pre{background:#f6f6f6;padding:8px;overflow-x:auto;font-size:13px}.bad{color:#b71c1c}.good{color:#2e7d32}\
    svg{max-width:100%;height:auto}";

/// Writes a run's report from what it left in its folder.
///
/// # Errors
/// What kept a file from being read or written, or a chart from being drawn.
pub fn write(folder: &Path) -> Result<(), Error> {
    let summary: Summary = json(&folder.join("summary.json"))?;
    let experiment: Experiment = json(&folder.join("experiment.json"))?;
    let breaches: Vec<Violation> = json(&folder.join("breaches.json"))?;
    let crashes: Vec<String> = json(&folder.join("crashes.json"))?;
    let seconds: Vec<Second> =
        csv::Reader::from_path(folder.join("seconds.csv"))?.deserialize().collect::<Result<_, _>>()?;
    let mut servers: Vec<Vec<f64>> = Vec::new();
    for row in csv::Reader::from_path(folder.join("hosts.csv"))?.deserialize() {
        let (server, _, load): (usize, usize, f64) = row?;
        servers.resize_with(servers.len().max(server + 1), Vec::new);
        servers[server].push(load);
    }
    let mut charts = vec![
        charts::service(&experiment, &seconds)?,
        charts::latency(&experiment, &seconds)?,
        charts::origin(&experiment, &seconds)?,
        charts::heat("Load of each host over its fair part", "host", &servers)?,
    ];
    charts.extend(holders(folder, &experiment, &summary, seconds.len())?);
    std::fs::write(folder.join("report.html"), page(&summary, &experiment, &breaches, &crashes, &charts)?)?;
    Ok(())
}

/// The charts of what each process said it holds of the origin's limit; none where they do not talk.
fn holders(folder: &Path, e: &Experiment, s: &Summary, seconds: usize) -> Result<Vec<String>, Error> {
    let whole = s.limits.get("origin").filter(|limit| limit.bound.is_some()).map(|limit| limit.limit);
    let (Some(whole), Ok(mut table)) = (whole, csv::Reader::from_path(folder.join("holders.csv"))) else {
        return Ok(Vec::new());
    };
    let count = e.fleet.balancers;
    let (mut all, mut used) = (vec![0.0; seconds], vec![0.0; seconds]);
    let mut rows = vec![vec![0.0; seconds]; count];
    for row in table.deserialize() {
        let (second, balancer, held, uses, ..): (usize, usize, f64, f64, f64, f64) = row?;
        if second < seconds && balancer < count {
            rows[balancer][second] = held / (whole / count as f64);
            all[second] += held;
            used[second] += uses;
        }
    }
    let lines = [
        charts::Line { name: "whole", colour: charts::GREY, values: vec![whole; seconds] },
        charts::Line { name: "held", colour: charts::REFUSED, values: all },
        charts::Line { name: "used", colour: charts::BLUE, values: used },
    ];
    Ok(vec![
        charts::lines(e, "Units of the origin's limit: held and used by all, as they say", &lines)?,
        charts::heat("Units held by each balancer over its part by count", "balancer", &rows)?,
    ])
}

/// Writes a run's report anew; for the request line.
pub fn again(folder: &Path) -> u8 {
    match write(folder) {
        Ok(()) => {
            println!("{}", folder.join("report.html").display());
            KEPT
        }
        Err(e) => {
            eprintln!("{}: {e}; is it the folder of a run?", folder.display());
            NOT_ALLOWED
        }
    }
}

fn json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(serde_json::from_reader(BufReader::new(file)).map_err(|e| format!("{}: {e}", path.display()))?)
}

fn page(
    s: &Summary,
    e: &Experiment,
    breaches: &[Violation],
    crashes: &[String],
    charts: &[String],
) -> Result<String, Error> {
    let mut page = String::new();
    let name = escaped(&s.name);
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}, seed {}</title><style>{STYLE}</style>\
         <h1>{name}, seed {}</h1><p>{} balancers, {} hosts in {} zones, {} commands a second for {} s.</p>",
        s.seed, s.seed, e.fleet.balancers, e.fleet.servers, e.fleet.zones, e.load.rate, e.seconds
    )?;
    let broken = s.rules.total() > 0 || !crashes.is_empty();
    let (class, word) = if broken { ("bad", "Something is broken") } else { ("good", "Every rule was kept") };
    write!(
        page,
        "<p class=\"{class}\"><b>{word}</b>: breaches of answers {}, attempts {}, drains {}, cold hosts {}; \
         processes that ended by themselves {}.</p>",
        s.rules.answers,
        s.rules.attempts,
        s.rules.drains,
        s.rules.cold,
        crashes.len()
    )?;
    page.push_str("<table>");
    for (name, value) in figures(s) {
        write!(page, "<tr><td>{name}</td><td class=\"n\">{value}</td></tr>")?;
    }
    page.push_str("</table><h2>Faults</h2>");
    if e.fault.is_empty() {
        page.push_str("<p>None.</p>");
    } else {
        page.push_str("<table><tr><th>from</th><th>for</th><th>what</th><th>who</th></tr>");
        for fault in &e.fault {
            let lasts = fault.lasts.map_or("-".into(), |lasts| format!("{lasts} s"));
            let between = fault.between.as_ref().map(|[a, b]| format!("{a} to {b}"));
            let who = fault.who.clone().or(between).unwrap_or_default();
            let (at, what, who) = (fault.at, fault.what, escaped(&who));
            write!(page, "<tr><td>{at} s</td><td>{lasts}</td><td>{what:?}</td><td>{who}</td></tr>")?;
        }
        page.push_str("</table>");
    }
    page.push_str("<h2>Over time</h2>");
    charts.iter().for_each(|chart| page.push_str(chart));
    write!(page, "<h2>Breaches ({})</h2>", breaches.len())?;
    for violation in breaches.iter().take(SHOWN) {
        let story = escaped(&violation.request_trace.join("\n"));
        write!(
            page,
            "<p><b>{:?}</b>: {}</p><pre>{story}</pre>",
            violation.rule,
            escaped(&violation.description)
        )?;
    }
    if breaches.len() > SHOWN {
        write!(page, "<p>{} more in breaches.json.</p>", breaches.len() - SHOWN)?;
    }
    for crash in crashes {
        write!(page, "<pre>{}</pre>", escaped(crash))?;
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// The figures of the summary, as the page names them.
fn figures(s: &Summary) -> Vec<(String, String)> {
    let row = |name: &str, value: String| (name.to_owned(), value);
    let some = |value: Option<f64>, unit: &str| value.map_or("-".into(), |value| format!("{value:.2}{unit}"));
    let share = |part: u64| format!("{part} ({:.2}%)", 100.0 * part as f64 / s.requests.max(1) as f64);
    let beside = |value: f64, fair: f64| format!("{value:.2} (fair draws {fair:.2})");
    let mut rows = vec![
        row("commands", s.requests.to_string()),
        row("served", share(s.served)),
        row("refused", share(s.rejected)),
        row("failed", share(s.failed)),
        row("lost", share(s.lost)),
        row("service: worth served in time over worth asked for", format!("{:.3}", s.service)),
        row("time of those served, median / 99% / 99.9%", {
            let l = s.latency_ms;
            format!("{:.0} / {:.0} / {:.0} ms", l.p50, l.p99, l.p999)
        }),
        row("attempts a command", format!("{:.3}", s.attempts_per_request)),
        row("spread: peak", beside(s.spread.peak, s.spread.fair_peak)),
        row("spread: least", beside(s.spread.least, s.spread.fair_least)),
        row("spread: idle host-windows", s.spread.idle.to_string()),
        row("spread: herd", beside(s.spread.herd, s.spread.fair_herd)),
        row("origin: most fetches in a second over its capacity", format!("{:.2}", s.origin.peak)),
        row("origin: useful answers over its capacity while pressed", some(s.origin.useful, "")),
        row("sends lost at silent hosts", s.failure_detection.lost_sends.to_string()),
        row("last send to a silent host, median / 99%", {
            format!(
                "{} / {}",
                some(s.failure_detection.spread_p50_ms, " ms"),
                some(s.failure_detection.spread_p99_ms, " ms")
            )
        }),
        row("silent host avoided by all after", some(s.failure_detection.avoided_ms, " ms")),
        row("host that is back used again after", some(s.failure_detection.used_again_ms, " ms")),
        row("processes started", s.processes.started.to_string()),
        row("rig: lag, 99%", format!("{:.1} ms", s.lag_p99_ms)),
        row("rig: processor time", format!("{:.1} s", s.cpu.testbed_s)),
        row("balancers: processor time a command", format!("{:.3} ms", s.cpu.balancer_ms_per_request)),
    ];
    for (name, limit) in &s.limits {
        let bound = some(limit.bound, "");
        rows.push(row(
            &format!("limit {name}: whole / bound / peak / use / seconds over"),
            format!(
                "{:.0} / {bound} / {:.3} / {} / {}",
                limit.limit,
                limit.peak,
                some(limit.usage, ""),
                limit.seconds_over
            ),
        ));
    }
    rows
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
