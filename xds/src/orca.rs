//! Out-of-band load reports of servers (ORCA, `OpenRcaService`): one stream to each server that provides them.

use crate::client::call;
use crate::grpc::{framed, Reader};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, stream};
use hyper::body::Incoming;
use oatlever::round::Address;
use oatlever_fetch::{AsyncIo, Counted, Progress, Timeouts};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use xds_api::pb::google::protobuf::Duration as ProtoDuration;

pub const METHOD: &str = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics";
/// Name of the metric in which servers report their queries in flight.
const IN_FLIGHT: &str = "in_flight";
/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// In report intervals. A stream that is silent for so long is closed and reopened: a server that hangs keeps its
/// connection open.
const MAX_SILENT_INTERVALS: f64 = 4.0;
/// s; upper bound of the exponential backoff between connection attempts.
const MAX_BACKOFF: f64 = 60.0;

/// `xds.service.orca.v3.OrcaLoadReportRequest`, as published.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    #[prost(message, optional, tag = "1")]
    pub report_interval: Option<ProtoDuration>,
    #[prost(string, repeated, tag = "2")]
    pub request_cost_names: Vec<String>,
}

/// `xds.data.orca.v3.OrcaLoadReport`, as published.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    #[prost(double, tag = "2")]
    pub mem_utilization: f64,
    #[prost(map = "string, double", tag = "4")]
    pub request_cost: HashMap<String, f64>,
    #[prost(map = "string, double", tag = "5")]
    pub utilization: HashMap<String, f64>,
    #[prost(double, tag = "6")]
    pub rps_fractional: f64,
    #[prost(double, tag = "7")]
    pub eps: f64,
    #[prost(map = "string, double", tag = "8")]
    pub named_metrics: HashMap<String, f64>,
    #[prost(double, tag = "9")]
    pub application_utilization: f64,
}

impl Report {
    /// Queries in flight, if the server reports a valid number.
    pub fn in_flight(&self) -> Option<f64> {
        self.named_metrics.get(IN_FLIGHT).copied().filter(|n| n.is_finite() && *n >= 0.0)
    }
}

/// Supplies the servers to connect to and receives what they report.
pub trait ReportHandler {
    /// The servers that provide load reports, and the address of the service at each.
    fn servers(&self) -> BTreeMap<Address, SocketAddrV4>;
    fn set_in_flight(&self, server: Address, queries: f64);
}

/// Opens a stream of reports, whose connection records to `progress`. The stream ends when the returned connection task
/// is dropped.
async fn connect(
    host: SocketAddrV4,
    interval: f64,
    progress: Rc<Progress>,
    executor: Rc<LocalExecutor<'static>>,
) -> Option<(Reader<Incoming>, Task<()>)> {
    let socket = Async::<TcpStream>::connect(SocketAddr::V4(host)).await.ok()?;
    let socket = Counted::new(socket, progress);
    let report_interval = ProtoDuration { seconds: interval as i64, nanos: (interval.fract() * 1e9) as i32 };
    let request = Request { report_interval: Some(report_interval), ..Request::default() };
    let method = (SocketAddr::V4(host), METHOD);
    let (response, connection) =
        call(socket, method, stream::once(framed(&request)), &executor).await.ok()?;
    Some((Reader::new(response.into_body(), MAX_REPORT_BYTES), connection))
}

/// Awaits a future until the connection that records to `progress` exceeds a time limit; then returns `None`.
async fn unless_silent<T>(
    progress: &Progress,
    interval: f64,
    future: impl Future<Output = Option<T>>,
) -> Option<T> {
    let timeouts = Timeouts::from_silence(MAX_SILENT_INTERVALS * interval);
    let exceeded = async {
        progress.exceeded::<AsyncIo>(&timeouts).await;
        None
    };
    future::or(future, exceeded).await
}

/// Reads one stream until it ends or exceeds a time limit. Returns whether any report was received.
async fn read_reports(
    handler: &impl ReportHandler,
    (server, host): (Address, SocketAddrV4),
    interval: f64,
    executor: Rc<LocalExecutor<'static>>,
) -> bool {
    let progress = Rc::new(Progress::default());
    let connected = connect(host, interval, progress.clone(), executor);
    let Some((mut reader, _connection)) = unless_silent(&progress, interval, connected).await else {
        return false;
    };
    let mut next =
        async || unless_silent(&progress, interval, async { reader.next::<Report>().await.ok()? }).await;
    let mut received = false;
    while let Some(report) = next().await {
        received = true;
        if let Some(queries) = report.in_flight() {
            handler.set_in_flight(server, queries);
        }
    }
    received
}

/// Keeps a stream to a server open: reconnects one interval after a stream ends, with exponential backoff while no
/// attempt yields a report.
async fn follow<H: ReportHandler>(
    handler: Rc<H>,
    server: (Address, SocketAddrV4),
    interval: f64,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut pause = interval;
    loop {
        let received = read_reports(&*handler, server, interval, executor.clone()).await;
        pause = if received { interval } else { (2.0 * pause).min(MAX_BACKOFF) };
        Timer::after(Duration::from_secs_f64(pause)).await;
    }
}

/// Keeps a stream open to each server of the handler, forever. `changed` signals that the servers may have changed;
/// `interval` is the report interval in seconds.
pub async fn run<H: ReportHandler + 'static>(
    handler: H,
    interval: f64,
    changed: Rc<Event>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let handler = Rc::new(handler);
    let mut streams: BTreeMap<(Address, SocketAddrV4), Task<()>> = BTreeMap::new();
    loop {
        let listener = changed.listen();
        let servers = handler.servers();
        streams.retain(|(server, host), _| servers.get(server) == Some(host));
        for server in servers {
            let start = || executor.spawn(follow(handler.clone(), server, interval, executor.clone()));
            streams.entry(server).or_insert_with(start);
        }
        listener.await;
    }
}
