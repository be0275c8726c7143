//! A client that watches the list of the operators' platform.
//!
//! A response may arrive in pieces, late, or not at all, and which of these it will be can't be known while it
//! is silent. So a request that is overdue is reported as a failure, and the caller sends another one, but its
//! response is still read if it arrives first.

use crate::platform::PlatformDocument;
use futures_lite::future;
use oatlever_fetch::{self as fetch, Answer, Connection, Progress, Runtime, SingleThreaded, Timeouts};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Maximum size of a document, in bytes, and of all overdue responses together. A list of tens of thousands of
/// servers fits.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// Maximum number of overdue requests whose responses are still awaited; beyond it the oldest is given up.
const MAX_OVERDUE: usize = 4;
/// The path of the list on the platform's discovery service.
const PATH: &str = "/v1/endpoints";

/// Seconds after which a request is overdue.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimeouts {
    /// How long the service may wait for changes before it responds.
    pub wait: f64,
    /// Longest silence beyond the service's wait.
    pub silence: f64,
    /// Longest time from the end of the wait to the last byte of the response.
    pub total: f64,
}

/// A poll of the list failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchError {
    pub message: String,
    /// The discovery service answered, but not with a usable document.
    pub answered: bool,
}

impl WatchError {
    fn new(host: SocketAddr, answered: bool, cause: impl ToString) -> Self {
        WatchError { message: format!("{host}: {}", cause.to_string()), answered }
    }
}

type Response = Pin<Box<dyn Future<Output = Result<(Connection, Answer), fetch::Error>>>>;

/// A request in progress.
struct Request {
    host: SocketAddr,
    /// The version after which changes are requested; `None` for the full list.
    after: Option<u64>,
    response: Response,
    progress: Rc<Progress>,
}

impl Request {
    /// A request for the full list, or for the changes after a version, on an idle connection if there is one.
    fn new(host: SocketAddr, after: Option<u64>, idle: Option<Connection>, timeouts: &WatchTimeouts) -> Self {
        let path = match after {
            None => PATH.to_string(),
            Some(version) => {
                format!("{PATH}?index={version}&wait={}", Duration::from_secs_f64(timeouts.wait).as_millis())
            }
        };
        let progress = idle.as_ref().map(|idle| idle.progress().clone()).unwrap_or_default();
        progress.restart();
        let response = Box::pin(send(host, path, idle, progress.clone()));
        Request { host, after, response, progress }
    }

    /// The document of a response, and the connection that it arrived on.
    fn document(
        &self,
        response: Result<(Connection, Answer), fetch::Error>,
        zones: &[String],
    ) -> Result<(Connection, PlatformDocument), WatchError> {
        let (connection, answer) = response.map_err(|error| WatchError::new(self.host, false, error))?;
        let unusable = |cause: String| WatchError::new(self.host, true, cause);
        if answer.status != 200 {
            return Err(unusable(format!("status {}", answer.status)));
        }
        let document = PlatformDocument::parse(&answer.body, zones).map_err(unusable)?;
        if self.after.is_none() && !document.full {
            return Err(unusable("got changes instead of the full list".to_string()));
        }
        Ok((connection, document))
    }
}

/// Sends a request on an idle connection, or on a new one if there is none or the service has closed it.
async fn send(
    host: SocketAddr,
    path: String,
    idle: Option<Connection>,
    progress: Rc<Progress>,
) -> Result<(Connection, Answer), fetch::Error> {
    if let Some(mut connection) = idle {
        match connection.get(&path, false, MAX_DOCUMENT_BYTES).await {
            // The service may close an idle connection at any time.
            Err(fetch::Error::Broken(_)) if progress.received() == 0 => {}
            result => return result.map(|answer| (connection, answer)),
        }
    }
    let mut connection = Connection::connect::<SingleThreaded>(host, None, progress).await?;
    let answer = connection.get(&path, false, MAX_DOCUMENT_BYTES).await?;
    Ok((connection, answer))
}

/// A client of the discovery service, which reuses one connection for as long as it stays open.
#[derive(Default)]
pub struct Watch {
    idle: Option<Connection>,
    /// Requests that are overdue, the oldest first.
    overdue: Vec<Request>,
}

