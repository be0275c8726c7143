//! Interoperability of the xDS front with a proxyless client that shares no code with it: `tonic` on its own runtime.
//! The client starts from a listener name, discovers the servers and calls them by weight.

use prost::Message;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tonic::codegen::http::uri::PathAndQuery;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3::{address, socket_address::PortSpecifier, Node};
use xds_api::pb::envoy::config::endpoint::v3::{lb_endpoint::HostIdentifier, ClusterLoadAssignment};
use xds_api::pb::envoy::config::listener::v3::Listener;
use xds_api::pb::envoy::config::route::v3::{route::Action, route_action, RouteConfiguration};
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    http_connection_manager::RouteSpecifier, HttpConnectionManager,
};
use xds_api::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};

/// Resource types in the order in which the client resolves them.
const RESOURCE_TYPES: [&str; 4] = [
    "listener.v3.Listener",
    "route.v3.RouteConfiguration",
    "cluster.v3.Cluster",
    "endpoint.v3.ClusterLoadAssignment",
];
/// Timeout of each wait; a correct run stays far below it.
const TIMEOUT: Duration = Duration::from_secs(30);
const CALLS: usize = 6000;
/// Zones and weights of the listed servers.
const SERVERS: [(&str, f64); 5] =
    [("north", 1.0), ("north", 2.0), ("north", 5.0), ("south", 3.0), ("south", 1.0)];

/// Runs an echo server that counts its calls in `counts[index]`.
async fn run_server(counts: Rc<RefCell<Vec<usize>>>, index: usize, listener: tokio::net::TcpListener) {
    while let Ok((mut socket, _)) = listener.accept().await {
        let mut byte = [0];
        if socket.read_exact(&mut byte).await.is_ok() {
            counts.borrow_mut()[index] += 1;
            let _ = socket.write_all(&byte).await;
        }
    }
}

/// The resources that the client has resolved so far.
#[derive(Default)]
struct Resolution {
    /// Resource names by type (an index of `RESOURCE_TYPES`), each from the resource before.
    names: BTreeMap<usize, String>,
    /// Endpoints and weights, once all resources are known.
    endpoints: Vec<(SocketAddr, f64)>,
}

impl Resolution {
    /// Decodes a resource. Returns the type and name of the resource that it refers to, if that has changed.
    fn update(&mut self, resource_type: usize, bytes: &[u8]) -> Option<(usize, String)> {
        let next = match resource_type {
            0 => {
                let any = Listener::decode(bytes).ok()?.api_listener?.api_listener?;
                match HttpConnectionManager::decode(&any.value[..]).ok()?.route_specifier? {
                    RouteSpecifier::Rds(rds) => rds.route_config_name,
                    _ => return None,
                }
            }
            1 => {
                let config = RouteConfiguration::decode(bytes).ok()?;
                let Some(Action::Route(action)) = config.virtual_hosts[0].routes[0].action.clone() else {
                    return None;
                };
                match action.cluster_specifier? {
                    route_action::ClusterSpecifier::Cluster(name) => name,
                    _ => return None,
                }
            }
            2 => Cluster::decode(bytes).ok()?.eds_cluster_config?.service_name,
            _ => {
                self.endpoints = weighted_endpoints(&ClusterLoadAssignment::decode(bytes).ok()?);
                return None;
            }
        };
        let next_type = resource_type + 1;
        (self.names.insert(next_type, next.clone()).as_ref() != Some(&next)).then_some((next_type, next))
    }
}

/// Returns the endpoints with locality-weighted weights: the zone's weight times the endpoint's share within the zone.
fn weighted_endpoints(assignment: &ClusterLoadAssignment) -> Vec<(SocketAddr, f64)> {
    let mut endpoints = Vec::new();
    for zone in &assignment.endpoints {
        let value = |weight: Option<_>| weight.map_or(0.0, f64::from);
        let weights = zone.lb_endpoints.iter().map(|e| value(e.load_balancing_weight.map(|w| w.value)));
        let total: f64 = weights.sum();
        let zone_weight = value(zone.load_balancing_weight.map(|w| w.value));
        for endpoint in &zone.lb_endpoints {
            let Some(HostIdentifier::Endpoint(identifier)) = &endpoint.host_identifier else { continue };
            let address = identifier.address.as_ref().and_then(|address| address.address.as_ref());
            let Some(address::Address::SocketAddress(socket)) = address else { continue };
            let Some(PortSpecifier::PortValue(port)) = &socket.port_specifier else { continue };
            let host = format!("{}:{port}", socket.address).parse().unwrap();
            let weight = value(endpoint.load_balancing_weight.map(|w| w.value));
            endpoints.push((host, zone_weight * weight / total));
        }
    }
    endpoints
}

