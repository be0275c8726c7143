//! Parser for the JSON settings that an instance starts with.
//!
//! The simulator passes them in its first event, and a pilot on the platform reads them from its
//! configuration. Times are milliseconds in the JSON and seconds in the parsed structures.

use oatlever::round::{Channel, LevelKind, QueryClass, Rules, Site};
use serde_json::Value;
use std::fmt;

/// An invalid value in the settings or in a later record, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn malformed<T>(message: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(message.into()))
}

/// Upper bound of numbers and of times in ms that have no bound of their own. As a time, this is 11.6 days;
/// anything larger is a mistake.
const MAX_NUMBER: f64 = 1e9;
/// Lower bound of numbers that must be above 0. Error messages state it as "above 0".
const ABOVE_ZERO: f64 = f64::MIN_POSITIVE;
/// Upper bound of the tick, in ms. A pilot that ran rounds less often could not serve anyone.
const MAX_TICK_MS: f64 = 60_000.0;
/// Upper bound of the numbers of proxies, slices, pilots and (exclusive) zones: they are identified by 16-bit
/// integers.
const MAX_COUNT: f64 = 65536.0;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of classes: sets of classes are 16-bit masks.
const MAX_CLASSES: usize = 16;
/// Maximum number of characters of an invalid value that are quoted in an error message.
const MAX_QUOTED_CHARS: usize = 80;

/// A JSON value and its path from the root, which error messages state.
#[derive(Clone, Debug)]
pub struct Node<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Node<'a> {
    pub fn root(value: &'a Value) -> Self {
        Node { value, path: String::new() }
    }

    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Returns a field of an object, or `None` if it is missing or null.
    pub fn optional(&self, key: &str) -> Option<Node<'a>> {
        let dot = if self.path.is_empty() { "" } else { "." };
        let found = self.value.get(key).filter(|value| !value.is_null());
        found.map(|value| Node { value, path: format!("{}{dot}{key}", self.path) })
    }

    /// Returns a field of an object. Fails if it is missing or null.
    pub fn required(&self, key: &str) -> Result<Node<'a>, Malformed> {
        match self.optional(key) {
            Some(node) => Ok(node),
            None if self.path.is_empty() => malformed(format!("`{key}` is missing")),
            None => malformed(format!("`{key}` is missing in `{}`", self.path)),
        }
    }

    /// Fails with an error that quotes this value and states what was expected instead.
    pub fn invalid<T>(&self, expected: &str) -> Result<T, Malformed> {
        let text = self.value.to_string();
        let quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
        let ellipsis = if quoted.len() < text.len() { "..." } else { "" };
        malformed(format!("`{}` is {quoted}{ellipsis}, not {expected}", self.path))
    }

    /// Reads a number from `min` to `max`, both inclusive. A `min` of `f64::MIN_POSITIVE` stands for "above 0".
    pub fn number(&self, min: f64, max: f64) -> Result<f64, Malformed> {
        match self.value.as_f64() {
            Some(x) if x >= min && x <= max => Ok(x),
            _ if min == ABOVE_ZERO => self.invalid(&format!("a number above 0, to {max}")),
            _ => self.invalid(&format!("a number from {min} to {max}")),
        }
    }

    /// Reads a number without a fraction from `min` to `max`, both inclusive. It is returned as `f64`, the type in
    /// which the decision logic calculates.
    pub fn integer(&self, min: f64, max: f64) -> Result<f64, Malformed> {
        match self.number(min, max) {
            Ok(x) if x.fract() == 0.0 => Ok(x),
            _ => self.invalid(&format!("a whole number from {min} to {max}")),
        }
    }

    /// Reads a number of at least 0.
    fn non_negative(&self, key: &str) -> Result<f64, Malformed> {
        self.required(key)?.number(0.0, MAX_NUMBER)
    }

    /// Reads a number above 0.
    fn positive(&self, key: &str) -> Result<f64, Malformed> {
        self.required(key)?.number(ABOVE_ZERO, MAX_NUMBER)
    }

    /// Reads a time in ms and returns seconds.
    fn seconds(&self, key: &str) -> Result<f64, Malformed> {
        Ok(self.non_negative(key)? / 1000.0)
    }

    /// Reads a time in ms that must not be 0, and returns seconds.
    fn positive_seconds(&self, key: &str) -> Result<f64, Malformed> {
        Ok(self.positive(key)? / 1000.0)
    }

    /// Reads a boolean; a missing field means false.
    fn flag(&self, key: &str) -> Result<bool, Malformed> {
        match self.optional(key) {
            None => Ok(false),
            Some(node) => match node.value.as_bool() {
                Some(on) => Ok(on),
                None => node.invalid("true or false"),
            },
        }
    }

    pub fn string(&self) -> Result<&'a str, Malformed> {
        match self.value.as_str() {
            Some(text) => Ok(text),
            None => self.invalid("a string"),
        }
    }

    /// Maps a string that must be one of `options` to its value.
    fn choice<T: Copy>(&self, key: &str, options: &[(&str, T)]) -> Result<T, Malformed> {
        let node = self.required(key)?;
        match options.iter().find(|(name, _)| node.value.as_str() == Some(name)) {
            Some((_, value)) => Ok(*value),
            None => {
                let all: Vec<&str> = options.iter().map(|(name, _)| *name).collect();
                node.invalid(&format!("one of {}", all.join(", ")))
            }
        }
    }

    fn items(&self, key: &str) -> Result<Vec<Node<'a>>, Malformed> {
        let node = self.required(key)?;
        let Some(list) = node.value.as_array() else {
            return node.invalid("a list");
        };
        let item = |(k, value)| Node { value, path: format!("{}[{k}]", node.path) };
        Ok(list.iter().enumerate().map(item).collect())
    }
}

