//! The HTTP/2 connections of the xDS server and the gRPC streams on them.

use crate::digest::{self, Digest};
use crate::grpc::{framed, trailers_frame, Code, Reader, Status};
use crate::load::{self, LoadReport};
use crate::methods;
use crate::resources::{Class, ResourceCache, ZoneLookup};
use crate::session::{Push, Request, RequestOutcome, ResourceType, Session, Snapshot, Variant};
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
use oatlever_fetch::{AsyncIo, Counted, Progress, Timeouts};
use oatlever_identity::{Peer, TlsKeys};
use oatlever_tables::View;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3 as discovery;
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::{Any, Duration as ProtoDuration};

/// Per connection. A proxy needs one discovery and one load stream, and twice as many while it replaces them.
const MAX_CONCURRENT_STREAMS: u32 = 8;

/// How long an overdue answer is waited for that may have arrived and not be read yet, and then the number of turns that
/// other tasks get.
const INPUT_DELAY: Duration = Duration::from_millis(10);
const INPUT_TURNS: usize = 4;

/// Supplies the tables to publish and receives what proxies report.
pub trait Backend {
    /// Seconds on the pilot's clock.
    fn now(&self) -> f64;
    /// The asker that a peer may connect as, from its node name, the zone that it claims to be in, and the identity in
    /// its certificate. Fails with the reason for which it is denied.
    fn authorize(&self, node: &str, zone: Option<&str>, peer: Option<&Peer>) -> Result<u16, String>;
    /// Unix time in seconds.
    fn unix_time(&self) -> f64;
    /// Called when an asker has opened a discovery stream. The asker is bound to a table on return, if there is one.
    fn stream_opened(&self, asker: u16);
    fn stream_closed(&self, asker: u16);
    /// Passes the lines of a class that an asker currently uses to `read`.
    fn with_view<R>(&self, asker: u16, class: u16, read: impl FnOnce(Option<View>) -> R) -> R;
    /// Increases with each change of the tables.
    fn tables_version(&self) -> u64;
    /// The name of a server's zone.
    fn zone_of(&self, server: &Address) -> Option<String>;
    /// Called when an asker is known to hold nothing older than this version of the tables.
    fn acknowledged(&self, asker: u16, version: u64);
    /// Called when an asker has rejected a response made of this version of the tables.
    fn rejected(&self, asker: u16, version: u64, reason: &str);
    fn load_reported(&self, asker: u16, reports: Vec<LoadReport>);
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// s; a stream ends if its proxy does not answer a response within this time, and a connection if it is silent for
    /// this long before it has made a request.
    pub response_timeout: f64,
    pub max_message_bytes: usize,
    pub max_connections: usize,
    /// s between load reports.
    pub report_period: f64,
}

impl Limits {
    /// Limits on the time of a first request. A proxy that has none yet holds no table, so that its request may take
    /// longer to arrive than an answer.
    fn request_timeouts(&self) -> Timeouts {
        Timeouts::from_silence(self.response_timeout)
    }
}

/// The state shared by all connections.
pub struct Server<B> {
    pub backend: B,
    cache: RefCell<ResourceCache>,
    limits: Limits,
    /// Distinguishes the versions of this run from those of other runs and of other pilots.
    epoch: String,
    /// The open discovery stream of each asker.
    streams: RefCell<BTreeMap<u16, Rc<Stream>>>,
    connections: Cell<usize>,
    changed: Rc<Event>,
    /// Connections use TLS if there are keys, and are in plain text otherwise.
    keys: Option<RefCell<TlsKeys>>,
    pub counts: RefCell<Counts>,
}

/// Event counts since the start of the server.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Discovery responses sent, and their size.
    pub pushes: u64,
    pub bytes: u64,
    pub acknowledged: u64,
    pub rejected: u64,
    /// Requests that answer an older response than the last.
    pub stale: u64,
    pub load_reports: u64,
    pub handshakes_failed: u64,
    /// Changed key files that were loaded, and ones that could not be.
    pub key_reloads: u64,
    pub key_reload_failures: u64,
    /// Ended discovery streams by reason.
    pub streams_ended: BTreeMap<&'static str, u64>,
}

