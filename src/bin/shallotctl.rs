//! Command-line tool for operators: `shallotctl check | manifest | explain | status | release | load`.

use std::process;

use shallothub_ctl::command;
use tokio::{runtime, task};

fn main() -> process::ExitCode {
    let matches = command::command().get_matches();
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("shallotctl: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    match task::LocalSet::new().block_on(&runtime, command::run(&matches)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shallotctl: {error}");
            process::ExitCode::FAILURE
        }
    }
}
