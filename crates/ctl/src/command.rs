//! The command line of `shallotctl`.

use std::{fmt, fs, io, io::Write, net, path, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use compact_str::CompactString;
use shallothub_core::{clock, evidence, plan};
use shallothub_node::{run as node_run, shared};
use snafu::ResultExt;

use crate::{client, documents, error, load, logs, summary, trace};

/// Builds the command line, with all subcommands.
pub fn command() -> Command {
    Command::new("shallotctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operator tool for shallothub")
        .subcommand_required(true)
        .subcommand(check())
        .subcommand(manifest())
        .subcommand(explain())
        .subcommand(status())
        .subcommand(release())
        .subcommand(load())
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings or documents and print all faults with line, column and remedy")
        .arg(Arg::new("settings").long("settings").value_name("FILE").help("Settings file of a node"))
        .arg(
            Arg::new("documents")
                .long("documents")
                .value_name("DIR")
                .help("Directory of documents, laid out like their keys"),
        )
}

fn manifest() -> Command {
    Command::new("manifest")
        .about("Write the manifests of documents; publish them after the documents")
        .arg(Arg::new("documents").long("documents").value_name("DIR").required(true).help("Directory of documents"))
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("N")
                .required(true)
                .value_parser(value_parser!(u64).range(1..))
                .help("Version of the manifests, higher than the one in force"),
        )
}

fn node_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(net::SocketAddr))
        .help("Address on which a node listens for callers")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explain which servers a selector reaches, how a query ended, or why requests in hosts' logs failed")
        .arg(node_arg().required(false).required_unless_present("logs"))
        .arg(
            Arg::new("selector").long("selector").value_name("NAME").conflicts_with("query").help("Name of a selector"),
        )
        .arg(Arg::new("query").long("query").value_name("NAME").help("Name of a query, as given in its answer"))
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("PATH")
                .action(ArgAction::Append)
                .num_args(1..)
                .conflicts_with_all(["node", "selector", "query"])
                .value_parser(value_parser!(path::PathBuf))
                .help("Log files, one per host, or directories of them; counts late and incomplete requests by reason"),
        )
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("NAME")
                .requires("logs")
                .help("Trace one request, as named by its caller, through the logs"),
        )
        .arg(
            Arg::new("window")
                .long("window")
                .value_name("SECONDS")
                .requires("logs")
                .default_value("2")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .help("Length of the time windows to count by"),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show the configuration in force on nodes")
        .arg(node_arg().action(ArgAction::Append))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON lines"))
}

fn release() -> Command {
    Command::new("release")
        .about("Release a request that nodes refuse because it crashed servers")
        .arg(node_arg().action(ArgAction::Append))
        .arg(
            Arg::new("request").long("request").value_name("FINGERPRINT").required(true).help(
                "Fingerprint as shown by `status`; give every node, as the others would gossip the suspicion back",
            ),
        )
}

