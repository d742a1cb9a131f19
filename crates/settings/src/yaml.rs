//! Deserialization of YAML, with errors as faults.

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use shallothub_core::plan;

/// Deserializes `text` as a `T`; `document` is the name in faults.
pub fn read<T: DeserializeOwned>(document: &str, text: &str) -> Result<T, Vec<plan::Fault>> {
    match serde_saphyr::from_str(text) {
        Ok(value) => Ok(value),
        Err(error) => Err(vec![fault(document, &error)]),
    }
}

fn fault(document: &str, error: &serde_saphyr::Error) -> plan::Fault {
    let error = error.without_snippet();
    let position = error.location().map_or_else(plan::Position::default, position_of);
    let message = error.to_string();
    let problem = message.lines().next().unwrap_or_default().to_owned();
    plan::Fault { document: CompactString::from(document), position, remedy: remedy(&problem).to_owned(), problem }
}

/// Converts the parser's `location`.
pub(crate) fn position_of(location: serde_saphyr::Location) -> plan::Position {
    plan::Position { line: location.line(), column: location.column() }
}

fn remedy(problem: &str) -> &'static str {
    if problem.contains("unknown field") {
        return "use one of the listed keys, as in the examples under `examples/`";
    }
    if problem.contains("missing field") {
        return "add that key, as in the examples under `examples/`";
    }
    if problem.contains("invalid type") || problem.contains("invalid") {
        return "use a value of the expected type, as in the examples under `examples/`";
    }
    "correct the YAML at this position"
}
