//! What a plan is made for: who asks for how much, who can carry how much, and what each way costs.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A class of queries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Work of a query, in any unit that capacities share, as seconds of a core.
    #[schemars(range(min = 0.000001, max = 1e6))]
    pub work: f64,
    /// What an answer is worth.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub benefit: f64,
    /// s one way; it may go no farther. NoPlan one, anywhere.
    #[serde(default)]
    pub reach: Option<f64>,
}

/// From one zone to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// For each query that crosses it.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub price: f64,
    /// s one way.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub time: f64,
    /// Nothing may cross it.
    #[serde(default)]
    pub closed: bool,
}

/// Servers of one zone and price: they are all alike to a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub zone: usize,
    /// For a unit of work.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub price: f64,
    /// Units of work a second that its servers can carry together.
    #[schemars(range(min = 0.0, max = 1e12))]
    pub capacity: f64,
    /// Classes that its servers do not take, by place.
    #[serde(default)]
    pub refuses: Vec<usize>,
}

/// Everything that a plan goes by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Names; a zone's number is its place.
    pub zones: Vec<String>,
    pub classes: Vec<Class>,
    pub pools: Vec<Pool>,
    /// From a zone (first) to a zone; zones cost nothing to themselves where nothing is said.
    #[serde(default)]
    pub links: Vec<Vec<Link>>,
    /// Queries a second, by zone and class.
    pub demand: Vec<Vec<f64>>,
    /// Part of each capacity that a plan leaves free.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 0.99))]
    pub headroom: f64,
}

/// Queries of a class from a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Source {
    pub zone: usize,
    pub class: usize,
}

impl Model {
    /// Errors: what is wrong, and where, as a JSON pointer says it.
    pub fn validate(&self) -> Result<(), String> {
        let (zones, classes) = (self.zones.len(), self.classes.len());
        let amount = |at: String, found: f64| {
            let fits = found.is_finite() && found >= 0.0;
            fits.then_some(()).ok_or(format!("{at}: {found} is no amount of 0 or more"))
        };
        if zones == 0 || classes == 0 {
            return Err("/zones, /classes: one or more of each".to_string());
        }
        for (n, class) in self.classes.iter().enumerate() {
            if !(class.work > 0.0 && class.work.is_finite()) {
                return Err(format!("/classes/{n}/work: {} is no work above 0", class.work));
            }
            amount(format!("/classes/{n}/benefit"), class.benefit)?;
            amount(format!("/classes/{n}/reach"), class.reach.unwrap_or(0.0))?;
        }
        for (n, pool) in self.pools.iter().enumerate() {
            if pool.zone >= zones {
                return Err(format!("/pools/{n}/zone: {} of {zones} zones", pool.zone));
            }
            if let Some(class) = pool.refuses.iter().find(|class| **class >= classes) {
                return Err(format!("/pools/{n}/refuses: {class} of {classes} classes"));
            }
            amount(format!("/pools/{n}/price"), pool.price)?;
            amount(format!("/pools/{n}/capacity"), pool.capacity)?;
        }
        if !self.links.is_empty()
            && (self.links.len() != zones || self.links.iter().any(|l| l.len() != zones))
        {
            return Err(format!("/links: {zones} rows of {zones}, or none"));
        }
        for (from, row) in self.links.iter().enumerate() {
            for (to, link) in row.iter().enumerate() {
                amount(format!("/links/{from}/{to}/price"), link.price)?;
                amount(format!("/links/{from}/{to}/time"), link.time)?;
            }
        }
        if self.demand.len() != zones || self.demand.iter().any(|row| row.len() != classes) {
            return Err(format!("/demand: {zones} rows of {classes} classes"));
        }
        for (zone, row) in self.demand.iter().enumerate() {
            for (class, demand) in row.iter().enumerate() {
                amount(format!("/demand/{zone}/{class}"), *demand)?;
            }
        }
        let headroom = self.headroom;
        ((0.0..1.0).contains(&headroom)).then_some(()).ok_or(format!("/headroom: {headroom} is no part"))
    }

    pub fn link(&self, from: usize, to: usize) -> Link {
        self.links.get(from).and_then(|row| row.get(to)).copied().unwrap_or_default()
    }

    /// What a unit of a source's work costs in a pool; none where it may not go there.
    pub fn unit_cost(&self, source: Source, pool: usize) -> Option<f64> {
        let (to, class) = (&self.pools[pool], &self.classes[source.class]);
        let link = self.link(source.zone, to.zone);
        let near = class.reach.is_none_or(|reach| link.time <= reach);
        let open = near && !link.closed && !to.refuses.contains(&source.class);
        open.then(|| to.price + link.price / class.work)
    }

    /// Units of work a second that a plan may ask of a pool.
    pub fn usable_capacity(&self, pool: usize) -> f64 {
        self.pools[pool].capacity * (1.0 - self.headroom)
    }

    /// Sources that ask for anything, with their work a second.
    pub fn sources(&self) -> Vec<(Source, f64)> {
        let mut sources = Vec::new();
        for (zone, row) in self.demand.iter().enumerate() {
            for (class, queries) in row.iter().enumerate().filter(|(_, queries)| **queries > 0.0) {
                sources.push((Source { zone, class }, queries * self.classes[class].work));
            }
        }
        sources
    }

    /// Benefit of a unit of a class's work.
    pub fn benefit_per_work(&self, class: usize) -> f64 {
        self.classes[class].benefit / self.classes[class].work
    }
}
