//! One question, one answer.

use crate::names::{Names, What};
use crate::prepared::{question, Addresses, Prepared};
use hickory_proto::op::{Edns, Message, MessageType, Metadata, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{ClientSubnet, EdnsCode, EdnsOption};
use hickory_proto::rr::rdata::{A, HINFO, NS, SOA, SRV};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::ProtoError;
use oatlever_askers::{Allowance, Cookies, Limits, Prefixes, Proof};
use oatlever_handout::Answer;
use oatlever_settings::{checks, Settings};
use oatlever_tables::{Index, View};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// EDNS option number of cookies (RFC 7873).
const COOKIE: u16 = 10;
/// Bytes that any DNS message over UDP may have (RFC 1035).
const PLAIN_UDP: u16 = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    Udp,
    Tcp,
}

/// Where the front reads what was decided.
pub trait Desk {
    /// What this asker may use for this class now; that it asks is noted.
    fn asks(&mut self, asker: u16, class: u16, now: f64) -> Option<View<'_>>;
    /// Addresses of up to so many servers for a host of this asker, by the same table and noted alike; with no
    /// server where the table has no line.
    fn addresses(&mut self, asker: u16, class: u16, host: Ipv4Addr, most: usize, now: f64) -> Option<Answer>;
    /// Whether a server of this address is listed.
    fn knows(&self, host: Ipv4Addr) -> bool;
    /// Counts changes of tables.
    fn version(&self) -> u64;
}

/// What the front met, since its start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub questions: u64,
    /// By response code.
    pub answers: HashMap<ResponseCode, u64>,
    /// Packets that are no question, or from whom nothing may be sent to.
    pub dropped: u64,
    /// Over the limit of a source: dropped, and answered short.
    pub limited: u64,
    pub shortened: u64,
    pub truncated: u64,
    /// Answers to sources that proved their address by a cookie.
    pub proven: u64,
    /// Questions of addresses that no asker of the settings has.
    pub strangers: u64,
}

pub struct Front {
    names: Names,
    prefixes: Rc<Prefixes>,
    /// By zone: the asker that stands for whoever else asks there.
    rest: Vec<Option<u16>>,
    /// By asker.
    zones: Vec<u16>,
    trusted: Prefixes,
    lifetime: u32,
    udp_bytes: u16,
    most_addresses: usize,
    own: Ipv4Addr,
    limits: Limits,
    cookies: Cookies,
    prepared: Prepared,
    made: Addresses,
    pub counts: Counts,
}

/// Who asks, as far as the message and its source tell.
struct Client {
    host: Option<Ipv4Addr>,
    /// The option to answer with, and whether it was believed.
    subnet: Option<(ClientSubnet, bool)>,
}

impl Front {
    /// `prefixes` say whose an address is. Errors: the origin is no domain name. `seed` starts the chance
    /// of draws and the keys of cookies.
    pub fn new(settings: &Settings, prefixes: Rc<Prefixes>, seed: u64) -> Result<Self, ProtoError> {
        let mut chance = fastrand::Rng::with_seed(seed);
        let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
        let names = Names::new(&settings.dns.origin, classes, settings.zones.clone())?;
        let mut trusted = Prefixes::default();
        let (mut rest, mut zones) = (vec![None; settings.zones.len()], Vec::new());
        for (place, asker) in settings.askers.iter().enumerate() {
            let zone = settings.zone_index(&asker.zone).unwrap_or(0);
            zones.push(zone);
            if asker.prefixes.is_empty() {
                rest[usize::from(zone)] = Some(place as u16);
            }
        }
        for (host, bits) in settings.dns.trusted_resolvers.iter().filter_map(|t| checks::parse_prefix(t).ok())
        {
            trusted.insert(host, bits, 0);
        }
        let limits = &settings.dns.limits;
        let mut key = [0; 16];
        chance.fill(&mut key);
        Ok(Front {
            names,
            prefixes,
            rest,
            zones,
            trusted,
            lifetime: settings.dns.lifetime,
            udp_bytes: settings.dns.udp_bytes,
            most_addresses: settings.dns.addresses,
            own: settings.dns.address,
            limits: Limits::new(
                limits.answers_per_second,
                limits.burst,
                limits.prefix_bits,
                limits.prefixes,
                (chance.u64(..), chance.u64(..)),
            ),
            cookies: Cookies::new(key),
            prepared: Prepared::default(),
            made: Addresses::new()?,
            counts: Counts::default(),
        })
    }

