//! The record of a run: what was sent, answered and run, with the time of each event.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::Instant;

/// Writes one line for each event.
pub struct Record {
    started: Instant,
    file: RefCell<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = RefCell::new(BufWriter::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    /// Returns the seconds since the start of the run.
    pub fn elapsed_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes an event.
    pub fn note(&self, text: impl AsRef<str>) {
        let mut file = self.file.borrow_mut();
        let _ = writeln!(file, "[{:8.3}] {}", self.elapsed_s(), text.as_ref());
        let _ = file.flush();
    }

    /// Writes an event to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}
