//! A pilot as a process, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// The processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all pilots that still run.
pub fn kill_all() {
    for process in RUNNING.lock().map(|mut running| std::mem::take(&mut *running)).unwrap_or_default() {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -KILL {process}")])
            .stderr(Stdio::null())
            .status();
    }
}

/// Notes a process, so that it is killed at the end.
pub fn remember(process: u32) {
    RUNNING.lock().expect("a lock").push(process);
}

pub fn forget(process: u32) {
    if let Ok(mut running) = RUNNING.lock() {
        running.retain(|other| *other != process);
    }
}

pub struct Pilot {
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Pilot {
    /// A pilot that is not started yet, at a free address.
    pub fn new(name: &str, folder: &Path) -> std::io::Result<Self> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        Ok(Pilot { name: name.to_string(), address, folder: folder.to_path_buf(), child: None, starts: 0 })
    }

    fn configuration_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Writes the configuration file.
    pub fn configure(
        &self,
        discovery: SocketAddr,
        known: &str,
        limits: &str,
        settings: &str,
    ) -> std::io::Result<()> {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be9{:02x}",
"limits":{limits},"known":{known},"settings":{settings}}}"#,
            self.name, self.address, self.starts
        );
        let new = self.folder.join(format!("{}.new", self.name));
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.configuration_path())
    }

    pub fn start(&mut self, root: &Path, run: &str) -> std::io::Result<()> {
        self.starts += 1;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_CONFIG", self.configuration_path())
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        remember(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal by its name, as `TERM`.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let kill = format!("kill -{name} {}", child.id());
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }

    /// Whether the process has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        forget(self.child.take()?.id());
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }
}

impl Drop for Pilot {
    fn drop(&mut self) {
        self.kill();
    }
}
