//! The xDS front: tables pushed to proxies on streams, and what they report back.
//!
//! `session` is the state machine of one stream, without I/O; `resources` writes listeners, routes, clusters
//! and endpoints of what tables say; `load` reads load reports of proxies and `orca` those of servers; `digest`
//! is what versions carry for proxies to check; `grpc` frames messages; `client`
//! is the calling side; `server` holds the
//! sockets. Nothing here decides on routing: see `docs/notes/0002-xds.md`.

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
pub use resources::{Class, Place, ResourceCache};
pub use server::{serve, Backend, HyperExecutor, Limits, Server};

/// Paths of the gRPC methods served.
pub mod methods {
    pub const STREAM_AGGREGATED_RESOURCES: &str =
        "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
    pub const DELTA_AGGREGATED_RESOURCES: &str =
        "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
    pub const STREAM_LOAD_STATS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
}
