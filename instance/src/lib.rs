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

/// A value of the settings together with the path that led to it, for messages.
struct Node<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Node<'a> {
    fn maybe(&self, key: &str) -> Option<Node<'a>> {
        self.value.get(key).map(|value| Node {
            value,
            path: format!("{}{}{key}", self.path, if self.path.is_empty() { "" } else { "." }),
        })
    }
    fn get(&self, key: &str) -> Result<Node<'a>, Malformed> {
        match self.maybe(key) {
            Some(node) => Ok(node),
            None => malformed(format!("settings: `{key}` is missing in `{}`", self.path)),
        }
    }
    fn wrong<T>(&self, wanted: &str) -> Result<T, Malformed> {
        malformed(format!("settings: `{}` is not {wanted}", self.path))
    }
    fn number(&self) -> Result<f64, Malformed> {
        match self.value.as_f64() {
            Some(x) if x.is_finite() && x >= 0.0 => Ok(x),
            _ => self.wrong("a number of 0 or more"),
        }
    }
    fn num(&self, key: &str) -> Result<f64, Malformed> {
        self.get(key)?.number()
    }
    fn seconds(&self, key: &str) -> Result<f64, Malformed> {
        Ok(self.num(key)? / 1000.0)
    }
    fn flag(&self, key: &str) -> Result<bool, Malformed> {
        match self.maybe(key) {
            None => Ok(false),
            Some(node) => match node.value.as_bool() {
                Some(on) => Ok(on),
                None => node.wrong("true or false"),
            },
        }
    }
    fn word(&self, key: &str) -> Result<&'a str, Malformed> {
        let node = self.get(key)?;
        match node.value.as_str() {
            Some(text) => Ok(text),
            None => node.wrong("a text"),
        }
    }
    fn items(&self, key: &str) -> Result<Vec<Node<'a>>, Malformed> {
        let node = self.get(key)?;
        let Some(list) = node.value.as_array() else {
            return node.wrong("a list");
        };
        Ok(list
            .iter()
            .enumerate()
            .map(|(k, value)| Node { value, path: format!("{}[{k}]", node.path) })
            .collect())
    }
}

/// What the decisions are told at their start.
#[derive(Clone, Debug)]
pub struct Start {
    pub site: Site,
    pub classes: Vec<QueryClass>,
    pub channel: Channel,
    pub rules: Rules,
}

/// What a pilot on the platform is told besides: the names that its messages use, and its pace.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    /// In the order of their numbers.
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    /// Least span between two rounds.
    pub tick: f64,
    /// How long a connection to a server may take to come up.
    pub connect_within: f64,
}

/// Reads the text of the settings. Errors: it is not JSON, or something in it is missing or odd.
pub fn read(text: &[u8]) -> Result<Start, Malformed> {
    match serde_json::from_slice(text) {
        Ok(value) => start(&value),
        Err(e) => malformed(format!("settings are not JSON: {e}")),
    }
}

/// The names in the settings. Errors: one is missing or is no text.
pub fn names(settings: &Value) -> Result<Names, Malformed> {
    let root = Node { value: settings, path: String::new() };
    let text = |node: &Node| match node.value.as_str() {
        Some(text) => Ok(text.to_string()),
        None => node.wrong("a text"),
    };
    let class = |lane: &Node| text(&lane.get("name")?);
    Ok(Names {
        zones: root.items("zones")?.iter().map(text).collect::<Result<_, _>>()?,
        classes: root.items("lanes")?.iter().map(class).collect::<Result<_, _>>()?,
        tick: root.seconds("tick-ms")?,
        connect_within: root.get("limits")?.seconds("connect-timeout-ms")?,
    })
}

/// What the decisions are told. Errors: something is missing, or is not what it should be.
pub fn start(settings: &Value) -> Result<Start, Malformed> {
    let root = Node { value: settings, path: String::new() };
    let info = root.get("family-info")?;
    let limits = root.get("limits")?;
    let rules = root.get("rules")?;

    let mut classes = Vec::new();
    for lane in root.items("lanes")? {
        classes.push(QueryClass { benefit: lane.num("worth")?, due_time: lane.seconds("slo-ms")? });
    }
    if classes.is_empty() || classes.len() > 16 {
        return root.get("lanes")?.wrong("a list of 1 to 16 classes");
    }
    let zones = root.items("zones")?.len();
    if zones == 0 {
        return root.get("zones")?.wrong("a list of at least one zone");
    }
    Ok(Start {
        site: Site {
            zones,
            pilots: (root.num("siblings")? as usize).max(1),
            proxies: info.num("data-plane-size")?,
            slices: info.num("partitions-n")? as usize,
            one_owner: info.flag("one-owner")?,
            list_on_request: root.word("registry-mode")? == "on_request",
            probes: limits.flag("probes")?,
            levels: match info.word("level-kind")? {
                "share" => Levels::Share,
                "rate" => Levels::Rate,
                _ => Levels::Ignored,
            },
            picks_of_two: info.word("choice")? == "two",
            report_period: info.seconds("period-ms")?,
            write_life: info.seconds("write-life-ms")?,
        },
        classes,
        channel: Channel {
            lines_per_second: info.num("egress-per-s")?,
            most_waiting: info.num("queue-cap")?,
            header_lines: info.num("head")?,
            most_messages: info.num("reloads-max")? as usize,
            window: info.seconds("update-window-ms")?,
            longest_way: info.seconds("transit-max-ms")?,
        },
        rules: Rules {
            ask_within: rules.seconds("ask-within-ms")?,
            cold_share: rules.num("start-capacity")?,
            warm_within: rules.seconds("warm-within-ms")?,
            fall_multiple: rules.num("fall-multiple")?,
            gone_does_not_bind: rules.flag("only-draining-binds")?,
        },
    })
}
