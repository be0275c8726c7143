//! Aggregates the load of askers and servers into the reports of one report period.

use crate::counters::Increase;
use crate::text::Sample;
use oatlever::round::{Address, ProxyQueries, Tries};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// In report periods. An increase over a longer time is scaled down to its mean over one period: the balancer takes
/// reported figures as recent ones, and the sum of many periods would look like a jump of demand.
const MAX_UNSCALED_PERIODS: f64 = 2.0;

/// The attributes of an asker that reports depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskerInfo {
    pub asker: u16,
    pub zone: u16,
    /// It publishes counters itself, so what servers count for its addresses is ignored.
    pub has_counters: bool,
}

/// Tries of a zone's askers at a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerTotals {
    failed: f64,
    answered: f64,
    /// Sum of the answer times, in seconds.
    answer_seconds: f64,
    /// Time over which they were counted.
    seconds: f64,
}

/// Load reported since the last [`Aggregator::flush`]. Pairs of numbers are queries and the seconds in which they came.
#[derive(Clone, Debug)]
pub struct Aggregator {
    /// s
    period: f64,
    classes: Vec<String>,
    /// By server and the askers' zone.
    tries: BTreeMap<(Address, u16), ServerTotals>,
    /// By asker and class.
    queries: BTreeMap<(u16, u8), (f64, f64)>,
    /// Queries of clients that connect without a proxy, by server, client address and class.
    pub client_queries: BTreeMap<(Address, Ipv4Addr, u8), (f64, f64)>,
    /// The number of queries in flight that each server last reported.
    pub in_flight: BTreeMap<Address, f64>,
    /// Number of samples whose labels name an unknown class or server.
    pub unknown_labels: u64,
}

fn parse_server(text: &str) -> Option<Address> {
    let host: SocketAddrV4 = text.parse().ok()?;
    Some(Address { host: host.ip().octets(), port: host.port() })
}

impl Aggregator {
    /// `period` is the report period in seconds; `classes` are the names of the query classes.
    pub fn new(period: f64, classes: Vec<String>) -> Self {
        let (tries, queries, client_queries, in_flight) = Default::default();
        Aggregator { period, classes, tries, queries, client_queries, in_flight, unknown_labels: 0 }
    }

    fn class_index(&self, name: &str) -> Option<u8> {
        self.classes.iter().position(|class| class == name).map(|index| index as u8)
    }

    fn class_of(&self, sample: &Sample) -> Option<u8> {
        self.class_index(sample.label("class")?)
    }

    /// The factor by which an increase over so many seconds is scaled, and the seconds that the result covers.
    fn scale(&self, seconds: f64) -> (f64, f64) {
        if seconds > MAX_UNSCALED_PERIODS * self.period {
            return (self.period / seconds, self.period);
        }
        (1.0, seconds)
    }

    /// Adds queries of a class from an asker's load report.
    pub fn add_reported_queries(&mut self, info: AskerInfo, class: &str, queries: f64, seconds: f64) {
        let (factor, seconds) = self.scale(seconds);
        match self.class_index(class) {
            Some(class) => self.add_queries(info.asker, class, queries * factor, seconds),
            None => self.unknown_labels += 1,
        }
    }

    /// Adds tries at a server from an asker's load report: answered tries, failed ones, and the sum of the answer times
    /// in seconds.
    pub fn add_reported_tries(
        &mut self,
        info: AskerInfo,
        server: Address,
        (answered, failed, answer_seconds): (f64, f64, f64),
        seconds: f64,
    ) {
        let (factor, seconds) = self.scale(seconds);
        let fields = [
            ("answer_seconds_count", answered),
            ("failed_total", failed),
            ("answer_seconds_sum", answer_seconds),
        ];
        for (field, amount) in fields {
            self.add_tries(server, info.zone, field, amount * factor, seconds);
        }
    }