    /// The bytes to answer a packet with; none where it deserves no answer.
    pub fn answer(
        &mut self,
        desk: &mut dyn Desk,
        packet: &[u8],
        source: SocketAddr,
        via: Via,
        now: f64,
    ) -> Option<Vec<u8>> {
        // A response, or what is too short to tell: answering could start a loop of two servers.
        if packet.len() < 12 || packet[2] & 0x80 != 0 {
            self.counts.dropped += 1;
            return None;
        }
        self.counts.questions += 1;
        let asked = Message::from_vec(packet).ok();
        let mut reply = Reply::to(packet, asked.as_ref(), self.udp_bytes);
        let host = plain(source.ip());
        let cookie = asked.as_ref().and_then(|m| m.edns.as_ref()).and_then(cookie);
        let mut proven = via == Via::Tcp;
        match cookie.map(|data| self.cookies.judge(data, source.ip(), now)) {
            None => {}
            Some(Proof::Malformed) => reply.fail(ResponseCode::FormErr),
            Some(Proof::Unproven(data)) => reply.option(EdnsOption::Unknown(COOKIE, data)),
            Some(Proof::Proven(data)) => {
                proven = true;
                self.counts.proven += 1;
                reply.option(EdnsOption::Unknown(COOKIE, data));
            }
        }
        if !proven {
            match host.map_or(Allowance::Answer, |host| self.limits.take(host, now)) {
                Allowance::Answer => {}
                Allowance::Truncate => {
                    self.counts.shortened += 1;
                    reply.metadata.truncation = true;
                    return reply.finish(usize::from(PLAIN_UDP), &mut self.counts);
                }
                Allowance::Drop => {
                    self.counts.limited += 1;
                    return None;
                }
            }
        }
        let most = match (via, asked.as_ref().and_then(|m| m.edns.as_ref())) {
            (Via::Tcp, _) => usize::from(u16::MAX),
            (Via::Udp, None) => usize::from(PLAIN_UDP),
            (Via::Udp, Some(edns)) => usize::from(edns.max_payload().clamp(PLAIN_UDP, self.udp_bytes)),
        };
        if let Some(asked) = asked.as_ref().filter(|_| reply.metadata.response_code == ResponseCode::NoError)
        {
            let made = self.fill(&mut reply, desk, asked, packet, host, (most, now));
            match made {
                Ok(Some(bytes)) => {
                    *self.counts.answers.entry(ResponseCode::NoError).or_default() += 1;
                    return Some(bytes);
                }
                Ok(None) => {}
                Err(_) => reply.fail(ResponseCode::ServFail),
            }
        }
        reply.finish(most, &mut self.counts)
    }

