//! All ways that requests, pushes, changes, refusals and broken streams can cross, up to a bound.

use oatlever_xds::session::{Heard, Kind, Push, Request, Session, Source, Variant};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

const NAMES: [&str; 2] = ["search", "reserve"];
type Versions = [u64; 2];

/// What may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    changes: u8,
    refusals: u8,
    turns: u8,
    breaks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    holds: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    nonce: String,
    names: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    variant: Variant,
    /// What each version of the tables said.
    past: Vec<Versions>,
    session: Session,
    to_proxy: VecDeque<Push>,
    to_pilot: VecDeque<Request>,
    proxy: Proxy,
    left: Budget,
}

struct Now<'a>(&'a [Versions]);

impl Source for Now<'_> {
    fn version(&self, _: Kind, name: &str) -> Option<u64> {
        let place = NAMES.iter().position(|known| *known == name)?;
        Some(self.0[self.0.len() - 1][place])
    }
    fn names(&self, _: Kind) -> Vec<String> {
        NAMES.iter().map(|name| name.to_string()).collect()
    }
    fn now(&self) -> u64 {
        self.0.len() as u64 - 1
    }
}

impl World {
    fn new(variant: Variant) -> Self {
        let names: BTreeSet<String> = NAMES.iter().map(|name| name.to_string()).collect();
        let proxy = Proxy { holds: BTreeMap::new(), refused: BTreeMap::new(), nonce: String::new(), names };
        let mut world = World {
            variant,
            past: vec![[1, 1], [1, 1]],
            session: Session::new(variant),
            to_proxy: VecDeque::new(),
            to_pilot: VecDeque::new(),
            proxy,
            left: Budget { changes: 3, refusals: 1, turns: 2, breaks: 1 },
        };
        world.greet();
        world
    }

    /// The first request of a stream.
    fn greet(&mut self) {
        let holds = self.proxy.holds.clone().into_iter().collect();
        let names = self.proxy.names.iter().cloned().collect();
        self.to_pilot.push_back(Request { names, holds, ..Request::default() });
    }

    fn change(&mut self, place: usize) {
        let mut next = self.past[self.past.len() - 1];
        next[place] += 1;
        self.past.push(next);
    }

    fn push(&mut self) -> bool {
        let push = self.session.next(&Now(&self.past), 0.0);
        let pushed = push.is_some();
        self.to_proxy.extend(push);
        pushed
    }

    /// The proxy takes or refuses the next response.
    fn take(&mut self, refuse: bool) {
        let Some(Push { nonce, resources, at, .. }) = self.to_proxy.pop_front() else { return };
        self.proxy.nonce = nonce.clone();
        if refuse {
            self.proxy.refused.extend(resources);
        } else {
            for (name, version) in resources {
                self.proxy.refused.remove(&name);
                if self.proxy.names.contains(&name) {
                    self.proxy.holds.insert(name, version);
                }
            }
            // No mix: what it holds now is what tables said at one moment.
            let snapshot = self.past[at as usize];
            for (place, name) in NAMES.iter().enumerate() {
                if let Some(version) = self.proxy.holds.get(*name).filter(|_| self.proxy.refused.is_empty()) {
                    assert_eq!(*version, snapshot[place], "a mix: {self:?}");
                }
            }
        }
        let names = match self.variant {
            Variant::State => self.proxy.names.iter().cloned().collect(),
            Variant::Delta => Vec::new(),
        };
        let error = refuse.then(|| "no".to_string());
        self.to_pilot.push_back(Request { nonce, names, error, ..Request::default() });
    }

    /// The pilot hears the next request.
    fn hear(&mut self) {
        let Some(request) = self.to_pilot.pop_front() else { return };
        let refuses = request.error.is_some();
        let heard = self.session.hear(Kind::Endpoints, request);
        assert!(!refuses || matches!(heard, Heard::Refused { .. } | Heard::Stale), "{heard:?}");
    }

    /// The proxy gives up a name, or takes it up again.
    fn turn(&mut self) {
        let name = NAMES[1].to_string();
        let gave_up = self.proxy.names.remove(&name);
        if gave_up {
            self.proxy.holds.remove(&name);
            self.proxy.refused.remove(&name);
        } else {
            self.proxy.names.insert(name.clone());
        }
        let request = match (self.variant, gave_up) {
            (Variant::State, _) => {
                let names = self.proxy.names.iter().cloned().collect();
                Request { nonce: self.proxy.nonce.clone(), names, ..Request::default() }
            }
            (Variant::Delta, true) => Request { leave: vec![name], ..Request::default() },
            (Variant::Delta, false) => Request { names: vec![name], ..Request::default() },
        };
        self.to_pilot.push_back(request);
    }

    /// The stream breaks, with all that is on its way; the proxy comes back with what it holds.
    fn reconnect(&mut self) {
        self.session = Session::new(self.variant);
        self.to_proxy.clear();
        self.to_pilot.clear();
        self.proxy.nonce.clear();
        self.greet();
    }

