//! The node's executable: `shallothub --settings FILE [--check]`.

use std::process;

use clap::{Arg, ArgAction, Command};
use shallothub_node::run;

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let path = matches.get_one::<String>("settings").map(String::as_str).unwrap_or_default();
    let result = if matches.get_flag("check") {
        run::settings(path).map(|settings| println!("{path}: no fault; this is host {}", settings.name))
    } else {
        run::run(path, shallothub_platform::interface())
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shallothub: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("shallothub")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A node of a query tier that spans many shards")
        .arg(
            Arg::new("settings").long("settings").value_name("FILE").required(true).help("Settings of this node, YAML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print every fault, and exit"),
        )
}
