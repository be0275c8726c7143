//! Validation across fields of the settings, beyond the schema.

use crate::{Costs, Grant, Settings, SettingsError, Xds};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Initial value of the pilot's clock, s: high enough that servers started before the pilot have a positive start time.
pub const CLOCK_START: f64 = 100_000.0;

fn error(pointer: String, found: impl ToString, expected: impl ToString) -> SettingsError {
    SettingsError { pointer, found: found.to_string(), expected: expected.to_string() }
}

/// Parses an IPv4 prefix into address and length. Fails with a description of the expected format.
pub fn parse_prefix(text: &str) -> Result<(Ipv4Addr, u8), &'static str> {
    let expected = "an IPv4 prefix without bits beyond its length, such as 10.1.0.0/16";
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
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    !text.is_empty()
        && text.len() <= 62
        && text.chars().all(is_allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

/// Checks that names are DNS labels and unique regardless of case. `field` is the pointer from an item to its name.
fn check_labels<'a>(
    pointer: &str,
    names: impl Iterator<Item = &'a str>,
    out: &mut Vec<SettingsError>,
    field: &str,
) {
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for (index, name) in names.enumerate() {
        let pointer = format!("{pointer}/{index}{field}");
        if !is_label(name) {
            out.push(error(
                pointer.clone(),
                format!("{name:?}"),
                "a DNS label of letters, digits and hyphens",
            ));
        }
        if let Some(first) = seen.insert(name.to_ascii_lowercase(), index) {
            out.push(error(pointer, format!("{name:?}"), format!("a unique name; {first} has the same")));
        }
    }
}

/// Whether a text is an HTTP URL with an IP address and port.
fn is_http(text: &str) -> bool {
    text.strip_prefix("http://").is_some_and(|rest| {
        let host = rest.split('/').next().unwrap_or("");
        host.parse::<std::net::SocketAddr>().is_ok()
    })
}

/// Finds grants that can't apply to any asker, and nodes that no grant allows.
fn check_grants(s: &Settings, xds: &Xds, out: &mut Vec<SettingsError>) {
    let has_authorities = xds.tls.as_ref().is_some_and(|tls| tls.authorities.is_some());
    if !xds.grants.is_empty() && !has_authorities {
        let expected = "/xds/tls/authorities, because identities are taken from certificates";
        out.push(error("/xds/grants".into(), format!("{} grants", xds.grants.len()), expected));
    }
    let is_node = |name: &String| s.askers.iter().any(|asker| asker.node.as_ref() == Some(name));
    for (index, grant) in xds.grants.iter().enumerate() {
        let pointer = format!("/xds/grants/{index}");
        match (&grant.node, &grant.zone) {
            (Some(name), None) if !is_node(name) => {
                out.push(error(format!("{pointer}/node"), format!("{name:?}"), "the node of an asker"));
            }
            (None, Some(zone)) if s.zone_index(zone).is_none() => {
                let zones = format!("one of /zones: {}", s.zones.join(", "));
                out.push(error(format!("{pointer}/zone"), format!("{zone:?}"), zones));
            }
            (Some(_), None) | (None, Some(_)) => {}
            (Some(_), Some(_)) => out.push(error(pointer, "both a node and a zone", "only one of them")),
            (None, None) => out.push(error(pointer, "neither a node nor a zone", "one of them")),
        }
    }
    for (index, asker) in s.askers.iter().enumerate().filter(|_| !xds.grants.is_empty()) {
        let Some(name) = &asker.node else { continue };
        let covers =
            |grant: &Grant| grant.node.as_ref() == Some(name) || grant.zone.as_ref() == Some(&asker.zone);
        if !xds.grants.iter().any(covers) {
            let pointer = format!("/askers/{index}/node");
            out.push(error(pointer, format!("{name:?}"), "a node that a grant in /xds/grants covers"));
        }
    }
}

