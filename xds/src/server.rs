//! The sockets: HTTP/2 connections, and the streams on them.

use crate::digest::{self, Digest};
use crate::grpc::{end, framed, Code, Reader, Status};
use crate::load::{self, Load};
use crate::methods;
use crate::resources::{Class, Library, Place};
use crate::session::{Heard, Kind, Push, Request, Session, Source, Variant};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, stream, AsyncRead, AsyncWrite, StreamExt};
use futures_rustls::rustls::ServerConnection;
use http_body_util::{Either, Empty, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Response};
use oatlever::round::Address;
use oatlever_identity::{Peer, TlsKeys};
use oatlever_tables::View;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3 as discovery;
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::{Any, Duration as ProtoDuration};

/// Streams on one connection: discovery and load, and as many again while it changes over.
const STREAMS: u32 = 8;

/// Where the front reads what was decided, and tells what proxies do.
pub trait Desk {
    /// Seconds on the pilot's clock.
    fn now(&self) -> f64;
    /// The asker that a peer comes as, by the node it names and the zone it says it sits in. Errors: why it
    /// may not.
    fn admit(&self, node: &str, zone: Option<&str>, peer: Option<&Peer>) -> Result<u16, String>;
    /// Unix time, s.
    fn unix(&self) -> f64;
    /// Its stream is up: it is bound by the time this returns, if it can be.
    fn arrive(&self, asker: u16);
    fn depart(&self, asker: u16);
    /// What it may use for a class now.
    fn look<R>(&self, asker: u16, class: u16, see: impl FnOnce(Option<View>) -> R) -> R;
    /// Counts changes of tables.
    fn version(&self) -> u64;
    /// The name of a server's zone.
    fn zone_of(&self, server: &Address) -> Option<String>;
    /// It holds nothing older than this version.
    fn acknowledged(&self, asker: u16, version: u64);
    /// It has refused what tables said at this version.
    fn refused(&self, asker: u16, version: u64, why: &str);
    fn load(&self, asker: u16, loads: Vec<Load>);
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// s
    pub patience: f64,
    pub most_bytes: usize,
    pub connections: usize,
    /// s between load reports.
    pub report_period: f64,
}

/// What all streams share.
pub struct Shared<D> {
    pub desk: D,
    library: RefCell<Library>,
    limits: Limits,
    /// Tells this pilot's versions from those of another, or of another life.
    epoch: String,
    open: RefCell<BTreeMap<u16, Rc<Stream>>>,
    connections: Cell<usize>,
    changed: Rc<Event>,
    /// Connections are plain without.
    keys: Option<RefCell<TlsKeys>>,
    pub counts: RefCell<Counts>,
}

/// What the front met, since its start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub pushes: u64,
    pub bytes: u64,
    pub acknowledged: u64,
    pub refused: u64,
    pub stale: u64,
    pub loads: u64,
    /// Handshakes that came to nothing.
    pub handshakes_failed: u64,
    /// Keys taken up from changed files, and changed files that could not be used.
    pub keys_renewed: u64,
    pub keys_left: u64,
    /// Streams that ended, by why.
    pub ended: BTreeMap<&'static str, u64>,
}

/// A discovery stream.
struct Stream {
    asker: u16,
    session: RefCell<Session>,
    variant: Variant,
    since: f64,
    /// Unix time that its proxy's certificate runs out at, s.
    until: f64,
    status: RefCell<Option<Status>>,
    wake: Event,
    /// The version last told to be held.
    told: Cell<u64>,
}

impl Stream {
    fn close(&self, status: Status) {
        self.status.borrow_mut().get_or_insert(status);
        self.wake.notify(usize::MAX);
    }
}

/// Tables as one asker sees them.
struct Sight<'a, D> {
    shared: &'a Shared<D>,
    asker: u16,
}

impl<D: Desk> Source for Sight<'_, D> {
    fn version(&self, kind: Kind, name: &str) -> Option<u64> {
        let library = self.shared.library.borrow();
        let class = library.class(name)?;
        self.shared.desk.look(self.asker, class, |view| library.version(kind, class, view.as_ref()))
    }

    fn names(&self, _: Kind) -> Vec<String> {
        self.shared.library.borrow().classes.iter().map(|class| class.name.clone()).collect()
    }

    fn now(&self) -> u64 {
        self.shared.desk.version()
    }
}

