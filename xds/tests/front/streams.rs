//! The front on loopback, against clients that behave and clients that do not.

use crate::harness::{decode, endpoints, play, play_patiently, request, server, url, Call, State, PATIENCE};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use hyper::body::Bytes;
use oatlever::round::Writer;
use oatlever_tables::Unreviewed;
use oatlever_xds::grpc::{framed, Code};
use oatlever_xds::{methods, Desk, Load};
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

/// Zone, address, and part of the whole of each endpoint.
fn lines(assignment: &ClusterLoadAssignment) -> Vec<(String, String, f64)> {
    let all: f64 =
        assignment.endpoints.iter().map(|zone| f64::from(zone.load_balancing_weight.unwrap().value)).sum();
    let mut out = Vec::new();
    for zone in &assignment.endpoints {
        let name = zone.locality.as_ref().unwrap().zone.clone();
        for endpoint in &zone.lb_endpoints {
            let Some(lb_endpoint::HostIdentifier::Endpoint(one)) = &endpoint.host_identifier else {
                panic!()
            };
            let Some(address::Address::SocketAddress(at)) = &one.address.as_ref().unwrap().address else {
                panic!()
            };
            let part = f64::from(endpoint.load_balancing_weight.unwrap().value) / all;
            out.push((name.clone(), at.address.clone(), (part * 100.0).round() / 100.0));
        }
    }
    out
}

/// From the listener's name alone to endpoints with weights, levels and the one retry that is allowed.
#[test]
fn a_client_finds_its_way_from_the_listener_alone() {
    play(|play| async move {
        let mut call = Call::discover(&play, "relay-0", &url("listener.v3.Listener"), &["search"]).await;
        let listener: Listener = decode(&call.take(&["search"]).await);
        let api = listener.api_listener.unwrap().api_listener.unwrap();
        let connections = manager::HttpConnectionManager::decode(&api.value[..]).unwrap();
        let Some(manager::http_connection_manager::RouteSpecifier::Rds(rds)) = connections.route_specifier
        else {
            panic!("no routes")
        };
        let mut retries = Vec::new();
        let routes = url("route.v3.RouteConfiguration");
        let both = [rds.route_config_name.as_str(), "reserve"];
        call.sender.send(request("", &routes, &both, "")).await.unwrap();
        let response = call.take(&both).await;
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
        // A class that must not run twice is never tried again, whatever was ordered.
        assert_eq!(retries, [("reserve".into(), None), ("search".into(), None)]);
        assert!(["search", "reserve"].contains(&cluster.as_str()));
        call.sender.send(request("", &url("cluster.v3.Cluster"), &["search"], "")).await.unwrap();
        let cluster: Cluster = decode(&call.take(&["search"]).await);
        let service = cluster.eds_cluster_config.unwrap().service_name;
        call.sender.send(request("", &endpoints(), &[&service, "reserve"], "")).await.unwrap();
        let response = call.take(&[&service, "reserve"]).await;
        let of = |name: &str| {
            let all = response.resources.iter().map(|r| ClusterLoadAssignment::decode(&r.value[..]).unwrap());
            all.into_iter().find(|a| a.cluster_name == name).unwrap()
        };
        let wanted = [
            ("zone-0".to_string(), "10.0.0.0".to_string(), 0.25),
            ("zone-1".into(), "10.0.0.1".into(), 0.75),
        ];
        assert_eq!(lines(&of("search")), wanted);
        let drops = of("reserve").policy.unwrap().drop_overloads;
        assert_eq!(drops[0].drop_percentage.unwrap().numerator, 250_000);
        assert!(of("search").policy.unwrap().drop_overloads.is_empty());
        // All that it subscribed to is taken: the acknowledgement of what it was bound with may go.
        let book = play.book.clone();
        book.until("an acknowledgement", |state| !state.tables.borrow_mut().acknowledgements(1e9).is_empty())
            .await;
    });
}

