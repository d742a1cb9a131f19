//! Command line of the soak test: `shallothub-soak --program FILE [--seeds N] [--first N] [--seconds N]`.

use std::{path, process, time::Duration};

use clap::{Arg, Command, value_parser};
use shallothub_soak::{deployment::Size, run};

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("shallothub-soak: no runtime: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let mut failed = 0;
    for seed in number("first")..number("first") + number("seeds") {
        let plan = run::Plan {
            program: path::PathBuf::from(text("program")),
            directory: path::PathBuf::from(text("directory")).join(format!("seed-{seed}")),
            seed,
            duration: Duration::from_secs(number("seconds")),
            size: Size {
                nodes: number("nodes") as usize,
                shards: 6,
                replicas: 2,
                has_two_data_centres: !matches.get_flag("narrow"),
            },
            clients: number("clients") as usize,
            extra_settings: String::new(),
        };
        println!("seed {seed}");
        match runtime.block_on(run::run(&plan)) {
            Ok(verdict) => {
                report(&verdict);
                failed += u32::from(!verdict.breaches.is_empty());
            }
            Err(error) => {
                println!("  did not run: {error}");
                failed += 1;
            }
        }
    }
    println!("{} seeds, {failed} with a breach", number("seeds"));
    if failed == 0 { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

fn report(verdict: &run::Verdict) {
    println!("  faults: {:?}", verdict.faults);
    for (outcome, count) in &verdict.outcomes {
        println!("  {count:6} {outcome}");
    }
    for breach in &verdict.breaches {
        println!("  BREACH {breach}");
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("N").default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    Command::new("shallothub-soak")
        .about("Runs nodes as real processes under seeded faults, and checks what clients and leafs observe")
        .arg(Arg::new("program").long("program").value_name("FILE").required(true).help("Executable of the node"))
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIR")
                .default_value("target/soak")
                .help("Directory for settings and logs"),
        )
        .arg(
            Arg::new("narrow")
                .long("narrow")
                .action(clap::ArgAction::SetTrue)
                .help("One data centre, without evacuations and warm-ups, as in the first runs of seeds below 30000"),
        )
        .arg(number("seeds", "1", "Number of seeds to run"))
        .arg(number("first", "1", "First seed"))
        .arg(number("seconds", "10", "Duration of fault injection for each seed"))
        .arg(number("nodes", "3", "Number of nodes"))
        .arg(number("clients", "4", "Number of clients per node"))
}