/// Zones of the servers of a view, looked up before it is borrowed.
struct Zones(BTreeMap<Address, String>);

impl Place for Zones {
    fn zone_of(&self, server: &Address) -> Option<&str> {
        self.0.get(server).map(String::as_str)
    }
}

impl<D: Desk> Shared<D> {
    /// `changed` tells that tables may have: streams look for themselves then. `epoch` is another in each
    /// life of a pilot.
    pub fn new(
        desk: D,
        classes: Vec<Class>,
        limits: Limits,
        changed: Rc<Event>,
        epoch: u64,
        keys: Option<TlsKeys>,
    ) -> Rc<Self> {
        Rc::new(Shared {
            desk,
            library: RefCell::new(Library::new(classes)),
            limits,
            epoch: format!("{epoch:x}"),
            open: RefCell::default(),
            connections: Cell::new(0),
            changed,
            keys: keys.map(RefCell::new),
            counts: RefCell::default(),
        })
    }

    /// Discovery streams open now.
    pub fn streams(&self) -> usize {
        self.open.borrow().len()
    }

    /// The number of a version as this pilot wrote it; none of another's.
    fn own_version(&self, text: &str) -> Option<u64> {
        let (epoch, rest) = text.split_once('.')?;
        let number = rest.split_once('.')?.0;
        (epoch == self.epoch).then(|| number.parse().ok()).flatten()
    }

    fn written(&self, asker: u16, kind: Kind, name: &str) -> Option<Any> {
        let class = self.library.borrow().class(name)?;
        let lines = |view: Option<View>| -> Vec<Address> {
            view.map_or(Vec::new(), |v| v.index.lines().iter().map(|line| line.server).collect())
        };
        let servers = if kind == Kind::Endpoints { self.desk.look(asker, class, lines) } else { Vec::new() };
        let zones = servers.into_iter().filter_map(|server| Some((server, self.desk.zone_of(&server)?)));
        let zones = Zones(zones.collect());
        let mut library = self.library.borrow_mut();
        Some(self.desk.look(asker, class, |view| library.resource(kind, class, view.as_ref(), &zones)))
    }

    /// The next message to a stream, if there is one now. Tells what the proxy holds by now.
    fn push(&self, stream: &Stream) -> Option<Bytes> {
        let sight = Sight { shared: self, asker: stream.asker };
        let push = stream.session.borrow_mut().next(&sight, self.desk.now());
        let held = stream.session.borrow().held(&sight);
        if held > stream.told.get() {
            stream.told.set(held);
            self.desk.acknowledged(stream.asker, held);
        }
        let bytes = push.map(|push| self.message(stream, push))?;
        let mut counts = self.counts.borrow_mut();
        counts.pushes += 1;
        counts.bytes += bytes.len() as u64;
        Some(bytes)
    }

    fn message(&self, stream: &Stream, push: Push) -> Bytes {
        let version = |number: u64, digest: Digest| format!("{}.{number}.{digest}", self.epoch);
        let type_url = push.kind.type_url().to_string();
        let written = push.resources.into_iter().filter_map(|(name, number)| {
            let written = self.written(stream.asker, push.kind, &name)?;
            Some((name, number, written))
        });
        match stream.variant {
            Variant::State => {
                let resources: Vec<_> = written.map(|(_, _, written)| written).collect();
                let digest = digest::of_bytes(resources.iter().map(|written| &written.value[..]));
                framed(&discovery::DiscoveryResponse {
                    version_info: version(push.at, digest),
                    resources,
                    type_url,
                    nonce: push.nonce,
                    ..Default::default()
                })
            }
            Variant::Delta => {
                let resource = |(name, number, written): (_, _, Any)| discovery::Resource {
                    name,
                    version: version(number, digest::of_bytes([&written.value[..]])),
                    resource: Some(written),
                    ..Default::default()
                };
                let holds = push.holds.iter().map(|(name, number)| (name.as_str(), *number));
                framed(&discovery::DeltaDiscoveryResponse {
                    system_version_info: version(push.at, digest::of_holdings(holds)),
                    resources: written.map(resource).collect(),
                    type_url,
                    removed_resources: push.removed,
                    nonce: push.nonce,
                    ..Default::default()
                })
            }
        }
    }

