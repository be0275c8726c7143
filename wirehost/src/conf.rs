//! The settings an instance starts with, from the JSON text of its first event.

use crate::{malformed, Malformed};
use oatlever::round::{Channel, Levels, QueryClass, Rules, Site};
use serde_json::Value;

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

pub struct Start {
    pub site: Site,
    pub classes: Vec<QueryClass>,
    pub channel: Channel,
    pub rules: Rules,
}

pub fn read(text: &[u8]) -> Result<Start, Malformed> {
    let value: Value = match serde_json::from_slice(text) {
        Ok(value) => value,
        Err(e) => return malformed(format!("settings are not JSON: {e}")),
    };
    let root = Node { value: &value, path: String::new() };
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
