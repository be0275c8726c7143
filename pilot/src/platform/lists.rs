//! Follows discovery: requests the whole list of servers once, then watches for changes.

use super::Pilot;
use futures_lite::future;
use oatlever_discovery::platform::{Origin, PlatformDocument};
use oatlever_discovery::watch::{Watch, WatchError, WatchTimeouts};
use std::rc::Rc;

const TIMEOUTS: WatchTimeouts = WatchTimeouts {
    // Short, because a dead connection is noticed only after this time.
    wait: 2.0,
    // The agent runs on the same machine and starts to answer at once or not at all.
    silence: 1.0,
    // The protocol counts an answer as received 6 s after the call at the latest.
    total: 6.0,
};
/// Seconds between an answer and the next request. Short, so that the watch continues; not 0, so that a source that
/// always answers at once does not take up the whole core.
const REQUEST_DELAY: f64 = 0.02;
/// Seconds before a retry after a failure, for example while the address is not yet served. The delay doubles with
/// each further failure up to the maximum, as changes must be taken up within seconds.
const RETRY_DELAY: f64 = 0.1;
const MAX_RETRY_DELAY: f64 = 0.8;

/// Seconds of only older versions after which the source's versions are taken to have been restarted. The protocol
/// delivers changes within 6 s, so a source that merely lags has caught up by then.
const MAX_SOURCE_LAG: f64 = 6.0;

/// State of the requests to discovery.
struct Follower {
    /// Whether the next request is for the whole list, not only for changes.
    whole: bool,
    /// The invalid entries of the last list.
    mistakes: Vec<String>,
    /// Since when the source has sent only older versions.
    older_since: Option<f64>,
    retry_delay: f64,
    /// The last failure, so that a repeated one is logged once; empty after a success.
    last_error: String,
}

impl Follower {
    /// Passes a document to the controller. Fails if it is unusable.
    fn take(&mut self, document: &PlatformDocument, pilot: &Pilot) -> Result<(), String> {
        let (mut controller, now) = (pilot.controller.borrow_mut(), pilot.clock.now());
        let older = controller.register.is_older(document);
        let since = *self.older_since.get_or_insert(now);
        let restarted = older && document.full && now - since > MAX_SOURCE_LAG;
        if !older || restarted {
            self.older_since = None;
        }
        if restarted {
            tracing::warn!(
                version = document.version,
                held = controller.register.version,
                "the source has restarted its versions"
            );
        }
        controller.take_list(document, if restarted { Origin::VersionReset } else { Origin::Update })
    }

    /// Handles an answer. Returns whether it was usable and the delay before the next request.
    fn handle(&mut self, answer: Result<PlatformDocument, WatchError>, pilot: &Pilot) -> (bool, f64) {
        let taken = answer.and_then(|document| match self.take(&document, pilot) {
            Ok(()) => Ok(document),
            Err(what) => Err(WatchError { message: what, answered: true }),
        });
        match taken {
            Ok(document) => {
                if !std::mem::take(&mut self.last_error).is_empty() {
                    tracing::info!(version = document.version, "list of servers received again");
                }
                // An invalid entry of an update would be lost, as the version has advanced past it, so the whole
                // list is requested. Entries that are still invalid there are invalid at the source and accepted
                // as such.
                let known = document.full && document.errors == self.mistakes;
                self.whole = !document.errors.is_empty() && !known;
                self.mistakes = document.errors;
                self.retry_delay = RETRY_DELAY;
                (true, if self.whole { RETRY_DELAY } else { REQUEST_DELAY })
            }
            Err(WatchError { message: what, answered }) => {
                // The source may not know the version that changes are requested for, or may send unusable changes.
                // Requesting the whole list avoids repeating the same request for ever.
                self.whole |= answered;
                if what != self.last_error {
                    tracing::warn!(%what, "reading the list of servers failed");
                    self.last_error = what;
                }
                let longer = (self.retry_delay * 2.0).min(MAX_RETRY_DELAY);
                (false, std::mem::replace(&mut self.retry_delay, longer))
            }
        }
    }
}

/// Follows discovery without end. Unless `always` is set, requests the list only when the decisions ask for it.
pub async fn follow(pilot: Rc<Pilot>, zones: Vec<String>, always: bool) {
    let (mut following, mut watch) = (always, Watch::default());
    let mut follower = Follower {
        whole: true,
        mistakes: Vec::new(),
        older_since: None,
        retry_delay: RETRY_DELAY,
        last_error: String::new(),
    };
    let mut next_request_at = pilot.clock.now();
    loop {
        let requested = pilot.list_requested.listen();
        if pilot.request_whole_list.take() {
            (follower.whole, following) = (true, true);
        }
        let host = pilot.discovery.get();
        let after = pilot.controller.borrow().register.version.filter(|_| !follower.whole);
        let pause = following.then(|| (next_request_at - pilot.clock.now()).max(0.0));
        let answer = async {
            Some(match watch.overdue_document(host, &zones, pause).await {
                Some(document) => Ok(document),
                None => watch.poll(host, after, &zones, TIMEOUTS).await,
            })
        };
        let interrupted = async {
            requested.await;
            None
        };
        // If discovery has moved, an answer that is already there comes from the old address and is dropped.
        let Some(answer) = future::or(interrupted, answer).await else { continue };
        let (usable, delay) = follower.handle(answer, &pilot);
        if !usable {
            pilot.controller.borrow_mut().record_list_failure(!always);
        }
        following = always || usable;
        next_request_at = pilot.clock.now() + delay;
        pilot.wake();
    }
}
