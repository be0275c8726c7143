//! Load reports of proxies (LRS): requests per cluster and endpoint in an interval.

use oatlever::round::Address;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamEndpointStats};
use xds_api::pb::google::protobuf::Duration;

/// Name of the metric in which servers report their answer time (ORCA), in seconds.
const ANSWER_SECONDS: &str = "answer_seconds";

/// Queries of a class at a proxy in one interval.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The name of the class.
    pub cluster: String,
    /// Number of queries that the proxy received.
    pub queries: f64,
    /// s
    pub interval: f64,
    pub endpoints: Vec<EndpointLoad>,
}

/// Tries of a proxy at one server.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    pub server: Address,
    pub answered: f64,
    pub failed: f64,
    /// Sum of the times of all answered tries.
    pub answer_seconds: f64,
}

fn seconds(duration: Option<&Duration>) -> f64 {
    duration.map_or(0.0, |d| d.seconds as f64 + f64::from(d.nanos) / 1e9)
}

fn server_address(stats: &UpstreamEndpointStats) -> Option<Address> {
    let core::address::Address::SocketAddress(socket) = stats.address.as_ref()?.address.as_ref()? else {
        return None;
    };
    let host: std::net::Ipv4Addr = socket.address.parse().ok()?;
    let core::socket_address::PortSpecifier::PortValue(port) = socket.port_specifier.as_ref()? else {
        return None;
    };
    Some(Address { host: host.octets(), port: u16::try_from(*port).ok()? })
}

/// Answer times come from the server's own metric if it reports one. Otherwise they are estimated by Little's law: the
/// number of requests in progress is the rate of finished requests times the time of one.
fn endpoint_load(stats: &UpstreamEndpointStats, interval: f64) -> Option<EndpointLoad> {
    let (answered, failed) = (stats.total_successful_requests as f64, stats.total_error_requests as f64);
    let metric = stats.load_metric_stats.iter().find(|metric| metric.metric_name == ANSWER_SECONDS);
    let answer_seconds = match metric {
        Some(m) if m.num_requests_finished_with_metric > 0 && m.total_metric_value.is_finite() => {
            m.total_metric_value.max(0.0) / m.num_requests_finished_with_metric as f64 * answered
        }
        _ if answered + failed > 0.0 => {
            stats.total_requests_in_progress as f64 * interval * answered / (answered + failed)
        }
        _ => 0.0,
    };
    Some(EndpointLoad { server: server_address(stats)?, answered, failed, answer_seconds })
}

/// Reads the report of a cluster. Returns `None` for an empty interval, in which nothing can have been measured.
pub fn read(stats: &ClusterStats) -> Option<LoadReport> {
    let interval = seconds(stats.load_report_interval.as_ref());
    if interval <= 0.0 {
        return None;
    }
    let zones = stats.upstream_locality_stats.iter();
    let issued: f64 = zones.clone().map(|zone| zone.total_issued_requests as f64).sum();
    let finished: f64 =
        zones.clone().map(|z| (z.total_successful_requests + z.total_error_requests) as f64).sum();
    let endpoints = zones.flat_map(|zone| &zone.upstream_endpoint_stats);
    Some(LoadReport {
        cluster: stats.cluster_name.clone(),
        // Older clients do not count issued requests.
        queries: if issued > 0.0 { issued } else { finished } + stats.total_dropped_requests as f64,
        interval,
        endpoints: endpoints.filter_map(|stats| endpoint_load(stats, interval)).collect(),
    })
}
