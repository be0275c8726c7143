//! Runs many independent instances in one process. Each gets its own rounds and its own part of the replies.

use crate::frame::{Batch, Reply, View};
use crate::{malformed, Malformed};
use oatlever::balance::Balancer;
use oatlever::round::{
    Acknowledgement, Entry, HealthCheckResult, List, ListKind, PeerMessage, ProxyQueries, Readiness, Round,
    SliceAssignment, Stream, Tries,
};
use oatlever_instance::InstanceSettings;
use std::collections::BTreeMap;

const ENTRY_BYTES: usize = 24;

/// An instance and its events in the current batch.
#[derive(Default)]
struct Instance {
    /// `None` while the instance is stopped.
    balancer: Option<Balancer>,
    round: Round,
    /// The current batch has events for the instance.
    has_events: bool,
}

/// The instances, by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
}

/// Decodes the entries of a list of servers.
fn entries(bytes: &[u8]) -> Result<Vec<Entry>, Malformed> {
    let decode = |bytes| {
        let view = View(bytes);
        let readiness = match view.u8(11) {
            0 => Readiness::Gone,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            n => return malformed(format!("a list entry has readiness {n}")),
        };
        Ok(Entry {
            server: view.address(0),
            zone: view.u16(6),
            kind: view.u8(8),
            readiness,
            weight: view.f32(12),
            started: view.f64(16) / 1000.0,
        })
    };
    bytes.chunks_exact(ENTRY_BYTES).map(decode).collect()
}

impl Host {
    /// Delivers the events of a batch, runs one round of each instance that has events, in the order of their
    /// first events, and returns the encoded reply.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, Malformed> {
        let mut order = Vec::new();
        for (index, record) in batch.records().enumerate() {
            let number = record.u16(2);
            self.handle_event(batch, record).map_err(|e| Malformed(format!("record {index}: {e}")))?;
            let instance = self.instances.entry(number).or_default();
            if !instance.has_events {
                instance.has_events = true;
                order.push(number);
            }
        }
        let mut reply = Reply::default();
        for number in order {
            let instance = self.instances.entry(number).or_default();
            instance.has_events = false;
            let mut round = std::mem::take(&mut instance.round);
            round.now = batch.clock / 1000.0;
            if let Some(balancer) = &mut instance.balancer {
                reply.set_instance(number);
                balancer.round(&round, &mut reply);
            }
        }
        Ok(reply.finish(batch.number))
    }

    /// Adds an event to the round of its instance. Start and stop events take effect immediately.
    fn handle_event(&mut self, batch: &Batch, event: View) -> Result<(), Malformed> {
        let (code, number) = (event.u16(0), event.u16(2));
        if code == 261 {
            let settings = oatlever_instance::parse(batch.tail(event, 12, 1)?)?;
            let InstanceSettings { site, classes, channel, rules } = settings;
            let balancer = Balancer::new(site, classes, channel, rules, event.u64(4));
            let instance = self.instances.entry(number).or_default();
            instance.balancer = Some(balancer);
            instance.round = Round::default();
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return malformed(format!("event {code} for instance {number}, which was never started"));
        };
        let round = &mut instance.round;
        match code {
            256 => round.lists.push(List {
                kind: match event.u8(4) {
                    0 => ListKind::Changes,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    n => return malformed(format!("unknown kind {n} of a list")),
                },
                entries: entries(batch.tail(event, 13, ENTRY_BYTES)?)?,
            }),
            257 => round.timers.push(event.u64(4)),
            258 => round.streams.push(Stream { proxy: event.u16(4), up: false, zone: 0, rate: 0.0 }),
            259 => {
                let slice = event.u16(14);
                let assignment = round.slice_assignments.iter_mut().rev().find(|c| c.slice == slice);
                if let Some(assignment) = assignment {
                    assignment.weights.push((event.address(4), event.f32(10)));
                }
            }
            260 => round.streams.push(Stream {
                proxy: event.u16(11),
                up: true,
                zone: event.u16(8),
                rate: event.f32(4),
            }),
            262 => round.slice_assignments.push(SliceAssignment {
                slice: event.u16(4),
                assigned: event.u8(6) != 0,
                weights: Vec::new(),
            }),
            // The load of slices, which is not used yet.
            263 => {}
            264 => round
                .peer_messages
                .push(PeerMessage { from: event.u16(4), payload: batch.tail(event, 6, 1)?.to_vec() }),
            265 => {
                instance.balancer = None;
                instance.round = Round::default();
            }
            266 => {
                event.check_load(36)?;
                round.tries.push(Tries {
                    server: event.address(22),
                    zone: event.u16(8),
                    tries: f64::from(event.u32(18)),
                    failed: f64::from(event.u32(4)),
                    time: event.f64(10) / 1000.0,
                    span: event.f64(28) / 1000.0,
                });
            }
            267 => round.queries.push(ProxyQueries {
                proxy: event.u16(4),
                class: event.u8(6),
                received: f64::from(event.u32(7)),
                span: event.f64(15) / 1000.0,
            }),
            268 => {
                event.check_load(20)?;
                round
                    .health
                    .push(HealthCheckResult { server: event.address(14), healthy: event.u16(12) == 100 });
            }
            269 => round.acknowledgements.push(Acknowledgement { proxy: event.u16(4), number: event.u64(6) }),
            _ => return malformed(format!("unknown code {code} of an event")),
        }
        Ok(())
    }
}