    /// Adds the increase of a proxy's own counters. `is_known` tells which servers are known.
    pub fn add_proxy_counters(
        &mut self,
        info: AskerInfo,
        increase: &Increase,
        is_known: impl Fn(&Address) -> bool,
    ) {
        let (factor, seconds) = self.scale(increase.seconds);
        for sample in &increase.samples {
            let amount = sample.value * factor;
            if sample.name == "proxy_queries_total" {
                match self.class_of(sample) {
                    Some(class) => self.add_queries(info.asker, class, amount, seconds),
                    None => self.unknown_labels += 1,
                }
                continue;
            }
            let Some(field) = sample.name.strip_prefix("proxy_") else { continue };
            if !["tries_total", "failed_total", "answer_seconds_sum", "answer_seconds_count"].contains(&field)
            {
                continue;
            }
            match sample.label("server").and_then(parse_server).filter(&is_known) {
                Some(server) => self.add_tries(server, info.zone, field, amount, seconds),
                None => self.unknown_labels += 1,
            }
        }
    }

    /// Adds the increase of a server's counters of clients that connect without a proxy. `asker_of` maps a client
    /// address to its asker.
    pub fn add_server_counters(
        &mut self,
        server: Address,
        increase: &Increase,
        asker_of: impl Fn(Ipv4Addr) -> Option<AskerInfo>,
    ) {
        let (factor, seconds) = self.scale(increase.seconds);
        for sample in &increase.samples {
            let Some(field) = sample.name.strip_prefix("server_") else { continue };
            let Some(client) = sample.label("client").and_then(|text| text.parse().ok()) else { continue };
            let Some(info) = asker_of(client).filter(|info| !info.has_counters) else { continue };
            let amount = sample.value * factor;
            if field == "queries_total" {
                match self.class_of(sample) {
                    Some(class) => {
                        self.add_queries(info.asker, class, amount, seconds);
                        let total = self.client_queries.entry((server, client, class)).or_default();
                        *total = (total.0 + amount, seconds.max(total.1));
                    }
                    None => self.unknown_labels += 1,
                }
                self.add_tries(server, info.zone, "tries_total", amount, seconds);
            } else {
                self.add_tries(server, info.zone, field, amount, seconds);
            }
        }
    }

    /// Adds one counter, named without its prefix. Tries under way at the time of the scrape are in `tries_total` but
    /// neither answered nor failed yet, so only the time of that counter is used.
    fn add_tries(&mut self, server: Address, zone: u16, field: &str, amount: f64, seconds: f64) {
        let totals = self.tries.entry((server, zone)).or_default();
        totals.seconds = totals.seconds.max(seconds);
        match field {
            "failed_total" => totals.failed += amount,
            "answer_seconds_sum" => totals.answer_seconds += amount,
            "answer_seconds_count" => totals.answered += amount,
            _ => {}
        }
    }

    fn add_queries(&mut self, asker: u16, class: u8, amount: f64, seconds: f64) {
        let total = self.queries.entry((asker, class)).or_default();
        *total = (total.0 + amount, total.1.max(seconds));
    }

    /// Returns and resets the totals of tries and queries. Servers without a finished try are left out; askers that
    /// were measured to have no queries are included.
    ///
    /// The number of tries is that of the finished ones: a try still under way when the counters were read counts
    /// neither as answered nor as failed.
    pub fn flush(&mut self) -> (Vec<Tries>, Vec<ProxyQueries>) {
        let tries = std::mem::take(&mut self.tries).into_iter();
        let tries = tries.filter(|(_, totals)| totals.answered + totals.failed > 0.0);
        let tries = tries.map(|((server, zone), totals)| Tries {
            server,
            zone,
            tries: totals.answered + totals.failed,
            failed: totals.failed,
            time: if totals.answered > 0.0 { totals.answer_seconds / totals.answered } else { 0.0 },
            span: totals.seconds,
        });
        let queries = std::mem::take(&mut self.queries).into_iter();
        let queries =
            queries.map(|((proxy, class), (came, span))| ProxyQueries { proxy, class, received: came, span });
        (tries.collect(), queries.collect())
    }
}
