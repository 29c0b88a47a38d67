//! The HTML of the report.

use std::fmt::{Result, Write};

use juniperladder_platform_model::checker::rules::Violation;
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::summary::Summary;

use super::RunFiles;

/// Greatest number of violations shown on the page; `breaches.json` lists all.
const MAX_SHOWN_VIOLATIONS: usize = 50;

const STYLE: &str =
    "body{font:15px/1.45 system-ui,sans-serif;margin:24px auto;max-width:980px;color:#222;padding:0 12px}\
    h1{font-size:22px}h2{font-size:17px;margin-top:28px}table{border-collapse:collapse;margin:8px 0}\
    td,th{padding:3px 12px 3px 0;text-align:left;border-bottom:1px solid #eee}td.n{text-align:right}\
    pre{background:#f6f6f6;padding:8px;overflow-x:auto;font-size:13px}.bad{color:#b71c1c}.good{color:#2e7d32}\
    svg{max-width:100%;height:auto}";

/// Renders the page of a run, with these charts as SVG elements.
pub fn render_page(files: &RunFiles, charts: &[String]) -> std::result::Result<String, std::fmt::Error> {
    let mut page = String::new();
    write_head(&mut page, &files.summary, &files.experiment)?;
    write_result(&mut page, &files.summary, files.crashes.len())?;
    write_figures(&mut page, &files.summary)?;
    write_faults(&mut page, &files.experiment)?;
    page.push_str("<h2>Over time</h2>");
    charts.iter().for_each(|chart| page.push_str(chart));
    write_violations(&mut page, &files.violations)?;
    for crash in &files.crashes {
        write!(page, "<pre>{}</pre>", escape(crash))?;
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn write_head(page: &mut String, summary: &Summary, experiment: &Experiment) -> Result {
    let name = escape(&summary.name);
    let seed = summary.seed;
    let fleet = &experiment.fleet;
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}, seed {seed}</title>\
         <style>{STYLE}</style><h1>{name}, seed {seed}</h1><p>{} balancers, {} hosts in {} zones, \
         {} commands a second for {} s.</p>",
        fleet.balancers, fleet.servers, fleet.zones, experiment.load.rate, experiment.seconds
    )
}

fn write_result(page: &mut String, summary: &Summary, crash_count: usize) -> Result {
    let rules = &summary.rules;
    let is_broken = rules.total() > 0 || crash_count > 0;
    let class = if is_broken { "bad" } else { "good" };
    let result = if is_broken { "Something is broken" } else { "Every rule was kept" };
    write!(
        page,
        "<p class=\"{class}\"><b>{result}</b>: breaches of answers {}, attempts {}, drains {}, cold hosts {}; \
         processes that ended unexpectedly {crash_count}.</p>",
        rules.answers, rules.attempts, rules.drains, rules.cold
    )
}

fn write_figures(page: &mut String, summary: &Summary) -> Result {
    page.push_str("<table>");
    let rows = request_rows(summary).into_iter().chain(server_rows(summary)).chain(cost_rows(summary));
    for Row { name, value } in rows.chain(limit_rows(summary)) {
        write!(page, "<tr><td>{name}</td><td class=\"n\">{value}</td></tr>")?;
    }
    page.push_str("</table>");
    Ok(())
}

fn write_faults(page: &mut String, experiment: &Experiment) -> Result {
    page.push_str("<h2>Faults</h2>");
    if experiment.fault.is_empty() {
        page.push_str("<p>None.</p>");
        return Ok(());
    }
    page.push_str("<table><tr><th>from</th><th>for</th><th>what</th><th>who</th></tr>");
    for fault in &experiment.fault {
        let duration = fault.duration_s.map_or("-".into(), |duration_s| format!("{duration_s} s"));
        let link_ends = fault.link_ends.as_ref().map(|[first, second]| format!("{first} to {second}"));
        let targets = escape(&fault.targets.clone().or(link_ends).unwrap_or_default());
        let (at, kind) = (fault.at, fault.kind);
        write!(page, "<tr><td>{at} s</td><td>{duration}</td><td>{kind:?}</td><td>{targets}</td></tr>")?;
    }
    page.push_str("</table>");
    Ok(())
}