/// A refusal is logged with its reason, gives no acknowledgement, and is not answered with the same again; the next
/// change goes out.
#[test]
fn a_refusal_keeps_the_books_and_does_not_loop() {
    play(|play| async move {
        let mut call = Call::discover(&play, "relay-0", &endpoints(), &["search"]).await;
        let first = call.next().await;
        let error = RpcStatus { code: 3, message: "weights of a bad sum".into(), ..Default::default() };
        let refusal = DiscoveryRequest {
            type_url: endpoints(),
            resource_names: vec!["search".into()],
            response_nonce: first.nonce,
            error_detail: Some(error),
            ..Default::default()
        };
        call.sender.send(framed(&refusal)).await.unwrap();
        let book = play.book.clone();
        book.until("the refusal", |state| !state.refused.borrow().is_empty()).await;
        assert_eq!(*book.0.refused.borrow(), ["weights of a bad sum"]);
        let pushes = play.shared.counts.borrow().pushes;
        book.0.changed.notify(usize::MAX);
        Timer::after(Duration::from_millis(50)).await;
        assert_eq!(play.shared.counts.borrow().pushes, pushes, "the same was sent again");
        assert!(
            book.0.tables.borrow_mut().acknowledgements(1e9).is_empty() && book.0.told.borrow().is_empty()
        );
        // It has answered, so patience does not cut it off: it would only dial and refuse again.
        Timer::after(Duration::from_secs_f64(2.0 * PATIENCE)).await;
        assert_eq!(*book.0.up.borrow(), [(0, true)]);
        book.order(|tables| tables.set_weight(0, server(1), 1.0));
        let next = call.take(&["search"]).await;
        assert_eq!(lines(&decode(&next)).len(), 2);
        let version = book.version();
        book.until("the ACK", |state| state.told.borrow().contains(&(0, version))).await;
    });
}

/// One that does not read holds nobody up, grows no memory, and is cut off; versions it missed are skipped.
#[test]
fn a_slow_reader_is_cut_off_and_holds_nobody_up() {
    play(|play| async move {
        let slow = Call::discover(&play, "relay-0", &endpoints(), &["search"]).await;
        let mut quick = Call::discover(&play, "relay-2", &endpoints(), &["search"]).await;
        quick.take(&["search"]).await;
        let book = play.book.clone();
        for n in 0..200u8 {
            book.order(|tables| tables.set_weight(0, server(n % 50), f64::from(n) + 10.0));
            let response = quick.take(&["search"]).await;
            assert!(!lines(&decode(&response)).is_empty());
        }
        let version = book.version();
        book.until("the last version", |state| state.told.borrow().contains(&(2, version))).await;
        book.until("the cut", |state| state.up.borrow().contains(&(0, false))).await;
        // What waits for the one that was cut off is dropped, so that the others' acknowledgements go on.
        let acknowledgements = book.0.tables.borrow_mut().acknowledgements(1e9);
        assert!(
            acknowledgements.iter().all(|acknowledgement| acknowledgement.proxy == 2)
                && acknowledgements.len() > 100,
            "{}",
            acknowledgements.len()
        );
        assert_eq!(book.0.tables.borrow().pull.waiting(), 0.0);
        let pushed = play.shared.counts.borrow().pushes;
        assert!(pushed <= 203, "{pushed} responses: more than one went to the slow one");
        drop(slow);
    });
}

#[test]
fn strangers_and_nonsense_are_refused() {
    play(|play| async move {
        let call = Call::discover(&play, "somebody", &endpoints(), &["search"]).await;
        assert_eq!(call.status, Some(Code::PermissionDenied as u16));
        let call = Call::start(&play, "/grpc.health.v1.Health/Check", Bytes::new()).await;
        assert_eq!(call.status, Some(Code::Unimplemented as u16));
        let noise: Vec<u8> = (0..200u8).map(|n| n.wrapping_mul(37)).collect();
        for bytes in
            [vec![0, 0, 0, 0, 3, 255, 255, 255], vec![1, 0, 0, 0, 1, 0], vec![0, 255, 255, 255, 255], noise]
        {
            let call = Call::start(&play, methods::STATE, bytes.into()).await;
            assert!(call.status.is_some_and(|status| status > 0));
        }
        let mut call = Call::discover(&play, "relay-0", "type.googleapis.com/unknown", &[]).await;
        assert!(call.ended().await);
        let many: Vec<String> = (0..5000).map(|n| format!("n{n}")).collect();
        let many: Vec<&str> = many.iter().map(String::as_str).collect();
        let mut call = Call::discover(&play, "relay-0", &endpoints(), &many).await;
        assert!(call.ended().await);
        // Bytes that are no HTTP/2 at all, and a connection that says nothing.
        let mut raw = Async::<TcpStream>::connect(play.host).await.unwrap();
        raw.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let silent = Async::<TcpStream>::connect(play.host).await.unwrap();
        let mut good = Call::discover(&play, "relay-4", &endpoints(), &["search"]).await;
        assert_eq!(lines(&decode(&good.take(&["search"]).await)).len(), 2);
        let ups: Vec<_> = play.book.0.up.borrow().iter().filter(|(asker, _)| *asker == 0).copied().collect();
        assert_eq!(ups, [(0, true), (0, false), (0, true), (0, false)]);
        let mut silent = silent;
        let mut byte = [0; 64];
        while !matches!(silent.read(&mut byte).await, Ok(0) | Err(_)) {}
    });
}

