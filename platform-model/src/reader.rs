//! Reads an experiment's file: its form, the values set over it, and the checks beyond the form.

#[cfg(test)]
pub(crate) mod tests;

use crate::check::check;
use crate::experiment::{Experiment, Problem};

/// Reads a file's text with these values set over it (`load.rate=300`), and checks it.
///
/// # Errors
/// All that is wrong, at least one problem.
pub fn read(text: &str, set: &[String]) -> Result<Experiment, Vec<Problem>> {
    let mut experiment: Experiment = toml::from_str(text).map_err(|e| vec![parse_problem(text, &e)])?;
    if !set.is_empty() {
        let plain = |what: String| vec![Problem { line: None, field: String::new(), what }];
        let mut table: toml::Table = toml::from_str(text).map_err(|e| plain(e.message().to_owned()))?;
        for one in set {
            override_value(&mut table, one).map_err(plain)?;
        }
        experiment =
            table.try_into().map_err(|e: toml::de::Error| plain(format!("--set: {}", e.message())))?;
    }
    let problems = check(&experiment, text);
    if problems.is_empty() {
        Ok(experiment)
    } else {
        Err(problems)
    }
}

/// Sets one value, given as `path=value`, in a file's table.
fn override_value(table: &mut toml::Table, text: &str) -> Result<(), String> {
    let (path, value) =
        text.split_once('=').ok_or(format!("--set {text}: write it as path=value, as in load.rate=300"))?;
    // What is no value of TOML is a plain word.
    let value = toml::from_str::<toml::Table>(&format!("x = {value}"))
        .ok()
        .and_then(|mut table| table.remove("x"))
        .unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let mut names: Vec<&str> = path.trim().split('.').collect();
    let last = names.pop().unwrap_or_default();
    let mut table = table;
    for name in names {
        let inner = table.entry(name).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        table = inner.as_table_mut().ok_or(format!("--set {text}: {name} is no table"))?;
    }
    // A rate given as 300 stays a number with a fraction where the file has one.
    let value = match (table.get(last), value) {
        (Some(toml::Value::Float(_)), toml::Value::Integer(whole)) => toml::Value::Float(whole as f64),
        (_, value) => value,
    };
    table.insert(last.to_owned(), value);
    Ok(())
}

fn parse_problem(text: &str, error: &toml::de::Error) -> Problem {
    let line = error.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    Problem { line, field: String::new(), what: error.message().replace('\n', " ") }
}
