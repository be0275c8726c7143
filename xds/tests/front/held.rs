//! A server whose thread stands still, as on a machine that is too busy.

use crate::harness::{request, run, server_address, type_url, RESPONSE_TIMEOUT, TEST_TIMEOUT};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use oatlever::round::Writer;
use oatlever_xds::grpc::Reader;
use oatlever_xds::{call, methods};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};
use xds_api::pb::envoy::service::discovery::v3::DiscoveryResponse;

/// Follows the endpoints of a class with an executor of its own, and reports each response before it acknowledges it,
/// which it does when `proceed` says so. Ends with the stream.
fn follow_endpoints(host: SocketAddr, received: Sender<()>, proceed: Receiver<()>) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let url = type_url("endpoint.v3.ClusterLoadAssignment");
        let socket = Async::<TcpStream>::connect(host).await.unwrap();
        let (sender, requests) = async_channel::unbounded();
        sender.try_send(request("relay-0", &url, &["search"], "")).unwrap();
        let path = methods::STREAM_AGGREGATED_RESOURCES;
        let (response, _connection) = call(socket, (host, path), requests, &executor).await.unwrap();
        let mut reader = Reader::new(response.into_body(), 1 << 20);
        while let Ok(Some(response)) = reader.next::<DiscoveryResponse>().await {
            // The test may have ended.
            if received.send(()).is_err() || proceed.recv_timeout(TEST_TIMEOUT).is_err() {
                return;
            }
            sender.send(request("", &url, &["search"], &response.nonce)).await.unwrap();
        }
    }));
}

/// A server that stood still for longer than the response timeout ended streams whose answers lay unread, and their
/// proxies had to connect again.
#[test]
fn an_answer_that_arrived_while_the_server_stood_still_counts() {
    run(|fixture| async move {
        let ((received, responses), (proceed, permits)) = (channel(), channel());
        let host = fixture.host;
        let client = std::thread::spawn(move || follow_endpoints(host, received, permits));
        for round in 0..6 {
            let started = Instant::now();
            while responses.try_recv().is_err() {
                assert!(!client.is_finished(), "the stream has ended in round {round}");
                assert!(started.elapsed() < TEST_TIMEOUT, "no response in round {round}");
                Timer::after(Duration::from_millis(5)).await;
            }
            proceed.send(()).unwrap();
            // Blocks the server's thread.
            std::thread::sleep(Duration::from_secs_f64(2.0 * RESPONSE_TIMEOUT));
            let weight = 2.0 + f64::from(round);
            fixture.backend.change_tables(|tables| tables.set_weight(0, server_address(0), weight));
        }
        drop((responses, proceed));
    });
}
