//! What the decisions are told once a period, added up from what targets gained.

use crate::counters::Gain;
use crate::text::Sample;
use oatlever::round::{Address, ProxyQueries, Tries};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Periods; a reading over more than this says what its mean says for one period. The decisions take what
/// comes at a time for what happened lately, and a lump of many periods would look like a jump.
const LUMP: f64 = 2.0;

/// An asker, as far as reports go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    pub asker: u16,
    pub zone: u16,
    /// It has counters of its own, so that servers' counters of its addresses are not needed.
    pub counted: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Met {
    tries: f64,
    failed: f64,
    answers: f64,
    seconds: f64,
    span: f64,
}

/// What came in since the last [`Sums::flush`].
#[derive(Clone, Debug)]
pub struct Sums {
    period: f64,
    classes: Vec<String>,
    met: BTreeMap<(Address, u16), Met>,
    came: BTreeMap<(u16, u8), (f64, f64)>,
    /// Queries of those who come without a proxy, by server, client address and class, and the time they came in.
    pub clients: BTreeMap<(Address, Ipv4Addr, u8), (f64, f64)>,
    /// The last figures of queries in flight that servers gave.
    pub in_flight: BTreeMap<Address, f64>,
    /// Samples with labels that name nothing known.
    pub strange: u64,
}

fn server(text: &str) -> Option<Address> {
    let host: SocketAddrV4 = text.parse().ok()?;
    Some(Address { host: host.ip().octets(), port: host.port() })
}

impl Sums {
    pub fn new(period: f64, classes: Vec<String>) -> Self {
        let (met, came, clients, in_flight) = Default::default();
        Sums { period, classes, met, came, clients, in_flight, strange: 0 }
    }

    fn class(&self, sample: &Sample) -> Option<u8> {
        let name = sample.label("class")?;
        self.classes.iter().position(|class| class == name).map(|place| place as u8)
    }

    /// What a reading over a span counts, and the time that it stands for.
    fn part(&self, span: f64) -> (f64, f64) {
        if span > LUMP * self.period {
            return (self.period / span, self.period);
        }
        (1.0, span)
    }

    /// Queries of a class that an asker stated itself to have got.
    pub fn stated(&mut self, owner: Owner, class: &str, came: f64, span: f64) {
        let (part, span) = self.part(span);
        match self.classes.iter().position(|name| name == class) {
            Some(place) => self.add_queries(owner.asker, place as u8, came * part, span),
            None => self.strange += 1,
        }
    }

    /// What an asker stated itself to have met at a server: answered and failed tries, and the seconds of
    /// the answered ones together.
    pub fn stated_at(
        &mut self,
        owner: Owner,
        server: Address,
        (answered, failed, seconds): (f64, f64, f64),
        span: f64,
    ) {
        let (part, span) = self.part(span);
        let fields =
            [("answer_seconds_count", answered), ("failed_total", failed), ("answer_seconds_sum", seconds)];
        for (field, amount) in fields {
            self.add(server, owner.zone, field, amount * part, span);
        }
    }

    /// A proxy's own counters. `known` says which servers are known.
    pub fn proxy(&mut self, owner: Owner, gain: &Gain, known: impl Fn(&Address) -> bool) {
        let (part, span) = self.part(gain.span);
        for sample in &gain.samples {
            let amount = sample.value * part;
            if sample.name == "proxy_queries_total" {
                match self.class(sample) {
                    Some(class) => self.add_queries(owner.asker, class, amount, span),
                    None => self.strange += 1,
                }
                continue;
            }
            let Some(field) = sample.name.strip_prefix("proxy_") else { continue };
            if !["tries_total", "failed_total", "answer_seconds_sum", "answer_seconds_count"].contains(&field)
            {
                continue;
            }
            match sample.label("server").and_then(server).filter(&known) {
                Some(server) => self.add(server, owner.zone, field, amount, span),
                None => self.strange += 1,
            }
        }
    }

    /// A server's counters of those who come without a proxy. `owner` says whose a client address is.
    pub fn server(&mut self, server: Address, gain: &Gain, owner: impl Fn(Ipv4Addr) -> Option<Owner>) {
        let (part, span) = self.part(gain.span);
        for sample in &gain.samples {
            let Some(field) = sample.name.strip_prefix("server_") else { continue };
            let Some(client) = sample.label("client").and_then(|text| text.parse().ok()) else { continue };
            let Some(owner) = owner(client).filter(|owner| !owner.counted) else { continue };
            let amount = sample.value * part;
            if field == "queries_total" {
                match self.class(sample) {
                    Some(class) => {
                        self.add_queries(owner.asker, class, amount, span);
                        let came = self.clients.entry((server, client, class)).or_default();
                        *came = (came.0 + amount, span.max(came.1));
                    }
                    None => self.strange += 1,
                }
                self.add(server, owner.zone, "tries_total", amount, span);
            } else {
                self.add(server, owner.zone, field, amount, span);
            }
        }
    }

    fn add(&mut self, server: Address, zone: u16, field: &str, amount: f64, span: f64) {
        let met = self.met.entry((server, zone)).or_default();
        met.span = met.span.max(span);
        match field {
            "tries_total" => met.tries += amount,
            "failed_total" => met.failed += amount,
            "answer_seconds_sum" => met.seconds += amount,
            "answer_seconds_count" => met.answers += amount,
            _ => {}
        }
    }

    fn add_queries(&mut self, asker: u16, class: u8, amount: f64, span: f64) {
        let came = self.came.entry((asker, class)).or_default();
        *came = (came.0 + amount, came.1.max(span));
    }

    /// What was added since the last time. Servers that nobody tried are not reported; askers to whom
    /// nothing came, where that was measured, are.
    ///
    /// A try still under way when the counters were read counts neither as answered nor as failed, so
    /// tries are those that came to an end.
    pub fn flush(&mut self) -> (Vec<Tries>, Vec<ProxyQueries>) {
        let met = std::mem::take(&mut self.met).into_iter();
        let tries =
            met.filter(|(_, met)| met.answers + met.failed > 0.0).map(|((server, zone), met)| Tries {
                server,
                zone,
                tries: met.answers + met.failed,
                failed: met.failed,
                time: if met.answers > 0.0 { met.seconds / met.answers } else { 0.0 },
                span: met.span,
            });
        let came = std::mem::take(&mut self.came).into_iter();
        let came =
            came.map(|((proxy, class), (came, span))| ProxyQueries { proxy, class, received: came, span });
        (tries.collect(), came.collect())
    }
}
