//! The ledger of the bytes that a host holds, alone.

use indexmap::IndexMap;
use proptest::prelude::*;
use rstest::rstest;
use shallothub_core::{
    bytes::{self, Crossing, Decision, Kind, Progress, Size},
    clock::Millis,
};

/// Mark at 600, limit at 750.
fn ledger() -> bytes::Ledger {
    bytes::Ledger::new(bytes::Limits::new(Size(1000), 0.6), 1)
}

/// Mark at 600,000, limit at 750,000.
fn large_ledger() -> bytes::Ledger {
    bytes::Ledger::new(bytes::Limits::new(Size(1_000_000), 0.6), 1)
}

fn is_read(ledger: &mut bytes::Ledger, priority: Option<u8>, announced: u64) -> bool {
    ledger.decide(priority, Size(announced)) == Decision::Read
}

/// Guards against refusals below the mark, and against room that is taken by announcement alone.
#[test]
fn below_the_mark_every_request_is_read_and_nothing_is_reserved() {
    let mut ledger = ledger();
    ledger.open(Kind::Bodies, Size(600), Millis(0));
    for _ in 0..100 {
        assert!(is_read(&mut ledger, None, u64::MAX));
    }
    assert_eq!(ledger.total(), Size(600));
}

/// Above the mark the largest and the least urgent are refused first.
#[rstest]
#[case::urgent(Some(0), 0, 734_000, true)]
#[case::urgent_above_its_part(Some(0), 0, 736_000, false)]
#[case::least_urgent(Some(3), 0, 644_000, true)]
#[case::least_urgent_above_its_part(Some(3), 0, 646_000, false)]
#[case::urgent_and_large(Some(0), 40_960, 600_001, false)]
#[case::urgent_and_rather_large(Some(0), 8192, 650_000, true)]
#[case::urgent_and_rather_large_above_its_part(Some(0), 8192, 660_000, false)]
#[case::unknown(None, 0, 600_001, false)]
fn above_the_mark_the_largest_and_least_urgent_are_refused_first(
    #[case] priority: Option<u8>,
    #[case] announced: u64,
    #[case] held: u64,
    #[case] is_expected: bool,
) {
    let mut ledger = large_ledger();
    ledger.open(Kind::Replies, Size(held), Millis(0));
    assert_eq!(is_read(&mut ledger, priority, announced), is_expected);
}

/// Guards against callers that return as one wave.
#[test]
fn refused_callers_return_spread_out() {
    let mut ledger = ledger();
    ledger.open(Kind::Replies, Size(750), Millis(0));
    let mut delays = Vec::new();
    for _ in 0..1000 {
        let Decision::Refuse { retry_after } = ledger.decide(Some(0), Size::ZERO) else { panic!("read") };
        delays.push(retry_after.0);
    }
    delays.sort_unstable();
    assert!(delays[0] >= 500 && delays[999] <= 5500, "{} to {}", delays[0], delays[999]);
    assert!(delays[900] - delays[100] > 3500, "{} to {}", delays[100], delays[900]);
}

/// A body or an answer that stalls keeps its place while there is room, and no longer.
#[rstest]
fn a_stalled_holder_keeps_its_place_only_below_the_mark(#[values(Kind::Bodies, Kind::Answers)] kind: Kind) {
    let mut ledger = ledger();
    let stalled = ledger.open(kind, Size(300), Millis(0));
    ledger.open(Kind::Replies, Size(200), Millis(0));
    assert_eq!(ledger.overdue(Millis(60_000)), []);
    let live = ledger.open(Kind::Bodies, Size(200), Millis(59_900));
    let closures = ledger.overdue(Millis(60_000));
    assert_eq!(closures.iter().map(|closure| closure.holder).collect::<Vec<_>>(), [stalled]);
    assert_eq!(ledger.remaining(), Size(400));
    assert_eq!(ledger.overdue(Millis(60_000)), [], "closed once");
    assert!(!ledger.convert(stalled, Kind::Forwarded), "a closing body is not passed on");
    ledger.remove(stalled);
    ledger.remove(live);
    assert_eq!(ledger.total(), Size(200));
}

/// Guards against a log line for each byte around the mark.
#[test]
fn a_crossing_of_the_mark_is_reported_once() {
    let mut ledger = ledger();
    let holder = ledger.open(Kind::Replies, Size(601), Millis(0));
    assert_eq!(ledger.crossing(), Some(Crossing::Above));
    ledger.resize(holder, Size(599));
    assert_eq!(ledger.crossing(), None);
    ledger.resize(holder, Size(500));
    assert_eq!(ledger.crossing(), Some(Crossing::Below));
    assert_eq!(ledger.crossing(), None);
}