/// A discovery stream.
struct Stream {
    asker: u16,
    session: RefCell<Session>,
    variant: Variant,
    opened_at: f64,
    /// Unix time in seconds at which the proxy's certificate expires.
    expires_at: f64,
    /// The status that the stream is to end with, once it is to end.
    status: RefCell<Option<Status>>,
    /// Signals a request or that the stream is to end.
    wake: Event,
    /// The version last passed to [`Backend::acknowledged`].
    acknowledged: Cell<u64>,
}

impl Stream {
    fn close(&self, status: Status) {
        self.status.borrow_mut().get_or_insert(status);
        self.wake.notify(usize::MAX);
    }
}

/// The resources as one asker sees them.
struct AskerSnapshot<'a, B> {
    server: &'a Server<B>,
    asker: u16,
}

impl<B: Backend> Snapshot for AskerSnapshot<'_, B> {
    fn version(&self, resource_type: ResourceType, name: &str) -> Option<u64> {
        let cache = self.server.cache.borrow();
        let class = cache.class(name)?;
        let version = |view: Option<View>| cache.version(resource_type, class, view.as_ref());
        self.server.backend.with_view(self.asker, class, version)
    }

    fn names(&self, _: ResourceType) -> Vec<String> {
        self.server.cache.borrow().classes.iter().map(|class| class.name.clone()).collect()
    }

    fn tables_version(&self) -> u64 {
        self.server.backend.tables_version()
    }
}

/// The zones of the servers in a view. They are collected in advance because the backend can't be queried while it
/// lends the view.
struct Zones(BTreeMap<Address, String>);

impl ZoneLookup for Zones {
    fn zone_of(&self, server: &Address) -> Option<&str> {
        self.0.get(server).map(String::as_str)
    }
}

impl<B: Backend> Server<B> {
    /// `changed` signals that tables may have changed; each stream then checks its own. `epoch` must differ between
    /// runs.
    pub fn new(
        backend: B,
        classes: Vec<Class>,
        limits: Limits,
        changed: Rc<Event>,
        epoch: u64,
        keys: Option<TlsKeys>,
    ) -> Rc<Self> {
        Rc::new(Server {
            backend,
            cache: RefCell::new(ResourceCache::new(classes)),
            limits,
            epoch: format!("{epoch:x}"),
            streams: RefCell::default(),
            connections: Cell::new(0),
            changed,
            keys: keys.map(RefCell::new),
            counts: RefCell::default(),
        })
    }

    /// The number of open discovery streams.
    pub fn open_streams(&self) -> usize {
        self.streams.borrow().len()
    }

    /// The number in a version string of this run; `None` for one of another run.
    fn parse_version(&self, text: &str) -> Option<u64> {
        let (epoch, rest) = text.split_once('.')?;
        let number = rest.split_once('.')?.0;
        (epoch == self.epoch).then(|| number.parse().ok()).flatten()
    }

    fn resource(&self, asker: u16, resource_type: ResourceType, name: &str) -> Option<Any> {
        let class = self.cache.borrow().class(name)?;
        let list_servers = |view: Option<View>| -> Vec<Address> {
            view.map_or(Vec::new(), |v| v.index.lines().iter().map(|line| line.server).collect())
        };
        let servers = match resource_type {
            ResourceType::Endpoints => self.backend.with_view(asker, class, list_servers),
            _ => Vec::new(),
        };
        let zones = servers.into_iter().filter_map(|server| Some((server, self.backend.zone_of(&server)?)));
        let zones = Zones(zones.collect());
        let mut cache = self.cache.borrow_mut();
        let resource = |view: Option<View>| cache.resource(resource_type, class, view.as_ref(), &zones);
        Some(self.backend.with_view(asker, class, resource))
    }

