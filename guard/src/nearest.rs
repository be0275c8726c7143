//! The nearest safe table: the one that moves the fewest queries from what is in place.
//!
//! Each server may have a part up to its room. What is over some room must move, and what moves to where
//! there is room breaks nothing more, so the least that can move is the sum of what is over: any table that
//! moves just that is nearest. Among those, what moves is spread by the room that is left, so that nobody is
//! piled upon.

use crate::checks::CheckContext;
use crate::{normalize, part, Weights};
use oatlever::round::Address;
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq)]
pub struct NearestTable {
    /// By parts; together 1, unless there is nobody.
    pub lines: Weights,
    /// Part of the queries that differ from what was in place.
    pub moved: f64,
    /// Part of the queries that all servers together have room for, 1 at most.
    pub fits: f64,
}

/// Parts so small count as none left.
const NOTHING: f64 = 1e-12;

/// The nearest safe table to the one in place, where `proposed` (by parts) must not go out.
pub fn nearest(context: &CheckContext, proposed: &Weights) -> NearestTable {
    let found = within(context, proposed, None);
    if context.fragile(&found.lines).is_none() {
        return found;
    }
    // No warm server may have so much that its loss pushes a cold one over; the cold ones get no more.
    let is_warm =
        |server: &Address| context.state.servers.get(server).is_none_or(|s| context.state.is_warm(s));
    let cold = found.lines.iter().filter(|(server, part)| **part > 0.0 && !is_warm(server));
    let most = cold.map(|(server, part)| 1.0 - part / context.room(server).unwrap_or(1.0).max(NOTHING));
    let most = most.fold(1.0, f64::min).max(0.0);
    let spread = within(context, proposed, Some((&found.lines, most)));
    let better = spread.fits >= found.fits && context.fragile(&spread.lines).is_none();
    if better {
        spread
    } else {
        found
    }
}

/// The nearest table that keeps everybody within his room; where `steady` is given, with no warm server past
/// its part and no cold one past what its lines give.
fn within(context: &CheckContext, proposed: &Weights, steady: Option<(&Weights, f64)>) -> NearestTable {
    let state = context.state;
    let may = |server: &Address| state.servers.get(server).is_some_and(|s| !state.must_drain(s));
    let is_warm = |server: &Address| state.servers.get(server).is_some_and(|s| state.is_warm(s));
    let kept = |lines: &Weights| -> Weights {
        normalize(&lines.iter().filter(|(server, _)| may(server)).map(|(s, part)| (*s, *part)).collect())
    };
    // Those who may take over what moves: in place or proposed first, then whoever serves.
    let every: Weights = {
        let serving = state.servers.iter().filter(|(server, _)| context.is_available(server));
        normalize(&serving.map(|(server, s)| (*server, s.weight)).collect())
    };
    let (mut lines, proposed) = (kept(context.before), kept(proposed));
    for other in [&proposed, &every] {
        if lines.is_empty() || !lines.keys().any(is_warm) && other.keys().any(is_warm) {
            lines.clone_from(other);
        }
    }
    let known: BTreeSet<Address> = lines.keys().chain(proposed.keys()).copied().collect();
    let beyond: BTreeSet<Address> = every.keys().filter(|server| !known.contains(server)).copied().collect();

    let room = |server: &Address| {
        let pin = context.pin(server);
        let mut most = pin.map_or(1.0, |pin| pin.max_share);
        if let Some((held, warm)) = steady {
            most = most.min(if is_warm(server) { warm } else { part(held, server) });
        }
        context.room(server).unwrap_or(1.0).min(most)
    };
    let least = |server: &Address| context.pin(server).map_or(0.0, |pin| pin.min_share).min(room(server));
    // Pins from below first: they are few, and take from all others alike.
    let raised: f64 = lines.iter().map(|(server, part)| (least(server) - part).max(0.0)).sum();
    if raised > 0.0 {
        let free: f64 = lines.iter().map(|(server, part)| (part - least(server)).max(0.0)).sum();
        let keep = (1.0 - raised / free.max(NOTHING)).max(0.0);
        for (server, part) in &mut lines {
            *part = least(server) + (*part - least(server)).max(0.0) * keep;
        }
    }
    let uncut = lines.clone();
    let mut over = 0.0;
    for (server, part) in &mut lines {
        let most = room(server);
        over += (*part - most).max(0.0);
        *part = part.min(most);
    }
    for takers in [&known, &beyond] {
        if over <= NOTHING {
            break;
        }
        let left = |lines: &Weights, server: &Address| (room(server) - part(lines, server)).max(0.0);
        let whole: f64 = takers.iter().map(|server| left(&lines, server)).sum();
        let given = over.min(whole);
        if given > NOTHING {
            for server in takers {
                let more = left(&lines, server) / whole * given;
                *lines.entry(*server).or_default() += more;
            }
            over -= given;
        }
    }
    let fits = (1.0 - over).clamp(0.0, 1.0);
    // Where not all fits, all are past what they may have by the same part; where nobody has any room at all,
    // it stays as it was, as nobody may be left without a server.
    let lines = if fits > NOTHING { normalize(&lines) } else { normalize(&uncut) };
    let servers: BTreeSet<&Address> = lines.keys().chain(context.before.keys()).collect();
    let moved =
        servers.iter().map(|server| (part(context.before, server) - part(&lines, server)).max(0.0)).sum();
    NearestTable { lines, moved, fits }
}
