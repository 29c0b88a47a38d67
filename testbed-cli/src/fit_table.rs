//! `fit`: fits a cost column of a table to its size column, and prints the fits. `scale --sizes` also prints its fits with
//! this module, and takes the rows of its `fits.csv` from it.

use std::path::Path;

use crate::exit::ExitStatus;
use crate::fit::{fit, predict_largest, Fit, Prediction};

/// A row of `fits.csv`, in the order of [`FIT_COLUMNS`]; the cells of the prediction are empty if the smaller sizes are too
/// few for one.
pub type FitRecord = [String; 9];

/// The columns of `fits.csv`.
pub const FIT_COLUMNS: [&str; 9] =
    ["cost", "law", "a", "b", "residual", "size", "predicted", "measured", "error"];

/// A failure to read the points of a table.
#[derive(Debug, thiserror::Error)]
enum TableError {
    /// The table cannot be read, or is malformed.
    #[error("cannot read the table: {0}")]
    Csv(#[from] csv::Error),
    /// A cell is not a number.
    #[error("a cell of the fitted columns is not a number: {0}")]
    InvalidNumber(#[from] std::num::ParseFloatError),
    /// The table has no column of this name.
    #[error("no column {name}; there are {columns}")]
    NoColumn { name: String, columns: String },
}

/// Prints the best fit of a cost, and the cost of the largest size as predicted from the smaller ones; returns the row for
/// `fits.csv`, or none if the points cannot be fitted.
pub fn print_fit(name: &str, points: &[(f64, f64)]) -> Option<FitRecord> {
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
    let prediction = predict_largest(points).ok();
    if let Some(prediction) = &prediction {
        print_prediction(prediction);
    }
    Some(fit_record(name, &best, prediction.as_ref()))
}

fn print_prediction(prediction: &Prediction) {
    println!(
        "    from the smaller sizes ({}): {:.4} at {:.0}, measured {:.4}, error {:+.1}%",
        prediction.fit.law.name(),
        prediction.predicted,
        prediction.size,
        prediction.measured,
        100.0 * prediction.error()
    );
}

fn fit_record(name: &str, best: &Fit, prediction: Option<&Prediction>) -> FitRecord {
    let prediction_cell = |format: fn(&Prediction) -> String| prediction.map(format).unwrap_or_default();
    [
        name.to_owned(),
        best.law.name().to_owned(),
        format!("{:.6}", best.a),
        format!("{:.9}", best.b),
        format!("{:.6}", best.residual),
        prediction_cell(|prediction| format!("{:.0}", prediction.size)),
        prediction_cell(|prediction| format!("{:.6}", prediction.predicted)),
        prediction_cell(|prediction| format!("{:.6}", prediction.measured)),
        prediction_cell(|prediction| format!("{:.4}", prediction.error())),
    ]
}

/// Prints the fits of all laws to the cost column of a table; skips lines that begin with #.
pub fn fit_table(path: &Path, size_column: &str, cost_column: &str) -> ExitStatus {
    let points = match read_points(path, size_column, cost_column) {
        Ok(points) => points,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitStatus::CANNOT_RUN;
        }
    };
    if print_fit(cost_column, &points).is_none() {
        return ExitStatus::CANNOT_RUN;
    }
    for ranked_fit in fit(&points).unwrap_or_default() {
        let name = ranked_fit.law.name();
        println!(
            "    {name:14} a = {:.4}, b = {:.6}, residual {:.4}",
            ranked_fit.a, ranked_fit.b, ranked_fit.residual
        );
    }
    ExitStatus::PASSED
}

fn read_points(path: &Path, size_column: &str, cost_column: &str) -> Result<Vec<(f64, f64)>, TableError> {
    let mut table = csv::ReaderBuilder::new().comment(Some(b'#')).from_path(path)?;
    let headers = table.headers()?.clone();
    let size_index = column_index(&headers, size_column)?;
    let cost_index = column_index(&headers, cost_column)?;
    let mut points = Vec::new();
    for record in table.records() {
        let record = record?;
        let (size, cost) = (&record[size_index], &record[cost_index]);
        // An empty cell is a figure that was not measured in that run.
        if size.is_empty() || cost.is_empty() {
            continue;
        }
        points.push((size.parse()?, cost.parse()?));
    }
    Ok(points)
}

fn column_index(headers: &csv::StringRecord, name: &str) -> Result<usize, TableError> {
    let index = headers.iter().position(|header| header == name);
    index.ok_or_else(|| TableError::NoColumn {
        name: name.to_owned(),
        columns: headers.iter().collect::<Vec<_>>().join(", "),
    })
}
