//! Reads and checks documents in a directory that is laid out like the platform's keys:
//! `DIR/shallothub/services/NAME.yaml`, `selectors/`, `evacuations/`, `hosts/`, and the two manifests
//! `DIR/shallothub/config.yaml` and `DIR/shallothub/hosts.yaml`.

use std::{fs, path};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use shallothub_core::{catalog, plan};
use shallothub_settings::document;
use snafu::ResultExt;

use crate::error;

const ROOT: &str = "shallothub";

/// Directory that lists evacuated data centres. It is optional, since usually no data centre is evacuated.
const EVACUATIONS: &str = "evacuations";

/// The directories that hold the parts of a catalog.
fn folders(kind: catalog::Kind) -> &'static [&'static str] {
    match kind {
        catalog::Kind::Config => &["services", "selectors", EVACUATIONS],
        catalog::Kind::Hosts => &["hosts"],
    }
}

/// Reads the parts of a catalog, sorted by key.
pub fn read(directory: &path::Path, kind: catalog::Kind) -> Result<IndexMap<CompactString, String>, error::Error> {
    let mut parts = IndexMap::new();
    for folder in folders(kind) {
        let folder_path = directory.join(ROOT).join(folder);
        if folder == &EVACUATIONS && !folder_path.exists() {
            continue;
        }
        let path = folder_path.display().to_string();
        for entry in fs::read_dir(&folder_path).context(error::FileSnafu { path: &path })? {
            let file = entry.context(error::FileSnafu { path: &path })?.path();
            let is_yaml = file.extension().is_some_and(|extension| extension == "yaml");
            let Some(stem) = file.file_stem().filter(|_| is_yaml) else {
                continue;
            };
            let text = fs::read_to_string(&file).context(error::FileSnafu { path: file.display().to_string() })?;
            parts.insert(format_compact!("{ROOT}/{folder}/{}", stem.to_string_lossy()), text);
        }
    }
    parts.sort_unstable_keys();
    Ok(parts)
}

/// Returns all faults of the documents, with the checks that a node makes.
pub fn check(directory: &path::Path) -> Result<Vec<plan::Fault>, error::Error> {
    let mut faults = Vec::new();
    for kind in catalog::Kind::ALL {
        let parts = read(directory, kind)?;
        let mut parsed = IndexMap::new();
        for (key, text) in &parts {
            match document::part(key, text) {
                Ok(part) => {
                    parsed.insert(key.clone(), part);
                }
                Err(part_faults) => faults.extend(part_faults),
            }
        }
        faults.extend(plan::check(&parsed));
        faults.extend(check_manifest(directory, kind, &parts)?);
    }
    Ok(faults)
}

fn manifest_path(directory: &path::Path, kind: catalog::Kind) -> path::PathBuf {
    directory.join(kind.manifest_key()).with_extension("yaml")
}

fn check_manifest(
    directory: &path::Path,
    kind: catalog::Kind,
    parts: &IndexMap<CompactString, String>,
) -> Result<Vec<plan::Fault>, error::Error> {
    let path = manifest_path(directory, kind);
    let name = path.display().to_string();
    let text = fs::read_to_string(&path).context(error::FileSnafu { path: name.clone() })?;
    let manifest = match document::manifest(&text) {
        Ok(manifest) => manifest,
        Err(faults) => return Ok(faults),
    };
    let actual: IndexMap<CompactString, catalog::Digest> =
        parts.iter().map(|(key, text)| (key.clone(), catalog::Digest::of(text))).collect();
    if actual == manifest.parts {
        return Ok(Vec::new());
    }
    Ok(vec![plan::Fault {
        document: CompactString::from(name),
        position: plan::Position { line: 1, column: 1 },
        problem: "the manifest does not match the documents beside it".to_owned(),
        remedy: "generate it again with `shallotctl manifest` and a higher version".to_owned(),
    }])
}

/// Writes the manifests of a directory; returns the kind and stamp of each.
pub fn write_manifests(directory: &path::Path, version: u64) -> Result<Vec<CompactString>, error::Error> {
    let mut stamps = Vec::new();
    for kind in catalog::Kind::ALL {
        let mut manifest = catalog::Manifest { version, ..catalog::Manifest::default() };
        for (key, text) in read(directory, kind)? {
            manifest.parts.insert(key, catalog::Digest::of(&text));
        }
        let path = manifest_path(directory, kind);
        let text = match serde_saphyr::to_string(&manifest) {
            Ok(text) => text,
            Err(error) => return error::WriteSnafu { detail: error.to_string() }.fail(),
        };
        fs::write(&path, text).context(error::FileSnafu { path: path.display().to_string() })?;
        stamps.push(format_compact!("{kind} {}", manifest.stamp()));
    }
    Ok(stamps)
}
