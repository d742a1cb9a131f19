//! Operators take a narrow route away while its leafs are dark; a wider route of the same service still covers its paths.

use std::{fmt::Write, fs, io, path::Path};

use crate::{
    node::Node,
    scene::{self, Leafs, Scene, Sent},
    store::Store,
};

/// Requests a second below the prefix of the narrow route, and on another one.
const RATES: [(&str, f64); 2] = [("corresp/urgent", 100.0), ("invoices", 10.0)];
/// Times since the start of the load, in ms: the leafs go dark; the narrow route is taken away; the leafs are back; the
/// load ends.
const DARK_AT: u64 = 15_000;
const REMOVED_AT: u64 = DARK_AT + 2600;
const BACK_AT: u64 = DARK_AT + 3300;
const END_AT: u64 = DARK_AT + 9000;
/// The rule's bound: so many refusals, and one more in so many requests.
const BOUND: usize = 5;
const REQUESTS_PER_REFUSAL: usize = 500;

/// Plays the case; returns the exit code.
pub fn main(directory: &Path, has_trouble: bool) -> i32 {
    scene::run(|files| play(directory, files, has_trouble))
}

fn play(directory: &Path, files: &Path, has_trouble: bool) -> io::Result<i32> {
    let invoices_route = scene::route("invoices", "/invoices/", "billing");
    let corresp_route = scene::route("corresp", "/corresp/", "authormail");
    let urgent_route = scene::route("urgent", "/corresp/urgent/", "authormail");
    let without = [invoices_route.clone(), corresp_route.clone()];
    let with = [invoices_route, corresp_route, urgent_route];
    let (store, address) = Store::start();
    let letters = Leafs::start("authormail", 5, 4, 30, &store)?;
    let invoices = Leafs::start("billing", 4, 4, 20, &store)?;
    store.put("op/config", &scene::configuration(3, &with));
    let mut node = Node::start("front-1", &address, files)?;
    if !node.wait_ready() {
        return Err(io::Error::other("the node was not ready in time"));
    }
    let mut scene = Scene::start(&node.listen, &RATES);
    scene.wait_until(DARK_AT);
    if has_trouble {
        letters.signal("-STOP");
        scene.step("the five leafs of authormail go dark (SIGSTOP)");
    }
    scene.wait_until(REMOVED_AT);
    store.put("op/config", &scene::configuration(5, &without));
    scene.step("the store acknowledged version 5: /corresp/urgent/ has no route of its own, /corresp/ covers it");
    scene.wait_until(BACK_AT);
    if has_trouble {
        letters.signal("-CONT");
        scene.step("the leafs are back (SIGCONT)");
    }
    scene.wait_until(END_AT);
    scene.step(if node.is_running() { "the node still runs" } else { "the node has ended" });
    let (steps, sent) = scene.end();
    drop(node);
    let is_denied = |request: &&Sent| request.outcome.attempts.iter().any(|(_, status)| *status == 404);
    let denied = sent.iter().filter(is_denied).count();
    let bound = BOUND + sent.len() / REQUESTS_PER_REFUSAL;
    let is_broken = denied > bound;
    let verdict = match is_broken {
        true => "DENIED is broken: requests that both versions allow are ended with 404",
        false => "DENIED holds",
    };
    let mut text = format!("TROUBLE={}\n\n{steps}\n{}", u8::from(has_trouble), scene::answers(&sent, &RATES));
    writeln!(text, "{denied} of {} requests ended with 404; the rule allows {bound}\n{verdict}\n", sent.len()).ok();
    text.push_str(&scene::requests(&sent, &[&letters, &invoices]));
    fs::write(directory.join("record.txt"), text)?;
    println!("{verdict}: {denied} of {}", sent.len());
    Ok(i32::from(is_broken))
}
