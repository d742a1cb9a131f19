//! Runs the platform's configuration service in a separate process:
//! `platform --listen IP:PORT --directory DIR`.
//!
//! Each file below the directory is published under its relative path without the `.yaml` extension.

use std::{fs, path, process, sync::Arc};

use clap::{Arg, Command};
use shallothub_standin::platform;
use tokio::net;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let command = Command::new("platform")
        .arg(Arg::new("listen").long("listen").required(true).help("IP:PORT to listen on"))
        .arg(Arg::new("directory").long("directory").required(true).help("Directory whose files are published"));
    let matches = command.get_matches();
    let text = |name| matches.get_one::<String>(name).map(String::as_str).unwrap_or_default();
    let listener = net::TcpListener::bind(text("listen")).await;
    let listener = listener.unwrap_or_else(|error| fail(&format!("{}: {error}", text("listen"))));
    let platform = platform::Platform::start(listener);
    let root = path::Path::new(text("directory"));
    publish(&platform, root, root);
    println!("published");
    std::future::pending::<()>().await;
}

fn publish(platform: &Arc<platform::Platform>, root: &path::Path, directory: &path::Path) {
    let entries = fs::read_dir(directory).unwrap_or_else(|error| fail(&format!("{}: {error}", directory.display())));
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            publish(platform, root, &path);
            continue;
        }
        let Ok(key) = path.strip_prefix(root) else {
            continue;
        };
        let key = key.with_extension("");
        let text = fs::read_to_string(&path).unwrap_or_else(|error| fail(&format!("{}: {error}", path.display())));
        platform.put(&key.to_string_lossy(), &text);
    }
}

fn fail(message: &str) -> ! {
    eprintln!("platform: {message}");
    process::exit(2);
}
