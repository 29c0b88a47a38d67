//! Charts of a run as SVG: service over time with the faults shaded, the servers' loads as a heat map, the origin's use,
//! latencies. Drawn by plotters; nothing in them needs a network or a script.

#[cfg(test)]
mod tests;

use juniperladder_platform_model::checker::series::Second;
use juniperladder_platform_model::experiment::Experiment;
use plotters::coord::Shift;
use plotters::prelude::*;

type Error = Box<dyn std::error::Error>;

const WIDTH: u32 = 960;
const FONT: (&str, u32) = ("sans-serif", 13);
const SHADE: RGBColor = RGBColor(255, 196, 0);

const SERVED: RGBColor = RGBColor(46, 125, 50);
pub(crate) const REFUSED: RGBColor = RGBColor(255, 152, 0);
const FAILED: RGBColor = RGBColor(211, 47, 47);
pub(crate) const BLUE: RGBColor = RGBColor(21, 101, 192);
pub(crate) const GREY: RGBColor = RGBColor(97, 97, 97);

/// A drawing of this height, as the text of an SVG element.
fn svg(
    height: u32,
    draw: impl FnOnce(&DrawingArea<SVGBackend, Shift>) -> Result<(), Error>,
) -> Result<String, Error> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(text)
}

/// The times of the faults, in seconds.
fn faults(e: &Experiment) -> Vec<(f64, f64)> {
    let end = |fault: &juniperladder_platform_model::experiment::Fault| {
        fault.at + fault.lasts.or(fault.back).unwrap_or(0.2).max(0.2)
    };
    e.fault.iter().map(|fault| (fault.at, end(fault).min(e.seconds))).collect()
}

/// A line over time.
pub struct Line<'a> {
    /// What the legend calls it.
    pub name: &'a str,
    /// Its colour.
    pub colour: RGBColor,
    /// Its values, second by second.
    pub values: Vec<f64>,
}

/// Lines over time, with the faults' times shaded.
///
/// # Errors
/// What the drawing library says.
pub fn lines(e: &Experiment, title: &str, lines: &[Line<'_>]) -> Result<String, Error> {
    let most = lines.iter().flat_map(|line| &line.values).copied().fold(1e-9, f64::max) * 1.08;
    let end = lines.iter().map(|line| line.values.len()).max().unwrap_or(1).max(1) as f64;
    svg(260, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..most)?;
        chart.configure_mesh().label_style(FONT).light_line_style(TRANSPARENT).x_desc("s").draw()?;
        for (from, to) in faults(e) {
            chart.draw_series([Rectangle::new([(from, 0.0), (to, most)], SHADE.mix(0.18).filled())])?;
        }
        for line in lines {
            let points = line.values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
            let colour = line.colour;
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .label_font(FONT)
            .background_style(WHITE.mix(0.8))
            .border_style(GREY)
            .draw()?;
        Ok(())
    })
}

/// What became of the requests, second by second.
///
/// # Errors
/// What the drawing library says.
pub fn service(e: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    let of = |pick: fn(&Second) -> u64| seconds.iter().map(|s| pick(s) as f64).collect();
    lines(
        e,
        "Commands a second, by how they ended (faults shaded)",
        &[
            Line { name: "asked", colour: GREY, values: of(|s| s.requests) },
            Line { name: "served", colour: SERVED, values: of(|s| s.served) },
            Line { name: "refused", colour: REFUSED, values: of(|s| s.rejected) },
            Line { name: "failed or lost", colour: FAILED, values: of(|s| s.failed + s.lost) },
        ],
    )
}

/// What the origin was sent and asked for against its whole.
///
/// # Errors
/// What the drawing library says.
pub fn origin(e: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    let of = |pick: &dyn Fn(&Second) -> f64| seconds.iter().map(pick).collect();
    lines(
        e,
        "Fetches a second at the origin: used, wanted, whole",
        &[
            Line { name: "whole", colour: GREY, values: of(&|_| e.origin.capacity) },
            Line { name: "wanted", colour: REFUSED, values: of(&|s| s.demand) },
            Line { name: "used", colour: BLUE, values: of(&|s| s.fetches as f64) },
        ],
    )
}