    /// The next message on a stream, if there is one to send now. Also tells the backend which version the proxy has
    /// acknowledged.
    fn next_message(&self, stream: &Stream) -> Option<Bytes> {
        let snapshot = AskerSnapshot { server: self, asker: stream.asker };
        let push = stream.session.borrow_mut().next_push(&snapshot, self.backend.now());
        let acknowledged = stream.session.borrow().acknowledged_version(&snapshot);
        if acknowledged > stream.acknowledged.get() {
            stream.acknowledged.set(acknowledged);
            self.backend.acknowledged(stream.asker, acknowledged);
        }
        let bytes = push.map(|push| self.encode(stream, push))?;
        let mut counts = self.counts.borrow_mut();
        counts.pushes += 1;
        counts.bytes += bytes.len() as u64;
        Some(bytes)
    }

    fn encode(&self, stream: &Stream, push: Push) -> Bytes {
        let version = |number: u64, digest: Digest| format!("{}.{number}.{digest}", self.epoch);
        let type_url = push.resource_type.type_url().to_string();
        let resources = push.resources.into_iter().filter_map(|(name, number)| {
            let resource = self.resource(stream.asker, push.resource_type, &name)?;
            Some((name, number, resource))
        });
        match stream.variant {
            Variant::StateOfTheWorld => {
                let resources: Vec<_> = resources.map(|(_, _, resource)| resource).collect();
                let digest = digest::of_bytes(resources.iter().map(|resource| &resource.value[..]));
                framed(&discovery::DiscoveryResponse {
                    version_info: version(push.tables_version, digest),
                    resources,
                    type_url,
                    nonce: push.nonce,
                    ..Default::default()
                })
            }
            Variant::Incremental => {
                let versioned = |(name, number, resource): (_, _, Any)| discovery::Resource {
                    name,
                    version: version(number, digest::of_bytes([&resource.value[..]])),
                    resource: Some(resource),
                    ..Default::default()
                };
                let held = push.held_after.iter().map(|(name, number)| (name.as_str(), *number));
                framed(&discovery::DeltaDiscoveryResponse {
                    system_version_info: version(push.tables_version, digest::of_versions(held)),
                    resources: resources.map(versioned).collect(),
                    type_url,
                    removed_resources: push.removed,
                    nonce: push.nonce,
                    ..Default::default()
                })
            }
        }
    }

    fn handle_request(
        &self,
        stream: &Stream,
        resource_type: ResourceType,
        request: Request,
    ) -> Result<(), Status> {
        let outcome = stream.session.borrow_mut().handle_request(resource_type, request);
        let mut counts = self.counts.borrow_mut();
        match outcome {
            RequestOutcome::Acknowledged => counts.acknowledged += 1,
            RequestOutcome::Rejected { tables_version, reason } => {
                counts.rejected += 1;
                drop(counts);
                self.backend.rejected(stream.asker, tables_version, &reason);
            }
            RequestOutcome::Stale => counts.stale += 1,
            RequestOutcome::Subscribed => {}
            RequestOutcome::TooManyNames => {
                return Err(Status::new(Code::ResourceExhausted, "too many resource names"));
            }
        }
        stream.wake.notify(usize::MAX);
        Ok(())
    }

    /// Loads changed key and certificate files. They apply to new connections only.
    pub fn reload_keys(&self) {
        let Some(keys) = &self.keys else { return };
        let mut counts = self.counts.borrow_mut();
        match keys.borrow_mut().reload() {
            Ok(false) => {}
            Ok(true) => {
                tracing::info!("TLS keys reloaded");
                counts.key_reloads += 1;
            }
            Err(what) => {
                tracing::warn!(%what, "cannot load changed TLS keys, keeping the previous ones");
                counts.key_reload_failures += 1;
            }
        }
    }

    fn authorize(&self, node: Option<&Node>, peer: Option<&Peer>) -> Result<u16, Status> {
        let name = node.map_or("", |node| node.id.as_str());
        let zone = node.and_then(|node| node.locality.as_ref()).map(|locality| locality.zone.as_str());
        let zone = zone.filter(|zone| !zone.is_empty());
        self.backend.authorize(name, zone, peer).map_err(|reason| Status::new(Code::PermissionDenied, reason))
    }

