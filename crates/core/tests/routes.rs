//! Route lookup by host and path prefix, and weighted traffic splits.

use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;
use shallothub_core::route;

fn table() -> route::Table {
    let mut table = route::Table::default();
    for (host, prefix, class) in [
        ("a.example", "/", "front"),
        ("a.example", "/rooms/", "rooms"),
        ("a.example", "/rooms/free/", "free"),
        ("B.example", "/letters/", "letters"),
        ("[::1]", "/", "local"),
    ] {
        table.insert(host, prefix, class);
    }
    table
}

#[rstest]
#[case::longest("a.example", "/rooms/free/today", Some("free"))]
#[case::prefix_itself("a.example", "/rooms/free/", Some("free"))]
#[case::no_trailing_slash("a.example", "/rooms/free", Some("rooms"))]
#[case::partial_segment("a.example", "/roomsfull/x", Some("front"))]
#[case::query("a.example", "/rooms/x?at=/rooms/free/", Some("rooms"))]
#[case::port("a.example:8080", "/rooms/x", Some("rooms"))]
#[case::case_of_host("A.Example", "/rooms/x", Some("rooms"))]
#[case::case_of_host_in_the_table("b.example", "/letters/x", Some("letters"))]
#[case::case_of_path("a.example", "/Rooms/x", Some("front"))]
#[case::no_such_path("b.example", "/rooms/x", None)]
#[case::no_such_host("c.example", "/", None)]
#[case::no_host("", "/", None)]
#[case::no_path("a.example", "", None)]
#[case::ipv6_address("[::1]", "/x", Some("local"))]
#[case::ipv6_address_and_port("[::1]:8080", "/x", Some("local"))]
fn the_longest_prefix_of_the_host_is_taken(#[case] host: &str, #[case] path: &str, #[case] class: Option<&str>) {
    assert_eq!(table().find(host, path).map(compact_str::CompactString::as_str), class);
}

/// A split must stay near its weights from the start: with a tenth of the traffic for a new version of
/// a service, a host with one request a second must not need minutes to come near that share.
#[rstest]
#[case::canary(&[0.9, 0.1], 1.0)]
#[case::rare(&[0.997, 0.003], 1.0)]
#[case::one_disabled(&[1.0, 0.0], 0.0)]
#[case::even(&[1.0, 1.0, 1.0], 1.0)]
#[case::uneven(&[5.0, 3.0, 2.0], 2.0)]
fn a_split_stays_near_its_weights(#[case] weights: &[f64], #[case] max_deviation: f64) {
    let total: f64 = weights.iter().sum();
    for start in [0.0, 0.3, 0.95] {
        let mut split = route::Split::default();
        let mut counts = vec![0.0; weights.len()];
        for requests in 1..=200 {
            counts[split.next(weights.iter().copied(), start)] += 1.0;
            for (branch, weight) in weights.iter().enumerate() {
                let expected = f64::from(requests) * weight / total;
                assert!((counts[branch] - expected).abs() <= max_deviation + 1e-9, "after {requests}: {counts:?}");
            }
        }
    }
}

/// Many hosts start at once and have one request each: in sum, their choices must come near the weights.
#[test]
fn hosts_that_start_together_do_not_begin_with_the_same_branch() {
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let mut second_branch = 0;
    for _ in 0..1000 {
        let start = random.random();
        second_branch += route::Split::default().next([0.8, 0.2].into_iter(), start);
    }
    assert!((160..=240).contains(&second_branch), "{second_branch} of 1000");
}

/// An operator changes the weights: the new ones must apply from the next request on.
#[test]
fn a_split_follows_changed_weights() {
    let mut split = route::Split::default();
    for _ in 0..50 {
        assert_eq!(split.next([1.0, 0.0].into_iter(), 0.5), 0);
    }
    for _ in 0..50 {
        assert_eq!(split.next([0.0, 1.0].into_iter(), 0.5), 1);
    }
}
