//! Listeners, routes, clusters and endpoints, written from what tables say.
//!
//! All four kinds of a class go by the class's name, so that a client finds its way from the listener alone.

use crate::session::Kind;
use oatlever::round::{Address, RETRY_UNPROCESSED};
use oatlever_tables::View;
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use xds_api::pb::envoy::config::cluster::v3 as cluster;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::listener::v3 as listener;
use xds_api::pb::envoy::config::route::v3 as route;
use xds_api::pb::envoy::extensions::filters::http::router::v3::Router;
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use xds_api::pb::envoy::r#type::v3::{fractional_percent::DenominatorType, FractionalPercent};
use xds_api::pb::google::protobuf::{Any, UInt32Value};

/// The whole that endpoint weights are parts of: fine enough for any line that is sent, and the sum of all
/// stays under the 32 bits that the protocol has for it.
const WHOLE: f64 = 10_000_000.0;
/// Conditions of a retry that prove that the first try never ran (Envoy, "x-envoy-retry-on").
const NEVER_RAN: &str = "connect-failure,refused-stream";
const ROUTER_URL: &str = "type.googleapis.com/envoy.extensions.filters.http.router.v3.Router";
const MANAGER_URL: &str =
    "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";

/// Where a server stands, for the locality of its endpoint.
pub trait Place {
    fn zone_of(&self, server: &Address) -> Option<&str>;
}

/// A class as it is published.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// It must never run twice.
    pub once: bool,
}

/// Written resources, shared by all who use a table.
pub struct Library {
    pub classes: Vec<Class>,
    written: HashMap<(Kind, u16, Option<u16>), (u64, Any)>,
}

fn any(url: &str, message: &impl Message) -> Any {
    Any { type_url: url.to_string(), value: message.encode_to_vec() }
}

fn number(value: f64) -> UInt32Value {
    UInt32Value { value: value.round().clamp(1.0, f64::from(u32::MAX)) as u32 }
}

impl Library {
    pub fn new(classes: Vec<Class>) -> Self {
        Library { classes, written: HashMap::new() }
    }

    pub fn class(&self, name: &str) -> Option<u16> {
        self.classes.iter().position(|class| class.name == name).map(|place| place as u16)
    }

    /// The version of a class's resource, as an asker with this view is to hold it. Listeners and clusters
    /// never change; routes follow the mode of further tries; endpoints the table.
    pub fn version(&self, kind: Kind, class: u16, view: Option<&View>) -> Option<u64> {
        match kind {
            Kind::Listener | Kind::Cluster => Some(1),
            Kind::Route => Some(1 + u64::from(self.tries(class, view))),
            Kind::Endpoints => view.map(|view| view.version << 16 | u64::from(view.table)),
        }
    }

    /// The mode of further tries that is published: none at all for a class that must not run twice.
    fn tries(&self, class: u16, view: Option<&View>) -> u8 {
        let once = self.classes[usize::from(class)].once;
        view.map_or(0, |view| view.tries).min(if once { 0 } else { RETRY_UNPROCESSED })
    }

    /// The resource itself, written once for each version.
    pub fn resource(&mut self, kind: Kind, class: u16, view: Option<&View>, place: &dyn Place) -> Any {
        let version = self.version(kind, class, view).unwrap_or(0);
        let table = view.filter(|_| kind == Kind::Endpoints).map(|view| view.table);
        let key = (kind, class, table);
        let kept = self.written.get(&key).filter(|(of, _)| *of == version);
        if let Some((_, written)) = kept {
            return written.clone();
        }
        let of = &self.classes[usize::from(class)];
        let written = match kind {
            Kind::Cluster => any(kind.type_url(), &cluster_of(of)),
            Kind::Listener => any(kind.type_url(), &listener_of(of)),
            Kind::Route => any(kind.type_url(), &routes_of(of, self.tries(class, view))),
            Kind::Endpoints => any(kind.type_url(), &endpoints_of(of, view, place)),
        };
        self.written.insert(key, (version, written.clone()));
        written
    }
}

fn aggregated() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(
            core::AggregatedConfigSource {},
        )),
        ..Default::default()
    }
}

fn cluster_of(class: &Class) -> cluster::Cluster {
    use cluster::cluster::common_lb_config::{LocalityConfigSpecifier, LocalityWeightedLbConfig};
    use cluster::cluster::{ClusterDiscoveryType, CommonLbConfig, DiscoveryType, EdsClusterConfig, LbPolicy};
    let locality = LocalityConfigSpecifier::LocalityWeightedLbConfig(LocalityWeightedLbConfig {});
    cluster::Cluster {
        name: class.name.clone(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(aggregated()),
            service_name: class.name.clone(),
        }),
        lb_policy: LbPolicy::RoundRobin as i32,
        common_lb_config: Some(CommonLbConfig {
            locality_config_specifier: Some(locality),
            ..Default::default()
        }),
        // Load reports go where the tables come from.
        lrs_server: Some(core::ConfigSource {
            config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Self_(
                core::SelfConfigSource::default(),
            )),
            ..aggregated()
        }),
        ..Default::default()
    }
}

