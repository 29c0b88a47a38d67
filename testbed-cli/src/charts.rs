//! Charts of a run as SVG: service over time with the faults shaded, the servers' loads as a heat map, the origin's use,
//! latencies. Drawn by plotters; nothing in them needs a network or a script.

#[cfg(test)]
mod tests;

use juniperladder_platform_model::checker::series::Second;
use juniperladder_platform_model::experiment::{Experiment, Fault};
use plotters::coord::Shift;
use plotters::prelude::*;

type Error = Box<dyn std::error::Error>;

const WIDTH_PX: u32 = 960;
const LABEL_FONT: (&str, u32) = ("sans-serif", 13);
const CAPTION_FONT: (&str, u32) = ("sans-serif", 16);
/// The height of a chart over time.
const LINES_HEIGHT_PX: u32 = 260;
/// The height of one figure by the number of balancers.
const BY_SIZE_HEIGHT_PX: u32 = 380;
/// How much the values' axis goes beyond the greatest of them.
const HEADROOM: f64 = 1.08;
/// How much the sizes' axis goes beyond the last of them, for the legend on the right.
const LEGEND_ROOM: f64 = 1.35;
/// The smallest greatest value of an axis.
const MIN_AXIS: f64 = 1e-9;
/// The shortest time of a fault that is shaded, in seconds.
const MIN_SHADED_S: f64 = 0.2;

const FAULT_YELLOW: RGBColor = RGBColor(255, 196, 0);

const GREEN: RGBColor = RGBColor(46, 125, 50);
pub(crate) const ORANGE: RGBColor = RGBColor(255, 152, 0);
const RED: RGBColor = RGBColor(211, 47, 47);
pub(crate) const BLUE: RGBColor = RGBColor(21, 101, 192);
pub(crate) const GREY: RGBColor = RGBColor(97, 97, 97);

/// A drawing of this height, as the text of an SVG element.
fn svg(
    height: u32,
    draw: impl FnOnce(&DrawingArea<SVGBackend, Shift>) -> Result<(), Error>,
) -> Result<String, Error> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH_PX, height)).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(text)
}

/// The times of the faults, in seconds.
fn fault_times(experiment: &Experiment) -> Vec<(f64, f64)> {
    let end = |fault: &Fault| fault.at + fault.lasts.or(fault.back).unwrap_or(MIN_SHADED_S).max(MIN_SHADED_S);
    experiment.fault.iter().map(|fault| (fault.at, end(fault).min(experiment.seconds))).collect()
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
pub fn lines(experiment: &Experiment, title: &str, lines: &[Line<'_>]) -> Result<String, Error> {
    let most = lines.iter().flat_map(|line| &line.values).copied().fold(MIN_AXIS, f64::max) * HEADROOM;
    let end = lines.iter().map(|line| line.values.len()).max().unwrap_or(1).max(1) as f64;
    svg(LINES_HEIGHT_PX, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, CAPTION_FONT)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..most)?;
        chart.configure_mesh().label_style(LABEL_FONT).light_line_style(TRANSPARENT).x_desc("s").draw()?;
        for (from, to) in fault_times(experiment) {
            chart
                .draw_series([Rectangle::new([(from, 0.0), (to, most)], FAULT_YELLOW.mix(0.18).filled())])?;
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
            .label_font(LABEL_FONT)
            .background_style(WHITE.mix(0.8))
            .border_style(GREY)
            .draw()?;
        Ok(())
    })
}

/// How the requests ended, second by second.
///
/// # Errors
/// What the drawing library says.
pub fn service(experiment: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    let of = |pick: fn(&Second) -> u64| seconds.iter().map(|s| pick(s) as f64).collect();
    lines(
        experiment,
        "Commands a second, by how they ended (faults shaded)",
        &[
            Line { name: "asked", colour: GREY, values: of(|s| s.requests) },
            Line { name: "served", colour: GREEN, values: of(|s| s.served) },
            Line { name: "refused", colour: ORANGE, values: of(|s| s.rejected) },
            Line { name: "failed or lost", colour: RED, values: of(|s| s.failed + s.lost) },
        ],
    )
}

