//! The server on loopback, with well-behaved and misbehaving clients.

use crate::harness::{
    decode_first, endpoints_url, request, run, run_with_long_response_timeout, server_address, type_url,
    Call, State, RESPONSE_TIMEOUT,
};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use hyper::body::Bytes;
use oatlever::round::Writer;
use oatlever_tables::Unreviewed;
use oatlever_xds::grpc::{framed, Code};
use oatlever_xds::{methods, Backend, LoadReport};
use prost::Message;
use siphasher::sip::SipHasher24;
use std::collections::BTreeMap;
use std::future::Future;
use std::hash::Hasher;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3::{address, Node};
use xds_api::pb::envoy::config::endpoint::v3::{lb_endpoint, ClusterLoadAssignment, ClusterStats};
use xds_api::pb::envoy::config::listener::v3::Listener;
use xds_api::pb::envoy::config::route::v3::{route, route_action, RouteConfiguration};
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use xds_api::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest,
};
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::{protobuf::Duration as ProtoDuration, rpc::Status as RpcStatus};

/// Zone, address and share of the total weight of each endpoint.
fn endpoint_shares(assignment: &ClusterLoadAssignment) -> Vec<(String, String, f64)> {
    let total: f64 =
        assignment.endpoints.iter().map(|zone| f64::from(zone.load_balancing_weight.unwrap().value)).sum();
    let mut shares = Vec::new();
    for zone in &assignment.endpoints {
        let name = zone.locality.as_ref().unwrap().zone.clone();
        for endpoint in &zone.lb_endpoints {
            let Some(lb_endpoint::HostIdentifier::Endpoint(inner)) = &endpoint.host_identifier else {
                panic!()
            };
            let Some(address::Address::SocketAddress(socket)) = &inner.address.as_ref().unwrap().address
            else {
                panic!()
            };
            let share = f64::from(endpoint.load_balancing_weight.unwrap().value) / total;
            shares.push((name.clone(), socket.address.clone(), (share * 100.0).round() / 100.0));
        }
    }
    shares
}

/// A client that knows only the name of the listener discovers endpoints with weights, the drop rate, and the retry
/// policy.
#[test]
fn all_resources_are_discoverable_from_the_listener() {
    run(|fixture| async move {
        let mut call =
            Call::discover(&fixture, "relay-0", &type_url("listener.v3.Listener"), &["search"]).await;
        let listener: Listener = decode_first(&call.accept(&["search"]).await);
        let api = listener.api_listener.unwrap().api_listener.unwrap();
        let connections = manager::HttpConnectionManager::decode(&api.value[..]).unwrap();
        let Some(manager::http_connection_manager::RouteSpecifier::Rds(rds)) = connections.route_specifier
        else {
            panic!("no routes")
        };
        let mut retries = Vec::new();
        let routes = type_url("route.v3.RouteConfiguration");
        let both = [rds.route_config_name.as_str(), "reserve"];
        call.sender.send(request("", &routes, &both, "")).await.unwrap();
        let response = call.accept(&both).await;
        let mut cluster = String::new();
        for resource in &response.resources {
            let config = RouteConfiguration::decode(&resource.value[..]).unwrap();
            let Some(route::Action::Route(action)) = config.virtual_hosts[0].routes[0].action.clone() else {
                panic!()
            };
            retries.push((config.name.clone(), action.retry_policy.map(|policy| policy.retry_on)));
            if let Some(route_action::ClusterSpecifier::Cluster(name)) = action.cluster_specifier {
                cluster = name;
            }
        }
        retries.sort();
        // A class that must not be processed twice has no retries, whatever the retry mode of the table.
        assert_eq!(retries, [("reserve".into(), None), ("search".into(), None)]);
        assert!(["search", "reserve"].contains(&cluster.as_str()));
        call.sender.send(request("", &type_url("cluster.v3.Cluster"), &["search"], "")).await.unwrap();
        let cluster: Cluster = decode_first(&call.accept(&["search"]).await);
        let service = cluster.eds_cluster_config.unwrap().service_name;
        call.sender.send(request("", &endpoints_url(), &[&service, "reserve"], "")).await.unwrap();
        let response = call.accept(&[&service, "reserve"]).await;
        let assignment_of = |name: &str| {
            let all = response.resources.iter().map(|r| ClusterLoadAssignment::decode(&r.value[..]).unwrap());
            all.into_iter().find(|a| a.cluster_name == name).unwrap()
        };
        let expected = [
            ("zone-0".to_string(), "10.0.0.0".to_string(), 0.25),
            ("zone-1".into(), "10.0.0.1".into(), 0.75),
        ];
        assert_eq!(endpoint_shares(&assignment_of("search")), expected);
        let drops = assignment_of("reserve").policy.unwrap().drop_overloads;
        assert_eq!(drops[0].drop_percentage.unwrap().numerator, 250_000);
        assert!(assignment_of("search").policy.unwrap().drop_overloads.is_empty());
        // Everything that it subscribed to is acknowledged, so the tables yield an acknowledgement.
        let backend = fixture.backend.clone();
        backend
            .wait_until("an acknowledgement", |state| {
                !state.tables.borrow_mut().acknowledgements(1e9).is_empty()
            })
            .await;
    });
}