/// One that holds a stream and never asks for lines would keep an old table past any drain.
#[test]
fn a_proxy_that_never_asks_for_lines_is_cut_off() {
    play(|play| async move {
        let mut call = Call::discover(&play, "relay-0", &url("cluster.v3.Cluster"), &[]).await;
        call.take(&[]).await;
        assert!(call.ended().await);
        play.book.until("the cut", |state| *state.up.borrow() == [(0, true), (0, false)]).await;
    });
}

/// A node that dials again while its old stream hangs half open takes its place.
#[test]
fn a_newer_stream_of_a_node_replaces_the_older() {
    play(|play| async move {
        let mut old = Call::discover(&play, "relay-6", &endpoints(), &["search"]).await;
        old.take(&["search"]).await;
        let mut new = Call::discover(&play, "relay-6", &endpoints(), &["search"]).await;
        new.take(&["search"]).await;
        assert!(old.ended().await);
        play.book.order(|tables| tables.set_weight(0, server(1), 9.0));
        assert_eq!(lines(&decode(&new.take(&["search"]).await))[1].2, 0.9);
        assert_eq!(*play.book.0.up.borrow(), [(6, true), (6, false), (6, true)]);
        assert_eq!(play.shared.streams(), 1);
    });
}

/// 480 proxies dial within a moment; each ends with the last version, by ACK.
///
/// They share one thread with the front. With the 0.6 s that other tests let proxies owe an answer, the front ended most
/// of them on a busy machine, as it should: beside 64 busy loops three runs of six failed, each with 480 streams broken
/// or ended; with 10 s none of six did. How late a proxy may be is not what is tried here.
#[test]
fn a_storm_of_streams_ends_with_everybody_current() {
    play_patiently(|play| async move {
        let all = (0..480).map(|n| {
            let of = play.clone();
            play.executor.spawn(async move {
                let mut call =
                    Call::discover(&of, &format!("relay-{n}"), &endpoints(), &["search", "reserve"]).await;
                loop {
                    call.take(&["search", "reserve"]).await;
                }
            })
        });
        let all: Vec<async_executor::Task<()>> = all.collect();
        let book = play.book.clone();
        book.until("all streams", |state| state.up.borrow().len() == 480).await;
        book.order(|tables| (0..2u16).for_each(|table| tables.set_weight(table, server(40), 2.0)));
        let version = book.version();
        book.until("everybody's ACK", |state| {
            state.told.borrow().iter().filter(|(_, held)| *held >= version).count() == 480
        })
        .await;
        let left = book.0.tables.borrow_mut().acknowledgements(1e9).len();
        assert!(left >= 480 && book.0.tables.borrow().pull.waiting() == 0.0, "{left} acknowledgements");
        drop(all);
    });
}

#[test]
fn load_reports_are_read() {
    play(|play| async move {
        let node = Some(Node { id: "relay-1".into(), ..Default::default() });
        let first = LoadStatsRequest { node, ..Default::default() };
        let mut call = Call::start(&play, methods::LOAD, framed(&first)).await;
        let wanted: LoadStatsResponse = call.reader.next().await.unwrap().unwrap();
        assert!(wanted.send_all_clusters && wanted.report_endpoint_granularity);
        let cluster = |seconds| ClusterStats {
            cluster_name: "search".into(),
            total_dropped_requests: 4,
            load_report_interval: Some(ProtoDuration { seconds, nanos: 0 }),
            ..Default::default()
        };
        let stats = LoadStatsRequest { cluster_stats: vec![cluster(2), cluster(0)], ..Default::default() };
        call.sender.send(framed(&stats)).await.unwrap();
        play.book.until("the report", |state| !state.loads.borrow().is_empty()).await;
        let wanted = Load { cluster: "search".into(), came: 4.0, span: 2.0, servers: Vec::new() };
        assert_eq!(*play.book.0.loads.borrow(), [wanted], "one that covers no time measured nothing");
    });
}

