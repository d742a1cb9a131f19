//! Tests of node processes on the users' platform, with stand-ins for its store and leafs. Results are
//! checked against what leafs ran and clients received, never against timing.

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

mod delivery;
mod endless;
mod memory;
mod operators;
mod signatures;
mod store;

const SIZE: Size = Size { nodes: 0, shards: 4, replicas: 2, has_two_data_centres: false };
/// Number of searches within which a change must take effect.
const SEARCH_LIMIT: u32 = 500;
/// Number of searches before a fault is injected, or that must agree in a row.
const SETTLE_SEARCHES: u32 = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after which a `Forgetful` leaf has dropped an idle connection.
const IDLE_PAUSE: Duration = Duration::from_millis(300);

async fn start(test: &str, nodes: usize) -> Deployment {
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

fn served_services(outcome: &Outcome) -> usize {
    match outcome {
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

/// The normal case: a search over every shard, a read and a write, on one keep-alive connection.
#[tokio::test(flavor = "multi_thread")]
async fn requests_get_complete_responses() {
    let deployment = start("whole", 2).await;
    for node in 0..2 {
        let mut client = client(&deployment, node);
        assert_eq!(served_services(&client.send(Kind::Gather, &format!("g{node}")).await), 4);
        assert_eq!(served_services(&client.send(Kind::Read, &format!("r{node}")).await), 1);
        assert_eq!(served_services(&client.send(Kind::Write, &format!("w{node}")).await), 1);
        assert_eq!(runs(&deployment, &format!("w{node}")), 1);
    }
}

/// Guards against wrong responses and repeated writes when all leafs misbehave. Searches and reads are
/// idempotent and must never return a wrong byte; a write runs at most once, and is reported as not run only if it did not.
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
async fn misbehaving_leafs_cause_no_wrong_responses_or_repeated_writes(
    #[case] behaviour: replica::Behaviour,
    #[case] statuses: &[u16],
) {
    let deployment = start(&format!("manner-{behaviour:?}"), 1).await;
    for leaf in &deployment.leafs {
        leaf.replica.set(|knobs| knobs.behaviour = behaviour);
    }
    let mut client = client(&deployment, 0);
    for round in 0..4 {
        for kind in [Kind::Gather, Kind::Read, Kind::Write] {
            let name = format!("{}-{round}", kind.route());
            let outcome = client.send(kind, &name).await;
            assert!(!matches!(outcome, Outcome::Wrong(_)), "{kind:?}: {outcome:?}");
            if kind != Kind::Write {
                continue;
            }
            let count = runs(&deployment, &name);
            assert!(count <= 1, "a write ran {count} times");
            match outcome {
                Outcome::Served { .. } => assert!(statuses.is_empty()),
                // A surplus response left on the connection makes the outcome of the next request unknown.
                Outcome::Status(502) if behaviour == replica::Behaviour::Doubled => {}
                Outcome::Status(status) => assert!(statuses.contains(&status), "unexpected status {status}"),
                other => panic!("{other:?}"),
            }
            assert!(behaviour != replica::Behaviour::Refusing || count == 0);
        }
    }
}

/// Guards against failed searches when one of the two replicas of each shard is faulty.
#[rstest]
#[case(replica::Behaviour::Failing)]
#[case(replica::Behaviour::Refusing)]
#[case(replica::Behaviour::Resetting)]
#[case(replica::Behaviour::Mute)]
#[tokio::test(flavor = "multi_thread")]
async fn one_faulty_replica_does_not_fail_searches(#[case] behaviour: replica::Behaviour) {
    let deployment = start(&format!("one-bad-{behaviour:?}"), 1).await;
    let mut client = client(&deployment, 0);
    // The retry budget is a fraction of the attempts so far, so a new deployment has none.
    for round in 0..SETTLE_SEARCHES {
        client.send(Kind::Gather, &format!("s{round}")).await;
    }
    for leaf in deployment.leafs.iter().step_by(2).filter(|leaf| leaf.entry.service != "letters") {
        leaf.replica.set(|knobs| knobs.behaviour = behaviour);
    }
    for round in 0..10 {
        let outcome = client.send(Kind::Gather, &format!("g{round}")).await;
        assert!(served_services(&outcome) >= 3, "{outcome:?}");
    }
}

/// Guards against writes on stale connections. Leafs drop idle connections without closing them; a write on
/// one has an unknown outcome and must not be retried. A new connection shows that the leaf is reachable.
#[tokio::test(flavor = "multi_thread")]
async fn writes_are_not_sent_on_stale_connections() {
    let deployment = start("forgetful", 1).await;
    for leaf in &deployment.leafs {
        leaf.replica.set(|knobs| knobs.behaviour = replica::Behaviour::Forgetful);
    }
    let mut client = client(&deployment, 0);
    for round in 0..6 {
        tokio::time::sleep(IDLE_PAUSE).await;
        let name = format!("w{round}");
        let outcome = client.send(Kind::Write, &name).await;
        assert_eq!(served_services(&outcome), 1, "{outcome:?}");
        assert_eq!(runs(&deployment, &name), 1);
    }
}

/// Guards against a late second copy of a rejection that is taken for the reply to the next attempt of the same request.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_that_arrives_twice_does_not_pass_for_the_reply_to_another_attempt() {
    let mut deployment = start("refused-twice", 0).await;
    // A second attempt goes to the same leaf.
    deployment.routing.routes.iter_mut().for_each(|route| route.max_servers = 1);
    deployment.registry.configure(&deployment.routing);
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.behaviour = replica::Behaviour::RefusingTwice);
    }
    let mut client = client(&deployment, 0);
    let mut served = 0;
    for round in 0..20 {
        let name = format!("w{round}");
        let outcome = client.send(Kind::Write, &name).await;
        served += served_services(&outcome);
        let count = runs(&deployment, &name);
        assert!(count <= 1, "{name} ran {count} times: {outcome:?}");
        assert!(count == 0 || outcome != Outcome::Status(503), "{name} ran and was answered 503");
    }
    assert!(served > 0, "no second attempt was sent");
}

