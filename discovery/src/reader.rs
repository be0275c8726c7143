//! Polls a source of documents and stores the last valid list in a file.

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
    /// Parses `http://address:port/path` or `file:///path`. Returns `None` for anything else.
    pub fn parse(text: &str) -> Option<Source> {
        match text.strip_prefix("file://") {
            Some(path) => Some(Source::File(path.into())),
            None => fetch::HttpUrl::parse(text).map(Source::Http),
        }
    }

    /// Reads the document. Fails if the source is silent for `timeout` seconds, or keeps sending for several times
    /// as long ([`fetch::Timeouts::from_silence`]). Also returns the Unix time in seconds, by the clock of the source, at which it was
    /// sent.
    async fn read(&self, timeout: f64, max_bytes: usize) -> Result<(Vec<u8>, Option<f64>), String> {
        let unix = |time: SystemTime| time.duration_since(UNIX_EPOCH).ok().map(|t| t.as_secs_f64());
        match self {
            Source::Http(url) => {
                let answer = fetch::get::<fetch::AsyncIo>(
                    url,
                    None,
                    fetch::Timeouts::from_silence(timeout),
                    max_bytes,
                )
                .await
                .map_err(|e| e.to_string())?;
                if answer.status != 200 {
                    return Err(format!("status {}", answer.status));
                }
                let date = answer.date.and_then(|date| httpdate::parse_http_date(&date).ok());
                Ok((answer.body, date.and_then(unix)))
            }
            Source::File(path) => {
                let error = |e: std::io::Error| format!("{}: {e}", path.display());
                let size = std::fs::metadata(path).map_err(error)?.len();
                if size > max_bytes as u64 {
                    return Err(format!("{}: {size} bytes, more than {max_bytes}", path.display()));
                }
                Ok((std::fs::read(path).map_err(error)?, unix(SystemTime::now())))
            }
        }
    }
}

/// The file that stores the last valid list.
#[derive(Clone, Debug)]
pub struct Cache(pub PathBuf);

impl BootTime {
    /// The current time, or `None` if the system does not provide a boot ID.
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

    /// Replaces the file atomically: after a crash it holds either the old or the new list.
    pub fn save(&self, text: &str) -> std::io::Result<()> {
        let temporary = self.0.with_extension("new");
        let mut file = std::fs::File::create(&temporary)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&temporary, &self.0)?;
        let folder = self.0.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(folder)?.sync_all()
    }
}

/// Reads the source once per period, forever, and passes each document or error to `sink`.
pub async fn poll(
    source: Source,
    zones: Vec<String>,
    (period, timeout): (f64, f64),
    max_bytes: usize,
    mut sink: impl FnMut(Result<(Document, Option<f64>), String>),
) {
    loop {
        let start = Instant::now();
        let read = source.read(timeout, max_bytes).await;
        sink(
            read.and_then(|(bytes, clock)| Document::parse(&bytes, &zones).map(|document| (document, clock))),
        );
        async_io::Timer::at(start + Duration::from_secs_f64(period)).await;
    }
}
