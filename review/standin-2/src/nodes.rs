//! Processes of the project's program, and the record of what was seen.

use std::{
    cell::RefCell,
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    time::{sleep, timeout},
};

use crate::standin::{Group, Store, http};

/// Time within which a node has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// The record of a run: lines with the time since its start.
pub struct Record {
    file: RefCell<Option<File>>,
    since: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            file: RefCell::new(File::create(path).ok()),
            since: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.since.elapsed().as_secs_f64());
        print!("{line}");
        if let Some(file) = &mut *self.file.borrow_mut() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// The command of the role in the deploy file.
fn command() -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.ok_or("the deploy file names no command")?;
    let words = line.trim_matches('"').split(' ').map(str::to_owned);
    Ok(words.collect())
}

/// A running node, which ends when dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A port that is free on all of `ips`.
fn free_port(ips: &[String]) -> Result<u16, String> {
    for _ in 0..100 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let port = listener
            .local_addr()
            .map_err(|error| error.to_string())?
            .port();
        let is_free = |ip: &String| TcpListener::bind((&**ip, port)).is_ok();
        if ips.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err("no free port".to_owned())
}

/// The ports that all nodes of a run use, each at its own loopback address.
pub struct Ports {
    front: u16,
    ready: u16,
    peers: u16,
    metrics: u16,
}

impl Ports {
    pub fn find(count: usize) -> Result<Self, String> {
        let ips: Vec<_> = (0..count).map(ip).collect();
        Ok(Self {
            front: free_port(&ips)?,
            ready: free_port(&ips)?,
            peers: free_port(&ips)?,
            metrics: free_port(&ips)?,
        })
    }
}

fn ip(index: usize) -> String {
    format!("127.0.3.{}", index + 11)
}

/// Starts a node in front of the store and the cloud API at `platform`, and waits until it is ready.
pub async fn start(
    record: &Record,
    index: usize,
    ports: &Ports,
    platform: SocketAddr,
) -> Result<Node, String> {
    let (ip, name) = (ip(index), format!("front-z-{}", index + 1));
    let front = format!("{ip}:{}", ports.front);
    let ready = format!("{ip}:{}", ports.ready);
    let settings = json!({
        "nodeName": name, "role": "instance", "machineClass": "front",
        "serves": ["front", "control"], "ip": ip, "zone": "zone-1", "region": "region-1",
        "zones": {"zone-1": "region-1"},
        "listen": {"front": front, "ready": ready},
        "portRange": [ports.peers, ports.metrics], "seeds": [], "bootstrap": true,
        "tolerated": false,
        "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
            "linkMbps": 1000.0, "diskMb": 0},
        "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
        "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
        "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
        "bounds": {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000,
            "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
            "downgradeSlackMs": 250, "maxSkewMs": 12000, "recoveryS": 12, "requireFence": false,
            "thawSlackMs": 300},
        "platform": {"address": platform.to_string(), "form": "kv", "writesPerS": 400,
            "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1_048_576, "minTtlMs": 1000},
        "cloudApi": {"address": platform.to_string(), "ratePerS": 50.0, "duties": ["promote"],
            "dutyPerS": 50.0},
    });
    let folder = std::env::temp_dir().join(format!("review-59-{}-{index}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let path = folder.join("local.json");
    std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
    let words = command()?;
    let child = Command::new(&words[0])
        .args(&words[1..])
        .env("DANDELIONLINK_NODE_FILE", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::inherit())
        .spawn()
        .map_err(|error| format!("{}: {error}", words[0]))?;
    let node = Node {
        name,
        front: front.parse().map_err(|_| "address")?,
        child,
        folder,
    };
    let since = Instant::now();
    while !is_ready(&ready).await {
        if since.elapsed() > READY_TIMEOUT {
            return Err(format!("{} isn't ready", node.name));
        }
        sleep(Duration::from_millis(50)).await;
    }
    record.line(&format!("{} is ready", node.name));
    Ok(node)
}

/// Asks as the platform's ready probe does.
async fn is_ready(address: &str) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = "GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        Some(answer.starts_with(b"HTTP/1.1 200"))
    };
    timeout(Duration::from_secs(1), ask)
        .await
        .ok()
        .flatten()
        .unwrap_or(false)
}

