//! Exhaustive exploration, up to a bound, of the interleavings of requests, responses, changes, rejections and broken
//! streams between a session and a model of a proxy; and single cases.

use oatlever_xds::session::{Push, Request, RequestOutcome, ResourceType, Session, Snapshot, Variant};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

const NAMES: [&str; 2] = ["search", "reserve"];
/// The version of each name.
type Versions = [u64; 2];

/// How many events of each sort may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    changes: u8,
    rejections: u8,
    subscription_changes: u8,
    reconnects: u8,
}

/// The state of a well-behaved proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    held: BTreeMap<String, u64>,
    rejected: BTreeMap<String, u64>,
    nonce: String,
    names: BTreeSet<String>,
}

/// A session, a proxy, and the messages in transit between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
    variant: Variant,
    /// The versions of the names at each version of the tables.
    history: Vec<Versions>,
    session: Session,
    to_proxy: VecDeque<Push>,
    to_pilot: VecDeque<Request>,
    proxy: Proxy,
    budget: Budget,
}

/// The latest entry of a history.
struct Latest<'a>(&'a [Versions]);

impl Snapshot for Latest<'_> {
    fn version(&self, _: ResourceType, name: &str) -> Option<u64> {
        let index = NAMES.iter().position(|known| *known == name)?;
        Some(self.0[self.0.len() - 1][index])
    }
    fn names(&self, _: ResourceType) -> Vec<String> {
        NAMES.iter().map(|name| name.to_string()).collect()
    }
    fn tables_version(&self) -> u64 {
        self.0.len() as u64 - 1
    }
}

impl Model {
    fn new(variant: Variant) -> Self {
        let names: BTreeSet<String> = NAMES.iter().map(|name| name.to_string()).collect();
        let proxy = Proxy { held: BTreeMap::new(), rejected: BTreeMap::new(), nonce: String::new(), names };
        let mut model = Model {
            variant,
            history: vec![[1, 1], [1, 1]],
            session: Session::new(variant),
            to_proxy: VecDeque::new(),
            to_pilot: VecDeque::new(),
            proxy,
            budget: Budget { changes: 3, rejections: 1, subscription_changes: 2, reconnects: 1 },
        };
        model.send_first_request();
        model
    }

    /// Sends the first request of a stream, with the versions that the proxy holds.
    fn send_first_request(&mut self) {
        let initial_versions = self.proxy.held.clone();
        let subscribe = self.proxy.names.iter().cloned().collect();
        self.to_pilot.push_back(Request { subscribe, initial_versions, ..Request::default() });
    }

    fn change(&mut self, index: usize) {
        let mut next = self.history[self.history.len() - 1];
        next[index] += 1;
        self.history.push(next);
    }

    /// The pilot sends the next response, if there is one.
    fn push(&mut self) -> bool {
        let push = self.session.next_push(&Latest(&self.history), 0.0);
        let pushed = push.is_some();
        self.to_proxy.extend(push);
        pushed
    }

    /// The proxy applies or rejects the next response.
    fn answer(&mut self, reject: bool) {
        let Some(Push { nonce, resources, tables_version, .. }) = self.to_proxy.pop_front() else { return };
        self.proxy.nonce = nonce.clone();
        if reject {
            self.proxy.rejected.extend(resources);
        } else {
            for (name, version) in resources {
                self.proxy.rejected.remove(&name);
                if self.proxy.names.contains(&name) {
                    self.proxy.held.insert(name, version);
                }
            }
            // All versions that it holds are of one version of the tables, never a mixture.
            let snapshot = self.history[tables_version as usize];
            for (index, name) in NAMES.iter().enumerate() {
                if let Some(version) = self.proxy.held.get(*name).filter(|_| self.proxy.rejected.is_empty()) {
                    assert_eq!(*version, snapshot[index], "versions of different tables: {self:?}");
                }
            }
        }
        let subscribe = match self.variant {
            Variant::StateOfTheWorld => self.proxy.names.iter().cloned().collect(),
            Variant::Incremental => Vec::new(),
        };
        let error = reject.then(|| "no".to_string());
        self.to_pilot.push_back(Request { nonce, subscribe, error, ..Request::default() });
    }

    /// The pilot handles the next request.
    fn handle_request(&mut self) {
        let Some(request) = self.to_pilot.pop_front() else { return };
        let rejects = request.error.is_some();
        let outcome = self.session.handle_request(ResourceType::Endpoints, request);
        assert!(
            !rejects || matches!(outcome, RequestOutcome::Rejected { .. } | RequestOutcome::Stale),
            "{outcome:?}"
        );
    }

