//! Errors in YAML: each is reported with its position and a remedy.

use rstest::rstest;
use shallothub_core::{evidence, plan};
use shallothub_settings::{document, node};

const SERVICES: &str = "shallothub/services/main";
const SELECTORS: &str = "shallothub/selectors/main";

fn services(shards: &str, held: &str) -> String {
    format!(
        "entry_hosts_most: 8\nservices:\n  - name: s\n    shards: [{shards}]\n    servers:\n      - {{name: x, shards: [{held}], connections: 25, slots: 2}}\n"
    )
}

fn selector(rest: &str) -> String {
    format!("selectors:\n  - {{name: q, service: s, deadline_ms: 100, least_coverage: 1, idempotent: true{rest}}}\n")
}

/// Returns all faults of a plan with these services and selectors.
fn faults(services: &str, selectors: &str) -> Vec<plan::Fault> {
    let mut parts = Vec::new();
    for (key, text) in [(SERVICES, services), (SELECTORS, selectors)] {
        match document::part(key, text) {
            Ok(part) => parts.push((compact_str::CompactString::from(key), part)),
            Err(faults) => return faults,
        }
    }
    plan::check(parts.iter().map(|(key, part)| (key, part)))
}

#[test]
fn a_right_document_has_no_fault() {
    assert_eq!(faults(&services("a", "a"), &selector("")), []);
}

#[rstest]
#[case::malformed("services: [", &selector(""), 1, "")]
#[case::unknown_key(&services("a", "a").replace("slots", "slot"), &selector(""), 6, "unknown field `slot`")]
#[case::missing_key(&services("a", "a").replace(", slots: 2", ""), &selector(""), 6, "slots")]
#[case::overlap(&services("a, a", "a"), &selector(""), 3, "overlaps itself")]
#[case::held_twice(&services("a", "a, a"), &selector(""), 6, "holds shard `a` twice")]
#[case::unknown_shard(&services("a", "a, b"), &selector(""), 6, "`b`, which `s` does not have")]
#[case::empty_shard(&services("a, b", "a"), &selector(""), 3, "no server holds shard `b`")]
#[case::no_slots(&services("a", "a").replace("slots: 2", "slots: 0"), &selector(""), 6, "has no slots")]
#[case::no_match(&services("a", "a"), &selector(", match: {role: x}"), 2, "matches no server")]
#[case::no_service(&services("a", "a"), &selector("").replace("service: s", "service: t"), 2, "unknown service `t`")]
#[case::no_time(&services("a", "a"), &selector("").replace("deadline_ms: 100", "deadline_ms: 0"), 2, "gives no time")]
#[case::late_settle(&services("a", "a"), &selector(", settle_ms: 100"), 2, "settles after its deadline")]
#[case::share(&services("a", "a"), &selector("").replace("least_coverage: 1", "least_coverage: 2"), 2, "not a share")]
#[case::hedged_once(
    &services("a", "a"),
    &selector(", hedge: true").replace("idempotent: true", "idempotent: false"),
    2,
    "hedges requests that must run at most once"
)]
fn a_fault_has_its_place_and_a_remedy(
    #[case] services: &str,
    #[case] selectors: &str,
    #[case] line: u64,
    #[case] problem: &str,
) {
    let faults = faults(services, selectors);
    let fault = faults.first().expect("a fault");
    assert_eq!(fault.position.line, line, "{fault}");
    assert!(fault.position.column > 0, "{fault}");
    assert!(fault.problem.contains(problem), "{fault}");
    assert!(!fault.remedy.is_empty(), "{fault}");
}

/// Operators evacuate data centres with a separate document.
#[rstest]
#[case::misspelt("data_centers: [north]", 1, "data_centers")]
#[case::no_list("data_centres: north", 1, "")]
fn a_faulty_evacuation_is_refused(#[case] text: &str, #[case] line: u64, #[case] problem: &str) {
    let faults = document::part("shallothub/evacuations/now", text).expect_err("refused");
    assert_eq!(faults[0].position.line, line, "{}", faults[0]);
    assert!(faults[0].problem.contains(problem) && !faults[0].remedy.is_empty(), "{}", faults[0]);
}