fn write_violations(page: &mut String, violations: &[Violation]) -> Result {
    write!(page, "<h2>Breaches ({})</h2>", violations.len())?;
    for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        let trace = escape(&violation.request_trace.join("\n"));
        let description = escape(&violation.description);
        write!(page, "<p><b>{:?}</b>: {description}</p><pre>{trace}</pre>", violation.rule)?;
    }
    if violations.len() > MAX_SHOWN_VIOLATIONS {
        write!(page, "<p>{} more in breaches.json.</p>", violations.len() - MAX_SHOWN_VIOLATIONS)?;
    }
    Ok(())
}

/// A row of the figures table.
struct Row {
    name: String,
    value: String,
}

fn row(name: &str, value: impl Into<String>) -> Row {
    Row { name: name.to_owned(), value: value.into() }
}

/// Formats a value with its unit, or a dash for no value.
fn format_optional(value: Option<f64>, unit: &str) -> String {
    value.map_or("-".into(), |value| format!("{value:.2}{unit}"))
}

fn request_rows(summary: &Summary) -> Vec<Row> {
    let requests = summary.requests.max(1) as f64;
    let with_percent = |count: u64| format!("{count} ({:.2}%)", 100.0 * count as f64 / requests);
    let latency = summary.latency_ms;
    vec![
        row("commands", summary.requests.to_string()),
        row("served", with_percent(summary.served)),
        row("refused", with_percent(summary.rejected)),
        row("failed", with_percent(summary.failed)),
        row("lost", with_percent(summary.lost)),
        row(
            "service: share of the requested priority weight that was served within the latency objective",
            format!("{:.3}", summary.service),
        ),
        row(
            "latency of the commands served, median / 99% / 99.9%",
            format!("{:.0} / {:.0} / {:.0} ms", latency.p50, latency.p99, latency.p999),
        ),
        row("attempts a command", format!("{:.3}", summary.attempts_per_request)),
    ]
}

fn server_rows(summary: &Summary) -> Vec<Row> {
    let with_fair_value = |value: f64, fair: f64| format!("{value:.2} (fair draws {fair:.2})");
    let spread = summary.spread;
    let detection = summary.failure_detection;
    let last_send_p50 = format_optional(detection.spread_p50_ms, " ms");
    let last_send_p99 = format_optional(detection.spread_p99_ms, " ms");
    vec![
        row("spread: peak", with_fair_value(spread.peak, spread.fair_peak)),
        row("spread: least", with_fair_value(spread.least, spread.fair_least)),
        row("spread: idle host-windows", spread.idle.to_string()),
        row("spread: herd", with_fair_value(spread.herd, spread.fair_herd)),
        row(
            "origin: most fetches in a second as a ratio to its capacity",
            format!("{:.2}", summary.origin.peak),
        ),
        row(
            "origin: useful answers as a ratio to its capacity while demand exceeds the capacity",
            format_optional(summary.origin.useful, ""),
        ),
        row("sends lost at silent hosts", detection.lost_sends.to_string()),
        row("last send to a silent host, median / 99%", format!("{last_send_p50} / {last_send_p99}")),
        row("silent host avoided by all after", format_optional(detection.avoided_ms, " ms")),
        row("recovered host used again after", format_optional(detection.used_again_ms, " ms")),
    ]
}

fn cost_rows(summary: &Summary) -> Vec<Row> {
    let balancer_ms = summary.cpu.balancer_ms_per_request;
    vec![
        row("processes started", summary.processes.started.to_string()),
        row("testbed: lag, 99%", format!("{:.1} ms", summary.lag_p99_ms)),
        row("testbed: processor time", format!("{:.1} s", summary.cpu.testbed_s)),
        row("balancers: processor time a command", format!("{balancer_ms:.3} ms")),
    ]
}

fn limit_rows(summary: &Summary) -> Vec<Row> {
    let mut rows = Vec::new();
    for (name, limit) in &summary.limits {
        let bound = format_optional(limit.bound, "");
        let usage = format_optional(limit.usage, "");
        rows.push(row(
            &format!("limit {name}: whole / bound / peak / use / seconds over"),
            format!("{:.0} / {bound} / {:.3} / {usage} / {}", limit.limit, limit.peak, limit.seconds_over),
        ));
    }
    rows
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
