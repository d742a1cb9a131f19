//! Parsers for YAML: the settings of a node, and the documents that operators and the platform publish.
//!
//! Parsing is strict. An unknown key, a wrong type or a contradiction is a
//! [`plan::Fault`](shallothub_core::plan::Fault) with document, line, column and remedy, and every
//! fault of a document is listed, not just the first.

pub mod document;
pub mod node;
pub mod yaml;
