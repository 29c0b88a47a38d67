//! Charts as SVG, drawn by plotters: lines over the time of a run with the faults shaded, heat maps, and figures by number
//! of balancers. The charts need neither network access nor scripts.

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
const LINE_CHART_HEIGHT_PX: u32 = 260;
/// Height of one figure by number of balancers.
const SIZE_FIGURE_HEIGHT_PX: u32 = 380;
/// Ratio of the end of the value axis to the greatest value.
const VALUE_AXIS_RATIO: f64 = 1.08;
/// Ratio of the end of the size axis to the last size, which leaves room for the legend on the right.
const SIZE_AXIS_RATIO: f64 = 1.35;
/// Lower bound of the greatest value of an axis, so that no axis is empty.
const MIN_AXIS_MAX: f64 = 1e-9;
/// Shortest time that is shaded for a fault, also for one without an end, in seconds.
const MIN_SHADED_S: f64 = 0.2;

const FAULT_YELLOW: RGBColor = RGBColor(255, 196, 0);

const GREEN: RGBColor = RGBColor(46, 125, 50);
pub(crate) const ORANGE: RGBColor = RGBColor(255, 152, 0);
const RED: RGBColor = RGBColor(211, 47, 47);
pub(crate) const BLUE: RGBColor = RGBColor(21, 101, 192);
pub(crate) const GREY: RGBColor = RGBColor(97, 97, 97);

/// Draws on an area of this height and returns the text of the SVG element.
fn render_svg(
    height_px: u32,
    draw: impl FnOnce(&DrawingArea<SVGBackend, Shift>) -> Result<(), Error>,
) -> Result<String, Error> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH_PX, height_px)).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(text)
}

