//! Nodes on the users' platform, as real processes over stand-ins of its store and leafs. What leafs
//! ran and what clients got judges, never the clock.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net, path,
    time::Duration,
};

use nix::sys::signal::Signal;
use rstest::rstest;
use shallothub_platform::opposite;
use shallothub_soak::{
    client::{self, Client, Kind, Outcome},
    deployment::{self, Deployment, Size},
};
use shallothub_standin::{registry, replica};

mod operators;
mod store;

const SIZE: Size = Size { nodes: 0, shards: 4, replicas: 2, has_two_data_centres: false };
/// Searches in which a changed address must have been used.
const MOVED_MOST: u32 = 500;
/// Searches before a fault.
const SETTLE: u32 = 30;
const LOOK: Duration = Duration::from_millis(20);
/// Pause after which a connection has rested.
const RESTED: Duration = Duration::from_millis(300);

async fn started(test: &str, nodes: usize) -> Deployment {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let program = path::Path::new(env!("CARGO_BIN_EXE_shallothub"));
    let mut deployment = Deployment::start(program, &directory, SIZE).await.expect("stand-ins");
    for _ in 0..nodes {
        let node = deployment.start_node().expect("a node");
        assert!(deployment.wait_ready(node).await);
    }
    deployment
}

fn client(deployment: &Deployment, node: usize) -> Client {
    Client::new(deployment.nodes[node].listen)
}

fn served(end: &Outcome) -> usize {
    match end {
        Outcome::Served { services, .. } => services.len(),
        _ => 0,
    }
}

fn runs(deployment: &Deployment, name: &str) -> u32 {
    deployment.leafs.iter().map(|leaf| leaf.replica.ledger().runs.get(name).copied().unwrap_or_default()).sum()
}

fn letters(deployment: &Deployment) -> impl Iterator<Item = &deployment::Leaf> {
    deployment.leafs.iter().filter(|leaf| leaf.entry.service == "letters")
}

/// The usual case: a search over every shard, a read and a letter, on one kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_whole() {
    let deployment = started("whole", 2).await;
    for node in 0..2 {
        let mut client = client(&deployment, node);
        assert_eq!(served(&client.send(Kind::Gather, &format!("g{node}")).await), 4);
        assert_eq!(served(&client.send(Kind::Read, &format!("r{node}")).await), 1);
        assert_eq!(served(&client.send(Kind::Write, &format!("w{node}")).await), 1);
        assert_eq!(runs(&deployment, &format!("w{node}")), 1);
    }
}

/// All leafs of one kind misbehave, each in its way. A search and a read are repeatable and must never
/// show a wrong byte; a letter must never run twice, and is said not to have run only if it did not.
#[rstest]
#[case::failing(replica::Behaviour::Failing, &[500])]
#[case::refusing(replica::Behaviour::Refusing, &[503])]
#[case::breaking_off(replica::Behaviour::BreakingOff, &[502])]
#[case::resetting(replica::Behaviour::Resetting, &[502])]
#[case::garbled(replica::Behaviour::Garbled, &[502])]
#[case::mistaken(replica::Behaviour::Mistaken, &[502])]
#[case::doubled(replica::Behaviour::Doubled, &[])]
#[case::unframed(replica::Behaviour::Unframed, &[])]
#[case::early(replica::Behaviour::Early, &[])]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_s_misbehaviour_is_never_a_caller_s(#[case] manner: replica::Behaviour, #[case] told: &[u16]) {
    let deployment = started(&format!("manner-{manner:?}"), 1).await;
    for leaf in &deployment.leafs {
        leaf.replica.set(|knobs| knobs.behaviour = manner);
    }
    let mut client = client(&deployment, 0);
    for round in 0..4 {
        for kind in [Kind::Gather, Kind::Read, Kind::Write] {
            let name = format!("{}-{round}", kind.route());
            let end = client.send(kind, &name).await;
            assert!(!matches!(end, Outcome::Wrong(_)), "{kind:?}: {end:?}");
            if kind != Kind::Write {
                continue;
            }
            let count = runs(&deployment, &name);
            assert!(count <= 1, "a letter ran {count} times");
            match end {
                Outcome::Served { .. } => assert!(told.is_empty()),
                // A second answer that lies on the connection makes the next one unknown.
                Outcome::Status(502) if manner == replica::Behaviour::Doubled => {}
                Outcome::Status(status) => assert!(told.contains(&status), "told {status}"),
                other => panic!("{other:?}"),
            }
            assert!(manner != replica::Behaviour::Refusing || count == 0);
        }
    }
}

