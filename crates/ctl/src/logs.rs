//! Reading the logs of hosts: one file a host, or a directory of such files.

use std::{
    fs, io,
    io::{BufRead, Read},
    path,
};

use snafu::ResultExt;

use crate::{error, line};

/// A host's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The host: the file's name without its extension.
    pub host: String,
    path: path::PathBuf,
}

/// The logs that `paths` name, in order of the hosts.
///
/// # Errors
/// A path does not exist, or a directory cannot be listed; there is no log at all.
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
        return error::ArgumentSnafu { detail: "there is no log; give files, or a directory with one file a host" }
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
    /// Hands each line to `take`, and whether it was whole. What is not UTF-8 is replaced, and of a line that
    /// is far longer than any of a node the rest is passed over.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn read(&self, mut take: impl FnMut(&str, bool)) -> Result<(), error::Error> {
        let context = || error::FileSnafu { path: self.path.display().to_string() };
        let file = fs::File::open(&self.path).with_context(|_| context())?;
        let mut reader = io::BufReader::new(file);
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let most = line::LINE_MOST as u64;
            let count = reader.by_ref().take(most).read_until(b'\n', &mut bytes).with_context(|_| context())?;
            if count == 0 {
                return Ok(());
            }
            let is_whole = bytes.ends_with(b"\n");
            take(&String::from_utf8_lossy(&bytes), is_whole);
            if !is_whole && count as u64 == most {
                reader.skip_until(b'\n').with_context(|_| context())?;
            }
        }
    }
}