fn load() -> Command {
    Command::new("load")
        .about("Generate an open-loop load and print a report")
        .arg(node_arg().action(ArgAction::Append))
        .arg(Arg::new("class").long("class").value_name("NAME").required(true).help("Name of the selector to query"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .default_value("50")
                .value_parser(value_parser!(f64))
                .help("Mean requests per second"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .help("Duration of the load"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the random arrival times"),
        )
        .arg(Arg::new("keys").long("keys").action(ArgAction::SetTrue).help("Give each request its own idempotency key"))
        .arg(Arg::new("json").long("json").value_name("FILE").help("Also write the JSON report to this file"))
}

/// Runs the subcommand given on the command line.
pub async fn run(matches: &ArgMatches) -> Result<(), error::Error> {
    match matches.subcommand() {
        Some(("check", matches)) => run_check(matches),
        Some(("manifest", matches)) => run_manifest(matches),
        Some(("explain", matches)) => run_explain(matches).await,
        Some(("status", matches)) => run_status(matches).await,
        Some(("release", matches)) => run_release(matches).await,
        Some(("load", matches)) => run_load(matches).await,
        _ => error::ArgumentSnafu { detail: "unknown command; see `shallotctl --help`" }.fail(),
    }
}

fn string_arg<'m>(matches: &'m ArgMatches, name: &str) -> Option<&'m str> {
    matches.get_one::<String>(name).map(String::as_str)
}

fn addresses(matches: &ArgMatches) -> Vec<net::SocketAddr> {
    matches.get_many("node").into_iter().flatten().copied().collect()
}

fn run_check(matches: &ArgMatches) -> Result<(), error::Error> {
    let settings = string_arg(matches, "settings");
    let directory = string_arg(matches, "documents");
    if settings.is_none() && directory.is_none() {
        return error::ArgumentSnafu { detail: "nothing to check; give --settings FILE or --documents DIR" }.fail();
    }
    if let Some(path) = settings {
        let settings = node_run::settings(path).context(error::SettingsSnafu)?;
        println!("{path}: no fault; this is host {}", settings.name);
    }
    if let Some(directory) = directory {
        let faults = documents::check(path::Path::new(directory))?;
        if !faults.is_empty() {
            return error::FaultsSnafu { faults }.fail();
        }
        println!("{directory}: no fault");
    }
    Ok(())
}

fn run_manifest(matches: &ArgMatches) -> Result<(), error::Error> {
    let directory = string_arg(matches, "documents").unwrap_or_default();
    let version = matches.get_one("version").copied().unwrap_or_default();
    for stamp in documents::write_manifests(path::Path::new(directory), version)? {
        println!("{stamp}");
    }
    Ok(())
}

async fn run_explain(matches: &ArgMatches) -> Result<(), error::Error> {
    if let Some(paths) = matches.get_many::<path::PathBuf>("logs") {
        return explain_logs(&logs::find(&paths.cloned().collect::<Vec<_>>())?, matches);
    }
    let Some(&address) = addresses(matches).first() else {
        return error::ArgumentSnafu { detail: "give --node IP:PORT" }.fail();
    };
    if let Some(query) = string_arg(matches, "query") {
        let response = client::get(address, &format!("/explain/query/{query}")).await?;
        print!("{}", String::from_utf8_lossy(response.body()));
        return Ok(());
    }
    let Some(selector) = string_arg(matches, "selector") else {
        return error::ArgumentSnafu { detail: "give --selector NAME or --query NAME" }.fail();
    };
    let response = client::get(address, &format!("/explain/selector/{selector}")).await?;
    let reasons: Result<Vec<(CompactString, plan::Reason)>, _> = serde_json::from_slice(response.body());
    let Ok(reasons) = reasons else {
        return error::ArgumentSnafu { detail: String::from_utf8_lossy(response.body()) }.fail();
    };
    for (server, reason) in reasons {
        match reason {
            plan::Reason::Reached => println!("{server}: reached"),
            plan::Reason::Label(label) => println!("{server}: not reached, lacks {label}"),
            plan::Reason::Leaving => println!("{server}: not reached, leaving"),
            plan::Reason::Evacuated => println!("{server}: not reached, its data centre is evacuated"),
            plan::Reason::NotListed => println!("{server}: not reached, not in the list of hosts"),
        }
    }
    Ok(())
}

fn explain_logs(logs: &[logs::Log], matches: &ArgMatches) -> Result<(), error::Error> {
    let Some(request) = string_arg(matches, "request") else {
        let seconds: u64 = matches.get_one("window").copied().unwrap_or(1);
        let mut summary = summary::Summary::new(seconds * 1000);
        for log in logs {
            log.read(|line, is_terminated| summary.add_line(&log.host, line, is_terminated))?;
        }
        summary.finish();
        return print(&summary);
    };
    let mut trace = trace::Trace::new(request);
    for log in logs {
        log.read(|line, _| trace.add_line(&log.host, line))?;
    }
    if !trace.is_found() {
        let detail =
            format!("request `{request}` is in none of the {} logs; add the log of its entry host", logs.len());
        return error::ArgumentSnafu { detail }.fail();
    }
    for log in logs {
        log.read(|line, _| trace.add_context_line(&log.host, line))?;
    }
    print(&trace)
}

/// Prints text that may be long. Ignores a closed pipe, as when a pager exits early.
fn print(text: &dyn fmt::Display) -> Result<(), error::Error> {
    match write!(io::stdout().lock(), "{text}") {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            error::WriteSnafu { detail: error.to_string() }.fail()
        }
        _ => Ok(()),
    }
}

async fn run_status(matches: &ArgMatches) -> Result<(), error::Error> {
    for address in addresses(matches) {
        let response = client::get(address, "/status").await?;
        if matches.get_flag("json") {
            println!("{}", String::from_utf8_lossy(response.body()));
            continue;
        }
        let status: shared::Status = match serde_json::from_slice(response.body()) {
            Ok(status) => status,
            Err(error) => return error::WriteSnafu { detail: error.to_string() }.fail(),
        };
        print_status(&status);
    }
    Ok(())
}