    /// Opens a discovery stream for a node and ends an older one of the same node.
    fn open_stream(
        &self,
        node: Option<&Node>,
        peer: Option<&Peer>,
        variant: Variant,
    ) -> Result<Rc<Stream>, Status> {
        let asker = self.authorize(node, peer)?;
        let stream = Rc::new(Stream {
            asker,
            session: RefCell::new(Session::new(variant)),
            variant,
            opened_at: self.backend.now(),
            expires_at: peer.map_or(f64::INFINITY, |peer| peer.expires_at),
            status: RefCell::default(),
            wake: Event::new(),
            acknowledged: Cell::new(0),
        });
        let older = self.streams.borrow_mut().insert(asker, stream.clone());
        if let Some(older) = older {
            older.close(Status::new(Code::Aborted, "the node has a newer stream"));
            self.backend.stream_closed(asker);
        }
        self.backend.stream_opened(asker);
        Ok(stream)
    }

    /// Forgets a stream, unless a newer one has replaced it.
    fn remove_stream(&self, stream: &Rc<Stream>) {
        let mut streams = self.streams.borrow_mut();
        if streams.get(&stream.asker).is_some_and(|latest| Rc::ptr_eq(latest, stream)) {
            streams.remove(&stream.asker);
            drop(streams);
            self.backend.stream_closed(stream.asker);
        }
    }

    /// The status for a certificate that has expired; `None` for a valid one.
    fn check_expiry(&self, expires_at: f64) -> Option<Status> {
        let expired = || Status::new(Code::Unauthenticated, "the client certificate has run out");
        (self.backend.unix_time() >= expires_at).then(expired)
    }

    /// The status with which a stream must end now because its certificate has expired or its proxy is too slow to
    /// answer.
    fn check_stream(&self, stream: &Stream) -> Option<Status> {
        if let Some(expired) = self.check_expiry(stream.expires_at) {
            return Some(expired);
        }
        let now = self.backend.now();
        let timed_out = |since: f64| now - since > self.limits.response_timeout;
        let session = stream.session.borrow();
        let bound = self.backend.with_view(stream.asker, 0, |view| view.is_some());
        // A proxy that never requests endpoints would keep using those that it connected with. A proxy that rejects
        // them has answered; if its stream were closed, it would reconnect only to reject them again.
        let overdue = session.unanswered_since().is_some_and(timed_out)
            || bound && !session.has_answered() && timed_out(stream.opened_at);
        overdue.then(|| Status::new(Code::DeadlineExceeded, "no answer in time"))
    }
}

/// The discovery request message of either variant.
trait DiscoveryMessage: prost::Message + Default {
    const VARIANT: Variant;
    fn node(&self) -> Option<&Node>;
    fn type_url(&self) -> &str;
    /// `parse_version` returns the number in a version string.
    fn into_request(self, parse_version: impl Fn(&str) -> Option<u64>) -> Request;
}

impl DiscoveryMessage for discovery::DiscoveryRequest {
    const VARIANT: Variant = Variant::StateOfTheWorld;

    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn type_url(&self) -> &str {
        &self.type_url
    }

    fn into_request(self, _: impl Fn(&str) -> Option<u64>) -> Request {
        Request {
            nonce: self.response_nonce,
            subscribe: self.resource_names,
            error: self.error_detail.map(|status| status.message),
            ..Request::default()
        }
    }
}

impl DiscoveryMessage for discovery::DeltaDiscoveryRequest {
    const VARIANT: Variant = Variant::Incremental;

    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn type_url(&self) -> &str {
        &self.type_url
    }

    fn into_request(self, parse_version: impl Fn(&str) -> Option<u64>) -> Request {
        let versions = self.initial_resource_versions.into_iter();
        let versions = versions.filter_map(|(name, text)| Some((name, parse_version(&text)?)));
        Request {
            nonce: self.response_nonce,
            subscribe: self.resource_names_subscribe,
            unsubscribe: self.resource_names_unsubscribe,
            initial_versions: versions.collect(),
            error: self.error_detail.map(|status| status.message),
        }
    }
}

type Messages = Pin<Box<dyn futures_lite::Stream<Item = Result<Frame<Bytes>, Infallible>>>>;

