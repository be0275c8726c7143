//! The settings an instance starts with: the JSON object of the simulator's first event, which a pilot on
//! the platform finds in its configuration. Times there are milliseconds; what is given here are seconds.

use oatlever::round::{Channel, Levels, QueryClass, Rules, Site};
use serde_json::Value;
use std::fmt;

/// What is wrong with the input, the settings or what follows them, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}

/// Figures without a bound of their own, and times in ms, are no larger: more is a mistake, and a span of years can't
/// be waited for.
const MOST: f64 = 1e9;
/// ms; a pilot that looked up more rarely would serve nobody.
const LONGEST_TICK: f64 = 60_000.0;
/// Proxies, slices and pilots number below this.
const NUMBERS: f64 = 65536.0;
/// Bytes; no name is longer.
const LONGEST_NAME: usize = 256;
/// Classes are told apart by the bits of a sum.
const MOST_CLASSES: usize = 16;
/// Characters of a wrong value that are told.
const TOLD: usize = 80;

/// A value of settings together with the path that led to it, for messages.
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

    /// A field, where it is there and not null.
    pub fn optional(&self, key: &str) -> Option<Node<'a>> {
        let dot = if self.path.is_empty() { "" } else { "." };
        let found = self.value.get(key).filter(|value| !value.is_null());
        found.map(|value| Node { value, path: format!("{}{dot}{key}", self.path) })
    }

    pub fn required(&self, key: &str) -> Result<Node<'a>, Malformed> {
        match self.optional(key) {
            Some(node) => Ok(node),
            None if self.path.is_empty() => malformed(format!("`{key}` is missing")),
            None => malformed(format!("`{key}` is missing in `{}`", self.path)),
        }
    }

    pub fn invalid<T>(&self, wanted: &str) -> Result<T, Malformed> {
        let text = self.value.to_string();
        let told: String = text.chars().take(TOLD).collect();
        let more = if told.len() < text.len() { "..." } else { "" };
        malformed(format!("`{}` is {told}{more}, not {wanted}", self.path))
    }

    pub fn number(&self, least: f64, most: f64) -> Result<f64, Malformed> {
        match self.value.as_f64() {
            Some(x) if x >= least && x <= most => Ok(x),
            _ if least == f64::MIN_POSITIVE => self.invalid(&format!("a number above 0, to {most}")),
            _ => self.invalid(&format!("a number from {least} to {most}")),
        }
    }

    pub fn integer(&self, least: f64, most: f64) -> Result<f64, Malformed> {
        match self.number(least, most) {
            Ok(x) if x.fract() == 0.0 => Ok(x),
            _ => self.invalid(&format!("a whole number from {least} to {most}")),
        }
    }

    fn num(&self, key: &str) -> Result<f64, Malformed> {
        self.required(key)?.number(0.0, MOST)
    }

    fn above_0(&self, key: &str) -> Result<f64, Malformed> {
        self.required(key)?.number(f64::MIN_POSITIVE, MOST)
    }

    fn seconds(&self, key: &str) -> Result<f64, Malformed> {
        Ok(self.num(key)? / 1000.0)
    }

    fn seconds_above_0(&self, key: &str) -> Result<f64, Malformed> {
        Ok(self.above_0(key)? / 1000.0)
    }

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
            None => self.invalid("a text"),
        }
    }

    /// What one of some words means.
    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, Malformed> {
        let node = self.required(key)?;
        match words.iter().find(|(word, _)| node.value.as_str() == Some(word)) {
            Some((_, meant)) => Ok(*meant),
            None => {
                let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
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

/// Texts that name things, each another.
fn distinct<'a>(nodes: impl Iterator<Item = Result<Node<'a>, Malformed>>) -> Result<Vec<String>, Malformed> {
    let mut names: Vec<String> = Vec::new();
    for node in nodes {
        let node = node?;
        let name = node.string()?;
        if name.is_empty() || name.len() > LONGEST_NAME {
            return node.invalid(&format!("a name of 1 to {LONGEST_NAME} bytes"));
        }
        if names.iter().any(|other| other == name) {
            return node.invalid("another name than those before it");
        }
        names.push(name.to_string());
    }
    Ok(names)
}

/// What the decisions are told at their start.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    pub site: Site,
    pub classes: Vec<QueryClass>,
    pub channel: Channel,
    pub rules: Rules,
}

/// What a pilot on the platform is told besides: the names that its messages use, and its pace.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// In the order of their numbers.
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    /// Least span between two rounds.
    pub tick: f64,
    /// How long a connection to a server may take to come up.
    pub connect_timeout: f64,
}

