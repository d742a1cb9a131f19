//! Replies of backend servers on the product's own interface.

use bytes::Bytes;
use rstest::rstest;
use shallothub_core::{clock, id, table, traffic::event, view};
use shallothub_wire::{leaf, own, protocol, protocol::Backend};

const KEY: table::Key = table::Key { index: 0, generation: 0 };

fn dispatch() -> event::Dispatch {
    event::Dispatch {
        attempt: id::Attempt(KEY),
        query: id::Query(KEY),
        caller: id::Caller(1),
        server: id::Server(0),
        name: "server".into(),
        address: "127.0.0.1:1".into(),
        shard: "shard".into(),
        key: None,
        deadline: clock::Millis(1000),
        epoch: 1,
        want: None,
        shape: view::Shape::Hits,
        relayed: None,
        idempotent: false,
    }
}

fn reply(status: u16, attempt: Option<&'static str>) -> protocol::Reply {
    let request = protocol::Request {
        head: protocol::Head {
            name: "r".into(),
            destination: protocol::Destination::Class("booking".into()),
            timeout: None,
            key: None,
        },
        method: http::Method::POST,
        target: http::Uri::from_static("/query/booking"),
        headers: http::HeaderMap::new(),
        body: Bytes::new(),
    };
    let mut response = http::Response::builder().status(status);
    if let Some(attempt) = attempt {
        response = response.header(leaf::ATTEMPT, attempt);
    }
    let (head, ()) = response.body(()).expect("a response").into_parts();
    own::Own.reply(&dispatch(), "this", &request, &head, Bytes::new())
}

/// Guards against a late second copy of a rejection that is taken for the reply to a later request.
#[rstest]
#[case::rejection(429)]
#[case::unavailable(503)]
#[case::duplicate(409)]
fn a_rejection_counts_only_for_its_own_attempt(#[case] status: u16) {
    let matched = reply(status, Some("this"));
    assert!(!matches!(matched.end, event::Reply::Lost(_)) && matched.is_matched, "{matched:?}");
    let other = reply(status, Some("another"));
    assert!(matches!(other.end, event::Reply::Lost(event::Loss::Mismatched)) && !other.is_matched, "{other:?}");
    let unnamed = reply(status, None);
    assert!(!matches!(unnamed.end, event::Reply::Lost(_)) && !unnamed.is_matched, "{unnamed:?}");
}