/// Times of the requests served.
///
/// # Errors
/// What the drawing library says.
pub fn latency(e: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    lines(
        e,
        "Time of the commands served, ms",
        &[
            Line { name: "median", colour: BLUE, values: seconds.iter().map(|s| s.p50_ms).collect() },
            Line {
                name: "99th percentile",
                colour: FAILED,
                values: seconds.iter().map(|s| s.p99_ms).collect(),
            },
        ],
    )
}

/// Values over a fair part, a row each, second by second: white is fair, blue less, red more.
///
/// # Errors
/// What the drawing library says.
pub fn heat(title: &str, rows: &str, servers: &[Vec<f64>]) -> Result<String, Error> {
    let seconds = servers.iter().map(Vec::len).max().unwrap_or(1).max(1);
    let height = (servers.len() as u32 * 7).clamp(120, 900) + 70;
    svg(height, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{title} (blue 0, white 1, red 2 and more)"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..servers.len() as f64)?;
        chart.configure_mesh().label_style(FONT).disable_mesh().x_desc("s").y_desc(rows).draw()?;
        chart.draw_series(servers.iter().enumerate().flat_map(|(server, loads)| {
            loads.iter().enumerate().map(move |(second, load)| {
                let (x, y) = (second as f64, server as f64);
                Rectangle::new([(x, y), (x + 1.0, y + 1.0)], heat_colour(*load).filled())
            })
        }))?;
        Ok(())
    })
}

/// A figure of several experiments by the number of balancers.
pub type BySize = Vec<(String, Vec<(usize, f64)>)>;

/// Figures by the number of balancers, a drawing each, one under the other; the sizes stand evenly apart.
///
/// # Errors
/// What the drawing library says.
pub fn by_size(figures: &[(&str, BySize)]) -> Result<String, Error> {
    let mut sizes: Vec<usize> = figures
        .iter()
        .flat_map(|(_, lines)| lines)
        .flat_map(|(_, points)| points)
        .map(|(size, _)| *size)
        .collect();
    sizes.sort_unstable();
    sizes.dedup();
    let end = sizes.len().saturating_sub(1).max(1) as f64;
    svg(380 * figures.len() as u32, |area| {
        for (part, (title, lines)) in area.split_evenly((figures.len(), 1)).iter().zip(figures) {
            let most =
                lines.iter().flat_map(|(_, points)| points).map(|(_, value)| *value).fold(1e-9, f64::max);
            let mut chart = ChartBuilder::on(part)
                .caption(title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(56)
                // Room on the right for the legend.
                .build_cartesian_2d(0.0..end * 1.35, 0.0..most * 1.08)?;
            let label =
                |at: &f64| sizes.get(at.round() as usize).filter(|_| at.fract() == 0.0).map(usize::to_string);
            chart
                .configure_mesh()
                .label_style(FONT)
                .light_line_style(TRANSPARENT)
                .x_labels(sizes.len() * 2)
                .x_label_formatter(&|at| label(at).unwrap_or_default())
                .x_desc("balancers")
                .draw()?;
            for (number, (name, points)) in lines.iter().enumerate() {
                let colour = Palette99::pick(number).to_rgba();
                let points = points.iter().filter_map(|(size, value)| {
                    Some((sizes.iter().position(|other| other == size)? as f64, *value))
                });
                chart
                    .draw_series(LineSeries::new(points, colour.stroke_width(2)).point_size(3))?
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
            }
            chart.configure_series_labels().label_font(FONT).background_style(WHITE.mix(0.8)).draw()?;
        }
        Ok(())
    })
}

/// From blue over white to red.
fn heat_colour(load: f64) -> RGBColor {
    let mix = |from: (u8, u8, u8), to: (u8, u8, u8), part: f64| {
        let one = |a: u8, b: u8| (f64::from(a) + (f64::from(b) - f64::from(a)) * part) as u8;
        RGBColor(one(from.0, to.0), one(from.1, to.1), one(from.2, to.2))
    };
    let (blue, white, red) = ((21, 101, 192), (255, 255, 255), (183, 28, 28));
    if load < 1.0 {
        mix(blue, white, load.max(0.0))
    } else {
        mix(white, red, (load - 1.0).min(1.0))
    }
}
