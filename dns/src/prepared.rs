//! Answers kept encoded from one change of their table to the next.
//!
//! All that follows the question is the same for everyone who asks for a name of a table, whatever case
//! they write it in, as owner names point at the question. What differs is put round it: header, question
//! and options.

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

/// Bytes of a record's lifetime, of its data's length, and of an IPv4 address (RFC 1035).
const LIFETIME: usize = 4;
const LENGTH: usize = 2;
const ADDRESS: usize = 4;
/// Names kept; past this all are made anew. Names that get an answer are bounded by the settings, so that
/// only settings with very many classes and zones ever come here.
const MOST: usize = 4096;

struct Encoded {
    version: u64,
    body: Vec<u8>,
    /// Bytes of `body` without additional records.
    bare: usize,
    answers: u16,
    additionals: u16,
}

#[derive(Default)]
pub struct Prepared {
    kept: HashMap<(u16, Name), Encoded>,
}

/// The question's bytes in a packet, if its name is written out.
pub fn question(packet: &[u8]) -> Option<&[u8]> {
    let mut at = HEADER;
    loop {
        match *packet.get(at)? {
            0 => break,
            length @ 1..=63 => at += 1 + usize::from(length),
            _ => return None,
        }
    }
    packet.get(HEADER..at + 1 + TYPE_AND_CLASS)
}

impl Prepared {
    /// A whole message: the kept body, made by `records` (answers, additional ones) where the version is
    /// new, with this head, question and options. Without the additional records where they do not fit;
    /// none where the answers do not fit either.
    pub fn message(
        &mut self,
        (table, version, name): (u16, u64, &Name),
        head: Head,
        most: usize,
        records: impl FnOnce() -> Result<(Vec<Record>, Vec<Record>), ProtoError>,
    ) -> Result<Option<Vec<u8>>, ProtoError> {
        let key = (table, name.to_lowercase());
        if self.kept.get(&key).is_none_or(|kept| kept.version != version) {
            if self.kept.len() >= MOST {
                self.kept.clear();
            }
            let (answers, additionals) = records()?;
            self.kept.insert(key.clone(), encode(version, &key.1, answers, additionals)?);
        }
        let kept = &self.kept[&key];
        let options = options(head.2)?;
        let fixed = HEADER + head.1.len() + options.len();
        let (body, additionals) = match () {
            () if fixed + kept.body.len() <= most => (&kept.body[..], kept.additionals),
            () if fixed + kept.bare <= most => (&kept.body[..kept.bare], 0),
            () => return Ok(None),
        };
        whole(head, (kept.answers, body), (additionals, &options)).map(Some)
    }
}

/// What stands before and after a body: the header's fields, the question's bytes, the OPT record.
pub type Head<'a> = (&'a Metadata, &'a [u8], Option<&'a Record>);

fn options(edns: Option<&Record>) -> Result<Vec<u8>, ProtoError> {
    let mut bytes = Vec::new();
    if let Some(edns) = edns {
        edns.emit(&mut BinEncoder::new(&mut bytes))?;
    }
    Ok(bytes)
}

fn whole(
    (metadata, question, edns): Head,
    (answers, body): (u16, &[u8]),
    (additionals, options): (u16, &[u8]),
) -> Result<Vec<u8>, ProtoError> {
    let counts = HeaderCounts {
        queries: 1,
        answers,
        authorities: 0,
        additionals: additionals + u16::from(edns.is_some()),
    };
    let mut out = Vec::with_capacity(HEADER + question.len() + body.len() + options.len());
    Header { metadata: *metadata, counts }.emit(&mut BinEncoder::new(&mut out))?;
    out.extend_from_slice(question);
    out.extend_from_slice(body);
    out.extend_from_slice(options);
    Ok(out)
}

/// A records of whatever name was asked for, encoded once but for their lifetimes and addresses.
pub struct Addresses {
    /// All of a record before its lifetime.
    start: Vec<u8>,
    /// What stands between lifetime and address: the address's length.
    middle: Vec<u8>,
}

impl Addresses {
    pub fn new() -> Result<Self, ProtoError> {
        let name = Name::from_ascii("any.")?;
        let record = Record::from_rdata(name.clone(), 0, RData::A(A(Ipv4Addr::UNSPECIFIED)));
        let body = encode(0, &name, vec![record], Vec::new())?.body;
        let (start, rest) = body.split_at(body.len() - ADDRESS - LENGTH - LIFETIME);
        Ok(Addresses { start: start.to_vec(), middle: rest[LIFETIME..LIFETIME + LENGTH].to_vec() })
    }

    /// How many addresses a message of so many bytes takes.
    pub fn room(&self, head: Head, most: usize) -> Result<usize, ProtoError> {
        let fixed = HEADER + head.1.len() + options(head.2)?.len();
        Ok(most.saturating_sub(fixed) / (self.start.len() + LIFETIME + LENGTH + ADDRESS))
    }

    /// `lifetime` in seconds.
    pub fn message(&self, head: Head, hosts: &[Ipv4Addr], lifetime: u32) -> Result<Vec<u8>, ProtoError> {
        let mut body = Vec::with_capacity(hosts.len() * (self.start.len() + LIFETIME + LENGTH + ADDRESS));
        for host in hosts {
            body.extend_from_slice(&self.start);
            body.extend_from_slice(&lifetime.to_be_bytes());
            body.extend_from_slice(&self.middle);
            body.extend_from_slice(&host.octets());
        }
        whole(head, (hosts.len() as u16, &body), (0, &options(head.2)?))
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
    let head = message.to_vec()?.len();
    message.add_answers(answers);
    let bare = message.to_vec()?.len() - head;
    message.add_additionals(additionals);
    let body = message.to_vec()?.split_off(head);
    // What does not fit into any message was left out by the encoder, counted in the header.
    let bytes = message.to_vec()?;
    let count = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    Ok(Encoded { version, body, bare, answers: count(6), additionals: count(10) })
}
