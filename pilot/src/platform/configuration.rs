//! The configuration file of a pilot on the platform, read at the start and on SIGHUP.

use super::MIN_SOCKETS;
use oatlever_discovery::platform::PlatformDocument;
use oatlever_instance::{InstanceSettings, Malformed, Node, PlatformSettings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Limits of file descriptors and memory (MiB) if the configuration states none.
const DEFAULT_SOCKETS: f64 = 1024.0;
const DEFAULT_MEMORY: f64 = 64.0;
/// Bytes per MiB.
const MIB: f64 = 1048576.0;
/// Largest valid value of either limit.
const MAX_LIMIT: f64 = 1e7;

/// The configuration of a pilot, with the environment's values for what the file leaves out.
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// The last list of servers that this pilot had before its start.
    pub known: PlatformDocument,
    pub start: InstanceSettings,
    pub names: PlatformSettings,
}

/// Environment variables for fields that the file leaves out.
const NAME: &str = "BALANCER_NAME";
const LISTEN: &str = "BALANCER_LISTEN";
const DISCOVERY: &str = "BALANCER_DISCOVERY";

/// An address from a field of the file, or from an environment variable if the file has no such field.
fn address(
    root: &Node,
    field: &str,
    variable: &str,
    environment: &impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, String> {
    match (root.optional(field), environment(variable)) {
        (Some(node), _) => {
            let text = node.string().map_err(|e| e.to_string())?;
            text.parse().or_else(|_| node.invalid("an address with a port")).map_err(|e| e.to_string())
        }
        (None, Some(text)) => text.parse().map_err(|e| format!("{variable} {text:?}: {e}")),
        (None, None) => Err(format!("`{field}` is missing, and {variable} is not set")),
    }
}

impl Configuration {
    /// Reads the file and the environment. Fails with the path, the field and the reason.
    pub fn load(path: &Path) -> Result<Self, String> {
        let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read(path).map_err(|e| with_path(&e))?;
        Self::parse(&text, &|variable| std::env::var(variable).ok()).map_err(|e| with_path(&e))
    }

    fn parse(text: &[u8], environment: &impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let root = Node::root(&value);
        let address = |field, variable| address(&root, field, variable, environment);
        let (listen, discovery) = (address("listen", LISTEN)?, address("discovery", DISCOVERY)?);
        Self::from_root(&root, environment(NAME), listen, discovery).map_err(|e| e.to_string())
    }

    fn from_root(
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
            // The platform's protocol has no messages for slices, so such a pilot would serve no proxy.
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
        let limit = |key: &str, least: f64, default: f64| {
            let node = limits.as_ref().and_then(|limits| limits.optional(key));
            node.map_or(Ok(default), |node| node.number(least, MAX_LIMIT))
        };
        let known = match root.optional("known") {
            Some(known) => PlatformDocument::from_value(known.value(), &names.zones)
                .or_else(|what| known.invalid(&format!("usable: {what}")))?,
            None => PlatformDocument::empty(),
        };
        Ok(Configuration {
            name: match root.optional("name") {
                Some(node) => node.string()?.to_string(),
                None => name.unwrap_or_default(),
            },
            listen,
            discovery,
            seed: number.or_else(|_| seed.invalid("a number in hexadecimal"))?,
            sockets: limit("sockets", MIN_SOCKETS as f64, DEFAULT_SOCKETS)? as usize,
            memory: (limit("memory_mb", 1.0, DEFAULT_MEMORY)? * MIB) as usize,
            known,
            start,
            names,
        })
    }
}
