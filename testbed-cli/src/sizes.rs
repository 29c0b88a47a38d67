//! `scale --sizes` and `fit`: costs by the size of the fleet, the law that describes each, and a chart.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use juniperladder_testbed::scale::Summary;

use crate::charts::by_size;
use crate::exit::{BROKEN, KEPT, NOT_ALLOWED};
use crate::fit::{fit, predict_largest};
use crate::scale::{run_in_process, summary_in, verdict, Scale};

/// A cost of a member, by its name in tables.
type Cost = (&'static str, fn(&Summary) -> Option<f64>);

const COSTS: [Cost; 8] = [
    ("packets_per_s", |s| Some(s.ordinary.sent.packets_per_s)),
    ("bytes_per_s", |s| Some(s.ordinary.sent.bytes_per_s)),
    ("wire_bytes_per_s", |s| Some(s.ordinary.wire_bytes_per_s)),
    ("cpu_percent", |s| Some(s.ordinary.cpu_percent)),
    ("us_per_datagram", |s| Some(s.ordinary.us_per_datagram)),
    ("us_per_tick", |s| Some(s.ordinary.us_per_tick)),
    ("memory_per_member", |s| Some(s.memory_per_member)),
    ("known_median", |s| (s.known.median > 0).then_some(s.known.median as f64)),
];

/// Runs a scale test at each size and writes `sizes.csv`, `fits.csv` and `sizes.svg`. The worst exit code of them.
pub fn sizes(args: &Scale) -> u8 {
    let mut summaries = Vec::new();
    let mut worst = KEPT;
    for size in &args.sizes {
        let out = args.out.join(format!("members-{size}"));
        let one = Scale { members: *size, sizes: Vec::new(), out, ..args.clone() };
        let held = if args.resume { summary_in(&one) } else { None };
        if let Some(summary) = held {
            worst = worst.max(verdict(&summary));
            summaries.push(summary);
            continue;
        }
        let Some((summary, code)) = run_in_process(&one) else { return NOT_ALLOWED };
        worst = if worst == BROKEN || code == BROKEN { BROKEN } else { worst.max(code) };
        summaries.push(summary);
    }
    if let Err(error) = write(&args.out, args, &summaries) {
        eprintln!("{}: {error}", args.out.display());
        return NOT_ALLOWED;
    }
    worst
}

fn write(out: &Path, args: &Scale, summaries: &[Summary]) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(out)?;
    write_sizes(&out.join("sizes.csv"), args, summaries)?;
    let mut fits = csv::Writer::from_path(out.join("fits.csv"))?;
    fits.write_record(["cost", "law", "a", "b", "residual", "size", "predicted", "measured", "error"])?;
    for (name, pick) in COSTS {
        let points = points(summaries, pick);
        if let Some(record) = describe(name, &points) {
            fits.write_record(record)?;
        }
    }
    fits.flush()?;
    let drawn: Vec<_> = COSTS
        .iter()
        .map(|(name, pick)| {
            let line = summaries.iter().filter_map(|one| Some((one.members, pick(one)?))).collect();
            (*name, vec![(args.mechanism.name().to_owned(), line)])
        })
        .collect();
    std::fs::write(out.join("sizes.svg"), by_size(&drawn)?)?;
    Ok(())
}

/// A row for each size: its costs, the bytes by kind, and how changes spread.
fn write_sizes(path: &Path, args: &Scale, summaries: &[Summary]) -> Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<BTreeMap<String, String>> = summaries.iter().map(row).collect();
    let mut names: Vec<&String> = rows.iter().flat_map(BTreeMap::keys).collect();
    names.sort();
    names.dedup();
    let command = Scale { members: 0, out: PathBuf::from("OUT"), ..args.clone() }.arguments().join(" ");
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