/// Guards against leafs that keep working after the caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_its_attempts() {
    let deployment = start("leaves", 1).await;
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.work_ms = 60_000);
    }
    let address = deployment.nodes[0].listen;
    let request = tokio::spawn(async move { Client::new(address).send(Kind::Read, "gone").await });
    while letters(&deployment).all(|leaf| leaf.replica.ledger().runs.is_empty()) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    request.abort();
    while letters(&deployment).all(|leaf| leaf.replica.ledger().abandoned == 0) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against running a request on the wrong service. A leaf's entry now has the address of a leaf of
/// another service; requests sent there must not run, and are retried on the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn misdirected_requests_are_retried_on_another_replica() {
    let mut deployment = start("reuse", 1).await;
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
    for round in 0..SEARCH_LIMIT {
        let outcome = client.send(Kind::Gather, &format!("g{round}")).await;
        assert!(served_services(&outcome) >= 3, "{outcome:?}");
        if misdirected(&deployment) > 0 {
            return;
        }
        // The time until the registry update arrives is not checked here.
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no request was sent to the new address");
}

/// Guards against a node that cannot start during a store outage: it gets its view from a running peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_starts_from_a_peer_during_a_store_outage() {
    let mut deployment = start("learns", 1).await;
    deployment.registry.set(registry::Mode::Away);
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    assert_eq!(served_services(&client(&deployment, node).send(Kind::Gather, "g").await), 4);
}

/// Guards against 404 responses before the routes are known: until there is a configuration, the status is 503.
#[tokio::test(flavor = "multi_thread")]
async fn not_found_is_returned_only_after_routes_are_known() {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-route");
    let program = path::Path::new(env!("CARGO_BIN_EXE_shallothub"));
    let mut deployment = Deployment::start(program, &directory, SIZE).await.expect("stand-ins");
    deployment.registry.set(registry::Mode::Silent);
    let node = deployment.start_node().expect("a node");
    assert!(!deployment::is_ready(deployment.nodes[node].ready).await);
    let address = deployment.nodes[node].listen;
    assert_eq!(send_raw(address, "GET /nowhere/ HTTP/1.1\r\nhost: soak.example\r\n\r\n").await, 503);
    deployment.registry.set(registry::Mode::Proper);
    assert!(deployment.wait_ready(node).await);
    assert_eq!(send_raw(address, "GET /nowhere/ HTTP/1.1\r\nhost: soak.example\r\n\r\n").await, 404);
    assert_eq!(send_raw(address, "GET /read/x HTTP/1.1\r\nhost: other.example\r\n\r\n").await, 404);
}

/// Sends `text` unchanged and returns the response status, or 0 without a valid response.
async fn send_raw(address: net::SocketAddr, text: &str) -> u16 {
    let text = text.to_owned();
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(address).expect("a connection");
        // A node may reject a request before it has read all of it.
        stream.write_all(text.as_bytes()).ok();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok();
        line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    });
    read.await.expect("read")
}

