//! The project's own program, started as the deploy file says: one process for each machine.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use serde_json::json;

pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: File,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    root: PathBuf,
    run: String,
}

/// A port that is free for TCP and UDP on all of these addresses.
fn free_port(ips: &[String], used: &[u16]) -> u16 {
    for _ in 0..200 {
        let probe = TcpListener::bind((&*ips[0], 0)).expect("a free port");
        let port = probe.local_addr().expect("a local address").port();
        drop(probe);
        let is_free = |ip: &String| {
            TcpListener::bind((&**ip, port)).is_ok() && UdpSocket::bind((&**ip, port)).is_ok()
        };
        if !used.contains(&port) && ips.iter().all(is_free) {
            return port;
        }
    }
    panic!("no free port");
}

impl Fleet {
    pub fn start(
        root: &Path,
        zones: &[&str],
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> std::io::Result<Self> {
        let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run
            .and_then(|run| run.strip_suffix('"'))
            .expect("a command");
        let ips: Vec<String> = (1..=zones.len()).map(|n| format!("127.0.1.{n}")).collect();
        let mut ports = Vec::new();
        for _ in 0..5 {
            let port = free_port(&ips, &ports);
            ports.push(port);
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            nodes: Vec::new(),
            folder,
            root: root.to_owned(),
            run: run.to_owned(),
        };
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{}", ports[2]))
            .collect();
        for (ip, zone) in ips.iter().zip(zones) {
            let name = format!("front-{zone}-1");
            let settings = json!({
                "nodeName": name, "role": "instance", "machineClass": "front",
                "serves": ["front", "control"], "ip": ip, "zone": zone, "region": "kigali-city",
                "zones": {"nyamirambo": "kigali-city", "gisozi": "kigali-city",
                    "kimihurura": "kigali-city"},
                "listen": {"front": format!("{ip}:{}", ports[0]),
                    "ready": format!("{ip}:{}", ports[1]), "control": format!("{ip}:{}", ports[2])},
                "portRange": [ports[3], ports[4]], "seeds": seeds, "bootstrap": true,
                "tolerated": false,
                "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                    "linkMbps": 1000.0, "diskMb": 0},
                "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
                "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000,
                    "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
                    "configApplyMs": 3000, "downgradeSlackMs": 250, "maxSkewMs": 12000,
                    "recoveryS": 12, "requireFence": false, "thawSlackMs": 300},
                "platform": {"address": store.to_string(), "form": "kv", "writesPerS": 400,
                    "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576, "minTtlMs": 1000},
                "cloudApi": {"address": cloud.to_string(), "ratePerS": 50.0,
                    "duties": ["promote"], "dutyPerS": 50.0}
            });
            let path = fleet.folder.join(format!("{name}.json"));
            fs::write(&path, settings.to_string())?;
            let log = File::create(fleet.folder.join(format!("{name}.log")))?;
            let child = start(&fleet.run, &fleet.root, &path, &log)?;
            fleet.nodes.push(Node {
                front: format!("{ip}:{}", ports[0]).parse().expect("an address"),
                ready: format!("{ip}:{}", ports[1]).parse().expect("an address"),
                settings: path,
                log,
                child,
            });
        }
        Ok(fleet)
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.nodes.iter().all(|node| is_ready(node.ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Tells a node to stop.
    pub fn stop(&self, index: usize) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe {
            libc::kill(self.nodes[index].child.id() as i32, libc::SIGTERM);
        }
    }

    /// Returns true if a node that was told to stop has ended.
    pub fn has_ended(&mut self, index: usize) -> std::io::Result<bool> {
        Ok(self.nodes[index].child.try_wait()?.is_some())
    }

    /// Starts a node that has ended again.
    pub fn start_again(&mut self, index: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[index];
        node.child = start(&self.run, &self.root, &node.settings, &node.log)?;
        Ok(())
    }
}

/// Starts the program with the command of the deploy file.
fn start(run: &str, root: &Path, settings: &Path, log: &File) -> std::io::Result<Child> {
    let mut words = run.split(' ');
    let mut command = Command::new(root.join(words.next().unwrap_or_default()));
    command
        .args(words)
        .current_dir(root)
        .env("DANDELIONLINK_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log.try_clone()?);
    // SAFETY: the call is safe between `fork` and `exec`.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        Ok(text.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}
