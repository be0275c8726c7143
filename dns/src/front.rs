//! Builds the response to a DNS message.

use crate::names::{NameKind, Names};
use crate::prepared::{question, AddressEncoder, AnswerCache};
use hickory_proto::op::{Edns, Message, MessageType, Metadata, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{ClientSubnet, EdnsCode, EdnsOption};
use hickory_proto::rr::rdata::{A, HINFO, NS, SOA, SRV};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::ProtoError;
use oatlever_askers::{CookieStatus, Cookies, PrefixTrie, RateDecision, RateLimiter};
use oatlever_leases::Answer;
use oatlever_settings::{checks, Settings};
use oatlever_tables::{View, WeightedIndex};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// EDNS option number of cookies (RFC 7873).
const COOKIE: u16 = 10;
/// Bytes that every UDP message may have, with or without EDNS (RFC 1035, RFC 6891).
const MIN_UDP_BYTES: u16 = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Udp,
    Tcp,
}

/// The source of the tables that answers are built from.
pub trait Backend {
    /// The asker's table for a class; records that it was answered. `None` if the asker has no table yet.
    fn lookup(&mut self, asker: u16, class: u16, now: f64) -> Option<View<'_>>;
    /// Selects the addresses of up to `max` servers for a host of the asker, by the same table and recorded
    /// alike. The answer has no servers if the table is empty.
    fn lookup_addresses(
        &mut self,
        asker: u16,
        class: u16,
        host: Ipv4Addr,
        max: usize,
        now: f64,
    ) -> Option<Answer>;
    /// Whether a server with this address is known.
    fn is_listed(&self, host: Ipv4Addr) -> bool;
    /// The version of the tables, incremented by every change.
    fn tables_version(&self) -> u64;
}

/// Counters since the start.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub queries: u64,
    /// Responses by response code.
    pub answers: HashMap<ResponseCode, u64>,
    /// Packets that are too short, or are responses.
    pub dropped: u64,
    /// Queries over a source's rate limit that were not answered.
    pub rate_limited: u64,
    /// Queries over a source's rate limit that were answered truncated.
    pub rate_limited_truncated: u64,
    /// Responses with the truncation flag, including those over the rate limit.
    pub truncated: u64,
    /// Queries with a valid cookie.
    pub cookie_verified: u64,
    /// Queries from addresses that belong to no asker of the settings.
    pub unknown_clients: u64,
}

/// Answers DNS messages from the tables of a [`Backend`].
pub struct Front {
    names: Names,
    prefixes: Rc<PrefixTrie>,
    /// By zone: the asker without prefixes, which covers all other clients of the zone.
    default_askers: Vec<Option<u16>>,
    /// The zone of each asker.
    asker_zones: Vec<u16>,
    trusted_resolvers: PrefixTrie,
    /// Seconds; the TTL of records.
    lifetime: u32,
    /// Largest UDP message, received or sent.
    udp_bytes: u16,
    max_addresses: usize,
    own_address: Ipv4Addr,
    rate_limiter: RateLimiter,
    cookies: Cookies,
    answer_cache: AnswerCache,
    address_encoder: AddressEncoder,
    pub counters: Counters,
}

/// The client of a query, by its source address and client subnet option.
struct Client {
    host: Option<Ipv4Addr>,
    /// The option to answer with, and whether `host` was taken from it.
    subnet: Option<(ClientSubnet, bool)>,
}

