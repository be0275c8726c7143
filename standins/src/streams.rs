//! xDS client of a relay: it subscribes to clusters and endpoints on a stream and reports load.

use crate::askers::Asker;
use crate::script::{Front, SERVICE_PORT};
use crate::world::World;
use async_io::Timer;
use hyper::body::{Bytes, Incoming};
use oatlever_xds::grpc::{framed, Reader, Status};
use oatlever_xds::{call, methods};
use prost::Message;
use siphasher::sip::SipHasher24;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use xds_api::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats,
    UpstreamLocalityStats,
};
use xds_api::pb::envoy::service::discovery::v3 as discovery;
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::{Any, Duration as ProtoDuration};
use xds_api::pb::google::rpc;

const CLUSTERS: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
const ENDPOINTS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Seconds before a relay reconnects; a random delay of up to the same length is added.
const RECONNECT_DELAY: f64 = 0.2;
/// Maximum size of a received message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

type Sender = async_channel::Sender<Bytes>;

fn node(asker: &Asker) -> Option<core::Node> {
    Some(core::Node { id: asker.host.to_string(), ..Default::default() })
}

/// Decodes an endpoint assignment into its class and lines, with weights scaled to 16 bits.
fn decode_lines(world: &World, resource: &Any) -> Option<(usize, Vec<(Ipv4Addr, u16)>)> {
    let assignment = ClusterLoadAssignment::decode(&resource.value[..]).ok()?;
    let class = world.script.classes.iter().position(|class| class.name == assignment.cluster_name)?;
    let mut lines = Vec::new();
    for endpoint in assignment.endpoints.iter().flat_map(|zone| &zone.lb_endpoints) {
        let weight = endpoint.load_balancing_weight.as_ref()?.value;
        let Some(HostIdentifier::Endpoint(identifier)) = &endpoint.host_identifier else { return None };
        let Some(core::address::Address::SocketAddress(socket)) = &identifier.address.as_ref()?.address
        else {
            return None;
        };
        lines.push((socket.address.parse().ok()?, weight));
    }
    let max = lines.iter().map(|(_, weight)| *weight).max().unwrap_or(1).max(1);
    let scaled = |weight: u32| (u64::from(weight) * 65_535 / u64::from(max)).max(1) as u16;
    Some((class, lines.into_iter().map(|(host, weight)| (host, scaled(weight))).collect()))
}

/// Whether the digest at the end of a version matches the one computed from the relay's own state.
fn digest_matches(version: &str, parts: impl IntoIterator<Item = Vec<u8>>) -> bool {
    let mut hasher = SipHasher24::new();
    parts.into_iter().for_each(|part| hasher.write(&part));
    version.rsplit('.').next() == Some(&format!("{:016x}", hasher.finish()))
}

/// The error with which a relay rejects a response whose digest doesn't match.
fn digest_error() -> Option<rpc::Status> {
    Some(rpc::Status { code: 3, message: "the digest does not agree".to_string(), ..Default::default() })
}

/// Subscribes to the tables of all classes, and reconnects whenever the stream ends.
pub async fn follow_tables(asker: Rc<Asker>, world: Rc<World>) {
    loop {
        let result = match asker.front {
            Front::Delta => follow_incremental(&asker, &world).await,
            _ => follow_state_of_the_world(&asker, &world).await,
        };
        drop(result);
        Timer::after(Duration::from_secs_f64(RECONNECT_DELAY * (1.0 + world.random()))).await;
    }
}

async fn follow_state_of_the_world(asker: &Asker, world: &World) -> Result<(), Status> {
    let first = discovery::DiscoveryRequest {
        node: node(asker),
        type_url: CLUSTERS.to_string(),
        ..Default::default()
    };
    let Some((sender, mut reader)) =
        open(asker, world, methods::STREAM_AGGREGATED_RESOURCES, framed(&first)).await
    else {
        return Ok(());
    };
    let mut subscribed = false;
    while let Some(response) = reader.next::<discovery::DiscoveryResponse>().await? {
        let names: Vec<String> = world.script.classes.iter().map(|class| class.name.clone()).collect();
        let mut reply = discovery::DiscoveryRequest {
            version_info: response.version_info,
            type_url: response.type_url.clone(),
            response_nonce: response.nonce,
            ..Default::default()
        };
        let parts = response.resources.iter().map(|resource| resource.value.clone());
        if !digest_matches(&reply.version_info, parts) {
            reply.error_detail = digest_error();
        } else if response.type_url == ENDPOINTS {
            reply.resource_names = names.clone();
            let tables = response.resources.iter().filter_map(|resource| decode_lines(world, resource));
            for (class, lines) in tables {
                asker.set_lines(world, class, lines);
            }
        }
        // The receiver is the request body; it is closed only when the stream has ended.
        let _ = sender.send(framed(&reply)).await;
        if !std::mem::replace(&mut subscribed, true) {
            let endpoints = discovery::DiscoveryRequest {
                type_url: ENDPOINTS.to_string(),
                resource_names: names,
                ..Default::default()
            };
            let _ = sender.send(framed(&endpoints)).await;
        }
    }
    Ok(())
}

