//! Follows discovery: the whole list once, then a watch on what changes.

use super::Pilot;
use futures_lite::future;
use oatlever_reactor::Timer;
use oatlever_roster::platform::{Origin, PlatformDocument, Watch, WatchError};
use std::rc::Rc;
use std::time::Duration;

/// s; a watch waits so long for news. Short, as a connection that fell silent shows only after it.
const WAIT: f64 = 2.0;
/// s; an agent on the same machine answers at once, or not at all.
const PATIENCE: f64 = 1.0;
/// s; between an answer and the next call: a watch goes on only where that comes soon, and one that
/// answers at once without end must not take all of the core.
const PAUSE: f64 = 0.02;
/// s; after a call that failed at once, as while an address is new; twice as long after each further one, up
/// to the longest: what is told must be taken up within seconds.
const PAUSE_FAILED: f64 = 0.1;
const LONGEST_PAUSE: f64 = 0.8;

/// s; a source that has told nothing but older versions for so long counts them anew: by the protocol what it
/// has to tell comes 6 s later at the latest, so one that lags has caught up by then.
const LAGS: f64 = 6.0;

/// What of the list is to be asked for next, and how soon.
struct Course {
    /// All of it, and not only what is newer.
    whole: bool,
    /// What could not be used of the last list that had any such entry.
    mistakes: Vec<String>,
    /// Since when only older versions are told.
    older_since: Option<f64>,
    pause_failed: f64,
    trouble: String,
}

impl Course {
    /// Takes in a document. Errors: it is of no use.
    fn take(&mut self, document: &PlatformDocument, pilot: &Pilot) -> Result<(), String> {
        let (mut controller, now) = (pilot.controller.borrow_mut(), pilot.clock.now());
        let older = controller.register.is_older(document);
        let since = *self.older_since.get_or_insert(now);
        let anew = older && document.full && now - since > LAGS;
        if !older || anew {
            self.older_since = None;
        }
        if anew {
            tracing::warn!(
                version = document.version,
                held = controller.register.version,
                "versions start anew"
            );
        }
        controller.list(document, if anew { Origin::VersionReset } else { Origin::Update })
    }

    /// Goes on after an answer; tells whether it was of use, and how long to wait before the next call.
    fn after(&mut self, answer: Result<PlatformDocument, WatchError>, pilot: &Pilot) -> (bool, f64) {
        let taken = answer.and_then(|document| match self.take(&document, pilot) {
            Ok(()) => Ok(document),
            Err(what) => Err(WatchError { message: what, answered: true }),
        });
        match taken {
            Ok(document) => {
                if !std::mem::take(&mut self.trouble).is_empty() {
                    tracing::info!(version = document.version, "list of servers is told again");
                }
                // Guards against a change that is lost because its entry could not be used and the version
                // has moved on: all is read anew. What is wrong with it then too is not the way's fault, and
                // is left.
                let known = document.full && document.errors == self.mistakes;
                self.whole = !document.errors.is_empty() && !known;
                self.mistakes = document.errors;
                self.pause_failed = PAUSE_FAILED;
                (true, if self.whole { PAUSE_FAILED } else { PAUSE })
            }
            Err(WatchError { message: what, answered }) => {
                // Guards against asking for ever for what is newer than a version of which the source knows
                // nothing, or which it tells changes to that are of no use: all of the list says more.
                self.whole |= answered;
                if what != self.trouble {
                    tracing::warn!(%what, "no list of servers");
                    self.trouble = what;
                }
                let longer = (self.pause_failed * 2.0).min(LONGEST_PAUSE);
                (false, std::mem::replace(&mut self.pause_failed, longer))
            }
        }
    }
}

/// Runs for ever. A list that is followed only on request is asked for where the decisions say so.
pub async fn follow(pilot: Rc<Pilot>, zones: Vec<String>, always: bool) {
    let (mut following, mut watch) = (always, Watch::default());
    let mut course = Course {
        whole: true,
        mistakes: Vec::new(),
        older_since: None,
        pause_failed: PAUSE_FAILED,
        trouble: String::new(),
    };
    loop {
        let told = pilot.told_to_ask.listen();
        if pilot.ask_anew.take() {
            (course.whole, following) = (true, true);
        }
        if !following {
            told.await;
            continue;
        }
        let after = pilot.controller.borrow().register.version.filter(|_| !course.whole);
        let asked = async { Some(watch.poll(pilot.discovery.get(), after, &zones, (WAIT, PATIENCE)).await) };
        let told_anew = async {
            told.await;
            None
        };
        // An answer that is there when discovery has moved is of the old one, and is left.
        let Some(answer) = future::or(told_anew, asked).await else { continue };
        let (taken, pause) = course.after(answer, &pilot);
        if !taken {
            pilot.controller.borrow_mut().list_missed(!always);
            following = always;
        }
        pilot.tell();
        Timer::after(Duration::from_secs_f64(pause)).await;
    }
}
