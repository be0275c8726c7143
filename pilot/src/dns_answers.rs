//! Chooses the servers of DNS answers: feeds the ledger of handed-out answers with reports and with the
//! budgets of cold servers, and reports its state.

use oatlever::round::{Address, Round};
use oatlever_discovery::ServerList;
use oatlever_leases::{AddressSelector, Answer, Client, Lifetimes};
use oatlever_reports::Aggregator;
use oatlever_settings::Settings;
use oatlever_tables::Tables;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// State behind the answers of the DNS front.
pub struct DnsAnswers {
    pub selector: AddressSelector,
    rng: fastrand::Rng,
    /// Queries per second by asker and class, as last reported.
    rates: BTreeMap<(u16, u8), f64>,
    has_ledger: bool,
}

impl DnsAnswers {
    pub fn new(settings: &Settings, seed: u64, start: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let dns = &settings.dns;
        let near_cold = dns.ledger.as_ref().and_then(|ledger| ledger.lifetime_short).unwrap_or(dns.lifetime);
        let lives = Lifetimes { normal: dns.lifetime, near_cold, overstay: dns.overstay };
        let selector = match &dns.ledger {
            None => AddressSelector::without_ledger(lives),
            Some(ledger) => AddressSelector::new(lives, ledger.askers, (rng.u64(..), rng.u64(..)), start),
        };
        DnsAnswers { selector, rng, rates: BTreeMap::new(), has_ledger: dns.ledger.is_some() }
    }

    /// Takes in a round's reports of the queries that each client brought.
    pub fn observe(&mut self, round: &Round, sums: &mut Aggregator, settings: &Settings) {
        let clients = std::mem::take(&mut sums.client_queries);
        for ((server, host, class), (queries, span)) in clients.into_iter().filter(|_| self.has_ledger) {
            // A scrape may have waited for this round for up to one period.
            let since = round.now - span - settings.reports.period;
            self.selector.record_queries(server, host, u16::from(class), (queries, span), since, round.now);
        }
        for report in round.queries.iter().filter(|report| report.span > 0.0) {
            self.rates.insert((report.proxy, report.class), report.received / report.span);
        }
    }

    fn rate(&self, asker: u16, class: u8, settings: &Settings) -> f64 {
        let usual = || settings.askers[usize::from(asker)].usual_rate;
        self.rates.get(&(asker, class)).copied().unwrap_or_else(usual)
    }

    /// After the decisions: sets the query rate that answers may bring each cold server, which is its share in the
    /// tables of the askers that resolve addresses. Proxies that are scraped or hold a stream apply weights themselves.
    pub fn update_budgets(&mut self, tables: &Tables, book: &ServerList, settings: &Settings, now: f64) {
        if !self.has_ledger {
            return;
        }
        let is_cold = |started: f64| started > 0.0 && now - started < settings.rules.warm_within;
        let cold = book.members().iter().filter(|(_, member)| is_cold(member.started));
        let mut cold: BTreeMap<Address, f64> = cold.map(|(server, _)| (*server, 0.0)).collect();
        let mut rates: BTreeMap<u16, f64> = BTreeMap::new();
        let resolving = settings
            .askers
            .iter()
            .enumerate()
            .filter(|(_, asker)| asker.metrics.is_none() && asker.node.is_none());
        for (index, asker) in resolving.filter(|_| !cold.is_empty()) {
            let index = index as u16;
            if let Some(table) = tables.bound_table(index) {
                // The usual rate covers all classes together. Adding it once per class would give cold servers
                // several times their share until the first report.
                let reported = self.rates.range((index, 0)..=(index, u8::MAX)).map(|(_, rate)| *rate);
                *rates.entry(table).or_default() += reported.reduce(|a, b| a + b).unwrap_or(asker.usual_rate);
            }
        }
        for (table, _, index, _) in tables.summaries() {
            let Some(rate) = rates.get(&table) else { continue };
            for line in index.lines() {
                if let Some(budget) = cold.get_mut(&line.server) {
                    *budget += rate * line.weight / index.total_weight();
                }
            }
        }
        self.selector.set_cold_budgets(cold, now);
    }

    /// The answer for a host of an asker, or `None` if the asker holds no table.
    pub fn answer(
        &mut self,
        tables: &Tables,
        book: &ServerList,
        (asker, class, host): (u16, u16, Ipv4Addr),
        most: usize,
        settings: &Settings,
        now: f64,
    ) -> Option<Answer> {
        let view = tables.view(asker, class)?;
        let who = Client { host, class, group_rate: self.rate(asker, class as u8, settings) };
        let zone = |server: &Address| book.get(server).map(|member| member.zone);
        let rng = &mut self.rng;
        let empty = || Answer { servers: Vec::new(), lifetime: settings.dns.lifetime };
        Some(self.selector.answer(&view, who, most, zone, now, || rng.f64()).unwrap_or_else(empty))
    }

    /// The load that unexpired answers may still bring a server, from the ledger, as JSON.
    pub fn holders(&mut self, server: &Address, now: f64) -> Result<Value, String> {
        if !self.has_ledger {
            return Err("the settings have no /dns/ledger".to_string());
        }
        let ledger = &mut self.selector.ledger;
        let until = ledger.last_expiry(server, now).map(|until| until - now);
        Ok(json!({"server": server.to_string(), "queries_a_second": ledger.outstanding(server, now),
                  "let_go_in": until, "budget": self.selector.budget(server)}))
    }
}
