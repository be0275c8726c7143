//! Scrapes each target once per period, with the scrapes spread over the period and a limit on concurrent ones.

use crate::text::Exposition;
use async_io::Timer;
use futures_lite::{future, StreamExt};
use futures_util::stream::FuturesUnordered;
use oatlever::round::Address;
use oatlever_fetch as fetch;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A process whose counters are scraped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    Asker(u16),
    Server(Address),
}

/// Supplies the targets and receives the results of scrapes.
pub trait ScrapeHandler {
    /// Increases with each change of the targets.
    fn targets_version(&self) -> u64;
    /// The current targets and the URL at which each is scraped.
    fn targets(&self) -> BTreeMap<Target, fetch::HttpUrl>;
    /// Receives the result of a scrape that was started at `started`.
    fn scraped(&self, target: Target, started: Instant, result: Result<Exposition, String>);
}

/// Offset between the phases of targets added one after the other, as a part of the period. Multiples of the golden
/// ratio are evenly spread for any number of targets.
const PHASE_STEP: f64 = 0.618_033_988_749_894_9;

/// When each target is due. A target has one entry in `queue`, and none while it is being scraped.
struct Schedule {
    start: Instant,
    period: f64,
    targets: BTreeMap<Target, fetch::HttpUrl>,
    /// Offset of each target's scrapes within the period, in seconds.
    phases: BTreeMap<Target, f64>,
    queue: BTreeSet<(Instant, Target)>,
    in_progress: BTreeSet<Target>,
    phases_assigned: u64,
}

impl Schedule {
    fn new(start: Instant, period: f64) -> Self {
        let (targets, phases, queue, in_progress) = Default::default();
        Schedule { start, period, targets, phases, queue, in_progress, phases_assigned: 0 }
    }

    /// The first time after `after` at which a target with this phase is due.
    fn next_due(&self, phase: f64, after: Instant) -> Instant {
        let elapsed = after.saturating_duration_since(self.start).as_secs_f64();
        let periods = ((elapsed - phase) / self.period).floor().max(-1.0) + 1.0;
        self.start + Duration::from_secs_f64(periods * self.period + phase)
    }

    /// Replaces the targets; those that stay keep their phases.
    fn set_targets(&mut self, targets: BTreeMap<Target, fetch::HttpUrl>, now: Instant) {
        self.queue.retain(|(_, target)| targets.contains_key(target));
        self.phases.retain(|target, _| targets.contains_key(target));
        for target in targets.keys().filter(|target| !self.targets.contains_key(target)) {
            self.phases_assigned += 1;
            let phase = (self.phases_assigned as f64 * PHASE_STEP).fract() * self.period;
            self.phases.insert(*target, phase);
            if !self.in_progress.contains(target) {
                self.queue.insert((self.next_due(phase, now), *target));
            }
        }
        self.targets = targets;
    }

    /// Takes a due target off the queue and marks it as being scraped.
    fn pop_due(&mut self, now: Instant) -> Option<(Target, fetch::HttpUrl)> {
        let first = self.queue.first().copied().filter(|(due, _)| *due <= now)?;
        self.queue.remove(&first);
        self.in_progress.insert(first.1);
        Some((first.1, self.targets[&first.1].clone()))
    }

    /// Queues a target again after its scrape. Scrapes that fell due in the meantime are skipped.
    fn finish(&mut self, target: Target, now: Instant) {
        self.in_progress.remove(&target);
        if let Some(phase) = self.phases.get(&target) {
            self.queue.insert((self.next_due(*phase, now), target));
        }
    }
}

/// Scrapes the targets forever, once per `period` seconds. A scrape fails if its target is silent for `timeout` seconds,
/// or keeps sending for several times as long ([`fetch::Timeouts::from_silence`]). At most `max_concurrent` scrapes run at once;
/// the others are delayed.
pub async fn run(
    handler: impl ScrapeHandler,
    period: f64,
    timeout: f64,
    (max_bytes, max_concurrent): (usize, usize),
) {
    let mut schedule = Schedule::new(Instant::now(), period);
    let (mut scrapes, mut version) = (FuturesUnordered::new(), None);
    loop {
        let now = Instant::now();
        if version != Some(handler.targets_version()) {
            version = Some(handler.targets_version());
            schedule.set_targets(handler.targets(), now);
        }
        while schedule.in_progress.len() < max_concurrent {
            let Some((target, place)) = schedule.pop_due(now) else { break };
            scrapes.push(async move {
                let started = Instant::now();
                let response = fetch::get::<fetch::AsyncIo>(
                    &place,
                    None,
                    fetch::Timeouts::from_silence(timeout),
                    max_bytes,
                )
                .await;
                let result = match response {
                    Ok(response) if response.status == 200 => Exposition::parse(&response.body),
                    Ok(response) => Err(format!("status {}", response.status)),
                    Err(e) => Err(e.to_string()),
                };
                (target, started, result)
            });
        }
        // Wakes up several times per period even if no target is due, to notice new targets.
        let latest = now + Duration::from_secs_f64(period / 4.0);
        let next = schedule.queue.first().filter(|_| schedule.in_progress.len() < max_concurrent);
        let next = next.map_or(latest, |(due, _)| (*due).min(latest));
        let timer = async {
            Timer::at(next).await;
            None
        };
        let finished = async {
            match scrapes.next().await {
                None => future::pending().await,
                scrape => scrape,
            }
        };
        if let Some((target, started, result)) = future::or(finished, timer).await {
            schedule.finish(target, Instant::now());
            handler.scraped(target, started, result);
        }
    }
}