/// Follows a listener and the resources that it refers to until the stream ends.
async fn follow_listener(front: SocketAddr, name: &'static str, resolution: Rc<RefCell<Resolution>>) {
    let channel = tonic::transport::Endpoint::from_shared(format!("http://{front}")).unwrap();
    let mut client = tonic::client::Grpc::new(channel.connect().await.unwrap());
    client.ready().await.unwrap();
    let (sender, receiver) = async_channel::unbounded();
    let url =
        |resource_type: usize| format!("type.googleapis.com/envoy.config.{}", RESOURCE_TYPES[resource_type]);
    let request = |resource_type: usize, names: Vec<String>, nonce: String| DiscoveryRequest {
        node: Some(Node { id: "client".into(), ..Default::default() }),
        type_url: url(resource_type),
        resource_names: names,
        response_nonce: nonce,
        ..Default::default()
    };
    sender.try_send(request(0, vec![name.into()], String::new())).unwrap();
    resolution.borrow_mut().names.insert(0, name.into());
    let path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
    let codec = tonic::codec::ProstCodec::<DiscoveryRequest, DiscoveryResponse>::default();
    let call = client.streaming(tonic::Request::new(receiver), PathAndQuery::from_static(path), codec).await;
    let mut responses = call.unwrap().into_inner();
    while let Ok(Some(response)) = responses.message().await {
        let resource_type = (0..4).find(|n| url(*n) == response.type_url).unwrap();
        let names: Vec<String> = resolution.borrow().names.get(&resource_type).cloned().into_iter().collect();
        sender.try_send(request(resource_type, names, response.nonce)).unwrap();
        for resource in &response.resources {
            if let Some((next, name)) = resolution.borrow_mut().update(resource_type, &resource.value) {
                sender.try_send(request(next, vec![name], String::new())).unwrap();
            }
        }
    }
}

struct Pilot(Child);

