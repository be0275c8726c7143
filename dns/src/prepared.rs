//! A cache of encoded answers, valid until their table changes.
//!
//! The records that follow the question are the same in every response for a name and table, whatever the
//! case of the query name, since owner names are compressed to a pointer to the question. The header, the
//! question and the OPT record differ and are added to each response.

use hickory_proto::op::{Header, HeaderCounts, Message, Metadata, Query};
use hickory_proto::rr::rdata::A;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hickory_proto::serialize::binary::{BinEncodable, BinEncoder};
use hickory_proto::ProtoError;
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// Bytes of a header, and of type and class after a question's name (RFC 1035).
const HEADER: usize = 12;
const TYPE_AND_CLASS: usize = 4;

/// Bytes of a record's TTL, of its data length, and of an IPv4 address (RFC 1035).
const TTL: usize = 4;
const DATA_LENGTH: usize = 2;
const ADDRESS: usize = 4;
/// Cached names; the cache is cleared when it is full. Names that get an answer are bounded by the settings,
/// so that only settings with very many classes and zones reach this limit.
const MAX_NAMES: usize = 4096;

/// The encoded records of a response.
struct Encoded {
    version: u64,
    records: Vec<u8>,
    /// Bytes of `records` without the additional section.
    answers_len: usize,
    answers: u16,
    additionals: u16,
}

/// Caches encoded records by table and name.
#[derive(Default)]
pub struct AnswerCache {
    entries: HashMap<(u16, Name), Encoded>,
}

/// The bytes of a packet's first question, unless its name is compressed.
pub fn question(packet: &[u8]) -> Option<&[u8]> {
    let mut offset = HEADER;
    loop {
        match *packet.get(offset)? {
            0 => break,
            length @ 1..=63 => offset += 1 + usize::from(length),
            _ => return None,
        }
    }
    packet.get(HEADER..offset + 1 + TYPE_AND_CLASS)
}

impl AnswerCache {
    /// Builds a response from the cached records, which are rebuilt by `records` (answers, additional
    /// records) when the table's version changed. Omits the additional records if the response would exceed
    /// `max_len` bytes with them; returns `None` if it would without them.
    pub fn message(
        &mut self,
        (table, version, name): (u16, u64, &Name),
        head: Head,
        max_len: usize,
        records: impl FnOnce() -> Result<(Vec<Record>, Vec<Record>), ProtoError>,
    ) -> Result<Option<Vec<u8>>, ProtoError> {
        let key = (table, name.to_lowercase());
        if self.entries.get(&key).is_none_or(|entry| entry.version != version) {
            if self.entries.len() >= MAX_NAMES {
                self.entries.clear();
            }
            let (answers, additionals) = records()?;
            self.entries.insert(key.clone(), encode(version, &key.1, answers, additionals)?);
        }
        let entry = &self.entries[&key];
        let opt = encode_opt(head.2)?;
        let overhead = HEADER + head.1.len() + opt.len();
        let (records, additionals) = match () {
            () if overhead + entry.records.len() <= max_len => (&entry.records[..], entry.additionals),
            () if overhead + entry.answers_len <= max_len => (&entry.records[..entry.answers_len], 0),
            () => return Ok(None),
        };
        assemble(head, (entry.answers, records), (additionals, &opt)).map(Some)
    }
}

/// The parts of a response that are not cached: header fields, encoded question, OPT record.
pub type Head<'a> = (&'a Metadata, &'a [u8], Option<&'a Record>);

fn encode_opt(edns: Option<&Record>) -> Result<Vec<u8>, ProtoError> {
    let mut bytes = Vec::new();
    if let Some(edns) = edns {
        edns.emit(&mut BinEncoder::new(&mut bytes))?;
    }
    Ok(bytes)
}

fn assemble(
    (metadata, question, edns): Head,
    (answers, records): (u16, &[u8]),
    (additionals, opt): (u16, &[u8]),
) -> Result<Vec<u8>, ProtoError> {
    let counts = HeaderCounts {
        queries: 1,
        answers,
        authorities: 0,
        additionals: additionals + u16::from(edns.is_some()),
    };
    let mut out = Vec::with_capacity(HEADER + question.len() + records.len() + opt.len());
    Header { metadata: *metadata, counts }.emit(&mut BinEncoder::new(&mut out))?;
    out.extend_from_slice(question);
    out.extend_from_slice(records);
    out.extend_from_slice(opt);
    Ok(out)
}

/// Encodes A records of the query name from a template, filling in TTLs and addresses.
pub struct AddressEncoder {
    /// The bytes of a record before its TTL.
    prefix: Vec<u8>,
    /// The bytes between TTL and address: the data length.
    data_length: Vec<u8>,
}

impl AddressEncoder {
    pub fn new() -> Result<Self, ProtoError> {
        let name = Name::from_ascii("any.")?;
        let record = Record::from_rdata(name.clone(), 0, RData::A(A(Ipv4Addr::UNSPECIFIED)));
        let record = encode(0, &name, vec![record], Vec::new())?.records;
        let (prefix, rest) = record.split_at(record.len() - ADDRESS - DATA_LENGTH - TTL);
        let data_length = rest[TTL..TTL + DATA_LENGTH].to_vec();
        Ok(AddressEncoder { prefix: prefix.to_vec(), data_length })
    }

    fn record_len(&self) -> usize {
        self.prefix.len() + TTL + DATA_LENGTH + ADDRESS
    }

    /// The number of addresses that fit into a message of `max_len` bytes.
    pub fn capacity(&self, head: Head, max_len: usize) -> Result<usize, ProtoError> {
        let overhead = HEADER + head.1.len() + encode_opt(head.2)?.len();
        Ok(max_len.saturating_sub(overhead) / self.record_len())
    }

    /// Builds a response with these addresses and a TTL in seconds.
    pub fn message(&self, head: Head, hosts: &[Ipv4Addr], ttl: u32) -> Result<Vec<u8>, ProtoError> {
        let mut records = Vec::with_capacity(hosts.len() * self.record_len());
        for host in hosts {
            records.extend_from_slice(&self.prefix);
            records.extend_from_slice(&ttl.to_be_bytes());
            records.extend_from_slice(&self.data_length);
            records.extend_from_slice(&host.octets());
        }
        assemble(head, (hosts.len() as u16, &records), (0, &encode_opt(head.2)?))
    }
}

fn encode(
    version: u64,
    name: &Name,
    answers: Vec<Record>,
    additionals: Vec<Record>,
) -> Result<Encoded, ProtoError> {
    let mut message = Message::query();
    message.add_query(Query::query(name.clone(), RecordType::SRV));
    let head_len = message.to_vec()?.len();
    message.add_answers(answers);
    let answers_len = message.to_vec()?.len() - head_len;
    message.add_additionals(additionals);
    let records = message.to_vec()?.split_off(head_len);
    // The encoder omits records beyond the largest message size; the header has the actual counts.
    let bytes = message.to_vec()?;
    let count = |offset: usize| u16::from_be_bytes([bytes[offset], bytes[offset + 1]]);
    Ok(Encoded { version, records, answers_len, answers: count(6), additionals: count(10) })
}