impl Watch {
    /// Requests the full list, or the changes after version `after`, for which the service may wait. Returns
    /// the document that arrives first, which may be that of an earlier request that is overdue. Cancel-safe:
    /// the future may be dropped at any time.
    ///
    /// Fails if the response is not a valid list, and as soon as the request is overdue.
    pub async fn poll(
        &mut self,
        host: SocketAddr,
        after: Option<u64>,
        zones: &[String],
        timeouts: WatchTimeouts,
    ) -> Result<PlatformDocument, WatchError> {
        self.leave_other_hosts(host);
        let mut request = Request::new(host, after, self.idle.take(), &timeouts);
        let wait = if after.is_some() { timeouts.wait } else { 0.0 };
        let limits = Timeouts {
            // Shorter than the wait, so that an unreachable machine does not take all of it.
            connect: timeouts.silence,
            first_byte: wait + timeouts.silence,
            silence: timeouts.silence,
            total: wait + timeouts.total,
        };
        let progress = request.progress.clone();
        let current = fetch::within::<SingleThreaded, _>(limits, &progress, &mut request.response);
        let current = async { Err(current.await) };
        let earlier = async { Ok(first_document(&mut self.overdue, zones).await) };
        let arrived = match future::or(earlier, current).await {
            Ok(document) => Ok(document),
            Err(response) => {
                // Only the limits fail so, while the request itself is still in progress.
                let is_overdue =
                    matches!(response, Err(fetch::Error::Silent { .. } | fetch::Error::TooSlow { .. }));
                let document = request.document(response, zones);
                if is_overdue {
                    self.keep_overdue(request);
                }
                document
            }
        };
        arrived.map(|arrived| self.accept(arrived))
    }

    /// Waits for the document of an overdue request, for `seconds` at most if given.
    pub async fn overdue_document(
        &mut self,
        host: SocketAddr,
        zones: &[String],
        seconds: Option<f64>,
    ) -> Option<PlatformDocument> {
        self.leave_other_hosts(host);
        let document = async { Some(first_document(&mut self.overdue, zones).await) };
        let timeout = async {
            match seconds {
                Some(seconds) => SingleThreaded::sleep(Duration::from_secs_f64(seconds)).await,
                None => future::pending().await,
            }
            None
        };
        let arrived = future::or(document, timeout).await;
        arrived.map(|arrived| self.accept(arrived))
    }

    /// Takes over a document and the connection that it arrived on. Earlier requests are given up, as their
    /// responses can't be newer.
    fn accept(&mut self, (connection, document): (Connection, PlatformDocument)) -> PlatformDocument {
        self.idle = Some(connection);
        self.overdue.clear();
        document
    }

    /// Drops what is left of a host that was polled before.
    fn leave_other_hosts(&mut self, host: SocketAddr) {
        self.idle.take_if(|idle| idle.host() != host);
        self.overdue.retain(|request| request.host == host);
    }

    fn keep_overdue(&mut self, request: Request) {
        self.overdue.push(request);
        if self.overdue.len() > MAX_OVERDUE {
            self.overdue.remove(0);
        }
    }
}

/// Waits for the first usable document among overdue requests and gives up those that fail. Never completes if
/// all fail, or there are none.
async fn first_document(overdue: &mut Vec<Request>, zones: &[String]) -> (Connection, PlatformDocument) {
    poll_fn(|context| {
        let mut index = 0;
        while let Some(request) = overdue.get_mut(index) {
            let Poll::Ready(response) = request.response.as_mut().poll(context) else {
                index += 1;
                continue;
            };
            let request = overdue.remove(index);
            if let Ok(arrived) = request.document(response, zones) {
                return Poll::Ready(arrived);
            }
        }
        let received = |overdue: &[Request]| overdue.iter().map(|r| r.progress.received()).sum::<usize>();
        while received(overdue) > MAX_DOCUMENT_BYTES {
            overdue.remove(0);
        }
        Poll::Pending
    })
    .await
}
