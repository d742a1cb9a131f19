//! The scenarios of issue 4, each with baselines and ablations.

use shallothub_core::{ratio, traffic::policy};

use crate::{fleet, fleet::Micros, oracle, run};

const SECOND: Micros = 1_000_000;

pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    body: fn(u64),
}

impl Scenario {
    pub(crate) fn run(&self, seed: u64) {
        println!("{}", self.name);
        (self.body)(seed);
    }
}

pub(crate) fn all() -> [Scenario; 4] {
    [
        Scenario { name: "straggler", body: straggler },
        Scenario { name: "lost", body: lost },
        Scenario { name: "overload", body: overload },
        Scenario { name: "roll", body: roll },
    ]
}

/// Baseline policy: a random replica, no hedging, a retry after every failure, and no admission
/// control.
fn naive() -> policy::Policy {
    policy::Policy {
        hedge_fraction: 0.0,
        retry_fraction: 3.0,
        burst: 1e9,
        ejection: false,
        two_choices: false,
        adaptive_admission: false,
        running_ceiling: u32::MAX,
        queue_ceiling: u32::MAX,
        reask: false,
        ..policy::Policy::default()
    }
}

fn setup(size: fleet::Size, policy: policy::Policy, load: f64, seconds: u64) -> run::Setup {
    run::Setup {
        size,
        policy,
        hedge: true,
        rates: vec![(0, size.capacity() * load)],
        end: seconds * SECOND,
        changes: Vec::new(),
        warm_up: 5 * SECOND,
    }
}

fn default_policy() -> policy::Policy {
    policy::Policy::default()
}

/// Policies that each differ from the default in one mechanism.
fn ablations() -> Vec<(&'static str, policy::Policy)> {
    vec![
        ("without hedging", policy::Policy { hedge_fraction: 0.0, ..default_policy() }),
        ("without two choices", policy::Policy { two_choices: false, ..default_policy() }),
        ("without ejection", policy::Policy { ejection: false, ..default_policy() }),
        ("with reported load, weight 1", policy::Policy { reported_load_weight: 1.0, ..default_policy() }),
    ]
}

/// One leaf in forty is ten times slower; the requirements state one in a hundred.
fn straggler(seed: u64) {
    for size in [fleet::GUESTFRONT, fleet::PROOFDESK] {
        println!(" {}, 30% of capacity, 30 s", size.name);
        let with_straggler = |policy| {
            let mut setup = setup(size, policy, 0.3, 30);
            setup.changes.push((0, run::Change::Slow(7, 10)));
            setup
        };
        let mut baseline = run::Run::new(setup(size, default_policy(), 0.3, 30), seed).execute();
        baseline.print("as shipped, no straggler");
        let mut report = run::Run::new(with_straggler(default_policy()), seed).execute();
        report.print("as shipped");
        println!(
            "  ratio of p99 to the same fleet without straggler: {:.3}",
            report.latency_ms(0.99) / baseline.latency_ms(0.99)
        );
        run::Run::new(with_straggler(naive()), seed).execute().print("naive");
        for (name, policy) in ablations() {
            run::Run::new(with_straggler(policy), seed).execute().print(name);
        }
        let mut hiding_load = with_straggler(policy::Policy { reported_load_weight: 1.0, ..default_policy() });
        hiding_load.changes.push((0, run::Change::HideLoad(7)));
        run::Run::new(hiding_load, seed).execute().print("with reported load, straggler lies");
        oracle::run(&with_straggler(default_policy()), seed).print("oracle");
    }
}

/// A replica of every tenth shard fails without warning at 10 s.
fn lost(seed: u64) {
    let size = fleet::PROOFDESK;
    println!(" {}, 30% of capacity, 30 s", size.name);
    let with_losses = |policy| {
        let mut setup = setup(size, policy, 0.3, 30);
        for shard in (0..size.shards).step_by(10) {
            setup.changes.push((10 * SECOND, run::Change::Lost(shard * size.replicas)));
        }
        setup
    };
    run::Run::new(with_losses(default_policy()), seed).execute().print("as shipped");
    run::Run::new(with_losses(naive()), seed).execute().print("naive");
    let without = policy::Policy { retry_fraction: 0.0, burst: 0.0, ..default_policy() };
    run::Run::new(with_losses(without), seed).execute().print("without retries and hedges");
    let without = policy::Policy { ejection: false, ..default_policy() };
    run::Run::new(with_losses(without), seed).execute().print("without ejection");
    oracle::run(&with_losses(default_policy()), seed).print("oracle");
}

/// Load at twice the capacity for a minute, then at half of it.
fn overload(seed: u64) {
    for size in [fleet::GUESTFRONT, fleet::PROOFDESK] {
        let capacity = size.capacity();
        println!(" {}, capacity {capacity:.0}/s: half for 10 s, twice for 60 s, half for 10 s", size.name);
        let overloaded = |policy| {
            let mut setup = setup(size, policy, 0.5, 80);
            setup.rates.push((10 * SECOND, capacity * 2.0));
            setup.rates.push((70 * SECOND, capacity * 0.5));
            setup
        };
        let without_admission =
            policy::Policy { adaptive_admission: false, running_ceiling: 512, queue_ceiling: 256, ..default_policy() };
        let unbounded = policy::Policy { retry_fraction: 3.0, burst: 1e9, ..default_policy() };
        let cases = [
            ("as shipped", default_policy()),
            ("naive", naive()),
            ("without adaptive admission", without_admission),
            ("without a retry budget", unbounded),
            (
                "target 0.6",
                policy::Policy { latency_target: ratio::Ratio::try_from(0.6).unwrap_or_default(), ..default_policy() },
            ),
        ];
        for (name, policy) in cases {
            let mut report = run::Run::new(overloaded(policy), seed).execute();
            report.print(name);
            println!(
                "    goodput/capacity in the storm {:.3}; answers a second after it: 1st {:.0}, 2nd {:.0}, 3rd {:.0} of {:.0}",
                report.goodput(15, 70) / capacity,
                report.goodput(70, 71),
                report.goodput(71, 72),
                report.goodput(72, 73),
                capacity * 0.5,
            );
        }
        let mut oracle_report = oracle::run(&overloaded(default_policy()), seed);
        oracle_report.print("oracle");
        println!("    goodput/capacity in the storm {:.3}", oracle_report.goodput(15, 70) / capacity);
    }
}

/// Every leaf switches to a new index version between 10 s and 20 s, and keeps the old one.
fn roll(seed: u64) {
    for size in [fleet::GUESTFRONT, fleet::PROOFDESK] {
        println!(" {}, 30% of capacity, 30 s", size.name);
        let rolling = |policy| {
            let mut setup = setup(size, policy, 0.3, 30);
            let step = 10 * SECOND / size.leaves() as Micros;
            for leaf in 0..size.leaves() {
                // Spreads the switches of a shard's replicas over time.
                let place = (leaf * 17) % size.leaves();
                setup.changes.push((10 * SECOND + step * place as Micros, run::Change::Roll(leaf)));
            }
            setup
        };
        run::Run::new(rolling(default_policy()), seed).execute().print("as shipped");
        let without = policy::Policy { reask: false, ..default_policy() };
        run::Run::new(rolling(without), seed).execute().print("without asking again");
        run::Run::new(rolling(naive()), seed).execute().print("naive");
    }
}
