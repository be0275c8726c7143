//! What a name under the origin stands for.
//!
//! | name | stands for |
//! | --- | --- |
//! | `_class._tcp.origin`, `_class._tcp.zone.origin` | SRV: the servers of a class, by who asks or by zone |
//! | `class.origin`, `class.zone.origin` | A: some of them, drawn by weight |
//! | `10-0-0-1.node.origin` | A: one server |
//! | `origin` | SOA, NS |
//! | `ns.origin` | A: this name server |

use hickory_proto::rr::Name;
use hickory_proto::ProtoError;
use std::net::Ipv4Addr;

const NODE: &str = "node";
const NAME_SERVER: &str = "ns";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    Service {
        class: u16,
        zone: Option<u16>,
    },
    Addresses {
        class: u16,
        zone: Option<u16>,
    },
    Node(Ipv4Addr),
    Apex,
    NameServer,
    /// Nothing itself, with names below it.
    EmptyNonTerminal,
    /// No such name.
    Nonexistent,
    /// Not under the origin.
    OutsideOrigin,
}

pub struct Names {
    pub origin: Name,
    pub name_server: Name,
    node: Name,
    labels: Vec<Vec<u8>>,
    classes: Vec<String>,
    zones: Vec<String>,
}

fn same(label: &[u8], name: &str) -> bool {
    label.eq_ignore_ascii_case(name.as_bytes())
}

fn place(label: &[u8], names: &[String]) -> Option<u16> {
    names.iter().position(|name| same(label, name)).map(|place| place as u16)
}

fn host(label: &[u8]) -> Option<Ipv4Addr> {
    let text = std::str::from_utf8(label).ok()?;
    let host: Ipv4Addr = text.replace('-', ".").parse().ok()?;
    (host.to_string().replace('.', "-") == text).then_some(host)
}

impl Names {
    /// Errors: the origin is no name, or too long for the names below it.
    pub fn new(origin: &str, classes: Vec<String>, zones: Vec<String>) -> Result<Self, ProtoError> {
        let mut origin = Name::from_ascii(origin.to_ascii_lowercase())?;
        origin.set_fqdn(true);
        Ok(Names {
            name_server: origin.prepend_label(NAME_SERVER)?,
            node: origin.prepend_label(NODE)?,
            labels: origin.iter().map(<[u8]>::to_vec).collect(),
            origin,
            classes,
            zones,
        })
    }

    /// The name of a server's address.
    pub fn node(&self, host: Ipv4Addr) -> Result<Name, ProtoError> {
        self.node.prepend_label(host.to_string().replace('.', "-"))
    }

    pub fn classify(&self, name: &Name) -> NameKind {
        let labels: Vec<&[u8]> = name.iter().collect();
        let Some(split) = labels.len().checked_sub(self.labels.len()) else { return NameKind::OutsideOrigin };
        let (below, origin) = labels.split_at(split);
        if !origin.iter().zip(&self.labels).all(|(a, b)| a.eq_ignore_ascii_case(b)) {
            return NameKind::OutsideOrigin;
        }
        let class = |label: &[u8]| place(label, &self.classes);
        let zone = |label: &[u8]| place(label, &self.zones);
        let service = |label: &[u8]| label.strip_prefix(b"_").and_then(class);
        let found = match below {
            [] => Some(NameKind::Apex),
            [one] if same(one, NAME_SERVER) => Some(NameKind::NameServer),
            [one] if same(one, NODE) || same(one, "_tcp") => Some(NameKind::EmptyNonTerminal),
            [one] => match (class(one), zone(one)) {
                (Some(class), _) => Some(NameKind::Addresses { class, zone: None }),
                (None, zone) => zone.map(|_| NameKind::EmptyNonTerminal),
            },
            [first, last] if same(last, NODE) => host(first).map(NameKind::Node),
            [first, last] if same(last, "_tcp") => {
                service(first).map(|class| NameKind::Service { class, zone: None })
            }
            [first, last] => zone(last).and_then(|zone| match class(first) {
                Some(class) => Some(NameKind::Addresses { class, zone: Some(zone) }),
                None => same(first, "_tcp").then_some(NameKind::EmptyNonTerminal),
            }),
            [first, middle, last] if same(middle, "_tcp") => {
                let found = service(first).zip(zone(last));
                found.map(|(class, zone)| NameKind::Service { class, zone: Some(zone) })
            }
            _ => None,
        };
        found.unwrap_or(NameKind::Nonexistent)
    }
}
