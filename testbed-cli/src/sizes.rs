//! `scale --sizes`: costs by fleet size, the growth law that describes each, and a chart.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use juniperladder_testbed::scale::Summary;

use crate::charts::{size_charts, SizeFigure, SizeLine};
use crate::exit::ExitStatus;
use crate::fit_table::{print_fit, FIT_COLUMNS};
use crate::scale_args::ScaleArgs;
use crate::scale_run::{print_status, run_in_child_process, saved_summary};

type Error = Box<dyn std::error::Error>;

/// A cost of a member: its column name, and the function that reads it from a summary.
type Cost = (&'static str, fn(&Summary) -> Option<f64>);

const MEMBER_COSTS: [Cost; 8] = [
    ("packets_per_s", |s| Some(s.steady_state.sent.packets_per_s)),
    ("bytes_per_s", |s| Some(s.steady_state.sent.bytes_per_s)),
    ("wire_bytes_per_s", |s| Some(s.steady_state.wire_bytes_per_s)),
    ("cpu_percent", |s| Some(s.steady_state.cpu_percent)),
    ("us_per_datagram", |s| Some(s.steady_state.us_per_datagram)),
    ("us_per_tick", |s| Some(s.steady_state.us_per_tick)),
    ("memory_per_member", |s| Some(s.memory_per_member)),
    ("known_median", |s| (s.known.median > 0).then_some(s.known.median as f64)),
];

/// Runs a scale test at each size and writes `sizes.csv`, `fits.csv` and `sizes.svg`; returns the worst exit status.
pub fn run_sizes(args: &ScaleArgs) -> ExitStatus {
    let mut summaries = Vec::new();
    let mut worst = ExitStatus::PASSED;
    for size in &args.sizes {
        let out = args.out.join(format!("members-{size}"));
        let size_args = ScaleArgs { members: *size, sizes: Vec::new(), out, ..args.clone() };
        let saved = if args.resume { saved_summary(&size_args) } else { None };
        if let Some(summary) = saved {
            worst = worst.max(print_status(&summary));
            summaries.push(summary);
            continue;
        }
        let Some((summary, status)) = run_in_child_process(&size_args) else { return ExitStatus::CANNOT_RUN };
        worst = worst.worse(status);
        summaries.push(summary);
    }
    if let Err(error) = write_files(&args.out, args, &summaries) {
        eprintln!("cannot write sizes.csv, fits.csv or sizes.svg to {}: {error}", args.out.display());
        return ExitStatus::CANNOT_RUN;
    }
    worst
}

fn write_files(out: &Path, args: &ScaleArgs, summaries: &[Summary]) -> Result<(), Error> {
    std::fs::create_dir_all(out)?;
    write_sizes(&out.join("sizes.csv"), args, summaries)?;
    write_fits(&out.join("fits.csv"), summaries)?;
    write_chart(&out.join("sizes.svg"), args, summaries)
}

fn write_fits(path: &Path, summaries: &[Summary]) -> Result<(), Error> {
    let mut fits = csv::Writer::from_path(path)?;
    fits.write_record(FIT_COLUMNS)?;
    for (name, value_of) in MEMBER_COSTS {
        let points =
            summaries.iter().filter_map(|summary| Some((summary.members as f64, value_of(summary)?)));
        if let Some(record) = print_fit(name, &points.collect::<Vec<_>>()) {
            fits.write_record(record)?;
        }
    }
    Ok(fits.flush()?)
}

fn write_chart(path: &Path, args: &ScaleArgs, summaries: &[Summary]) -> Result<(), Error> {
    let mut figures = Vec::new();
    for (title, value_of) in MEMBER_COSTS {
        let points =
            summaries.iter().filter_map(|summary| Some((summary.members, value_of(summary)?))).collect();
        let line = SizeLine { name: args.mechanism.name().to_owned(), points };
        figures.push(SizeFigure { title, lines: vec![line] });
    }
    Ok(std::fs::write(path, size_charts(&figures)?)?)
}

/// Writes a row for each size: its costs, the traffic by kind of packet, and the propagation times of changes.
fn write_sizes(
    path: &Path,
    args: &ScaleArgs,
    summaries: &[Summary],
) -> Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<BTreeMap<String, String>> = summaries.iter().map(size_row).collect();
    let mut names: Vec<&String> = rows.iter().flat_map(BTreeMap::keys).collect();
    names.sort();
    names.dedup();
    // The first line is the command that repeats the runs, with `--sizes` in place of the `--members` of one run.
    let command = ScaleArgs { members: 0, out: PathBuf::from("OUT"), ..args.clone() }.arguments().join(" ");
    let sizes: Vec<String> = args.sizes.iter().map(usize::to_string).collect();
    let command = command.replace("--members 0", &format!("--sizes {}", sizes.join(",")));
    let mut text = format!("# juniperladder-testbed {command}\n").into_bytes();
    {
        let mut table = csv::Writer::from_writer(&mut text);
        table.write_record(std::iter::once("members").chain(names.iter().map(|name| name.as_str())))?;
        for (summary, row) in summaries.iter().zip(&rows) {
            let values = names.iter().map(|name| row.get(*name).cloned().unwrap_or_default());
            table.write_record(std::iter::once(summary.members.to_string()).chain(values))?;
        }
        table.flush()?;
    }
    Ok(std::fs::write(path, text)?)
}

fn size_row(summary: &Summary) -> BTreeMap<String, String> {
    let mut row = BTreeMap::new();
    for (name, value_of) in MEMBER_COSTS {
        row.extend(value_of(summary).map(|value| (name.to_owned(), format!("{value:.4}"))));
    }
    for (kind, rate) in &summary.steady_state.kinds {
        row.insert(format!("{kind}_bytes_per_s"), format!("{:.1}", rate.bytes_per_s));
        row.insert(format!("{kind}_packets_per_s"), format!("{:.3}", rate.packets_per_s));
    }
    row.insert("lag_p99_ms".to_owned(), format!("{:.1}", summary.lag_p99_ms));
    row.insert("known_least".to_owned(), summary.known.min.to_string());
    for change in &summary.changes {
        let format_ms = |ms: Option<f64>| ms.map_or(String::new(), |ms| format!("{ms:.0}"));
        row.insert(format!("{}_p50_ms", change.name), format_ms(change.p50_ms));
        row.insert(format!("{}_p99_ms", change.name), format_ms(change.p99_ms));
        row.insert(format!("{}_all_ms", change.name), format_ms(change.all_ms));
        row.insert(format!("{}_unaware", change.name), change.never_knew_member.to_string());
        row.insert(format!("{}_never", change.name), change.not_reached.to_string());
    }
    row
}
