//! What is waited for comes, once for each time that it comes, and nothing else runs beside it.

use async_executor::LocalExecutor;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oatlever_reactor::{block_on, Async, Timer};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dialled = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (dialled, listener.accept().unwrap().0)
}

#[test]
fn timers_come_in_their_order_and_those_let_go_do_not() {
    let order = block_on(async {
        let millis = |n| Timer::after(Duration::from_millis(n));
        let mut order = Vec::new();
        // The longer one is let go as the shorter one comes.
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
        let begun = Instant::now();
        millis(20).await;
        assert!(begun.elapsed() >= Duration::from_millis(20));
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

/// Guards against a word that comes between a try to read and the wait for it, and against one that is told
/// only once although it is only half read.
#[test]
fn nothing_that_comes_between_a_try_and_the_wait_is_lost() {
    let (mut far, near) = pair();
    block_on(async {
        let near = Async::new(near).unwrap();
        let mut buffer = [0; 4];
        for n in 0..100_u32 {
            let tried = near.get_ref().read(&mut buffer);
            assert_eq!(tried.unwrap_err().kind(), ErrorKind::WouldBlock);
            far.write_all(&n.to_be_bytes()).unwrap();
            let (mut got, mut at) = ([0; 4], 0);
            while at < 4 {
                at += near.read_with(|mut near| near.read(&mut got[at..=at])).await.unwrap();
            }
            assert_eq!(u32::from_be_bytes(got), n);
        }
        drop(far);
        assert_eq!(near.read_with(|mut near| near.read(&mut buffer)).await.unwrap(), 0);
    })
    .unwrap();
}

/// More than any buffer holds goes both ways at once, by tasks that wait for one another.
#[test]
fn both_sides_of_a_connection_are_waited_for_at_once() {
    const BYTES: usize = 8 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.run(async {
        let listener = Async::new(listener).unwrap();
        let served = executor.spawn(async move {
            let (stream, _) = listener.read_with(|listener| listener.accept()).await.unwrap();
            let mut stream = Async::new(stream).unwrap();
            let mut all = vec![0; BYTES];
            stream.read_exact(&mut all).await.unwrap();
            stream.write_all(&all).await.unwrap();
        });
        let mut stream = Async::<TcpStream>::connect(to, None).await.unwrap();
        stream.write_all(&vec![7; BYTES]).await.unwrap();
        let mut back = vec![0; BYTES];
        stream.read_exact(&mut back).await.unwrap();
        assert!(back.iter().all(|byte| *byte == 7));
        served.await;
    }))
    .unwrap();
}

#[test]
fn a_connection_that_is_refused_says_so() {
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let refused = block_on(Async::<TcpStream>::connect(nobody, None)).unwrap();
    assert_eq!(refused.err().expect("nobody is there").kind(), ErrorKind::ConnectionRefused);
}