/// A NACK reaches the backend with its reason and yields no acknowledgement. The rejected version is not sent again,
/// but the next change is.
#[test]
fn a_nack_yields_no_acknowledgement_and_no_loop() {
    run(|fixture| async move {
        let mut call = Call::discover(&fixture, "relay-0", &endpoints_url(), &["search"]).await;
        let first = call.next().await;
        let error = RpcStatus { code: 3, message: "weights of a bad sum".into(), ..Default::default() };
        let nack = DiscoveryRequest {
            type_url: endpoints_url(),
            resource_names: vec!["search".into()],
            response_nonce: first.nonce,
            error_detail: Some(error),
            ..Default::default()
        };
        call.sender.send(framed(&nack)).await.unwrap();
        let backend = fixture.backend.clone();
        backend.wait_until("the NACK", |state| !state.rejections.borrow().is_empty()).await;
        assert_eq!(*backend.0.rejections.borrow(), ["weights of a bad sum"]);
        let pushes = fixture.server.counts.borrow().pushes;
        backend.0.changed.notify(usize::MAX);
        Timer::after(Duration::from_millis(50)).await;
        assert_eq!(fixture.server.counts.borrow().pushes, pushes, "the rejected version was sent again");
        assert!(
            backend.0.tables.borrow_mut().acknowledgements(1e9).is_empty()
                && backend.0.acknowledged.borrow().is_empty()
        );
        // It has answered, so the response timeout does not apply: it would only reconnect and reject again.
        Timer::after(Duration::from_secs_f64(2.0 * RESPONSE_TIMEOUT)).await;
        assert_eq!(*backend.0.stream_events.borrow(), [(0, true)]);
        backend.change_tables(|tables| tables.set_weight(0, server_address(1), 1.0));
        let next = call.accept(&["search"]).await;
        assert_eq!(endpoint_shares(&decode_first(&next)).len(), 2);
        let version = backend.tables_version();
        backend.wait_until("the ACK", |state| state.acknowledged.borrow().contains(&(0, version))).await;
    });
}

/// A proxy that does not read delays no other, does not make the memory use grow, and is disconnected. Versions that it
/// missed are skipped.
#[test]
fn a_slow_reader_is_disconnected_and_delays_no_other() {
    run(|fixture| async move {
        let slow = Call::discover(&fixture, "relay-0", &endpoints_url(), &["search"]).await;
        let mut fast = Call::discover(&fixture, "relay-2", &endpoints_url(), &["search"]).await;
        fast.accept(&["search"]).await;
        let backend = fixture.backend.clone();
        for n in 0..200u8 {
            backend.change_tables(|tables| tables.set_weight(0, server_address(n % 50), f64::from(n) + 10.0));
            let response = fast.accept(&["search"]).await;
            assert!(!endpoint_shares(&decode_first(&response)).is_empty());
        }
        let version = backend.tables_version();
        backend
            .wait_until("the last version", |state| state.acknowledged.borrow().contains(&(2, version)))
            .await;
        backend
            .wait_until("the disconnect", |state| state.stream_events.borrow().contains(&(0, false)))
            .await;
        // Acknowledgements stop waiting for the disconnected proxy, so those of the others continue.
        let acknowledgements = backend.0.tables.borrow_mut().acknowledgements(1e9);
        assert!(
            acknowledgements.iter().all(|acknowledgement| acknowledgement.proxy == 2)
                && acknowledgements.len() > 100,
            "{}",
            acknowledgements.len()
        );
        assert_eq!(backend.0.tables.borrow().pull.waiting(), 0.0);
        let pushed = fixture.server.counts.borrow().pushes;
        assert!(pushed <= 203, "{pushed} responses: more than one was sent to the slow proxy");
        drop(slow);
    });
}

