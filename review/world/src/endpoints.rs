//! Endpoints: HTTP servers with cores, a queue and a cold start, which note each request.

use crate::record::Record;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// A request as an endpoint read it: when, which endpoint, which proxy.
#[derive(Clone)]
pub struct Arrival {
    pub at: f64,
    pub endpoint: String,
    pub proxy: usize,
}

/// What an endpoint can do.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub cores: usize,
    /// Work of a request, in seconds of a core of speed 1.
    pub work: f64,
    pub speed: f64,
    /// Requests that may wait for a core; one more is refused, unread by any core.
    pub queue: usize,
    /// Share of its capacity at the start, and seconds until it has all of it.
    pub cold_share: f64,
    pub warm_after: f64,
    /// Multiple of its present capacity, and seconds of it, at which a cold one falls over and stays down.
    pub fall: Option<(f64, f64)>,
}

impl Machine {
    /// Requests a second that it can do at an age.
    pub fn capacity(&self, age: f64) -> f64 {
        let warm = (self.cold_share + (1.0 - self.cold_share) * age / self.warm_after).min(1.0);
        warm * self.speed * self.cores as f64 / self.work
    }

    /// Requests that it may be sent in the window of the rule on cold endpoints that ends at an age, with a slack for
    /// chance of two requests and a tenth.
    pub fn budget(&self, age: f64) -> f64 {
        let (multiple, window) = self.fall.unwrap_or((f64::INFINITY, 1.0));
        multiple * self.capacity(age) * window * 1.1 + 2.0
    }
}

#[derive(Default)]
struct Load {
    /// Cores at work.
    busy: usize,
    /// Requests that wait for a core, in order.
    waiting: VecDeque<u64>,
    next: u64,
    /// Arrivals within the window of the rule on cold endpoints.
    recent: VecDeque<f64>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    pub machine: Machine,
    /// When its process started; far before the run for those that were there before.
    pub started: f64,
    down: Arc<AtomicBool>,
    load: Arc<(Mutex<Load>, Condvar)>,
    fell_at: Arc<Mutex<Option<f64>>>,
}

impl Endpoint {
    pub fn start(
        id: &str,
        machine: Machine,
        started: f64,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Endpoint {
        Self::start_at("127.0.0.1:0".parse().expect("an address"), id, machine, started, arrivals, record)
    }

    /// Starts it at an address, as the process of a machine that has one.
    pub fn start_at(
        at: SocketAddr,
        id: &str,
        machine: Machine,
        started: f64,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Endpoint {
        let listener = TcpListener::bind(at).unwrap();
        let endpoint = Endpoint {
            id: id.to_string(),
            address: listener.local_addr().unwrap(),
            machine,
            started,
            down: Arc::default(),
            load: Arc::default(),
            fell_at: Arc::default(),
        };
        record.line(&format!("endpoint {id}: {machine:?}, started at {started:.3} s"));
        let (own, arrivals, record) = (endpoint.clone(), arrivals.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.down.load(Ordering::Relaxed) {
                    return;
                }
                let (own, arrivals, record) = (own.clone(), arrivals.clone(), record.clone());
                let thread = std::thread::Builder::new().stack_size(128 << 10);
                let _ = thread.spawn(move || own.answer(stream, &arrivals, &record));
            }
        });
        endpoint
    }

    /// Ends the process: it accepts nothing from now on.
    pub fn end(&self) {
        self.down.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }

    /// When it fell over, if it did.
    pub fn fell_at(&self) -> Option<f64> {
        *self.fell_at.lock().unwrap()
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Waits for a core; false if the request is refused unread, or if its client has gone before it had one: work that
    /// waits is dropped when it is cancelled.
    fn take(&self, now: f64, stream: &TcpStream, record: &Record) -> Option<bool> {
        let (machine, age) = (self.machine, now - self.started);
        let mut load = self.load.0.lock().unwrap();
        if let Some((_, window)) = machine.fall.filter(|_| age < machine.warm_after) {
            load.recent.push_back(now);
            load.recent.retain(|at| now - at < window);
            if load.recent.len() as f64 > machine.budget(age) && !self.is_down() {
                let text = format!(
                    "endpoint {} falls over at an age of {age:.3} s: {} requests in {window} s, and it can do {:.2} a second",
                    self.id,
                    load.recent.len(),
                    machine.capacity(age)
                );
                record.say(&text);
                *self.fell_at.lock().unwrap() = Some(now);
                self.end();
                return None;
            }
        }
        if load.waiting.len() >= machine.queue {
            return None;
        }
        let own = load.next;
        load.next += 1;
        load.waiting.push_back(own);
        while load.waiting.front() != Some(&own) || load.busy >= machine.cores {
            load = self.load.1.wait(load).unwrap();
        }
        load.waiting.pop_front();
        let gone = stream.set_nonblocking(true).is_ok() && matches!(stream.peek(&mut [0; 1]), Ok(0));
        let _ = stream.set_nonblocking(false);
        load.busy += usize::from(!gone);
        self.load.1.notify_all();
        Some(!gone)
    }

    /// Works on a request, and lets the next one have the core.
    fn work(&self, record: &Record) {
        let now = record.now();
        record.sleep_until(now + self.machine.cores as f64 / self.machine.capacity(now - self.started));
        self.load.0.lock().unwrap().busy -= 1;
        self.load.1.notify_all();
    }

    fn answer(
        &self,
        stream: TcpStream,
        arrivals: &Mutex<Vec<Arrival>>,
        record: &Record,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        let mut reader = BufReader::new(&stream);
        let (mut request, mut header) = (String::new(), String::new());
        reader.read_line(&mut request)?;
        while reader.read_line(&mut header)? > 2 {
            header.clear();
        }
        let proxy = request.split("proxy=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        if let Some(proxy) = proxy {
            let at = record.now();
            record.line(&format!("endpoint {}: a request of proxy {proxy} has come", self.id));
            arrivals.lock().unwrap().push(Arrival { at, endpoint: self.id.clone(), proxy });
            match self.take(at, &stream, record) {
                Some(true) => {
                    record.line(&format!("endpoint {}: a request of proxy {proxy} is run", self.id));
                    self.work(record);
                }
                Some(false) => {
                    record.line(&format!(
                        "endpoint {}: a request of proxy {proxy} is dropped, given up",
                        self.id
                    ));
                    return Ok(());
                }
                None => {
                    record.line(&format!("endpoint {}: a request of proxy {proxy} is refused", self.id));
                    let refusal = b"HTTP/1.1 503 Full\r\nx-unprocessed: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                    return (&stream).write_all(refusal);
                }
            }
            if self.is_down() {
                return Ok(());
            }
        }
        (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok")
    }
}
