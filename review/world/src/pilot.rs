//! The pilot as a process, started with the command of the deploy file.

use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The value of a key of the deploy file.
fn deploy_line(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line =
        text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("a line of the deploy file");
    line.split('"').nth(1).expect("a quoted value").to_string()
}

pub struct Pilot {
    child: Child,
    folder: PathBuf,
    record: Record,
    name: String,
}

/// A free address. It is closed again, so that the pilot can listen there.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Pilot {
    /// Starts a pilot. `configuration` is the configuration file's text.
    pub fn start(
        name: &str,
        address: SocketAddr,
        configuration: &str,
        root: &Path,
        record: &Record,
    ) -> Pilot {
        static STARTS: AtomicU32 = AtomicU32::new(0);
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("review-{}-{name}-{start}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("config.json");
        std::fs::write(&path, configuration).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_line(root, "run")).current_dir(root);
        command.env("BALANCER_LISTEN", address.to_string());
        command.env("BALANCER_CONFIG", &path).env("BALANCER_NAME", name).env("TMPDIR", &folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
        // It ends with this process, however that ends.
        // SAFETY: `prctl` is async-signal-safe, and neither allocates nor takes a lock.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command.spawn().expect("the pilot starts");
        record.say(&format!("pilot {name} started, process {}", child.id()));
        Pilot { child, folder, record: record.clone(), name: name.to_string() }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.record.say(&format!("pilot {} is killed", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Copies the pilot's log into the record.
    pub fn copy_log(&self) {
        for line in std::fs::read_to_string(self.folder.join("log")).unwrap_or_default().lines() {
            self.record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Pilot {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
