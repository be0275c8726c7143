//! The ledger between the tables and the DNS front: what it is told, and what is said of it.

use oatlever::round::{Address, Round};
use oatlever_handout::{Answer, Handout, Lives, Who};
use oatlever_reports::Sums;
use oatlever_roster::ServerList;
use oatlever_settings::Settings;
use oatlever_tables::Tables;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub struct Handing {
    pub handout: Handout,
    chance: fastrand::Rng,
    /// Queries a second by asker and class, as last reported.
    rates: BTreeMap<(u16, u8), f64>,
    keeps: bool,
}

impl Handing {
    pub fn new(settings: &Settings, seed: u64, start: f64) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed);
        let dns = &settings.dns;
        let short = dns.ledger.as_ref().and_then(|ledger| ledger.lifetime_short).unwrap_or(dns.lifetime);
        let lives = Lives { long: dns.lifetime, short, overstay: dns.overstay };
        let handout = match &dns.ledger {
            None => Handout::plain(lives),
            Some(ledger) => Handout::new(lives, ledger.askers, (chance.u64(..), chance.u64(..)), start),
        };
        Handing { handout, chance, rates: BTreeMap::new(), keeps: dns.ledger.is_some() }
    }

    /// Takes in what came in a round: who brought how much.
    pub fn hear(&mut self, round: &Round, sums: &mut Sums, settings: &Settings) {
        let clients = std::mem::take(&mut sums.clients);
        for ((server, host, class), (queries, span)) in clients.into_iter().filter(|_| self.keeps) {
            // A reading waits for the round for up to a period.
            let since = round.now - span - settings.reports.period;
            self.handout.met(server, host, u16::from(class), (queries, span), since, round.now);
        }
        for one in round.queries.iter().filter(|one| one.span > 0.0) {
            self.rates.insert((one.proxy, one.class), one.received / one.span);
        }
    }

    fn rate(&self, asker: u16, class: u8, settings: &Settings) -> f64 {
        let usual = || settings.askers[usize::from(asker)].usual_rate;
        self.rates.get(&(asker, class)).copied().unwrap_or_else(usual)
    }

    /// After the decisions: what the tables give each cold server of the queries of those who ask for addresses.
    /// Proxies that are read or on streams weigh for themselves.
    pub fn spare(&mut self, tables: &Tables, book: &ServerList, settings: &Settings, now: f64) {
        if !self.keeps {
            return;
        }
        let young = |started: f64| started > 0.0 && now - started < settings.rules.warm_within;
        let cold = book.members().iter().filter(|(_, member)| young(member.started));
        let mut cold: BTreeMap<Address, f64> = cold.map(|(server, _)| (*server, 0.0)).collect();
        let mut rates: BTreeMap<u16, f64> = BTreeMap::new();
        let asking =
            settings.askers.iter().enumerate().filter(|(_, a)| a.metrics.is_none() && a.node.is_none());
        for (asker, one) in asking.filter(|_| !cold.is_empty()) {
            if let Some(table) = tables.bound(asker as u16) {
                // The usual rate is of all classes together: counted for each, cold servers would be given several
                // times their part until the first report.
                let heard =
                    self.rates.range((asker as u16, 0)..=(asker as u16, u8::MAX)).map(|(_, rate)| *rate);
                *rates.entry(table).or_default() += heard.reduce(|a, b| a + b).unwrap_or(one.usual_rate);
            }
        }
        for (table, _, index, _) in tables.all() {
            let Some(rate) = rates.get(&table) else { continue };
            for line in index.lines() {
                if let Some(budget) = cold.get_mut(&line.server) {
                    *budget += rate * line.weight / index.all();
                }
            }
        }
        self.handout.spare(cold, now);
    }

    /// The answer to a host of an asker; none where it holds no table.
    pub fn answer(
        &mut self,
        tables: &Tables,
        book: &ServerList,
        (asker, class, host): (u16, u16, Ipv4Addr),
        most: usize,
        settings: &Settings,
        now: f64,
    ) -> Option<Answer> {
        let view = tables.held(asker, class)?;
        let who = Who { host, class, group: self.rate(asker, class as u8, settings) };
        let zone = |server: &Address| book.get(server).map(|member| member.zone);
        let chance = &mut self.chance;
        let none = || Answer { servers: Vec::new(), lifetime: settings.dns.lifetime };
        Some(self.handout.answer(&view, who, most, zone, now, || chance.f64()).unwrap_or_else(none))
    }

    /// Who holds a server, as far as the ledger tells.
    pub fn holders(&mut self, server: &Address, now: f64) -> Result<Value, String> {
        if !self.keeps {
            return Err("the settings have no /dns/ledger".to_string());
        }
        let ledger = &mut self.handout.ledger;
        let until = ledger.until(server, now).map(|until| until - now);
        Ok(json!({"server": server.to_string(), "queries_a_second": ledger.outstanding(server, now),
                  "let_go_in": until, "budget": self.handout.budget(server)}))
    }
}
