//! Explaining requests from the logs of hosts: recorded lines, broken lines, and hosts without a log.

use std::path;

use compact_str::CompactString;
use rstest::rstest;
use shallothub_ctl::{
    account::{Account, Reason, Row},
    logs,
    trace::Trace,
};

/// Lines that three hosts of a run wrote, with neutral names; one of the three has no file.
fn recorded() -> Vec<logs::Log> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    logs::find(&[folder]).expect("the recorded logs are there")
}

fn account(read: &[(&str, &str)]) -> Account {
    let mut account = Account::new(2000);
    for (host, text) in read {
        for line in text.split_inclusive('\n') {
            account.take(host, line, line.ends_with('\n'));
        }
    }
    account.finish();
    account
}

fn only_class(account: &Account) -> &Row {
    assert_eq!(account.classes.len(), 1, "{:?}", account.classes);
    &account.classes[0]
}

/// An `answered` line, whose time lies `at` ms into a minute.
fn answered(request: &str, at: u64, rest: &str) -> String {
    let (seconds, millis) = (at / 1000, at % 1000);
    format!(
        "{{\"timestamp\":\"2026-03-01T10:00:{seconds:02}.{millis:03}Z\",\"message\":\"answered\",\
         \"request\":\"{request}\",\"class\":\"sweep\",{rest}}}\n"
    )
}

#[test]
fn recorded_lines_are_counted_by_class_and_reason() {
    let mut account = Account::new(2000);
    for log in recorded() {
        log.read(|line, is_whole| account.take(&log.host, line, is_whole)).expect("the log is there");
    }
    account.finish();
    let strip = &account.classes["r-f6gtmf7"];
    assert_eq!((strip.requests, strip.whole, strip.denied), (1, 0, 1));
    assert_eq!(strip.reasons[&Reason::Missing], 1);
    assert_eq!(account.classes["r-zqxt7y8"].reasons[&Reason::UnknownEnd], 1);
    assert_eq!(account.servers[&("i-2609c660b1".into(), "silent".into())], 3);
    let text = account.to_string();
    assert!(text.contains("6 requests in the logs of 2 hosts"), "{text}");
    assert!(text.contains("answered with parts missing: partial"), "{text}");
}

/// A caller got a search without one shard. Its request names the leaf that was silent and that the budget for
/// asking another one was spent; the leaf's other attempts show that it stood still for everybody.
#[test]
fn a_recorded_request_is_traced_to_its_cause() {
    let mut trace = Trace::new("0bd1d4f8282658ce");
    for log in recorded() {
        log.read(|line, _| trace.take(&log.host, line)).expect("the log is there");
    }
    assert!(trace.is_found());
    for log in recorded() {
        log.read(|line, _| trace.take_around(&log.host, line)).expect("the log is there");
    }
    let text = trace.to_string();
    let first = text.lines().next().unwrap_or_default();
    assert_eq!(
        first,
        "entry-a-1: answered (partial) after 66 ms, without sewu19r: sewu19r waits for i-2609c660b1 since 66ms"
    );
    assert!(text.contains("no budget for another attempt"), "{text}");
    assert!(text.contains("entry-c-3  {"), "the other host's word of the leaf is missing: {text}");
    assert!(!text.contains("9543566f874da0d6"), "another request's line is in: {text}");
}

#[rstest]
#[case::whole(r#""outcome":"answered","code":"ok","shards":4,"first":4"#, None)]
#[case::late(r#""outcome":"answered","code":"ok","shards":4,"first":4,"late_ms":7"#, Some(Reason::Late))]
#[case::missing(r#""outcome":"answered","code":"partial","shards":4,"missing":"s1","first":4"#, Some(Reason::Missing))]
#[case::here(r#""outcome":"not_run","code":"overloaded","shards":0,"first":0"#, Some(Reason::RefusedHere))]
#[case::leafs(r#""outcome":"not_run","code":"insufficient_coverage","first":3"#, Some(Reason::RefusedByLeafs))]
#[case::coverage(r#""outcome":"unknown","code":"insufficient_coverage","first":4"#, Some(Reason::Coverage))]
#[case::lost(r#""outcome":"unknown","code":"attempt_lost","first":1"#, Some(Reason::UnknownEnd))]
fn each_end_has_its_reason(#[case] rest: &str, #[case] reason: Option<Reason>) {
    let account = account(&[("entry-a-1", &answered("r1", 500, rest))]);
    let row = only_class(&account);
    assert_eq!((row.requests, row.whole), (1, u64::from(reason.is_none())));
    let found: Vec<Reason> = row.reasons.keys().copied().collect();
    assert_eq!(found, Vec::from_iter(reason));
}