    fn check(&self) {
        let held = self.session.held(&Now(&self.past));
        for (place, name) in NAMES.iter().enumerate() {
            let older = |version: &&u64| **version < self.past[held as usize][place];
            let refused = self.proxy.refused.contains_key(*name);
            if self.proxy.holds.get(*name).filter(older).is_some() && !refused {
                panic!("said to hold {held}, and does not: {self:?}");
            }
        }
        assert!(self.to_proxy.len() <= 1, "more than one response under way: {self:?}");
    }

    /// Left alone, everything arrives: the proxy ends with the last of all that it did not refuse.
    fn settle(mut self) {
        for _ in 0..30 {
            while !self.to_pilot.is_empty() {
                self.hear();
            }
            if !self.push() && self.to_proxy.is_empty() {
                break;
            }
            while !self.to_proxy.is_empty() {
                self.take(false);
            }
        }
        let last = self.past[self.past.len() - 1];
        assert!(self.to_pilot.is_empty() && self.to_proxy.is_empty(), "it never ends: {self:?}");
        for (place, name) in NAMES.iter().enumerate().filter(|(_, name)| self.proxy.names.contains(**name)) {
            let refused = self.proxy.refused.get(*name) == Some(&last[place]);
            let held = self.proxy.holds.get(*name) == Some(&last[place]);
            assert!(held || refused, "{name} is not the last: {self:?}");
        }
        if self.proxy.refused.is_empty() {
            let now = self.past.len() as u64 - 1;
            assert_eq!(self.session.held(&Now(&self.past)), now, "{self:?}");
        }
    }

    fn next(&self) -> Vec<World> {
        let mut out = Vec::new();
        let mut with = |act: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            act(&mut world);
            out.push(world);
        };
        if self.left.changes > 0 {
            for place in 0..NAMES.len() {
                with(&|world| {
                    world.left.changes -= 1;
                    world.change(place);
                });
            }
        }
        with(&|world| {
            world.push();
        });
        if !self.to_proxy.is_empty() {
            with(&|world| world.take(false));
            if self.left.refusals > 0 {
                with(&|world| {
                    world.left.refusals -= 1;
                    world.take(true);
                });
            }
        }
        if !self.to_pilot.is_empty() {
            with(&|world| world.hear());
        }
        if self.left.turns > 0 && !self.proxy.nonce.is_empty() {
            with(&|world| {
                world.left.turns -= 1;
                world.turn();
            });
        }
        if self.left.breaks > 0 {
            with(&|world| {
                world.left.breaks -= 1;
                world.reconnect();
            });
        }
        out
    }
}

fn walk(variant: Variant) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![World::new(variant)];
    while let Some(world) = open.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        world.check();
        world.clone().settle();
        open.extend(world.next());
    }
    seen.len()
}

#[test]
fn every_way_of_the_state_of_the_world_ends_well() {
    let states = walk(Variant::State);
    assert!(states > 10_000, "{states} states");
}

#[test]
fn every_incremental_way_ends_well() {
    let states = walk(Variant::Delta);
    assert!(states > 10_000, "{states} states");
}

/// A request by somebody who keeps to nothing: any nonce, any names, refusing what it was never sent.
#[derive(Clone, Debug)]
struct Wild(Kind, Request);

impl Arbitrary for Wild {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route];
        let names = ["search", "reserve", "nothing", "*", ""];
        let some = |g: &mut Gen| -> Vec<String> {
            (0..u8::arbitrary(g) % 4).map(|_| g.choose(&names).unwrap().to_string()).collect()
        };
        let nonce = g.choose(&["", "1", "2", "3", "7", "x"]).unwrap().to_string();
        let error = bool::arbitrary(g).then(|| "no".to_string());
        let holds = some(g).into_iter().map(|name| (name, u64::arbitrary(g))).collect();
        let request = Request { nonce, names: some(g), leave: some(g), holds, error };
        Wild(*g.choose(&kinds).unwrap(), request)
    }
}

quickcheck! {
    /// Whatever comes, one response of a kind is under way at most, none is repeated without an answer, and
    /// once everything is answered nothing more is sent until something changes.
    fn nothing_that_is_asked_does_harm(delta: bool, asked: Vec<(Wild, bool)>) -> bool {
        let mut session = Session::new(if delta { Variant::Delta } else { Variant::State });
        let mut past = vec![[1, 1]];
        let mut open: BTreeMap<Kind, Push> = BTreeMap::new();
        for (Wild(kind, request), change) in asked {
            if change {
                past.push([past.len() as u64, 1]);
            }
            let answered = open.get(&kind).is_some_and(|push| push.nonce == request.nonce);
            let heard = session.hear(kind, request);
            if matches!(heard, Heard::Acknowledged | Heard::Refused { .. }) != answered {
                return false;
            }
            if answered {
                open.remove(&kind);
            }
            while let Some(push) = session.next(&Now(&past), 0.0) {
                if open.insert(push.kind, push).is_some() {
                    return false;
                }
            }
        }
        for _ in 0..40 {
            let Some((kind, push)) = open.pop_first() else { break };
            // State of the world: taken with the same names as before can't be said here, so by refusing
            // nothing and naming none it gives them up; either way it comes to rest.
            session.hear(kind, Request { nonce: push.nonce, ..Request::default() });
            while let Some(push) = session.next(&Now(&past), 0.0) {
                open.insert(push.kind, push);
            }
        }
        open.is_empty() && session.next(&Now(&past), 0.0).is_none()
    }
}

