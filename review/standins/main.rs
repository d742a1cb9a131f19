//! Runs one case of the review: `standins CASE ROOT CASE_FOLDER`. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod common;
mod half_close;
mod late_answer;
mod slow_reader;

use std::{env, panic, path::PathBuf, process};

fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, root, folder] = &words[..] else {
        eprintln!("usage: standins CASE ROOT CASE_FOLDER");
        process::exit(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let directory = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    std::fs::create_dir_all(&directory).expect("a temporary folder");
    let run = match case.as_str() {
        "half-close" => half_close::run,
        "late-answer" => late_answer::run,
        "slow-reader" => slow_reader::run,
        _ => {
            eprintln!("unknown case `{case}`");
            process::exit(2);
        }
    };
    // A failure of the script itself, such as a port that is taken, is not a result.
    let code = panic::catch_unwind(|| run(&root, &folder, &directory, is_troubled)).unwrap_or(2);
    if env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&directory).ok();
    }
    process::exit(code);
}
