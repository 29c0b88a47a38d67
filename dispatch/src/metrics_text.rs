//! Figures in the Prometheus text format, as operators' tools read them.
//!
//! Every figure's name begins with `app_`, which is added here. Names and labels are an interface and never change.

use std::fmt::{Display, Write};

/// What a figure's value means over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only grows while the process runs.
    Counter,
    /// It goes up and down.
    Gauge,
}

impl MetricKind {
    fn label(self) -> &'static str {
        match self {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        }
    }
}

/// A label's name and value.
pub type Label<'a> = (&'a str, &'a str);

/// Figures, one a line.
#[derive(Debug, Default)]
pub struct MetricsText(String);

impl MetricsText {
    /// Writes the line that says of what kind a figure is.
    pub fn declare(&mut self, name: &str, kind: MetricKind) {
        self.write_line(format_args!("# TYPE app_{name} {}", kind.label()));
    }

    /// Writes a figure.
    pub fn sample(&mut self, name: &str, value: impl Display) {
        self.write_line(format_args!("app_{name} {value}"));
    }

    /// Writes a figure that a label distinguishes from others of its name.
    pub fn labelled_sample(&mut self, name: &str, (label, text): Label<'_>, value: impl Display) {
        self.write_line(format_args!("app_{name}{{{label}=\"{}\"}} {value}", escape(text)));
    }

    /// Writes the kind of a figure, and the figure.
    pub fn declared_sample(&mut self, name: &str, kind: MetricKind, value: impl Display) {
        self.declare(name, kind);
        self.sample(name, value);
    }

    /// The text.
    pub fn into_string(self) -> String {
        self.0
    }

    fn write_line(&mut self, line: std::fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "{line}");
    }
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
