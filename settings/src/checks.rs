//! Checks of the parts of the settings against each other.

use crate::{Costs, Grant, Settings, SettingsError, Xds};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// s; the pilot's clock starts this high, so that what started before it has a positive time.
pub const CLOCK_START: f64 = 100_000.0;

fn wrong(at: String, found: impl ToString, expected: impl ToString) -> SettingsError {
    SettingsError { pointer: at, found: found.to_string(), expected: expected.to_string() }
}

/// An IPv4 prefix as address and bits. Errors: what a prefix looks like.
pub fn parse_prefix(text: &str) -> Result<(Ipv4Addr, u8), &'static str> {
    let expected = "an IPv4 prefix with no bits past its length, as 10.1.0.0/16";
    let (host, bits) = text.split_once('/').ok_or(expected)?;
    let host: Ipv4Addr = host.parse().map_err(|_| expected)?;
    let bits: u8 = bits.parse().ok().filter(|bits| *bits <= 32).ok_or(expected)?;
    let mask = u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0);
    if u32::from(host) & !mask != 0 {
        return Err(expected);
    }
    Ok((host, bits))
}

fn is_label(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
    !text.is_empty()
        && text.len() <= 62
        && text.chars().all(plain)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

fn labels_once<'a>(
    at: &str,
    names: impl Iterator<Item = &'a str>,
    out: &mut Vec<SettingsError>,
    field: &str,
) {
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for (place, name) in names.enumerate() {
        let at = format!("{at}/{place}{field}");
        if !is_label(name) {
            out.push(wrong(at.clone(), format!("{name:?}"), "a DNS label of letters, digits and hyphens"));
        }
        if let Some(first) = seen.insert(name.to_ascii_lowercase(), place) {
            out.push(wrong(at, format!("{name:?}"), format!("a name of its own; {first} has the same")));
        }
    }
}

fn is_http(text: &str) -> bool {
    text.strip_prefix("http://").is_some_and(|rest| {
        let host = rest.split('/').next().unwrap_or("");
        host.parse::<std::net::SocketAddr>().is_ok()
    })
}

/// A grant that nobody can use, or a node that nobody may be, is found here rather than on a bad day.
fn grants(s: &Settings, xds: &Xds, out: &mut Vec<SettingsError>) {
    let proven = xds.tls.as_ref().is_some_and(|tls| tls.authorities.is_some());
    if !xds.grants.is_empty() && !proven {
        let needed = "/xds/tls/authorities, as identities come from certificates";
        out.push(wrong("/xds/grants".into(), format!("{} grants", xds.grants.len()), needed));
    }
    let node = |name: &String| s.askers.iter().any(|asker| asker.node.as_ref() == Some(name));
    for (place, grant) in xds.grants.iter().enumerate() {
        let at = format!("/xds/grants/{place}");
        match (&grant.node, &grant.zone) {
            (Some(name), None) if !node(name) => {
                out.push(wrong(format!("{at}/node"), format!("{name:?}"), "the node of an asker"));
            }
            (None, Some(zone)) if s.zone_index(zone).is_none() => {
                let zones = format!("one of /zones: {}", s.zones.join(", "));
                out.push(wrong(format!("{at}/zone"), format!("{zone:?}"), zones));
            }
            (Some(_), None) | (None, Some(_)) => {}
            (Some(_), Some(_)) => out.push(wrong(at, "a node and a zone", "one of them")),
            (None, None) => out.push(wrong(at, "neither node nor zone", "one of them")),
        }
    }
    for (place, asker) in s.askers.iter().enumerate().filter(|_| !xds.grants.is_empty()) {
        let Some(name) = &asker.node else { continue };
        let covers =
            |grant: &Grant| grant.node.as_ref() == Some(name) || grant.zone.as_ref() == Some(&asker.zone);
        if !xds.grants.iter().any(covers) {
            let at = format!("/askers/{place}/node");
            out.push(wrong(at, format!("{name:?}"), "a node that some grant in /xds/grants covers"));
        }
    }
}

/// Prices of zones that there are, all of them; ways between two of them.
fn costs(s: &Settings, costs: &Costs, out: &mut Vec<SettingsError>) {
    let zones = format!("one of /zones: {}", s.zones.join(", "));
    for (name, price) in &costs.prices {
        let at = format!("/costs/prices/{name}");
        if s.zone_index(name).is_none() {
            out.push(wrong(at.clone(), format!("{name:?}"), &zones));
        }
        if !(price.is_finite() && *price >= 0.0) {
            out.push(wrong(at, price, "a price of 0 or more"));
        }
    }
    for name in s.zones.iter().filter(|name| !costs.prices.contains_key(*name)) {
        out.push(wrong("/costs/prices".into(), format!("no {name:?}"), "a price for every zone"));
    }
    let mut ways: BTreeMap<(u16, u16), usize> = BTreeMap::new();
    for (place, way) in costs.links.iter().enumerate() {
        let at = format!("/costs/links/{place}/between");
        let ends: Vec<u16> = way.between.iter().filter_map(|name| s.zone_index(name)).collect();
        let [a, b] = ends[..] else {
            out.push(wrong(at, way.between.join(", "), format!("two zones, each {zones}")));
            continue;
        };
        if a == b {
            out.push(wrong(at.clone(), format!("{:?} twice", way.between[0]), "two zones"));
        }
        if let Some(first) = ways.insert((a.min(b), a.max(b)), place) {
            out.push(wrong(at, way.between.join(", "), format!("zones that link {first} does not have")));
        }
    }
}

