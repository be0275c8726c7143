//! Timers, readiness of sockets and connecting on the single-threaded reactor.

use async_executor::LocalExecutor;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oatlever_reactor::{block_on, Async, Timer};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

#[test]
fn timers_complete_in_order_and_dropped_ones_do_not() {
    let order = block_on(async {
        let millis = |n| Timer::after(Duration::from_millis(n));
        let mut order = Vec::new();
        // The longer timer is dropped when the shorter one completes.
        order.push(
            future::or(
                async {
                    millis(60_000).await;
                    1
                },
                async {
                    millis(5).await;
                    2
                },
            )
            .await,
        );
        let start = Instant::now();
        millis(20).await;
        assert!(start.elapsed() >= Duration::from_millis(20));
        order.push(
            future::or(
                async {
                    Timer::after(Duration::MAX).await;
                    3
                },
                async {
                    millis(0).await;
                    4
                },
            )
            .await,
        );
        order
    });
    assert_eq!(order.unwrap(), [2, 4]);
}

/// Events are edge-triggered. Data that arrives between a failed read and the wait must wake the task, and so
/// must data that an earlier read has left in the socket.
#[test]
fn data_that_arrives_between_a_read_and_the_wait_is_not_missed() {
    let (mut far, near) = pair();
    block_on(async {
        let near = Async::new(near).unwrap();
        let mut buffer = [0; 4];
        for n in 0..100_u32 {
            let result = near.get_ref().read(&mut buffer);
            assert_eq!(result.unwrap_err().kind(), ErrorKind::WouldBlock);
            far.write_all(&n.to_be_bytes()).unwrap();
            let (mut received, mut at) = ([0; 4], 0);
            while at < 4 {
                at += near.read_with(|mut near| near.read(&mut received[at..=at])).await.unwrap();
            }
            assert_eq!(u32::from_be_bytes(received), n);
        }
        drop(far);
        assert_eq!(near.read_with(|mut near| near.read(&mut buffer)).await.unwrap(), 0);
    })
    .unwrap();
}

/// Two tasks on one thread exchange more data than socket buffers hold.
#[test]
fn two_tasks_exchange_more_than_the_socket_buffers() {
    const BYTES: usize = 8 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.run(async {
        let listener = Async::new(listener).unwrap();
        let server = executor.spawn(async move {
            let (stream, _) = listener.read_with(|listener| listener.accept()).await.unwrap();
            let mut stream = Async::new(stream).unwrap();
            let mut all = vec![0; BYTES];
            stream.read_exact(&mut all).await.unwrap();
            stream.write_all(&all).await.unwrap();
        });
        let mut stream = Async::<TcpStream>::connect(to, None).await.unwrap();
        stream.write_all(&vec![7; BYTES]).await.unwrap();
        let mut echoed = vec![0; BYTES];
        stream.read_exact(&mut echoed).await.unwrap();
        assert!(echoed.iter().all(|byte| *byte == 7));
        server.await;
    }))
    .unwrap();
}

#[test]
fn a_refused_connection_fails() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let result = block_on(Async::<TcpStream>::connect(closed, None)).unwrap();
    assert_eq!(result.err().expect("the port is closed").kind(), ErrorKind::ConnectionRefused);
}
