//! Reads an experiment file: parses it, applies overrides, and checks the result.

#[cfg(test)]
pub(crate) mod tests;

use crate::check::find_problems;
use crate::experiment::{Experiment, FileProblem};

/// The reason why an override of a file's value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The override has no equals sign.
    #[error("--set {0}: the value is missing; write path=value, for example load.rate=300")]
    MissingValue(String),
    /// A parent on the path is not a table.
    #[error("--set {text}: {name} is not a table")]
    NotATable {
        /// The override's text.
        text: String,
        /// The name of the parent on the path.
        name: String,
    },
}

/// Reads a file's text, applies overrides such as `load.rate=300`, and checks the result.
///
/// # Errors
/// All problems found, at least one.
pub fn read(text: &str, overrides: &[String]) -> Result<Experiment, Vec<FileProblem>> {
    let without_overrides: Experiment =
        toml::from_str(text).map_err(|error| vec![parse_problem(text, &error)])?;
    let experiment =
        if overrides.is_empty() { without_overrides } else { read_with_overrides(text, overrides)? };
    let problems = find_problems(&experiment, text);
    if problems.is_empty() {
        Ok(experiment)
    } else {
        Err(problems)
    }
}

fn read_with_overrides(text: &str, overrides: &[String]) -> Result<Experiment, Vec<FileProblem>> {
    let mut table: toml::Table =
        toml::from_str(text).map_err(|error| vec![FileProblem::of_file(error.message())])?;
    for text in overrides {
        override_value(&mut table, text).map_err(|error| vec![FileProblem::of_file(error)])?;
    }
    let problem = |error: toml::de::Error| vec![FileProblem::of_file(format!("--set: {}", error.message()))];
    table.try_into().map_err(problem)
}

/// Applies one override, given as `path=value`, to a file's table.
fn override_value(table: &mut toml::Table, text: &str) -> Result<(), OverrideError> {
    let (path, value) = text.split_once('=').ok_or_else(|| OverrideError::MissingValue(text.to_owned()))?;
    let (parents, name) = match path.trim().rsplit_once('.') {
        Some((parents, name)) => (Some(parents), name),
        None => (None, path.trim()),
    };
    let mut table = table;
    for parent in parents.into_iter().flat_map(|parents| parents.split('.')) {
        let child = table.entry(parent).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        table = child
            .as_table_mut()
            .ok_or_else(|| OverrideError::NotATable { text: text.to_owned(), name: parent.to_owned() })?;
    }
    let value = match (table.get(name), parse_value(value)) {
        // An integer such as 300 becomes a float if the file has a float there.
        (Some(toml::Value::Float(_)), toml::Value::Integer(integer)) => toml::Value::Float(integer as f64),
        (_, value) => value,
    };
    table.insert(name.to_owned(), value);
    Ok(())
}

/// Parses a TOML value; text that is not one becomes a string.
fn parse_value(text: &str) -> toml::Value {
    let table = toml::from_str::<toml::Table>(&format!("x = {text}"));
    let value = table.ok().and_then(|mut table| table.remove("x"));
    value.unwrap_or_else(|| toml::Value::String(text.to_owned()))
}

fn parse_problem(text: &str, error: &toml::de::Error) -> FileProblem {
    let line = error.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    FileProblem { line, ..FileProblem::of_file(error.message().replace('\n', " ")) }
}
