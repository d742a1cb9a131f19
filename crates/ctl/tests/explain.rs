//! Explaining requests from hosts' logs: recorded lines, malformed lines, and hosts without a log.

use std::path;

use compact_str::CompactString;
use rstest::rstest;
use shallothub_ctl::{
    logs,
    summary::{Counts, Reason, Summary},
    trace::Trace,
};

/// Log lines from a run of three hosts, anonymized; one of the hosts has no log file.
fn recorded() -> Vec<logs::Log> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    logs::find(&[folder]).expect("the recorded logs are there")
}

fn summary(read: &[(&str, &str)]) -> Summary {
    let mut summary = Summary::new(2000);
    for (host, text) in read {
        for line in text.split_inclusive('\n') {
            summary.add_line(host, line, line.ends_with('\n'));
        }
    }
    summary.finish();
    summary
}

fn only_class(summary: &Summary) -> &Counts {
    assert_eq!(summary.classes.len(), 1, "{:?}", summary.classes);
    &summary.classes[0]
}

/// An `answered` line with a timestamp `at` ms after a full minute.
fn answered(request: &str, at: u64, rest: &str) -> String {
    let (seconds, millis) = (at / 1000, at % 1000);
    format!(
        "{{\"timestamp\":\"2026-03-01T10:00:{seconds:02}.{millis:03}Z\",\"message\":\"answered\",\
         \"request\":\"{request}\",\"class\":\"sweep\",{rest}}}\n"
    )
}

#[test]
fn recorded_lines_are_counted_by_class_and_reason() {
    let mut summary = Summary::new(2000);
    for log in recorded() {
        log.read(|line, is_terminated| summary.add_line(&log.host, line, is_terminated)).expect("the log is there");
    }
    summary.finish();
    let strip = &summary.classes["r-f6gtmf7"];
    assert_eq!((strip.requests, strip.complete, strip.budget_exhausted), (1, 0, 1));
    assert_eq!(strip.reasons[&Reason::MissingShards], 1);
    assert_eq!(summary.classes["r-zqxt7y8"].reasons[&Reason::UnknownOutcome], 1);
    assert_eq!(summary.servers[&("i-2609c660b1".into(), "silent".into())], 3);
    let text = summary.to_string();
    assert!(text.contains("6 requests in the logs of 2 hosts"), "{text}");
    assert!(text.contains("answered with parts missing: partial"), "{text}");
}

/// A search was answered without one shard. The request's own lines name the silent leaf and show that the retry
/// budget was exhausted; lines about the leaf's other attempts show that it was silent for all hosts.
#[test]
fn a_recorded_request_is_traced_to_its_cause() {
    let mut trace = Trace::new("0bd1d4f8282658ce");
    for log in recorded() {
        log.read(|line, _| trace.add_line(&log.host, line)).expect("the log is there");
    }
    assert!(trace.is_found());
    for log in recorded() {
        log.read(|line, _| trace.add_context_line(&log.host, line)).expect("the log is there");
    }
    let text = trace.to_string();
    let first = text.lines().next().unwrap_or_default();
    assert_eq!(
        first,
        "entry-a-1: answered (partial) after 66 ms, without sewu19r: sewu19r waits for i-2609c660b1 since 66ms"
    );
    assert!(text.contains("no budget for another attempt"), "{text}");
    assert!(text.contains("entry-c-3  {"), "the other host's line about the leaf is missing: {text}");
    assert!(!text.contains("9543566f874da0d6"), "another request's line is included: {text}");
}

#[rstest]
#[case::whole(r#""outcome":"answered","code":"ok","shards":4,"first":4"#, None)]
#[case::late(r#""outcome":"answered","code":"ok","shards":4,"first":4,"late_ms":7"#, Some(Reason::Late))]
#[case::missing(
    r#""outcome":"answered","code":"partial","shards":4,"missing":"s1","first":4"#,
    Some(Reason::MissingShards)
)]
#[case::here(r#""outcome":"not_run","code":"overloaded","shards":0,"first":0"#, Some(Reason::RefusedBeforeDispatch))]
#[case::leafs(r#""outcome":"not_run","code":"insufficient_coverage","first":3"#, Some(Reason::RefusedByLeaves))]
#[case::coverage(r#""outcome":"unknown","code":"insufficient_coverage","first":4"#, Some(Reason::InsufficientCoverage))]
#[case::lost(r#""outcome":"unknown","code":"attempt_lost","first":1"#, Some(Reason::UnknownOutcome))]
fn each_end_has_its_reason(#[case] rest: &str, #[case] reason: Option<Reason>) {
    let summary = summary(&[("entry-a-1", &answered("r1", 500, rest))]);
    let row = only_class(&summary);
    assert_eq!((row.requests, row.complete), (1, u64::from(reason.is_none())));
    let found: Vec<Reason> = row.reasons.keys().copied().collect();
    assert_eq!(found, Vec::from_iter(reason));
}

