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

fn reply(status: u16, attempt: Option<&'static str>, body: &'static [u8]) -> protocol::Reply {
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
    own::Own.reply(&dispatch(), "this", &request, &head, Bytes::from_static(body))
}

/// Guards against a late second copy of a rejection that is taken for the reply to a later request.
#[rstest]
#[case::rejection(429)]
#[case::unavailable(503)]
#[case::duplicate(409)]
fn a_rejection_counts_only_for_its_own_attempt(#[case] status: u16) {
    let matched = reply(status, Some("this"), b"");
    assert!(!matches!(matched.end, protocol::End::Lost(_)) && matched.is_matched, "{matched:?}");
    let other = reply(status, Some("another"), b"");
    assert!(matches!(other.end, protocol::End::Lost(event::Loss::Mismatched)) && !other.is_matched, "{other:?}");
    let unnamed = reply(status, None, b"");
    assert!(!matches!(unnamed.end, protocol::End::Lost(_)) && !unnamed.is_matched, "{unnamed:?}");
}

/// Guards against a reply that counts as an answer although its hits cannot be sent on.
#[rstest]
#[case::complete(
    br#"{"attempt":"this","shard":"shard","snapshot":{"epoch":1,"version":1},"count":1,"hits":[1]}"#,
    true
)]
#[case::empty(b"", false)]
#[case::without_hits(br#"{"attempt":"this","shard":"shard","snapshot":{"epoch":1,"version":1},"count":1}"#, false)]
#[case::broken_hits(
    br#"{"attempt":"this","shard":"shard","snapshot":{"epoch":1,"version":1},"count":1,"hits":[1}"#,
    false
)]
#[case::not_utf_8(b"{\"attempt\":\"this\",\"shard\":\"shard\",\"snapshot\":{\"epoch\":1,\"version\":1},\"count\":1,\"hits\":[\"\xe9\"]}", false)]
#[case::two_lists(
    br#"{"attempt":"this","shard":"shard","snapshot":{"epoch":1,"version":1},"count":1,"hits":[1],"hits":[2]}"#,
    false
)]
fn a_reply_counts_only_with_its_hits(#[case] body: &'static [u8], #[case] is_answer: bool) {
    let reply = reply(200, None, body);
    assert_eq!(matches!(reply.end, protocol::End::Answered { .. }), is_answer, "{reply:?}");
}
