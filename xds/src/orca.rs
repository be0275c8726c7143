//! Load that servers report out of band: a stream to each server that gives one (ORCA, `OpenRcaService`).

use crate::client::call;
use crate::grpc::{framed, Reader};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, stream};
use hyper::body::Incoming;
use oatlever::round::Address;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use xds_api::pb::google::protobuf::Duration as ProtoDuration;

pub const METHOD: &str = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics";
/// The named metric that servers state their queries in flight by.
const IN_FLIGHT: &str = "in_flight";
/// Reports read at most, in bytes.
const MOST: usize = 64 << 10;
/// Parts of the interval within which a report must come; a server that hangs keeps its connection open.
const LATE: f64 = 4.0;
/// s; the longest pause before a server that does not answer is dialled again.
const LONGEST_PAUSE: f64 = 60.0;

/// xds.service.orca.v3.OrcaLoadReportRequest, as published.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    #[prost(message, optional, tag = "1")]
    pub report_interval: Option<ProtoDuration>,
    #[prost(string, repeated, tag = "2")]
    pub request_cost_names: Vec<String>,
}

/// xds.data.orca.v3.OrcaLoadReport, as published.
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
    /// Queries in flight, where the server states a figure that can be one.
    pub fn in_flight(&self) -> Option<f64> {
        self.named_metrics.get(IN_FLIGHT).copied().filter(|n| n.is_finite() && *n >= 0.0)
    }
}

/// Who wants to know.
pub trait ReportHandler {
    /// Servers that give reports, and where.
    fn servers(&self) -> BTreeMap<Address, SocketAddrV4>;
    fn set_in_flight(&self, server: Address, queries: f64);
}

/// A stream of reports, and the connection that it lives as long as.
async fn dial(
    host: SocketAddrV4,
    interval: f64,
    executor: Rc<LocalExecutor<'static>>,
) -> Option<(Reader<Incoming>, Task<()>)> {
    let socket = Async::<TcpStream>::connect(SocketAddr::V4(host)).await.ok()?;
    let report_interval = ProtoDuration { seconds: interval as i64, nanos: (interval.fract() * 1e9) as i32 };
    let wanted = Request { report_interval: Some(report_interval), ..Request::default() };
    let to = (SocketAddr::V4(host), METHOD);
    let (response, open) = call(socket, to, stream::once(framed(&wanted)), &executor).await.ok()?;
    Some((Reader::new(response.into_body(), MOST), open))
}

/// What comes within the time that a report may take; none where nothing does.
async fn in_time<T>(interval: f64, awaited: impl Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(Duration::from_secs_f64(LATE * interval)).await;
        None
    };
    future::or(awaited, late).await
}

/// One stream, until it ends or falls silent. True where any report came.
async fn listen(
    gauges: &impl ReportHandler,
    (server, host): (Address, SocketAddrV4),
    interval: f64,
    executor: Rc<LocalExecutor<'static>>,
) -> bool {
    let Some((mut reader, _open)) = in_time(interval, dial(host, interval, executor)).await else {
        return false;
    };
    let mut came = false;
    while let Some(report) = in_time(interval, async { reader.next::<Report>().await.ok()? }).await {
        came = true;
        if let Some(queries) = report.in_flight() {
            gauges.set_in_flight(server, queries);
        }
    }
    came
}

/// A server for as long as it is named: dialled again whenever its stream ends, ever more seldom where none
/// comes about.
async fn keep<G: ReportHandler>(
    gauges: Rc<G>,
    of: (Address, SocketAddrV4),
    interval: f64,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut pause = interval;
    loop {
        let came = listen(&*gauges, of, interval, executor.clone()).await;
        pause = if came { interval } else { (2.0 * pause).min(LONGEST_PAUSE) };
        Timer::after(Duration::from_secs_f64(pause)).await;
    }
}

/// Keeps a stream to each server that gives reports, for ever. `changed` tells that the servers may have.
pub async fn run<G: ReportHandler + 'static>(
    gauges: G,
    interval: f64,
    changed: Rc<Event>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let gauges = Rc::new(gauges);
    let mut streams: BTreeMap<(Address, SocketAddrV4), Task<()>> = BTreeMap::new();
    loop {
        let listener = changed.listen();
        let servers = gauges.servers();
        streams.retain(|(server, host), _| servers.get(server) == Some(host));
        for of in servers {
            let start = || executor.spawn(keep(gauges.clone(), of, interval, executor.clone()));
            streams.entry(of).or_insert_with(start);
        }
        listener.await;
    }
}
