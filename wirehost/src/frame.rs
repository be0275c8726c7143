//! Encoding of frames: incoming batches and outgoing replies. Fields are big-endian and not padded.

use crate::{malformed, Malformed};
use oatlever::round::{Address, Writer};
use std::io::{ErrorKind, Read};

const BATCH_HEADER_BYTES: usize = 20;
const REPLY_HEADER_BYTES: usize = 12;
const EVENT_BYTES: usize = 56;
const ACTION_BYTES: usize = 24;
/// Maximum length of a batch. Real batches have megabytes at most, so a larger length means corrupt input.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// A batch of event records, followed by a tail of variable-length data.
pub struct Batch {
    /// The simulator's clock, in milliseconds.
    pub clock: f64,
    pub number: u32,
    count: usize,
    body: Vec<u8>,
}

/// Reads until `buffer` is full or the input ends. Returns the number of bytes read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, Malformed> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return malformed(format!("reading input: {e}")),
        }
    }
    Ok(filled)
}

/// Reads the next batch. Returns `None` if the input ends between two frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, Malformed> {
    let mut header = [0; BATCH_HEADER_BYTES];
    match fill(input, &mut header)? {
        0 => return Ok(None),
        BATCH_HEADER_BYTES => {}
        n => return malformed(format!("input ends {n} bytes into a frame header")),
    }
    let view = View(&header);
    let (clock, length) = (view.f64(0), view.u32(8) as usize);
    let (count, number) = (view.u32(12) as usize, view.u32(16));
    if !clock.is_finite() {
        return malformed(format!("batch {number}: the clock is not a number"));
    }
    let min_length = count.saturating_mul(EVENT_BYTES).saturating_add(BATCH_HEADER_BYTES);
    if length < min_length || length > MAX_BATCH_BYTES {
        return malformed(format!("batch {number}: a length of {length} bytes does not fit {count} records"));
    }
    let mut body = Vec::new();
    let body_length = length - BATCH_HEADER_BYTES;
    match input.take(body_length as u64).read_to_end(&mut body) {
        Ok(n) if n == body_length => {}
        Ok(n) => return malformed(format!("batch {number}: input ends after {n} of {body_length} bytes")),
        Err(e) => return malformed(format!("reading batch {number}: {e}")),
    }
    Ok(Some(Batch { clock, number, count, body }))
}

impl Batch {
    pub fn records(&self) -> impl Iterator<Item = View<'_>> {
        self.body[..self.count * EVENT_BYTES].chunks_exact(EVENT_BYTES).map(View)
    }

    /// Returns the part of the tail that a record refers to. The record holds the offset in the tail, in
    /// bytes, at position `at`, followed by the number of items of `item_bytes` bytes each.
    pub fn tail(&self, record: View, at: usize, item_bytes: usize) -> Result<&[u8], Malformed> {
        let tail = &self.body[self.count * EVENT_BYTES..];
        let (start, count) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let end = count.checked_mul(item_bytes).and_then(|n| n.checked_add(start));
        match end {
            Some(end) if end <= tail.len() => Ok(&tail[start..end]),
            _ => malformed(format!(
                "{count} items of {item_bytes} bytes at {start} lie outside a tail of {} bytes",
                tail.len()
            )),
        }
    }
}

/// Access to the fields of a record by byte offset.
#[derive(Clone, Copy)]
pub struct View<'a>(pub &'a [u8]);

impl View<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    pub fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    pub fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    pub fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    pub fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    pub fn f64(self, at: usize) -> f64 {
        f64::from_be_bytes(self.bytes(at))
    }
    pub fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.bytes(at)))
    }
    pub fn address(self, at: usize) -> Address {
        Address { host: self.bytes(at), port: self.u16(at + 4) }
    }
    /// Validates a load report, which is not used yet: a count, followed by space for four values.
    pub fn check_load(self, at: usize) -> Result<(), Malformed> {
        match self.u8(at) {
            0..=4 => Ok(()),
            count => malformed(format!("a load report of {count} values, at most 4 fit")),
        }
    }
}

/// A reply under construction. As a [`Writer`], it encodes orders as action records.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    instance: u16,
}

impl Reply {
    /// Sets the instance that the following orders come from.
    pub fn set_instance(&mut self, instance: u16) {
        self.instance = instance;
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.extend_from_slice(&code.to_be_bytes());
        self.records.extend_from_slice(&self.instance.to_be_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    pub fn finish(self, number: u32) -> Vec<u8> {
        let length = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(length);
        out.extend_from_slice(&((self.records.len() / ACTION_BYTES) as u32).to_be_bytes());
        out.extend_from_slice(&(length as u32).to_be_bytes());
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}

impl Writer for Reply {
    fn set_weight(&mut self, table: u16, server: Address, weight: f64) {
        let weight = (weight as f32).to_be_bytes();
        let port = server.port.to_be_bytes();
        self.record(261, &[&table.to_be_bytes(), &server.host, &port, &weight]);
    }
    fn clear_table(&mut self, table: u16) {
        self.record(266, &[&table.to_be_bytes()]);
    }
    fn bind(&mut self, proxy: u16, table: u16) {
        self.record(264, &[&proxy.to_be_bytes(), &table.to_be_bytes()]);
    }
    fn withdraw(&mut self, server: Address, out: bool) {
        let port = server.port.to_be_bytes();
        self.record(259, &[&server.host, &port, &[u8::from(out)]]);
    }
    fn set_level(&mut self, table: u16, classes: u16, level: f64, tries: u8) {
        let level = (level as f32).to_be_bytes();
        let (table, bits) = (table.to_be_bytes(), classes.to_be_bytes());
        self.record(265, &[&table, &bits, &level, &[tries]]);
    }
    fn check_health(&mut self, server: Address) {
        self.record(258, &[&server.host, &server.port.to_be_bytes()]);
    }
    fn mark(&mut self, number: u64, everyone: bool) {
        self.record(268, &[&number.to_be_bytes(), &[u8::from(everyone)]]);
    }
    fn follow_list(&mut self) {
        self.record(262, &[&[1]]);
    }
    fn fetch_list(&mut self) {
        self.record(267, &[]);
    }
    fn set_timer(&mut self, after: f64, number: u64) {
        let millis = (after * 1000.0).to_be_bytes();
        self.record(263, &[&millis, &number.to_be_bytes()]);
    }
    fn log(&mut self, text: &str) {
        let at = (self.tail.len() as u32).to_be_bytes();
        let length = (text.len() as u32).to_be_bytes();
        self.tail.extend_from_slice(text.as_bytes());
        self.record(256, &[&at, &length]);
    }
}
