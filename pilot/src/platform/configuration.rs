//! What a pilot on the platform is told at its start, and again where that is replaced.

use oatlever_instance::{Names, Start};
use oatlever_roster::platform::PlatformDocument;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Descriptors, and MiB of memory, where the configuration states no limit.
const USUAL_SOCKETS: usize = 1024;
const USUAL_MEMORY: usize = 64;

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
    pub start: Start,
    pub names: Names,
}

#[derive(Deserialize)]
struct Wire {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Value>,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<f64>,
    memory_mb: Option<f64>,
}

/// What the file leaves out the environment says, by these names.
const NAME: &str = "BALANCER_NAME";
const LISTEN: &str = "BALANCER_LISTEN";
const DISCOVERY: &str = "BALANCER_DISCOVERY";

/// An address that the file or a variable names.
fn address(
    told: Option<SocketAddr>,
    field: &str,
    variable: &str,
    environment: &impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, String> {
    match (told, environment(variable)) {
        (Some(told), _) => Ok(told),
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
        let wire: Wire = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let names = oatlever_instance::names(&wire.settings).map_err(|e| e.to_string())?;
        let start = oatlever_instance::start(&wire.settings).map_err(|e| e.to_string())?;
        let nothing = PlatformDocument { version: 0, whole: true, servers: Vec::new(), mistakes: Vec::new() };
        let known =
            wire.known.map_or(Ok(nothing), |known| PlatformDocument::from_value(&known, &names.zones));
        Ok(Configuration {
            name: wire.name.or_else(|| environment(NAME)).unwrap_or_default(),
            listen: address(wire.listen, "listen", LISTEN, environment)?,
            discovery: address(wire.discovery, "discovery", DISCOVERY, environment)?,
            seed: u64::from_str_radix(&wire.seed, 16).map_err(|e| format!("seed {:?}: {e}", wire.seed))?,
            sockets: wire.limits.sockets.map_or(USUAL_SOCKETS, |most| most as usize),
            memory: wire.limits.memory_mb.map_or(USUAL_MEMORY, |most| most as usize) << 20,
            known: known.map_err(|e| format!("known: {e}"))?,
            start,
            names,
        })
    }
}