/// Reads names, which must be unique.
fn unique_names<'a>(
    nodes: impl Iterator<Item = Result<Node<'a>, Malformed>>,
) -> Result<Vec<String>, Malformed> {
    let mut names: Vec<String> = Vec::new();
    for node in nodes {
        let node = node?;
        let name = node.string()?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return node.invalid(&format!("a name of 1 to {MAX_NAME_BYTES} bytes"));
        }
        if names.iter().any(|other| other == name) {
            return node.invalid("a unique name");
        }
        names.push(name.to_string());
    }
    Ok(names)
}

/// Settings of the decision logic.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// The deployment: numbers of zones, pilots and proxies, and what the proxies support.
    pub site: Site,
    /// Benefit and due time of each class of queries, indexed by class number.
    pub classes: Vec<QueryClass>,
    /// Limits of the channel to the proxies, in lines. A line is an entry of a table: a server with its weight.
    /// The header of a message and a mark are counted as lines too.
    pub channel: Channel,
    /// Parameters of the rules that every order must keep.
    pub rules: Rules,
}

/// Further settings of a pilot on the platform: the names that messages use, and timing.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Zone names, indexed by zone number.
    pub zones: Vec<String>,
    /// Class names, indexed by class number.
    pub classes: Vec<String>,
    /// Minimum interval between two rounds, in seconds.
    pub tick: f64,
    /// Timeout for connecting to a server, in seconds.
    pub connect_timeout: f64,
}

/// Parses the settings. Fails if they are not JSON, or if a field is missing or invalid.
pub fn parse(text: &[u8]) -> Result<InstanceSettings, Malformed> {
    match serde_json::from_slice(text) {
        Ok(value) => instance_settings(&Node::root(&value))
            .map_err(|Malformed(message)| Malformed(format!("settings: {message}"))),
        Err(e) => malformed(format!("settings are not JSON: {e}")),
    }
}

/// Reads the settings of a pilot on the platform. Fails if a field is missing or invalid, or if a name is not
/// unique.
pub fn platform_settings(settings: &Node) -> Result<PlatformSettings, Malformed> {
    Ok(PlatformSettings {
        zones: unique_names(settings.items("zones")?.into_iter().map(Ok))?,
        classes: unique_names(settings.items("lanes")?.iter().map(|lane| lane.required("name")))?,
        tick: settings.required("tick-ms")?.number(0.0, MAX_TICK_MS)? / 1000.0,
        connect_timeout: settings.required("limits")?.positive_seconds("connect-timeout-ms")?,
    })
}

/// Reads the settings of the decision logic. Fails if a field is missing or invalid.
pub fn instance_settings(settings: &Node) -> Result<InstanceSettings, Malformed> {
    let info = settings.required("family-info")?;
    let limits = settings.required("limits")?;
    let rules = settings.required("rules")?;

    let mut classes = Vec::new();
    for lane in settings.items("lanes")? {
        classes.push(QueryClass {
            benefit: lane.non_negative("worth")?,
            due_time: lane.positive_seconds("slo-ms")?,
        });
    }
    if classes.is_empty() || classes.len() > MAX_CLASSES {
        return settings.required("lanes")?.invalid("a list of 1 to 16 classes");
    }
    let zones = settings.items("zones")?.len();
    if zones == 0 || zones as f64 >= MAX_COUNT {
        return settings.required("zones")?.invalid("a list of one zone or more");
    }
    let max_messages = info.required("reloads-max")?.integer(0.0, MAX_NUMBER)? as usize;
    let slices = info.required("partitions-n")?.integer(0.0, MAX_COUNT)? as usize;
    let exclusive_owner = info.flag("one-owner")?;
    let list_on_request = settings.choice("registry-mode", &[("pushed", false), ("on_request", true)])?;
    Ok(InstanceSettings {
        site: Site {
            zones,
            pilots: (settings.required("siblings")?.integer(0.0, MAX_COUNT)? as usize).max(1),
            proxies: info.required("data-plane-size")?.integer(1.0, MAX_COUNT)?,
            slices,
            exclusive_owner,
            list_on_request,
            probes: limits.flag("probes")?,
            level_kind: info.choice(
                "level-kind",
                &[("share", LevelKind::Share), ("rate", LevelKind::Rate), ("off", LevelKind::Ignored)],
            )?,
            power_of_two_choices: info
                .choice("choice", &[("weighted", false), ("round", false), ("two", true)])?,
            report_period: info.positive_seconds("period-ms")?,
            max_write_duration: info.seconds("write-life-ms")?,
            // Proxies send writes by lease only where slices have an exclusive owner.
            write_lease: if slices > 0 && exclusive_owner { info.seconds("write-lease-ms")? } else { 0.0 },
        },
        classes,
        channel: Channel {
            lines_per_second: info.positive("egress-per-s")?,
            max_waiting_lines: info.positive("queue-cap")?,
            header_lines: info.non_negative("head")?,
            max_messages,
            // A message limit needs a window above 0.
            window: match max_messages {
                0 => info.seconds("update-window-ms")?,
                _ => info.positive_seconds("update-window-ms")?,
            },
            max_delivery_delay: info.seconds("transit-max-ms")?,
        },
        rules: Rules {
            list_deadline: match list_on_request {
                true => rules.positive_seconds("ask-within-ms")?,
                false => rules.seconds("ask-within-ms")?,
            },
            cold_share: rules.required("start-capacity")?.number(0.0, 1.0)?,
            warm_within: rules.seconds("warm-within-ms")?,
            fall_multiple: rules.positive("fall-multiple")?,
            gone_does_not_bind: rules.flag("only-draining-binds")?,
        },
    })
}
