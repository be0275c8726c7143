//! Follows discovery: the whole list once, then a watch on what changes.

use super::Pilot;
use async_io::Timer;
use futures_lite::future;
use oatlever_roster::platform::ask;
use std::rc::Rc;
use std::time::Duration;

/// s; a watch waits so long for news. Short, as a connection that fell silent shows only after it.
const WAIT: f64 = 2.0;
/// s; an agent on the same machine answers at once, or not at all.
const PATIENCE: f64 = 1.0;
/// s; between an answer and the next call: a watch goes on only where that comes soon, and one that
/// answers at once without end must not take all of the core.
const PAUSE: f64 = 0.02;
/// s; after a call that failed at once, as while an address is new.
const PAUSE_FAILED: f64 = 0.2;

/// Runs for ever. A list that is followed only on request is asked for where the decisions say so.
pub async fn follow(pilot: Rc<Pilot>, zones: Vec<String>, always: bool) {
    let (mut whole, mut following, mut trouble) = (true, always, String::new());
    loop {
        let anew = pilot.ask_anew.listen();
        if !following {
            anew.await;
            (whole, following) = (true, true);
            continue;
        }
        let after = pilot.desk.borrow().register.version.filter(|_| !whole);
        let asked = async { Some(ask(pilot.discovery.get(), after, &zones, (WAIT, PATIENCE)).await) };
        let started_anew = async {
            anew.await;
            None
        };
        let pause = match future::or(asked, started_anew).await {
            None => {
                whole = true;
                continue;
            }
            Some(Ok(document)) => {
                if !std::mem::take(&mut trouble).is_empty() {
                    tracing::info!(version = document.version, "list of servers is told again");
                }
                pilot.desk.borrow_mut().list(&document, false);
                whole = false;
                PAUSE
            }
            Some(Err(what)) => {
                if what != trouble {
                    tracing::warn!(%what, "no list of servers");
                    trouble = what;
                }
                pilot.desk.borrow_mut().list_missed(!always);
                following = always;
                PAUSE_FAILED
            }
        };
        pilot.tell();
        Timer::after(Duration::from_secs_f64(pause)).await;
    }
}