/// One leaf of each service is bad, the other is well: callers do not notice.
#[rstest]
#[case(replica::Behaviour::Failing)]
#[case(replica::Behaviour::Refusing)]
#[case(replica::Behaviour::Resetting)]
#[case(replica::Behaviour::Mute)]
#[tokio::test(flavor = "multi_thread")]
async fn one_bad_leaf_of_a_shard_is_not_noticed(#[case] manner: replica::Behaviour) {
    let deployment = started(&format!("one-bad-{manner:?}"), 1).await;
    let mut client = client(&deployment, 0);
    // Extra attempts are a part of the attempts so far: a fleet that has only begun has none to spend.
    for round in 0..SETTLE {
        client.send(Kind::Gather, &format!("s{round}")).await;
    }
    for leaf in deployment.leafs.iter().step_by(2).filter(|leaf| leaf.entry.service != "letters") {
        leaf.replica.set(|knobs| knobs.behaviour = manner);
    }
    for round in 0..10 {
        let end = client.send(Kind::Gather, &format!("g{round}")).await;
        assert!(served(&end) >= 3, "{end:?}");
    }
}

/// Leafs forget connections that rested for a moment, without a word. A letter that is sent on such a one
/// comes to an unknown end, and its sender must not try again. A new connection proves that the leaf is there.
#[tokio::test(flavor = "multi_thread")]
async fn a_letter_does_not_go_on_a_connection_that_rested() {
    let deployment = started("forgetful", 1).await;
    for leaf in &deployment.leafs {
        leaf.replica.set(|knobs| knobs.behaviour = replica::Behaviour::Forgetful);
    }
    let mut client = client(&deployment, 0);
    for round in 0..6 {
        tokio::time::sleep(RESTED).await;
        let name = format!("w{round}");
        let end = client.send(Kind::Write, &name).await;
        assert_eq!(served(&end), 1, "{end:?}");
        assert_eq!(runs(&deployment, &name), 1);
    }
}

/// A guest closes the page while the search runs: its leafs are told to stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_stops_its_leafs() {
    let deployment = started("leaves", 1).await;
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.work_ms = 60_000);
    }
    let address = deployment.nodes[0].listen;
    let asking = tokio::spawn(async move { Client::new(address).send(Kind::Read, "gone").await });
    while letters(&deployment).all(|leaf| leaf.replica.ledger().runs.is_empty()) {
        tokio::time::sleep(LOOK).await;
    }
    asking.abort();
    while letters(&deployment).all(|leaf| leaf.replica.ledger().abandoned == 0) {
        tokio::time::sleep(LOOK).await;
    }
}

/// The entry of a leaf leads to one of another service now. What is sent goes to that address, must not
/// run there, and is sent to the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_is_used_again_is_not_asked_twice() {
    let mut deployment = started("reuse", 1).await;
    let other = deployment.leafs.iter().find(|leaf| leaf.entry.service == "shard1").expect("a leaf");
    let address = other.entry.address.clone();
    let mut entry = deployment.leafs[0].entry.clone();
    assert_eq!(entry.service, "shard0");
    entry.address = address;
    deployment.registry.register(&entry);
    deployment.configure(2, &deployment::shards(0, 4));
    let mut client = client(&deployment, 0);
    let misdirected = |deployment: &Deployment| -> u64 {
        deployment.leafs.iter().map(|leaf| leaf.replica.ledger().misdirected).sum()
    };
    for round in 0..MOVED_MOST {
        let end = client.send(Kind::Gather, &format!("g{round}")).await;
        assert!(served(&end) >= 3, "{end:?}");
        if misdirected(&deployment) > 0 {
            return;
        }
        // The registry is heard when it is; that this takes long is no fault of this test's.
        tokio::time::sleep(LOOK).await;
    }
    panic!("the address in force was never asked");
}

/// A node starts while the store is away: it learns from the node that runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_learns_from_another_while_the_store_is_away() {
    let mut deployment = started("learns", 1).await;
    deployment.registry.set(registry::Mode::Away);
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    assert_eq!(served(&client(&deployment, node).send(Kind::Gather, "g").await), 4);
}

