//! Operators take a route away while its leafs are dark, and give it back later: one node, five leafs.

use std::{fmt::Write, fs, io, path::Path, thread, time::Duration};

use crate::{
    node::Node,
    scene::{self, Leafs, Scene, Sent},
    store::Store,
};

/// Requests a second on the route that is taken away, and on the one that stays. Together less than the 112.5 of the
/// whole site, which has to bear the loss of any number of its machines.
const RATES: [(&str, f64); 2] = [("corresp", 100.0), ("invoices", 10.0)];
/// `configApplyMs` and a little more, before requests for the added route are sent.
const APPLIED: Duration = Duration::from_millis(3500);
/// Times since the start of the load, in ms: the leafs go dark; the route is taken away; the leafs are back; the route is
/// given back.
const DARK_AT: u64 = 15_000;
const REMOVED_AT: u64 = DARK_AT + 2600;
const BACK_AT: u64 = DARK_AT + 3300;
const RESTORED_AT: u64 = DARK_AT + 8000;
/// `configApplyMs` and `stabilityWindowMs` after the route is back, the counted time begins.
const COUNTED_FROM: u64 = RESTORED_AT + 3000 + 4000;
const COUNTED_TO: u64 = COUNTED_FROM + 10_000;
/// The rule's least number of requests, and its share of the others' rate.
const LEAST_REQUESTS: usize = 20;
const LEAST_SHARE: f64 = 0.25;

/// Plays the case; returns the exit code.
pub fn main(directory: &Path, has_trouble: bool) -> i32 {
    scene::run(|files| play(directory, files, has_trouble))
}

fn play(directory: &Path, files: &Path, has_trouble: bool) -> io::Result<i32> {
    let invoices_route = scene::route("invoices", "/invoices/", "billing");
    let corresp_route = scene::route("corresp", "/corresp/", "authormail");
    let without = [invoices_route.clone()];
    let with = [invoices_route, corresp_route];
    let (store, address) = Store::start();
    let letters = Leafs::start("authormail", 5, 4, 30, &store)?;
    let invoices = Leafs::start("billing", 4, 4, 20, &store)?;
    store.put("op/config", &scene::configuration(3, &without));
    let mut node = Node::start("front-1", &address, files)?;
    if !node.wait_ready() {
        return Err(io::Error::other("the node was not ready in time"));
    }
    // The first version has the route invoices alone; corresp is added later.
    store.put("op/config", &scene::configuration(5, &with));
    thread::sleep(APPLIED);
    let mut scene = Scene::start(&node.listen, &RATES);
    scene.wait_until(DARK_AT);
    if has_trouble {
        letters.signal("-STOP");
        scene.step("the five leafs of authormail go dark (SIGSTOP)");
    }
    scene.wait_until(REMOVED_AT);
    store.put("op/config", &scene::configuration(8, &without));
    scene.step("the store acknowledged version 8, without the route corresp");
    scene.wait_until(BACK_AT);
    if has_trouble {
        letters.signal("-CONT");
        scene.step("the leafs are back (SIGCONT)");
    }
    scene.wait_until(RESTORED_AT);
    store.put("op/config", &scene::configuration(10, &with));
    scene.step("the store acknowledged version 10, with the route corresp again");
    scene.wait_until(COUNTED_TO);
    scene.step(if node.is_running() { "the node still runs" } else { "the node has ended" });
    let (steps, sent) = scene.end();
    let log = fs::read_to_string(&node.log)?;
    drop(node);
    let mut text = format!("TROUBLE={}\n\n{steps}\n{}", u8::from(has_trouble), scene::answers(&sent, &RATES));
    let (count, share) = served(&sent, "corresp", &mut text);
    let (_, usual) = served(&sent, "invoices", &mut text);
    let is_judged = count >= LEAST_REQUESTS && usual > 0.5;
    let is_broken = is_judged && share < LEAST_SHARE * usual;
    let verdict = match (is_judged, is_broken) {
        (false, _) => "not judged: too few requests, or the other route was not served either",
        (true, true) => "CONFIG is broken: the route that was given back is served less than a quarter as often",
        (true, false) => "CONFIG holds",
    };
    writeln!(text, "{verdict}\n").ok();
    let reasons = log.lines().filter(|line| line.contains("\"answered\"") && line.contains("corresp"));
    for line in reasons.rev().take(2) {
        writeln!(text, "the node's log: {line}").ok();
    }
    writeln!(text, "\n{}", scene::requests(&sent, &[&letters, &invoices])).ok();
    fs::write(directory.join("record.txt"), text)?;
    println!("{verdict}");
    Ok(if is_judged { i32::from(is_broken) } else { 2 })
}

/// The number of requests of `route` in the counted time, and the share of them that is served.
fn served(sent: &[Sent], route: &str, text: &mut String) -> (usize, f64) {
    let is_counted = |request: &&Sent| request.route == route && (COUNTED_FROM..COUNTED_TO).contains(&request.at);
    let counted: Vec<&Sent> = sent.iter().filter(is_counted).collect();
    let served = counted.iter().filter(|request| request.outcome.status() == 200).count();
    writeln!(text, "{route}: {served} of {} served from {COUNTED_FROM} to {COUNTED_TO} ms", counted.len()).ok();
    (counted.len(), served as f64 / counted.len().max(1) as f64)
}