#[test]
fn unknown_nodes_and_malformed_requests_are_rejected() {
    run(|fixture| async move {
        let call = Call::discover(&fixture, "somebody", &endpoints_url(), &["search"]).await;
        assert_eq!(call.status, Some(Code::PermissionDenied as u16));
        let call = Call::start(&fixture, "/grpc.health.v1.Health/Check", Bytes::new()).await;
        assert_eq!(call.status, Some(Code::Unimplemented as u16));
        let noise: Vec<u8> = (0..200u8).map(|n| n.wrapping_mul(37)).collect();
        for bytes in
            [vec![0, 0, 0, 0, 3, 255, 255, 255], vec![1, 0, 0, 0, 1, 0], vec![0, 255, 255, 255, 255], noise]
        {
            let call = Call::start(&fixture, methods::STREAM_AGGREGATED_RESOURCES, bytes.into()).await;
            assert!(call.status.is_some_and(|status| status > 0));
        }
        let mut call = Call::discover(&fixture, "relay-0", "type.googleapis.com/unknown", &[]).await;
        assert!(call.ended().await);
        let many: Vec<String> = (0..5000).map(|n| format!("n{n}")).collect();
        let many: Vec<&str> = many.iter().map(String::as_str).collect();
        let mut call = Call::discover(&fixture, "relay-0", &endpoints_url(), &many).await;
        assert!(call.ended().await);
        // Bytes that are not HTTP/2, and a connection without any.
        let mut raw = Async::<TcpStream>::connect(fixture.host).await.unwrap();
        raw.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let silent = Async::<TcpStream>::connect(fixture.host).await.unwrap();
        let mut good = Call::discover(&fixture, "relay-4", &endpoints_url(), &["search"]).await;
        assert_eq!(endpoint_shares(&decode_first(&good.accept(&["search"]).await)).len(), 2);
        let events: Vec<_> = fixture
            .backend
            .0
            .stream_events
            .borrow()
            .iter()
            .filter(|(asker, _)| *asker == 0)
            .copied()
            .collect();
        assert_eq!(events, [(0, true), (0, false), (0, true), (0, false)]);
        let mut silent = silent;
        let mut byte = [0; 64];
        while !matches!(silent.read(&mut byte).await, Ok(0) | Err(_)) {}
    });
}

/// A proxy that keeps a stream open without requesting endpoints would use an old table for longer than any drain.
#[test]
fn a_proxy_that_never_requests_endpoints_is_disconnected() {
    run(|fixture| async move {
        let mut call = Call::discover(&fixture, "relay-0", &type_url("cluster.v3.Cluster"), &[]).await;
        call.accept(&[]).await;
        assert!(call.ended().await);
        fixture
            .backend
            .wait_until("the disconnect", |state| *state.stream_events.borrow() == [(0, true), (0, false)])
            .await;
    });
}

/// A node may reconnect while its old connection is half open; the new stream replaces the old one.
#[test]
fn a_newer_stream_of_a_node_replaces_the_older() {
    run(|fixture| async move {
        let mut old = Call::discover(&fixture, "relay-6", &endpoints_url(), &["search"]).await;
        old.accept(&["search"]).await;
        let mut new = Call::discover(&fixture, "relay-6", &endpoints_url(), &["search"]).await;
        new.accept(&["search"]).await;
        assert!(old.ended().await);
        fixture.backend.change_tables(|tables| tables.set_weight(0, server_address(1), 9.0));
        assert_eq!(endpoint_shares(&decode_first(&new.accept(&["search"]).await))[1].2, 0.9);
        assert_eq!(*fixture.backend.0.stream_events.borrow(), [(6, true), (6, false), (6, true)]);
        assert_eq!(fixture.server.open_streams(), 1);
    });
}