#[rstest]
#[case::twice("data_centres: [north, north]", "evacuated twice")]
#[case::no_name("data_centres: [\"\"]", "has no name")]
#[case::well("data_centres: [north, south]", "")]
fn an_evacuation_is_checked(#[case] text: &str, #[case] problem: &str) {
    let key = compact_str::CompactString::const_new("shallothub/evacuations/now");
    let part = document::part(&key, text).expect("it can be read");
    let faults = plan::check([(&key, &part)]);
    assert_eq!(faults.len(), usize::from(!problem.is_empty()), "{faults:?}");
    assert!(faults.iter().all(|fault| fault.problem.contains(problem) && !fault.remedy.is_empty()), "{faults:?}");
}

#[test]
fn a_value_over_a_megabyte_is_refused_with_a_remedy() {
    let text = "#".repeat((1 << 20) + 1);
    let faults = document::part(SERVICES, &text).expect_err("refused");
    assert!(faults[0].problem.contains("1048577 bytes"), "{}", faults[0]);
    assert!(faults[0].remedy.contains("cut it into several parts"), "{}", faults[0]);
}

/// All faults of a file are listed, so that an operator can fix them at once.
#[test]
fn settings_list_every_fault() {
    let text = "name: \"\"\ndata_centre: a\nlisten: \"127.0.0.1:1\"\npeer: \"127.0.0.1:1\"\nplatform: \"127.0.0.1:2\"\ntraffic_threads: 0\n";
    let faults = node::read("node.yaml", text).expect_err("faults");
    assert_eq!(faults.len(), 3, "{faults:?}");
    let faults = node::read("node.yaml", "name: a\nlissten: 1\n").expect_err("faults");
    assert_eq!((faults[0].position.line, faults[0].problem.contains("lissten")), (2, true), "{}", faults[0]);
}

/// Each setting outside its range is reported as a separate fault with a remedy.
#[rstest]
#[case::readiness("interface: platform", "`ready` is missing")]
#[case::interface("interface: theirs", "unknown variant `theirs`")]
#[case::processor("processor: 0", "`processor` is not above 0")]
#[case::taken("admin: \"127.0.0.1:1\"", "is an address that is taken")]
#[case::twice("admin: \"127.0.0.1:3\"\nrelay: \"127.0.0.1:3\"", "is an address that is taken")]
#[case::descriptors("descriptors: 12", "`descriptors` is below 64")]
#[case::budget("traffic: {retry_fraction: -0.1}", "is negative")]
#[case::bound("traffic: {fleet: {ratio: 0.2, slack: -1}}", "`traffic.fleet` is negative")]
#[case::band("traffic: {score_band: 0.5}", "`traffic.score_band` is below 1")]
#[case::replicas("traffic: {min_replicas: 1}", "`traffic.min_replicas` is below 2")]
#[case::far("traffic: {expected_time: true, far_cost: 0.5}", "`traffic.far_cost` is below 1")]
#[case::no_replicas("traffic: {plan_repeats: true, min_replicas: 0}", "`traffic.min_replicas` is below 2")]
#[case::repeats("traffic: {plan_repeats: 1}", "invalid boolean")]
#[case::quantile("traffic: {hedge_quantile: 1.2}", "is no quantile")]
#[case::silence("traffic: {silence_quantile: 0}", "is no quantile")]
#[case::region("regions: {north: \"\"}", "without a name")]
#[case::overage("control: {warm_up_overage: 0.5}", "`control.warm_up_overage` is below 1")]
#[case::interval("traffic: {urgency: {interval: 10}}", "`traffic.urgency.interval` is not from 50 to 1000 ms")]
#[case::floor("traffic: {urgency: {floor: 1.5}}", "is not a share")]
#[case::unused_exchange("control: {share_urgency: true}", "without `traffic.urgency`")]
#[case::watchers("control: {watchers: 0}", "no watchers")]
#[case::evidence_interval("control: {evidence: {interval: 10}}", "`control.evidence.interval` is below 50")]
#[case::evidence_peers("control: {evidence: {peers: 0}}", "`control.evidence.peers` is 0")]
#[case::evidence_bytes("control: {evidence: {bytes_per_second: 500}}", "`control.evidence.bytes_per_second` is below")]
#[case::evidence_replicas("control: {evidence: {min_replicas: 1}}", "`control.evidence.min_replicas` is below 2")]
#[case::evidence_unknown("control: {evidence: {peer: 3}}", "unknown field `peer`")]
#[case::utilisation("control: {gatherers: {utilisation: 0}}", "`control.gatherers.utilisation` is not between")]
#[case::no_utilisation("control: {gatherers: {utilisation: .nan}}", "`control.gatherers.utilisation` is not between")]
#[case::gatherers("control: {gatherers: {min: 0}}", "`control.gatherers.min` is 0")]
#[case::gatherers_key("control: {gatherers: {max: 3}}", "unknown field `max`")]
#[case::memory("memory: {limit_mb: 39}", "`memory.limit_mb` is below 40")]
#[case::memory_missing("memory: {mark: 0.5}", "limit_mb")]
#[case::memory_misspelt("memory: {limit_mb: 160, marks: 0.5}", "marks")]
#[case::mark("memory: {limit_mb: 160, mark: 0}", "`memory.mark` is not above 0")]
#[case::mark_without_room("memory: {limit_mb: 160, mark: 0.9}", "`memory.mark` is not above 0")]
#[case::mark_no_number("memory: {limit_mb: 160, mark: .nan}", "`memory.mark` is not above 0")]
#[case::answer_wait("answer_wait_ms: 0", "`answer_wait_ms` is 0")]
fn a_setting_out_of_range_has_a_remedy(#[case] line: &str, #[case] problem: &str) {
    let text = format!(
        "name: a\ndata_centre: b\nlisten: \"127.0.0.1:1\"\npeer: \"127.0.0.1:2\"\nplatform: \"127.0.0.1:9\"\n{line}\n"
    );
    let faults = node::read("node.yaml", &text).expect_err("a fault");
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].problem.contains(problem), "{}", faults[0]);
    assert!(!faults[0].remedy.is_empty(), "{}", faults[0]);
}

