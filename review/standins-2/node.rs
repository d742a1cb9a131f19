//! Node processes, with settings filled into the template of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// The command of `[roles.node]` in `deploy/system.toml`, from the repository's root.
const PROGRAM: &str = "target/release/shallothub";

pub struct Node {
    pub listen: String,
    pub ready: String,
    pub log: PathBuf,
    child: Child,
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

impl Node {
    /// Starts a node that reads the store at `store`; its files stand in `directory`.
    pub fn start(name: &str, store: &str, directory: &std::path::Path) -> io::Result<Self> {
        let (listen, ready, admin) = (free_address(), free_address(), free_address());
        let (relay, peer) = (free_address(), free_address());
        let template = fs::read_to_string("deploy/node.yaml")?;
        let mut text = String::new();
        let mut skips = false;
        for line in template.lines() {
            // Bounds that the site does not have leave their section out; other sections are rendered once.
            skips |= line == "{{#bounds.warmupOverage}}";
            if !skips && !line.starts_with("{{#") && !line.starts_with("{{/") {
                text.push_str(line);
                text.push('\n');
            }
            skips &= line != "{{/bounds.warmupOverage}}";
        }
        let quoted = |value: &str| format!("\"{value}\"");
        for (placeholder, value) in [
            (r#"{{#zones}}"{{@}}": {{.|json}}{{,}}{{/zones}}"#, r#""hakata-a": "fukuoka""#.to_owned()),
            ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", quoted(&peer)),
            ("\"{{ip}}:7390\"", quoted(&admin)),
            ("\"{{ip}}:7391\"", quoted(&relay)),
            ("{{nodeName|json}}", quoted(name)),
            ("{{zone|json}}", quoted("hakata-a")),
            ("{{listen.front|json}}", quoted(&listen)),
            ("{{listen.ready|json}}", quoted(&ready)),
            ("{{listen.control|json}}", quoted(&peer)),
            ("{{platform.address|json}}", quoted(store)),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{limits.maxFds}}", "4100".to_owned()),
            ("{{limits.memoryMb}}", "260".to_owned()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.retryBudgetSlack}}", "52".to_owned()),
            ("{{bounds.retryWindowS}}", "10".to_owned()),
            ("{{bounds.drainMs}}", "3000".to_owned()),
        ] {
            text = text.replace(placeholder, &value);
        }
        let settings = directory.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = directory.join(format!("{name}.log"));
        let output = File::create(&log)?;
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self { listen, ready, log, child })
    }

    /// Waits until the node is ready; `false` after 20 s.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if get(&self.ready, "/readyz").is_some_and(|message| message.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn get(address: &str, path: &str) -> Option<http::Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n");
    io::Write::write_all(&mut stream, request.as_bytes()).ok()?;
    http::read(&mut stream, &mut Vec::new()).ok()?
}