    /// Fills the reply, or gives the finished bytes where they were prepared.
    fn fill(
        &mut self,
        reply: &mut Reply,
        desk: &mut dyn Desk,
        asked: &Message,
        packet: &[u8],
        host: Option<Ipv4Addr>,
        (most, now): (usize, f64),
    ) -> Result<Option<Vec<u8>>, ProtoError> {
        if asked.edns.as_ref().is_some_and(|edns| edns.version() > 0) {
            reply.fail(ResponseCode::BADVERS);
            return Ok(None);
        }
        if asked.metadata.op_code != OpCode::Query {
            reply.fail(ResponseCode::NotImp);
            return Ok(None);
        }
        let [query] = &asked.queries[..] else {
            reply.fail(ResponseCode::FormErr);
            return Ok(None);
        };
        let what = self.names.what(query.name());
        if what == What::Outside || query.query_class() != DNSClass::IN {
            reply.fail(ResponseCode::Refused);
            return Ok(None);
        }
        let client = self.client(asked.edns.as_ref(), host);
        reply.metadata.authoritative = true;
        let kind = query.query_type();
        if kind == RecordType::ANY && !matches!(what, What::Nothing | What::Between) {
            // RFC 8482, section 4.2.
            let data = HINFO::new("RFC8482".into(), String::new());
            reply.answers.push(self.record(query.name(), RData::HINFO(data)));
            return Ok(None);
        }
        match (what, kind) {
            (What::Service { class, zone }, RecordType::SRV)
            | (What::Addresses { class, zone }, RecordType::A) => {
                let Some(asker) = self.asker(reply, &client, zone) else { return Ok(None) };
                reply.subnet(&client, self.scope(&client));
                let Some(question) = question(packet) else {
                    reply.fail(ResponseCode::FormErr);
                    return Ok(None);
                };
                let edns = reply.edns.as_ref().map(Record::from);
                let head = (&reply.metadata, question, edns.as_ref());
                if kind == RecordType::A {
                    let room = self.made.room(head, most)?.clamp(1, self.most_addresses);
                    let host = client.host.unwrap_or(Ipv4Addr::UNSPECIFIED);
                    return match desk.addresses(asker, class, host, room, now) {
                        Some(answer) if !answer.servers.is_empty() => {
                            let hosts: Vec<Ipv4Addr> =
                                answer.servers.iter().map(|server| server.host.into()).collect();
                            self.made.message(head, &hosts, answer.lifetime).map(Some)
                        }
                        Some(_) => self.no_data(reply, desk.version()).map(|()| None),
                        None => {
                            reply.fail(ResponseCode::ServFail);
                            Ok(None)
                        }
                    };
                }
                let Some(view) = desk.asks(asker, class, now) else {
                    reply.fail(ResponseCode::ServFail);
                    return Ok(None);
                };
                if view.index.is_empty() {
                    return self.no_data(reply, desk.version()).map(|()| None);
                }
                let key = (view.table, view.version, query.name());
                let (names, lifetime) = (&self.names, self.lifetime);
                let records = || services(names, query.name(), lifetime, view.index);
                let made = self.prepared.message(key, head, most, records)?;
                reply.metadata.truncation = made.is_none();
                return Ok(made);
            }
            (What::Node(host), _) if !desk.knows(host) => self.no_name(reply, desk.version())?,
            (What::Node(host), RecordType::A) => {
                reply.answers.push(self.record(query.name(), RData::A(A(host))));
            }
            (What::Apex, RecordType::SOA) => reply.answers.push(self.soa(desk.version())?),
            (What::Apex, RecordType::NS) => {
                let data = RData::NS(NS(self.names.name_server.clone()));
                reply.answers.push(self.record(query.name(), data));
                reply.additionals.push(self.record(&self.names.name_server, RData::A(A(self.own))));
            }
            (What::NameServer, RecordType::A) => {
                reply.answers.push(self.record(query.name(), RData::A(A(self.own))));
            }
            (What::Nothing, _) => self.no_name(reply, desk.version())?,
            _ => self.no_data(reply, desk.version())?,
        }
        Ok(None)
    }

    /// RFC 7871: an address stated by a trusted resolver stands for the source.
    fn client(&self, edns: Option<&Edns>, source: Option<Ipv4Addr>) -> Client {
        let stated = edns.and_then(|edns| match edns.option(EdnsCode::Subnet) {
            Some(EdnsOption::Subnet(subnet)) => Some(*subnet),
            _ => None,
        });
        let Some(stated) = stated else { return Client { host: source, subnet: None } };
        let trusted = source.is_some_and(|source| self.trusted.find(source).0.is_some());
        let host = plain(stated.addr()).filter(|_| trusted && stated.source_prefix() > 0);
        Client { host: host.or(source), subnet: Some((stated, host.is_some())) }
    }

    /// Bits of the stated subnet that the answer holds for; never more than were stated.
    fn scope(&self, client: &Client) -> u8 {
        match (client.host, &client.subnet) {
            (Some(host), Some((subnet, true))) => self.prefixes.find(host).1.min(subnet.source_prefix()),
            _ => 0,
        }
    }

    /// Who asks: by its address, unless the name says another zone; then the rest of that zone.
    fn asker(&mut self, reply: &mut Reply, client: &Client, zone: Option<u16>) -> Option<u16> {
        let owner = client.host.and_then(|host| self.prefixes.find(host).0);
        let fits = |asker: &u16| zone.is_none_or(|zone| self.zones[usize::from(*asker)] == zone);
        let rest = || zone.and_then(|zone| self.rest[usize::from(zone)]);
        let found = owner.filter(fits).or_else(rest);
        if found.is_none() {
            self.counts.strangers += 1;
            reply.fail(ResponseCode::Refused);
        }
        found
    }

    fn record(&self, name: &Name, data: RData) -> Record {
        Record::from_rdata(name.clone(), self.lifetime, data)
    }

    fn soa(&self, version: u64) -> Result<Record, ProtoError> {
        let contact = self.names.origin.prepend_label("hostmaster")?;
        let life = self.lifetime as i32;
        // Nobody transfers the zone; expiry and retry say so by being as short as what they are for.
        let data = SOA::new(
            self.names.name_server.clone(),
            contact,
            version as u32,
            life,
            life,
            life,
            self.lifetime,
        );
        Ok(self.record(&self.names.origin, RData::SOA(data)))
    }