/// Without a configuration nobody can say that there is no such page: 503, and then 404.
#[tokio::test(flavor = "multi_thread")]
async fn no_route_is_said_only_when_routes_are_known() {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-route");
    let program = path::Path::new(env!("CARGO_BIN_EXE_shallothub"));
    let mut deployment = Deployment::start(program, &directory, SIZE).await.expect("stand-ins");
    deployment.registry.set(registry::Mode::Silent);
    let node = deployment.start_node().expect("a node");
    assert!(!deployment::is_ready(deployment.nodes[node].ready).await);
    let address = deployment.nodes[node].listen;
    assert_eq!(raw(address, "GET /nowhere/ HTTP/1.1\r\nhost: soak.example\r\n\r\n").await, 503);
    deployment.registry.set(registry::Mode::Proper);
    assert!(deployment.wait_ready(node).await);
    assert_eq!(raw(address, "GET /nowhere/ HTTP/1.1\r\nhost: soak.example\r\n\r\n").await, 404);
    assert_eq!(raw(address, "GET /read/x HTTP/1.1\r\nhost: other.example\r\n\r\n").await, 404);
}

/// Sends text as it is, and reads the status that comes back.
async fn raw(address: net::SocketAddr, text: &str) -> u16 {
    let text = text.to_owned();
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(address).expect("a connection");
        // A node that turns a request away may not read all of it.
        stream.write_all(text.as_bytes()).ok();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok();
        line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    });
    read.await.expect("read")
}

/// The head of a request, up to the line before its end.
fn head(target: &str, name: &str) -> String {
    opposite::request_text(target, deployment::HOST, name, "1500")
}

/// Requests that are not as they should be get a clear answer, and nothing of them reaches a leaf or is
/// taken for another request.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_turned_away() {
    let deployment = started("malformed", 1).await;
    let address = deployment.nodes[0].listen;
    let head = head("POST /write/bad", "bad");
    let smuggled = format!("{}\r\n", self::head("GET /read/smuggled", "smuggled"));
    let long = "x".repeat(9000);
    let cases = [
        (format!("{head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{smuggled}"), 400),
        (format!("{head}content-length: +3\r\n\r\nabc{smuggled}"), 400),
        (format!("{head}content-length: 3\r\ncontent-length: 4\r\n\r\nabc{smuggled}"), 400),
        (format!("{head}transfer-encoding: gzip\r\n\r\n{smuggled}"), 400),
        (format!("{head}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n{smuggled}"), 400),
        (opposite::request_text("POST /write/bad", deployment::HOST, "bad", "soon") + "\r\n", 400),
        (format!("{head}filler: {long}\r\n\r\n"), 431),
        (format!("{head}content-length: 70000\r\n\r\n{}", "x".repeat(70_000)), 413),
        ("no request at all\r\n\r\n".to_owned(), 400),
        (head, 408),
    ];
    for (text, status) in cases {
        assert_eq!(raw(address, &text).await, status, "{}", &text[..text.len().min(200)]);
    }
    assert_eq!(runs(&deployment, "bad") + runs(&deployment, "smuggled"), 0);
}

/// A deadline that is over leaves no time to run anything.
#[tokio::test(flavor = "multi_thread")]
async fn a_past_deadline_does_not_run() {
    let deployment = started("past", 1).await;
    let head = opposite::request_text("POST /write/x", deployment::HOST, "past", "0");
    let text = format!("{head}content-length: 0\r\n\r\n");
    assert_eq!(raw(deployment.nodes[0].listen, &text).await, 503);
    assert_eq!(runs(&deployment, "past"), 0);
}

/// The body of a letter comes in chunks, and the next request on the same connection behind it.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_in_chunks_is_passed_on_whole() {
    let deployment = started("chunks", 1).await;
    let address = deployment.nodes[0].listen;
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(address).expect("a connection");
        let first = head("POST /write/a", "a") + "transfer-encoding: chunked\r\n\r\n";
        let next = head("GET /read/b", "b") + "connection: close\r\n\r\n";
        stream.write_all(format!("{first}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n{next}").as_bytes()).expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("read");
        text
    });
    let text = read.await.expect("read");
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    assert_eq!((runs(&deployment, "a"), runs(&deployment, "b")), (1, 1));
}