pub fn cross_check(s: &Settings) -> Vec<SettingsError> {
    let mut out = Vec::new();
    if let Some(found) = &s.costs {
        costs(s, found, &mut out);
    }
    labels_once("/zones", s.zones.iter().map(String::as_str), &mut out, "");
    labels_once("/classes", s.classes.iter().map(|c| c.name.as_str()), &mut out, "/name");
    if s.dns.origin.is_empty() || s.dns.origin.len() > 150 || !s.dns.origin.split('.').all(is_label) {
        out.push(wrong(
            "/dns/origin".into(),
            format!("{:?}", s.dns.origin),
            "a domain name of up to 150 bytes",
        ));
    }

    // An answer that a resolver holds is a line in a table: what it holds must run out in time.
    let hold = s.max_cache_time();
    let sum = format!("lifetime {} + overstay {} = {hold} s", s.dns.lifetime, s.dns.overstay);
    if hold >= s.rules.drain_grace {
        let most = format!(
            "less than /rules/drain_grace, {} s: what is held must run out in it",
            s.rules.drain_grace
        );
        out.push(wrong("/dns/lifetime".into(), &sum, most));
    }
    let short = s.dns.ledger.as_ref().and_then(|ledger| ledger.lifetime_short);
    if let Some(short) = short.filter(|short| *short > s.dns.lifetime) {
        let most = format!("/dns/lifetime, {} s, at most", s.dns.lifetime);
        out.push(wrong("/dns/ledger/lifetime_short".into(), short, most));
    }
    // A server that left is still in answers; who holds only such has none until they run out.
    if hold >= s.rules.without_server {
        let most = format!("less than /rules/without_server, {} s", s.rules.without_server);
        out.push(wrong("/dns/lifetime".into(), &sum, most));
    }
    if s.rules.warm_within >= CLOCK_START {
        out.push(wrong(
            "/rules/warm_within".into(),
            s.rules.warm_within,
            format!("less than {CLOCK_START} s"),
        ));
    }
    for (at, patience, period) in [
        ("/roster/patience", s.roster.patience, s.roster.period),
        ("/reports/patience", s.reports.patience, s.reports.period),
    ] {
        if patience > period {
            out.push(wrong(at.into(), patience, format!("no more than the period, {period} s")));
        }
    }
    if s.status.away_after < 2.0 * s.reports.period {
        let least = format!("two report periods or more, {} s", 2.0 * s.reports.period);
        out.push(wrong("/status/away_after".into(), s.status.away_after, least));
    }
    if !is_http(&s.roster.source) && !s.roster.source.starts_with("file:///") {
        out.push(wrong(
            "/roster/source".into(),
            format!("{:?}", s.roster.source),
            "http://address:port/path or file:///path",
        ));
    }
    if let Some(checks) = s.checks.as_ref().filter(|c| !c.path.starts_with('/')) {
        out.push(wrong("/checks/path".into(), format!("{:?}", checks.path), "a path that starts with /"));
    }

    let mut prefixes: BTreeMap<String, usize> = BTreeMap::new();
    let mut rest: BTreeMap<&str, usize> = BTreeMap::new();
    let mut names: BTreeMap<&str, usize> = BTreeMap::new();
    let mut nodes: BTreeMap<&str, usize> = BTreeMap::new();
    if let Some(xds) = s.xds.as_ref().filter(|xds| xds.patience >= s.rules.drain_grace) {
        let most = format!("less than /rules/drain_grace, {} s", s.rules.drain_grace);
        out.push(wrong("/xds/patience".into(), xds.patience, most));
    }
    for (place, asker) in s.askers.iter().enumerate() {
        let at = format!("/askers/{place}");
        if let Some(first) = names.insert(&asker.name, place) {
            let own = format!("a name of its own; asker {first} has the same");
            out.push(wrong(format!("{at}/name"), format!("{:?}", asker.name), own));
        }
        if s.zone_index(&asker.zone).is_none() {
            let zones = format!("one of /zones: {}", s.zones.join(", "));
            out.push(wrong(format!("{at}/zone"), format!("{:?}", asker.zone), zones));
        }
        for (n, text) in asker.prefixes.iter().enumerate() {
            let at = format!("{at}/prefixes/{n}");
            if let Err(expected) = parse_prefix(text) {
                out.push(wrong(at, format!("{text:?}"), expected));
            } else if let Some(first) = prefixes.insert(text.clone(), place) {
                out.push(wrong(
                    at,
                    format!("{text:?}"),
                    format!("a prefix that asker {first} does not have"),
                ));
            }
        }
        if let Some(node) = &asker.node {
            if let Some(first) = nodes.insert(node, place) {
                let own = format!("a node of its own; asker {first} has the same");
                out.push(wrong(format!("{at}/node"), format!("{node:?}"), own));
            }
            if s.xds.is_none() {
                out.push(wrong(format!("{at}/node"), format!("{node:?}"), "/xds, as it asks by a stream"));
            }
            if !asker.prefixes.is_empty() || asker.metrics.is_some() {
                out.push(wrong(at.clone(), "a node with prefixes or metrics", "one way of asking"));
            }
        } else if asker.prefixes.is_empty() {
            if let Some(first) = rest.insert(&asker.zone, place) {
                let expected = format!("one asker without prefixes in a zone; asker {first} is one");
                out.push(wrong(format!("{at}/prefixes"), "none", expected));
            }
        }
        if let Some(url) = asker.metrics.as_ref().filter(|url| !is_http(url)) {
            out.push(wrong(format!("{at}/metrics"), format!("{url:?}"), "http://address:port/path"));
        }
    }
    if let Some(xds) = &s.xds {
        grants(s, xds, &mut out);
    }
    for (n, text) in s.dns.trusted_resolvers.iter().enumerate() {
        if let Err(expected) = parse_prefix(text) {
            out.push(wrong(format!("/dns/trusted_resolvers/{n}"), format!("{text:?}"), expected));
        }
    }
    out
}