/// What the origin was sent and what was wanted of it, against its capacity.
///
/// # Errors
/// What the drawing library says.
pub fn origin(experiment: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    let of = |pick: &dyn Fn(&Second) -> f64| seconds.iter().map(pick).collect();
    lines(
        experiment,
        "Fetches a second at the origin: used, wanted, whole",
        &[
            Line { name: "whole", colour: GREY, values: of(&|_| experiment.origin.capacity) },
            Line { name: "wanted", colour: ORANGE, values: of(&|s| s.demand) },
            Line { name: "used", colour: BLUE, values: of(&|s| s.fetches as f64) },
        ],
    )
}

/// Latencies of the requests served.
///
/// # Errors
/// What the drawing library says.
pub fn latency(experiment: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    lines(
        experiment,
        "Time of the commands served, ms",
        &[
            Line { name: "median", colour: BLUE, values: seconds.iter().map(|s| s.p50_ms).collect() },
            Line { name: "99th percentile", colour: RED, values: seconds.iter().map(|s| s.p99_ms).collect() },
        ],
    )
}

/// Values over a fair part, a row each, second by second: white is fair, blue less, red more.
///
/// # Errors
/// What the drawing library says.
pub fn heat_map(title: &str, rows: &str, servers: &[Vec<f64>]) -> Result<String, Error> {
    let seconds = servers.iter().map(Vec::len).max().unwrap_or(1).max(1);
    let height = (servers.len() as u32 * 7).clamp(120, 900) + 70;
    svg(height, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{title} (blue 0, white 1, red 2 and more)"), CAPTION_FONT)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..servers.len() as f64)?;
        chart.configure_mesh().label_style(LABEL_FONT).disable_mesh().x_desc("s").y_desc(rows).draw()?;
        chart.draw_series(servers.iter().enumerate().flat_map(|(server, loads)| {
            loads.iter().enumerate().map(move |(second, load)| {
                let (x, y) = (second as f64, server as f64);
                Rectangle::new([(x, y), (x + 1.0, y + 1.0)], heat_colour(*load).filled())
            })
        }))?;
        Ok(())
    })
}

/// A line by the number of balancers.
pub struct SizeLine {
    /// What the legend calls it.
    pub name: String,
    /// Numbers of balancers with the figure's value at each.
    pub points: Vec<(usize, f64)>,
}

/// A figure by the number of balancers.
pub struct SizeFigure<'a> {
    /// What stands above it.
    pub title: &'a str,
    /// A line for each experiment.
    pub lines: Vec<SizeLine>,
}

impl SizeFigure<'_> {
    fn points(&self) -> impl Iterator<Item = &(usize, f64)> {
        self.lines.iter().flat_map(|line| &line.points)
    }
}

/// Figures by the number of balancers, a drawing each, one under the other; the sizes stand evenly apart.
///
/// # Errors
/// What the drawing library says.
pub fn by_size(figures: &[SizeFigure<'_>]) -> Result<String, Error> {
    let points = figures.iter().flat_map(SizeFigure::points);
    let mut sizes: Vec<usize> = points.map(|(size, _)| *size).collect();
    sizes.sort_unstable();
    sizes.dedup();
    svg(BY_SIZE_HEIGHT_PX * figures.len() as u32, |area| {
        for (part, figure) in area.split_evenly((figures.len(), 1)).iter().zip(figures) {
            draw_size_figure(part, figure, &sizes)?;
        }
        Ok(())
    })
}

fn draw_size_figure(
    area: &DrawingArea<SVGBackend, Shift>,
    figure: &SizeFigure<'_>,
    sizes: &[usize],
) -> Result<(), Error> {
    let end = sizes.len().saturating_sub(1).max(1) as f64 * LEGEND_ROOM;
    let most = figure.points().map(|(_, value)| *value).fold(MIN_AXIS, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(figure.title, CAPTION_FONT)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..most * HEADROOM)?;
    let label = |at: &f64| {
        let size = sizes.get(at.round() as usize).filter(|_| at.fract() == 0.0);
        size.map(usize::to_string).unwrap_or_default()
    };
    chart
        .configure_mesh()
        .label_style(LABEL_FONT)
        .light_line_style(TRANSPARENT)
        .x_labels(sizes.len() * 2)
        .x_label_formatter(&label)
        .x_desc("balancers")
        .draw()?;
    for (number, line) in figure.lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let place = |size: &usize| sizes.iter().position(|other| other == size);
        let points = line.points.iter().filter_map(|(size, value)| Some((place(size)? as f64, *value)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)).point_size(3))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().label_font(LABEL_FONT).background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
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
