//! Frames: a batch in, a reply out. Big-endian, without padding between fields.

use crate::{malformed, Malformed};
use oatlever::round::{Address, Writer};
use std::io::{ErrorKind, Read};

const BATCH_HEADER: usize = 20;
const REPLY_HEADER: usize = 12;
const EVENT: usize = 56;
const ACTION: usize = 24;
/// Batches are megabytes at most; a length beyond this is taken for garbage.
const LONGEST: usize = 1 << 30;

pub struct Batch {
    /// The clock, in milliseconds.
    pub clock: f64,
    pub number: u32,
    count: usize,
    body: Vec<u8>,
}

/// Reads until `buffer` is full or the input ends; returns how much was read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, Malformed> {
    let mut have = 0;
    while have < buffer.len() {
        match input.read(&mut buffer[have..]) {
            Ok(0) => break,
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return malformed(format!("reading input: {e}")),
        }
    }
    Ok(have)
}

/// The next batch, or `None` where the input ends between two frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, Malformed> {
    let mut header = [0; BATCH_HEADER];
    match fill(input, &mut header)? {
        0 => return Ok(None),
        BATCH_HEADER => {}
        n => return malformed(format!("input ends {n} bytes into a frame header")),
    }
    let at = View(&header);
    let (clock, long) = (at.f64(0), at.u32(8) as usize);
    let (count, number) = (at.u32(12) as usize, at.u32(16));
    if !clock.is_finite() {
        return malformed(format!("batch {number}: the clock is not a number"));
    }
    let least = count.saturating_mul(EVENT).saturating_add(BATCH_HEADER);
    if long < least || long > LONGEST {
        return malformed(format!("batch {number}: a length of {long} bytes does not fit {count} records"));
    }
    let mut body = Vec::new();
    let wanted = long - BATCH_HEADER;
    match input.take(wanted as u64).read_to_end(&mut body) {
        Ok(n) if n == wanted => {}
        Ok(n) => return malformed(format!("batch {number}: input ends after {n} of {wanted} bytes")),
        Err(e) => return malformed(format!("reading batch {number}: {e}")),
    }
    Ok(Some(Batch { clock, number, count, body }))
}

impl Batch {
    pub fn records(&self) -> impl Iterator<Item = View<'_>> {
        self.body[..self.count * EVENT].chunks_exact(EVENT).map(View)
    }

    /// `each` bytes times the length, from the offset, both read from the record at `at`.
    pub fn tail(&self, record: View, at: usize, each: usize) -> Result<&[u8], Malformed> {
        let tail = &self.body[self.count * EVENT..];
        let (from, many) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let span = many.checked_mul(each).and_then(|n| n.checked_add(from));
        match span {
            Some(to) if to <= tail.len() => Ok(&tail[from..to]),
            _ => malformed(format!(
                "{many} items of {each} bytes at {from} lie outside a tail of {} bytes",
                tail.len()
            )),
        }
    }
}

/// Fields by their byte place in a record.
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
    /// A load report, which nobody reads yet: a count, then room for four values.
    pub fn check_load(self, at: usize) -> Result<(), Malformed> {
        match self.u8(at) {
            0..=4 => Ok(()),
            many => malformed(format!("a load report of {many} values, at most 4 fit")),
        }
    }
}

/// One reply in the making; as a `Writer` it turns orders into records.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    instance: u16,
}

impl Reply {
    /// Orders from here on are this instance's.
    pub fn speak_for(&mut self, instance: u16) {
        self.instance = instance;
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.extend_from_slice(&code.to_be_bytes());
        self.records.extend_from_slice(&self.instance.to_be_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    pub fn finish(self, number: u32) -> Vec<u8> {
        let long = REPLY_HEADER + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(long);
        out.extend_from_slice(&((self.records.len() / ACTION) as u32).to_be_bytes());
        out.extend_from_slice(&(long as u32).to_be_bytes());
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}

impl Writer for Reply {
    fn set_weight(&mut self, table: u16, server: Address, weight: f64) {
        let heft = (weight as f32).to_be_bytes();
        let port = server.port.to_be_bytes();
        self.record(261, &[&table.to_be_bytes(), &server.host, &port, &heft]);
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
        let share = (level as f32).to_be_bytes();
        let (table, bits) = (table.to_be_bytes(), classes.to_be_bytes());
        self.record(265, &[&table, &bits, &share, &[tries]]);
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
        let span = (after * 1000.0).to_be_bytes();
        self.record(263, &[&span, &number.to_be_bytes()]);
    }
    fn log(&mut self, text: &str) {
        let at = (self.tail.len() as u32).to_be_bytes();
        let long = (text.len() as u32).to_be_bytes();
        self.tail.extend_from_slice(text.as_bytes());
        self.record(256, &[&at, &long]);
    }
}