    fn hear(&self, stream: &Stream, kind: Kind, request: Request) -> Result<(), Status> {
        let heard = stream.session.borrow_mut().hear(kind, request);
        let mut counts = self.counts.borrow_mut();
        match heard {
            Heard::Acknowledged => counts.acknowledged += 1,
            Heard::Refused { at, why } => {
                counts.refused += 1;
                drop(counts);
                self.desk.refused(stream.asker, at, &why);
            }
            Heard::Stale => counts.stale += 1,
            Heard::Subscribed => {}
            Heard::TooMany => return Err(Status::new(Code::ResourceExhausted, "too many resource names")),
        }
        stream.wake.notify(usize::MAX);
        Ok(())
    }

    /// Takes up keys and certificates that have changed, for connections from now on.
    pub fn renew_keys(&self) {
        let Some(keys) = &self.keys else { return };
        let mut counts = self.counts.borrow_mut();
        match keys.borrow_mut().reload() {
            Ok(false) => {}
            Ok(true) => {
                tracing::info!("new keys taken up");
                counts.keys_renewed += 1;
            }
            Err(what) => {
                tracing::warn!(%what, "changed keys can't be used, the old ones stay");
                counts.keys_left += 1;
            }
        }
    }

    fn admit(&self, node: Option<&Node>, peer: Option<&Peer>) -> Result<u16, Status> {
        let name = node.map_or("", |node| node.id.as_str());
        let zone = node.and_then(|node| node.locality.as_ref()).map(|at| at.zone.as_str());
        let zone = zone.filter(|zone| !zone.is_empty());
        self.desk.admit(name, zone, peer).map_err(|why| Status::new(Code::PermissionDenied, why))
    }

    /// A node takes up a stream; an older one of the same node ends.
    fn join(&self, node: Option<&Node>, peer: Option<&Peer>, variant: Variant) -> Result<Rc<Stream>, Status> {
        let asker = self.admit(node, peer)?;
        let stream = Rc::new(Stream {
            asker,
            session: RefCell::new(Session::new(variant)),
            variant,
            since: self.desk.now(),
            until: peer.map_or(f64::INFINITY, |peer| peer.expires_at),
            status: RefCell::default(),
            wake: Event::new(),
            told: Cell::new(0),
        });
        let older = self.open.borrow_mut().insert(asker, stream.clone());
        if let Some(older) = older {
            older.close(Status::new(Code::Aborted, "the node has a newer stream"));
            self.desk.depart(asker);
        }
        self.desk.arrive(asker);
        Ok(stream)
    }

    fn leave(&self, stream: &Rc<Stream>) {
        let mut open = self.open.borrow_mut();
        if open.get(&stream.asker).is_some_and(|last| Rc::ptr_eq(last, stream)) {
            open.remove(&stream.asker);
            drop(open);
            self.desk.depart(stream.asker);
        }
    }

    /// That a certificate has run out, if it has.
    fn expired(&self, until: f64) -> Option<Status> {
        let expired = || Status::new(Code::Unauthenticated, "the client certificate has run out");
        (self.desk.unix() >= until).then(expired)
    }

    /// Why a stream must end now: its proxy has kept its pilot waiting for too long, or may no longer come as
    /// the node that it came as.
    fn trouble(&self, stream: &Stream) -> Option<Status> {
        if let Some(expired) = self.expired(stream.until) {
            return Some(expired);
        }
        let now = self.desk.now();
        let late = |since: f64| now - since > self.limits.patience;
        let session = stream.session.borrow();
        let bound = self.desk.look(stream.asker, 0, |view| view.is_some());
        // One that never asks for lines keeps those it came with. One that refuses them has answered: cut
        // off, it would dial again, refuse again, and so on.
        let overdue = session.unanswered_since().is_some_and(late)
            || bound && !session.has_answered() && late(stream.since);
        overdue.then(|| Status::new(Code::DeadlineExceeded, "no answer in time"))
    }
}

