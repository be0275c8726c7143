//! What proxies and servers met, from the counters that they publish as OpenMetrics text.
//!
//! `text` reads one text, `counters` turns two texts of a target into what came between, `sums` adds up
//! what the decisions are told once a period, `reader` does the reading.
//!
//! Proxies publish `proxy_queries_total{class}`, and by server `proxy_tries_total{server}`,
//! `proxy_failed_total{server}`, `proxy_answer_seconds_sum{server}` and `_count`. Servers publish the same
//! of clients that come without a proxy, by client address: `server_queries_total{class,client}`,
//! `server_failed_total{client}`, `server_answer_seconds_sum{client}` and `_count`, and `server_in_flight`.

mod counters;
mod reader;
mod sums;
mod text;

pub use counters::{Counters, Increase};
pub use reader::{run, ScrapeHandler, Target};
pub use sums::{Aggregator, AskerInfo};
pub use text::{Exposition, Sample};
