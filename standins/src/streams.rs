//! A relay that speaks xDS: it follows clusters and endpoints on a stream, and reports its load.

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
/// s; a relay whose stream broke dials again so much later, and up to as long again.
const PAUSE: f64 = 0.2;
/// Bytes of the largest message read.
const MOST: usize = 16 << 20;

type Sender = async_channel::Sender<Bytes>;

fn node(asker: &Asker) -> Option<core::Node> {
    Some(core::Node { id: asker.host.to_string(), ..Default::default() })
}

/// A cluster's class and lines.
fn lines(world: &World, resource: &Any) -> Option<(usize, Vec<(Ipv4Addr, u16)>)> {
    let assignment = ClusterLoadAssignment::decode(&resource.value[..]).ok()?;
    let class = world.script.classes.iter().position(|class| class.name == assignment.cluster_name)?;
    let mut found = Vec::new();
    for endpoint in assignment.endpoints.iter().flat_map(|zone| &zone.lb_endpoints) {
        let weight = endpoint.load_balancing_weight.as_ref()?.value;
        let Some(HostIdentifier::Endpoint(one)) = &endpoint.host_identifier else { return None };
        let Some(core::address::Address::SocketAddress(socket)) = &one.address.as_ref()?.address else {
            return None;
        };
        found.push((socket.address.parse().ok()?, weight));
    }
    let most = found.iter().map(|(_, weight)| *weight).max().unwrap_or(1).max(1);
    let scaled = |weight: u32| (u64::from(weight) * 65_535 / u64::from(most)).max(1) as u16;
    Some((class, found.into_iter().map(|(host, weight)| (host, scaled(weight))).collect()))
}

/// The digest at the end of a version is what the relay makes of it itself, from what it holds.
fn agrees(version: &str, parts: impl IntoIterator<Item = Vec<u8>>) -> bool {
    let mut hasher = SipHasher24::new();
    parts.into_iter().for_each(|part| hasher.write(&part));
    version.rsplit('.').next() == Some(&format!("{:016x}", hasher.finish()))
}

/// What a relay says to a response whose digest is another than its own.
fn disagreement() -> Option<rpc::Status> {
    Some(rpc::Status { code: 3, message: "the digest does not agree".to_string(), ..Default::default() })
}

/// Follows tables for ever, dialling again whenever the stream breaks.
pub async fn discover(asker: Rc<Asker>, world: Rc<World>) {
    loop {
        let ended = match asker.front {
            Front::Delta => delta(&asker, &world).await,
            _ => state(&asker, &world).await,
        };
        drop(ended);
        Timer::after(Duration::from_secs_f64(PAUSE * (1.0 + world.chance()))).await;
    }
}

async fn state(asker: &Asker, world: &World) -> Result<(), Status> {
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
        let mut taken = discovery::DiscoveryRequest {
            version_info: response.version_info,
            type_url: response.type_url.clone(),
            response_nonce: response.nonce,
            ..Default::default()
        };
        if !agrees(&taken.version_info, response.resources.iter().map(|written| written.value.clone())) {
            taken.error_detail = disagreement();
        } else if response.type_url == ENDPOINTS {
            taken.resource_names = names.clone();
            for (class, lines) in response.resources.iter().filter_map(|resource| lines(world, resource)) {
                asker.take(world, class, lines);
            }
        }
        // The receiver is the request's body: it lives as long as the stream.
        let _ = sender.send(framed(&taken)).await;
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

async fn delta(asker: &Asker, world: &World) -> Result<(), Status> {
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
    let mut held = BTreeMap::new();
    while let Some(response) = reader.next::<discovery::DeltaDiscoveryResponse>().await? {
        for resource in &response.resources {
            let number = resource.version.split('.').nth(1).and_then(|number| number.parse::<u64>().ok());
            held.insert(resource.name.clone(), number.unwrap_or(0));
        }
        held.retain(|name, _| !response.removed_resources.contains(name));
        let parts = held.iter().map(|(name, number)| [name.as_bytes(), &[0], &number.to_le_bytes()].concat());
        let whole = |resource: &discovery::Resource| {
            resource.resource.as_ref().is_some_and(|it| agrees(&resource.version, [it.value.clone()]))
        };
        let fine = agrees(&response.system_version_info, parts) && response.resources.iter().all(whole);
        let written = response.resources.iter().filter_map(|resource| resource.resource.as_ref());
        for (class, lines) in written.filter(|_| fine).filter_map(|resource| lines(world, resource)) {
            asker.take(world, class, lines);
        }
        let taken = discovery::DeltaDiscoveryRequest {
            type_url: response.type_url,
            response_nonce: response.nonce,
            error_detail: if fine { None } else { disagreement() },
            ..Default::default()
        };
        let _ = sender.send(framed(&taken)).await;
        if !fine {
            // It starts anew on another stream, holding nothing.
            return Ok(());
        }
    }
    Ok(())
}

/// A stream with its first message on the way: further ones go in by the sender, answers come out of the
/// reader. Dropping the sender ends it.
async fn open(asker: &Asker, world: &World, path: &str, first: Bytes) -> Option<(Sender, Reader<Incoming>)> {
    let host = world.realm.xds();
    let socket = oatlever_fetch::connect(host, Some(SocketAddr::from((asker.host, 0)))).await.ok()?;
    let (sender, receiver) = async_channel::unbounded();
    sender.try_send(first).ok()?;
    let (response, open) = call(socket, (host, path), receiver, &world.executor).await.ok()?;
    open.detach();
    Some((sender, Reader::new(response.into_body(), MOST)))
}

/// Reports what was met, as often as the pilot asks for it.
pub async fn report(asker: Rc<Asker>, world: Rc<World>) {
    loop {
        let first = LoadStatsRequest { node: node(&asker), ..Default::default() };
        let called = open(&asker, &world, methods::STREAM_LOAD_STATS, framed(&first)).await;
        if let Some((sender, mut reader)) = called {
            if let Ok(Some(wanted)) = reader.next::<LoadStatsResponse>().await {
                let interval = wanted.load_reporting_interval.unwrap_or_default();
                let interval = (interval.seconds as f64 + f64::from(interval.nanos) / 1e9).max(0.1);
                asker.met.borrow_mut().iter_mut().for_each(|met| *met = Default::default());
                let mut last = world.now();
                loop {
                    Timer::after(Duration::from_secs_f64(interval)).await;
                    if world.faults.borrow().scrapes_hang {
                        continue;
                    }
                    let message = framed(&stats(&asker, &world, world.now() - last));
                    last = world.now();
                    let broken = futures_lite::future::poll_once(reader.next::<LoadStatsResponse>()).await;
                    if broken.is_some() || sender.send(message).await.is_err() {
                        break;
                    }
                }
            }
        }
        Timer::after(Duration::from_secs_f64(PAUSE * (1.0 + world.chance()))).await;
    }
}

fn stats(asker: &Asker, world: &World, span: f64) -> LoadStatsRequest {
    let mut met = asker.met.borrow_mut();
    let clusters = met.iter_mut().zip(&world.script.classes).map(|(met, class)| {
        let met = std::mem::take(met);
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
                total_issued_requests: met.came,
                upstream_endpoint_stats: met.servers.iter().map(endpoint).collect(),
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
