//! Store outages during which leafs restart or the store is restored from a backup.

use shallothub_soak::{
    client::{Client, Kind},
    deployment,
};
use shallothub_standin::registry;

use super::{POLL_INTERVAL, SEARCH_LIMIT, client, served_services, start};

/// Guards against reusing a leaf's parsed entry after it restarts under a new id at its address during a store outage.
#[tokio::test(flavor = "multi_thread")]
async fn leafs_restarted_during_an_outage_are_used_under_their_new_ids() {
    let mut deployment = start("renamed", 2).await;
    deployment.registry.set(registry::Mode::Away);
    let leafs = deployment.leafs.iter_mut().filter(|leaf| leaf.entry.service == "shard0");
    for (leaf, id) in leafs.zip(["i-new-0", "i-new-1"]) {
        deployment.registry.unregister(&leaf.entry);
        leaf.replica.set(|knobs| knobs.new_id = Some(id));
        leaf.entry.name = id.into();
        deployment.registry.register(&leaf.entry);
    }
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    deployment.registry.set(registry::Mode::Proper);
    for node in 0..2 {
        let mut client = client(&deployment, node);
        let mut round = 0;
        while served_services(&client.send(Kind::Gather, &format!("g{node}-{round}")).await) != 4 {
            round += 1;
            assert!(round < SEARCH_LIMIT, "node {node}: results still incomplete after {round} searches");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Guards against nodes that go back to the older configuration in a restored store, or that miss what is written after
/// the restore, with real processes and the store's era header.
#[tokio::test(flavor = "multi_thread")]
async fn restoring_the_store_does_not_roll_back_the_configuration() {
    /// Rounds of searches after the restore, at least three seconds with the pause of [`POLL_INTERVAL`] after each, and the
    /// limit of searches per client until the third configuration is in force.
    const ROUNDS: u32 = 150;
    let mut deployment = start("restored", 2).await;
    let mut clients: Vec<Client> = (0..2).map(|node| client(&deployment, node)).collect();
    let backup = deployment.registry.backup();
    deployment.configure(2, &deployment::shards(0, 3));
    for (node, client) in clients.iter_mut().enumerate() {
        let mut round = 0;
        while served_services(&client.send(Kind::Gather, &format!("second-{node}-{round}")).await) != 3 {
            round += 1;
            assert!(round < SEARCH_LIMIT, "the second configuration is not in force");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    deployment.registry.set(registry::Mode::Away);
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    deployment.registry.restore(backup);
    deployment.registry.set(registry::Mode::Proper);
    for round in 0..ROUNDS {
        for (node, client) in clients.iter_mut().enumerate() {
            let outcome = client.send(Kind::Gather, &format!("restored-{node}-{round}")).await;
            assert_eq!(served_services(&outcome), 3, "node {node}, round {round}: {outcome:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    deployment.configure(3, &deployment::shards(0, 2));
    for (node, client) in clients.iter_mut().enumerate() {
        let mut round = 0;
        loop {
            let outcome = client.send(Kind::Gather, &format!("third-{node}-{round}")).await;
            if served_services(&outcome) == 2 {
                break;
            }
            round += 1;
            assert!(round < ROUNDS, "the third configuration is not in force: {outcome:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
