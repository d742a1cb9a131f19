//! Tail latency, coverage and extra load of the decisions, in fake time: `cargo bench --bench
//! decisions [SCENARIO] [SEED]`.
//!
//! Eight traffic cores meet a fleet of fake leaves of the brief's sizes (slots, connections,
//! connection time, link delay). Beside the policy as shipped stand a naive baseline, ablations,
//! and an oracle that knows each leaf's true state. Service times are an assumption: exponential
//! around 4 ms, cut off at ten times that.

mod fleet;
mod oracle;
mod report;
mod run;
mod scenario;

fn main() {
    let mut arguments = std::env::args().skip(1).filter(|argument| argument != "--bench");
    let only = arguments.next();
    let seed = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    for scenario in scenario::all() {
        if only.as_deref().is_some_and(|name| name != scenario.name) {
            continue;
        }
        scenario.run(seed);
    }
}
