//! Simulates the tail latency, coverage and extra load of traffic policies: `cargo bench --bench
//! decisions [SCENARIO] [SEED]`.
//!
//! Eight traffic cores send to simulated leaves with the required dimensions (slots, connections,
//! connection time, link delay). The default policy is compared with a naive baseline, ablations and
//! an oracle that knows each leaf's true state. Service times are assumed, not measured: exponential
//! with a mean of 4 ms, truncated at ten times that.

mod fleet;
mod oracle;
mod report;
mod run;
mod scenario;

fn main() {
    let mut arguments = std::env::args().skip(1).filter(|argument| argument != "--bench");
    let selected = arguments.next();
    let seed = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    for scenario in scenario::all() {
        if selected.as_deref().is_some_and(|name| name != scenario.name) {
            continue;
        }
        scenario.run(seed);
    }
}
