//! Finds the nearest safe table: the one that moves the fewest queries from the table in place.
//!
//! Each server may have a share up to its room. Excess over a server's room must move, and moving it to servers with
//! room left violates nothing else, so the minimum that can move is the total excess, and any table that moves just
//! that is nearest. Among those, the excess is distributed in proportion to the room left, so that it doesn't pile
//! up on single servers.

use crate::checks::CheckContext;
use crate::{normalize, share, Weights};
use oatlever::round::Address;
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq)]
pub struct NearestTable {
    /// Shares that add up to 1; empty if there are no servers.
    pub shares: Weights,
    /// Share of the queries that move from the table in place.
    pub moved: f64,
    /// Share of the queries that all servers together have room for, at most 1.
    pub fits: f64,
}

/// Shares below this count as zero.
const NEGLIGIBLE: f64 = 1e-12;

/// The nearest safe table to the one in place if `proposed` (as shares) must not be published.
pub fn nearest(context: &CheckContext, proposed: &Weights) -> NearestTable {
    let table = nearest_within_limits(context, proposed, None);
    if context.fragile(&table.shares).is_none() {
        return table;
    }
    // Limits the warm servers so that the loss of one can't overload a cold server, whose shares are not raised.
    let is_warm =
        |server: &Address| context.state.servers.get(server).is_none_or(|s| context.state.is_warm(s));
    let cold = table.shares.iter().filter(|(server, share)| **share > 0.0 && !is_warm(server));
    let max_warm_share =
        cold.map(|(server, share)| 1.0 - share / context.room(server).unwrap_or(1.0).max(NEGLIGIBLE));
    let max_warm_share = max_warm_share.fold(1.0, f64::min).max(0.0);
    let robust = nearest_within_limits(context, proposed, Some((&table.shares, max_warm_share)));
    if robust.fits >= table.fits && context.fragile(&robust.shares).is_none() {
        robust
    } else {
        table
    }
}

/// The nearest table that keeps every server within its room. `limits` also limits cold servers to their shares in a
/// table, and warm ones to the same share each.
fn nearest_within_limits(
    context: &CheckContext,
    proposed: &Weights,
    limits: Option<(&Weights, f64)>,
) -> NearestTable {
    let state = context.state;
    let is_allowed = |server: &Address| state.servers.get(server).is_some_and(|s| !state.must_drain(s));
    let is_warm = |server: &Address| state.servers.get(server).is_some_and(|s| state.is_warm(s));
    let allowed = |table: &Weights| -> Weights {
        let allowed = table.iter().filter(|(server, _)| is_allowed(server));
        normalize(&allowed.map(|(server, share)| (*server, *share)).collect())
    };
    // The excess goes to servers of the table in place or the proposal first, then to any other available server.
    let every: Weights = {
        let available = state.servers.iter().filter(|(server, _)| context.is_available(server));
        normalize(&available.map(|(server, s)| (*server, s.weight)).collect())
    };
    let (mut shares, proposed) = (allowed(context.before), allowed(proposed));
    for other in [&proposed, &every] {
        if shares.is_empty() || !shares.keys().any(is_warm) && other.keys().any(is_warm) {
            shares.clone_from(other);
        }
    }
    let named: BTreeSet<Address> = shares.keys().chain(proposed.keys()).copied().collect();
    let others: BTreeSet<Address> = every.keys().filter(|server| !named.contains(server)).copied().collect();

    let room = |server: &Address| {
        let pin = context.pin(server);
        let mut limit = pin.map_or(1.0, |pin| pin.max_share);
        if let Some((cold_shares, max_warm_share)) = limits {
            limit = limit.min(if is_warm(server) { max_warm_share } else { share(cold_shares, server) });
        }
        context.room(server).unwrap_or(1.0).min(limit)
    };
    let min_share = |server: &Address| context.pin(server).map_or(0.0, |pin| pin.min_share).min(room(server));
    // Minimum shares of pins come first: they are few, and take from all other servers in proportion.
    let raised: f64 = shares.iter().map(|(server, share)| (min_share(server) - share).max(0.0)).sum();
    if raised > 0.0 {
        let free: f64 = shares.iter().map(|(server, share)| (share - min_share(server)).max(0.0)).sum();
        let keep = (1.0 - raised / free.max(NEGLIGIBLE)).max(0.0);
        for (server, share) in &mut shares {
            *share = min_share(server) + (*share - min_share(server)).max(0.0) * keep;
        }
    }
    let unlimited = shares.clone();
    let mut excess = 0.0;
    for (server, share) in &mut shares {
        let limit = room(server);
        excess += (*share - limit).max(0.0);
        *share = share.min(limit);
    }
    for receivers in [&named, &others] {
        if excess <= NEGLIGIBLE {
            break;
        }
        let room_left = |shares: &Weights, server: &Address| (room(server) - share(shares, server)).max(0.0);
        let total_room: f64 = receivers.iter().map(|server| room_left(&shares, server)).sum();
        let assigned = excess.min(total_room);
        if assigned > NEGLIGIBLE {
            for server in receivers {
                let increase = room_left(&shares, server) / total_room * assigned;
                *shares.entry(*server).or_default() += increase;
            }
            excess -= assigned;
        }
    }
    let fits = (1.0 - excess).clamp(0.0, 1.0);
    // If not all queries fit, all servers exceed their room by the same factor. If no server has any room, the shares
    // stay as they were, because an empty table would leave proxies without a server.
    let shares = if fits > NEGLIGIBLE { normalize(&shares) } else { normalize(&unlimited) };
    let servers: BTreeSet<&Address> = shares.keys().chain(context.before.keys()).collect();
    let decrease = |server: &Address| (share(context.before, server) - share(&shares, server)).max(0.0);
    let moved = servers.into_iter().map(decrease).sum();
    NearestTable { shares, moved, fits }
}
