//! Success replies of leafs whose signature is missing or cannot be one entry of the list that a client gets.

use rstest::rstest;
use shallothub_soak::{
    client::{Client, Kind, Outcome},
    deployment::Deployment,
};
use shallothub_standin::replica::Behaviour;

use super::{SIZE, client, letters, runs, start, start_relaying};

/// The values of the signature header, one element per header.
const FORMS: [&[&[u8]]; 7] =
    [&[], &[b""], &[b" \t "], &[b"\xe9.\xb5.shard0"], &[b"i-0.x.shard0,i-1.x.shard1"], &[b"i 0"], &[b"i-0", b"i-1"]];
/// Searches per form.
const SEARCHES: usize = 10;

fn set(deployment: &Deployment, services: &[&str], behaviour: Behaviour, one_in: u64) {
    for leaf in deployment.leafs.iter().filter(|leaf| services.contains(&leaf.entry.service.as_str())) {
        leaf.replica.set(|knobs| (knobs.behaviour, knobs.one_in) = (behaviour, one_in));
    }
}

/// Searches and returns the number of shards in the answer; `None` if it is a failure.
async fn search(client: &mut Client, name: &str) -> Option<usize> {
    match client.send(Kind::Gather, name).await {
        Outcome::Served { services, missing } => {
            assert_eq!(services.len() + missing, SIZE.shards, "{name}: {services:?}, {missing} missing");
            Some(services.len())
        }
        Outcome::Status(502..=504) => None,
        other => panic!("{name}: {other:?}"),
    }
}

/// Guards against a reply without a valid signature that counts as the part of its shard.
#[rstest]
#[case::gathered_here(false)]
#[case::gathered_by_another_host(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_without_a_valid_signature_is_no_part(#[case] is_relayed: bool) {
    let (deployment, node) =
        if is_relayed { start_relaying("unsigned-relayed").await } else { (start("unsigned", 1).await, 0) };
    let mut client = client(&deployment, node);
    let shards = ["shard0", "shard1", "shard2", "shard3"];
    for (form, values) in FORMS.iter().enumerate() {
        let unsigned = Behaviour::SignedAs(values);
        set(&deployment, &shards, unsigned, 5);
        let mut repeated = 0;
        for round in 0..SEARCHES {
            let name = format!("s{form}-{round}");
            let served = search(&mut client, &name).await;
            repeated += usize::from(served == Some(SIZE.shards) && runs(&deployment, &name) > SIZE.shards as u32);
        }
        assert!(repeated > 0, "form {form}: no shard was repeated");
        set(&deployment, &shards[..2], unsigned, 1);
        set(&deployment, &shards[2..], Behaviour::Proper, 1);
        for round in 0..SEARCHES {
            let served = search(&mut client, &format!("h{form}-{round}")).await;
            assert_eq!(served, None, "form {form}: an answer with less than its least coverage");
        }
    }
}

/// Guards against a success without a valid signature that is forwarded to a client.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_without_a_valid_signature_is_not_forwarded() {
    let deployment = start("unsigned-whole", 1).await;
    let mut client = client(&deployment, 0);
    for (form, values) in FORMS.iter().enumerate() {
        letters(&deployment).for_each(|leaf| leaf.replica.set(|knobs| knobs.behaviour = Behaviour::SignedAs(values)));
        for kind in [Kind::Read, Kind::Write] {
            let name = format!("{}-{form}", kind.route());
            let outcome = client.send(kind, &name).await;
            assert!(matches!(outcome, Outcome::Status(502 | 504)), "{name}: {outcome:?}");
            assert!(kind == Kind::Read || runs(&deployment, &name) == 1);
        }
    }
}
