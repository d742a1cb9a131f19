//! Messages between hosts: decoding reverses encoding, and malformed input is an error, never a panic.

use proptest::prelude::*;
use shallothub_core::{catalog, clock, control::message, evidence, plan::gatherers, suspect, view};
use shallothub_wire::peer;

fn stamp() -> impl Strategy<Value = view::Stamp> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(number, version, digest)| view::Stamp {
        number,
        version,
        digest,
    })
}

fn record() -> impl Strategy<Value = evidence::Record> {
    let instants = (0..100_u64, proptest::option::of(0..100_u64), 0..100_u64);
    (any::<(u64, u32, u16, u32)>(), any::<[u8; 4]>(), 0..16_u8, 0..4_u8, instants).prop_map(
        |(
            (server, observer, tag, sequence),
            [rejection, failure, slowness, attempts],
            deviations,
            streak,
            instants,
        )| {
            let opinion = evidence::Opinion {
                version: evidence::Version { tag, sequence },
                levels: evidence::Levels { rejection, failure, slowness, attempts },
                deviations: evidence::Deviations(deviations),
                sampled_at: clock::Millis(instants.0),
                bad_at: instants.1.map(clock::Millis),
                streak,
                streak_at: clock::Millis(instants.2),
            };
            let (server, observer) = (evidence::Incarnation(server), evidence::Observer(observer));
            evidence::Record::new(clock::Millis(100), server, observer, &opinion)
        },
    )
}

fn evidence() -> impl Strategy<Value = message::Body> {
    proptest::collection::vec(record(), 0..=evidence::Update::MAX_RECORDS)
        .prop_map(|records| message::Body::Evidence(evidence::Update { records }))
}

fn body() -> impl Strategy<Value = message::Body> {
    let digest =
        (stamp(), stamp(), any::<Option<u64>>(), any::<Option<u64>>()).prop_map(|(config, hosts, sent, echo)| {
            let demand = gatherers::Demand(config.version as u32);
            let member = message::Member { peer: "10.0.0.2:7000".into(), demand, ..message::Member::default() };
            message::Body::Digest(Box::new(message::Digest {
                stamps: [config, hosts],
                ages: [sent.map(clock::Millis), None],
                sent: sent.map(clock::Millis),
                echo: echo.map(clock::Millis),
                members: vec![member],
                known: 2,
                is_settled: true,
                is_away: false,
                members_digest: vec![config.digest as u32; 16],
                complete_to: hosts.version,
                suspects: hosts.digest as u32,
                evidence: config.version as u32,
            }))
        });
    let ask = proptest::collection::vec(any::<u64>(), 0..20).prop_map(|have| {
        let have = have.into_iter().map(catalog::Digest).collect();
        message::Body::Ask(message::Request { kind: catalog::Kind::Hosts, have, base: None })
    });
    let update = (any::<u64>(), proptest::option::of(stamp()), ".{0,40}").prop_map(|(version, base, text)| {
        let part = message::Part { key: "k".into(), digest: catalog::Digest::of(&text), text: Some(text.into()) };
        let removed = vec!["gone".into()];
        let kind = catalog::Kind::Config;
        message::Body::Catalog(message::Update {
            kind,
            base,
            number: version,
            version,
            digest: version,
            removed,
            parts: vec![part],
        })
    });
    let trial = (any::<u128>(), any::<u64>(), any::<bool>()).prop_map(|(fingerprint, attempt, is_granted)| {
        let trial = suspect::Trial { fingerprint: suspect::Fingerprint(fingerprint), attempt };
        let mut table = suspect::Table::default();
        for server in ["a", "b", "c"] {
            let (fingerprint, server) = (trial.fingerprint, server.into());
            table.record_crash(clock::Millis(1), &suspect::Crash { fingerprint, attempt, server });
        }
        let trial = Box::new(message::Trial { trial, record: table.record(clock::Millis(2), trial.fingerprint) });
        if is_granted { message::Body::GrantTrial(trial) } else { message::Body::AskTrial(trial) }
    });
    prop_oneof![digest, ask, update, trial, evidence()]
}