/// The response body of a discovery stream. Messages are made only when HTTP/2 polls for them, so that its flow control
/// replaces a queue of messages.
fn discovery_body<B: Backend + 'static>(server: Rc<Server<B>>, stream: Rc<Stream>) -> Messages {
    let next = |(server, stream, ended): (Rc<Server<B>>, Rc<Stream>, bool)| async move {
        loop {
            if ended {
                return None;
            }
            let (changed, wake) = (server.changed.listen(), stream.wake.listen());
            let status = stream.status.borrow().clone();
            if let Some(status) = status {
                return Some((Ok(trailers_frame(&status)), (server, stream, true)));
            }
            if let Some(bytes) = server.next_message(&stream) {
                return Some((Ok(Frame::data(bytes)), (server, stream, false)));
            }
            future::or(changed, wake).await;
        }
    };
    Box::pin(stream::unfold((server, stream, false), next))
}

/// Lets other tasks handle what has arrived so far.
async fn handle_pending_input() {
    Timer::after(INPUT_DELAY).await;
    for _ in 0..INPUT_TURNS {
        future::yield_now().await;
    }
}

/// Completes with the status that a stream must end with.
async fn end_status<B: Backend>(server: &Server<B>, stream: &Stream) -> Status {
    loop {
        let wake = stream.wake.listen();
        let status = stream.status.borrow().clone();
        if let Some(status) = status {
            return status;
        }
        if server.check_stream(stream).is_some() {
            // If this process has stood still, the answer may have arrived in time and not be read yet.
            handle_pending_input().await;
            if let Some(status) = server.check_stream(stream) {
                return status;
            }
        }
        let pause = Duration::from_secs_f64(server.limits.response_timeout / 4.0);
        let timer = async {
            Timer::after(pause).await;
        };
        future::or(wake, timer).await;
    }
}

/// Handles the requests of a discovery stream until it ends. Returns the status that it ends with.
async fn handle_requests<B: Backend, M: DiscoveryMessage>(
    server: &Rc<Server<B>>,
    stream: &Rc<Stream>,
    reader: &mut Reader<Incoming>,
    mut first: Option<M>,
) -> Status {
    // Not made anew for each request, so that frequent requests don't postpone the end.
    let mut ended = pin!(async { Err(end_status(server, stream).await) });
    loop {
        let message = match first.take() {
            Some(message) => message,
            None => match future::or(ended.as_mut(), reader.next::<M>()).await {
                Ok(Some(message)) => message,
                Ok(None) => return Status::new(Code::Ok, "ended by the proxy"),
                Err(status) => return status,
            },
        };
        let Some(resource_type) = ResourceType::from_type_url(message.type_url()) else {
            return Status::new(Code::InvalidArgument, format!("unknown type {:?}", message.type_url()));
        };
        let request = message.into_request(|text| server.parse_version(text));
        if let Err(status) = server.handle_request(stream, resource_type, request) {
            return status;
        }
    }
}

/// A connection that requests arrive on.
#[derive(Clone)]
struct Connection {
    /// The identity in the client certificate, if there is one.
    peer: Option<Rc<Peer>>,
    progress: Rc<Progress>,
}

type GrpcResponse = Response<Either<StreamBody<Messages>, Empty<Bytes>>>;

fn grpc_response(messages: Option<Messages>) -> GrpcResponse {
    let body =
        messages.map_or(Either::Right(Empty::new()), |messages| Either::Left(StreamBody::new(messages)));
    let mut response = Response::new(body);
    let content_type = hyper::header::HeaderValue::from_static("application/grpc");
    response.headers_mut().insert("content-type", content_type);
    response
}

/// A response without messages, which has the status in its headers ("Trailers-Only").
fn status_response(status: &Status) -> GrpcResponse {
    let mut response = grpc_response(None);
    response.headers_mut().extend(status.trailers());
    response
}

