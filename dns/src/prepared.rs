//! Answers kept encoded from one change of their table to the next.
//!
//! All that follows the question is the same for everyone who asks for a name of a table, whatever case
//! they write it in, as owner names point at the question. What differs is put round it: header, question
//! and options.

use hickory_proto::op::{Header, HeaderCounts, Message, Metadata, Query};
use hickory_proto::rr::{Name, Record, RecordType};
use hickory_proto::serialize::binary::{BinEncodable, BinEncoder};
use hickory_proto::ProtoError;
use std::collections::HashMap;

/// Bytes of a header, and of type and class after a question's name (RFC 1035).
const HEADER: usize = 12;
const TYPE_AND_CLASS: usize = 4;

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
        (metadata, question, edns): (&Metadata, &[u8], Option<&Record>),
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
        let options = match edns {
            Some(edns) => {
                let mut bytes = Vec::with_capacity(48);
                edns.emit(&mut BinEncoder::new(&mut bytes))?;
                bytes
            }
            None => Vec::new(),
        };
        let fixed = HEADER + question.len() + options.len();
        let (body, additionals) = match () {
            () if fixed + kept.body.len() <= most => (&kept.body[..], kept.additionals),
            () if fixed + kept.bare <= most => (&kept.body[..kept.bare], 0),
            () => return Ok(None),
        };
        let counts = HeaderCounts {
            queries: 1,
            answers: kept.answers,
            authorities: 0,
            additionals: additionals + u16::from(edns.is_some()),
        };
        let mut out = Vec::with_capacity(fixed + body.len());
        Header { metadata: *metadata, counts }.emit(&mut BinEncoder::new(&mut out))?;
        out.extend_from_slice(question);
        out.extend_from_slice(body);
        out.extend_from_slice(&options);
        Ok(Some(out))
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