/// Without the setting nothing is bounded; a limit alone is enough to set the bound.
#[rstest]
#[case("", None)]
#[case("memory: {limit_mb: 160}", Some(node::Memory { limit_mb: 160, mark: 0.6 }))]
#[case("memory: {limit_mb: 64, mark: 0.5}", Some(node::Memory { limit_mb: 64, mark: 0.5 }))]
fn the_bound_on_memory_has_defaults(#[case] line: &str, #[case] memory: Option<node::Memory>) {
    let text = format!(
        "name: a\ndata_centre: b\nlisten: \"127.0.0.1:1\"\npeer: \"127.0.0.1:2\"\nplatform: \"127.0.0.1:9\"\n{line}\n"
    );
    let settings = node::read("node.yaml", &text).expect("settings");
    assert_eq!((settings.memory, settings.answer_wait_ms.0), (memory, 5000));
}

/// Durations may be fractional: another program's YAML writer turns integers into fractions.
#[rstest]
#[case("balancer_lag_ms: 2600.0", 2600)]
#[case("balancer_lag_ms: 2600.4", 2600)]
#[case("balancer_lag_ms: 2600", 2600)]
fn a_span_may_be_written_with_a_fraction(#[case] line: &str, #[case] span: u64) {
    let text = format!(
        "name: a\ndata_centre: b\nlisten: \"127.0.0.1:1\"\npeer: \"127.0.0.1:2\"\nplatform: \"127.0.0.1:9\"\n{line}\n"
    );
    assert_eq!(node::read("node.yaml", &text).expect("settings").balancer_lag_ms.0, span);
    let faults = node::read("node.yaml", &text.replace(": 26", ": -26")).expect_err("a fault");
    assert!(faults[0].problem.contains("0 or more"), "{}", faults[0]);
}

/// Guards against an exchange of evidence that is on by default, or whose defaults are not those in the documentation.
#[test]
fn evidence_is_off_by_default() {
    let text = "name: a\ndata_centre: b\nlisten: \"127.0.0.1:1\"\npeer: \"127.0.0.1:2\"\nplatform: \"127.0.0.1:9\"\n";
    let read = |text: &str| node::read("node.yaml", text).expect("settings").control.evidence;
    assert_eq!(read(text), None);
    let deployed = "control:\n  evidence: {interval: 200, peers: 3, bytes_per_second: 6000, min_replicas: 3}\n";
    assert_eq!(read(&format!("{text}{deployed}")), Some(evidence::Policy::default()));
    assert_eq!(read(&format!("{text}control: {{evidence: {{}}}}\n")), Some(evidence::Policy::default()));
}

/// The settings in the documented examples are valid.
#[rstest]
#[case::bangkok(include_str!("../../../examples/bangkok/node.yaml"))]
#[case::fukuoka(include_str!("../../../examples/fukuoka/node.yaml"))]
#[case::demo(include_str!("../../../examples/demo/entry-0.yaml"))]
fn example_settings_have_no_fault(#[case] text: &str) {
    node::read("node.yaml", text).expect("no fault");
}
