//! What a pilot on the platform is told at its start, and again where that is replaced.

use super::LEAST_SOCKETS;
use oatlever_instance::{InstanceSettings, Malformed, Node, PlatformSettings};
use oatlever_roster::platform::PlatformDocument;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Descriptors, and MiB of memory, where the configuration states no limit.
const USUAL_SOCKETS: f64 = 1024.0;
const USUAL_MEMORY: f64 = 64.0;
/// Bytes.
const MIB: f64 = 1048576.0;
/// More of either is a mistake.
const MOST: f64 = 1e7;

pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Start of all chance.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that it may take.
    pub memory: usize,
    /// The list of servers as this pilot last had it.
    pub known: PlatformDocument,
    pub start: InstanceSettings,
    pub names: PlatformSettings,
}

/// What the file leaves out the environment says, by these names.
const NAME: &str = "BALANCER_NAME";
const LISTEN: &str = "BALANCER_LISTEN";
const DISCOVERY: &str = "BALANCER_DISCOVERY";

/// An address that the file or a variable names.
fn address(
    root: &Node,
    field: &str,
    variable: &str,
    environment: &impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, String> {
    match (root.optional(field), environment(variable)) {
        (Some(told), _) => {
            let text = told.string().map_err(|e| e.to_string())?;
            text.parse().or_else(|_| told.invalid("an address with a port")).map_err(|e| e.to_string())
        }
        (None, Some(text)) => text.parse().map_err(|e| format!("{variable} {text:?}: {e}")),
        (None, None) => Err(format!("`{field}` is missing, and {variable} is not set")),
    }
}

impl Configuration {
    /// Errors: what is wrong, and where.
    pub fn load(path: &Path) -> Result<Self, String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read(path).map_err(|e| told(&e))?;
        Self::read(&text, &|variable| std::env::var(variable).ok()).map_err(|e| told(&e))
    }

    fn read(text: &[u8], environment: &impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let root = Node::root(&value);
        let address = |field, variable| address(&root, field, variable, environment);
        let (listen, discovery) = (address("listen", LISTEN)?, address("discovery", DISCOVERY)?);
        Self::of(&root, environment(NAME), listen, discovery).map_err(|e| e.to_string())
    }

    fn of(
        root: &Node,
        name: Option<String>,
        listen: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<Self, Malformed> {
        let settings = root.required("settings")?;
        let (names, start) = (
            oatlever_instance::platform_settings(&settings)?,
            oatlever_instance::instance_settings(&settings)?,
        );
        if start.site.slices > 0 {
            // The protocol has no words for them, so such a pilot would serve nobody.
            return settings
                .required("family-info")?
                .required("partitions-n")?
                .invalid("0, as slices are not served");
        }
        let seed = root.required("seed")?;
        let number = u64::from_str_radix(seed.string()?, 16);
        let limits = root.optional("limits");
        if let Some(limits) = limits.iter().find(|limits| !limits.value().is_object()) {
            return limits.invalid("an object");
        }
        let limit = |key: &str, least: f64, usual: f64| {
            let told = limits.as_ref().and_then(|limits| limits.optional(key));
            told.map_or(Ok(usual), |told| told.number(least, MOST))
        };
        let known = match root.optional("known") {
            Some(known) => PlatformDocument::from_value(known.value(), &names.zones)
                .or_else(|what| known.invalid(&format!("usable: {what}")))?,
            None => PlatformDocument::empty(),
        };
        Ok(Configuration {
            name: match root.optional("name") {
                Some(told) => told.string()?.to_string(),
                None => name.unwrap_or_default(),
            },
            listen,
            discovery,
            seed: number.or_else(|_| seed.invalid("a number in hexadecimal"))?,
            sockets: limit("sockets", LEAST_SOCKETS as f64, USUAL_SOCKETS)? as usize,
            memory: (limit("memory_mb", 1.0, USUAL_MEMORY)? * MIB) as usize,
            known,
            start,
            names,
        })
    }
}