/// Serves a discovery stream: waits for the first request and spawns a task for the others.
async fn serve_discovery<B: Backend + 'static, M: DiscoveryMessage + 'static>(
    server: Rc<Server<B>>,
    mut reader: Reader<Incoming>,
    connection: Connection,
    executor: Rc<LocalExecutor<'static>>,
) -> GrpcResponse {
    let timed_out = async {
        connection.progress.exceeded::<AsyncIo>(&server.limits.request_timeouts()).await;
        Err(Status::new(Code::DeadlineExceeded, "no first request in time"))
    };
    let first: M = match future::or(reader.next(), timed_out).await {
        Ok(Some(first)) => first,
        Ok(None) => return status_response(&Status::new(Code::InvalidArgument, "no request")),
        Err(status) => return status_response(&status),
    };
    let stream = match server.open_stream(first.node(), connection.peer.as_deref(), M::VARIANT) {
        Ok(stream) => stream,
        Err(status) => {
            *server.counts.borrow_mut().streams_ended.entry("refused").or_default() += 1;
            return status_response(&status);
        }
    };
    let messages = discovery_body(server.clone(), stream.clone());
    let requests = async move {
        let status = handle_requests(&server, &stream, &mut reader, Some(first)).await;
        let why = match status.code {
            Code::Ok => "by the proxy",
            Code::DeadlineExceeded => "too slow",
            Code::Aborted => "replaced",
            Code::Unavailable => "broken",
            Code::Unauthenticated => "expired",
            _ => "malformed",
        };
        tracing::info!(asker = stream.asker, %status, "discovery stream ended");
        *server.counts.borrow_mut().streams_ended.entry(why).or_default() += 1;
        stream.close(status);
        server.remove_stream(&stream);
    };
    executor.spawn(requests).detach();
    grpc_response(Some(messages))
}

/// Serves a load reporting stream: one response requests the reports, and then the reports arrive.
fn serve_load_stats<B: Backend + 'static>(
    server: Rc<Server<B>>,
    mut reader: Reader<Incoming>,
    peer: Option<Rc<Peer>>,
    executor: Rc<LocalExecutor<'static>>,
) -> GrpcResponse {
    let (ended, status) = (Rc::new(Event::new()), Rc::new(RefCell::new(None::<Status>)));
    let period = server.limits.report_period;
    let response = LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(ProtoDuration {
            seconds: period as i64,
            nanos: (period.fract() * 1e9) as i32,
        }),
        report_endpoint_granularity: true,
        ..Default::default()
    };
    let (notify_ended, end_status) = (ended.clone(), status.clone());
    let requests = async move {
        let mut known_asker = None;
        let status = loop {
            let report: LoadStatsRequest = match reader.next().await {
                Ok(Some(report)) => report,
                Ok(None) => break Status::new(Code::Ok, "ended by the proxy"),
                Err(status) => break status,
            };
            let asker = match known_asker {
                // Only the first request names the node.
                Some(asker) => asker,
                None => match server.authorize(report.node.as_ref(), peer.as_deref()) {
                    Ok(asker) => *known_asker.insert(asker),
                    Err(status) => break status,
                },
            };
            if let Some(expired) = peer.as_ref().and_then(|peer| server.check_expiry(peer.expires_at)) {
                break expired;
            }
            let reports = report.cluster_stats.iter().filter_map(load::read);
            server.counts.borrow_mut().load_reports += 1;
            server.backend.load_reported(asker, reports.collect());
        };
        *end_status.borrow_mut() = Some(status);
        notify_ended.notify(usize::MAX);
    };
    executor.spawn(requests).detach();
    let first = stream::once(Ok(Frame::data(framed(&response))));
    let last = stream::once_future(async move {
        loop {
            let listener = ended.listen();
            let status = status.borrow().clone();
            if let Some(status) = status {
                return Ok(trailers_frame(&status));
            }
            listener.await;
        }
    });
    grpc_response(Some(Box::pin(first.chain(last))))
}

/// Lets hyper spawn tasks on a single-threaded executor.
#[derive(Clone)]
pub struct HyperExecutor(pub Rc<LocalExecutor<'static>>);

impl<F: Future + 'static> hyper::rt::Executor<F> for HyperExecutor {
    fn execute(&self, future: F) {
        let task = async move {
            future.await;
        };
        self.0.spawn(task).detach();
    }
}