/// A request of either variant, with the node and kind that it names.
trait Asked: prost::Message + Default {
    const VARIANT: Variant;
    fn node(&self) -> Option<&Node>;
    fn type_url(&self) -> &str;
    fn request(self, version: impl Fn(&str) -> Option<u64>) -> Request;
}

impl Asked for discovery::DiscoveryRequest {
    const VARIANT: Variant = Variant::State;

    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn type_url(&self) -> &str {
        &self.type_url
    }

    fn request(self, _: impl Fn(&str) -> Option<u64>) -> Request {
        Request {
            nonce: self.response_nonce,
            names: self.resource_names,
            error: self.error_detail.map(|status| status.message),
            ..Request::default()
        }
    }
}

impl Asked for discovery::DeltaDiscoveryRequest {
    const VARIANT: Variant = Variant::Delta;

    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn type_url(&self) -> &str {
        &self.type_url
    }

    fn request(self, version: impl Fn(&str) -> Option<u64>) -> Request {
        let holds = self.initial_resource_versions.into_iter();
        Request {
            nonce: self.response_nonce,
            names: self.resource_names_subscribe,
            leave: self.resource_names_unsubscribe,
            holds: holds.filter_map(|(name, text)| Some((name, version(&text)?))).collect(),
            error: self.error_detail.map(|status| status.message),
        }
    }
}

type Messages = Pin<Box<dyn futures_lite::Stream<Item = Result<Frame<Bytes>, Infallible>>>>;

/// A body that is made as HTTP/2 asks for it, so that flow control is the channel.
fn body<D: Desk + 'static>(shared: Rc<Shared<D>>, stream: Rc<Stream>) -> Messages {
    let next = |(shared, stream, over): (Rc<Shared<D>>, Rc<Stream>, bool)| async move {
        loop {
            if over {
                return None;
            }
            let (changed, wake) = (shared.changed.listen(), stream.wake.listen());
            let status = stream.status.borrow().clone();
            if let Some(status) = status {
                return Some((Ok(end(&status)), (shared, stream, true)));
            }
            if let Some(bytes) = shared.push(&stream) {
                return Some((Ok(Frame::data(bytes)), (shared, stream, false)));
            }
            future::or(changed, wake).await;
        }
    };
    Box::pin(stream::unfold((shared, stream, false), next))
}

/// Hears a discovery stream until it ends, and why.
async fn converse<D: Desk, M: Asked>(
    shared: &Rc<Shared<D>>,
    stream: &Rc<Stream>,
    reader: &mut Reader<Incoming>,
    mut first: Option<M>,
) -> Status {
    loop {
        let asked = match first.take() {
            Some(asked) => asked,
            None => {
                let closed = async {
                    loop {
                        let wake = stream.wake.listen();
                        let told = stream.status.borrow().clone();
                        if let Some(status) = told.or_else(|| shared.trouble(stream)) {
                            return Err(status);
                        }
                        let pause = Duration::from_secs_f64(shared.limits.patience / 4.0);
                        let timer = async {
                            Timer::after(pause).await;
                        };
                        future::or(wake, timer).await;
                    }
                };
                match future::or(closed, reader.next::<M>()).await {
                    Ok(Some(asked)) => asked,
                    Ok(None) => return Status::new(Code::Ok, "ended by the proxy"),
                    Err(status) => return status,
                }
            }
        };
        let Some(kind) = Kind::of(asked.type_url()) else {
            return Status::new(Code::InvalidArgument, format!("unknown type {:?}", asked.type_url()));
        };
        let request = asked.request(|text| shared.own_version(text));
        if let Err(status) = shared.hear(stream, kind, request) {
            return status;
        }
    }
}

type Answer = Response<Either<StreamBody<Messages>, Empty<Bytes>>>;