/// Digests in versions tell a proxy that holds all from one that missed a change, whichever way it missed it.
#[test]
fn a_digest_tells_that_a_change_was_missed() {
    let digest = |held: &BTreeMap<String, u64>| {
        let mut hasher = SipHasher24::new();
        for (name, number) in held {
            hasher.write(&[name.as_bytes(), &[0], &number.to_le_bytes()].concat());
        }
        format!("{:016x}", hasher.finish())
    };
    play(|play| async move {
        let both = vec!["search".to_string(), "reserve".into()];
        let request = |node: &str, names: &[String], nonce: &str| {
            framed(&DeltaDiscoveryRequest {
                node: (!node.is_empty()).then(|| Node { id: node.into(), ..Default::default() }),
                type_url: endpoints(),
                resource_names_subscribe: names.to_vec(),
                response_nonce: nonce.into(),
                ..Default::default()
            })
        };
        let mut call = Call::start(&play, methods::DELTA, request("relay-0", &both, "")).await;
        let (mut held, mut missed) = (BTreeMap::new(), BTreeMap::new());
        for round in 0..20u8 {
            let response: DeltaDiscoveryResponse = call.reader.next().await.unwrap().unwrap();
            for (place, resource) in response.resources.iter().enumerate() {
                let mut parts = resource.version.split('.').skip(1);
                let number: u64 = parts.next().unwrap().parse().unwrap();
                let mut hasher = SipHasher24::new();
                hasher.write(&resource.resource.as_ref().unwrap().value);
                assert_eq!(parts.next(), Some(&*format!("{:016x}", hasher.finish())));
                held.insert(resource.name.clone(), number);
                if (round, place) != (7, 1) {
                    missed.insert(resource.name.clone(), number);
                }
            }
            let told = response.system_version_info.rsplit('.').next().unwrap().to_string();
            assert_eq!(digest(&held), told);
            assert_eq!(digest(&missed) == told, round != 7, "round {round}");
            if round == 7 {
                missed.clone_from(&held);
            }
            call.sender.send(request("", &[], &response.nonce)).await.unwrap();
            play.book.order(|tables| tables.set_weight(0, server(1), 5.0 + f64::from(round)));
        }
    });
}

/// A rollback comes while a newer change is still under way to a proxy that is slow to answer: the change is
/// answered first, then the old lines come, and the books end at the rollback.
#[test]
fn a_rollback_overtakes_nothing() {
    play(|play| async move {
        play.book.0.tables.borrow_mut().keep_versions(10);
        let mut call = Call::discover(&play, "relay-0", &endpoints(), &["search"]).await;
        let first = lines(&decode(&call.take(&["search"]).await));
        play.book.order(|tables| tables.set_weight(0, server(0), 9.0));
        let newer = call.next().await;
        assert_ne!(lines(&decode(&newer)), first);
        let back = play.book.0.tables.borrow_mut().roll_back(0, 1, play.book.now(), &mut Unreviewed).unwrap();
        play.book.0.changed.notify(usize::MAX);
        play.book.order(|tables| tables.set_weight(0, server(1), 8.0));
        call.sender.send(request("", &newer.type_url, &["search"], &newer.nonce)).await.unwrap();
        assert_eq!(lines(&decode(&call.take(&["search"]).await)), first);
        play.book
            .until("the rollback's ACK", |state| {
                state.told.borrow().iter().any(|(asker, held)| *asker == 0 && *held >= back)
            })
            .await;
        let mut tables = play.book.0.tables.borrow_mut();
        assert_eq!((tables.acknowledgements(1e9).len(), tables.pull.waiting()), (3, 0.0));
    });
}

/// Reads a byte at a time, with a pause before each.
struct Trickle {
    socket: Async<TcpStream>,
    pause: Timer,
}

const BETWEEN_BYTES: Duration = Duration::from_millis(100);

impl AsyncRead for Trickle {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>> {
        if Pin::new(&mut self.pause).poll(cx).is_pending() {
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.socket).poll_read(cx, &mut into[..1]);
        if read.is_ready() {
            self.pause = Timer::after(BETWEEN_BYTES);
        }
        read
    }
}