/// Start and end of the shading of each fault, in seconds of the measured time.
fn fault_intervals_s(experiment: &Experiment) -> Vec<(f64, f64)> {
    let end_s = |fault: &Fault| {
        fault.at + fault.duration_s.or(fault.restart_after_s).unwrap_or(MIN_SHADED_S).max(MIN_SHADED_S)
    };
    experiment.fault.iter().map(|fault| (fault.at, end_s(fault).min(experiment.seconds))).collect()
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
pub fn line_chart(experiment: &Experiment, title: &str, lines: &[Line<'_>]) -> Result<String, Error> {
    let max_value =
        lines.iter().flat_map(|line| &line.values).copied().fold(MIN_AXIS_MAX, f64::max) * VALUE_AXIS_RATIO;
    let end_s = lines.iter().map(|line| line.values.len()).max().unwrap_or(1).max(1) as f64;
    render_svg(LINE_CHART_HEIGHT_PX, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, CAPTION_FONT)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end_s, 0.0..max_value)?;
        chart.configure_mesh().label_style(LABEL_FONT).light_line_style(TRANSPARENT).x_desc("s").draw()?;
        for (from, to) in fault_intervals_s(experiment) {
            chart.draw_series([Rectangle::new(
                [(from, 0.0), (to, max_value)],
                FAULT_YELLOW.mix(0.18).filled(),
            )])?;
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
pub fn results_chart(experiment: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    let per_second = |value_of: fn(&Second) -> u64| seconds.iter().map(|s| value_of(s) as f64).collect();
    line_chart(
        experiment,
        "Commands a second by result (faults shaded)",
        &[
            Line { name: "asked", colour: GREY, values: per_second(|s| s.requests) },
            Line { name: "served", colour: GREEN, values: per_second(|s| s.served) },
            Line { name: "refused", colour: ORANGE, values: per_second(|s| s.rejected) },
            Line { name: "failed or lost", colour: RED, values: per_second(|s| s.failed + s.lost) },
        ],
    )
}

/// Draws the origin's fetches and the demand for them, against its capacity.
///
/// # Errors
/// If the drawing library fails.
pub fn origin_chart(experiment: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    let per_second = |value_of: &dyn Fn(&Second) -> f64| seconds.iter().map(value_of).collect();
    line_chart(
        experiment,
        "Fetches a second at the origin: used, wanted, whole",
        &[
            Line { name: "whole", colour: GREY, values: per_second(&|_| experiment.origin.capacity) },
            Line { name: "wanted", colour: ORANGE, values: per_second(&|s| s.demand) },
            Line { name: "used", colour: BLUE, values: per_second(&|s| s.fetches as f64) },
        ],
    )
}

/// Draws the latencies of the served requests.
///
/// # Errors
/// If the drawing library fails.
pub fn latency_chart(experiment: &Experiment, seconds: &[Second]) -> Result<String, Error> {
    line_chart(
        experiment,
        "Latency of the commands served, ms",
        &[
            Line { name: "median", colour: BLUE, values: seconds.iter().map(|s| s.p50_ms).collect() },
            Line { name: "99th percentile", colour: RED, values: seconds.iter().map(|s| s.p99_ms).collect() },
        ],
    )
}

/// Draws a row per server or balancer, with the ratio of its value to its fair share in each second: white is the fair
/// share, blue less, red more. `rows` holds the ratios by row and second.
///
/// # Errors
/// If the drawing library fails.
pub fn heat_map(title: &str, row_label: &str, rows: &[Vec<f64>]) -> Result<String, Error> {
    let seconds = rows.iter().map(Vec::len).max().unwrap_or(1).max(1);
    let height_px = (rows.len() as u32 * 7).clamp(120, 900) + 70;
    render_svg(height_px, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{title} (blue 0, white 1, red 2 and more)"), CAPTION_FONT)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..rows.len() as f64)?;
        chart.configure_mesh().label_style(LABEL_FONT).disable_mesh().x_desc("s").y_desc(row_label).draw()?;
        chart.draw_series(rows.iter().enumerate().flat_map(|(row, ratios)| {
            ratios.iter().enumerate().map(move |(second, ratio)| {
                let (x, y) = (second as f64, row as f64);
                Rectangle::new([(x, y), (x + 1.0, y + 1.0)], heat_colour(*ratio).filled())
            })
        }))?;
        Ok(())
    })
}

/// A line of a figure by number of balancers.
pub struct SizeLine {
    /// Name in the legend.
    pub name: String,
    /// Pairs of a number of balancers and the value at that number.
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

/// Draws figures by number of balancers one below the other; the numbers are evenly spaced on the axis.
///
/// # Errors
/// If the drawing library fails.
pub fn size_charts(figures: &[SizeFigure<'_>]) -> Result<String, Error> {
    let points = figures.iter().flat_map(SizeFigure::points);
    let mut sizes: Vec<usize> = points.map(|(size, _)| *size).collect();
    sizes.sort_unstable();
    sizes.dedup();
    render_svg(SIZE_FIGURE_HEIGHT_PX * figures.len() as u32, |area| {
        for (figure_area, figure) in area.split_evenly((figures.len(), 1)).iter().zip(figures) {
            draw_size_figure(figure_area, figure, &sizes)?;
        }
        Ok(())
    })
}

fn draw_size_figure(
    area: &DrawingArea<SVGBackend, Shift>,
    figure: &SizeFigure<'_>,
    sizes: &[usize],
) -> Result<(), Error> {
    let end = sizes.len().saturating_sub(1).max(1) as f64 * SIZE_AXIS_RATIO;
    let max_value = figure.points().map(|(_, value)| *value).fold(MIN_AXIS_MAX, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(figure.title, CAPTION_FONT)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..max_value * VALUE_AXIS_RATIO)?;
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
    for (index, line) in figure.lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let index_of = |size: &usize| sizes.iter().position(|other| other == size);
        let points = line.points.iter().filter_map(|(size, value)| Some((index_of(size)? as f64, *value)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)).point_size(3))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().label_font(LABEL_FONT).background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

/// The colour of a ratio to the fair share: from blue at 0 over white at 1 to red at 2 and more.
fn heat_colour(ratio: f64) -> RGBColor {
    let mix = |from: (u8, u8, u8), to: (u8, u8, u8), share: f64| {
        let channel = |a: u8, b: u8| (f64::from(a) + (f64::from(b) - f64::from(a)) * share) as u8;
        RGBColor(channel(from.0, to.0), channel(from.1, to.1), channel(from.2, to.2))
    };
    let (blue, white, red) = ((21, 101, 192), (255, 255, 255), (183, 28, 28));
    if ratio < 1.0 {
        mix(blue, white, ratio.max(0.0))
    } else {
        mix(white, red, (ratio - 1.0).min(1.0))
    }
}