fn answer(messages: Option<Messages>) -> Answer {
    let body =
        messages.map_or(Either::Right(Empty::new()), |messages| Either::Left(StreamBody::new(messages)));
    let mut response = Response::new(body);
    let kind = hyper::header::HeaderValue::from_static("application/grpc");
    response.headers_mut().insert("content-type", kind);
    response
}

/// A response that is nothing but a status.
fn refusal(status: &Status) -> Answer {
    let mut response = answer(None);
    response.headers_mut().extend(status.trailers());
    response
}

/// A discovery stream, from its first request on.
async fn discover<D: Desk + 'static, M: Asked + 'static>(
    shared: Rc<Shared<D>>,
    mut reader: Reader<Incoming>,
    peer: Option<Rc<Peer>>,
    executor: Rc<LocalExecutor<'static>>,
) -> Answer {
    let patience = Duration::from_secs_f64(shared.limits.patience);
    let late = async {
        Timer::after(patience).await;
        Err(Status::new(Code::DeadlineExceeded, "no first request in time"))
    };
    let first: M = match future::or(reader.next(), late).await {
        Ok(Some(first)) => first,
        Ok(None) => return refusal(&Status::new(Code::InvalidArgument, "no request")),
        Err(status) => return refusal(&status),
    };
    let stream = match shared.join(first.node(), peer.as_deref(), M::VARIANT) {
        Ok(stream) => stream,
        Err(status) => {
            *shared.counts.borrow_mut().ended.entry("refused").or_default() += 1;
            return refusal(&status);
        }
    };
    let messages = body(shared.clone(), stream.clone());
    let hear = async move {
        let status = converse(&shared, &stream, &mut reader, Some(first)).await;
        let why = match status.code {
            Code::Ok => "by the proxy",
            Code::DeadlineExceeded => "too slow",
            Code::Aborted => "replaced",
            Code::Unavailable => "broken",
            Code::Unauthenticated => "expired",
            _ => "malformed",
        };
        tracing::info!(asker = stream.asker, %status, "stream ended");
        *shared.counts.borrow_mut().ended.entry(why).or_default() += 1;
        stream.close(status);
        shared.leave(&stream);
    };
    executor.spawn(hear).detach();
    answer(Some(messages))
}

/// A load reporting stream: one answer says what is wanted, then reports come.
fn loads<D: Desk + 'static>(
    shared: Rc<Shared<D>>,
    mut reader: Reader<Incoming>,
    peer: Option<Rc<Peer>>,
    executor: Rc<LocalExecutor<'static>>,
) -> Answer {
    let (told, status) = (Rc::new(Event::new()), Rc::new(RefCell::new(None::<Status>)));
    let period = shared.limits.report_period;
    let wanted = LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(ProtoDuration {
            seconds: period as i64,
            nanos: (period.fract() * 1e9) as i32,
        }),
        report_endpoint_granularity: true,
        ..Default::default()
    };
    let (end_told, end_status) = (told.clone(), status.clone());
    let hear = async move {
        let mut asker = None;
        let ended = loop {
            let report: LoadStatsRequest = match reader.next().await {
                Ok(Some(report)) => report,
                Ok(None) => break Status::new(Code::Ok, "ended by the proxy"),
                Err(status) => break status,
            };
            let of = match asker {
                // Only the first names its node.
                Some(of) => of,
                None => match shared.admit(report.node.as_ref(), peer.as_deref()) {
                    Ok(of) => *asker.insert(of),
                    Err(status) => break status,
                },
            };
            if let Some(expired) = peer.as_ref().and_then(|peer| shared.expired(peer.expires_at)) {
                break expired;
            }
            let read = report.cluster_stats.iter().filter_map(load::read);
            shared.counts.borrow_mut().loads += 1;
            shared.desk.load(of, read.collect());
        };
        *end_status.borrow_mut() = Some(ended);
        end_told.notify(usize::MAX);
    };
    executor.spawn(hear).detach();
    let first = stream::once(Ok(Frame::data(framed(&wanted))));
    let last = stream::once_future(async move {
        loop {
            let listener = told.listen();
            let ended = status.borrow().clone();
            if let Some(status) = ended {
                return Ok(end(&status));
            }
            listener.await;
        }
    });
    answer(Some(Box::pin(first.chain(last))))
}