fn row(summary: &Summary) -> BTreeMap<String, String> {
    let mut row = BTreeMap::new();
    for (name, pick) in COSTS {
        row.extend(pick(summary).map(|value| (name.to_owned(), format!("{value:.4}"))));
    }
    for (kind, rate) in &summary.ordinary.kinds {
        row.insert(format!("{kind}_bytes_per_s"), format!("{:.1}", rate.bytes_per_s));
        row.insert(format!("{kind}_packets_per_s"), format!("{:.3}", rate.packets_per_s));
    }
    row.insert("lag_p99_ms".to_owned(), format!("{:.1}", summary.lag_p99_ms));
    row.insert("known_least".to_owned(), summary.known.least.to_string());
    for change in &summary.changes {
        let time = |ms: Option<f64>| ms.map_or(String::new(), |ms| format!("{ms:.0}"));
        row.insert(format!("{}_p50_ms", change.name), time(change.p50_ms));
        row.insert(format!("{}_p99_ms", change.name), time(change.p99_ms));
        row.insert(format!("{}_all_ms", change.name), time(change.all_ms));
        row.insert(format!("{}_unaware", change.name), change.unaware.to_string());
        row.insert(format!("{}_never", change.name), change.never.to_string());
    }
    row
}

fn points(summaries: &[Summary], pick: fn(&Summary) -> Option<f64>) -> Vec<(f64, f64)> {
    summaries.iter().filter_map(|one| Some((one.members as f64, pick(one)?))).collect()
}

/// Prints the best law of a cost and what the smaller sizes say of the largest; the record for the table.
fn describe(name: &str, points: &[(f64, f64)]) -> Option<[String; 9]> {
    let best = match fit(points) {
        Ok(fits) => fits[0],
        Err(error) => {
            println!("{name}: {error}");
            return None;
        }
    };
    println!(
        "{name}: {} with a = {:.4}, b = {:.6}; residual {:.4}",
        best.law.name(),
        best.a,
        best.b,
        best.residual
    );
    let mut record = [
        name.to_owned(),
        best.law.name().to_owned(),
        format!("{:.6}", best.a),
        format!("{:.9}", best.b),
        format!("{:.6}", best.residual),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
    ];
    if let Ok(prediction) = predict_largest(points) {
        println!(
            "    from the smaller sizes ({}): {:.4} at {:.0}, measured {:.4}, error {:+.1}%",
            prediction.fit.law.name(),
            prediction.predicted,
            prediction.size,
            prediction.measured,
            100.0 * prediction.error()
        );
        record[5] = format!("{:.0}", prediction.size);
        record[6] = format!("{:.6}", prediction.predicted);
        record[7] = format!("{:.6}", prediction.measured);
        record[8] = format!("{:.4}", prediction.error());
    }
    Some(record)
}

/// `fit`: the law of one column of a table by another; lines that begin with # are passed over.
pub fn fit_table(path: &Path, x: &str, y: &str) -> u8 {
    let points = match read_points(path, x, y) {
        Ok(points) => points,
        Err(problem) => {
            eprintln!("{}: {problem}", path.display());
            return NOT_ALLOWED;
        }
    };
    if describe(y, &points).is_none() {
        return NOT_ALLOWED;
    }
    for one in fit(&points).unwrap_or_default() {
        println!(
            "    {:14} a = {:.4}, b = {:.6}, residual {:.4}",
            one.law.name(),
            one.a,
            one.b,
            one.residual
        );
    }
    KEPT
}

fn read_points(path: &Path, x: &str, y: &str) -> Result<Vec<(f64, f64)>, Box<dyn std::error::Error>> {
    let mut table = csv::ReaderBuilder::new().comment(Some(b'#')).from_path(path)?;
    let headers = table.headers()?.clone();
    let place = |name: &str| {
        let found = headers.iter().position(|header| header == name);
        found.ok_or_else(|| {
            format!("no column {name}; there are {}", headers.iter().collect::<Vec<_>>().join(", "))
        })
    };
    let (x, y) = (place(x)?, place(y)?);
    let mut points = Vec::new();
    for record in table.records() {
        let record = record?;
        // A cell that is empty was not measured at that size.
        if record[x].is_empty() || record[y].is_empty() {
            continue;
        }
        points.push((record[x].parse()?, record[y].parse()?));
    }
    Ok(points)
}
