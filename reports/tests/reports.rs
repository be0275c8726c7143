use oatlever::round::Address;
use oatlever_reports::{Aggregator, AskerInfo, Counters, Exposition, Increase, Sample};
use quickcheck::quickcheck;

const SERVER: Address = Address { host: [10, 0, 0, 1], port: 7000 };
const PROXY: AskerInfo = AskerInfo { asker: 3, zone: 1, has_counters: true };

fn proxy_exposition(queries: u64, answers: u64, seconds: f64, failed: u64) -> String {
    format!(
        "# TYPE proxy_queries counter\nproxy_queries_total{{class=\"search\"}} {queries}\n\
         # TYPE proxy_answer_seconds histogram\n\
         proxy_answer_seconds_sum{{server=\"10.0.0.1:7000\"}} {seconds}\n\
         proxy_answer_seconds_count{{server=\"10.0.0.1:7000\"}} {answers}\n\
         proxy_answer_seconds_bucket{{le=\"+Inf\",server=\"10.0.0.1:7000\"}} {answers}\n\
         proxy_failed_total{{server=\"10.0.0.1:7000\"}} {failed}\n# EOF\n"
    )
}

fn parse(text: &str) -> Exposition {
    Exposition::parse(text.as_bytes()).unwrap()
}

fn aggregator() -> Aggregator {
    Aggregator::new(1.0, vec!["search".into(), "reserve".into()])
}

#[test]
fn two_scrapes_yield_the_load_between_them() {
    let (mut counters, mut aggregator) = (Counters::default(), aggregator());
    assert_eq!(
        counters.update(&parse(&proxy_exposition(100, 90, 9.0, 2)), 10.0),
        None,
        "the first scrape has no predecessor"
    );
    let increase = counters.update(&parse(&proxy_exposition(140, 120, 15.0, 12)), 11.25).unwrap();
    aggregator.add_proxy_counters(PROXY, &increase, |server| *server == SERVER);
    let (tries, queries) = aggregator.flush();
    assert_eq!(
        (queries[0].proxy, queries[0].class, queries[0].received, queries[0].span),
        (3, 0, 40.0, 1.25)
    );
    assert_eq!((tries[0].server, tries[0].zone, tries[0].span), (SERVER, 1, 1.25));
    assert_eq!((tries[0].tries, tries[0].failed), (40.0, 10.0));
    assert!((tries[0].time - 0.2).abs() < 1e-9);
    let (tries, queries) = aggregator.flush();
    assert!(tries.is_empty() && queries.is_empty(), "flushed totals are not reported again");
}

/// A truncated exposition can end in a value that has lost digits, so one without its end mark is rejected as a whole.
#[test]
fn truncated_expositions_are_rejected() {
    let complete = proxy_exposition(123, 90, 9.5, 2);
    let end = complete.trim_end().len();
    for cut in 0..end {
        assert!(Exposition::parse(&complete.as_bytes()[..cut]).is_err(), "cut at {cut}");
    }
    assert!(Exposition::parse(&complete.as_bytes()[..end]).is_ok());
}

/// No scrape succeeds for 20 s, and the next one shows counters that were reset. The increase over that time is
/// unknown; the small count since the reset must not be reported as its demand.
#[test]
fn counter_resets_yield_no_increase() {
    let mut counters = Counters::default();
    counters.update(&parse(&proxy_exposition(1000, 900, 90.0, 5)), 10.0);
    assert_eq!(counters.update(&parse(&proxy_exposition(7, 900, 90.0, 5)), 30.0), None);
    assert_eq!(
        counters.update(&parse(&proxy_exposition(9, 900, 90.0, 5)), 31.0).unwrap().samples[0].value,
        2.0
    );
    // A series that disappeared is a reset as well; a new one is not.
    assert_eq!(counters.update(&parse("proxy_queries_total{class=\"search\"} 50\n# EOF"), 32.0), None);
    let both = "proxy_queries_total{class=\"search\"} 51\nproxy_queries_total{class=\"reserve\"} 4\n# EOF";
    let increase = counters.update(&parse(both), 33.0).unwrap();
    let values: Vec<f64> = increase.samples.iter().map(|sample| sample.value).collect();
    assert_eq!(values, [1.0, 4.0]);
}

/// The increase over a long gap is reported as its mean over one period. Reported in full it would look like a jump of
/// demand and prove a capacity that the server does not have.
#[test]
fn an_increase_over_a_long_gap_is_scaled_to_one_period() {
    let sample = |name: &str, value: f64| Sample {
        name: name.into(),
        labels: vec![("class".into(), "search".into()), ("server".into(), SERVER.to_string())],
        value,
    };
    let samples = vec![sample("proxy_queries_total", 200.0), sample("proxy_failed_total", 100.0)];
    let mut aggregator = aggregator();
    aggregator.add_proxy_counters(PROXY, &Increase { seconds: 20.0, samples }, |_| true);
    let (tries, queries) = aggregator.flush();
    assert_eq!((queries[0].received, queries[0].span), (10.0, 1.0));
    assert_eq!((tries[0].failed, tries[0].span), (5.0, 1.0));
}

/// What a proxy counts itself must not be counted again from the counters of the servers.
#[test]
fn server_counters_apply_only_to_askers_without_their_own() {
    let server = |n: u64| {
        parse(&format!(
            "server_queries_total{{class=\"reserve\",client=\"10.9.0.1\"}} {n}\n\
             server_queries_total{{class=\"reserve\",client=\"10.8.0.1\"}} {n}\n\
             server_answer_seconds_sum{{client=\"10.9.0.1\"}} {}\n\
             server_answer_seconds_count{{client=\"10.9.0.1\"}} {n}\n# EOF\n",
            n as f64 * 0.25
        ))
    };
    let (mut counters, mut aggregator) = (Counters::default(), aggregator());
    counters.update(&server(4), 1.0);
    let increase = counters.update(&server(10), 2.0).unwrap();
    aggregator.add_server_counters(SERVER, &increase, |client| match client.octets()[1] {
        9 => Some(AskerInfo { asker: 7, zone: 0, has_counters: false }),
        _ => Some(PROXY),
    });
    let (tries, queries) = aggregator.flush();
    assert_eq!(queries.len(), 1);
    assert_eq!((queries[0].proxy, queries[0].class, queries[0].received), (7, 1, 6.0));
    assert_eq!((tries.len(), tries[0].tries, tries[0].time), (1, 6.0, 0.25));
}

quickcheck! {
    /// Whichever scrapes are missed, the reported increases add up to the counter's growth until the last scrape.
    fn missed_scrapes_lose_no_increase(steps: Vec<(u8, bool)>) -> bool {
        let (mut counters, mut value, mut at, mut reported, mut last) = (Counters::default(), 0, 0.0, 0.0, None);
        let mut first = None;
        for (added, missed) in steps {
            value += u64::from(added);
            at += 0.5;
            if missed { continue; }
            if let Some(increase) = counters.update(&parse(&proxy_exposition(value, 0, 0.0, 0)), at) {
                reported += increase.samples[0].value;
            }
            first.get_or_insert(value);
            last = Some(value);
        }
        reported == (last.unwrap_or(0) - first.unwrap_or(0)) as f64
    }

    fn parse_does_not_panic_on_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        let mut with_end = bytes.clone();
        with_end.extend(b"\n# EOF\n");
        let _ = (Exposition::parse(&bytes), Exposition::parse(&with_end));
        true
    }
}
