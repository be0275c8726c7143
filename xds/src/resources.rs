//! Listeners, routes, clusters and endpoints, generated from tables.
//!
//! All four resources of a class have the name of the class, so that a client that knows the name of the listener can
//! discover the others from it.

use crate::session::ResourceType;
use oatlever::round::{Address, NO_RETRY, RETRY_UNPROCESSED};
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

/// The sum of the endpoint weights of a cluster. Fine enough for the lowest weight that is sent, while the sum of all
/// weights stays below the 2^32 that the protocol allows.
const TOTAL_WEIGHT: f64 = 10_000_000.0;
/// Retry conditions under which the server cannot have processed the first try (Envoy, "x-envoy-retry-on").
const RETRY_ON_UNPROCESSED: &str = "connect-failure,refused-stream";
const ROUTER_URL: &str = "type.googleapis.com/envoy.extensions.filters.http.router.v3.Router";
const MANAGER_URL: &str =
    "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";

/// Looks up the zone of a server, for the locality of its endpoint.
pub trait ZoneLookup {
    fn zone_of(&self, server: &Address) -> Option<&str>;
}

/// A query class as published to proxies.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Its queries must never be processed twice, so they are never retried.
    pub at_most_once: bool,
}

/// Encoded resources, shared by all askers that use the same table.
pub struct ResourceCache {
    pub classes: Vec<Class>,
    /// By type, class and table (of endpoints only), with the version that was encoded.
    encoded: HashMap<(ResourceType, u16, Option<u16>), (u64, Any)>,
}

fn to_any(url: &str, message: &impl Message) -> Any {
    Any { type_url: url.to_string(), value: message.encode_to_vec() }
}

fn weight(value: f64) -> UInt32Value {
    UInt32Value { value: value.round().clamp(1.0, f64::from(u32::MAX)) as u32 }
}

impl ResourceCache {
    pub fn new(classes: Vec<Class>) -> Self {
        ResourceCache { classes, encoded: HashMap::new() }
    }

    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<u16> {
        self.classes.iter().position(|class| class.name == name).map(|index| index as u16)
    }

    /// The version of a class's resource for an asker with this view; `None` if there is no such resource. Listeners
    /// and clusters never change, routes change with the retry mode, and endpoints with the table.
    pub fn version(&self, resource_type: ResourceType, class: u16, view: Option<&View>) -> Option<u64> {
        match resource_type {
            ResourceType::Listener | ResourceType::Cluster => Some(1),
            ResourceType::Route => Some(1 + u64::from(self.retry_mode(class, view))),
            ResourceType::Endpoints => view.map(|view| view.version << 16 | u64::from(view.table)),
        }
    }

    /// The retry mode that is published, which is none for a class that must not be processed twice.
    fn retry_mode(&self, class: u16, view: Option<&View>) -> u8 {
        let at_most_once = self.classes[usize::from(class)].at_most_once;
        view.map_or(NO_RETRY, |view| view.tries).min(if at_most_once { NO_RETRY } else { RETRY_UNPROCESSED })
    }

    /// The resource itself, which is encoded once per version.
    pub fn resource(
        &mut self,
        resource_type: ResourceType,
        class: u16,
        view: Option<&View>,
        zones: &dyn ZoneLookup,
    ) -> Any {
        let version = self.version(resource_type, class, view).unwrap_or(0);
        let table = view.filter(|_| resource_type == ResourceType::Endpoints).map(|view| view.table);
        let key = (resource_type, class, table);
        let cached = self.encoded.get(&key).filter(|(encoded_version, _)| *encoded_version == version);
        if let Some((_, resource)) = cached {
            return resource.clone();
        }
        let published = &self.classes[usize::from(class)];
        let resource = match resource_type {
            ResourceType::Cluster => to_any(resource_type.type_url(), &cluster_of(published)),
            ResourceType::Listener => to_any(resource_type.type_url(), &listener_of(published)),
            ResourceType::Route => {
                to_any(resource_type.type_url(), &route_of(published, self.retry_mode(class, view)))
            }
            ResourceType::Endpoints => {
                to_any(resource_type.type_url(), &endpoints_of(published, view, zones))
            }
        };
        self.encoded.insert(key, (version, resource.clone()));
        resource
    }
}