impl Drop for Pilot {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the share of each server in the asker's table, as the pilot's status page shows it.
fn table_shares(status: SocketAddr) -> BTreeMap<SocketAddr, f64> {
    let mut stream = TcpStream::connect(status).unwrap();
    write!(stream, "GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let page: Value = serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
    let number = &page["askers"][0]["table"];
    let tables = page["tables"].as_array().unwrap();
    let Some(table) = tables.iter().find(|table| &table["table"] == number) else { return BTreeMap::new() };
    let lines = table["lines"].as_object().unwrap().iter();
    let lines: BTreeMap<SocketAddr, f64> =
        lines.map(|(server, weight)| (server.parse().unwrap(), weight.as_f64().unwrap())).collect();
    let total: f64 = lines.values().sum();
    lines.into_iter().map(|(server, weight)| (server, weight / total)).collect()
}

#[test]
fn an_independent_client_follows_weights_and_leaves_a_draining_server() {
    let folder = std::env::temp_dir().join(format!("oatlever-second-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let counts = Rc::new(RefCell::new(vec![0; SERVERS.len()]));
        let mut hosts = Vec::new();
        for index in 0..SERVERS.len() {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            hosts.push(listener.local_addr().unwrap());
            tokio::task::spawn_local(run_server(counts.clone(), index, listener));
        }
        let write_list = |draining: Option<usize>| {
            let groups = SERVERS.iter().zip(&hosts).enumerate().map(|(index, ((zone, weight), host))| {
                let state = if draining == Some(index) { "draining" } else { "ready" };
                json!({"targets": [host.to_string()],
                       "labels": {"zone": zone, "weight": weight.to_string(), "state": state}})
            });
            let temporary = folder.join("servers.json.tmp");
            std::fs::write(&temporary, json!(groups.collect::<Vec<_>>()).to_string()).unwrap();
            std::fs::rename(&temporary, folder.join("servers.json")).unwrap();
        };
        write_list(None);
        let settings = json!({
            "zones": ["north", "south"],
            "classes": [{"name": "search", "benefit": 1, "due_time": 2}],
            "rules": {"drain_grace": 3, "without_server": 3, "cold_share": 0.2, "warm_within": 10,
                      "fall_multiple": 2.5},
            "channel": {"lines_per_second": 10000, "most_waiting": 10000},
            "roster": {"source": format!("file://{}/servers.json", folder.display()), "period": 0.1,
                       "patience": 0.1},
            "reports": {"period": 0.5, "patience": 0.4},
            "askers": [{"name": "client", "zone": "north", "node": "client", "usual_rate": 5}],
            "dns": {"listen": ["127.0.0.1:0"], "origin": "shops.test", "address": "127.0.0.1",
                    "lifetime": 1, "overstay": 0.5},
            "xds": {"listen": ["127.0.0.1:0"], "patience": 2},
            "status": {"listen": "127.0.0.1:0", "away_after": 5}
        });
        let path = folder.join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_oatlever"))
            .args(["pilot", path.to_str().unwrap(), "--log", "json", "--seed", "1"])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let _pilot = Pilot(child);
        let mut logged_address = |message: &str| -> SocketAddr {
            loop {
                let entry: Value = serde_json::from_str(&log.next().unwrap().unwrap()).unwrap();
                if entry["fields"]["message"] == message {
                    return entry["fields"]["host"].as_str().unwrap().parse().unwrap();
                }
            }
        };
        let (front, status) = (logged_address("serving xDS"), logged_address("serving status"));
        std::thread::spawn(move || log.for_each(drop));
        let resolution = Rc::new(RefCell::new(Resolution::default()));
        tokio::task::spawn_local(follow_listener(front, "search", resolution.clone()));

        // Wait until the table has all listed servers and the client has received it.
        let start = Instant::now();
        let mut shares = table_shares(status);
        while shares.len() < SERVERS.len() || resolution.borrow().endpoints.len() != shares.len() {
            assert!(start.elapsed() < TIMEOUT, "servers are missing from the table: {shares:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
            shares = table_shares(status);
        }
        let mut rng = fastrand::Rng::with_seed(7);
        let mut pick = || {
            let resolution = resolution.borrow();
            let total: f64 = resolution.endpoints.iter().map(|(_, weight)| weight).sum();
            let mut left = rng.f64() * total;
            let picked = resolution.endpoints.iter().find(|(_, weight)| {
                left -= weight;
                left < 0.0
            });
            picked.or(resolution.endpoints.last()).map(|(host, _)| *host).expect("a server to call")
        };
        let call = async |host: SocketAddr| {
            let mut socket = tokio::net::TcpStream::connect(host).await.unwrap();
            let mut byte = [7];
            socket.write_all(&byte).await.unwrap();
            socket.read_exact(&mut byte).await.unwrap();
        };
        for _ in 0..CALLS {
            call(pick()).await;
        }
        for (index, host) in hosts.iter().enumerate() {
            let share = counts.borrow()[index] as f64 / CALLS as f64;
            let difference = share - shares.get(host).copied().unwrap_or(0.0);
            assert!(difference.abs() < 0.02, "{host}: {share} of the calls, {shares:?}");
        }

        let busiest = (0..hosts.len()).max_by_key(|index| counts.borrow()[*index]).unwrap();
        write_list(Some(busiest));
        let drained_at = Instant::now();
        while resolution.borrow().endpoints.iter().any(|(host, _)| *host == hosts[busiest]) {
            call(pick()).await;
            assert!(drained_at.elapsed() < TIMEOUT, "the draining server is still an endpoint");
        }
        let took = drained_at.elapsed();
        let before = counts.borrow()[busiest];
        for _ in 0..500 {
            call(pick()).await;
        }
        assert_eq!(counts.borrow()[busiest], before, "called after its endpoint was removed");
        assert!(took < Duration::from_secs(1), "the draining server was removed after {took:?}");
    });
    let _ = std::fs::remove_dir_all(&folder);
}