/// Checks that every zone has a price, and that links connect two different zones and are unique.
fn check_costs(s: &Settings, costs: &Costs, out: &mut Vec<SettingsError>) {
    let zones = format!("one of /zones: {}", s.zones.join(", "));
    for (name, price) in &costs.prices {
        let pointer = format!("/costs/prices/{name}");
        if s.zone_index(name).is_none() {
            out.push(error(pointer.clone(), format!("{name:?}"), &zones));
        }
        if !(price.is_finite() && *price >= 0.0) {
            out.push(error(pointer, price, "a price of 0 or more"));
        }
    }
    for name in s.zones.iter().filter(|name| !costs.prices.contains_key(*name)) {
        out.push(error("/costs/prices".into(), format!("no {name:?}"), "a price for every zone"));
    }
    let mut links: BTreeMap<(u16, u16), usize> = BTreeMap::new();
    for (index, link) in costs.links.iter().enumerate() {
        let pointer = format!("/costs/links/{index}/between");
        let ends: Vec<u16> = link.between.iter().filter_map(|name| s.zone_index(name)).collect();
        let [a, b] = ends[..] else {
            out.push(error(pointer, link.between.join(", "), format!("two zones, each {zones}")));
            continue;
        };
        if a == b {
            out.push(error(pointer.clone(), format!("{:?} twice", link.between[0]), "two zones"));
        }
        if let Some(first) = links.insert((a.min(b), a.max(b)), index) {
            out.push(error(
                pointer,
                link.between.join(", "),
                format!("a unique pair of zones; link {first} has the same"),
            ));
        }
    }
}

