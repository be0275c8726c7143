//! `oatlever plan`: makes plans offline, also under changed prices, capacity or demand.

use oatlever_cost::{plan, Model, Plan, Source};
use serde_json::json;
use std::fmt::Write;
use std::path::Path;

/// Time limit of the solver, s.
const PATIENCE: f64 = 60.0;

/// Changes to the model, and the output format.
#[derive(clap::Args)]
pub struct Options {
    /// Remove all servers of a zone.
    #[arg(long, value_name = "ZONE")]
    lost: Vec<String>,
    /// Set the price of a zone's servers.
    #[arg(long, value_name = "ZONE=PRICE")]
    price: Vec<String>,
    /// Multiply all demand.
    #[arg(long, value_name = "TIMES")]
    demand: Option<f64>,
    /// Print the plan as JSON.
    #[arg(long)]
    json: bool,
}

impl Options {
    fn zone(model: &Model, name: &str) -> Result<usize, String> {
        let unknown = || format!("{name:?} is not one of the zones {}", model.zones.join(", "));
        model.zones.iter().position(|zone| zone == name).ok_or_else(unknown)
    }

    fn apply(&self, model: &mut Model) -> Result<(), String> {
        for name in &self.lost {
            let zone = Options::zone(model, name).map_err(|e| format!("--lost: {e}"))?;
            model.pools.iter_mut().filter(|pool| pool.zone == zone).for_each(|pool| pool.capacity = 0.0);
        }
        for text in &self.price {
            let with_argument = |e: &dyn std::fmt::Display| format!("--price {text}: {e}");
            let (name, price) = text.split_once('=').ok_or_else(|| with_argument(&"expected ZONE=PRICE"))?;
            let zone = Options::zone(model, name).map_err(|e| with_argument(&e))?;
            let price: f64 = price.parse().map_err(|e| with_argument(&e))?;
            model.pools.iter_mut().filter(|pool| pool.zone == zone).for_each(|pool| pool.price = price);
        }
        let times = self.demand.unwrap_or(1.0);
        model.demand.iter_mut().flatten().for_each(|demand| *demand *= times);
        Ok(())
    }
}

/// Reads a model, makes a plan and prints it. True if all demand fits. Fails if the model can't be read.
pub fn run(path: Option<&Path>, schema: bool, options: &Options) -> Result<bool, String> {
    let Some(path) = path.filter(|_| !schema) else {
        println!("{:#}", schemars::schema_for!(Model).to_value());
        return Ok(true);
    };
    let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| with_path(&e))?;
    let mut model: Model = serde_json::from_str(&text).map_err(|e| with_path(&e))?;
    model.check().map_err(|e| with_path(&e))?;
    let before = plan(&model, None, PATIENCE).map_err(|e| with_path(&e))?;
    options.apply(&mut model)?;
    let after = plan(&model, None, PATIENCE).map_err(|e| with_path(&e))?;
    if options.json {
        println!("{:#}", json!({"plan": after, "gap": after.gap(), "cost_as_it_is": before.cost}));
    } else {
        print!("{}", table(&model, &before, &after).map_err(|e| e.to_string())?);
    }
    Ok(after.faults.is_empty())
}

/// The plan as text.
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
        "servers", "load", "usable", "full", "one more unit saves"
    )?;
    for (index, pool) in model.pools.iter().enumerate() {
        let (load, usable) = (after.load(index), model.usable(index));
        let full = 100.0 * load / usable.max(f64::MIN_POSITIVE);
        let name = format!("{} at {}", model.zones[pool.zone], pool.price);
        writeln!(out, "{name:16} {load:10.2} {usable:10.2} {full:5.0}% {:22.4}", after.pool_prices[index])?;
    }
    writeln!(
        out,
        "\ncost {:.4} per second, at most {:.4}% above the optimum; {:.4} with the unchanged model",
        after.cost,
        100.0 * after.gap(),
        before.cost
    )?;
    for (name, missing) in lost_zones(model) {
        match missing {
            missing if missing > 0.0 => {
                writeln!(out, "without {name}: {missing:.2} units of work per second do not fit")?
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
            "does not fit by {:.2} units of work per second: {}; refused: {}",
            fault.missing,
            sources.join(", "),
            refused.collect::<Vec<_>>().join(", ")
        )?;
    }
    Ok(out)
}

/// For each zone, the work per second that would not fit without it.
fn lost_zones(model: &Model) -> Vec<(&String, f64)> {
    let without = |(zone, name)| {
        let mut reduced = model.clone();
        reduced.pools.iter_mut().filter(|pool| pool.zone == zone).for_each(|pool| pool.capacity = 0.0);
        let missing = plan(&reduced, None, PATIENCE)
            .map_or(f64::INFINITY, |p| p.faults.iter().map(|f| f.missing).sum());
        (name, missing)
    };
    model.zones.iter().enumerate().map(without).collect()
}