impl Front {
    /// `prefixes` maps addresses to askers; `seed` generates the keys of cookies and of the rate limiter.
    /// Fails if the origin is not a valid domain name.
    pub fn new(settings: &Settings, prefixes: Rc<PrefixTrie>, seed: u64) -> Result<Self, ProtoError> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
        let names = Names::new(&settings.dns.origin, classes, settings.zones.clone())?;
        let mut trusted_resolvers = PrefixTrie::default();
        let (mut default_askers, mut asker_zones) = (vec![None; settings.zones.len()], Vec::new());
        for (index, asker) in settings.askers.iter().enumerate() {
            let zone = settings.zone_index(&asker.zone).unwrap_or(0);
            asker_zones.push(zone);
            if asker.prefixes.is_empty() {
                default_askers[usize::from(zone)] = Some(index as u16);
            }
        }
        for (host, bits) in settings.dns.trusted_resolvers.iter().filter_map(|t| checks::parse_prefix(t).ok())
        {
            trusted_resolvers.insert(host, bits, 0);
        }
        let limits = &settings.dns.limits;
        let mut key = [0; 16];
        rng.fill(&mut key);
        Ok(Front {
            names,
            prefixes,
            default_askers,
            asker_zones,
            trusted_resolvers,
            lifetime: settings.dns.lifetime,
            udp_bytes: settings.dns.udp_bytes,
            max_addresses: settings.dns.addresses,
            own_address: settings.dns.address,
            rate_limiter: RateLimiter::new(
                limits.answers_per_second,
                limits.burst,
                limits.prefix_bits,
                limits.prefixes,
                (rng.u64(..), rng.u64(..)),
            ),
            cookies: Cookies::new(key),
            answer_cache: AnswerCache::default(),
            address_encoder: AddressEncoder::new()?,
            counters: Counters::default(),
        })
    }

    /// The encoded response to a packet; `None` if it gets none.
    pub fn answer(
        &mut self,
        backend: &mut dyn Backend,
        packet: &[u8],
        source: SocketAddr,
        transport: Transport,
        now: f64,
    ) -> Option<Vec<u8>> {
        // Never answer a response, or a packet too short to tell: two servers could answer each other
        // forever.
        if packet.len() < 12 || packet[2] & 0x80 != 0 {
            self.counters.dropped += 1;
            return None;
        }
        self.counters.queries += 1;
        let request = Message::from_vec(packet).ok();
        let mut reply = Reply::new(packet, request.as_ref(), self.udp_bytes);
        let host = to_ipv4(source.ip());
        let cookie = request.as_ref().and_then(|m| m.edns.as_ref()).and_then(cookie_option);
        let mut verified = transport == Transport::Tcp;
        match cookie.map(|data| self.cookies.verify(data, source.ip(), now)) {
            None => {}
            Some(CookieStatus::Malformed) => reply.fail(ResponseCode::FormErr),
            Some(CookieStatus::Unverified(data)) => reply.add_option(EdnsOption::Unknown(COOKIE, data)),
            Some(CookieStatus::Verified(data)) => {
                verified = true;
                self.counters.cookie_verified += 1;
                reply.add_option(EdnsOption::Unknown(COOKIE, data));
            }
        }
        if !verified {
            match host.map_or(RateDecision::Answer, |host| self.rate_limiter.check(host, now)) {
                RateDecision::Answer => {}
                RateDecision::Truncate => {
                    self.counters.rate_limited_truncated += 1;
                    reply.metadata.truncation = true;
                    return reply.finish(usize::from(MIN_UDP_BYTES), &mut self.counters);
                }
                RateDecision::Drop => {
                    self.counters.rate_limited += 1;
                    return None;
                }
            }
        }
        let max_len = match (transport, request.as_ref().and_then(|m| m.edns.as_ref())) {
            (Transport::Tcp, _) => usize::from(u16::MAX),
            (Transport::Udp, None) => usize::from(MIN_UDP_BYTES),
            (Transport::Udp, Some(edns)) => {
                usize::from(edns.max_payload().clamp(MIN_UDP_BYTES, self.udp_bytes))
            }
        };
        if let Some(request) =
            request.as_ref().filter(|_| reply.metadata.response_code == ResponseCode::NoError)
        {
            let result = self.fill(&mut reply, backend, request, packet, host, (max_len, now));
            match result {
                Ok(Some(bytes)) => {
                    *self.counters.answers.entry(ResponseCode::NoError).or_default() += 1;
                    return Some(bytes);
                }
                Ok(None) => {}
                Err(_) => reply.fail(ResponseCode::ServFail),
            }
        }
        reply.finish(max_len, &mut self.counters)
    }

    /// Fills the reply, or returns the complete encoded response for SRV and A records of a class.
    fn fill(
        &mut self,
        reply: &mut Reply,
        backend: &mut dyn Backend,
        request: &Message,
        packet: &[u8],
        host: Option<Ipv4Addr>,
        (max_len, now): (usize, f64),
    ) -> Result<Option<Vec<u8>>, ProtoError> {
        if request.edns.as_ref().is_some_and(|edns| edns.version() > 0) {
            reply.fail(ResponseCode::BADVERS);
            return Ok(None);
        }
        if request.metadata.op_code != OpCode::Query {
            reply.fail(ResponseCode::NotImp);
            return Ok(None);
        }
        let [query] = &request.queries[..] else {
            reply.fail(ResponseCode::FormErr);
            return Ok(None);
        };
        let name_kind = self.names.classify(query.name());
        if name_kind == NameKind::OutsideOrigin || query.query_class() != DNSClass::IN {
            reply.fail(ResponseCode::Refused);
            return Ok(None);
        }
        let client = self.client(request.edns.as_ref(), host);
        reply.metadata.authoritative = true;
        let record_type = query.query_type();
        if record_type == RecordType::ANY
            && !matches!(name_kind, NameKind::Nonexistent | NameKind::EmptyNonTerminal)
        {
            // RFC 8482, section 4.2.
            let data = HINFO::new("RFC8482".into(), String::new());
            reply.answers.push(self.record(query.name(), RData::HINFO(data)));
            return Ok(None);
        }
        match (name_kind, record_type) {
            (NameKind::Service { class, zone }, RecordType::SRV)
            | (NameKind::Addresses { class, zone }, RecordType::A) => {
                let Some(asker) = self.asker(reply, &client, zone) else { return Ok(None) };
                reply.add_subnet(&client, self.scope(&client));
                let Some(question) = question(packet) else {
                    reply.fail(ResponseCode::FormErr);
                    return Ok(None);
                };
                let edns = reply.edns.as_ref().map(Record::from);
                let head = (&reply.metadata, question, edns.as_ref());
                if record_type == RecordType::A {
                    let capacity = self.address_encoder.capacity(head, max_len)?;
                    let max = capacity.clamp(1, self.max_addresses);
                    let host = client.host.unwrap_or(Ipv4Addr::UNSPECIFIED);
                    return match backend.lookup_addresses(asker, class, host, max, now) {
                        Some(answer) if !answer.servers.is_empty() => {
                            let hosts: Vec<Ipv4Addr> =
                                answer.servers.iter().map(|server| server.host.into()).collect();
                            self.address_encoder.message(head, &hosts, answer.lifetime).map(Some)
                        }
                        Some(_) => self.no_data(reply, backend.tables_version()).map(|()| None),
                        None => {
                            reply.fail(ResponseCode::ServFail);
                            Ok(None)
                        }
                    };
                }
                let Some(view) = backend.lookup(asker, class, now) else {
                    reply.fail(ResponseCode::ServFail);
                    return Ok(None);
                };
                if view.index.is_empty() {
                    return self.no_data(reply, backend.tables_version()).map(|()| None);
                }
                let key = (view.table, view.version, query.name());
                let (names, lifetime) = (&self.names, self.lifetime);
                let records = || srv_records(names, query.name(), lifetime, view.index);
                let response = self.answer_cache.message(key, head, max_len, records)?;
                reply.metadata.truncation = response.is_none();
                return Ok(response);
            }
            (NameKind::Node(host), _) if !backend.is_listed(host) => {
                self.name_error(reply, backend.tables_version())?
            }
            (NameKind::Node(host), RecordType::A) => {
                reply.answers.push(self.record(query.name(), RData::A(A(host))));
            }
            (NameKind::Apex, RecordType::SOA) => reply.answers.push(self.soa(backend.tables_version())?),
            (NameKind::Apex, RecordType::NS) => {
                let data = RData::NS(NS(self.names.name_server.clone()));
                reply.answers.push(self.record(query.name(), data));
                reply.additionals.push(self.record(&self.names.name_server, RData::A(A(self.own_address))));
            }
            (NameKind::NameServer, RecordType::A) => {
                reply.answers.push(self.record(query.name(), RData::A(A(self.own_address))));
            }
            (NameKind::Nonexistent, _) => self.name_error(reply, backend.tables_version())?,
            _ => self.no_data(reply, backend.tables_version())?,
        }
        Ok(None)
    }

    /// The client of a query. A client subnet option (RFC 7871) replaces the source address if it was sent
    /// by a trusted resolver.
    fn client(&self, edns: Option<&Edns>, source: Option<Ipv4Addr>) -> Client {
        let subnet = edns.and_then(|edns| match edns.option(EdnsCode::Subnet) {
            Some(EdnsOption::Subnet(subnet)) => Some(*subnet),
            _ => None,
        });
        let Some(subnet) = subnet else { return Client { host: source, subnet: None } };
        let trusted = source.is_some_and(|source| self.trusted_resolvers.longest_match(source).0.is_some());
        let host = to_ipv4(subnet.addr()).filter(|_| trusted && subnet.source_prefix() > 0);
        Client { host: host.or(source), subnet: Some((subnet, host.is_some())) }
    }

    /// The scope prefix length of the answer; never longer than the source prefix length of the query.
    fn scope(&self, client: &Client) -> u8 {
        match (client.host, &client.subnet) {
            (Some(host), Some((subnet, true))) => {
                self.prefixes.longest_match(host).1.min(subnet.source_prefix())
            }
            _ => 0,
        }
    }

    /// The asker of a query: the owner of the client's address, unless the name is of another zone; then that
    /// zone's default asker. Without either, the query is refused.
    fn asker(&mut self, reply: &mut Reply, client: &Client, zone: Option<u16>) -> Option<u16> {
        let owner = client.host.and_then(|host| self.prefixes.longest_match(host).0);
        let in_zone = |asker: &u16| zone.is_none_or(|zone| self.asker_zones[usize::from(*asker)] == zone);
        let zone_default = || zone.and_then(|zone| self.default_askers[usize::from(zone)]);
        let asker = owner.filter(in_zone).or_else(zone_default);
        if asker.is_none() {
            self.counters.unknown_clients += 1;
            reply.fail(ResponseCode::Refused);
        }
        asker
    }

    fn record(&self, name: &Name, data: RData) -> Record {
        Record::from_rdata(name.clone(), self.lifetime, data)
    }

    fn soa(&self, version: u64) -> Result<Record, ProtoError> {
        let contact = self.names.origin.prepend_label("hostmaster")?;
        let seconds = self.lifetime as i32;
        // There are no zone transfers: refresh, retry and expiry have no use and are as short as the TTL.
        let data = SOA::new(
            self.names.name_server.clone(),
            contact,
            version as u32,
            seconds,
            seconds,
            seconds,
            self.lifetime,
        );
        Ok(self.record(&self.names.origin, RData::SOA(data)))
    }

    /// Fills a negative response (RFC 2308) for a name that has no records of the requested type.
    fn no_data(&self, reply: &mut Reply, version: u64) -> Result<(), ProtoError> {
        reply.authorities.push(self.soa(version)?);
        Ok(())
    }

    /// Fills a negative response (RFC 2308) for a name that does not exist.
    fn name_error(&self, reply: &mut Reply, version: u64) -> Result<(), ProtoError> {
        reply.metadata.response_code = ResponseCode::NXDomain;
        self.no_data(reply, version)
    }
}

