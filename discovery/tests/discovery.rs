use oatlever::round::{Address, ListKind, Readiness};
use oatlever_discovery::{BootTime, Completeness, Document, ServerList, Update};

fn zones() -> Vec<String> {
    vec!["north".into(), "south".into()]
}

fn server(n: u8) -> Address {
    Address { host: [10, 0, 0, n], port: 7000 }
}

fn group(n: u8, labels: &str) -> String {
    format!(r#"{{"targets": ["10.0.0.{n}:7000"], "labels": {{"zone": "north"{labels}}}}}"#)
}

fn read(groups: &[String]) -> Document {
    Document::parse(format!("[{}]", groups.join(",")).as_bytes(), &zones()).unwrap()
}

fn started(n: u8, at: f64) -> String {
    group(n, &format!(r#", "started": "{at}""#))
}

fn start_time(update: &Update, n: u8) -> f64 {
    update.list.entries.iter().find(|e| e.server == server(n)).unwrap().started
}

#[test]
fn a_document_is_parsed() {
    let text = r#"[{"targets": ["10.0.0.1:7000", "10.0.0.2:7000"],
        "labels": {"zone": "south", "kind": "gen2", "weight": "2.5", "state": "draining",
                   "metrics": "10.0.0.1:9100", "__meta_other": "x"}}, {"targets": []}]"#;
    let document = Document::parse(text.as_bytes(), &zones()).unwrap();
    assert_eq!((document.servers.len(), document.completeness), (2, Completeness::Full));
    let first = &document.servers[0];
    assert_eq!((first.zone, first.weight, first.readiness), (1, 2.5, Readiness::Draining));
}

#[test]
fn a_truncated_document_is_rejected() {
    let text = format!("[{},{}]", group(1, ""), group(2, r#", "weight": "2""#));
    for cut in 0..text.len() {
        assert!(Document::parse(&text.as_bytes()[..cut], &zones()).is_err(), "cut at {cut}");
    }
    assert!(Document::parse(b"\xff\xfe", &zones()).is_err());
}

/// A list that can be parsed only in part must not drop servers that it fails to name.
#[test]
fn errors_are_reported_and_drop_no_server() {
    let mut list = ServerList::default();
    list.apply(&read(&[group(1, ""), group(2, ""), group(3, "")]), 1.0, None);
    let bad_label = read(&[group(1, ""), group(2, r#", "weight": "heavy""#)]);
    assert!(bad_label.errors[0].contains("10.0.0.2:7000"), "{:?}", bad_label.errors);
    assert!(bad_label.errors[0].contains("weight"), "{:?}", bad_label.errors);
    let update = list.apply(&bad_label, 2.0, None);
    assert_eq!((update.list.kind, update.list.entries.len()), (ListKind::Full, 2));
    let bad_target = r#"{"targets": ["kiosk:http"], "labels": {"zone": "north"}}"#.to_string();
    let update = list.apply(&read(&[group(1, ""), bad_target]), 3.0, None);
    assert_eq!((update.list.kind, update.list.entries.len()), (ListKind::Changes, 2));
    // The two entries of one server differ, so neither is used.
    let twice = read(&[group(1, ""), group(1, r#", "state": "draining""#)]);
    assert_eq!(twice.completeness, Completeness::Except([server(1)].into()));
    // A valid empty list drops all servers.
    let empty = list.apply(&read(&[]), 4.0, None);
    assert_eq!((empty.list.kind, empty.list.entries.len(), empty.changed), (ListKind::Full, 0, true));
}

/// A dropped server may go on serving. If its reports were discarded, the decision logic would consider it
/// silent and empty the tables: 20 s of an empty list once left every proxy without a server.
#[test]
fn a_dropped_server_stays_known_and_keeps_its_start_time() {
    let mut list = ServerList::default();
    let before = list.apply(&read(&[started(1, 990.0)]), 100.0, Some(1000.0));
    list.apply(&read(&[]), 101.0, Some(1001.0));
    assert!(list.get(&server(1)).is_some() && list.members().is_empty());
    let after = list.apply(&read(&[started(1, 990.0)]), 121.0, Some(1021.0));
    assert_eq!(start_time(&before, 1), start_time(&after, 1));
}

/// Clock steps must neither make a warm server look restarted nor a cold one warm.
#[test]
fn start_times_do_not_change_with_the_clock() {
    let mut list = ServerList::default();
    let first = list.apply(&read(&[started(1, 990.0)]), 100.0, Some(1000.0));
    assert_eq!(start_time(&first, 1), 90.0);
    for (now, clock) in [(101.0, 1001.0 - 3600.0), (102.0, 1002.0 + 3600.0), (103.0, 1003.0)] {
        let update = list.apply(&read(&[started(1, 990.0)]), now, Some(clock));
        assert_eq!((start_time(&update, 1), update.changed), (90.0, false), "clock {clock}");
    }
    // If the label changes, the server started after the last list, whatever the clock says.
    for (now, clock) in [(110.0, 1010.0 + 3600.0), (120.0, 1020.0 - 3600.0)] {
        let update = list.apply(&read(&[started(1, 1000.0 + now)]), now, Some(clock));
        let start = start_time(&update, 1);
        assert!(start > now - 20.0 && start <= now, "{start} at {now}");
    }
    // A new server that started in the future of a clock that is behind: it counts as started now.
    let update = list.apply(&read(&[started(2, 1100.0)]), 130.0, Some(1030.0));
    assert_eq!(start_time(&update, 2), 130.0);
}

/// Ages are restored by the boot-time clock, which keeps running between processes and is never stepped. If
/// the elapsed time is unknown, servers keep the ages they had, as being considered too cold is safe. Without
/// stored ages, a warm zone once was considered cold after a restart of the pilot: it got almost no queries
/// for 8 s while the other zones were full.
#[test]
fn a_saved_list_is_restored_with_its_ages() {
    let mut list = ServerList::default();
    let metrics = r#", "started": "995", "metrics": "10.0.0.1:9100""#;
    list.apply(&read(&[group(1, metrics), group(2, r#", "state": "draining""#)]), 100.0, Some(1000.0));
    let at = |boot: &str, seconds: f64| Some(BootTime { boot: boot.into(), seconds });
    let text = list.save(103.0, at("a", 50.0));
    for (now, start) in
        [(at("a", 70.0), 472.0), (at("b", 70.0), 492.0), (None, 492.0), (at("a", 40.0), 492.0)]
    {
        let mut next = ServerList::default();
        let list = next.restore(&text, 2, 500.0, now.clone()).unwrap();
        assert_eq!(list.kind, ListKind::Cached);
        assert_eq!(list.entries[0].started, start, "{now:?}");
        assert_eq!((list.entries[1].readiness, list.entries[1].started), (Readiness::Draining, 0.0));
        // The first list after the restart has the same label, so the server has not restarted.
        let update = next.apply(&read(&[group(1, metrics)]), 501.0, Some(1401.0));
        assert_eq!(start_time(&update, 1), start);
    }
    for cut in 0..text.len() {
        assert!(ServerList::default().restore(&text[..cut], 2, 500.0, None).is_err(), "cut at {cut}");
    }
    assert!(ServerList::default().restore(&text, 0, 500.0, None).is_err(), "the zone does not exist");
}