/// A host is told to stop while callers ask on connections that they keep. None of their requests is cut
/// off, and each connection ends between two answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_kept_connection() {
    let mut deployment = started("stop-kept", 1).await;
    for leaf in &deployment.leafs {
        leaf.replica.set(|knobs| knobs.work_ms = 40);
    }
    let address = deployment.nodes[0].listen;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..6 {
        callers.spawn(async move {
            let mut client = Client::new(address);
            let mut count = 0;
            loop {
                let end = client.send(Kind::Read, &format!("k{caller}-{count}")).await;
                match end {
                    Outcome::Served { .. } => count += 1,
                    Outcome::NoConnection => return count,
                    other => panic!("{other:?}"),
                }
            }
        });
    }
    while letters(&deployment).all(|leaf| leaf.replica.ledger().runs.len() < 4) {
        tokio::time::sleep(LOOK).await;
    }
    deployment.signal(0, Signal::SIGTERM);
    while let Some(count) = callers.join_next().await {
        assert!(count.expect("no caller was cut off") > 0);
    }
    assert_eq!(deployment.wait_exit(0).await, Some(0));
}

/// A weak host passes a search on to a strong one, which does the work; the answer is the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_weak_host_passes_searches_on() {
    let mut deployment = started("passes-on", 2).await;
    deployment.extra_settings = "processor: 0.1\n".to_owned();
    let weak = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(weak).await);
    let mut client = client(&deployment, weak);
    let mut round = 0;
    // Until it has heard of the strong ones it does what it can itself.
    loop {
        round += 1;
        let end = client.send(Kind::Gather, &format!("g{round}")).await;
        assert!(!matches!(end, Outcome::Wrong(_)), "{end:?}");
        let status = client::page(deployment.nodes[weak].admin, "/metrics").await.expect("metrics").1;
        let text = String::from_utf8_lossy(&status).into_owned();
        if served(&end) == 4 && text.contains("shallothub_relayed") && !text.contains("shallothub_relayed 0") {
            break;
        }
    }
    // Letters are not passed on: what may run once keeps the fewest hands.
    assert_eq!(served(&client.send(Kind::Write, "w").await), 1);
    assert_eq!(runs(&deployment, "w"), 1);
}

