//! The record of a run: what was sent, answered and run, with the time since the run began.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<(File, String)>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = File::create(path)?;
        Ok(Record { begun: Instant::now(), file: Arc::new(Mutex::new((file, String::new()))) })
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file.0, "{:9.3} {text}", self.begun.elapsed().as_secs_f64());
        file.1 = text.to_owned();
    }

    /// The last line.
    pub fn last(&self) -> String {
        self.file.lock().unwrap().1.clone()
    }
}
