//! `/metrics`: what the pilot counts, as OpenMetrics text.

use crate::serve::Pilot;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

type Labels = Vec<(String, String)>;

fn count(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn measure(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge: Gauge<f64, AtomicU64> = Gauge::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn counts<'a, K: ToString + 'a>(
    registry: &mut Registry,
    (name, help, label): (&str, &str, &str),
    values: impl IntoIterator<Item = (&'a K, &'a u64)>,
) {
    let family: Family<Labels, Counter> = Family::default();
    for (value, number) in values {
        family.get_or_create(&vec![(label.to_string(), value.to_string())]).inc_by(*number);
    }
    registry.register(name, help, family);
}

/// The text; figures are read at the moment of the call.
pub fn text(pilot: &Pilot) -> Result<String, std::fmt::Error> {
    let (core, front) = (pilot.core.borrow(), pilot.front.borrow());
    let now = core.now();
    let mut whole = Registry::with_prefix("oatlever");
    let r = &mut whole;
    count(r, "rounds", "Rounds of decisions", core.counts.rounds);
    let seconds: Counter<f64, AtomicU64> = Counter::default();
    seconds.inc_by(core.counts.deciding);
    r.register_with_unit("deciding", "Time spent deciding", Unit::Seconds, seconds);
    measure(r, "longest_round_seconds", "The longest round so far", core.counts.longest_round);
    measure(r, "tables_version", "Rounds that changed tables", core.tables.version() as f64);
    measure(r, "servers_listed", "Servers on the list", core.book.members().len() as f64);
    let age = core.list_heard.map_or(f64::INFINITY, |at| now - at);
    measure(r, "list_age_seconds", "Since the last list that could be read", age);
    counts(r, ("lists", "Readings of the list, by what they were", "kind"), &core.counts.lists);
    count(r, "readings", "Readings of counters", core.counts.readings);
    count(r, "readings_missed", "Readings of counters that failed", core.counts.readings_missed);
    count(r, "readings_anew", "Readings with nothing to compare with", core.counts.readings_anew);
    count(r, "reports_strange", "Samples that name nothing known", core.sums.strange);
    count(r, "checks", "Health checks made", core.counts.checks);
    measure(r, "askers_up", "Askers that are there", core.presence.up().count() as f64);
    measure(r, "channel_waiting_lines", "Lines not yet in use everywhere", core.tables.pull.waiting());
    measure(r, "channel_waiting_lines_most", "The most that ever waited", core.tables.pull.most);
    count(r, "channel_messages", "Changes ordered, counted at each asker", core.tables.pull.ordered);
    count(r, "dns_questions", "Questions that came", front.counts.questions);
    counts(r, ("dns_answers", "Answers, by response code", "code"), &front.counts.answers);
    count(r, "dns_dropped", "Packets that are no question", front.counts.dropped);
    count(r, "dns_limited", "Questions over a source's limit, not answered", front.counts.limited);
    count(r, "dns_shortened", "Questions over a source's limit, answered truncated", front.counts.shortened);
    count(r, "dns_truncated", "Answers too large for UDP", front.counts.truncated);
    count(r, "dns_proven", "Questions with a good cookie", front.counts.proven);
    count(r, "dns_strangers", "Questions from no asker of the settings", front.counts.strangers);
    measure(r, "dns_connections", "Open TCP connections", pilot.gate.open() as f64);
    if let Some(guarding) = &core.guarding {
        let guard = &guarding.guard;
        counts(r, ("guard_findings", "What the guard found wrong, by check", "check"), &guard.findings);
        counts(r, ("guard_verdicts", "Verdicts of the guard, by outcome", "outcome"), &guard.outcomes);
    }
    if core.settings.dns.ledger.is_some() {
        let handout = &core.handing.handout;
        measure(
            r,
            "ledger_servers",
            "Servers that answers may still bring queries",
            handout.ledger.servers() as f64,
        );
        measure(r, "ledger_askers", "Askers and classes remembered", handout.ledger.remembered() as f64);
        count(r, "ledger_forgotten", "Askers forgotten while their answers lived", handout.ledger.forgotten);
        count(
            r,
            "ledger_overstays",
            "Times an asker used a server past its answer's end",
            handout.ledger.overstays,
        );
        measure(r, "ledger_latest_seconds", "The longest that anybody did", handout.ledger.latest);
        count(r, "ledger_passed_over", "Times a cold server was passed over", handout.counts.passed_over);
        count(
            r,
            "ledger_nothing_better",
            "Answers of cold servers past their budget",
            handout.counts.nothing_better,
        );
    }
    if let Some(planning) = &core.planning {
        counts(r, ("plans", "Plans, by what came of them", "outcome"), &planning.outcomes);
        if let Some((_, Ok(decided))) = &planning.last {
            measure(r, "plan_cost", "Cost a second of the last plan", decided.plan.cost);
            measure(r, "plan_bound", "What no plan could be cheaper than", decided.plan.bound);
            measure(
                r,
                "plan_carries",
                "Queries a second of a unit of weight",
                decided.orders.capacity_per_weight,
            );
        }
    }
    if let Some(streams) = &*pilot.streams.borrow() {
        let met = streams.counts.borrow();
        measure(r, "xds_streams", "Open discovery streams", streams.streams() as f64);
        count(r, "xds_pushes", "Responses sent", met.pushes);
        count(r, "xds_bytes", "Bytes of responses", met.bytes);
        count(r, "xds_acknowledged", "Responses taken", met.acknowledged);
        count(r, "xds_refused", "Responses refused", met.refused);
        count(r, "xds_stale", "Requests that answer an older response", met.stale);
        count(r, "xds_handshakes_failed", "Handshakes that came to nothing", met.handshakes_failed);
        count(r, "xds_keys_renewed", "Keys taken up from changed files", met.keys_renewed);
        count(r, "xds_keys_left", "Changed keys that could not be used", met.keys_left);
        count(r, "xds_loads", "Load reports", met.loads);
        counts(r, ("xds_ended", "Streams that ended", "why"), &met.ended);
    }
    let mut text = String::new();
    encode(&mut text, &whole)?;
    Ok(text)
}
