//! Many instances in one process, sharing nothing: each gets its own round and
//! its own part of the reply.

use crate::frame::{Batch, Reply, View};
use crate::{malformed, Malformed};
use oatlever::balance::Balancer;
use oatlever::round::{
    Acknowledgement, Entry, HealthCheckResult, List, ListKind, PeerMessage, ProxyQueries, Readiness, Round,
    SliceAssignment, Stream, Tries,
};
use std::collections::BTreeMap;

const ENTRY: usize = 24;

/// An instance and what came in for it in the present batch.
#[derive(Default)]
struct Seat {
    /// None while the instance is dead.
    balancer: Option<Balancer>,
    round: Round,
    called: bool,
}

#[derive(Default)]
pub struct Host {
    seats: BTreeMap<u16, Seat>,
}

fn entries(bytes: &[u8]) -> Result<Vec<Entry>, Malformed> {
    let read = |bytes| {
        let at = View(bytes);
        let readiness = match at.u8(11) {
            0 => Readiness::Gone,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            n => return malformed(format!("a list entry has readiness {n}")),
        };
        Ok(Entry {
            server: at.address(0),
            zone: at.u16(6),
            kind: at.u8(8),
            readiness,
            weight: at.f32(12),
            started: at.f64(16) / 1000.0,
        })
    };
    bytes.chunks_exact(ENTRY).map(read).collect()
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, Malformed> {
        let mut order = Vec::new();
        for (place, record) in batch.records().enumerate() {
            let who = record.u16(2);
            self.take(batch, record).map_err(|e| Malformed(format!("record {place}: {e}")))?;
            let seat = self.seats.entry(who).or_default();
            if !seat.called {
                seat.called = true;
                order.push(who);
            }
        }
        let mut reply = Reply::default();
        for who in order {
            let seat = self.seats.entry(who).or_default();
            seat.called = false;
            let mut round = std::mem::take(&mut seat.round);
            round.now = batch.clock / 1000.0;
            if let Some(balancer) = &mut seat.balancer {
                reply.speak_for(who);
                balancer.round(&round, &mut reply);
            }
        }
        Ok(reply.finish(batch.number))
    }

    /// Puts one event into the round of the instance it is for.
    fn take(&mut self, batch: &Batch, at: View) -> Result<(), Malformed> {
        let (code, who) = (at.u16(0), at.u16(2));
        if code == 261 {
            let start = oatlever_instance::parse(batch.tail(at, 12, 1)?)?;
            let balancer = Balancer::new(start.site, start.classes, start.channel, start.rules, at.u64(4));
            let seat = self.seats.entry(who).or_default();
            seat.balancer = Some(balancer);
            seat.round = Round::default();
            return Ok(());
        }
        let Some(seat) = self.seats.get_mut(&who) else {
            return malformed(format!("event {code} for instance {who}, never started"));
        };
        let round = &mut seat.round;
        match code {
            256 => round.lists.push(List {
                kind: match at.u8(4) {
                    0 => ListKind::Changes,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    n => return malformed(format!("a list of unknown kind {n}")),
                },
                entries: entries(batch.tail(at, 13, ENTRY)?)?,
            }),
            257 => round.timers.push(at.u64(4)),
            258 => round.streams.push(Stream { proxy: at.u16(4), up: false, zone: 0, rate: 0.0 }),
            259 => {
                let slice = at.u16(14);
                let assignment = round.slice_assignments.iter_mut().rev().find(|c| c.slice == slice);
                if let Some(assignment) = assignment {
                    assignment.weights.push((at.address(4), at.f32(10)));
                }
            }
            260 => {
                round.streams.push(Stream { proxy: at.u16(11), up: true, zone: at.u16(8), rate: at.f32(4) })
            }
            262 => round.slice_assignments.push(SliceAssignment {
                slice: at.u16(4),
                assigned: at.u8(6) != 0,
                weights: Vec::new(),
            }),
            // The load of slices: counted by nothing yet.
            263 => {}
            264 => round
                .peer_messages
                .push(PeerMessage { from: at.u16(4), payload: batch.tail(at, 6, 1)?.to_vec() }),
            265 => {
                seat.balancer = None;
                seat.round = Round::default();
            }
            266 => {
                at.check_load(36)?;
                round.tries.push(Tries {
                    server: at.address(22),
                    zone: at.u16(8),
                    tries: f64::from(at.u32(18)),
                    failed: f64::from(at.u32(4)),
                    time: at.f64(10) / 1000.0,
                    span: at.f64(28) / 1000.0,
                });
            }
            267 => round.queries.push(ProxyQueries {
                proxy: at.u16(4),
                class: at.u8(6),
                received: f64::from(at.u32(7)),
                span: at.f64(15) / 1000.0,
            }),
            268 => {
                at.check_load(20)?;
                round.health.push(HealthCheckResult { server: at.address(14), healthy: at.u16(12) == 100 });
            }
            269 => round.acknowledgements.push(Acknowledgement { proxy: at.u16(4), number: at.u64(6) }),
            _ => return malformed(format!("an event of unknown code {code}")),
        }
        Ok(())
    }
}