/// Serves HTTP/2 on a connection until it ends. Sets `received_request` on the first request.
async fn serve_http<B: Backend + 'static>(
    socket: impl AsyncRead + AsyncWrite + Unpin + 'static,
    connection: Connection,
    server: Rc<Server<B>>,
    executor: Rc<LocalExecutor<'static>>,
    received_request: &Cell<bool>,
) {
    let service = service_fn(|request: hyper::Request<Incoming>| {
        received_request.set(true);
        let (server, connection, executor) = (server.clone(), connection.clone(), executor.clone());
        async move {
            let (head, body) = request.into_parts();
            let reader = Reader::new(body, server.limits.max_message_bytes);
            let response = match (head.method, head.uri.path()) {
                (Method::POST, methods::STREAM_AGGREGATED_RESOURCES) => {
                    serve_discovery::<_, discovery::DiscoveryRequest>(server, reader, connection, executor)
                        .await
                }
                (Method::POST, methods::DELTA_AGGREGATED_RESOURCES) => {
                    serve_discovery::<_, discovery::DeltaDiscoveryRequest>(
                        server, reader, connection, executor,
                    )
                    .await
                }
                (Method::POST, methods::STREAM_LOAD_STATS) => {
                    serve_load_stats(server, reader, connection.peer, executor)
                }
                _ => status_response(&Status::new(Code::Unimplemented, "no such method")),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = hyper::server::conn::http2::Builder::new(HyperExecutor(executor.clone()));
    builder.max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    // The streams notice errors of the connection through their request bodies.
    let _ = builder.serve_connection(FuturesIo::new(socket), service).await;
}

/// The identity in the client certificate, which the handshake has verified; `None` without a certificate.
fn peer_identity(connection: &ServerConnection) -> Result<Option<Rc<Peer>>, String> {
    let certificate = connection.peer_certificates().and_then(|chain| chain.first());
    certificate.map(|certificate| Peer::from_der(certificate).map(Rc::new)).transpose()
}

/// Serves an accepted connection, over TLS if the server has keys.
async fn serve_connection<B: Backend + 'static>(
    socket: Async<TcpStream>,
    server: Rc<Server<B>>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let received_request = Cell::new(false);
    let progress = Rc::new(Progress::default());
    let socket = Counted::new(socket, progress.clone());
    let served = async {
        let acceptor = server.keys.as_ref().map(|keys| keys.borrow().acceptor());
        let Some(acceptor) = acceptor else {
            let connection = Connection { peer: None, progress: progress.clone() };
            return serve_http(socket, connection, server.clone(), executor, &received_request).await;
        };
        let handshake = match acceptor.accept(socket).await {
            Ok(stream) => peer_identity(stream.get_ref().1).map(|peer| (stream, peer)),
            Err(e) => Err(e.to_string()),
        };
        match handshake {
            Ok((stream, peer)) => {
                let connection = Connection { peer, progress: progress.clone() };
                serve_http(stream, connection, server.clone(), executor, &received_request).await
            }
            Err(what) => {
                tracing::info!(%what, "TLS handshake failed");
                server.counts.borrow_mut().handshakes_failed += 1;
            }
        }
    };
    // Closes connections without a request: a few thousand idle ones would lock all proxies out.
    let idle = async {
        progress.exceeded::<AsyncIo>(&server.limits.request_timeouts()).await;
        if received_request.get() {
            future::pending::<()>().await;
        }
    };
    future::or(served, idle).await;
}

/// Accepts connections forever. Connections beyond the limit are closed at once.
pub async fn serve<B: Backend + 'static>(
    listener: TcpListener,
    server: Rc<Server<B>>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let listener = Async::<TcpListener>::try_from(listener)?;
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        if server.connections.get() >= server.limits.max_connections {
            continue;
        }
        let _ = socket.get_ref().set_nodelay(true);
        server.connections.set(server.connections.get() + 1);
        let (server, connection_executor) = (server.clone(), executor.clone());
        let connection = async move {
            serve_connection(socket, server.clone(), connection_executor).await;
            server.connections.set(server.connections.get() - 1);
        };
        executor.spawn(connection).detach();
    }
}
