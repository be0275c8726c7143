//! A proxyless client of another make (`tonic`, on a reactor of its own) finds servers from a listener's name
//! alone and calls them by weight: what the front says must be enough for one that shares no code with it.

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

const KINDS: [&str; 4] = [
    "listener.v3.Listener",
    "route.v3.RouteConfiguration",
    "cluster.v3.Cluster",
    "endpoint.v3.ClusterLoadAssignment",
];
/// Reached only where something is wrong.
const LONG: Duration = Duration::from_secs(30);
const CALLS: usize = 6000;
/// Zones and weights of the servers, as listed.
const SERVERS: [(&str, f64); 5] =
    [("north", 1.0), ("north", 2.0), ("north", 5.0), ("south", 3.0), ("south", 1.0)];

/// A server that counts its calls.
async fn server(counts: Rc<RefCell<Vec<usize>>>, place: usize, listener: tokio::net::TcpListener) {
    while let Ok((mut socket, _)) = listener.accept().await {
        let mut byte = [0];
        if socket.read_exact(&mut byte).await.is_ok() {
            counts.borrow_mut()[place] += 1;
            let _ = socket.write_all(&byte).await;
        }
    }
}

/// What the client has learnt: endpoints with their weights, once the whole way is known.
#[derive(Default)]
struct Learnt {
    /// Names by kind, from the one before.
    names: BTreeMap<usize, String>,
    endpoints: Vec<(SocketAddr, f64)>,
}

impl Learnt {
    /// Takes a resource in. Returns the kind and name that it leads to.
    fn take(&mut self, kind: usize, bytes: &[u8]) -> Option<(usize, String)> {
        let next = match kind {
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
                self.endpoints = endpoints(&ClusterLoadAssignment::decode(bytes).ok()?);
                return None;
            }
        };
        (self.names.insert(kind + 1, next.clone()).as_ref() != Some(&next)).then_some((kind + 1, next))
    }
}

/// Locality-weighted: a zone by its weight, then an endpoint in it by its own.
fn endpoints(assignment: &ClusterLoadAssignment) -> Vec<(SocketAddr, f64)> {
    let mut out = Vec::new();
    for zone in &assignment.endpoints {
        let of = |weight: Option<_>| weight.map_or(0.0, f64::from);
        let whole: f64 = zone.lb_endpoints.iter().map(|e| of(e.load_balancing_weight.map(|w| w.value))).sum();
        let part = of(zone.load_balancing_weight.map(|w| w.value));
        for endpoint in &zone.lb_endpoints {
            let Some(HostIdentifier::Endpoint(one)) = &endpoint.host_identifier else { continue };
            let at = one.address.as_ref().and_then(|address| address.address.as_ref());
            let Some(address::Address::SocketAddress(socket)) = at else { continue };
            let Some(PortSpecifier::PortValue(port)) = &socket.port_specifier else { continue };
            let host = format!("{}:{port}", socket.address).parse().unwrap();
            out.push((host, part * of(endpoint.load_balancing_weight.map(|w| w.value)) / whole));
        }
    }
    out
}

