//! Settings of a pilot: what they are, where they are wrong, and what the decisions are told of them.
//!
//! The shape is checked against the published schema, then the parts against each other. All
//! mistakes are told at once, each with the JSON pointer to its place. Times are seconds.

pub mod checks;
mod shape;

pub use shape::*;

use jsonschema::error::{ValidationError, ValidationErrorKind};
use oatlever::round;
use oatlever_cost::Link;
use std::fmt;

/// Something wrong in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// JSON pointer (RFC 6901) to the place; empty for the whole text.
    pub pointer: String,
    pub found: String,
    pub expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let at = if self.pointer.is_empty() { "(whole text)" } else { &self.pointer };
        write!(f, "{at}: found {}; expected {}", self.found, self.expected)
    }
}

/// The JSON Schema (2020-12) that settings keep.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}

/// Longest value quoted in a message, in characters.
const QUOTED: usize = 80;

fn quote(value: &serde_json::Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(QUOTED) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Tells an error in the settings. A part that may be left out is none or as its schema says; where it is there,
/// what is wrong with it is told, not that it is neither.
fn tell(error: &ValidationError, mistakes: &mut Vec<SettingsError>) {
    if let (ValidationErrorKind::AnyOf { context }, false) = (error.kind(), error.instance().is_null()) {
        let other = |inner: &ValidationError| {
            let here = inner.instance_path() == error.instance_path();
            here && matches!(inner.kind(), ValidationErrorKind::Type { .. })
        };
        let told = context.iter().find(|branch| !branch.is_empty() && !branch.iter().any(other));
        if let Some(branch) = told {
            return branch.iter().for_each(|inner| tell(inner, mistakes));
        }
    }
    mistakes.push(SettingsError {
        pointer: error.instance_path().to_string(),
        found: quote(error.instance()),
        expected: error.masked().to_string(),
    });
}

/// Reads settings. Errors: every mistake found, in order of place.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let whole = |found: String, expected: &str| {
        vec![SettingsError { pointer: String::new(), found, expected: expected.to_string() }]
    };
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| whole(e.to_string(), "a JSON text"))?;
    let validator = jsonschema::validator_for(&schema())
        .map_err(|e| whole(e.to_string(), "a schema that can be used"))?;
    let mut mistakes = Vec::new();
    validator.iter_errors(&value).for_each(|error| tell(&error, &mut mistakes));
    if mistakes.is_empty() {
        let settings: Settings =
            serde_json::from_value(value).map_err(|e| whole(e.to_string(), "settings as the schema says"))?;
        mistakes = checks::cross_check(&settings);
        if mistakes.is_empty() {
            return Ok(settings);
        }
    }
    mistakes.sort_by(|a, b| a.pointer.cmp(&b.pointer));
    Err(mistakes)
}

impl Settings {
    pub fn zone_index(&self, name: &str) -> Option<u16> {
        self.zones.iter().position(|zone| zone == name).map(|place| place as u16)
    }

    /// Seconds from an order until no asker that keeps the stated lifetime holds what was before.
    pub fn max_cache_time(&self) -> f64 {
        f64::from(self.dns.lifetime) + self.dns.overstay
    }

    /// Seconds that a table may be in use after the next was laid: answers run out, streams are cut off.
    pub fn max_table_lifetime(&self) -> f64 {
        self.max_cache_time().max(self.xds.as_ref().map_or(0.0, |xds| xds.patience))
    }

    /// The deployment, as the decisions are told of it. Levels are not honoured by those who ask by DNS,
    /// so they are stated as ignored unless every asker is on a stream.
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
        }
    }

    pub fn query_classes(&self) -> Vec<round::QueryClass> {
        let class = |c: &Class| round::QueryClass { benefit: c.benefit, due_time: c.due_time };
        self.classes.iter().map(class).collect()
    }

    /// Prices by zone, and the ways between zones.
    pub fn cost_model(&self, costs: &Costs) -> (Vec<f64>, Vec<Vec<Link>>) {
        let prices = self.zones.iter().map(|zone| costs.prices.get(zone).copied().unwrap_or(0.0));
        let mut links = vec![vec![Link::default(); self.zones.len()]; self.zones.len()];
        for way in &costs.links {
            let ends: Vec<u16> = way.between.iter().filter_map(|name| self.zone_index(name)).collect();
            let [a, b] = ends[..] else { continue };
            let link = Link { price: way.price, time: way.time, closed: way.closed };
            for (from, to) in [(a, b), (b, a)] {
                links[usize::from(from)][usize::from(to)] = link;
            }
        }
        (prices.collect(), links)
    }

    /// The channel of those who pull: `docs/notes/0001-running-pilot.md` says what each figure means.
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