/// 480 proxies connect at once, and each acknowledges the last version.
///
/// They share a thread with the server, so the response timeout of the other tests (0.6 s) is too short on a busy
/// machine: beside 64 busy loops, three runs of six failed with it, each with 480 streams broken or ended, and none of
/// six with 10 s. This test is not about how late a proxy may answer.
#[test]
fn many_simultaneous_streams_all_become_current() {
    run_with_long_response_timeout(|fixture| async move {
        let proxies = (0..480).map(|n| {
            let (fixture, executor) = (fixture.clone(), fixture.executor.clone());
            executor.spawn(async move {
                let mut call =
                    Call::discover(&fixture, &format!("relay-{n}"), &endpoints_url(), &["search", "reserve"])
                        .await;
                loop {
                    call.accept(&["search", "reserve"]).await;
                }
            })
        });
        let proxies: Vec<async_executor::Task<()>> = proxies.collect();
        let backend = fixture.backend.clone();
        backend.wait_until("all streams", |state| state.stream_events.borrow().len() == 480).await;
        backend.change_tables(|tables| {
            (0..2u16).for_each(|table| tables.set_weight(table, server_address(40), 2.0))
        });
        let version = backend.tables_version();
        backend
            .wait_until("all ACKs", |state| {
                state.acknowledged.borrow().iter().filter(|(_, held)| *held >= version).count() == 480
            })
            .await;
        let acknowledgements = backend.0.tables.borrow_mut().acknowledgements(1e9).len();
        assert!(
            acknowledgements >= 480 && backend.0.tables.borrow().pull.waiting() == 0.0,
            "{acknowledgements} acknowledgements"
        );
        drop(proxies);
    });
}

#[test]
fn load_reports_are_read() {
    run(|fixture| async move {
        let node = Some(Node { id: "relay-1".into(), ..Default::default() });
        let first = LoadStatsRequest { node, ..Default::default() };
        let mut call = Call::start(&fixture, methods::STREAM_LOAD_STATS, framed(&first)).await;
        let response: LoadStatsResponse = call.reader.next().await.unwrap().unwrap();
        assert!(response.send_all_clusters && response.report_endpoint_granularity);
        let cluster = |seconds| ClusterStats {
            cluster_name: "search".into(),
            total_dropped_requests: 4,
            load_report_interval: Some(ProtoDuration { seconds, nanos: 0 }),
            ..Default::default()
        };
        let stats = LoadStatsRequest { cluster_stats: vec![cluster(2), cluster(0)], ..Default::default() };
        call.sender.send(framed(&stats)).await.unwrap();
        fixture.backend.wait_until("the report", |state| !state.load_reports.borrow().is_empty()).await;
        let expected =
            LoadReport { cluster: "search".into(), queries: 4.0, interval: 2.0, endpoints: Vec::new() };
        assert_eq!(
            *fixture.backend.0.load_reports.borrow(),
            [expected],
            "a report of an empty interval is ignored"
        );
    });
}

/// A proxy that misses a change can tell by the digest in the version, and one that holds everything agrees with it.
#[test]
fn digests_reveal_a_missed_change() {
    let digest = |held: &BTreeMap<String, u64>| {
        let mut hasher = SipHasher24::new();
        for (name, number) in held {
            hasher.write(&[name.as_bytes(), &[0], &number.to_le_bytes()].concat());
        }
        format!("{:016x}", hasher.finish())
    };
    run(|fixture| async move {
        let both = vec!["search".to_string(), "reserve".into()];
        let request = |node: &str, names: &[String], nonce: &str| {
            framed(&DeltaDiscoveryRequest {
                node: (!node.is_empty()).then(|| Node { id: node.into(), ..Default::default() }),
                type_url: endpoints_url(),
                resource_names_subscribe: names.to_vec(),
                response_nonce: nonce.into(),
                ..Default::default()
            })
        };
        let mut call =
            Call::start(&fixture, methods::DELTA_AGGREGATED_RESOURCES, request("relay-0", &both, "")).await;
        let (mut held, mut missed) = (BTreeMap::new(), BTreeMap::new());
        for round in 0..20u8 {
            let response: DeltaDiscoveryResponse = call.reader.next().await.unwrap().unwrap();
            for (index, resource) in response.resources.iter().enumerate() {
                let mut parts = resource.version.split('.').skip(1);
                let number: u64 = parts.next().unwrap().parse().unwrap();
                let mut hasher = SipHasher24::new();
                hasher.write(&resource.resource.as_ref().unwrap().value);
                assert_eq!(parts.next(), Some(&*format!("{:016x}", hasher.finish())));
                held.insert(resource.name.clone(), number);
                if (round, index) != (7, 1) {
                    missed.insert(resource.name.clone(), number);
                }
            }
            let digest_sent = response.system_version_info.rsplit('.').next().unwrap().to_string();
            assert_eq!(digest(&held), digest_sent);
            assert_eq!(digest(&missed) == digest_sent, round != 7, "round {round}");
            if round == 7 {
                missed.clone_from(&held);
            }
            call.sender.send(request("", &[], &response.nonce)).await.unwrap();
            fixture
                .backend
                .change_tables(|tables| tables.set_weight(0, server_address(1), 5.0 + f64::from(round)));
        }
    });
}

