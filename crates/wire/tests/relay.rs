//! Requests that one host relays to another.

use bytes::Bytes;
use shallothub_core::{clock, traffic::event};
use shallothub_wire::{protocol, relay};

fn passed_on(headers: &[(&'static str, &'static str)], relayed: event::Relayed) -> Option<relay::Metadata> {
    let headers = headers
        .iter()
        .map(|(name, value)| (http::HeaderName::from_static(name), http::HeaderValue::from_static(value)));
    let request = protocol::Request {
        head: protocol::Head {
            name: "r".into(),
            destination: protocol::Destination::Class("sweep".into()),
            timeout: None,
            key: None,
        },
        method: http::Method::GET,
        target: http::Uri::from_static("/sweep"),
        headers: headers.collect(),
        body: Bytes::new(),
    };
    let request = relay::request(&request, "host-1", relayed, clock::Millis(100));
    relay::take_metadata(&mut request.headers().clone())
}

/// The metadata that one host sends is what the other one parses.
#[test]
fn relay_metadata_round_trips() {
    let relayed = event::Relayed { settle: Some(clock::Millis(40)), trial: Some(u64::MAX) };
    let metadata = passed_on(&[], relayed).expect("relay metadata");
    assert_eq!((metadata.relayed, metadata.timeout), (relayed, Some(clock::Millis(100))));
}

/// A caller sets the headers that hosts add to relayed requests. They must not reach the other host, where they would
/// let through a request that is held on every host, or change the time of the answer.
#[test]
fn relay_headers_of_a_caller_are_dropped() {
    let headers = [("x-shallot-trial", "7"), ("x-shallot-settle-ms", "5"), ("x-shallot-relay", "host-9")];
    let relayed = event::Relayed { settle: None, trial: None };
    let metadata = passed_on(&headers, relayed).expect("relay metadata");
    assert_eq!((metadata.relayed, metadata.from.as_str()), (relayed, "host-1"));
}