async fn run_release(matches: &ArgMatches) -> Result<(), error::Error> {
    let request = string_arg(matches, "request").unwrap_or_default();
    for address in addresses(matches) {
        let response = client::post(address, &format!("/release/{request}")).await?;
        print!("{address}: {}", String::from_utf8_lossy(response.body()));
    }
    Ok(())
}

fn print_status(status: &shared::Status) {
    let age = |age: Option<clock::Millis>| match age {
        Some(age) => format!("confirmed {age} ago"),
        None => "not confirmed yet".to_owned(),
    };
    println!("{} in {}", status.host, status.data_centre);
    println!("  config {}, {}", status.config, age(status.config_age_ms));
    println!("  hosts  {}, {}", status.hosts, age(status.hosts_age_ms));
    if !status.evacuated.is_empty() {
        println!("  evacuated data centres: {}", status.evacuated.join(", "));
    }
    for gathering in &status.gathering {
        let demand = match gathering.demand {
            Some(demand) => format!("{:.1} a second", demand.per_second()),
            None => "not known of all hosts".to_owned(),
        };
        let (count, reason) = (gathering.hosts.len(), gathering.reason.as_str());
        println!("  gathered by {count} hosts from {}: {}", gathering.set, gathering.hosts.join(", "));
        println!("    demand {demand}, here {:.1}; number by: {reason}", status.demand.per_second());
    }
    for suspect in &status.suspects {
        let fingerprint = suspect.fingerprint.map(|fingerprint| format!("{fingerprint}")).unwrap_or_default();
        let standing = match suspect.standing() {
            None => "answered by a server, so not suspected".to_owned(),
            Some(standing) => {
                let (name, wait, trials) = (standing.as_str(), standing.trial_at(), suspect.tried.len());
                format!("{name}, next trial in {wait}, {trials} trials so far")
            }
        };
        println!("  request {fingerprint}: {standing}; lost with {}", suspect.servers.join(", "));
    }
    for summary in &status.standings {
        println!("  server {}: {}", summary.server, describe(&summary.standing, summary.observers));
    }
    if let Some(held) = &status.held {
        let kinds: Vec<String> = held.kinds.iter().map(|(kind, size)| format!("{kind} {}", size.0)).collect();
        println!(
            "  bytes held: {} ({}); new requests are refused above {}, holders closed above {}",
            held.total.0,
            kinds.join(", "),
            held.mark.0,
            held.limit.0
        );
    }
    for (set, state) in &status.urgency {
        let (threshold, wait) = (state.threshold.get(), state.wait);
        println!("  servers of {set}: admits levels below {threshold:.1}, requests wait {wait} for capacity");
    }
    println!("  watches the platform: {}; calls so far: {}", status.watcher, status.control.platform_calls);
    for fault in &status.refused {
        println!("  refused: {fault}");
    }
}

/// Describes how a server deviates from the usual.
fn describe(standing: &evidence::Standing, observers: usize) -> String {
    let silent = if standing.is_silent { ", does not reply" } else { "" };
    let role = if standing.may_try { "; this host tries it" } else { "" };
    format!(
        "rejects {:.2}, fails {:.2}, {:.1} times the usual reply time{silent}; {observers} observers{role}",
        standing.rejection, standing.failure, standing.slowness
    )
}

async fn run_load(matches: &ArgMatches) -> Result<(), error::Error> {
    let rate: f64 = matches.get_one("rate").copied().unwrap_or(1.0);
    if !(rate > 0.0 && rate <= 1_000_000.0) {
        return error::ArgumentSnafu { detail: "--rate must be above 0 and at most 1000000" }.fail();
    }
    let plan = load::Plan {
        targets: addresses(matches),
        class: CompactString::from(string_arg(matches, "class").unwrap_or_default()),
        rate,
        duration: Duration::from_secs(matches.get_one("seconds").copied().unwrap_or(10)),
        seed: matches.get_one("seed").copied().unwrap_or(1),
        with_keys: matches.get_flag("keys"),
    };
    let report = load::run(&plan).await?;
    let json = match serde_json::to_string_pretty(&report) {
        Ok(json) => json,
        Err(error) => return error::WriteSnafu { detail: error.to_string() }.fail(),
    };
    println!("{json}");
    if let Some(path) = string_arg(matches, "json") {
        fs::write(path, json).context(error::FileSnafu { path })?;
    }
    Ok(())
}
