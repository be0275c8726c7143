//! Commands to a control socket whose pilot does not respond as it should.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Twice the time that a command may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The error output of a command to a fake pilot, which handles its connection with `respond`.
fn command_error(name: &str, respond: impl FnOnce(UnixStream) + Send + 'static) -> String {
    let path = std::env::temp_dir().join(format!("oatlever-{}-{name}.socket", std::process::id()));
    let listener = UnixListener::bind(&path).unwrap();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(&stream);
        let mut line = String::new();
        while reader.read_line(&mut line).unwrap() > 2 {
            line.clear();
        }
        respond(stream);
    });
    let mut program = Command::new(env!("CARGO_BIN_EXE_oatlever"));
    program.args(["tables", "--socket", path.to_str().unwrap(), "list"]);
    let mut child = program.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let started = Instant::now();
    while child.try_wait().unwrap().is_none() && started.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(5));
    }
    let ended = child.try_wait().unwrap();
    child.kill().unwrap();
    let output = child.wait_with_output().unwrap();
    std::fs::remove_file(path).unwrap();
    let status = ended.unwrap_or_else(|| panic!("the command waits after {:?}", started.elapsed()));
    assert!(!status.success());
    String::from_utf8(output.stderr).unwrap()
}

/// A command waited for ever for a response that kept arriving: its timeout was one for each read.
#[test]
fn a_response_without_end_does_not_hold_a_command() {
    let drip = |mut stream: UnixStream| {
        while stream.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    let error = command_error("drip", drip);
    assert!(error.contains("no complete response within 10 s"), "{error}");
}

/// The response was read into memory whatever its size.
#[test]
fn a_response_is_limited_in_size() {
    let flood = |mut stream: UnixStream| while stream.write_all(&[b'x'; 1 << 16]).is_ok() {};
    let error = command_error("flood", flood);
    assert!(error.contains("response exceeds 67108864 bytes"), "{error}");
}
