//! `oatlever plan`: plans offline, and what would be if something were otherwise.

use oatlever_cost::{plan, Model, Plan, Source};
use serde_json::json;
use std::fmt::Write;
use std::path::Path;

/// s
const PATIENCE: f64 = 60.0;

/// What is to be otherwise than the model says, and how the answer is written.
#[derive(clap::Args)]
pub struct What {
    /// A zone has no servers left.
    #[arg(long, value_name = "ZONE")]
    lost: Vec<String>,
    /// The price of a zone's servers is another.
    #[arg(long, value_name = "ZONE=PRICE")]
    price: Vec<String>,
    /// Everybody asks for so many times as much.
    #[arg(long, value_name = "TIMES")]
    demand: Option<f64>,
    #[arg(long)]
    json: bool,
}

impl What {
    fn zone(model: &Model, name: &str) -> Result<usize, String> {
        let known = || format!("{name:?} is none of the zones: {}", model.zones.join(", "));
        model.zones.iter().position(|zone| zone == name).ok_or_else(known)
    }

    fn apply(&self, model: &mut Model) -> Result<(), String> {
        for name in &self.lost {
            let zone = What::zone(model, name).map_err(|e| format!("--lost: {e}"))?;
            model.pools.iter_mut().filter(|pool| pool.zone == zone).for_each(|pool| pool.capacity = 0.0);
        }
        for text in &self.price {
            let told = |e: &dyn std::fmt::Display| format!("--price {text}: {e}");
            let (name, price) = text.split_once('=').ok_or_else(|| told(&"expected ZONE=PRICE"))?;
            let zone = What::zone(model, name).map_err(|e| told(&e))?;
            let price: f64 = price.parse().map_err(|e| told(&e))?;
            model.pools.iter_mut().filter(|pool| pool.zone == zone).for_each(|pool| pool.price = price);
        }
        let times = self.demand.unwrap_or(1.0);
        model.demand.iter_mut().flatten().for_each(|demand| *demand *= times);
        Ok(())
    }
}

/// Reads a model, plans and prints. True where everything fits. Errors: what can't be read, and where.
pub fn run(path: Option<&Path>, schema: bool, what: &What) -> Result<bool, String> {
    let Some(path) = path.filter(|_| !schema) else {
        println!("{:#}", schemars::schema_for!(Model).to_value());
        return Ok(true);
    };
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| at(&e))?;
    let mut model: Model = serde_json::from_str(&text).map_err(|e| at(&e))?;
    model.check().map_err(|e| at(&e))?;
    let before = plan(&model, None, PATIENCE).map_err(|e| at(&e))?;
    what.apply(&mut model)?;
    let after = plan(&model, None, PATIENCE).map_err(|e| at(&e))?;
    if what.json {
        println!("{:#}", json!({"plan": after, "gap": after.gap(), "cost_as_it_is": before.cost}));
    } else {
        print!("{}", table(&model, &before, &after).map_err(|e| e.to_string())?);
    }
    Ok(after.faults.is_empty())
}

/// For people.
fn table(model: &Model, before: &Plan, after: &Plan) -> Result<String, std::fmt::Error> {
    let mut out = String::new();
    let source = |s: &Source| format!("{}/{}", model.zones[s.zone], model.classes[s.class].name);
    writeln!(out, "{:24} {:16} {:>12} {:>10}", "from", "to", "queries/s", "cost/s")?;
    for flow in &after.flows {
        let queries = flow.work / model.classes[flow.source.class].work;
        let cost = model.price(flow.source, flow.pool).unwrap_or(0.0) * flow.work;
        let to = &model.zones[model.pools[flow.pool].zone];
        writeln!(out, "{:24} {to:16} {queries:12.2} {cost:10.2}", source(&flow.source))?;
    }
    writeln!(
        out,
        "\n{:16} {:>10} {:>10} {:>6} {:>22}",
        "servers", "load", "may have", "full", "one more unit saves"
    )?;
    for (place, pool) in model.pools.iter().enumerate() {
        let (load, most) = (after.load(place), model.usable(place));
        let full = 100.0 * load / most.max(f64::MIN_POSITIVE);
        let name = format!("{} at {}", model.zones[pool.zone], pool.price);
        writeln!(out, "{name:16} {load:10.2} {most:10.2} {full:5.0}% {:22.4}", after.pool_prices[place])?;
    }
    writeln!(
        out,
        "\ncost {:.4} a second, at most {:.4}% above the best possible; as it is {:.4}",
        after.cost,
        100.0 * after.gap(),
        before.cost
    )?;
    for (name, missing) in lost_zones(model) {
        match missing {
            missing if missing > 0.0 => {
                writeln!(out, "without {name}: {missing:.2} units of work a second do not fit")?
            }
            _ => writeln!(out, "without {name}: everything fits")?,
        }
    }
    for fault in &after.faults {
        let sources: Vec<String> = fault.sources.iter().map(source).collect();
        let refused =
            fault.refused.iter().map(|(s, queries)| format!("{} {queries:.2} queries/s", source(s)));
        writeln!(
            out,
            "does not fit by {:.2} units of work a second: {}; refused: {}",
            fault.missing,
            sources.join(", "),
            refused.collect::<Vec<_>>().join(", ")
        )?;
    }
    Ok(out)
}

/// What would not fit if a zone were lost, by zone.
fn lost_zones(model: &Model) -> Vec<(&String, f64)> {
    let without = |(zone, name)| {
        let mut less = model.clone();
        less.pools.iter_mut().filter(|pool| pool.zone == zone).for_each(|pool| pool.capacity = 0.0);
        let missing =
            plan(&less, None, PATIENCE).map_or(f64::INFINITY, |p| p.faults.iter().map(|f| f.missing).sum());
        (name, missing)
    };
    model.zones.iter().enumerate().map(without).collect()
}