impl AsyncWrite for Trickle {
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

/// Half of the proxies read a byte now and then: the others are told every change at once, the slow ones are
/// cut off within the patience, and what waited for them is dropped.
#[test]
fn half_of_the_proxies_read_a_byte_at_a_time() {
    play(|play| async move {
        let slow: Vec<_> = (0..20)
            .map(|n| {
                let of = play.clone();
                play.executor.spawn(async move {
                    let socket = Async::<TcpStream>::connect(of.host).await.unwrap();
                    let socket = Trickle { socket, pause: Timer::after(BETWEEN_BYTES) };
                    let first = request(&format!("relay-{}", 2 * n + 1), &endpoints(), &["search"], "");
                    // The connection's own settings come as slowly: most never hear so much as a response.
                    drop(Call::over(socket, &of, methods::STATE, first).await);
                    std::future::pending::<()>().await;
                })
            })
            .collect();
        let quick: Vec<async_executor::Task<()>> = (0..20)
            .map(|n| {
                let of = play.clone();
                play.executor.spawn(async move {
                    let node = format!("relay-{}", 2 * n);
                    let mut call = Call::discover(&of, &node, &endpoints(), &["search"]).await;
                    loop {
                        call.take(&["search"]).await;
                    }
                })
            })
            .collect();
        let book = play.book.clone();
        let up = |state: &State| state.up.borrow().iter().filter(|(_, up)| *up).count();
        book.until("all streams", |state| up(state) == 40).await;
        for n in 0..5u8 {
            book.order(|tables| (0..2).for_each(|table| tables.set_weight(table, server(n), 5.0)));
        }
        let version = book.version();
        let current = |state: &State| {
            let told = state.told.borrow();
            told.iter().filter(|(asker, held)| asker % 2 == 0 && *held >= version).count()
        };
        book.until("the quick ones' ACKs", |state| current(state) >= 20).await;
        let off = |state: &State| state.up.borrow().iter().filter(|(_, up)| !up).count();
        book.until("the slow ones' end", |state| off(state) == 20).await;
        assert!(book.0.up.borrow().iter().all(|(asker, up)| *up || asker % 2 == 1));
        let mut tables = book.0.tables.borrow_mut();
        assert!(tables.acknowledgements(1e9).iter().all(|acknowledgement| acknowledgement.proxy % 2 == 0));
        assert_eq!(tables.pull.waiting(), 0.0);
        drop((slow, quick));
    });
}

/// What peers may send, changed at random: the front refuses or takes it, stays bounded, and goes on serving.
#[test]
fn messages_changed_at_random_do_no_harm() {
    play(|play| async move {
        let mut chance = fastrand::Rng::with_seed(11);
        let whole = [
            request("relay-3", &endpoints(), &["search", "reserve"], "1"),
            framed(&DeltaDiscoveryRequest {
                node: Some(Node { id: "relay-3".into(), ..Default::default() }),
                type_url: endpoints(),
                resource_names_subscribe: vec!["*".into(), "search".into()],
                initial_resource_versions: [("search".to_string(), "9.1.0".to_string())].into(),
                ..Default::default()
            }),
            framed(&LoadStatsRequest {
                node: Some(Node { id: "relay-3".into(), ..Default::default() }),
                cluster_stats: vec![ClusterStats { cluster_name: "search".into(), ..Default::default() }],
            }),
        ];
        let paths = [methods::STATE, methods::DELTA, methods::LOAD];
        let mut all = Vec::new();
        for n in 0..300 {
            let mut bytes = whole[n % 3].to_vec();
            for _ in 0..chance.usize(1..6) {
                let place = chance.usize(..bytes.len());
                match chance.u8(..3) {
                    0 => bytes[place] = chance.u8(..),
                    1 => bytes.truncate(place.max(1)),
                    _ => bytes.insert(place, chance.u8(..)),
                }
            }
            let of = play.clone();
            all.push(play.executor.spawn(async move {
                let mut call = Call::start(&of, paths[n / 3 % 3], bytes.into()).await;
                call.sender.close();
                // A response, perhaps, and then the end.
                assert!(call.status.is_some() || call.ended().await || call.ended().await, "{n}");
            }));
        }
        for one in all {
            one.await;
        }
        let mut good = Call::discover(&play, "relay-4", &endpoints(), &["search"]).await;
        assert_eq!(lines(&decode(&good.take(&["search"]).await)).len(), 2);
        play.book.until("only the good one", |_| play.shared.streams() == 1).await;
    });
}