/// A rollback arrives while a proxy has not yet answered a newer change. That change is acknowledged first, then the
/// rolled back endpoints are sent, and the last version acknowledged is that of the rollback.
#[test]
fn a_rollback_follows_a_pending_change() {
    run(|fixture| async move {
        fixture.backend.0.tables.borrow_mut().keep_versions(10);
        let mut call = Call::discover(&fixture, "relay-0", &endpoints_url(), &["search"]).await;
        let first = endpoint_shares(&decode_first(&call.accept(&["search"]).await));
        fixture.backend.change_tables(|tables| tables.set_weight(0, server_address(0), 9.0));
        let newer = call.next().await;
        assert_ne!(endpoint_shares(&decode_first(&newer)), first);
        let rollback = fixture
            .backend
            .0
            .tables
            .borrow_mut()
            .roll_back(0, 1, fixture.backend.now(), &mut Unreviewed)
            .unwrap();
        fixture.backend.0.changed.notify(usize::MAX);
        fixture.backend.change_tables(|tables| tables.set_weight(0, server_address(1), 8.0));
        call.sender.send(request("", &newer.type_url, &["search"], &newer.nonce)).await.unwrap();
        assert_eq!(endpoint_shares(&decode_first(&call.accept(&["search"]).await)), first);
        fixture
            .backend
            .wait_until("the rollback's ACK", |state| {
                state.acknowledged.borrow().iter().any(|(asker, held)| *asker == 0 && *held >= rollback)
            })
            .await;
        let mut tables = fixture.backend.0.tables.borrow_mut();
        assert_eq!((tables.acknowledgements(1e9).len(), tables.pull.waiting()), (3, 0.0));
    });
}

/// Reads a byte at a time, with a pause before each.
struct SlowSocket {
    socket: Async<TcpStream>,
    pause: Timer,
}

const BYTE_INTERVAL: Duration = Duration::from_millis(100);

impl AsyncRead for SlowSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>> {
        if Pin::new(&mut self.pause).poll(cx).is_pending() {
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.socket).poll_read(cx, &mut into[..1]);
        if read.is_ready() {
            self.pause = Timer::after(BYTE_INTERVAL);
        }
        read
    }
}

impl AsyncWrite for SlowSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
}

