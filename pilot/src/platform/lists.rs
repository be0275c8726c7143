//! Follows discovery: the whole list once, then a watch on what changes.

use super::Pilot;
use async_io::Timer;
use futures_lite::future;
use oatlever_roster::platform::Watch;
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

/// Runs for ever. A list that is followed only on request is asked for where the decisions say so.
pub async fn follow(pilot: Rc<Pilot>, zones: Vec<String>, always: bool) {
    let (mut whole, mut following, mut trouble) = (true, always, String::new());
    let (mut watch, mut pause_failed) = (Watch::default(), PAUSE_FAILED);
    loop {
        let told = pilot.told_to_ask.listen();
        if pilot.ask_anew.take() {
            (whole, following) = (true, true);
        }
        if !following {
            told.await;
            continue;
        }
        let after = pilot.desk.borrow().register.version.filter(|_| !whole);
        let asked = async { Some(watch.ask(pilot.discovery.get(), after, &zones, (WAIT, PATIENCE)).await) };
        let told_anew = async {
            told.await;
            None
        };
        let Some(answer) = future::or(asked, told_anew).await else { continue };
        let taken = answer.and_then(|document| {
            pilot.desk.borrow_mut().list(&document, false)?;
            Ok(document.version)
        });
        let pause = match taken {
            Ok(version) => {
                if !std::mem::take(&mut trouble).is_empty() {
                    tracing::info!(version, "list of servers is told again");
                }
                (whole, pause_failed) = (false, PAUSE_FAILED);
                PAUSE
            }
            Err(what) => {
                if what != trouble {
                    tracing::warn!(%what, "no list of servers");
                    trouble = what;
                }
                pilot.desk.borrow_mut().list_missed(!always);
                following = always;
                let longer = (pause_failed * 2.0).min(LONGEST_PAUSE);
                std::mem::replace(&mut pause_failed, longer)
            }
        };
        pilot.tell();
        Timer::after(Duration::from_secs_f64(pause)).await;
    }
}
