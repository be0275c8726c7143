//! The planning model: demand by zone and class, server capacity, and the costs of links and servers.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A class of queries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Work per query, in the same unit as capacities, such as core seconds.
    #[schemars(range(min = 0.000001, max = 1e6))]
    pub work: f64,
    /// Benefit of an answer.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub benefit: f64,
    /// Maximum one-way latency to a server, s; unlimited if left out.
    #[serde(default)]
    pub reach: Option<f64>,
}

/// The directed link from one zone to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Price per query that crosses the link.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub price: f64,
    /// One-way latency, s.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub time: f64,
    /// No query may cross the link.
    #[serde(default)]
    pub closed: bool,
}

/// Servers of one zone with the same price, which are interchangeable to a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub zone: usize,
    /// Price per unit of work.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub price: f64,
    /// Total capacity of its servers in units of work per second.
    #[schemars(range(min = 0.0, max = 1e12))]
    pub capacity: f64,
    /// Indices of the classes that its servers don't serve.
    #[serde(default)]
    pub refuses: Vec<usize>,
}

/// The input of a plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Names of the zones; other fields refer to a zone by its index.
    pub zones: Vec<String>,
    pub classes: Vec<Class>,
    pub pools: Vec<Pool>,
    /// Links by source zone, then destination zone. All links are free if left out.
    #[serde(default)]
    pub links: Vec<Vec<Link>>,
    /// Queries per second, by zone and class.
    pub demand: Vec<Vec<f64>>,
    /// Fraction of each pool's capacity that a plan leaves free.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 0.99))]
    pub headroom: f64,
}

/// The queries of one class from one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Source {
    pub zone: usize,
    pub class: usize,
}

impl Model {
    /// Fails with the first problem and the JSON pointer to it.
    pub fn validate(&self) -> Result<(), String> {
        let (zones, classes) = (self.zones.len(), self.classes.len());
        let amount = |pointer: String, value: f64| {
            let valid = value.is_finite() && value >= 0.0;
            valid.then_some(()).ok_or(format!("{pointer}: {value} is not a finite number of 0 or more"))
        };
        if zones == 0 || classes == 0 {
            return Err("/zones, /classes: at least one of each is required".to_string());
        }
        for (n, class) in self.classes.iter().enumerate() {
            if !(class.work > 0.0 && class.work.is_finite()) {
                return Err(format!("/classes/{n}/work: {} is not a finite number above 0", class.work));
            }
            amount(format!("/classes/{n}/benefit"), class.benefit)?;
            amount(format!("/classes/{n}/reach"), class.reach.unwrap_or(0.0))?;
        }
        for (n, pool) in self.pools.iter().enumerate() {
            if pool.zone >= zones {
                return Err(format!(
                    "/pools/{n}/zone: index {} is out of range, there are {zones} zones",
                    pool.zone
                ));
            }
            if let Some(class) = pool.refuses.iter().find(|class| **class >= classes) {
                return Err(format!(
                    "/pools/{n}/refuses: index {class} is out of range, there are {classes} classes"
                ));
            }
            amount(format!("/pools/{n}/price"), pool.price)?;
            amount(format!("/pools/{n}/capacity"), pool.capacity)?;
        }
        if !self.links.is_empty()
            && (self.links.len() != zones || self.links.iter().any(|l| l.len() != zones))
        {
            return Err(format!("/links: expected {zones} rows of {zones} links, or none"));
        }
        for (from, row) in self.links.iter().enumerate() {
            for (to, link) in row.iter().enumerate() {
                amount(format!("/links/{from}/{to}/price"), link.price)?;
                amount(format!("/links/{from}/{to}/time"), link.time)?;
            }
        }
        if self.demand.len() != zones || self.demand.iter().any(|row| row.len() != classes) {
            return Err(format!("/demand: expected {zones} rows of {classes} classes"));
        }
        for (zone, row) in self.demand.iter().enumerate() {
            for (class, demand) in row.iter().enumerate() {
                amount(format!("/demand/{zone}/{class}"), *demand)?;
            }
        }
        let headroom = self.headroom;
        ((0.0..1.0).contains(&headroom))
            .then_some(())
            .ok_or(format!("/headroom: {headroom} is not in the range 0 to 1, 1 excluded"))
    }

    /// The link between two zones; free and open if the model has no links.
    pub fn link(&self, from: usize, to: usize) -> Link {
        self.links.get(from).and_then(|row| row.get(to)).copied().unwrap_or_default()
    }

    /// Cost of a unit of a source's work in a pool, including the link. `None` if the pool may not serve it.
    pub fn unit_cost(&self, source: Source, pool: usize) -> Option<f64> {
        let (destination, class) = (&self.pools[pool], &self.classes[source.class]);
        let link = self.link(source.zone, destination.zone);
        let in_reach = class.reach.is_none_or(|reach| link.time <= reach);
        let allowed = in_reach && !link.closed && !destination.refuses.contains(&source.class);
        allowed.then(|| destination.price + link.price / class.work)
    }

    /// A pool's capacity without the headroom, in units of work per second.
    pub fn usable_capacity(&self, pool: usize) -> f64 {
        self.pools[pool].capacity * (1.0 - self.headroom)
    }

    /// Sources with any demand, and their work per second.
    pub fn sources(&self) -> Vec<(Source, f64)> {
        let mut sources = Vec::new();
        for (zone, row) in self.demand.iter().enumerate() {
            for (class, rate) in row.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
                sources.push((Source { zone, class }, rate * self.classes[class].work));
            }
        }
        sources
    }

    /// Benefit per unit of a class's work.
    pub fn benefit_per_work(&self, class: usize) -> f64 {
        self.classes[class].benefit / self.classes[class].work
    }
}
