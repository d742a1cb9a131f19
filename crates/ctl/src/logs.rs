//! Reads the logs of hosts: one file per host, or a directory of such files.

use std::{
    fs, io,
    io::{BufRead, Read},
    path,
};

use snafu::ResultExt;

use crate::{error, line};

/// The log file of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Name of the host: the file name without its extension.
    pub host: String,
    path: path::PathBuf,
}

/// Finds the logs at `paths`, which are files or directories of files, sorted by host.
///
/// # Errors
/// Fails if a path does not exist, a directory cannot be listed, or no log is found.
pub fn find(paths: &[path::PathBuf]) -> Result<Vec<Log>, error::Error> {
    let mut logs = Vec::new();
    for path in paths {
        let context = || error::FileSnafu { path: path.display().to_string() };
        if fs::metadata(path).with_context(|_| context())?.is_file() {
            logs.push(log(path.clone()));
            continue;
        }
        for entry in fs::read_dir(path).with_context(|_| context())? {
            let entry = entry.with_context(|_| context())?.path();
            if entry.is_file() {
                logs.push(log(entry));
            }
        }
    }
    if logs.is_empty() {
        return error::ArgumentSnafu { detail: "no logs found; give files, or a directory with one file a host" }
            .fail();
    }
    logs.sort_by(|left, right| left.host.cmp(&right.host));
    Ok(logs)
}

fn log(path: path::PathBuf) -> Log {
    let host = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    Log { host, path }
}

impl Log {
    /// Calls `on_line` with each line and whether it ended with an end of line. Invalid UTF-8 is replaced, and
    /// lines are cut at [`line::MAX_LINE_BYTES`], which is far longer than any line of a node.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn read(&self, mut on_line: impl FnMut(&str, bool)) -> Result<(), error::Error> {
        let context = || error::FileSnafu { path: self.path.display().to_string() };
        let file = fs::File::open(&self.path).with_context(|_| context())?;
        let mut reader = io::BufReader::new(file);
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let max_bytes = line::MAX_LINE_BYTES as u64;
            let count = reader.by_ref().take(max_bytes).read_until(b'\n', &mut bytes).with_context(|_| context())?;
            if count == 0 {
                return Ok(());
            }
            let is_terminated = bytes.ends_with(b"\n");
            on_line(&String::from_utf8_lossy(&bytes), is_terminated);
            if !is_terminated && count as u64 == max_bytes {
                reader.skip_until(b'\n').with_context(|_| context())?;
            }
        }
    }
}
