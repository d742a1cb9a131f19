//! The soak's command line: `shallothub-soak --program FILE [--seeds N] [--first N] [--seconds N]`.

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
            span: Duration::from_secs(number("seconds")),
            size: Size {
                nodes: number("nodes") as usize,
                shards: 6,
                replicas: 2,
                is_wide: !matches.get_flag("narrow"),
            },
            clients: number("clients") as usize,
            extra: String::new(),
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
    for (end, count) in &verdict.ends {
        println!("  {count:6} {end}");
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
        .about("Runs nodes as real processes under seeded faults, and judges what clients and leafs see")
        .arg(Arg::new("program").long("program").value_name("FILE").required(true).help("The node's program"))
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIR")
                .default_value("target/soak")
                .help("Where settings and logs go"),
        )
        .arg(
            Arg::new("narrow")
                .long("narrow")
                .action(clap::ArgAction::SetTrue)
                .help("One data centre, without evacuations and warm-ups, as seeds below 30000 were first played"),
        )
        .arg(number("seeds", "1", "How many seeds"))
        .arg(number("first", "1", "The first seed"))
        .arg(number("seconds", "10", "How long faults are injected in each"))
        .arg(number("nodes", "3", "Nodes"))
        .arg(number("clients", "4", "Clients of each node"))
}
