//! Load of proxies and servers, from the counters that they publish in OpenMetrics text format.
//!
//! `text` parses one exposition, `counters` computes the increase between two scrapes of a target, `sums` aggregates
//! increases into the reports that the balancer is given once per report period, and `reader` scrapes the targets.
//!
//! Proxies publish `proxy_queries_total{class}`, and per server `proxy_tries_total{server}`,
//! `proxy_failed_total{server}`, `proxy_answer_seconds_sum{server}` and `_count`. Servers publish the same for clients
//! that connect without a proxy, per client address: `server_queries_total{class,client}`,
//! `server_failed_total{client}`, `server_answer_seconds_sum{client}` and `_count`, and `server_in_flight`.

mod counters;
mod reader;
mod sums;
mod text;

pub use counters::{Counters, Increase};
pub use reader::{run, ScrapeHandler, Target};
pub use sums::{Aggregator, AskerInfo};
pub use text::{Exposition, Sample};