fn subscribe(names: &[&str]) -> Request {
    Request { names: names.iter().map(|name| name.to_string()).collect(), ..Request::default() }
}

fn answer(push: &Push, error: Option<&str>) -> Request {
    Request {
        nonce: push.nonce.clone(),
        names: vec!["search".into()],
        error: error.map(str::to_string),
        ..Request::default()
    }
}

/// What was refused is not sent again unchanged: a loop of refusals would keep both busy for ever.
#[test]
fn a_refusal_is_not_answered_with_the_same() {
    for variant in [Variant::State, Variant::Delta] {
        let mut session = Session::new(variant);
        let (one, two) = ([[1, 1]], [[1, 1], [2, 1]]);
        session.hear(Kind::Endpoints, subscribe(&["search"]));
        let push = session.next(&Now(&one), 0.0).unwrap();
        let refused = Heard::Refused { at: 0, why: "bad weight".into() };
        assert_eq!(session.hear(Kind::Endpoints, answer(&push, Some("bad weight"))), refused);
        assert_eq!(session.next(&Now(&one), 0.0), None);
        let push = session.next(&Now(&two), 0.0).unwrap();
        assert_eq!(session.hear(Kind::Endpoints, answer(&push, None)), Heard::Acknowledged);
    }
}

/// An ACK with an old nonce, after a newer response went out, takes nothing and changes nothing.
#[test]
fn an_old_nonce_changes_nothing() {
    for variant in [Variant::State, Variant::Delta] {
        let mut session = Session::new(variant);
        let (one, two) = ([[1, 1]], [[1, 1], [2, 1]]);
        session.hear(Kind::Endpoints, subscribe(&["search"]));
        let old = session.next(&Now(&one), 0.0).unwrap();
        session.hear(Kind::Endpoints, answer(&old, None));
        let new = session.next(&Now(&two), 0.0).unwrap();
        let mut late = answer(&old, None);
        if variant == Variant::State {
            late.names = vec!["reserve".into()];
        }
        assert_eq!(session.hear(Kind::Endpoints, late), Heard::Stale);
        assert_eq!((session.held(&Now(&two)), session.next(&Now(&two), 0.0)), (0, None));
        assert_eq!(session.hear(Kind::Endpoints, answer(&new, None)), Heard::Acknowledged);
        assert_eq!((session.held(&Now(&two)), session.next(&Now(&two), 0.0)), (1, None));
    }
}

/// Make before break: endpoints wait for the clusters that name them, and routes for both.
#[test]
fn kinds_go_out_in_their_order() {
    let mut session = Session::new(Variant::State);
    for kind in [Kind::Route, Kind::Listener, Kind::Endpoints, Kind::Cluster] {
        session.hear(kind, subscribe(&["search"]));
    }
    let mut order = Vec::new();
    while let Some(push) = session.next(&Now(&[[1, 1]]), 0.0) {
        order.push(push.kind);
        assert_eq!(session.next(&Now(&[[1, 1]]), 0.0), None, "one at a time");
        session.hear(push.kind, answer(&push, None));
    }
    assert_eq!(order, [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route]);
}

#[test]
fn names_are_bounded_and_unknown_ones_are_told_to_be_none() {
    let mut session = Session::new(Variant::Delta);
    let many: Vec<String> = (0..100_000).map(|n| format!("name-{n}")).collect();
    let request = Request { names: many, ..Request::default() };
    assert_eq!(session.hear(Kind::Endpoints, request), Heard::TooMany);
    let mut session = Session::new(Variant::Delta);
    session.hear(Kind::Endpoints, subscribe(&["search", "nothing"]));
    let push = session.next(&Now(&[[1, 1]]), 0.0).unwrap();
    assert_eq!((push.resources, push.removed), (vec![("search".into(), 1)], vec!["nothing".into()]));
}

/// State of the world: a name that is new is answered at once, also where there is nothing by it.
#[test]
fn a_new_name_is_answered_even_with_nothing() {
    let mut session = Session::new(Variant::State);
    session.hear(Kind::Endpoints, subscribe(&["search"]));
    let push = session.next(&Now(&[[1, 1]]), 0.0).unwrap();
    let mut more = answer(&push, None);
    more.names.push("nothing".into());
    session.hear(Kind::Endpoints, more);
    assert_eq!(session.next(&Now(&[[1, 1]]), 0.0).unwrap().resources, [("search".to_string(), 1)]);
}

/// A proxy that comes back with what is still true is sent nothing, and counts as holding it.
#[test]
fn what_is_held_from_before_is_not_sent_again() {
    let mut session = Session::new(Variant::Delta);
    let mut request = subscribe(&["search"]);
    request.holds.insert("search".into(), 1);
    session.hear(Kind::Endpoints, request);
    assert_eq!(session.next(&Now(&[[1, 1]]), 0.0), None);
    assert_eq!(session.held(&Now(&[[1, 1], [1, 2]])), 1);
}
