//! `/metrics`: the pilot's counters and gauges as OpenMetrics text.

use crate::serve::Pilot;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

type Labels = Vec<(String, String)>;

fn add_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn add_gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge: Gauge<f64, AtomicU64> = Gauge::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn add_counters<'a, K: ToString + 'a>(
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

/// The metrics' current values as OpenMetrics text.
pub fn text(pilot: &Pilot) -> Result<String, std::fmt::Error> {
    let (core, front) = (pilot.core.borrow(), pilot.front.borrow());
    let now = core.now();
    let mut registry = Registry::with_prefix("oatlever");
    let r = &mut registry;
    add_counter(r, "rounds", "Rounds of decisions run", core.counts.rounds);
    let seconds: Counter<f64, AtomicU64> = Counter::default();
    seconds.inc_by(core.counts.decision_seconds);
    r.register_with_unit("deciding", "Time spent in rounds of decisions", Unit::Seconds, seconds);
    add_gauge(r, "longest_round_seconds", "Duration of the longest round", core.counts.longest_round);
    add_gauge(
        r,
        "tables_version",
        "Version of the tables: the number of rounds that changed them",
        core.tables.version() as f64,
    );
    add_gauge(r, "servers_listed", "Servers on the list of servers", core.book.members().len() as f64);
    let age = core.list_received_at.map_or(f64::INFINITY, |at| now - at);
    add_gauge(r, "list_age_seconds", "Age of the last list of servers that was read", age);
    add_counters(r, ("lists", "Attempts to read the list of servers, by result", "kind"), &core.counts.lists);
    add_counter(r, "readings", "Successful scrapes of counters", core.counts.scrapes);
    add_counter(r, "readings_missed", "Failed scrapes of counters", core.counts.failed_scrapes);
    add_counter(r, "readings_anew", "Scrapes that only set a baseline", core.counts.baseline_scrapes);
    add_counter(
        r,
        "reports_strange",
        "Samples that name an unknown server or class",
        core.sums.unknown_labels,
    );
    add_counter(r, "checks", "Health checks completed", core.counts.checks);
    add_gauge(r, "askers_up", "Askers that are up", core.presence.up().count() as f64);
    add_gauge(
        r,
        "channel_waiting_lines",
        "Table lines not yet in use at every asker",
        core.tables.deliveries.pending_lines(),
    );
    add_gauge(
        r,
        "channel_waiting_lines_most",
        "Largest number of waiting lines so far",
        core.tables.deliveries.max_pending_lines,
    );
    add_counter(
        r,
        "channel_messages",
        "Table changes ordered, counted once per asker",
        core.tables.deliveries.message_count,
    );
    add_counter(r, "dns_questions", "DNS queries received", front.counters.queries);
    add_counters(r, ("dns_answers", "DNS answers, by response code", "code"), &front.counters.answers);
    add_counter(r, "dns_dropped", "Packets that are not a DNS query", front.counters.dropped);
    add_counter(
        r,
        "dns_limited",
        "Queries over a source's rate limit, not answered",
        front.counters.rate_limited,
    );
    add_counter(
        r,
        "dns_shortened",
        "Queries over a source's rate limit, answered truncated",
        front.counters.rate_limited_truncated,
    );
    add_counter(
        r,
        "dns_truncated",
        "Answers truncated because they exceed the UDP size",
        front.counters.truncated,
    );
    add_counter(r, "dns_proven", "Queries with a valid DNS cookie", front.counters.cookie_verified);
    add_counter(
        r,
        "dns_strangers",
        "Queries from addresses of no configured asker",
        front.counters.unknown_clients,
    );
    add_gauge(r, "dns_connections", "Open DNS connections over TCP", pilot.gate.open_count() as f64);
    if let Some(guard_review) = &core.guard_review {
        let guard = &guard_review.guard;
        add_counters(r, ("guard_findings", "Findings of the guard, by check", "check"), &guard.findings);
        add_counters(r, ("guard_verdicts", "Verdicts of the guard, by outcome", "outcome"), &guard.outcomes);
    }
    if core.settings.dns.ledger.is_some() {
        let selector = &core.dns_answers.selector;
        add_gauge(
            r,
            "ledger_servers",
            "Servers that unexpired answers may still bring queries",
            selector.ledger.server_count() as f64,
        );
        add_gauge(
            r,
            "ledger_askers",
            "Pairs of asker and class in the ledger",
            selector.ledger.entry_count() as f64,
        );
        add_counter(
            r,
            "ledger_forgotten",
            "Askers evicted while their answers were unexpired",
            selector.ledger.evicted,
        );
        add_counter(
            r,
            "ledger_overstays",
            "Times an asker used a server after its answer had expired",
            selector.ledger.overstays,
        );
        add_gauge(
            r,
            "ledger_latest_seconds",
            "Longest use of a server after its answer had expired",
            selector.ledger.max_overstay,
        );
        add_counter(
            r,
            "ledger_passed_over",
            "Times a cold server over its budget was skipped",
            selector.counters.cold_skipped,
        );
        add_counter(
            r,
            "ledger_nothing_better",
            "Answers with only cold servers over their budget",
            selector.counters.cold_only,
        );
    }
    if let Some(planning) = &core.planning {
        add_counters(r, ("plans", "Plans made, by outcome", "outcome"), &planning.outcomes);
        if let Some((_, Ok(decision))) = &planning.last {
            add_gauge(r, "plan_cost", "Cost per second of the last plan", decision.plan.cost);
            add_gauge(r, "plan_bound", "Lower bound on the cost per second of any plan", decision.plan.bound);
            add_gauge(
                r,
                "plan_carries",
                "Queries per second that a unit of weight carries",
                decision.routing.capacity_per_weight,
            );
        }
    }
    if let Some(streams) = &*pilot.streams.borrow() {
        let counts = streams.counts.borrow();
        add_gauge(r, "xds_streams", "Open discovery streams", streams.open_streams() as f64);
        add_counter(r, "xds_pushes", "Discovery responses sent", counts.pushes);
        add_counter(r, "xds_bytes", "Bytes of discovery responses sent", counts.bytes);
        add_counter(r, "xds_acknowledged", "Discovery responses acknowledged", counts.acknowledged);
        add_counter(r, "xds_refused", "Discovery responses rejected by clients", counts.rejected);
        add_counter(r, "xds_stale", "Requests with the nonce of an older response", counts.stale);
        add_counter(r, "xds_handshakes_failed", "Failed TLS handshakes", counts.handshakes_failed);
        add_counter(r, "xds_keys_renewed", "TLS keys reloaded from changed files", counts.key_reloads);
        add_counter(r, "xds_keys_left", "Failed reloads of TLS keys", counts.key_reload_failures);
        add_counter(r, "xds_loads", "Load reports received", counts.load_reports);
        add_counters(
            r,
            ("xds_ended", "Discovery streams that ended, by reason", "why"),
            &counts.streams_ended,
        );
    }
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}