/// The line of a node's log with `message` that is its `number`-th, as JSON.
async fn line(deployment: &Deployment, message: &str, number: usize) -> serde_json::Value {
    loop {
        let text = std::fs::read_to_string(&deployment.nodes[0].log).unwrap_or_default();
        let mut lines = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        if let Some(line) = lines.by_ref().filter(|line| line["message"] == message).nth(number) {
            return line;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Somebody edits a running node's settings, first with a slip. The slip changes nothing; then what can
/// change does, and for the rest the log says each time, until it is restarted, that it needs that.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_read_again_on_a_signal() {
    let deployment = started("read-again", 1).await;
    let path = deployment.nodes[0].settings.clone();
    let text = std::fs::read_to_string(&path).expect("settings");
    std::fs::write(&path, format!("{text}\nprocesor: 0.5\n")).expect("written");
    deployment.signal(0, Signal::SIGHUP);
    let faults = line(&deployment, "the settings have faults; the old ones stay in force", 0).await;
    assert!(faults["detail"].to_string().contains("procesor"), "{faults}");
    std::fs::write(&path, format!("{text}\nprocessor: 0.5\nlog: debug\n")).expect("written");
    for number in 0..2 {
        deployment.signal(0, Signal::SIGHUP);
        let again = line(&deployment, "settings read again", number).await;
        assert_eq!((&again["filter"], &again["needs_restart"]), (&"debug".into(), &true.into()), "{again}");
    }
    std::fs::write(&path, format!("{text}\nlog: debug\n")).expect("written");
    // Nobody says a word: the file's time of change is looked at.
    let again = line(&deployment, "settings read again", 2).await;
    assert_eq!((&again["cause"], &again["needs_restart"]), (&"the file changed".into(), &false.into()), "{again}");
    assert_eq!(served(&client(&deployment, 0).send(Kind::Gather, "g").await), 4);
}

/// Somebody opens many connections and sends nothing. A node that may open few descriptors ends those
/// that were idle for longest, so that callers who ask are still served.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_use_up_the_descriptors() {
    let mut deployment = started("descriptors", 0).await;
    deployment.extra_settings = "descriptors: 100\n".to_owned();
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    let address = deployment.nodes[node].listen;
    let idle: Vec<_> = (0..60).map(|_| net::TcpStream::connect(address).expect("a connection")).collect();
    while deployment.descriptors(node) < 60 {
        tokio::time::sleep(LOOK).await;
    }
    let mut clients = Vec::new();
    // Each new connection looks for idle ones, which have to be so for a while.
    // A part of the descriptors is the node's own.
    while deployment.descriptors(node) > 70 || clients.is_empty() {
        assert!(clients.len() < 200, "{} descriptors", deployment.descriptors(node));
        let mut client = client(&deployment, node);
        let end = client.send(Kind::Read, &format!("d{}", clients.len())).await;
        assert_eq!(served(&end), 1, "{end:?}");
        clients.push(client);
        tokio::time::sleep(LOOK * 10).await;
    }
    drop(idle);
}

/// All lines of a node's log about a request, once its answer is among them.
async fn lines(deployment: &Deployment, request: &str) -> Vec<serde_json::Value> {
    loop {
        let text = std::fs::read_to_string(&deployment.nodes[0].log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let lines: Vec<_> = lines.filter(|line| line["request"] == request).collect();
        if lines.iter().any(|line| line["message"] == "answered") {
            return lines;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// A caller asks why a request failed, and has only its id. The lines about it say what happened, at which
/// server, and by which version of the configuration; what the deciding inputs were is in `why`.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_explained_by_its_lines() {
    let mut deployment = started("explained", 1).await;
    let mut client = client(&deployment, 0);
    let set = |deployment: &Deployment, change: fn(&mut replica::Knobs)| {
        letters(deployment).for_each(|leaf| leaf.replica.set(change));
    };
    set(&deployment, |knobs| knobs.behaviour = replica::Behaviour::Resetting);
    client.send(Kind::Write, "lost").await;
    let lost = lines(&deployment, "lost").await;
    assert_eq!((&lost[0]["message"], &lost[0]["end"]), (&"an attempt failed".into(), &"lost".into()), "{lost:?}");
    assert_eq!(lost[0]["detail"], "the connection broke before the whole answer was here", "{lost:?}");
    assert!(lost[0]["server"].as_str().is_some_and(|server| server.starts_with("i-")), "{lost:?}");
    assert_eq!(lost[1]["code"], "attempt_lost", "{lost:?}");
    assert!(lost[1]["stamp"].is_string() && lost[1]["hosts"].is_string(), "{lost:?}");

    set(&deployment, |knobs| knobs.behaviour = replica::Behaviour::Mute);
    client.send(Kind::Write, "late").await;
    let late = lines(&deployment, "late").await;
    let why = late.last().and_then(|line| line["why"].as_str()).unwrap_or_default().to_owned();
    assert!(why.starts_with("letters waits for i-"), "{late:?}");
    assert_eq!(late[late.len() - 1]["code"], "timed_out", "{late:?}");

    for leaf in 0..deployment.leafs.len() {
        if deployment.leafs[leaf].entry.service == "letters" {
            deployment.leafs[leaf].entry.leaving = true;
            deployment.registry.register(&deployment.leafs[leaf].entry.clone());
        }
    }
    let mut refused = Vec::new();
    for round in 0.. {
        let name = format!("refused-{round}");
        client.send(Kind::Read, &name).await;
        refused = lines(&deployment, &name).await;
        if refused[refused.len() - 1]["code"] == "no_replica" {
            break;
        }
    }
    let why = refused[refused.len() - 1]["why"].as_str().unwrap_or_default();
    assert!(why.starts_with("0 of 1 shards have a server; letters: i-") && why.contains("is leaving"), "{refused:?}");

    raw(deployment.nodes[0].listen, &(head("GET /nowhere/x", "nowhere") + "\r\n")).await;
    let nowhere = lines(&deployment, "nowhere").await;
    assert_eq!(nowhere[0]["message"], "no route");
    assert!(nowhere[0]["to"].as_str().is_some_and(|to| to.contains("/nowhere/x")), "{nowhere:?}");
}