    /// The proxy unsubscribes from a name, or subscribes to it again.
    fn change_subscription(&mut self) {
        let name = NAMES[1].to_string();
        let unsubscribed = self.proxy.names.remove(&name);
        if unsubscribed {
            self.proxy.held.remove(&name);
            self.proxy.rejected.remove(&name);
        } else {
            self.proxy.names.insert(name.clone());
        }
        let request = match (self.variant, unsubscribed) {
            (Variant::StateOfTheWorld, _) => {
                let subscribe = self.proxy.names.iter().cloned().collect();
                Request { nonce: self.proxy.nonce.clone(), subscribe, ..Request::default() }
            }
            (Variant::Incremental, true) => Request { unsubscribe: vec![name], ..Request::default() },
            (Variant::Incremental, false) => Request { subscribe: vec![name], ..Request::default() },
        };
        self.to_pilot.push_back(request);
    }

    /// The stream breaks and loses all messages in transit; the proxy reconnects with what it holds.
    fn reconnect(&mut self) {
        self.session = Session::new(self.variant);
        self.to_proxy.clear();
        self.to_pilot.clear();
        self.proxy.nonce.clear();
        self.send_first_request();
    }

    /// Checks that the proxy holds nothing older than the session assumes.
    fn check(&self) {
        let acknowledged = self.session.acknowledged_version(&Latest(&self.history));
        for (index, name) in NAMES.iter().enumerate() {
            let older = |version: &&u64| **version < self.history[acknowledged as usize][index];
            let rejected = self.proxy.rejected.contains_key(*name);
            if self.proxy.held.get(*name).filter(older).is_some() && !rejected {
                panic!("assumed to hold version {acknowledged}, but does not: {self:?}");
            }
        }
        assert!(self.to_proxy.len() <= 1, "more than one unanswered response: {self:?}");
    }

    /// Without further events, the proxy ends up with the latest version of everything that it has not rejected.
    fn settle(mut self) {
        for _ in 0..30 {
            while !self.to_pilot.is_empty() {
                self.handle_request();
            }
            if !self.push() && self.to_proxy.is_empty() {
                break;
            }
            while !self.to_proxy.is_empty() {
                self.answer(false);
            }
        }
        let latest = self.history[self.history.len() - 1];
        assert!(self.to_pilot.is_empty() && self.to_proxy.is_empty(), "messages keep being sent: {self:?}");
        for (index, name) in NAMES.iter().enumerate().filter(|(_, name)| self.proxy.names.contains(**name)) {
            let rejected = self.proxy.rejected.get(*name) == Some(&latest[index]);
            let held = self.proxy.held.get(*name) == Some(&latest[index]);
            assert!(held || rejected, "{name} is not the latest: {self:?}");
        }
        if self.proxy.rejected.is_empty() {
            let current = self.history.len() as u64 - 1;
            assert_eq!(self.session.acknowledged_version(&Latest(&self.history)), current, "{self:?}");
        }
    }

    /// All states that one event leads to.
    fn successors(&self) -> Vec<Model> {
        let mut successors = Vec::new();
        let mut add = |event: &dyn Fn(&mut Model)| {
            let mut model = self.clone();
            event(&mut model);
            successors.push(model);
        };
        if self.budget.changes > 0 {
            for index in 0..NAMES.len() {
                add(&|model| {
                    model.budget.changes -= 1;
                    model.change(index);
                });
            }
        }
        add(&|model| {
            model.push();
        });
        if !self.to_proxy.is_empty() {
            add(&|model| model.answer(false));
            if self.budget.rejections > 0 {
                add(&|model| {
                    model.budget.rejections -= 1;
                    model.answer(true);
                });
            }
        }
        if !self.to_pilot.is_empty() {
            add(&|model| model.handle_request());
        }
        if self.budget.subscription_changes > 0 && !self.proxy.nonce.is_empty() {
            add(&|model| {
                model.budget.subscription_changes -= 1;
                model.change_subscription();
            });
        }
        if self.budget.reconnects > 0 {
            add(&|model| {
                model.budget.reconnects -= 1;
                model.reconnect();
            });
        }
        successors
    }
}

/// Checks all reachable states and returns their number.
fn explore(variant: Variant) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![Model::new(variant)];
    while let Some(model) = open.pop() {
        if !seen.insert(model.clone()) {
            continue;
        }
        model.check();
        model.clone().settle();
        open.extend(model.successors());
    }
    seen.len()
}

