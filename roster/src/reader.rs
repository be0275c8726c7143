//! Fetches documents, once a period, and keeps the last good list.

use crate::document::Document;
use crate::server_list::BootTime;
use oatlever_fetch as fetch;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where documents come from.
#[derive(Clone, Debug)]
pub enum Source {
    Http(fetch::HttpUrl),
    File(PathBuf),
}

impl Source {
    /// `http://address:port/path` or `file:///path`; none where the text is neither.
    pub fn parse(text: &str) -> Option<Source> {
        match text.strip_prefix("file://") {
            Some(path) => Some(Source::File(path.into())),
            None => fetch::HttpUrl::parse(text).map(Source::Http),
        }
    }

    /// The document's bytes, and the writer's Unix time, s, as it sent them.
    async fn read(&self, patience: f64, most: usize) -> Result<(Vec<u8>, Option<f64>), String> {
        let unix = |time: SystemTime| time.duration_since(UNIX_EPOCH).ok().map(|t| t.as_secs_f64());
        match self {
            Source::Http(place) => {
                let got = fetch::get::<fetch::AsyncIo>(place, None, patience, most)
                    .await
                    .map_err(|e| e.to_string())?;
                if got.status != 200 {
                    return Err(format!("status {}", got.status));
                }
                let date = got.date.and_then(|date| httpdate::parse_http_date(&date).ok());
                Ok((got.body, date.and_then(unix)))
            }
            Source::File(path) => {
                let told = |e: std::io::Error| format!("{}: {e}", path.display());
                let size = std::fs::metadata(path).map_err(told)?.len();
                if size > most as u64 {
                    return Err(format!("{}: {size} bytes, more than {most}", path.display()));
                }
                Ok((std::fs::read(path).map_err(told)?, unix(SystemTime::now())))
            }
        }
    }
}

/// The file that keeps the last good list.
#[derive(Clone, Debug)]
pub struct Cache(pub PathBuf);

impl BootTime {
    /// Now; none where the system does not tell.
    pub fn now() -> Option<BootTime> {
        let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = time.tv_sec as f64 + time.tv_nsec as f64 / 1e9;
        Some(BootTime { boot: boot.trim().to_string(), seconds })
    }
}

impl Cache {
    pub fn load(&self) -> std::io::Result<String> {
        std::fs::read_to_string(&self.0)
    }

    /// Replaces the file as a whole: a crash leaves the old one or the new one.
    pub fn save(&self, text: &str) -> std::io::Result<()> {
        let fresh = self.0.with_extension("new");
        let mut file = std::fs::File::create(&fresh)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&fresh, &self.0)?;
        let folder = self.0.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(folder)?.sync_all()
    }
}

/// Reads the source once a period for ever and hands on each document, or why there is none.
pub async fn poll(
    source: Source,
    zones: Vec<String>,
    (period, patience): (f64, f64),
    most_bytes: usize,
    mut sink: impl FnMut(Result<(Document, Option<f64>), String>),
) {
    loop {
        let begun = Instant::now();
        let read = source.read(patience, most_bytes).await;
        sink(
            read.and_then(|(bytes, clock)| Document::parse(&bytes, &zones).map(|document| (document, clock))),
        );
        async_io::Timer::at(begun + Duration::from_secs_f64(period)).await;
    }
}
