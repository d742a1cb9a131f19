//! Measures how the cost of the cores scales, for `docs/CAPACITY.md`: `cargo bench --bench
//! capacity -- FILE` writes the points to FILE and prints the linear fits.

mod allocator;
#[expect(dead_code, unreachable_pub, reason = "the other items are used by the dissemination tests")]
#[path = "../../crates/core/tests/mesh/mod.rs"]
mod mesh;
mod points;
mod slopes;

fn main() {
    let path = std::env::args().skip(1).find(|argument| argument != "--bench");
    let mut points = points::Points::default();
    slopes::leaves(&mut points);
    slopes::parts(&mut points);
    slopes::queries(&mut points);
    slopes::attempts(&mut points);
    slopes::selectors(&mut points);
    slopes::shards(&mut points);
    slopes::entry_hosts(&mut points);
    slopes::hosts(&mut points);
    points.print();
    if let Some(path) = path {
        std::fs::write(&path, points.csv()).expect("the file can be written");
        println!("written to {path}");
    }
}
