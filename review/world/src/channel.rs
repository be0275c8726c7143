//! The channel of a pilot: messages leave one after the other at a stated pace and arrive later, in order.

use crate::json::Json;
use crate::proxies::Proxy;
use crate::record::{Random, Record};
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Clone, Copy)]
pub struct Pace {
    pub lines_per_second: f64,
    pub header_lines: f64,
    /// Seconds that a message takes from the channel to its proxy.
    pub least_way: f64,
    pub most_way: f64,
}

struct Waiting {
    proxy: Arc<Proxy>,
    /// The stream that brought it; what waits is lost when that breaks.
    stream: u64,
    parts: Vec<Json>,
    lines: f64,
}

struct Arriving {
    at: f64,
    number: u64,
    message: Waiting,
}

impl PartialEq for Arriving {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Arriving {}
impl PartialOrd for Arriving {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Arriving {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

#[derive(Default)]
struct State {
    waiting: VecDeque<Waiting>,
    travelling: BinaryHeap<Arriving>,
}

#[derive(Clone)]
pub struct Channel {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Channel {
    pub fn start(pace: Pace, seed: u64, record: &Record) -> Channel {
        let channel = Channel { state: Arc::default() };
        let (sending, own) = (channel.clone(), record.clone());
        std::thread::spawn(move || sending.send(pace, seed, &own));
        let (arriving, own) = (channel.clone(), record.clone());
        std::thread::spawn(move || arriving.deliver(&own));
        channel
    }

    /// A message has come in whole.
    pub fn enter(&self, proxy: &Arc<Proxy>, stream: u64, parts: Vec<Json>, header_lines: f64) {
        let count = |part: &Json| {
            let list = |key| part.get(key).items().len();
            let one = |key| usize::from(*part.get(key) != Json::Null);
            list("endpoints")
                + list("eject")
                + list("restore")
                + one("admit")
                + one("nonce_out")
                + one("full")
        };
        let lines = header_lines + parts.iter().map(count).sum::<usize>() as f64;
        let mut state = self.state.0.lock().unwrap();
        state.waiting.push_back(Waiting { proxy: proxy.clone(), stream, parts, lines });
        self.state.1.notify_all();
    }

    fn send(&self, pace: Pace, seed: u64, record: &Record) {
        let (mut random, mut number) = (Random(seed), 0);
        let mut last: BTreeMap<usize, f64> = BTreeMap::new();
        let mut free_at = 0.0f64;
        loop {
            let mut state = self.state.0.lock().unwrap();
            while state.waiting.is_empty() {
                state = self.state.1.wait(state).unwrap();
            }
            let front = state.waiting.front().expect("a message");
            if !front.proxy.is_on(front.stream) {
                state.waiting.pop_front();
                continue;
            }
            let leaves = free_at.max(record.now()) + front.lines / pace.lines_per_second;
            drop(state);
            record.sleep_until(leaves);
            free_at = leaves;
            let mut state = self.state.0.lock().unwrap();
            let message = state.waiting.pop_front().expect("only this thread takes from it");
            let at = leaves + random.between(pace.least_way, pace.most_way);
            let at = at.max(*last.get(&message.proxy.number).unwrap_or(&0.0));
            last.insert(message.proxy.number, at);
            number += 1;
            state.travelling.push(Arriving { at, number, message });
            self.state.1.notify_all();
        }
    }

    fn deliver(&self, record: &Record) {
        loop {
            let mut state = self.state.0.lock().unwrap();
            let now = record.now();
            match state.travelling.peek() {
                Some(first) if first.at <= now => {
                    let message = state.travelling.pop().expect("a message").message;
                    drop(state);
                    message.proxy.apply(message.stream, &message.parts);
                }
                Some(first) => {
                    let left = Duration::from_secs_f64(first.at - now);
                    drop(self.state.1.wait_timeout(state, left).unwrap());
                }
                None => drop(self.state.1.wait(state).unwrap()),
            }
        }
    }
}