/// Reads the text of the settings. Errors: it is not JSON, or something in it is missing or odd.
pub fn parse(text: &[u8]) -> Result<InstanceSettings, Malformed> {
    match serde_json::from_slice(text) {
        Ok(value) => instance_settings(&Node::root(&value))
            .map_err(|Malformed(what)| Malformed(format!("settings: {what}"))),
        Err(e) => malformed(format!("settings are not JSON: {e}")),
    }
}

/// The names in the settings. Errors: one is missing or is no name of its own.
pub fn platform_settings(settings: &Node) -> Result<PlatformSettings, Malformed> {
    Ok(PlatformSettings {
        zones: distinct(settings.items("zones")?.into_iter().map(Ok))?,
        classes: distinct(settings.items("lanes")?.iter().map(|lane| lane.required("name")))?,
        tick: settings.required("tick-ms")?.number(0.0, LONGEST_TICK)? / 1000.0,
        connect_timeout: settings.required("limits")?.seconds_above_0("connect-timeout-ms")?,
    })
}

/// What the decisions are told. Errors: something is missing, or is not what it should be.
pub fn instance_settings(settings: &Node) -> Result<InstanceSettings, Malformed> {
    let info = settings.required("family-info")?;
    let limits = settings.required("limits")?;
    let rules = settings.required("rules")?;

    let mut classes = Vec::new();
    for lane in settings.items("lanes")? {
        classes.push(QueryClass { benefit: lane.num("worth")?, due_time: lane.seconds_above_0("slo-ms")? });
    }
    if classes.is_empty() || classes.len() > MOST_CLASSES {
        return settings.required("lanes")?.invalid("a list of 1 to 16 classes");
    }
    let zones = settings.items("zones")?.len();
    if zones == 0 || zones as f64 >= NUMBERS {
        return settings.required("zones")?.invalid("a list of one zone or more");
    }
    let most_messages = info.required("reloads-max")?.integer(0.0, MOST)? as usize;
    let list_on_request = settings.word("registry-mode", &[("pushed", false), ("on_request", true)])?;
    Ok(InstanceSettings {
        site: Site {
            zones,
            pilots: (settings.required("siblings")?.integer(0.0, NUMBERS)? as usize).max(1),
            proxies: info.required("data-plane-size")?.integer(1.0, NUMBERS)?,
            slices: info.required("partitions-n")?.integer(0.0, NUMBERS)? as usize,
            one_owner: info.flag("one-owner")?,
            list_on_request,
            probes: limits.flag("probes")?,
            levels: info.word(
                "level-kind",
                &[("share", Levels::Share), ("rate", Levels::Rate), ("off", Levels::Ignored)],
            )?,
            picks_of_two: info.word("choice", &[("weighted", false), ("round", false), ("two", true)])?,
            report_period: info.seconds_above_0("period-ms")?,
            write_life: info.seconds("write-life-ms")?,
        },
        classes,
        channel: Channel {
            lines_per_second: info.above_0("egress-per-s")?,
            most_waiting: info.above_0("queue-cap")?,
            header_lines: info.num("head")?,
            most_messages,
            // A number of messages within no time is no limit at all.
            window: match most_messages {
                0 => info.seconds("update-window-ms")?,
                _ => info.seconds_above_0("update-window-ms")?,
            },
            longest_way: info.seconds("transit-max-ms")?,
        },
        rules: Rules {
            ask_within: match list_on_request {
                true => rules.seconds_above_0("ask-within-ms")?,
                false => rules.seconds("ask-within-ms")?,
            },
            cold_share: rules.required("start-capacity")?.number(0.0, 1.0)?,
            warm_within: rules.seconds("warm-within-ms")?,
            fall_multiple: rules.above_0("fall-multiple")?,
            gone_does_not_bind: rules.flag("only-draining-binds")?,
        },
    })
}
