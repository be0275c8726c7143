//! Settings of a pilot: their schema, validation, and conversion into the parameters of the decisions.
//!
//! Settings are validated against the published JSON Schema first, then their parts against each other. All errors
//! are reported at once, each with the JSON pointer to its place. Times are in seconds.

pub mod checks;
mod shape;

pub use shape::*;

use jsonschema::error::{ValidationError, ValidationErrorKind};
use oatlever::round;
use oatlever_cost::Link;
use std::fmt;

/// An error in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// JSON pointer (RFC 6901) to the value; empty for the whole document.
    pub pointer: String,
    pub found: String,
    pub expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let pointer = if self.pointer.is_empty() { "(whole document)" } else { &self.pointer };
        write!(f, "{pointer}: found {}; expected {}", self.found, self.expected)
    }
}

/// The JSON Schema (2020-12) of the settings.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}

/// Maximum length of a value quoted in a message, in characters.
const MAX_QUOTE_LENGTH: usize = 80;

fn quote(value: &serde_json::Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_QUOTE_LENGTH) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Collects the errors behind a schema error. The schema of an optional value is `null` or its type; if a value is
/// present, the errors in it are reported instead of its mismatch with both alternatives.
fn collect(error: &ValidationError, errors: &mut Vec<SettingsError>) {
    if let (ValidationErrorKind::AnyOf { context }, false) = (error.kind(), error.instance().is_null()) {
        let is_type_mismatch = |inner: &ValidationError| {
            inner.instance_path() == error.instance_path()
                && matches!(inner.kind(), ValidationErrorKind::Type { .. })
        };
        let matching =
            context.iter().find(|branch| !branch.is_empty() && !branch.iter().any(is_type_mismatch));
        if let Some(branch) = matching {
            return branch.iter().for_each(|inner| collect(inner, errors));
        }
    }
    errors.push(SettingsError {
        pointer: error.instance_path().to_string(),
        found: quote(error.instance()),
        expected: error.masked().to_string(),
    });
}

/// Parses and validates settings. Fails with all errors, sorted by JSON pointer.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let document_error = |found: String, expected: &str| {
        vec![SettingsError { pointer: String::new(), found, expected: expected.to_string() }]
    };
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| document_error(e.to_string(), "valid JSON"))?;
    let validator =
        jsonschema::validator_for(&schema()).map_err(|e| document_error(e.to_string(), "a valid schema"))?;
    let mut errors = Vec::new();
    validator.iter_errors(&value).for_each(|error| collect(&error, &mut errors));
    if errors.is_empty() {
        let settings: Settings = serde_json::from_value(value)
            .map_err(|e| document_error(e.to_string(), "settings that match the schema"))?;
        errors = checks::cross_check(&settings);
        if errors.is_empty() {
            return Ok(settings);
        }
    }
    errors.sort_by(|a, b| a.pointer.cmp(&b.pointer));
    Err(errors)
}

impl Settings {
    /// The index of a zone.
    pub fn zone_index(&self, name: &str) -> Option<u16> {
        self.zones.iter().position(|zone| zone == name).map(|index| index as u16)
    }

    /// Maximum time that a DNS answer is used after a change, s.
    pub fn max_cache_time(&self) -> f64 {
        f64::from(self.dns.lifetime) + self.dns.overstay
    }

    /// Maximum time that a table is used after it was replaced, s: DNS answers expire, and xDS streams that don't
    /// acknowledge the new one are closed.
    pub fn max_table_lifetime(&self) -> f64 {
        self.max_cache_time().max(self.xds.as_ref().map_or(0.0, |xds| xds.patience))
    }

    /// The deployment as a parameter of the decisions. DNS clients don't honour admission levels, so levels count as
    /// ignored unless every asker uses an xDS stream.
    pub fn site(&self) -> round::Site {
        let level_kind = match self.askers.iter().all(|asker| asker.node.is_some()) {
            true => round::LevelKind::Share,
            false => round::LevelKind::Ignored,
        };
        round::Site {
            zones: self.zones.len(),
            pilots: 1,
            proxies: self.askers.len() as f64,
            slices: 0,
            exclusive_owner: false,
            list_on_request: false,
            probes: self.checks.is_some(),
            level_kind,
            power_of_two_choices: false,
            report_period: self.reports.period,
            max_write_duration: 0.0,
            write_lease: 0.0,
        }
    }

    /// The query classes as a parameter of the decisions.
    pub fn query_classes(&self) -> Vec<round::QueryClass> {
        let class = |c: &Class| round::QueryClass { benefit: c.benefit, due_time: c.due_time };
        self.classes.iter().map(class).collect()
    }

    /// Prices by zone, and the links by source and destination zone.
    pub fn cost_model(&self, costs: &Costs) -> (Vec<f64>, Vec<Vec<Link>>) {
        let prices = self.zones.iter().map(|zone| costs.prices.get(zone).copied().unwrap_or(0.0));
        let mut links = vec![vec![Link::default(); self.zones.len()]; self.zones.len()];
        for zone_link in &costs.links {
            let ends: Vec<u16> = zone_link.between.iter().filter_map(|name| self.zone_index(name)).collect();
            let [a, b] = ends[..] else { continue };
            let link = Link { price: zone_link.price, time: zone_link.time, closed: zone_link.closed };
            for (from, to) in [(a, b), (b, a)] {
                links[usize::from(from)][usize::from(to)] = link;
            }
        }
        (prices.collect(), links)
    }

    /// The limits of the channel to askers that pull; `docs/notes/0001-running-pilot.md` describes each of them.
    pub fn pull_channel(&self) -> round::Channel {
        round::Channel {
            lines_per_second: self.channel.lines_per_second,
            max_waiting_lines: self.channel.most_waiting,
            header_lines: 0.0,
            max_messages: self.channel.most_messages,
            window: self.channel.window,
            max_delivery_delay: self.max_cache_time(),
        }
    }

    /// The parameters of the rules.
    pub fn rule_parameters(&self) -> round::Rules {
        round::Rules {
            list_deadline: self.roster.period + self.roster.patience,
            cold_share: self.rules.cold_share,
            warm_within: self.rules.warm_within,
            fall_multiple: self.rules.fall_multiple,
            gone_does_not_bind: self.rules.gone_does_not_bind,
        }
    }
}