/// Half of the proxies read one byte every 100 ms. The others receive every change at once; the slow ones are
/// disconnected after the response timeout, and nothing waits for them any more.
#[test]
fn very_slow_readers_do_not_delay_the_others() {
    run(|fixture| async move {
        let slow: Vec<_> = (0..20)
            .map(|n| {
                let (fixture, executor) = (fixture.clone(), fixture.executor.clone());
                executor.spawn(async move {
                    let socket = Async::<TcpStream>::connect(fixture.host).await.unwrap();
                    let socket = SlowSocket { socket, pause: Timer::after(BYTE_INTERVAL) };
                    let first = request(&format!("relay-{}", 2 * n + 1), &endpoints_url(), &["search"], "");
                    // The HTTP/2 settings arrive as slowly, so most do not even get a response.
                    drop(Call::over(socket, &fixture, methods::STREAM_AGGREGATED_RESOURCES, first).await);
                    std::future::pending::<()>().await;
                })
            })
            .collect();
        let fast: Vec<async_executor::Task<()>> = (0..20)
            .map(|n| {
                let (fixture, executor) = (fixture.clone(), fixture.executor.clone());
                executor.spawn(async move {
                    let node = format!("relay-{}", 2 * n);
                    let mut call = Call::discover(&fixture, &node, &endpoints_url(), &["search"]).await;
                    loop {
                        call.accept(&["search"]).await;
                    }
                })
            })
            .collect();
        let backend = fixture.backend.clone();
        let opened = |state: &State| state.stream_events.borrow().iter().filter(|(_, up)| *up).count();
        backend.wait_until("all streams", |state| opened(state) == 40).await;
        for n in 0..5u8 {
            backend.change_tables(|tables| {
                (0..2).for_each(|table| tables.set_weight(table, server_address(n), 5.0))
            });
        }
        let version = backend.tables_version();
        let current = |state: &State| {
            let acknowledged = state.acknowledged.borrow();
            acknowledged.iter().filter(|(asker, held)| asker % 2 == 0 && *held >= version).count()
        };
        backend.wait_until("the ACKs of the fast proxies", |state| current(state) >= 20).await;
        let closed = |state: &State| state.stream_events.borrow().iter().filter(|(_, up)| !up).count();
        backend.wait_until("the end of the slow streams", |state| closed(state) == 20).await;
        assert!(backend.0.stream_events.borrow().iter().all(|(asker, up)| *up || asker % 2 == 1));
        let mut tables = backend.0.tables.borrow_mut();
        assert!(tables.acknowledgements(1e9).iter().all(|acknowledgement| acknowledgement.proxy % 2 == 0));
        assert_eq!(tables.pull.waiting(), 0.0);
        drop((slow, fast));
    });
}

/// Randomly corrupted messages are accepted or rejected; the server stays bounded and keeps serving.
#[test]
fn corrupted_messages_do_not_disturb_the_server() {
    run(|fixture| async move {
        let mut rng = fastrand::Rng::with_seed(11);
        let messages = [
            request("relay-3", &endpoints_url(), &["search", "reserve"], "1"),
            framed(&DeltaDiscoveryRequest {
                node: Some(Node { id: "relay-3".into(), ..Default::default() }),
                type_url: endpoints_url(),
                resource_names_subscribe: vec!["*".into(), "search".into()],
                initial_resource_versions: [("search".to_string(), "9.1.0".to_string())].into(),
                ..Default::default()
            }),
            framed(&LoadStatsRequest {
                node: Some(Node { id: "relay-3".into(), ..Default::default() }),
                cluster_stats: vec![ClusterStats { cluster_name: "search".into(), ..Default::default() }],
            }),
        ];
        let paths = [
            methods::STREAM_AGGREGATED_RESOURCES,
            methods::DELTA_AGGREGATED_RESOURCES,
            methods::STREAM_LOAD_STATS,
        ];
        let mut calls = Vec::new();
        for n in 0..300 {
            let mut bytes = messages[n % 3].to_vec();
            for _ in 0..rng.usize(1..6) {
                let index = rng.usize(..bytes.len());
                match rng.u8(..3) {
                    0 => bytes[index] = rng.u8(..),
                    1 => bytes.truncate(index.max(1)),
                    _ => bytes.insert(index, rng.u8(..)),
                }
            }
            let (fixture, executor) = (fixture.clone(), fixture.executor.clone());
            calls.push(executor.spawn(async move {
                let mut call = Call::start(&fixture, paths[n / 3 % 3], bytes.into()).await;
                call.sender.close();
                // Possibly a response, and then the end of the stream.
                assert!(call.status.is_some() || call.ended().await || call.ended().await, "{n}");
            }));
        }
        for call in calls {
            call.await;
        }
        let mut good = Call::discover(&fixture, "relay-4", &endpoints_url(), &["search"]).await;
        assert_eq!(endpoint_shares(&decode_first(&good.accept(&["search"]).await)).len(), 2);
        fixture.backend.wait_until("only the valid stream", |_| fixture.server.open_streams() == 1).await;
    });
}