/// Returns the head of a request, without the empty line that ends it.
fn head(target: &str, name: &str) -> String {
    opposite::request_text(target, deployment::HOST, name, "1500")
}

/// Guards against request smuggling and unclear errors: malformed requests are rejected with a specific
/// status, and no part of them reaches a leaf or is parsed as another request.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_rejected() {
    let deployment = start("malformed", 1).await;
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
        assert_eq!(send_raw(address, &text).await, status, "{}", &text[..text.len().min(200)]);
    }
    assert_eq!(runs(&deployment, "bad") + runs(&deployment, "smuggled"), 0);
}

/// Guards against running a request whose deadline has passed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_deadline_does_not_run() {
    let deployment = start("past", 1).await;
    let head = opposite::request_text("POST /write/x", deployment::HOST, "past", "0");
    let text = format!("{head}content-length: 0\r\n\r\n");
    assert_eq!(send_raw(deployment.nodes[0].listen, &text).await, 503);
    assert_eq!(runs(&deployment, "past"), 0);
}

/// Guards against truncating a chunked request body or losing the pipelined request that follows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_is_forwarded_completely() {
    let deployment = start("chunks", 1).await;
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

/// Guards against a graceful shutdown that aborts requests on keep-alive connections: each connection is
/// closed only between two responses.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_aborts_no_request_on_keep_alive_connections() {
    let mut deployment = start("stop-kept", 1).await;
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
                let outcome = client.send(Kind::Read, &format!("k{caller}-{count}")).await;
                match outcome {
                    Outcome::Served { .. } => count += 1,
                    Outcome::NoConnection => return count,
                    other => panic!("{other:?}"),
                }
            }
        });
    }
    while letters(&deployment).all(|leaf| leaf.replica.ledger().runs.len() < 4) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    deployment.signal(0, Signal::SIGTERM);
    while let Some(count) = callers.join_next().await {
        assert!(count.expect("no request was aborted") > 0);
    }
    assert_eq!(deployment.wait_exit(0).await, Some(0));
}

/// Starts two nodes and a weak one that relays searches to them; returns the index of the weak one.
async fn start_relaying(test: &str) -> (Deployment, usize) {
    let mut deployment = start(test, 2).await;
    deployment.extra_settings = "processor: 0.1\n".to_owned();
    let weak = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(weak).await);
    let mut client = client(&deployment, weak);
    let mut round = 0;
    // The node handles searches itself until it has discovered the stronger hosts.
    loop {
        round += 1;
        let outcome = client.send(Kind::Gather, &format!("g{round}")).await;
        assert!(!matches!(outcome, Outcome::Wrong(_)), "{outcome:?}");
        let status = client::page(deployment.nodes[weak].admin, "/metrics").await.expect("metrics").1;
        let text = String::from_utf8_lossy(&status).into_owned();
        if served_services(&outcome) == 4
            && text.contains("shallothub_relayed")
            && !text.contains("shallothub_relayed 0")
        {
            return (deployment, weak);
        }
    }
}

/// Guards against wrong results when a host with little processing power relays searches to stronger hosts.
#[tokio::test(flavor = "multi_thread")]
async fn a_weak_host_relays_searches() {
    let (deployment, weak) = start_relaying("passes-on").await;
    let mut client = client(&deployment, weak);
    // Writes are not relayed: non-idempotent requests take the fewest hops.
    assert_eq!(served_services(&client.send(Kind::Write, "w").await), 1);
    assert_eq!(runs(&deployment, "w"), 1);
}

