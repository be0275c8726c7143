//! The clock of a run and its record.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of a run, in seconds, and the file that tells what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    started_unix: f64,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64());
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { start: Instant::now(), started_unix: unix, file })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The Unix time, in milliseconds, of a moment of this run.
    pub fn unix_ms(&self, at: f64) -> f64 {
        ((self.started_unix + at) * 1000.0).round()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.now());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.4} {text}", self.now());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A small generator of random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.unit()
    }
}