/// The SRV records of a table and the addresses of their targets. RFC 2782: weights are integers up to
/// 65,535; the smallest is 1, as a weight of 0 gives a target hardly any queries.
fn srv_records(
    names: &Names,
    owner: &Name,
    lifetime: u32,
    index: &WeightedIndex,
) -> Result<(Vec<Record>, Vec<Record>), ProtoError> {
    let scale = f64::from(u16::MAX - 1) / index.total_weight();
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

fn to_ipv4(address: IpAddr) -> Option<Ipv4Addr> {
    match address {
        IpAddr::V4(host) => Some(host),
        IpAddr::V6(host) => host.to_ipv4_mapped(),
    }
}

fn cookie_option(edns: &Edns) -> Option<&[u8]> {
    match edns.option(EdnsCode::Cookie) {
        Some(EdnsOption::Unknown(COOKIE, data)) => Some(data),
        _ => None,
    }
}

/// A response under construction.
struct Reply {
    metadata: Metadata,
    query: Option<Query>,
    edns: Option<Edns>,
    answers: Vec<Record>,
    authorities: Vec<Record>,
    additionals: Vec<Record>,
}

impl Reply {
    /// Starts the response to a packet of at least 12 bytes; `request` is `None` if it is malformed.
    fn new(packet: &[u8], request: Option<&Message>, udp_bytes: u16) -> Self {
        let id = u16::from_be_bytes([packet[0], packet[1]]);
        let op_code = request.map_or(OpCode::Query, |m| m.metadata.op_code);
        let mut metadata = Metadata::new(id, MessageType::Response, op_code);
        metadata.recursion_desired = request.is_some_and(|m| m.metadata.recursion_desired);
        if request.is_none() {
            metadata.response_code = ResponseCode::FormErr;
        }
        let edns = request.and_then(|m| m.edns.as_ref()).map(|_| {
            let mut edns = Edns::new();
            edns.set_max_payload(udp_bytes);
            edns
        });
        Reply {
            metadata,
            query: request.and_then(|m| m.queries.first().cloned()),
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

    fn add_option(&mut self, option: EdnsOption) {
        if let Some(edns) = &mut self.edns {
            edns.options_mut().insert(option);
        }
    }

    /// Echoes the client subnet option with the scope of the answer.
    fn add_subnet(&mut self, client: &Client, scope: u8) {
        if let Some((mut subnet, _)) = client.subnet {
            subnet.set_scope_prefix(scope);
            self.add_option(EdnsOption::Subnet(subnet));
        }
    }

    /// Encodes the response, truncated to `max_len` bytes, and counts it.
    fn finish(self, max_len: usize, counts: &mut Counters) -> Option<Vec<u8>> {
        *counts.answers.entry(self.metadata.response_code).or_default() += 1;
        let mut message = Message::new(self.metadata.id, MessageType::Response, self.metadata.op_code);
        message.metadata = self.metadata;
        message.add_queries(self.query);
        message.add_answers(self.answers);
        message.add_authorities(self.authorities);
        message.add_additionals(self.additionals);
        message.edns = self.edns;
        let mut bytes = message.to_vec().ok()?;
        if bytes.len() > max_len {
            message.metadata.truncation = true;
            bytes = message.truncate().to_vec().ok()?;
        }
        counts.truncated += u64::from(message.metadata.truncation);
        Some(bytes)
    }
}
