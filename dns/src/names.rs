//! The names served under the origin.
//!
//! | name | records |
//! | --- | --- |
//! | `_class._tcp.origin`, `_class._tcp.zone.origin` | SRV: the servers of a class, by asker or by zone |
//! | `class.origin`, `class.zone.origin` | A: some of these servers, sampled by weight |
//! | `10-0-0-1.node.origin` | A: one server |
//! | `origin` | SOA, NS |
//! | `ns.origin` | A: this name server |

use hickory_proto::rr::Name;
use hickory_proto::ProtoError;
use std::net::Ipv4Addr;

const NODE: &str = "node";
const NAME_SERVER: &str = "ns";

/// What a query name refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    /// The SRV records of a class, optionally of one zone.
    Service {
        class: u16,
        zone: Option<u16>,
    },
    /// The addresses of a class, optionally of one zone.
    Addresses {
        class: u16,
        zone: Option<u16>,
    },
    /// A server, named by its address.
    Node(Ipv4Addr),
    /// The origin itself.
    Apex,
    NameServer,
    /// A name without records that has names below it (RFC 8499, section 7).
    EmptyNonTerminal,
    /// A name under the origin that does not exist.
    Nonexistent,
    /// A name that is not under the origin.
    OutsideOrigin,
}

/// Classifies query names by the origin, the classes and the zones of the settings.
pub struct Names {
    pub origin: Name,
    pub name_server: Name,
    node: Name,
    origin_labels: Vec<Vec<u8>>,
    classes: Vec<String>,
    zones: Vec<String>,
}

fn label_eq(label: &[u8], name: &str) -> bool {
    label.eq_ignore_ascii_case(name.as_bytes())
}

fn position(label: &[u8], names: &[String]) -> Option<u16> {
    names.iter().position(|name| label_eq(label, name)).map(|index| index as u16)
}

/// Parses a label such as `10-0-0-1`; accepts only the canonical spelling.
fn parse_host(label: &[u8]) -> Option<Ipv4Addr> {
    let text = std::str::from_utf8(label).ok()?;
    let host: Ipv4Addr = text.replace('-', ".").parse().ok()?;
    (host.to_string().replace('.', "-") == text).then_some(host)
}

impl Names {
    /// Fails if the origin is not a domain name, or leaves no room for the names below it.
    pub fn new(origin: &str, classes: Vec<String>, zones: Vec<String>) -> Result<Self, ProtoError> {
        let mut origin = Name::from_ascii(origin.to_ascii_lowercase())?;
        origin.set_fqdn(true);
        Ok(Names {
            name_server: origin.prepend_label(NAME_SERVER)?,
            node: origin.prepend_label(NODE)?,
            origin_labels: origin.iter().map(<[u8]>::to_vec).collect(),
            origin,
            classes,
            zones,
        })
    }

    /// The name of the server with this address.
    pub fn node(&self, host: Ipv4Addr) -> Result<Name, ProtoError> {
        self.node.prepend_label(host.to_string().replace('.', "-"))
    }

    /// Determines what a query name refers to.
    pub fn classify(&self, name: &Name) -> NameKind {
        let labels: Vec<&[u8]> = name.iter().collect();
        let Some(split) = labels.len().checked_sub(self.origin_labels.len()) else {
            return NameKind::OutsideOrigin;
        };
        let (below, origin) = labels.split_at(split);
        if !origin.iter().zip(&self.origin_labels).all(|(a, b)| a.eq_ignore_ascii_case(b)) {
            return NameKind::OutsideOrigin;
        }
        let class = |label: &[u8]| position(label, &self.classes);
        let zone = |label: &[u8]| position(label, &self.zones);
        let service = |label: &[u8]| label.strip_prefix(b"_").and_then(class);
        let kind = match below {
            [] => Some(NameKind::Apex),
            [one] if label_eq(one, NAME_SERVER) => Some(NameKind::NameServer),
            [one] if label_eq(one, NODE) || label_eq(one, "_tcp") => Some(NameKind::EmptyNonTerminal),
            [one] => match (class(one), zone(one)) {
                (Some(class), _) => Some(NameKind::Addresses { class, zone: None }),
                (None, zone) => zone.map(|_| NameKind::EmptyNonTerminal),
            },
            [first, last] if label_eq(last, NODE) => parse_host(first).map(NameKind::Node),
            [first, last] if label_eq(last, "_tcp") => {
                service(first).map(|class| NameKind::Service { class, zone: None })
            }
            [first, last] => zone(last).and_then(|zone| match class(first) {
                Some(class) => Some(NameKind::Addresses { class, zone: Some(zone) }),
                None => label_eq(first, "_tcp").then_some(NameKind::EmptyNonTerminal),
            }),
            [first, middle, last] if label_eq(middle, "_tcp") => {
                let class_and_zone = service(first).zip(zone(last));
                class_and_zone.map(|(class, zone)| NameKind::Service { class, zone: Some(zone) })
            }
            _ => None,
        };
        kind.unwrap_or(NameKind::Nonexistent)
    }
}
