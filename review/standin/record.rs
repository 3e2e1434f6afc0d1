//! The record of a script: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// `Record` writes lines with the time since the start of the script; its clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a folder to write to");
        Self {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        }
    }

    /// Returns a point in time in seconds since the start of the script.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:9.3} {text}", self.seconds(at)).expect("a writable record");
    }
}