#[test]
fn all_state_of_the_world_interleavings_converge() {
    let states = explore(Variant::StateOfTheWorld);
    assert!(states > 10_000, "{states} states");
}

#[test]
fn all_incremental_interleavings_converge() {
    let states = explore(Variant::Incremental);
    assert!(states > 10_000, "{states} states");
}

/// A request that follows no protocol: any nonce, any names, possibly rejecting a response that was never sent.
#[derive(Clone, Debug)]
struct ArbitraryRequest(ResourceType, Request);

impl Arbitrary for ArbitraryRequest {
    fn arbitrary(g: &mut Gen) -> Self {
        let types =
            [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Route];
        let names = ["search", "reserve", "nothing", "*", ""];
        let random_names = |g: &mut Gen| -> Vec<String> {
            (0..u8::arbitrary(g) % 4).map(|_| g.choose(&names).unwrap().to_string()).collect()
        };
        let nonce = g.choose(&["", "1", "2", "3", "7", "x"]).unwrap().to_string();
        let error = bool::arbitrary(g).then(|| "no".to_string());
        let initial_versions = random_names(g).into_iter().map(|name| (name, u64::arbitrary(g))).collect();
        let request = Request {
            nonce,
            subscribe: random_names(g),
            unsubscribe: random_names(g),
            initial_versions,
            error,
        };
        ArbitraryRequest(*g.choose(&types).unwrap(), request)
    }
}

quickcheck! {
    /// Whatever the requests, at most one response of a type is unanswered, none is sent again while it is, and once
    /// all are answered nothing is sent until something changes.
    fn arbitrary_requests_keep_the_invariants(incremental: bool, requests: Vec<(ArbitraryRequest, bool)>) -> bool {
        let mut session = Session::new(if incremental { Variant::Incremental } else { Variant::StateOfTheWorld });
        let mut history = vec![[1, 1]];
        let mut unanswered: BTreeMap<ResourceType, Push> = BTreeMap::new();
        for (ArbitraryRequest(resource_type, request), change) in requests {
            if change {
                history.push([history.len() as u64, 1]);
            }
            let answered = unanswered.get(&resource_type).is_some_and(|push| push.nonce == request.nonce);
            let outcome = session.handle_request(resource_type, request);
            if matches!(outcome, RequestOutcome::Acknowledged | RequestOutcome::Rejected { .. }) != answered {
                return false;
            }
            if answered {
                unanswered.remove(&resource_type);
            }
            while let Some(push) = session.next_push(&Latest(&history), 0.0) {
                if unanswered.insert(push.resource_type, push).is_some() {
                    return false;
                }
            }
        }
        for _ in 0..40 {
            let Some((resource_type, push)) = unanswered.pop_first() else { break };
            // In the state-of-the-world variant this ACK also unsubscribes from all names, as it lists
            // none. Either way the exchange has to end.
            session.handle_request(resource_type, Request { nonce: push.nonce, ..Request::default() });
            while let Some(push) = session.next_push(&Latest(&history), 0.0) {
                unanswered.insert(push.resource_type, push);
            }
        }
        unanswered.is_empty() && session.next_push(&Latest(&history), 0.0).is_none()
    }
}

fn subscribe(names: &[&str]) -> Request {
    Request { subscribe: names.iter().map(|name| name.to_string()).collect(), ..Request::default() }
}

fn answer_to(push: &Push, error: Option<&str>) -> Request {
    Request {
        nonce: push.nonce.clone(),
        subscribe: vec!["search".into()],
        error: error.map(str::to_string),
        ..Request::default()
    }
}

/// A rejected version must not be sent again: proxy and pilot would exchange responses and rejections forever.
#[test]
fn a_rejected_version_is_not_sent_again() {
    for variant in [Variant::StateOfTheWorld, Variant::Incremental] {
        let mut session = Session::new(variant);
        let (one, two) = ([[1, 1]], [[1, 1], [2, 1]]);
        session.handle_request(ResourceType::Endpoints, subscribe(&["search"]));
        let push = session.next_push(&Latest(&one), 0.0).unwrap();
        let rejected = RequestOutcome::Rejected { tables_version: 0, reason: "bad weight".into() };
        assert_eq!(
            session.handle_request(ResourceType::Endpoints, answer_to(&push, Some("bad weight"))),
            rejected
        );
        assert_eq!(session.next_push(&Latest(&one), 0.0), None);
        let push = session.next_push(&Latest(&two), 0.0).unwrap();
        assert_eq!(
            session.handle_request(ResourceType::Endpoints, answer_to(&push, None)),
            RequestOutcome::Acknowledged
        );
    }
}