async fn follow_incremental(asker: &Asker, world: &World) -> Result<(), Status> {
    let names: Vec<String> = world.script.classes.iter().map(|class| class.name.clone()).collect();
    let first = discovery::DeltaDiscoveryRequest {
        node: node(asker),
        type_url: ENDPOINTS.to_string(),
        resource_names_subscribe: names,
        ..Default::default()
    };
    let Some((sender, mut reader)) =
        open(asker, world, methods::DELTA_AGGREGATED_RESOURCES, framed(&first)).await
    else {
        return Ok(());
    };
    // Version numbers by resource name.
    let mut versions = BTreeMap::new();
    while let Some(response) = reader.next::<discovery::DeltaDiscoveryResponse>().await? {
        for resource in &response.resources {
            let number = resource.version.split('.').nth(1).and_then(|number| number.parse::<u64>().ok());
            versions.insert(resource.name.clone(), number.unwrap_or(0));
        }
        versions.retain(|name, _| !response.removed_resources.contains(name));
        let parts =
            versions.iter().map(|(name, number)| [name.as_bytes(), &[0], &number.to_le_bytes()].concat());
        let resource_matches = |resource: &discovery::Resource| {
            let body = resource.resource.as_ref();
            body.is_some_and(|body| digest_matches(&resource.version, [body.value.clone()]))
        };
        let valid = digest_matches(&response.system_version_info, parts)
            && response.resources.iter().all(resource_matches);
        let bodies = response.resources.iter().filter_map(|resource| resource.resource.as_ref());
        for (class, lines) in bodies.filter(|_| valid).filter_map(|body| decode_lines(world, body)) {
            asker.set_lines(world, class, lines);
        }
        let reply = discovery::DeltaDiscoveryRequest {
            type_url: response.type_url,
            response_nonce: response.nonce,
            error_detail: if valid { None } else { digest_error() },
            ..Default::default()
        };
        let _ = sender.send(framed(&reply)).await;
        if !valid {
            // The caller opens a new stream without known versions.
            return Ok(());
        }
    }
    Ok(())
}

/// Opens a stream and sends its first message. Further messages are sent with the sender; dropping it ends the stream.
async fn open(asker: &Asker, world: &World, path: &str, first: Bytes) -> Option<(Sender, Reader<Incoming>)> {
    let host = world.realm.xds();
    let socket = oatlever_fetch::connect(host, Some(SocketAddr::from((asker.host, 0)))).await.ok()?;
    let (sender, receiver) = async_channel::unbounded();
    sender.try_send(first).ok()?;
    let (response, connection) = call(socket, (host, path), receiver, &world.executor).await.ok()?;
    connection.detach();
    Some((sender, Reader::new(response.into_body(), MAX_MESSAGE_BYTES)))
}

/// Reports load at the interval that the pilot requests.
pub async fn report_load(asker: Rc<Asker>, world: Rc<World>) {
    loop {
        let first = LoadStatsRequest { node: node(&asker), ..Default::default() };
        let stream = open(&asker, &world, methods::STREAM_LOAD_STATS, framed(&first)).await;
        if let Some((sender, mut reader)) = stream {
            if let Ok(Some(response)) = reader.next::<LoadStatsResponse>().await {
                let interval = response.load_reporting_interval.unwrap_or_default();
                let interval = (interval.seconds as f64 + f64::from(interval.nanos) / 1e9).max(0.1);
                asker.load.borrow_mut().iter_mut().for_each(|load| *load = Default::default());
                let mut last = world.now();
                loop {
                    Timer::after(Duration::from_secs_f64(interval)).await;
                    if world.faults.borrow().scrapes_hang {
                        continue;
                    }
                    let message = framed(&take_load_stats(&asker, &world, world.now() - last));
                    last = world.now();
                    let ended = futures_lite::future::poll_once(reader.next::<LoadStatsResponse>()).await;
                    if ended.is_some() || sender.send(message).await.is_err() {
                        break;
                    }
                }
            }
        }
        Timer::after(Duration::from_secs_f64(RECONNECT_DELAY * (1.0 + world.random()))).await;
    }
}

/// Returns a load report of the last `span` seconds and resets the load.
fn take_load_stats(asker: &Asker, world: &World, span: f64) -> LoadStatsRequest {
    let mut load = asker.load.borrow_mut();
    let clusters = load.iter_mut().zip(&world.script.classes).map(|(load, class)| {
        let load = std::mem::take(load);
        let endpoint = |(host, (answered, failed, seconds)): (&Ipv4Addr, &(u64, u64, f64))| {
            let socket = core::SocketAddress {
                address: host.to_string(),
                port_specifier: Some(core::socket_address::PortSpecifier::PortValue(SERVICE_PORT.into())),
                ..Default::default()
            };
            UpstreamEndpointStats {
                address: Some(core::Address { address: Some(core::address::Address::SocketAddress(socket)) }),
                total_successful_requests: *answered,
                total_error_requests: *failed,
                load_metric_stats: vec![EndpointLoadMetricStats {
                    metric_name: "answer_seconds".to_string(),
                    num_requests_finished_with_metric: *answered,
                    total_metric_value: *seconds,
                }],
                ..Default::default()
            }
        };
        ClusterStats {
            cluster_name: class.name.clone(),
            upstream_locality_stats: vec![UpstreamLocalityStats {
                total_issued_requests: load.received,
                upstream_endpoint_stats: load.servers.iter().map(endpoint).collect(),
                ..Default::default()
            }],
            load_report_interval: Some(ProtoDuration {
                seconds: span as i64,
                nanos: (span.fract() * 1e9) as i32,
            }),
            ..Default::default()
        }
    });
    LoadStatsRequest { cluster_stats: clusters.collect(), ..Default::default() }
}
