//! HTML page with the cost and the flows of a day over time.

use crate::cost::Cost;
use askama::Template;

#[derive(Template)]
#[template(path = "costs.html")]
struct Page {
    paid: String,
    best: String,
    excess: String,
    max_utilization: String,
    max: String,
    paid_line: String,
    best_line: String,
    zones: Vec<String>,
    flows: Vec<String>,
    rows: Vec<Row>,
}

struct Row {
    at: String,
    paid: String,
    best: String,
    service: String,
    utilization: Vec<Utilization>,
    flows: Vec<String>,
}

struct Utilization {
    text: String,
    overloaded: bool,
}

/// Size of the chart's view box in the template.
const CHART_WIDTH: f64 = 600.0;
const CHART_HEIGHT: f64 = 160.0;

/// Returns the points of a polyline whose vertical axis ends at `max`.
fn polyline(values: impl ExactSizeIterator<Item = f64>, max: f64) -> String {
    let step = CHART_WIDTH / (values.len().max(2) - 1) as f64;
    let point = |(n, value): (usize, f64)| {
        format!("{:.1},{:.1}", n as f64 * step, CHART_HEIGHT * (1.0 - value / max))
    };
    values.enumerate().map(point).collect::<Vec<_>>().join(" ")
}

/// Renders the page.
///
/// # Errors
///
/// Returns the error of the template engine.
pub fn render(cost: &Cost) -> Result<String, String> {
    let max = cost.windows.iter().map(|window| window.paid.max(window.best)).fold(1e-9, f64::max);
    let zones = cost.windows.first().map_or(0, |window| window.utilization.len());
    let row = |window: &crate::cost::WindowCost| Row {
        at: format!("{:.0}", window.at),
        paid: format!("{:.1}", window.paid),
        best: format!("{:.1}", window.best),
        service: format!("{:.3}", window.service),
        utilization: window
            .utilization
            .iter()
            .map(|u| Utilization { text: format!("{u:.2}"), overloaded: *u > 1.0 })
            .collect(),
        flows: window.flows.iter().flatten().map(|flow| format!("{flow:.1}")).collect(),
    };
    let page = Page {
        paid: format!("{:.1}", cost.paid),
        best: format!("{:.1}", cost.best),
        excess: format!("{:.2}", cost.excess_percent()),
        max_utilization: format!("{:.2}", cost.max_zone_utilization),
        max: format!("{max:.1}"),
        paid_line: polyline(cost.windows.iter().map(|window| window.paid), max),
        best_line: polyline(cost.windows.iter().map(|window| window.best), max),
        zones: (0..zones).map(|zone| format!("zone-{zone}")).collect(),
        flows: (0..zones).flat_map(|from| (0..zones).map(move |to| format!("{from} to {to}"))).collect(),
        rows: cost.windows.iter().map(row).collect(),
    };
    page.render().map_err(|e| e.to_string())
}