/// An ACK of an older response that arrives after a newer response was sent has no effect.
#[test]
fn an_ack_with_an_old_nonce_is_ignored() {
    for variant in [Variant::StateOfTheWorld, Variant::Incremental] {
        let mut session = Session::new(variant);
        let (one, two) = ([[1, 1]], [[1, 1], [2, 1]]);
        session.handle_request(ResourceType::Endpoints, subscribe(&["search"]));
        let old = session.next_push(&Latest(&one), 0.0).unwrap();
        session.handle_request(ResourceType::Endpoints, answer_to(&old, None));
        let new = session.next_push(&Latest(&two), 0.0).unwrap();
        let mut late = answer_to(&old, None);
        if variant == Variant::StateOfTheWorld {
            late.subscribe = vec!["reserve".into()];
        }
        assert_eq!(session.handle_request(ResourceType::Endpoints, late), RequestOutcome::Stale);
        assert_eq!(
            (session.acknowledged_version(&Latest(&two)), session.next_push(&Latest(&two), 0.0)),
            (0, None)
        );
        assert_eq!(
            session.handle_request(ResourceType::Endpoints, answer_to(&new, None)),
            RequestOutcome::Acknowledged
        );
        assert_eq!(
            (session.acknowledged_version(&Latest(&two)), session.next_push(&Latest(&two), 0.0)),
            (1, None)
        );
    }
}

/// Make before break: endpoints wait for the clusters that refer to them, and routes for both.
#[test]
fn types_are_sent_in_push_order() {
    let mut session = Session::new(Variant::StateOfTheWorld);
    for resource_type in
        [ResourceType::Route, ResourceType::Listener, ResourceType::Endpoints, ResourceType::Cluster]
    {
        session.handle_request(resource_type, subscribe(&["search"]));
    }
    let mut order = Vec::new();
    while let Some(push) = session.next_push(&Latest(&[[1, 1]]), 0.0) {
        order.push(push.resource_type);
        assert_eq!(session.next_push(&Latest(&[[1, 1]]), 0.0), None, "one at a time");
        session.handle_request(push.resource_type, answer_to(&push, None));
    }
    assert_eq!(
        order,
        [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Route]
    );
}

#[test]
fn names_are_limited_and_unknown_ones_are_reported_as_removed() {
    let mut session = Session::new(Variant::Incremental);
    let many: Vec<String> = (0..100_000).map(|n| format!("name-{n}")).collect();
    let request = Request { subscribe: many, ..Request::default() };
    assert_eq!(session.handle_request(ResourceType::Endpoints, request), RequestOutcome::TooManyNames);
    let mut session = Session::new(Variant::Incremental);
    session.handle_request(ResourceType::Endpoints, subscribe(&["search", "nothing"]));
    let push = session.next_push(&Latest(&[[1, 1]]), 0.0).unwrap();
    assert_eq!((push.resources, push.removed), (vec![("search".into(), 1)], vec!["nothing".into()]));
}

/// State of the world: subscribing to a new name yields a response even if there is no such resource.
#[test]
fn subscribing_to_an_unknown_name_yields_a_response() {
    let mut session = Session::new(Variant::StateOfTheWorld);
    session.handle_request(ResourceType::Endpoints, subscribe(&["search"]));
    let push = session.next_push(&Latest(&[[1, 1]]), 0.0).unwrap();
    let mut more = answer_to(&push, None);
    more.subscribe.push("nothing".into());
    session.handle_request(ResourceType::Endpoints, more);
    assert_eq!(session.next_push(&Latest(&[[1, 1]]), 0.0).unwrap().resources, [("search".to_string(), 1)]);
}

/// A proxy that reconnects with current versions is sent nothing, and its versions count as acknowledged.
#[test]
fn held_versions_are_not_sent_again_after_a_reconnect() {
    let mut session = Session::new(Variant::Incremental);
    let mut request = subscribe(&["search"]);
    request.initial_versions.insert("search".into(), 1);
    session.handle_request(ResourceType::Endpoints, request);
    assert_eq!(session.next_push(&Latest(&[[1, 1]]), 0.0), None);
    assert_eq!(session.acknowledged_version(&Latest(&[[1, 1], [1, 2]])), 1);
}