fn listener_of(class: &Class) -> listener::Listener {
    use manager::http_connection_manager::RouteSpecifier;
    let routes = manager::Rds { config_source: Some(aggregated()), route_config_name: class.name.clone() };
    let router = manager::HttpFilter {
        name: "router".to_string(),
        config_type: Some(manager::http_filter::ConfigType::TypedConfig(any(ROUTER_URL, &Router::default()))),
        ..Default::default()
    };
    let connections = manager::HttpConnectionManager {
        stat_prefix: class.name.clone(),
        route_specifier: Some(RouteSpecifier::Rds(routes)),
        http_filters: vec![router],
        ..Default::default()
    };
    listener::Listener {
        name: class.name.clone(),
        api_listener: Some(listener::ApiListener { api_listener: Some(any(MANAGER_URL, &connections)) }),
        ..Default::default()
    }
}

fn routes_of(class: &Class, tries: u8) -> route::RouteConfiguration {
    use route::route_action::ClusterSpecifier;
    use route::route_match::PathSpecifier;
    let retry = (tries == RETRY_UNPROCESSED).then(|| route::RetryPolicy {
        retry_on: NEVER_RAN.to_string(),
        num_retries: Some(UInt32Value { value: 1 }),
        ..Default::default()
    });
    let action = route::RouteAction {
        cluster_specifier: Some(ClusterSpecifier::Cluster(class.name.clone())),
        retry_policy: retry,
        ..Default::default()
    };
    let only = route::Route {
        r#match: Some(route::RouteMatch {
            path_specifier: Some(PathSpecifier::Prefix(String::new())),
            ..Default::default()
        }),
        action: Some(route::route::Action::Route(action)),
        ..Default::default()
    };
    route::RouteConfiguration {
        name: class.name.clone(),
        virtual_hosts: vec![route::VirtualHost {
            name: class.name.clone(),
            domains: vec!["*".to_string()],
            routes: vec![only],
            ..Default::default()
        }],
        ..Default::default()
    }
}

fn endpoints_of(class: &Class, view: Option<&View>, place: &dyn Place) -> endpoint::ClusterLoadAssignment {
    let mut zones: BTreeMap<String, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    let (lines, all) = view.map_or((&[][..], 1.0), |view| (view.index.lines(), view.index.all()));
    for line in lines {
        let zone = place.zone_of(&line.server).unwrap_or_default().to_string();
        let socket = core::SocketAddress {
            address: std::net::Ipv4Addr::from(line.server.host).to_string(),
            port_specifier: Some(core::socket_address::PortSpecifier::PortValue(line.server.port.into())),
            ..Default::default()
        };
        let at = core::Address { address: Some(core::address::Address::SocketAddress(socket)) };
        let one = endpoint::Endpoint { address: Some(at), ..Default::default() };
        zones.entry(zone).or_default().push(endpoint::LbEndpoint {
            health_status: core::HealthStatus::Healthy as i32,
            load_balancing_weight: Some(number(line.weight / all * WHOLE)),
            host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(one)),
            ..Default::default()
        });
    }
    let localities = zones.into_iter().map(|(zone, lb_endpoints)| {
        let weight = lb_endpoints.iter().filter_map(|e| e.load_balancing_weight.as_ref());
        let weight: f64 = weight.map(|weight| f64::from(weight.value)).sum();
        endpoint::LocalityLbEndpoints {
            locality: Some(core::Locality { zone, ..Default::default() }),
            load_balancing_weight: Some(number(weight)),
            lb_endpoints,
            ..Default::default()
        }
    });
    use endpoint::cluster_load_assignment::{policy::DropOverload, Policy};
    let refused = view.map_or(0.0, |view| (1.0 - view.level).clamp(0.0, 1.0));
    let drop = DropOverload {
        category: "level".to_string(),
        drop_percentage: Some(FractionalPercent {
            numerator: (refused * 1e6).round() as u32,
            denominator: DenominatorType::Million as i32,
        }),
    };
    endpoint::ClusterLoadAssignment {
        cluster_name: class.name.clone(),
        endpoints: localities.collect(),
        policy: Some(Policy {
            drop_overloads: if refused > 0.0 { vec![drop] } else { Vec::new() },
            ..Default::default()
        }),
        ..Default::default()
    }
}