/// Validates the settings beyond their schema.
pub fn cross_check(s: &Settings) -> Vec<SettingsError> {
    let mut out = Vec::new();
    if let Some(costs) = &s.costs {
        check_costs(s, costs, &mut out);
    }
    check_labels("/zones", s.zones.iter().map(String::as_str), &mut out, "");
    check_labels("/classes", s.classes.iter().map(|c| c.name.as_str()), &mut out, "/name");
    if s.dns.origin.is_empty() || s.dns.origin.len() > 150 || !s.dns.origin.split('.').all(is_label) {
        out.push(error(
            "/dns/origin".into(),
            format!("{:?}", s.dns.origin),
            "a domain name of up to 150 bytes",
        ));
    }

    // A resolver's cached answer is a table in use: it must expire within the grace period of a drain.
    let cache_time = s.max_cache_time();
    let sum = format!("lifetime {} + overstay {} = {cache_time} s", s.dns.lifetime, s.dns.overstay);
    if cache_time >= s.rules.drain_grace {
        let most = format!(
            "less than /rules/drain_grace, {} s, so that cached answers expire in it",
            s.rules.drain_grace
        );
        out.push(error("/dns/lifetime".into(), &sum, most));
    }
    let short = s.dns.ledger.as_ref().and_then(|ledger| ledger.lifetime_short);
    if let Some(short) = short.filter(|short| *short > s.dns.lifetime) {
        let most = format!("at most /dns/lifetime, {} s", s.dns.lifetime);
        out.push(error("/dns/ledger/lifetime_short".into(), short, most));
    }
    // Cached answers may contain only servers that have left; their users have no server until the answers expire.
    if cache_time >= s.rules.without_server {
        let most = format!("less than /rules/without_server, {} s", s.rules.without_server);
        out.push(error("/dns/lifetime".into(), &sum, most));
    }
    if s.rules.warm_within >= CLOCK_START {
        out.push(error(
            "/rules/warm_within".into(),
            s.rules.warm_within,
            format!("less than {CLOCK_START} s"),
        ));
    }
    for (pointer, patience, period) in [
        ("/roster/patience", s.roster.patience, s.roster.period),
        ("/reports/patience", s.reports.patience, s.reports.period),
    ] {
        if patience > period {
            out.push(error(pointer.into(), patience, format!("at most the period, {period} s")));
        }
    }
    if s.status.away_after < 2.0 * s.reports.period {
        let least = format!("at least two report periods, {} s", 2.0 * s.reports.period);
        out.push(error("/status/away_after".into(), s.status.away_after, least));
    }
    if !is_http(&s.roster.source) && !s.roster.source.starts_with("file:///") {
        out.push(error(
            "/roster/source".into(),
            format!("{:?}", s.roster.source),
            "http://address:port/path or file:///path",
        ));
    }
    if let Some(checks) = s.checks.as_ref().filter(|c| !c.path.starts_with('/')) {
        out.push(error("/checks/path".into(), format!("{:?}", checks.path), "a path that starts with /"));
    }

    let mut prefixes: BTreeMap<String, usize> = BTreeMap::new();
    let mut catch_all: BTreeMap<&str, usize> = BTreeMap::new();
    let mut names: BTreeMap<&str, usize> = BTreeMap::new();
    let mut nodes: BTreeMap<&str, usize> = BTreeMap::new();
    if let Some(xds) = s.xds.as_ref().filter(|xds| xds.patience >= s.rules.drain_grace) {
        let most = format!("less than /rules/drain_grace, {} s", s.rules.drain_grace);
        out.push(error("/xds/patience".into(), xds.patience, most));
    }
    for (index, asker) in s.askers.iter().enumerate() {
        let pointer = format!("/askers/{index}");
        if let Some(first) = names.insert(&asker.name, index) {
            let expected = format!("a unique name; asker {first} has the same");
            out.push(error(format!("{pointer}/name"), format!("{:?}", asker.name), expected));
        }
        if s.zone_index(&asker.zone).is_none() {
            let zones = format!("one of /zones: {}", s.zones.join(", "));
            out.push(error(format!("{pointer}/zone"), format!("{:?}", asker.zone), zones));
        }
        for (n, text) in asker.prefixes.iter().enumerate() {
            let pointer = format!("{pointer}/prefixes/{n}");
            if let Err(expected) = parse_prefix(text) {
                out.push(error(pointer, format!("{text:?}"), expected));
            } else if let Some(first) = prefixes.insert(text.clone(), index) {
                out.push(error(
                    pointer,
                    format!("{text:?}"),
                    format!("a unique prefix; asker {first} has the same"),
                ));
            }
        }
        if let Some(node) = &asker.node {
            if let Some(first) = nodes.insert(node, index) {
                let expected = format!("a unique node; asker {first} has the same");
                out.push(error(format!("{pointer}/node"), format!("{node:?}"), expected));
            }
            if s.xds.is_none() {
                out.push(error(
                    format!("{pointer}/node"),
                    format!("{node:?}"),
                    "/xds, because nodes use xDS streams",
                ));
            }
            if !asker.prefixes.is_empty() || asker.metrics.is_some() {
                out.push(error(
                    pointer.clone(),
                    "a node with prefixes or metrics",
                    "either a node, or prefixes and metrics",
                ));
            }
        } else if asker.prefixes.is_empty() {
            if let Some(first) = catch_all.insert(&asker.zone, index) {
                let expected =
                    format!("at most one asker without prefixes per zone; asker {first} has none either");
                out.push(error(format!("{pointer}/prefixes"), "none", expected));
            }
        }
        if let Some(url) = asker.metrics.as_ref().filter(|url| !is_http(url)) {
            out.push(error(format!("{pointer}/metrics"), format!("{url:?}"), "http://address:port/path"));
        }
    }
    if let Some(xds) = &s.xds {
        check_grants(s, xds, &mut out);
    }
    for (n, text) in s.dns.trusted_resolvers.iter().enumerate() {
        if let Err(expected) = parse_prefix(text) {
            out.push(error(format!("/dns/trusted_resolvers/{n}"), format!("{text:?}"), expected));
        }
    }
    out
}
