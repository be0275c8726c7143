//! What a pilot on the platform is told at its start, and again where that is replaced.

use oatlever_instance::{Names, Start};
use oatlever_roster::platform::PlatformDocument;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Descriptors where the configuration states no limit.
const USUAL_SOCKETS: usize = 1024;

pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Start of all chance.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The list of servers as this pilot last had it.
    pub known: PlatformDocument,
    pub start: Start,
    pub names: Names,
}

#[derive(Deserialize)]
struct Wire {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<f64>,
}

impl Configuration {
    /// Errors: what is wrong, and where.
    pub fn load(path: &Path) -> Result<Self, String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read(path).map_err(|e| told(&e))?;
        Self::read(&text).map_err(|e| told(&e))
    }

    fn read(text: &[u8]) -> Result<Self, String> {
        let wire: Wire = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let names = oatlever_instance::names(&wire.settings).map_err(|e| e.to_string())?;
        let start = oatlever_instance::start(&wire.settings).map_err(|e| e.to_string())?;
        let nothing = PlatformDocument { version: 0, whole: true, servers: Vec::new(), mistakes: Vec::new() };
        let known = wire.known.filter(|known| !known.is_null());
        let known = known.map_or(Ok(nothing), |known| PlatformDocument::from_value(&known, &names.zones));
        Ok(Configuration {
            name: wire.name,
            listen: wire.listen,
            discovery: wire.discovery,
            seed: u64::from_str_radix(&wire.seed, 16).map_err(|e| format!("seed {:?}: {e}", wire.seed))?,
            sockets: wire.limits.sockets.map_or(USUAL_SOCKETS, |most| most as usize),
            known: known.map_err(|e| format!("known: {e}"))?,
            start,
            names,
        })
    }
}