proptest! {
    #[test]
    fn a_message_survives_the_wire(body in body(), packs in any::<bool>()) {
        let message = message::Message { protocol: message::PROTOCOL, from: "10.0.0.1:7000".into(), body };
        let bytes = peer::encode(&message, packs).expect("encoded");
        prop_assert_eq!(peer::decode(&bytes).expect("decoded"), message);
    }

    /// Guards against a host that sends more bytes of evidence than it counts.
    #[test]
    fn an_update_is_not_larger_than_it_is_counted(body in evidence()) {
        let message::Body::Evidence(update) = &body else { unreachable!("the strategy makes updates") };
        let bound = evidence::Update::size(update.records.len());
        let message = message::Message { protocol: message::PROTOCOL, from: "255.255.255.255:65535".into(), body };
        let bytes = peer::encode(&message, false).expect("encoded");
        prop_assert!(bytes.len() <= bound, "{} bytes, counted as {bound}", bytes.len());
    }

    #[test]
    fn cutting_a_message_short_is_an_error(body in body(), packs in any::<bool>(), cut in 1_usize..40) {
        let message = message::Message { protocol: message::PROTOCOL, from: "10.0.0.1:7000".into(), body };
        let bytes = peer::encode(&message, packs).expect("encoded");
        prop_assert!(peer::decode(&bytes[..bytes.len().saturating_sub(cut)]).is_err());
    }
}

/// A message of the previous version, which does not know evidence.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Older {
    protocol: u16,
    from: String,
    body: OlderBody,
}

#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum OlderBody {
    Digest(OlderDigest),
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
struct OlderDigest {
    suspects: u32,
}

/// Old and new nodes run side by side during an upgrade. Guards against an older node that fails on evidence or on a
/// digest with a field for it, and against a digest that grows while no server has a standing.
#[test]
fn older_nodes_drop_evidence_and_read_digests() {
    let encode = |body: message::Body| {
        let message = message::Message { protocol: message::PROTOCOL, from: "10.0.0.1:7000".into(), body };
        peer::encode(&message, false).expect("encoded")
    };
    let bytes = encode(message::Body::Evidence(evidence::Update::default()));
    rmp_serde::from_slice::<Older>(&bytes).expect_err("an unknown body");
    let digest = |evidence| message::Digest { suspects: 3, evidence, ..message::Digest::default() };
    let bytes = encode(message::Body::Digest(Box::new(digest(7))));
    let Older { body: OlderBody::Digest(read), .. } = rmp_serde::from_slice(&bytes).expect("a digest");
    assert_eq!(read.suspects, 3);
    let healthy = encode(message::Body::Digest(Box::new(digest(0))));
    assert!(healthy.len() < bytes.len() && !healthy.windows(8).any(|window| window == b"evidence"));
    let older = Older { protocol: 1, from: "10.0.0.1:7000".into(), body: OlderBody::Digest(OlderDigest::default()) };
    let decoded = peer::decode(&rmp_serde::to_vec_named(&older).expect("encoded")).expect("decoded");
    assert_eq!(decoded.body, message::Body::Digest(Box::default()));
}

#[derive(serde::Serialize)]
struct Newer {
    protocol: u16,
    from: &'static str,
    body: message::Body,
    mood: &'static str,
}

/// During a rolling restart, a node of a newer version may send fields that older ones do not know. Older nodes
/// must ignore these and decode the rest.
#[test]
fn a_field_of_a_newer_program_is_passed_over() {
    let body = message::Body::Digest(Box::default());
    let newer = Newer { protocol: message::PROTOCOL, from: "10.0.0.1:7000", body: body.clone(), mood: "new" };
    let bytes = rmp_serde::to_vec_named(&newer).expect("encoded");
    assert_eq!(peer::decode(&bytes).expect("decoded").body, body);
}

/// A member record of the version before the demand.
#[derive(Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct OldMember {
    peer: String,
    name: String,
    data_centre: String,
    relay: String,
    power: u32,
    turn: u64,
    packs: bool,
    state: message::State,
}

/// Guards against hosts of two versions that cannot read each other's member records: a record without a demand has
/// none, and the previous version ignores the demand.
#[test]
fn member_records_of_both_versions_are_readable() {
    let old = OldMember { peer: "10.0.0.2:7000".to_owned(), power: 250, turn: 3, ..OldMember::default() };
    let read: message::Member = rmp_serde::from_slice(&rmp_serde::to_vec_named(&old).expect("encoded")).expect("read");
    assert_eq!((read.incarnation, read.power, read.demand), (3, 250, gatherers::Demand::NONE));
    let new = message::Member { demand: gatherers::Demand(1800), ..read };
    let read: OldMember = rmp_serde::from_slice(&rmp_serde::to_vec_named(&new).expect("encoded")).expect("read");
    assert_eq!(read, old);
}
