//! Runs backend servers in a separate process: `backend --file leaves.yaml`.
//!
//! The file has the format of [`Leaves`]; each leaf listens on its own address.

use std::{fs, net as std_net, process};

use clap::{Arg, Command};
use serde::Deserialize;
use shallothub_settings::yaml;
use shallothub_standin::leaf;
use tokio::net;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Leaves {
    leaves: Vec<LeafEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeafEntry {
    address: std_net::SocketAddr,
    spec: leaf::Spec,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let command = Command::new("backend").arg(Arg::new("file").long("file").required(true).help("YAML list of leaves"));
    let matches = command.get_matches();
    let path = matches.get_one::<String>("file").map(String::as_str).unwrap_or_default();
    let text = fs::read_to_string(path).unwrap_or_else(|error| fail(&format!("{path}: {error}")));
    let leaves: Leaves = yaml::read(path, &text).unwrap_or_else(|faults| fail(&faults[0].to_string()));
    let mut running = Vec::new();
    for entry in &leaves.leaves {
        let listener = net::TcpListener::bind(entry.address).await;
        let listener = listener.unwrap_or_else(|error| fail(&format!("{}: {error}", entry.address)));
        running.push(leaf::Leaf::start(&entry.spec, listener));
    }
    println!("{} leaves", running.len());
    std::future::pending::<()>().await;
}

fn fail(message: &str) -> ! {
    eprintln!("backend: {message}");
    process::exit(2);
}
