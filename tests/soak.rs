//! A short run of the fault soak with fixed seeds; `scripts/soak-nodes` runs more.

use std::{path, time::Duration};

use rstest::rstest;
use shallothub_soak::{deployment::Size, run};

/// Seeds whose first faults are of many kinds, and every seed that once caused a breach.
#[rstest]
#[case::leaf_faults_and_host_crashes(3, false)]
#[case::resharding_with_store_faults(5, false)]
// A kill in the first millisecond was not counted as one, so the requests that it aborted had no known cause.
#[case::kill_at_once(115, false)]
#[case::kill_all_at_once(210, false)]
// The data centre of every second leaf is evacuated from time to time, and leafs warm up.
#[case::evacuations(30_001, true)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults(#[case] seed: u64, #[case] has_two_data_centres: bool) {
    let plan = run::Plan {
        program: env!("CARGO_BIN_EXE_shallothub").into(),
        directory: path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
        seed,
        duration: Duration::from_secs(5),
        size: Size { nodes: 3, shards: 6, replicas: 2, has_two_data_centres },
        clients: 2,
        extra_settings: String::new(),
    };
    println!("seed {seed}");
    let verdict = run::run(&plan).await.expect("a run");
    assert_eq!(verdict.breaches, Vec::<String>::new(), "faults {:?}, ends {:?}", verdict.faults, verdict.outcomes);
}
