//! Charts of a run as SVG, drawn by plotters: results of requests over time with the faults shaded, a heat map of the
//! servers' loads, use of the origin, and latencies. The charts need neither network access nor scripts.

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
/// Height of a line chart over time.
const LINES_HEIGHT_PX: u32 = 260;
/// Height of one figure by number of balancers.
const BY_SIZE_HEIGHT_PX: u32 = 380;
/// Ratio of the end of the value axis to the greatest value.
const HEADROOM: f64 = 1.08;
/// Ratio of the end of the size axis to the last size, which leaves room for the legend on the right.
const LEGEND_ROOM: f64 = 1.35;
/// Lower bound of the greatest value of an axis, so that no axis is empty.
const MIN_AXIS: f64 = 1e-9;
/// Shortest time that is shaded for a fault, in seconds.
const MIN_SHADED_S: f64 = 0.2;

const FAULT_YELLOW: RGBColor = RGBColor(255, 196, 0);

const GREEN: RGBColor = RGBColor(46, 125, 50);
pub(crate) const ORANGE: RGBColor = RGBColor(255, 152, 0);
const RED: RGBColor = RGBColor(211, 47, 47);
pub(crate) const BLUE: RGBColor = RGBColor(21, 101, 192);
pub(crate) const GREY: RGBColor = RGBColor(97, 97, 97);

/// Draws on an area of this height and returns the text of the SVG element.
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

/// Start and end of each fault, in seconds.
fn fault_times(experiment: &Experiment) -> Vec<(f64, f64)> {
    let end = |fault: &Fault| fault.at + fault.lasts.or(fault.back).unwrap_or(MIN_SHADED_S).max(MIN_SHADED_S);
    experiment.fault.iter().map(|fault| (fault.at, end(fault).min(experiment.seconds))).collect()
}

/// A line of a chart over time.
pub struct Line<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Colour of the line.
    pub colour: RGBColor,
    /// Values, one per second.
    pub values: Vec<f64>,
}

/// Draws lines over time, with the duration of each fault shaded.
///
/// # Errors
/// If the drawing library fails.
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

/// Draws the number of requests in each second, by result.
///
/// # Errors
/// If the drawing library fails.
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

/// Draws the origin's fetches and the demand for them, against its capacity.
///
/// # Errors
/// If the drawing library fails.
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

/// Draws the latencies of the served requests.
///
/// # Errors
/// If the drawing library fails.
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

/// Draws a row per server or balancer with the ratio of its value to its fair share in each second: white is the fair
/// share, blue less, red more.
///
/// # Errors
/// If the drawing library fails.
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

/// A line of a figure by number of balancers.
pub struct SizeLine {
    /// Name in the legend.
    pub name: String,
    /// Points of a number of balancers and the value at that number.
    pub points: Vec<(usize, f64)>,
}

/// A figure by number of balancers.
pub struct SizeFigure<'a> {
    /// Caption of the figure.
    pub title: &'a str,
    /// Lines, one per experiment or mechanism.
    pub lines: Vec<SizeLine>,
}

impl SizeFigure<'_> {
    fn points(&self) -> impl Iterator<Item = &(usize, f64)> {
        self.lines.iter().flat_map(|line| &line.points)
    }
}

/// Draws figures by number of balancers one below the other; the sizes are evenly spaced on the axis.
///
/// # Errors
/// If the drawing library fails.
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

/// The colour of a load: from blue at 0 over white at 1 to red at 2 and more.
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
