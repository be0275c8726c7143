//! Reads each target once a period, spread over it, so many at a time.

use crate::text::Text;
use async_io::Timer;
use futures_lite::{future, StreamExt};
use futures_util::stream::FuturesUnordered;
use oatlever::round::Address;
use oatlever_fetch as fetch;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Whose counters are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    Asker(u16),
    Server(Address),
}

/// Who wants to know.
pub trait Desk {
    /// Counts changes of the targets.
    fn targets_version(&self) -> u64;
    /// All targets now, and where each is read.
    fn targets(&self) -> BTreeMap<Target, fetch::HttpUrl>;
    /// A text asked for at `asked`, or why there is none.
    fn reading(&self, target: Target, asked: Instant, text: Result<Text, String>);
}

/// Part of the period by which the targets' turns are shifted against each other, one after the other:
/// the golden section spreads any number of them.
const SHIFT: f64 = 0.618_033_988_749_894_9;

/// Whose turn is when. A target has one place in the order, and none while it is being read.
struct Schedule {
    began: Instant,
    period: f64,
    places: BTreeMap<Target, fetch::HttpUrl>,
    /// Each target's part of the period.
    phases: BTreeMap<Target, f64>,
    order: BTreeSet<(Instant, Target)>,
    busy: BTreeSet<Target>,
    turns: u64,
}

impl Schedule {
    /// The first turn of a phase after a moment.
    fn turn(&self, phase: f64, after: Instant) -> Instant {
        let gone = after.saturating_duration_since(self.began).as_secs_f64();
        let turns = ((gone - phase) / self.period).floor().max(-1.0) + 1.0;
        self.began + Duration::from_secs_f64(turns * self.period + phase)
    }

    fn follow(&mut self, places: BTreeMap<Target, fetch::HttpUrl>, now: Instant) {
        self.order.retain(|(_, target)| places.contains_key(target));
        self.phases.retain(|target, _| places.contains_key(target));
        for target in places.keys().filter(|target| !self.places.contains_key(target)) {
            self.turns += 1;
            let phase = (self.turns as f64 * SHIFT).fract() * self.period;
            self.phases.insert(*target, phase);
            if !self.busy.contains(target) {
                self.order.insert((self.turn(phase, now), *target));
            }
        }
        self.places = places;
    }

    /// A target whose turn has come.
    fn start(&mut self, now: Instant) -> Option<(Target, fetch::HttpUrl)> {
        let first = self.order.first().copied().filter(|(at, _)| *at <= now)?;
        self.order.remove(&first);
        self.busy.insert(first.1);
        Some((first.1, self.places[&first.1].clone()))
    }

    /// It has been read; turns missed meanwhile are not made up.
    fn end(&mut self, target: Target, now: Instant) {
        self.busy.remove(&target);
        if let Some(phase) = self.phases.get(&target) {
            self.order.insert((self.turn(*phase, now), target));
        }
    }
}

/// Reads for ever. Times are seconds; `at_once` readings are under way at most, the others wait.
pub async fn run(desk: impl Desk, period: f64, patience: f64, (most_bytes, at_once): (usize, usize)) {
    let began = Instant::now();
    let (places, phases, order, busy) = Default::default();
    let mut schedule = Schedule { began, period, places, phases, order, busy, turns: 0 };
    let (mut under_way, mut version) = (FuturesUnordered::new(), None);
    loop {
        let now = Instant::now();
        if version != Some(desk.targets_version()) {
            version = Some(desk.targets_version());
            schedule.follow(desk.targets(), now);
        }
        while schedule.busy.len() < at_once {
            let Some((target, place)) = schedule.start(now) else { break };
            under_way.push(async move {
                let asked = Instant::now();
                let got = fetch::get::<fetch::AsyncIo>(&place, None, patience, most_bytes).await;
                let text = match got {
                    Ok(answer) if answer.status == 200 => Text::read(&answer.body),
                    Ok(answer) => Err(format!("status {}", answer.status)),
                    Err(e) => Err(e.to_string()),
                };
                (target, asked, text)
            });
        }
        // New targets are looked for now and then even where nothing is due.
        let latest = now + Duration::from_secs_f64(period / 4.0);
        let next = schedule.order.first().filter(|_| schedule.busy.len() < at_once);
        let next = next.map_or(latest, |(at, _)| (*at).min(latest));
        let timer = async {
            Timer::at(next).await;
            None
        };
        let done = async {
            match under_way.next().await {
                None => future::pending().await,
                found => found,
            }
        };
        if let Some((target, asked, text)) = future::or(done, timer).await {
            schedule.end(target, Instant::now());
            desk.reading(target, asked, text);
        }
    }
}
