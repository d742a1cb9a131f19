//! Answers are joined with the payloads of the shards that contributed.

use bytes::Bytes;
use indexmap::IndexMap;
use rstest::rstest;
use serde_json::value::RawValue;
use shallothub_core::{
    id, table,
    traffic::{event, why},
    view,
};
use shallothub_wire::{content, protocol};

fn attempt(index: u32) -> id::Attempt {
    id::Attempt(table::Key { index, generation: 0 })
}

/// An answer to which two shards contributed.
fn answer(shape: view::Shape) -> event::Answer {
    event::Answer {
        caller: id::Caller(1),
        query: None,
        class: "sweep".into(),
        outcome: event::Outcome::Answered,
        code: event::Code::Ok,
        why: why::Why::CodeOnly,
        lateness: None,
        snapshot: None,
        contributed: vec![("s0".into(), attempt(0)), ("s1".into(), attempt(1))],
        missing: vec!["s2".into()],
        shape,
        failure: None,
        via: None,
        retry_after: None,
        cost: event::Cost::default(),
    }
}

fn records() -> protocol::Payload {
    let signature = "sig".parse().expect("a signature");
    protocol::Payload::Records(content::Records { signature, bytes: Bytes::from_static(&[7; 16]) })
}

fn hits() -> protocol::Payload {
    protocol::Payload::Hits(RawValue::from_string("[1]".to_owned()).expect("JSON"))
}

/// Guards against an answer whose reported coverage exceeds what it contains.
#[rstest]
#[case::complete(view::Shape::Records { top: 5 }, vec![records(), records()], None)]
#[case::complete_hits(view::Shape::Hits, vec![hits(), hits()], None)]
#[case::without_a_payload(view::Shape::Records { top: 5 }, vec![records()], Some("s1"))]
#[case::of_another_shape(view::Shape::Records { top: 5 }, vec![hits(), records()], Some("s0"))]
#[case::hits_without_a_payload(view::Shape::Hits, vec![hits()], Some("s1"))]
#[case::response_of_another_shape(view::Shape::Whole, vec![records(), records()], Some("s0"))]
fn an_answer_has_the_payload_of_each_shard_that_contributed(
    #[case] shape: view::Shape,
    #[case] payloads: Vec<protocol::Payload>,
    #[case] lacking: Option<&str>,
) {
    let payloads: IndexMap<_, _> = (0..).map(attempt).zip(payloads).collect();
    let content = content::Content::new(&answer(shape), payloads);
    assert_eq!(content.err().map(|error| error.shard), lacking.map(Into::into));
}

#[test]
fn a_withheld_answer_covers_no_shard() {
    let answer = answer(view::Shape::Hits).withheld();
    assert_eq!((answer.outcome, answer.code), (event::Outcome::Unknown, event::Code::Withheld));
    assert!(answer.contributed.is_empty());
    assert_eq!(answer.missing, ["s2", "s0", "s1"]);
}
