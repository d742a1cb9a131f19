//! Checks that the figures in `docs/CAPACITY.md` match the data files in `docs/data`.

use std::{collections::BTreeMap, fs, path};

fn read(name: &str) -> String {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the rows of all tables on a page, by their first cell.
fn rows(page: &str) -> BTreeMap<&str, Vec<&str>> {
    let mut rows = BTreeMap::new();
    for line in page.lines() {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        if line.starts_with('|') && cells.len() > 1 {
            rows.insert(cells[0], cells[1..].to_vec());
        }
    }
    rows
}

struct Measurements {
    fits: BTreeMap<String, Vec<String>>,
    points: BTreeMap<(String, u32), f64>,
}

fn data() -> Measurements {
    let mut data = Measurements { fits: BTreeMap::new(), points: BTreeMap::new() };
    let text = read("docs/data/capacity.csv") + &read("docs/data/processes.csv");
    for line in text.lines() {
        let cells: Vec<&str> = line.split(',').collect();
        match cells.as_slice() {
            ["series" | "fit", ..] => continue,
            [name, size, value] => {
                data.points
                    .insert(((*name).to_owned(), size.parse().expect("a size")), value.parse().expect("a value"));
            }
            [name, fit @ ..] => {
                data.fits.insert((*name).to_owned(), fit.iter().map(|cell| (*cell).to_owned()).collect());
            }
            [] => continue,
        }
    }
    data
}

impl Measurements {
    fn fitted(&self, name: &str, size: f64) -> f64 {
        let number = |index: usize| self.fits[name][index].parse::<f64>().expect("a number");
        number(0) + number(1) * size
    }
}

#[test]
fn slopes_on_the_page_match_the_data() {
    let page = read("docs/CAPACITY.md");
    let rows = rows(&page);
    let data = data();
    assert!(data.fits.len() >= 20);
    for (name, fit) in &data.fits {
        assert_eq!(rows.get(name.as_str()), Some(&fit.iter().map(String::as_str).collect()), "{name}");
    }
}

#[test]
fn process_figures_on_the_page_match_the_data() {
    let page = read("docs/CAPACITY.md");
    let rows = rows(&page);
    let data = data();
    for (column, count) in [4, 12, 40, 120, 400].into_iter().enumerate() {
        let value = format!("{:.3}", data.points[&("resident_kib_by_connection".to_owned(), count)]);
        assert_eq!(rows["resident_kib_by_connection"][column], value, "connections at {count}");
    }
    for name in ["calls_s_by_node", "bytes_s_each_by_node", "resident_kib_each_by_node", "change_ms_max_by_node"] {
        for (column, count) in [4, 8, 16, 32, 64].into_iter().enumerate() {
            let value = format!("{:.3}", data.points[&(name.to_owned(), count)]);
            assert_eq!(rows[name][column], value, "{name} at {count}");
        }
    }
}

/// Recomputes the derived figures from the data with the formulas on the page.
#[test]
fn derived_figures_on_the_page_match_the_data() {
    let page = read("docs/CAPACITY.md");
    let rows = rows(&page);
    let data = data();
    let (leafs, nodes, queries) = (43_000.0, 7800.0, 1.4e6);
    let rate = (8000.0 + 2.0 * (150.0 + 11_000.0)) / 86_400.0;
    let idle = data.points[&("resident_kib_each_by_node".to_owned(), 64)] * 1024.0;
    let in_flight = queries / nodes * 0.24;
    let control = data.fitted("control_bytes_by_leaf", leafs) + data.fitted("control_bytes_by_host", nodes);
    let traffic = data.fitted("traffic_bytes_by_leaf", leafs);
    let memory = control + traffic + data.fitted("query_bytes_by_query", in_flight) + idle;
    let busy = rate * (data.fitted("change_us_by_leaf", leafs) + data.fitted("traffic_view_us_by_leaf", leafs)) / 1e4
        + data.points[&("core_percent_each_by_node".to_owned(), 64)];
    let steady = data.fitted("steady_bytes_s_by_host", nodes);
    let part = data.fitted("part_bytes_by_leaf", 32.0);
    let manifest = rate * (leafs / 32.0 + 78.0) * 45.0;
    let expected = [
        ("changes a second", format!("{rate:.3}")),
        ("control state, MB", format!("{:.1}", control / 1e6)),
        ("traffic rows a lane, MB", format!("{:.1}", traffic / 1e6)),
        ("memory of a node, MB", format!("{:.1}", memory / 1e6)),
        ("control, % of a core", format!("{busy:.2}")),
        ("steady bytes a second", format!("{steady:.0}")),
        (
            "inner node, parts of 240, bytes a second",
            format!("{:.0}", steady + rate * 9.0 * data.fitted("change_bytes_by_leaf", leafs)),
        ),
        ("inner node, parts of 32, bytes a second", format!("{:.0}", steady + rate * 9.0 * part)),
        ("watcher, manifest of parts of 32, bytes a second", format!("{manifest:.0}")),
        ("root, parts of 32, bytes a second", format!("{:.0}", steady + rate * 21.0 * part + manifest)),
        ("time to start, s", format!("{:.2}", data.fitted("start_us_by_leaf", leafs) / 1e6)),
        ("bytes to start, MB", format!("{:.2}", data.fitted("start_bytes_by_leaf", leafs) / 1e6)),
        ("searches a second a leaf", format!("{:.0}", queries * 120.0 / leafs)),
        ("leaf connections a node, leafs accept 25", format!("{:.0}", leafs * 25.0 / nodes)),
    ];
    for (name, value) in expected {
        assert_eq!(rows[name].last(), Some(&value.as_str()), "{name}");
    }
}

/// The users' bench runs one day at three sizes; the page has its figures, their growth and an extrapolation.
#[test]
fn sweep_figures_on_the_page_match_the_data() {
    let page = read("docs/CAPACITY.md");
    let rows = rows(&page);
    let text = read("docs/data/sweep.csv");
    let mut figures: BTreeMap<String, BTreeMap<u32, (String, String)>> = BTreeMap::new();
    for line in text.lines().skip(1) {
        let [deployment, figure, hosts, median, maximum] = line.split(',').collect::<Vec<_>>()[..] else {
            panic!("{line}");
        };
        let row = figures.entry(format!("{deployment} {figure}")).or_default();
        row.insert(hosts.parse().expect("hosts"), (median.to_owned(), maximum.to_owned()));
    }
    assert!(figures.len() >= 10);
    for (name, points) in &figures {
        let mut expected: Vec<String> =
            points.values().map(|(median, maximum)| format!("{median} / {maximum}")).collect();
        let maximum = |hosts: u32| points[&hosts].1.parse::<f64>().expect("a number");
        let (first, last) = (maximum(30), maximum(300));
        if first > 0.0 && last > 0.0 {
            let exponent = (last / first).log10();
            expected.push(format!("{exponent:.2}"));
            expected.push(format!("{:.0}", last * 26_f64.powf(exponent)));
        } else {
            expected.extend(["-".to_owned(), "-".to_owned()]);
        }
        let shown: Vec<String> = rows[name.as_str()].iter().map(|cell| (*cell).to_owned()).collect();
        assert_eq!(shown, expected, "{name}");
    }
}
