//! Hosts juniperladder balancers behind the simulator's JSON lines. It translates and nothing else.

mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    let mut host = wire::Host::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|e| format!("cannot read line {number}: {e}"))? == 0 {
            return Ok(());
        }
        host.answer(&line, &mut output).map_err(|e| format!("line {number}: {e}"))?;
        output.flush().map_err(|e| format!("cannot write the reply to line {number}: {e}"))?;
    }
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("juniperladder-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