#[derive(Clone, Debug)]
enum Step {
    Open(usize, u64),
    Grow(usize, u64),
    Progress(usize),
    Convert(usize, usize),
    Remove(usize),
    Pass(u64),
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..Kind::ALL.len(), 0_u64..300).prop_map(|(kind, size)| Step::Open(kind, size)),
        4 => (0_usize..64, 0_u64..300).prop_map(|(index, size)| Step::Grow(index, size)),
        3 => (0_usize..64).prop_map(Step::Progress),
        1 => (0_usize..64, 0..Kind::ALL.len()).prop_map(|(index, kind)| Step::Convert(index, kind)),
        2 => (0_usize..64).prop_map(Step::Remove),
        3 => (1_u64..400).prop_map(Step::Pass),
        3 => Just(Step::Close),
    ]
}

/// What the test knows of a holder.
#[derive(Clone, Copy, Debug)]
struct Known {
    kind: Kind,
    size: u64,
    progressed_at: Millis,
    is_closing: bool,
}

fn is_closable(known: &Known) -> bool {
    matches!(known.kind, Kind::Bodies | Kind::Answers) && !known.is_closing
}

proptest! {
    /// Guards against sums that drift or go below zero, closures in another order than by time without progress, a
    /// holder with progress that is closed while one without is left, and more closures than needed.
    #[test]
    fn sums_are_exact_and_closures_are_in_order(steps in prop::collection::vec(step(), 1..200)) {
        let mut ledger = ledger();
        let limits = ledger.limits();
        let mut known: IndexMap<bytes::Holder, Known> = IndexMap::new();
        let mut now = Millis(0);
        for step in steps {
            let pick = |index: usize| known.get_index(index % known.len().max(1)).map(|(holder, _)| *holder);
            match step {
                Step::Open(kind, size) => {
                    let kind = Kind::ALL[kind];
                    let holder = ledger.open(kind, Size(size), now);
                    known.insert(holder, Known { kind, size, progressed_at: now, is_closing: false });
                }
                Step::Grow(index, size) => if let Some(holder) = pick(index) {
                    ledger.resize(holder, Size(size));
                    known[&holder].size = size;
                }
                Step::Progress(index) => if let Some(holder) = pick(index) {
                    ledger.progress(holder, now);
                    known[&holder].progressed_at = now;
                }
                Step::Convert(index, kind) => if let Some(holder) = pick(index) {
                    let is_converted = ledger.convert(holder, Kind::ALL[kind]);
                    prop_assert_eq!(is_converted, !known[&holder].is_closing);
                    if is_converted {
                        known[&holder].kind = Kind::ALL[kind];
                    }
                }
                Step::Remove(index) => if let Some(holder) = pick(index) {
                    ledger.remove(holder);
                    // Without effect the second time.
                    ledger.remove(holder);
                    known.swap_remove(&holder);
                }
                Step::Pass(span) => now = now + Millis(span),
                Step::Close => {
                    let mut remaining: u64 = known.values().filter(|one| !one.is_closing).map(|one| one.size).sum();
                    for closure in ledger.overdue(now) {
                        prop_assert!(remaining > limits.mark.0, "closed below the mark");
                        let is_over_limit = remaining > limits.limit.0;
                        let closed = known[&closure.holder];
                        prop_assert!(is_closable(&closed));
                        prop_assert_eq!((closure.kind, closure.size.0), (closed.kind, closed.size));
                        if !is_over_limit {
                            prop_assert!(now.since(closed.progressed_at) >= bytes::STALL_TIME[1]);
                        }
                        let oldest = known.values().filter(|one| is_closable(one)).map(|one| one.progressed_at).min();
                        prop_assert_eq!(Some(closed.progressed_at), oldest);
                        known[&closure.holder].is_closing = true;
                        remaining -= closed.size;
                    }
                    let has_closable = known.values().any(is_closable);
                    prop_assert!(remaining <= limits.limit.0 || !has_closable, "above the limit with one left to close");
                }
            }
            for kind in Kind::ALL {
                let sum: u64 = known.values().filter(|one| one.kind == kind).map(|one| one.size).sum();
                prop_assert_eq!(ledger.held(kind), Size(sum));
            }
            let remaining: u64 = known.values().filter(|one| !one.is_closing).map(|one| one.size).sum();
            prop_assert_eq!(ledger.remaining(), Size(remaining));
        }
    }
}

/// Guards against closing a caller that reads at the minimum rate, whose progress shows only when half of its receive
/// buffer, or all of it, is free.
#[rstest]
fn a_slow_reader_is_not_taken_as_stalled(#[values(1000, 8000, 65_000)] buffer: u64, #[values(0.5, 1.0)] step: f64) {
    let mut progress = Progress::default();
    progress.record(Size(buffer), false);
    for _ in 0..20 {
        let freed = (buffer as f64 * step) as u64;
        let silence = bytes::MIN_READ_RATE.time_for(Size(freed));
        assert!(silence < progress.stall_time(Millis(100)), "{freed} bytes freed after {silence}");
        progress.record(Size(freed), true);
    }
}

/// Guards against a caller that keeps its connection for hours because it has read megabytes before it stopped.
#[test]
fn a_stopped_reader_is_closed_in_bounded_time() {
    let mut progress = Progress::default();
    for _ in 0..1000 {
        progress.record(Size(100_000), false);
    }
    assert!(progress.stall_time(Millis(5000)) <= Millis(70_000));
}