    fn no_data(&self, reply: &mut Reply, version: u64) -> Result<(), ProtoError> {
        reply.authorities.push(self.soa(version)?);
        Ok(())
    }

    fn no_name(&self, reply: &mut Reply, version: u64) -> Result<(), ProtoError> {
        reply.metadata.response_code = ResponseCode::NXDomain;
        self.no_data(reply, version)
    }
}

/// SRV records of a table and the addresses of their targets. RFC 2782: weights are whole numbers up to
/// 65,535; the smallest line keeps 1, as 0 means hardly ever.
fn services(
    names: &Names,
    owner: &Name,
    lifetime: u32,
    index: &Index,
) -> Result<(Vec<Record>, Vec<Record>), ProtoError> {
    let scale = f64::from(u16::MAX - 1) / index.all();
    let (mut answers, mut additionals) = (Vec::new(), Vec::new());
    let owner = owner.to_lowercase();
    let mut hosts = std::collections::BTreeSet::new();
    for line in index.lines() {
        let weight = (line.weight * scale).round().clamp(1.0, f64::from(u16::MAX)) as u16;
        let host = Ipv4Addr::from(line.server.host);
        let node = names.node(host)?;
        let data = RData::SRV(SRV::new(0, weight, line.server.port, node.clone()));
        answers.push(Record::from_rdata(owner.clone(), lifetime, data));
        if hosts.insert(host) {
            additionals.push(Record::from_rdata(node, lifetime, RData::A(A(host))));
        }
    }
    Ok((answers, additionals))
}

fn plain(address: IpAddr) -> Option<Ipv4Addr> {
    match address {
        IpAddr::V4(host) => Some(host),
        IpAddr::V6(host) => host.to_ipv4_mapped(),
    }
}

fn cookie(edns: &Edns) -> Option<&[u8]> {
    match edns.option(EdnsCode::Cookie) {
        Some(EdnsOption::Unknown(COOKIE, data)) => Some(data),
        _ => None,
    }
}

/// An answer in the making.
struct Reply {
    metadata: Metadata,
    query: Option<Query>,
    edns: Option<Edns>,
    answers: Vec<Record>,
    authorities: Vec<Record>,
    additionals: Vec<Record>,
}

impl Reply {
    /// To a packet of 12 bytes or more, which may make no sense.
    fn to(packet: &[u8], asked: Option<&Message>, udp_bytes: u16) -> Self {
        let id = u16::from_be_bytes([packet[0], packet[1]]);
        let op_code = asked.map_or(OpCode::Query, |m| m.metadata.op_code);
        let mut metadata = Metadata::new(id, MessageType::Response, op_code);
        metadata.recursion_desired = asked.is_some_and(|m| m.metadata.recursion_desired);
        if asked.is_none() {
            metadata.response_code = ResponseCode::FormErr;
        }
        let edns = asked.and_then(|m| m.edns.as_ref()).map(|_| {
            let mut edns = Edns::new();
            edns.set_max_payload(udp_bytes);
            edns
        });
        Reply {
            metadata,
            query: asked.and_then(|m| m.queries.first().cloned()),
            edns,
            answers: Vec::new(),
            authorities: Vec::new(),
            additionals: Vec::new(),
        }
    }

    fn fail(&mut self, code: ResponseCode) {
        self.metadata.response_code = code;
        self.metadata.authoritative = false;
    }

    fn option(&mut self, option: EdnsOption) {
        if let Some(edns) = &mut self.edns {
            edns.options_mut().insert(option);
        }
    }

    fn subnet(&mut self, client: &Client, scope: u8) {
        if let Some((mut subnet, _)) = client.subnet {
            subnet.set_scope_prefix(scope);
            self.option(EdnsOption::Subnet(subnet));
        }
    }

    fn finish(self, most: usize, counts: &mut Counts) -> Option<Vec<u8>> {
        *counts.answers.entry(self.metadata.response_code).or_default() += 1;
        let mut message = Message::new(self.metadata.id, MessageType::Response, self.metadata.op_code);
        message.metadata = self.metadata;
        message.add_queries(self.query);
        message.add_answers(self.answers);
        message.add_authorities(self.authorities);
        message.add_additionals(self.additionals);
        message.edns = self.edns;
        let mut bytes = message.to_vec().ok()?;
        if bytes.len() > most {
            message.metadata.truncation = true;
            bytes = message.truncate().to_vec().ok()?;
        }
        counts.truncated += u64::from(message.metadata.truncation);
        Some(bytes)
    }
}