/// Follows one listener's name for ever.
async fn follow(front: SocketAddr, name: &'static str, learnt: Rc<RefCell<Learnt>>) {
    let channel = tonic::transport::Endpoint::from_shared(format!("http://{front}")).unwrap();
    let mut client = tonic::client::Grpc::new(channel.connect().await.unwrap());
    client.ready().await.unwrap();
    let (sender, receiver) = async_channel::unbounded();
    let url = |kind: usize| format!("type.googleapis.com/envoy.config.{}", KINDS[kind]);
    let request = |kind: usize, names: Vec<String>, nonce: String| DiscoveryRequest {
        node: Some(Node { id: "client".into(), ..Default::default() }),
        type_url: url(kind),
        resource_names: names,
        response_nonce: nonce,
        ..Default::default()
    };
    sender.try_send(request(0, vec![name.into()], String::new())).unwrap();
    learnt.borrow_mut().names.insert(0, name.into());
    let path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
    let codec = tonic::codec::ProstCodec::<DiscoveryRequest, DiscoveryResponse>::default();
    let call = client.streaming(tonic::Request::new(receiver), PathAndQuery::from_static(path), codec).await;
    let mut responses = call.unwrap().into_inner();
    while let Ok(Some(response)) = responses.message().await {
        let kind = (0..4).find(|kind| url(*kind) == response.type_url).unwrap();
        let names: Vec<String> = learnt.borrow().names.get(&kind).cloned().into_iter().collect();
        sender.try_send(request(kind, names, response.nonce)).unwrap();
        for resource in &response.resources {
            if let Some((next, name)) = learnt.borrow_mut().take(kind, &resource.value) {
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

/// The lines of the only table, by server, as the pilot's own page has them.
fn table(status: SocketAddr) -> BTreeMap<SocketAddr, f64> {
    let mut stream = TcpStream::connect(status).unwrap();
    write!(stream, "GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let page: Value = serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
    let number = &page["askers"][0]["table"];
    let tables = page["tables"].as_array().unwrap();
    let Some(found) = tables.iter().find(|table| &table["table"] == number) else { return BTreeMap::new() };
    let lines = found["lines"].as_object().unwrap().iter();
    let lines: BTreeMap<SocketAddr, f64> =
        lines.map(|(server, weight)| (server.parse().unwrap(), weight.as_f64().unwrap())).collect();
    let whole: f64 = lines.values().sum();
    lines.into_iter().map(|(server, weight)| (server, weight / whole)).collect()
}

#[test]
fn a_client_of_another_make_calls_by_our_weights_and_leaves_a_draining_server() {
    let folder = std::env::temp_dir().join(format!("oatlever-second-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let counts = Rc::new(RefCell::new(vec![0; SERVERS.len()]));
        let mut hosts = Vec::new();
        for place in 0..SERVERS.len() {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            hosts.push(listener.local_addr().unwrap());
            tokio::task::spawn_local(server(counts.clone(), place, listener));
        }
        let list = |draining: Option<usize>| {
            let groups = SERVERS.iter().zip(&hosts).enumerate().map(|(place, ((zone, weight), host))| {
                let state = if draining == Some(place) { "draining" } else { "ready" };
                json!({"targets": [host.to_string()],
                       "labels": {"zone": zone, "weight": weight.to_string(), "state": state}})
            });
            let fresh = folder.join("fresh");
            std::fs::write(&fresh, json!(groups.collect::<Vec<_>>()).to_string()).unwrap();
            std::fs::rename(&fresh, folder.join("servers.json")).unwrap();
        };
        list(None);
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
        let mut at = |what: &str| -> SocketAddr {
            loop {
                let entry: Value = serde_json::from_str(&log.next().unwrap().unwrap()).unwrap();
                if entry["fields"]["message"] == what {
                    return entry["fields"]["host"].as_str().unwrap().parse().unwrap();
                }
            }
        };
        let (front, status) = (at("serving xDS"), at("serving status"));
        std::thread::spawn(move || log.for_each(drop));
        let learnt = Rc::new(RefCell::new(Learnt::default()));
        tokio::task::spawn_local(follow(front, "search", learnt.clone()));

        let begun = Instant::now();
        let mut ours = table(status);
        // All listed servers stand in the table, and the client holds that table.
        while ours.len() < SERVERS.len() || learnt.borrow().endpoints.len() != ours.len() {
            assert!(begun.elapsed() < LONG, "never all servers: {ours:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
            ours = table(status);
        }
        let mut chance = fastrand::Rng::with_seed(7);
        let mut pick = || {
            let known = learnt.borrow();
            let whole: f64 = known.endpoints.iter().map(|(_, weight)| weight).sum();
            let mut left = chance.f64() * whole;
            let found = known.endpoints.iter().find(|(_, weight)| {
                left -= weight;
                left < 0.0
            });
            found.or(known.endpoints.last()).map(|(host, _)| *host).expect("a server to call")
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
        for (place, host) in hosts.iter().enumerate() {
            let part = counts.borrow()[place] as f64 / CALLS as f64;
            let off = part - ours.get(host).copied().unwrap_or(0.0);
            assert!(off.abs() < 0.02, "{host}: {part} of the calls, {ours:?}");
        }

        let most = (0..hosts.len()).max_by_key(|place| counts.borrow()[*place]).unwrap();
        list(Some(most));
        let told = Instant::now();
        while learnt.borrow().endpoints.iter().any(|(host, _)| *host == hosts[most]) {
            call(pick()).await;
            assert!(told.elapsed() < LONG, "never off the draining server");
        }
        let took = told.elapsed();
        let before = counts.borrow()[most];
        for _ in 0..500 {
            call(pick()).await;
        }
        assert_eq!(counts.borrow()[most], before, "called after it had left");
        assert!(took < Duration::from_secs(1), "off the draining server after {took:?}");
    });
    let _ = std::fs::remove_dir_all(&folder);
}
