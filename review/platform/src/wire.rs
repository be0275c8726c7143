//! The simulator's wire: batches of events to a process that hosts instances, and its replies.

use std::io::{Error, Read, Result, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const EVENT_BYTES: usize = 56;
const ACTION_BYTES: usize = 24;
const LIST_ENTRY_BYTES: usize = 24;

/// A server as the wire names it: four bytes of address and a port.
pub type Endpoint = ([u8; 4], u16);

/// An order of an instance that the stand-in acts on.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Weigh { slice: u16, server: Endpoint, weight: f32 },
    Clear { slice: u16 },
    Timer { after_ms: f64, handle: u64 },
    Other(u16),
}

/// A batch under construction.
#[derive(Default)]
pub struct Batch {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record(&mut self, code: u16, instance: u16, fields: &[&[u8]]) {
        let end = self.records.len() + EVENT_BYTES;
        self.records.extend_from_slice(&code.to_be_bytes());
        self.records.extend_from_slice(&instance.to_be_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    fn tail(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        field[4..].copy_from_slice(&(count as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    /// `Enlist`: an instance starts.
    pub fn start(&mut self, instance: u16, seed: u64, settings: &str) {
        let field = self.tail(settings.as_bytes(), settings.len());
        self.record(261, instance, &[&seed.to_be_bytes(), &field]);
    }

    /// `Registry`: entries are a server, its zone and its readiness.
    pub fn list(&mut self, instance: u16, kind: u8, version: u64, entries: &[(Endpoint, u16, u8)]) {
        let mut bytes = Vec::new();
        for ((host, port), zone, readiness) in entries {
            let end = bytes.len() + LIST_ENTRY_BYTES;
            bytes.extend_from_slice(host);
            bytes.extend_from_slice(&port.to_be_bytes());
            bytes.extend_from_slice(&zone.to_be_bytes());
            bytes.push(0);
            bytes.extend_from_slice(&0u16.to_be_bytes());
            bytes.push(*readiness);
            bytes.extend_from_slice(&1f32.to_be_bytes());
            bytes.resize(end, 0);
        }
        let field = self.tail(&bytes, entries.len());
        self.record(256, instance, &[&[kind], &version.to_be_bytes(), &field]);
    }

    /// `Attached`: the stream of a proxy is up.
    pub fn attached(&mut self, instance: u16, proxy: u16, zone: u16, rate: f32) {
        self.record(260, instance, &[&rate.to_be_bytes(), &zone.to_be_bytes(), &[1], &proxy.to_be_bytes()]);
    }

    /// `Mandate` with its `StandingLine`: the store gives a slice, with the line of its table if it has one.
    pub fn given(&mut self, instance: u16, slice: u16, owner: Option<Endpoint>) {
        self.record(262, instance, &[&slice.to_be_bytes(), &[1]]);
        if let Some((host, port)) = owner {
            self.record(
                259,
                instance,
                &[&host, &port.to_be_bytes(), &1f32.to_be_bytes(), &slice.to_be_bytes()],
            );
        }
    }

    /// `TickDue`.
    pub fn timer(&mut self, instance: u16, handle: u64) {
        self.record(257, instance, &[&handle.to_be_bytes()]);
    }

    /// `UpstreamStats`, over a second.
    pub fn met(&mut self, instance: u16, server: Endpoint, zone: u16, tries: u32, failed: u32, mean_ms: f64) {
        let (host, port) = server;
        self.record(
            266,
            instance,
            &[
                &failed.to_be_bytes(),
                &zone.to_be_bytes(),
                &mean_ms.to_be_bytes(),
                &tries.to_be_bytes(),
                &host,
                &port.to_be_bytes(),
                &1000f64.to_be_bytes(),
            ],
        );
    }

    /// `SliceLoad`, over a second.
    pub fn load(&mut self, instance: u16, slice: u16, class: u8, count: u32) {
        self.record(
            263,
            instance,
            &[
                &count.to_be_bytes(),
                &[class],
                &slice.to_be_bytes(),
                &0u32.to_be_bytes(),
                &1000f64.to_be_bytes(),
            ],
        );
    }
}

/// A process that hosts instances, started with the command of the deploy file.
pub struct Host {
    child: Child,
    input: ChildStdin,
    output: ChildStdout,
    batches: u32,
}

impl Host {
    pub fn start(root: &Path, run: &str) -> Result<Host> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        crate::pilot::remember(child.id());
        let (input, output) = (child.stdin.take().expect("a pipe"), child.stdout.take().expect("a pipe"));
        Ok(Host { child, input, output, batches: 0 })
    }

    /// Sends a batch at a clock time in ms and returns the actions with their instances.
    pub fn play(&mut self, clock_ms: f64, batch: Batch) -> Result<Vec<(u16, Action)>> {
        self.batches += 1;
        let length = 20 + batch.records.len() + batch.tail.len();
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&clock_ms.to_be_bytes());
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.extend_from_slice(&((batch.records.len() / EVENT_BYTES) as u32).to_be_bytes());
        frame.extend_from_slice(&self.batches.to_be_bytes());
        frame.extend_from_slice(&batch.records);
        frame.extend_from_slice(&batch.tail);
        self.input.write_all(&frame)?;
        self.input.flush()?;
        let mut head = [0; 12];
        self.output.read_exact(&mut head)?;
        let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if word(8) != self.batches {
            return Err(Error::other("a reply to another batch"));
        }
        let mut body = vec![0; word(4) as usize - head.len()];
        self.output.read_exact(&mut body)?;
        Ok(body[..word(0) as usize * ACTION_BYTES].chunks_exact(ACTION_BYTES).map(action).collect())
    }

    /// Kills the process.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::pilot::forget(self.child.id());
    }
}

fn action(record: &[u8]) -> (u16, Action) {
    let short = |at: usize| u16::from_be_bytes([record[at], record[at + 1]]);
    let long = |at: usize| u64::from_be_bytes(record[at..at + 8].try_into().expect("eight bytes"));
    let action = match short(0) {
        261 => Action::Weigh {
            slice: short(4),
            server: (record[6..10].try_into().expect("four bytes"), short(10)),
            weight: f32::from_be_bytes(record[12..16].try_into().expect("four bytes")),
        },
        266 => Action::Clear { slice: short(4) },
        263 => Action::Timer { after_ms: f64::from_bits(long(4)), handle: long(12) },
        code => Action::Other(code),
    };
    (short(2), action)
}
