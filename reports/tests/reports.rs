use oatlever::round::Address;
use oatlever_reports::{Counters, Gain, Owner, Sample, Sums, Text};
use quickcheck::quickcheck;

const SERVER: Address = Address { host: [10, 0, 0, 1], port: 7000 };
const RELAY: Owner = Owner { asker: 3, zone: 1, counted: true };

fn relay(queries: u64, answers: u64, seconds: f64, failed: u64) -> String {
    format!(
        "# TYPE proxy_queries counter\nproxy_queries_total{{class=\"search\"}} {queries}\n\
         # TYPE proxy_answer_seconds histogram\n\
         proxy_answer_seconds_sum{{server=\"10.0.0.1:7000\"}} {seconds}\n\
         proxy_answer_seconds_count{{server=\"10.0.0.1:7000\"}} {answers}\n\
         proxy_answer_seconds_bucket{{le=\"+Inf\",server=\"10.0.0.1:7000\"}} {answers}\n\
         proxy_failed_total{{server=\"10.0.0.1:7000\"}} {failed}\n# EOF\n"
    )
}

fn text(bytes: &str) -> Text {
    Text::read(bytes.as_bytes()).unwrap()
}

fn sums() -> Sums {
    Sums::new(1.0, vec!["search".into(), "reserve".into()])
}

#[test]
fn two_readings_give_what_came_between() {
    let (mut counters, mut sums) = (Counters::default(), sums());
    assert_eq!(counters.take(&text(&relay(100, 90, 9.0, 2)), 10.0), None, "nothing to compare with");
    let gain = counters.take(&text(&relay(140, 120, 15.0, 12)), 11.25).unwrap();
    sums.proxy(RELAY, &gain, |server| *server == SERVER);
    let (tries, queries) = sums.flush();
    assert_eq!(
        (queries[0].proxy, queries[0].class, queries[0].received, queries[0].span),
        (3, 0, 40.0, 1.25)
    );
    assert_eq!((tries[0].server, tries[0].zone, tries[0].span), (SERVER, 1, 1.25));
    assert_eq!((tries[0].tries, tries[0].failed), (40.0, 10.0));
    assert!((tries[0].time - 0.2).abs() < 1e-9);
    let (tries, queries) = sums.flush();
    assert!(tries.is_empty() && queries.is_empty(), "nothing is told twice");
}

/// A text cut off anywhere before its end mark is not used: a cut figure is a wrong figure.
#[test]
fn a_cut_text_is_refused_wherever_it_is_cut() {
    let whole = relay(123, 90, 9.5, 2);
    let end = whole.trim_end().len();
    for cut in 0..end {
        assert!(Text::read(&whole.as_bytes()[..cut]).is_err(), "cut at {cut}");
    }
    assert!(Text::read(&whole.as_bytes()[..end]).is_ok());
}

/// Reports stop for 20 s and then bring counters that have been reset: that time was not measured, and a
/// small number since the reset must not be told as the demand of it.
#[test]
fn counters_that_were_reset_measure_nothing() {
    let mut counters = Counters::default();
    counters.take(&text(&relay(1000, 900, 90.0, 5)), 10.0);
    assert_eq!(counters.take(&text(&relay(7, 900, 90.0, 5)), 30.0), None);
    assert_eq!(counters.take(&text(&relay(9, 900, 90.0, 5)), 31.0).unwrap().samples[0].value, 2.0);
    // A series that went missing is a reset as well; one that is new is not.
    assert_eq!(counters.take(&text("proxy_queries_total{class=\"search\"} 50\n# EOF"), 32.0), None);
    let both = "proxy_queries_total{class=\"search\"} 51\nproxy_queries_total{class=\"reserve\"} 4\n# EOF";
    let gain = counters.take(&text(both), 33.0).unwrap();
    let values: Vec<f64> = gain.samples.iter().map(|sample| sample.value).collect();
    assert_eq!(values, [1.0, 4.0]);
}

/// Missed readings are made up, as the mean of one period: a lump would look like a jump of demand and
/// prove a capacity that no server has.
#[test]
fn a_gap_tells_its_mean_and_no_lump() {
    let sample = |name: &str, value: f64| Sample {
        name: name.into(),
        labels: vec![("class".into(), "search".into()), ("server".into(), SERVER.to_string())],
        value,
    };
    let samples = vec![sample("proxy_queries_total", 200.0), sample("proxy_failed_total", 100.0)];
    let mut sums = sums();
    sums.proxy(RELAY, &Gain { span: 20.0, samples }, |_| true);
    let (tries, queries) = sums.flush();
    assert_eq!((queries[0].received, queries[0].span), (10.0, 1.0));
    assert_eq!((tries[0].failed, tries[0].span), (5.0, 1.0));
}

/// Servers count those who come without a proxy; what proxies count themselves is not counted twice.
#[test]
fn servers_count_only_clients_without_a_proxy() {
    let server = |n: u64| {
        text(&format!(
            "server_queries_total{{class=\"reserve\",client=\"10.9.0.1\"}} {n}\n\
             server_queries_total{{class=\"reserve\",client=\"10.8.0.1\"}} {n}\n\
             server_answer_seconds_sum{{client=\"10.9.0.1\"}} {}\n\
             server_answer_seconds_count{{client=\"10.9.0.1\"}} {n}\n# EOF\n",
            n as f64 * 0.25
        ))
    };
    let (mut counters, mut sums) = (Counters::default(), sums());
    counters.take(&server(4), 1.0);
    let gain = counters.take(&server(10), 2.0).unwrap();
    sums.server(SERVER, &gain, |client| match client.octets()[1] {
        9 => Some(Owner { asker: 7, zone: 0, counted: false }),
        _ => Some(RELAY),
    });
    let (tries, queries) = sums.flush();
    assert_eq!(queries.len(), 1);
    assert_eq!((queries[0].proxy, queries[0].class, queries[0].received), (7, 1, 6.0));
    assert_eq!((tries.len(), tries[0].tries, tries[0].time), (1, 6.0, 0.25));
}

quickcheck! {
    /// Whatever readings are missed, all that was counted is told, up to the last reading.
    fn nothing_is_lost_between_readings(steps: Vec<(u8, bool)>) -> bool {
        let (mut counters, mut value, mut at, mut gained, mut read) = (Counters::default(), 0, 0.0, 0.0, None);
        let mut first = None;
        for (more, missed) in steps {
            value += u64::from(more);
            at += 0.5;
            if missed { continue; }
            if let Some(gain) = counters.take(&text(&relay(value, 0, 0.0, 0)), at) {
                gained += gain.samples[0].value;
            }
            first.get_or_insert(value);
            read = Some(value);
        }
        gained == (read.unwrap_or(0) - first.unwrap_or(0)) as f64
    }

    fn strange_bytes_are_refused_or_read_without_harm(bytes: Vec<u8>) -> bool {
        let mut with_end = bytes.clone();
        with_end.extend(b"\n# EOF\n");
        let _ = (Text::read(&bytes), Text::read(&with_end));
        true
    }
}