/// Waits for the `number`-th line with `message` in the first node's log, from 0, and returns it as JSON.
async fn log_line(deployment: &Deployment, message: &str, number: usize) -> serde_json::Value {
    loop {
        let text = std::fs::read_to_string(&deployment.nodes[0].log).unwrap_or_default();
        let mut lines = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        if let Some(line) = lines.by_ref().filter(|line| line["message"] == message).nth(number) {
            return line;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against applying invalid settings or ignoring changed ones. Invalid settings change nothing; valid
/// ones are applied where possible, and each reload logs that the rest needs a restart.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded_on_a_signal_or_file_change() {
    let deployment = start("read-again", 1).await;
    let path = deployment.nodes[0].settings.clone();
    let text = std::fs::read_to_string(&path).expect("settings");
    std::fs::write(&path, format!("{text}\nprocesor: 0.5\n")).expect("written");
    deployment.signal(0, Signal::SIGHUP);
    let faults = log_line(&deployment, "the settings have faults; the old ones stay in force", 0).await;
    assert!(faults["detail"].to_string().contains("procesor"), "{faults}");
    std::fs::write(&path, format!("{text}\nprocessor: 0.5\nlog: debug\n")).expect("written");
    for number in 0..2 {
        deployment.signal(0, Signal::SIGHUP);
        let reloaded = log_line(&deployment, "settings read again", number).await;
        assert_eq!((&reloaded["filter"], &reloaded["needs_restart"]), (&"debug".into(), &true.into()), "{reloaded}");
    }
    std::fs::write(&path, format!("{text}\nlog: debug\n")).expect("written");
    // No signal is sent: the node checks the file's modification time.
    let reloaded = log_line(&deployment, "settings read again", 2).await;
    assert_eq!(
        (&reloaded["cause"], &reloaded["needs_restart"]),
        (&"the file changed".into(), &false.into()),
        "{reloaded}"
    );
    assert_eq!(served_services(&client(&deployment, 0).send(Kind::Gather, "g").await), 4);
}

/// Guards against idle connections that exhaust the file descriptors. A node with a low limit closes the
/// connections that were idle longest, so that active callers are still served.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_exhaust_the_descriptors() {
    let mut deployment = start("descriptors", 0).await;
    deployment.extra_settings = "descriptors: 100\n".to_owned();
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    let address = deployment.nodes[node].listen;
    let idle: Vec<_> = (0..60).map(|_| net::TcpStream::connect(address).expect("a connection")).collect();
    while deployment.descriptors(node) < 60 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut clients = Vec::new();
    // Each new connection closes others only once they have been idle for some time.
    // The node itself uses some of the descriptors.
    while deployment.descriptors(node) > 70 || clients.is_empty() {
        assert!(clients.len() < 200, "{} descriptors", deployment.descriptors(node));
        let mut client = client(&deployment, node);
        let outcome = client.send(Kind::Read, &format!("d{}", clients.len())).await;
        assert_eq!(served_services(&outcome), 1, "{outcome:?}");
        clients.push(client);
        tokio::time::sleep(POLL_INTERVAL * 10).await;
    }
    drop(idle);
}

/// Waits until `request` is answered and returns its lines in the first node's log.
async fn request_log(deployment: &Deployment, request: &str) -> Vec<serde_json::Value> {
    loop {
        let text = std::fs::read_to_string(&deployment.nodes[0].log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let lines: Vec<_> = lines.filter(|line| line["request"] == request).collect();
        if lines.iter().any(|line| line["message"] == "answered") {
            return lines;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against failures that cannot be traced by request id. The log lines of a request state what happened,
/// at which server and under which version of the configuration; `why` lists the deciding inputs.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_explained_by_its_log_lines() {
    let mut deployment = start("explained", 1).await;
    let mut client = client(&deployment, 0);
    let set = |deployment: &Deployment, change: fn(&mut replica::Knobs)| {
        letters(deployment).for_each(|leaf| leaf.replica.set(change));
    };
    set(&deployment, |knobs| knobs.behaviour = replica::Behaviour::Resetting);
    client.send(Kind::Write, "lost").await;
    let lost = request_log(&deployment, "lost").await;
    assert_eq!((&lost[0]["message"], &lost[0]["end"]), (&"an attempt failed".into(), &"lost".into()), "{lost:?}");
    assert_eq!(lost[0]["detail"], "the connection broke before the whole answer was here", "{lost:?}");
    assert!(lost[0]["server"].as_str().is_some_and(|server| server.starts_with("i-")), "{lost:?}");
    assert_eq!(lost[1]["code"], "attempt_lost", "{lost:?}");
    assert!(lost[1]["stamp"].is_string() && lost[1]["hosts"].is_string(), "{lost:?}");

    set(&deployment, |knobs| knobs.behaviour = replica::Behaviour::Mute);
    client.send(Kind::Write, "late").await;
    let late = request_log(&deployment, "late").await;
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
        refused = request_log(&deployment, &name).await;
        if refused[refused.len() - 1]["code"] == "no_replica" {
            break;
        }
    }
    let why = refused[refused.len() - 1]["why"].as_str().unwrap_or_default();
    assert!(why.starts_with("0 of 1 shards have a server; letters: i-") && why.contains("is leaving"), "{refused:?}");

    send_raw(deployment.nodes[0].listen, &(head("GET /nowhere/x", "nowhere") + "\r\n")).await;
    let nowhere = request_log(&deployment, "nowhere").await;
    assert_eq!(nowhere[0]["message"], "no route");
    assert!(nowhere[0]["to"].as_str().is_some_and(|to| to.contains("/nowhere/x")), "{nowhere:?}");
}