/// Spawns what HTTP/2 needs on an executor of one thread.
#[derive(Clone)]
pub struct Local(pub Rc<LocalExecutor<'static>>);

impl<F: Future + 'static> hyper::rt::Executor<F> for Local {
    fn execute(&self, work: F) {
        let work = async move {
            work.await;
        };
        self.0.spawn(work).detach();
    }
}

/// Serves a connection until it ends. `asked` tells that a request came.
async fn requests<D: Desk + 'static>(
    socket: impl AsyncRead + AsyncWrite + Unpin + 'static,
    peer: Option<Rc<Peer>>,
    shared: Rc<Shared<D>>,
    executor: Rc<LocalExecutor<'static>>,
    asked: &Cell<bool>,
) {
    let service = service_fn(|request: hyper::Request<Incoming>| {
        asked.set(true);
        let (shared, peer, executor) = (shared.clone(), peer.clone(), executor.clone());
        async move {
            let (head, body) = request.into_parts();
            let reader = Reader::new(body, shared.limits.most_bytes);
            let response = match (head.method, head.uri.path()) {
                (Method::POST, methods::STATE) => {
                    discover::<_, discovery::DiscoveryRequest>(shared, reader, peer, executor).await
                }
                (Method::POST, methods::DELTA) => {
                    discover::<_, discovery::DeltaDiscoveryRequest>(shared, reader, peer, executor).await
                }
                (Method::POST, methods::LOAD) => loads(shared, reader, peer, executor),
                _ => refusal(&Status::new(Code::Unimplemented, "no such method")),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = hyper::server::conn::http2::Builder::new(Local(executor.clone()));
    builder.max_concurrent_streams(STREAMS);
    // However it ends, its streams hear of it by themselves.
    let _ = builder.serve_connection(FuturesIo::new(socket), service).await;
}

/// Who is at the other end, once the handshake has found its certificate good.
fn peer_of(connection: &ServerConnection) -> Result<Option<Rc<Peer>>, String> {
    let shown = connection.peer_certificates().and_then(|chain| chain.first());
    shown.map(|certificate| Peer::from_der(certificate).map(Rc::new)).transpose()
}

async fn connection<D: Desk + 'static>(
    socket: Async<TcpStream>,
    shared: Rc<Shared<D>>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let asked = Cell::new(false);
    let served = async {
        let acceptor = shared.keys.as_ref().map(|keys| keys.borrow().acceptor());
        let Some(acceptor) = acceptor else {
            return requests(socket, None, shared.clone(), executor, &asked).await;
        };
        let met = match acceptor.accept(socket).await {
            Ok(stream) => peer_of(stream.get_ref().1).map(|peer| (stream, peer)),
            Err(e) => Err(e.to_string()),
        };
        match met {
            Ok((stream, peer)) => requests(stream, peer, shared.clone(), executor, &asked).await,
            Err(what) => {
                tracing::info!(%what, "handshake failed");
                shared.counts.borrow_mut().handshakes_failed += 1;
            }
        }
    };
    // Guards against connections that say nothing: a few thousand would keep all proxies out.
    let silent = async {
        Timer::after(Duration::from_secs_f64(shared.limits.patience)).await;
        if asked.get() {
            future::pending::<()>().await;
        }
    };
    future::or(served, silent).await;
}

/// Serves for ever; connections past the limit are closed at once.
pub async fn serve<D: Desk + 'static>(
    listener: TcpListener,
    shared: Rc<Shared<D>>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let listener = Async::<TcpListener>::try_from(listener)?;
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        if shared.connections.get() >= shared.limits.connections {
            continue;
        }
        let _ = socket.get_ref().set_nodelay(true);
        shared.connections.set(shared.connections.get() + 1);
        let (shared, of) = (shared.clone(), executor.clone());
        let talk = async move {
            connection(socket, shared.clone(), of).await;
            shared.connections.set(shared.connections.get() - 1);
        };
        executor.spawn(talk).detach();
    }
}
