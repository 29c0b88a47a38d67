//! Metrics in the Prometheus text format, as operators' tools read them.
//!
//! Every metric name begins with `app_`, which is added here. Names and labels are an interface and never change.

use std::fmt::{Display, Write};

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only grows while the process runs.
    Counter,
    /// A value that rises and falls.
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

/// The name and value of a label.
pub type Label<'a> = (&'a str, &'a str);

/// Metrics text under construction, one sample per line.
#[derive(Debug, Default)]
pub struct MetricsText(String);

impl MetricsText {
    /// Writes the line that declares the type of a metric.
    pub fn declare(&mut self, name: &str, kind: MetricKind) {
        self.write_line(format_args!("# TYPE app_{name} {}", kind.label()));
    }

    /// Writes a sample.
    pub fn sample(&mut self, name: &str, value: impl Display) {
        self.write_line(format_args!("app_{name} {value}"));
    }

    /// Writes a sample with a label.
    pub fn labelled_sample(&mut self, name: &str, (label, text): Label<'_>, value: impl Display) {
        self.write_line(format_args!("app_{name}{{{label}=\"{}\"}} {value}", escape(text)));
    }

    /// Writes the type of a metric and its only sample.
    pub fn declared_sample(&mut self, name: &str, kind: MetricKind, value: impl Display) {
        self.declare(name, kind);
        self.sample(name, value);
    }

    /// The complete text.
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
