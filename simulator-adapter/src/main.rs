//! Runs juniperladder balancers for the simulator: reads batches of events as JSON lines from standard input
//! and answers each with one line of actions. The adapter only translates; the balancers make all decisions.

mod error;
mod instances;
mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

use error::RunError;
use instances::Instances;

/// Size of the input buffer in bytes; a batch may be megabytes long.
const INPUT_BUFFER_BYTES: usize = 1 << 20;
/// Size of the output buffer in bytes.
const OUTPUT_BUFFER_BYTES: usize = 1 << 18;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("juniperladder-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers lines until the end of input.
fn run() -> Result<(), RunError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    let mut instances = Instances::default();
    let mut input_line = Vec::new();
    let mut line = 0;
    loop {
        input_line.clear();
        line += 1;
        let length =
            input.read_until(b'\n', &mut input_line).map_err(|source| RunError::Read { line, source })?;
        if length == 0 {
            return Ok(());
        }
        instances.process_line(&input_line, &mut output).map_err(|source| RunError::Line { line, source })?;
        output.flush().map_err(|source| RunError::Flush { line, source })?;
    }
}