/// An entry host that forwards a search logs only that it was answered; the gathering host logs the missing shards.
/// The request is counted once, from both lines, whichever log is read first.
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
    let summary = summary(&read);
    let row = only_class(&summary);
    assert_eq!((row.requests, row.complete), (1, 0));
    assert_eq!(row.reasons[&Reason::MissingShards], 1);
    assert!((row.missing_share - 0.5).abs() < 1e-9);
    assert!(summary.hosts_without_log().is_empty());
}

/// Without the gathering host's log, the summary names that host and still counts the entry host's line.
#[test]
fn a_host_without_a_log_is_named() {
    let entry = answered("r1", 500, r#""outcome":"answered","code":"ok","shards":1,"first":1,"via":"entry-b-2""#);
    let summary = summary(&[("entry-a-1", &entry)]);
    assert_eq!(only_class(&summary).complete, 1);
    let text = summary.to_string();
    assert!(text.contains("1 requests were gathered by 1 hosts without a log here: entry-b-2"), "{text}");
}

/// Without the entry host's log, the time of the answer to the caller is unknown, so the request is counted apart.
#[test]
fn a_request_without_its_first_host_is_counted_apart() {
    let gathered = answered("r1", 490, r#""outcome":"answered","code":"ok","shards":4,"from":"entry-a-1""#);
    let summary = summary(&[("entry-b-2", &gathered)]);
    assert!(summary.classes.is_empty());
    assert!(summary.to_string().contains("1 requests were gathered for hosts without a log here"));
}

/// A host killed while writing leaves a truncated line, its supervisor adds lines of its own, and a log collector
/// adds prefixes. Lines that can be parsed are counted, and the others are counted as skipped.
#[test]
fn truncated_and_unrecognized_lines_are_skipped_and_counted() {
    let good = answered("r1", 500, r#""outcome":"answered","code":"ok","shards":4,"first":4"#);
    let text = format!("supervisor: started\n{{\"level\":3}}\n\nmar 1 entry-a-1: {good}{}", &good[..60]);
    let summary = summary(&[("entry-a-1", &text)]);
    assert_eq!(only_class(&summary).requests, 1);
    assert_eq!((summary.unrecognized, summary.truncated), (2, 1));
    let text = summary.to_string();
    assert!(text.contains("2 lines are of no node and were passed over"), "{text}");
    assert!(text.contains("1 lines were cut off and passed over"), "{text}");
}

#[test]
fn spans_of_time_are_told_apart() {
    let ok = r#""outcome":"answered","code":"ok","shards":4,"first":4"#;
    let late = r#""outcome":"answered","code":"ok","shards":4,"first":4,"late_ms":9"#;
    let text = answered("r1", 1900, ok) + &answered("r2", 2100, late) + &answered("r3", 3900, ok);
    let summary = summary(&[("entry-a-1", &text)]);
    let rows: Vec<(u64, u64)> = summary.windows.values().map(|row| (row.requests, row.complete)).collect();
    assert_eq!(rows, [(1, 1), (2, 1)]);
}

/// Logs of weeks with unboundedly many names: the number of rows is bounded, and other names share one row.
#[test]
fn memory_stays_bounded() {
    let mut summary = Summary::new(2000);
    for number in 0..250_000 {
        let class = format!(r#""outcome":"answered","code":"ok","class2":"{number}""#);
        let line = answered(&format!("r{number}"), 500, &class).replace("\"sweep\"", &format!("\"c{number}\""));
        summary.add_line("entry-a-1", &line, true);
    }
    assert_eq!(summary.counted_early, 100_000);
    summary.finish();
    assert_eq!(summary.classes.len(), 4097);
    assert_eq!(summary.classes.values().map(|row| row.requests).sum::<u64>(), 250_000);
    assert!(summary.classes.contains_key(&CompactString::from("others")));
}

#[test]
fn a_folder_without_logs_is_a_clear_error() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/nowhere");
    let error = logs::find(&[folder]).expect_err("there is no such folder").to_string();
    assert!(error.contains("tests/nowhere"), "{error}");
    let error = logs::find(&[]).expect_err("there is no log").to_string();
    assert!(error.contains("one file a host"), "{error}");
}