/// Refers to the discovery stream on which the resource itself came (ADS).
fn ads_config_source() -> core::ConfigSource {
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
            eds_config: Some(ads_config_source()),
            service_name: class.name.clone(),
        }),
        lb_policy: LbPolicy::RoundRobin as i32,
        common_lb_config: Some(CommonLbConfig {
            locality_config_specifier: Some(locality),
            ..Default::default()
        }),
        // Load reports go to the server that the cluster came from.
        lrs_server: Some(core::ConfigSource {
            config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Self_(
                core::SelfConfigSource::default(),
            )),
            ..ads_config_source()
        }),
        ..Default::default()
    }
}

fn listener_of(class: &Class) -> listener::Listener {
    use manager::http_connection_manager::RouteSpecifier;
    let routes =
        manager::Rds { config_source: Some(ads_config_source()), route_config_name: class.name.clone() };
    let router = manager::HttpFilter {
        name: "router".to_string(),
        config_type: Some(manager::http_filter::ConfigType::TypedConfig(to_any(
            ROUTER_URL,
            &Router::default(),
        ))),
        ..Default::default()
    };
    let connection_manager = manager::HttpConnectionManager {
        stat_prefix: class.name.clone(),
        route_specifier: Some(RouteSpecifier::Rds(routes)),
        http_filters: vec![router],
        ..Default::default()
    };
    listener::Listener {
        name: class.name.clone(),
        api_listener: Some(listener::ApiListener {
            api_listener: Some(to_any(MANAGER_URL, &connection_manager)),
        }),
        ..Default::default()
    }
}

fn route_of(class: &Class, retry_mode: u8) -> route::RouteConfiguration {
    use route::route_action::ClusterSpecifier;
    use route::route_match::PathSpecifier;
    let retry = (retry_mode == RETRY_UNPROCESSED).then(|| route::RetryPolicy {
        retry_on: RETRY_ON_UNPROCESSED.to_string(),
        num_retries: Some(UInt32Value { value: 1 }),
        ..Default::default()
    });
    let action = route::RouteAction {
        cluster_specifier: Some(ClusterSpecifier::Cluster(class.name.clone())),
        retry_policy: retry,
        ..Default::default()
    };
    let catch_all = route::Route {
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
            routes: vec![catch_all],
            ..Default::default()
        }],
        ..Default::default()
    }
}

fn endpoints_of(
    class: &Class,
    view: Option<&View>,
    zones: &dyn ZoneLookup,
) -> endpoint::ClusterLoadAssignment {
    let mut endpoints_by_zone: BTreeMap<String, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    let (lines, total) = view.map_or((&[][..], 1.0), |view| (view.index.lines(), view.index.all()));
    for line in lines {
        let zone = zones.zone_of(&line.server).unwrap_or_default().to_string();
        let socket = core::SocketAddress {
            address: std::net::Ipv4Addr::from(line.server.host).to_string(),
            port_specifier: Some(core::socket_address::PortSpecifier::PortValue(line.server.port.into())),
            ..Default::default()
        };
        let address = core::Address { address: Some(core::address::Address::SocketAddress(socket)) };
        let endpoint = endpoint::Endpoint { address: Some(address), ..Default::default() };
        endpoints_by_zone.entry(zone).or_default().push(endpoint::LbEndpoint {
            health_status: core::HealthStatus::Healthy as i32,
            load_balancing_weight: Some(weight(line.weight / total * TOTAL_WEIGHT)),
            host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint)),
            ..Default::default()
        });
    }
    let localities = endpoints_by_zone.into_iter().map(|(zone, lb_endpoints)| {
        let weights = lb_endpoints.iter().filter_map(|e| e.load_balancing_weight.as_ref());
        let total: f64 = weights.map(|weight| f64::from(weight.value)).sum();
        endpoint::LocalityLbEndpoints {
            locality: Some(core::Locality { zone, ..Default::default() }),
            load_balancing_weight: Some(weight(total)),
            lb_endpoints,
            ..Default::default()
        }
    });
    use endpoint::cluster_load_assignment::{policy::DropOverload, Policy};
    let drop_share = view.map_or(0.0, |view| (1.0 - view.level).clamp(0.0, 1.0));
    let drop = DropOverload {
        category: "level".to_string(),
        drop_percentage: Some(FractionalPercent {
            numerator: (drop_share * 1e6).round() as u32,
            denominator: DenominatorType::Million as i32,
        }),
    };
    endpoint::ClusterLoadAssignment {
        cluster_name: class.name.clone(),
        endpoints: localities.collect(),
        policy: Some(Policy {
            drop_overloads: if drop_share > 0.0 { vec![drop] } else { Vec::new() },
            ..Default::default()
        }),
        ..Default::default()
    }
}