/// A host passed a search on. It tells that the answer came; only the host that gathered knows that shards were
/// missing. Whichever log is read first, the request counts once, with both words.
#[rstest]
#[case::entry_first(&["entry-a-1", "entry-b-2"])]
#[case::gatherer_first(&["entry-b-2", "entry-a-1"])]
fn two_hosts_words_of_a_request_are_one(#[case] order: &[&str]) {
    let entry = answered("r1", 500, r#""outcome":"answered","code":"ok","shards":1,"first":1,"via":"entry-b-2""#);
    let gathered = answered(
        "r1",
        490,
        r#""outcome":"answered","code":"partial","shards":4,"missing":"s1,s2","first":4,"from":"entry-a-1""#,
    );
    let read: Vec<(&str, &str)> =
        order.iter().map(|&host| (host, if host == "entry-a-1" { &*entry } else { &*gathered })).collect();
    let account = account(&read);
    let row = only_class(&account);
    assert_eq!((row.requests, row.whole), (1, 0));
    assert_eq!(row.reasons[&Reason::Missing], 1);
    assert!((row.missing_share - 0.5).abs() < 1e-9);
    assert!(account.absent().is_empty());
}

/// The log of the host that gathered was not collected: the table says so, by name, and counts the rest.
#[test]
fn a_host_without_a_log_is_named() {
    let entry = answered("r1", 500, r#""outcome":"answered","code":"ok","shards":1,"first":1,"via":"entry-b-2""#);
    let account = account(&[("entry-a-1", &entry)]);
    assert_eq!(only_class(&account).whole, 1);
    let text = account.to_string();
    assert!(text.contains("1 requests were gathered by 1 hosts without a log here: entry-b-2"), "{text}");
}

/// The other way round: the host that the caller asked has no log, so nobody knows when the caller was answered.
#[test]
fn a_request_without_its_first_host_is_counted_apart() {
    let gathered = answered("r1", 490, r#""outcome":"answered","code":"ok","shards":4,"from":"entry-a-1""#);
    let account = account(&[("entry-b-2", &gathered)]);
    assert!(account.classes.is_empty());
    assert!(account.to_string().contains("1 requests were gathered for hosts without a log here"));
}

/// A host was killed in the middle of a line, its supervisor wrote words of its own, and a collector put words
/// in front. What can be read is read, and the rest is told.
#[test]
fn broken_and_foreign_lines_are_passed_over_and_told() {
    let good = answered("r1", 500, r#""outcome":"answered","code":"ok","shards":4,"first":4"#);
    let text = format!("supervisor: started\n{{\"level\":3}}\n\nmar 1 entry-a-1: {good}{}", &good[..60]);
    let account = account(&[("entry-a-1", &text)]);
    assert_eq!(only_class(&account).requests, 1);
    assert_eq!((account.foreign, account.cut), (2, 1));
    let text = account.to_string();
    assert!(text.contains("2 lines are of no node and were passed over"), "{text}");
    assert!(text.contains("1 lines were cut off and passed over"), "{text}");
}

#[test]
fn spans_of_time_are_told_apart() {
    let ok = r#""outcome":"answered","code":"ok","shards":4,"first":4"#;
    let late = r#""outcome":"answered","code":"ok","shards":4,"first":4,"late_ms":9"#;
    let text = answered("r1", 1900, ok) + &answered("r2", 2100, late) + &answered("r3", 3900, ok);
    let account = account(&[("entry-a-1", &text)]);
    let rows: Vec<(u64, u64)> = account.windows.values().map(|row| (row.requests, row.whole)).collect();
    assert_eq!(rows, [(1, 1), (2, 1)]);
}

/// Logs of weeks, and names without number: rows stay bounded, and what has none of its own is counted together.
#[test]
fn memory_stays_bounded() {
    let mut account = Account::new(2000);
    for number in 0..250_000 {
        let class = format!(r#""outcome":"answered","code":"ok","class2":"{number}""#);
        let line = answered(&format!("r{number}"), 500, &class).replace("\"sweep\"", &format!("\"c{number}\""));
        account.take("entry-a-1", &line, true);
    }
    assert_eq!(account.early, 100_000);
    account.finish();
    assert_eq!(account.classes.len(), 4097);
    assert_eq!(account.classes.values().map(|row| row.requests).sum::<u64>(), 250_000);
    assert!(account.classes.contains_key(&CompactString::from("others")));
}

#[test]
fn a_folder_without_logs_is_a_clear_error() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/nowhere");
    let error = logs::find(&[folder]).expect_err("there is no such folder").to_string();
    assert!(error.contains("tests/nowhere"), "{error}");
    let error = logs::find(&[]).expect_err("there is no log").to_string();
    assert!(error.contains("one file a host"), "{error}");
}