/// A configuration with a route for each name, as that of `platform/tests/harness`: the part of a name
/// before its first `-` selects the type: `now`, `old`, or read-your-writes for all others.
pub fn config(version: u64, connections: usize, names: &[&str]) -> Value {
    let route = |name: &str| {
        let kind = match name.split('-').next().unwrap_or_default() {
            "now" => "primary",
            "old" => "bounded",
            _ => "read_your_writes",
        };
        json!({"name": name, "host": name, "prefix": "/", "type": kind, "timeoutMs": 800,
            "latencySloMs": 100, "priority": 1, "service": "db", "maxStalenessMs": 1500})
    };
    let routes: Vec<_> = names.iter().map(|name| route(name)).collect();
    json!({"version": version, "routes": routes,
        "services": [{"name": "db", "maxConns": connections, "syncReplicas": 0}],
        "limits": {"txIdleMs": 3000}})
}

/// Records what the upstreams have run.
pub fn record_runs(record: &Record, group: &Rc<RefCell<Group>>) {
    for member in &group.borrow().members {
        for run in &member.runs {
            record.line(&format!("{} ran {} {:?}", member.id, run.id, run.text));
        }
    }
}

/// A store with a catalogue and one database of three upstreams, and the address of the store and the
/// cloud API.
pub async fn platform() -> (SocketAddr, Rc<RefCell<Group>>) {
    let store = Store::default();
    let group = Group::new("db", 3, 34, &store).await;
    let catalog = config(1, 34, &["now", "old", "own"]);
    store.put("op/config", catalog.to_string().into_bytes(), 0);
    let address = http::serve(&store, &group, &http::Gate::default()).await;
    (address, group)
}

/// A client's session.
pub struct Client {
    name: String,
    input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    sent: usize,
}

/// The answer to a statement.
#[derive(Debug)]
pub struct Answer {
    pub id: String,
    pub rows: Vec<String>,
    /// `DONE`, the code of the error, or `NONE` without a whole answer.
    pub status: String,
    pub state: String,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        self.status == "DONE"
    }
}

impl Client {
    pub async fn start(name: &str, address: SocketAddr, database: &str) -> Result<Self, String> {
        let start = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| error.to_string())?;
            let (read, mut output) = stream.into_split();
            let hello = format!("START {database} {name}\r\n");
            output
                .write_all(hello.as_bytes())
                .await
                .map_err(|error| error.to_string())?;
            let mut input = BufReader::new(read);
            let mut line = String::new();
            input
                .read_line(&mut line)
                .await
                .map_err(|error| error.to_string())?;
            match line.starts_with("READY") {
                true => Ok(Self {
                    name: name.to_owned(),
                    input,
                    output,
                    sent: 0,
                }),
                false => Err(format!("session of {name} refused: {}", line.trim_end())),
            }
        };
        timeout(PATIENCE, start)
            .await
            .unwrap_or_else(|_| Err("no answer to START".to_owned()))
    }

    /// Sends a statement and reads its answer; both are recorded.
    pub async fn execute(&mut self, record: &Record, text: &str) -> Answer {
        self.sent += 1;
        let id = format!("{}{:08x}", self.name, self.sent);
        record.line(&format!("{} sends QUERY {id} {text}", self.name));
        let answer = timeout(PATIENCE, self.exchange(&id, text))
            .await
            .ok()
            .flatten();
        let answer = answer.unwrap_or(Answer {
            id,
            rows: Vec::new(),
            status: "NONE".to_owned(),
            state: String::new(),
        });
        let Answer {
            id,
            rows,
            status,
            state,
        } = &answer;
        record.line(&format!(
            "{} hears {id}: {status} rows {rows:?} state {state}",
            self.name
        ));
        answer
    }

    async fn exchange(&mut self, id: &str, text: &str) -> Option<Answer> {
        let line = format!("QUERY {id} {text}\r\n");
        self.output.write_all(line.as_bytes()).await.ok()?;
        let (mut rows, mut status) = (Vec::new(), "NONE".to_owned());
        loop {
            let mut line = String::new();
            if self.input.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => status = "DONE".to_owned(),
                "ERR" => status = rest.split(' ').next().unwrap_or_default().to_owned(),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Some(Answer {
                        id: id.to_owned(),
                        rows,
                        status,
                        state,
                    });
                }
                _ => return None,
            }
        }
    }

    /// Repeats a statement until it succeeds, for 10 s at most.
    pub async fn execute_until_done(
        &mut self,
        record: &Record,
        text: &str,
    ) -> Result<Answer, String> {
        for _ in 0..100 {
            let answer = self.execute(record, text).await;
            if answer.is_done() {
                return Ok(answer);
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(format!("{text} never succeeded"))
    }
}
