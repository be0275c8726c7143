//! xDS control-plane server: pushes tables to proxies over discovery streams and receives their load reports.
//!
//! `session` is the state machine of one discovery stream, without I/O; `resources` encodes tables as listeners,
//! routes, clusters and endpoints; `load` reads the load reports of proxies (LRS) and `orca` those of servers (ORCA);
//! `digest` computes the digests that versions carry for proxies to verify; `grpc` frames messages; `client` is the
//! client side of a call; `server` serves the connections. Nothing here makes routing decisions: see
//! `docs/notes/0002-xds.md`.

mod client;
pub mod digest;
pub mod grpc;
mod load;
pub mod orca;
mod resources;
mod server;
pub mod session;

pub use client::call;
pub use load::{EndpointLoad, LoadReport};
pub use resources::{Class, ResourceCache, ZoneLookup};
pub use server::{serve, Backend, HyperExecutor, Limits, Server};

/// Paths of the gRPC methods served.
pub mod methods {
    pub const STREAM_AGGREGATED_RESOURCES: &str =
        "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
    pub const DELTA_AGGREGATED_RESOURCES: &str =
        "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
    pub const STREAM_LOAD_STATS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
}
