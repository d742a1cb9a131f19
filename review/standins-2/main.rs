//! The scripts' cases and stand-ins, with the standard library alone. `build-2.sh` builds this program.
//!
//! `review-2 CASE DIRECTORY` plays a case; see `claim.txt` in its folder. It writes `record.txt` into DIRECTORY and exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod http;
mod leaf;
mod merged_route;
mod node;
mod restored_route;
mod same_port;
mod scene;
mod spoiled_stamp;
mod store;

use std::{env, path::Path, process};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let argument = |index: usize| arguments.get(index).map_or("", String::as_str);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    match argument(1) {
        "leafs" => leaf::main(
            argument(2),
            argument(3).parse().unwrap_or(1),
            argument(4).parse().unwrap_or(1),
            argument(5).parse().unwrap_or(1),
        ),
        "merged-route" => process::exit(merged_route::main(Path::new(argument(2)), has_trouble)),
        "same-port" => process::exit(same_port::main(Path::new(argument(2)), has_trouble)),
        "spoiled-stamp" => process::exit(spoiled_stamp::main(Path::new(argument(2)), has_trouble)),
        "restored-route" => process::exit(restored_route::main(Path::new(argument(2)), has_trouble)),
        other => {
            eprintln!("no such case: {other}");
            process::exit(2);
        }
    }
}
