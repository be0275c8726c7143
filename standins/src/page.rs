//! A page of what a day cost: flows and cost over time.

use crate::cost::Cost;
use askama::Template;

#[derive(Template)]
#[template(path = "costs.html")]
struct Page {
    paid: String,
    best: String,
    over: String,
    fullest: String,
    most: String,
    paid_line: String,
    best_line: String,
    zones: Vec<String>,
    ways: Vec<String>,
    rows: Vec<Row>,
}

struct Row {
    at: String,
    paid: String,
    best: String,
    service: String,
    full: Vec<Full>,
    flows: Vec<String>,
}

struct Full {
    text: String,
    over: bool,
}

/// The picture's size, as the template has it.
const WIDE: f64 = 600.0;
const HIGH: f64 = 160.0;

fn line(values: impl ExactSizeIterator<Item = f64>, most: f64) -> String {
    let step = WIDE / (values.len().max(2) - 1) as f64;
    let at = |(n, value): (usize, f64)| format!("{:.1},{:.1}", n as f64 * step, HIGH * (1.0 - value / most));
    values.enumerate().map(at).collect::<Vec<_>>().join(" ")
}

/// The page as HTML. Errors: the template's word.
pub fn of(cost: &Cost) -> Result<String, String> {
    let most = cost.rows.iter().map(|row| row.paid.max(row.best)).fold(1e-9, f64::max);
    let zones = cost.rows.first().map_or(0, |row| row.full.len());
    let row = |row: &crate::cost::Row| Row {
        at: format!("{:.0}", row.at),
        paid: format!("{:.1}", row.paid),
        best: format!("{:.1}", row.best),
        service: format!("{:.3}", row.service),
        full: row.full.iter().map(|f| Full { text: format!("{f:.2}"), over: *f > 1.0 }).collect(),
        flows: row.flows.iter().flatten().map(|flow| format!("{flow:.1}")).collect(),
    };
    let page = Page {
        paid: format!("{:.1}", cost.paid),
        best: format!("{:.1}", cost.best),
        over: format!("{:.2}", cost.over()),
        fullest: format!("{:.2}", cost.fullest),
        most: format!("{most:.1}"),
        paid_line: line(cost.rows.iter().map(|row| row.paid), most),
        best_line: line(cost.rows.iter().map(|row| row.best), most),
        zones: (0..zones).map(|zone| format!("zone-{zone}")).collect(),
        ways: (0..zones).flat_map(|from| (0..zones).map(move |to| format!("{from} to {to}"))).collect(),
        rows: cost.rows.iter().map(row).collect(),
    };
    page.render().map_err(|e| e.to_string())
}
