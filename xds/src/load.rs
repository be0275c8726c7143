//! Load reports: what a proxy's clusters, zones and endpoints met in an interval.

use oatlever::round::Address;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamEndpointStats};
use xds_api::pb::google::protobuf::Duration;

/// The named metric that servers state their time by (ORCA), s.
const ANSWER_SECONDS: &str = "answer_seconds";

/// What queries to a proxy of a class, in a interval of seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    pub cluster: String,
    pub queries: f64,
    pub interval: f64,
    pub endpoints: Vec<EndpointLoad>,
}

/// What it met at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    pub server: Address,
    pub answered: f64,
    pub failed: f64,
    /// Seconds that the answers took together.
    pub answer_seconds: f64,
}

pub fn seconds(duration: Option<&Duration>) -> f64 {
    duration.map_or(0.0, |d| d.seconds as f64 + f64::from(d.nanos) / 1e9)
}

fn server(stats: &UpstreamEndpointStats) -> Option<Address> {
    let core::address::Address::SocketAddress(socket) = stats.address.as_ref()?.address.as_ref()? else {
        return None;
    };
    let host: std::net::Ipv4Addr = socket.address.parse().ok()?;
    let core::socket_address::PortSpecifier::PortValue(port) = socket.port_specifier.as_ref()? else {
        return None;
    };
    Some(Address { host: host.octets(), port: u16::try_from(*port).ok()? })
}

/// Times of answers: by the servers' own metric where they give it, else by Little's law: queries in
/// progress are the rate of those that end times the time of one.
fn met(stats: &UpstreamEndpointStats, interval: f64) -> Option<EndpointLoad> {
    let (answered, failed) = (stats.total_successful_requests as f64, stats.total_error_requests as f64);
    let metric = stats.load_metric_stats.iter().find(|metric| metric.metric_name == ANSWER_SECONDS);
    let seconds = match metric {
        Some(m) if m.num_requests_finished_with_metric > 0 && m.total_metric_value.is_finite() => {
            m.total_metric_value.max(0.0) / m.num_requests_finished_with_metric as f64 * answered
        }
        _ if answered + failed > 0.0 => {
            stats.total_requests_in_progress as f64 * interval * answered / (answered + failed)
        }
        _ => 0.0,
    };
    Some(EndpointLoad { server: server(stats)?, answered, failed, answer_seconds: seconds })
}

/// Reads a cluster's report; none where it covers no time, as nothing was measured then.
pub fn read(stats: &ClusterStats) -> Option<LoadReport> {
    let interval = seconds(stats.load_report_interval.as_ref());
    if interval <= 0.0 {
        return None;
    }
    let zones = stats.upstream_locality_stats.iter();
    let issued: f64 = zones.clone().map(|zone| zone.total_issued_requests as f64).sum();
    let ended: f64 =
        zones.clone().map(|z| (z.total_successful_requests + z.total_error_requests) as f64).sum();
    let endpoints = zones.flat_map(|zone| &zone.upstream_endpoint_stats);
    Some(LoadReport {
        cluster: stats.cluster_name.clone(),
        // Older clients do not count what they issued.
        queries: if issued > 0.0 { issued } else { ended } + stats.total_dropped_requests as f64,
        interval,
        endpoints: endpoints.filter_map(|stats| met(stats, interval)).collect(),
    })
}
