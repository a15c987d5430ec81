//! Stand-ins and clients for the cases of the second review: the platform's store, replicas,
//! clients, and the platform as the one that starts and ends hosts. Standard library only.
//!
//! `rig-2 CASE DIRECTORY PROGRAM TROUBLE` plays one case, writes `record.txt` into DIRECTORY, and
//! exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn new(directory: &Path) -> Arc<Self> {
        let file = File::create(directory.join("record.txt")).expect("record.txt can be written");
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    fn note(&self, text: impl AsRef<str>) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{time:9.3} {}", text.as_ref());
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP

/// Head of a message: its first line and its headers, with names in lowercase.
#[derive(Clone, Debug, Default)]
struct Head {
    line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    fn id(&self) -> &str {
        self.get("papayayard-request-id").unwrap_or_default()
    }
}

/// A connection with the bytes that were read beyond the last message.
struct Stream {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Stream {
    fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(socket))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut space = [0; 65536];
        let read = self.socket.read(&mut space)?;
        self.buffer.extend_from_slice(&space[..read]);
        Ok(read)
    }

    /// Reads a head; `None` if the connection ends before it begins.
    fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { line, headers }))
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer.drain(..at + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces, as a server and a client of HTTP/1.1 do: chunks go
    /// before a length.
    fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.text_line()?;
                let digits = line.split(';').next().unwrap_or_default().trim().to_owned();
                let length = usize::from_str_radix(&digits, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                body.extend(self.exact(length)?);
                if length == 0 {
                    while !self.text_line()?.is_empty() {}
                    return Ok(body);
                }
                self.exact(2)?;
            }
        }
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok());
        self.exact(length.unwrap_or(0))
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }
}

fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Serves each connection with a function on a thread of its own.
fn serve(listener: TcpListener, serve: impl Fn(Stream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(socket) = socket else { continue };
            let serve = Arc::clone(&serve);
            let builder = thread::Builder::new().stack_size(512 << 10);
            let _ = builder.spawn(move || serve(Stream::new(socket)));
        }
    });
}

/// Free ports of a loopback address, found by opening them for a moment. No connection of a
/// client takes them, since those begin at another loopback address.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let process = std::process::id();
    let address = Ipv4Addr::new(
        127,
        64 + (process >> 8 & 63) as u8,
        (process & 255) as u8,
        NEXT.fetch_add(1, Ordering::SeqCst) as u8,
    );
    let held: Vec<_> = (0..N)
        .map(|_| TcpListener::bind((address, 0)).expect("a free port"))
        .collect();
    let addresses: Vec<SocketAddr> = held
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    addresses.try_into().unwrap()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Topics(BTreeMap<String, Vec<(Vec<u8>, Vec<u8>)>>);

/// The platform's store: one partition a topic, nothing expires, and it is never down.
struct Store {
    address: SocketAddr,
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    fn start() -> Arc<Self> {
        let (listener, address) = listen();
        let store = Arc::new(Self {
            address,
            topics: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        serve(listener, move |stream| served.connection(stream));
        store
    }

    fn write(&self, topic: &str, key: &str, value: &str) {
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        let mut topics = self.topics.lock().unwrap();
        topics.0.entry(topic.to_owned()).or_default().push(record);
        drop(topics);
        self.changed.notify_all();
    }

    fn connection(&self, mut stream: Stream) {
        while let Ok(Some(head)) = stream.head() {
            let Ok(body) = stream.body(&head) else { return };
            let reply = self.call(&head, &body);
            if stream.send(&reply).is_err() {
                return;
            }
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        let topic = value("topic").unwrap_or_default();
        match path {
            "/v1/log-newest" => self.newest(&topic, value("after")),
            "/v1/log-read" => {
                let from = value("from")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait = value("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                self.read(&topic, from, Duration::from_millis(wait))
            }
            "/v1/log-append" => self.append(&topic, value("at"), body),
            _ => answer(404, "", b""),
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let none = Vec::new();
        let log = topics.0.get(topic).unwrap_or(&none);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, (_, value))| {
                !value.is_empty() && after.as_ref().is_none_or(|after| *key > after)
            })
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let text = format!(
            r#"{{"items":[{}],"hasMore":false,"end":{}}}"#,
            items.join(","),
            log.len()
        );
        answer(200, "content-type: application/json\r\n", text.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.0.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let none = Vec::new();
        let log = topics.0.get(topic).unwrap_or(&none);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in log.iter().skip(from) {
            body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key);
            body.extend_from_slice(value);
        }
        answer(200, "", &body)
    }

    fn append(&self, topic: &str, at: Option<String>, body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let log = topics.0.entry(topic.to_owned()).or_default();
        let json = "content-type: application/json\r\n";
        if at.is_some_and(|at| at != log.len().to_string()) {
            let text = format!(r#"{{"end":{}}}"#, log.len());
            return answer(412, json, text.as_bytes());
        }
        let offset = log.len();
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let content = &rest[4..4 + length];
            let key_length = content[0] as usize;
            let (key, value) = content[1..].split_at(key_length);
            log.push((key.to_vec(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let text = format!(r#"{{"offset":{offset},"end":{}}}"#, log.len());
        drop(topics);
        self.changed.notify_all();
        answer(200, json, text.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*three.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = number >> (18 - 6 * index) & 63;
            if index <= three.len() {
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's hosts

/// The limit on the memory of a process, from the sheet of the site.
const MEMORY_MB: u64 = 110;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// The share of a processor that each host gets; all of one if it isn't set.
fn processor_share() -> Option<f64> {
    std::env::var("PROCESSOR").ok()?.parse().ok()
}

/// A host, which the platform starts again after a short delay if it ends, and kills if it
/// exceeds its memory.
struct Host {
    name: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    forwarded: SocketAddr,
    zone: String,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    stopped: AtomicBool,
    peak_kb: AtomicU64,
    kills: AtomicUsize,
}

impl Host {
    fn new(name: &str, zone: &str, directory: &Path, program: &Path) -> Self {
        let [callers, operators, peers, forwarded] = free_addresses();
        Self {
            name: name.to_owned(),
            callers,
            operators,
            peers,
            forwarded,
            zone: zone.to_owned(),
            settings: directory.join(format!("{name}.yaml")),
            log: directory.join(format!("{name}.log")),
            program: program.to_owned(),
            child: Mutex::new(None),
            stopped: AtomicBool::new(false),
            peak_kb: AtomicU64::new(0),
            kills: AtomicUsize::new(0),
        }
    }

    /// Writes the settings as `deploy/settings.yaml` is filled in with the figures of the sheet.
    fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "host: {}\nzone: {}\nlisten:\n  callers: \"{}\"\n  operators: \"{}\"\n  peers: \"{}\"\n  forwarded: \"{}\"\nseeds: [{}]\ncapacity: 0.25\nmemory_mb: {MEMORY_MB}\nstore: \"{store}\"\nfirst_start: true\nbounds:\n  strict_revocation: true\n  revocation_ms: 5000\n  configuration_ms: 2000\n  old_weights_ms: 12000\n  lease_ms: 3000\n  repeat_ratio: 0.2\n  repeat_slack: 58\n  repeat_window_ms: 10000\n  stop_ms: 8000\n",
            self.name,
            self.zone,
            self.callers,
            self.operators,
            self.peers,
            self.forwarded,
            seeds.join(", "),
        );
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let errors = log.try_clone().unwrap();
        let child = Command::new(&self.program)
            .arg("--routes")
            .arg(&self.settings)
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| matches!(name.as_str(), "PATH" | "HOME" | "LANG")),
            )
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        *self.child.lock().unwrap() = Some(child);
    }

    fn id(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    fn resident_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Processor time of the process, in ms.
    fn processor_ms(&self) -> Option<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()?)).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().ok()? + fields[12].parse::<u64>().ok()?;
        Some(ticks * 10)
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// What the platform does with the process of a host: it kills one that exceeds its memory,
    /// and starts one again that has ended.
    fn supervise(&self, record: &Record) {
        while !self.stopped.load(Ordering::SeqCst) {
            sleep_ms(5);
            if let Some(resident) = self.resident_kb() {
                let before = self.peak_kb.fetch_max(resident, Ordering::SeqCst);
                if resident > before + 10_000 {
                    record.note(format!("{} uses {} MB", self.name, resident / 1024));
                }
                if resident > MEMORY_MB * 1024 {
                    record.note(format!(
                        "{} uses {} MB of {MEMORY_MB} MB and is killed; it has used {} ms of a processor",
                        self.name,
                        resident / 1024,
                        self.processor_ms().unwrap_or_default()
                    ));
                    self.kills.fetch_add(1, Ordering::SeqCst);
                    self.peak_kb.store(0, Ordering::SeqCst);
                    self.kill();
                    sleep_ms(300);
                    if !self.stopped.load(Ordering::SeqCst) {
                        self.start();
                        record.note(format!("{} is started again", self.name));
                    }
                }
            }
            let mut child = self.child.lock().unwrap();
            if let Some(running) = child.as_mut()
                && let Ok(Some(status)) = running.try_wait()
            {
                record.note(format!("{} ended by itself: {status}", self.name));
                self.kills.fetch_add(1, Ordering::SeqCst);
                *child = None;
                drop(child);
                sleep_ms(300);
                if !self.stopped.load(Ordering::SeqCst) {
                    self.start();
                }
            }
        }
    }

    /// Gives the processes of the host a share of a processor in each tenth of a second, as a
    /// quota does: one that has used its share stands still for the rest of it.
    fn limit_processor(&self, share: f64) {
        const STOP: i32 = 19;
        const CONTINUE: i32 = 18;
        let period = Duration::from_millis(100);
        while !self.stopped.load(Ordering::SeqCst) {
            let begin = Instant::now();
            let id = self.id();
            let before = self.processor_ms().unwrap_or(0);
            let mut is_stopped = false;
            while begin.elapsed() < period {
                sleep_ms(3);
                let used = self.processor_ms().unwrap_or(0).saturating_sub(before);
                if !is_stopped && used as f64 >= share * period.as_millis() as f64 {
                    is_stopped = self.signal(id, STOP);
                }
            }
            if is_stopped {
                self.signal(id, CONTINUE);
            }
        }
    }

    /// Sends a signal to the process of the host, if it is still the given one.
    fn signal(&self, id: Option<u32>, signal: i32) -> bool {
        let child = self.child.lock().unwrap();
        let running = child.as_ref().map(Child::id);
        match running {
            Some(running) if id == Some(running) => {
                // SAFETY: the process is a child that was not waited for, so its id is its own.
                unsafe { kill(running as i32, signal) == 0 }
            }
            _ => false,
        }
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.kill();
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = Stream::connect(self.operators) else {
            return false;
        };
        let _ = stream.socket.set_read_timeout(Some(Duration::from_secs(1)));
        if stream
            .send(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
            .is_err()
        {
            return false;
        }
        matches!(stream.head(), Ok(Some(head)) if head.word(1) == "200")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
    }
}

fn start_hosts(
    count: usize,
    store: &Store,
    directory: &Path,
    program: &Path,
    record: &Arc<Record>,
) -> Option<Vec<Arc<Host>>> {
    let zones = ["bergen-a", "bergen-b", "bergen-c"];
    let hosts: Vec<Arc<Host>> = (0..count)
        .map(|index| {
            let name = format!("edge-{index}");
            let zone = zones[index % zones.len()];
            Arc::new(Host::new(&name, zone, directory, program))
        })
        .collect();
    let seeds: Vec<SocketAddr> = hosts.iter().take(3).map(|host| host.peers).collect();
    for host in &hosts {
        host.write_settings(store.address, &seeds);
        host.start();
        let limited = Arc::clone(host);
        let (host, record) = (Arc::clone(host), Arc::clone(record));
        thread::spawn(move || host.supervise(&record));
        if let Some(share) = processor_share() {
            thread::spawn(move || limited.limit_processor(share));
        }
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(|host| host.is_ready()) {
        if Instant::now() > until {
            record.note("the hosts were not ready in time");
            return None;
        }
        sleep_ms(100);
    }
    record.note(format!("{count} hosts are ready"));
    Some(hosts)
}

// ---------------------------------------------------------------- replicas

/// Registers a replica in the store, and again with each heartbeat.
fn register(store: &Arc<Store>, service: &str, id: &str, address: SocketAddr, models: &str) {
    let (store, service, id, models) = (
        Arc::clone(store),
        service.to_owned(),
        id.to_owned(),
        models.to_owned(),
    );
    let born = unix_ms();
    let beat = move |seq: u64| {
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"bergen-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"stage":"both","models":[{models}],"seq":{seq},"born":{born}}}"#
        );
        store.write("keyed.servers", &id, &entry);
    };
    beat(1);
    thread::spawn(move || {
        for seq in 2.. {
            sleep_ms(1200);
            beat(seq);
        }
    });
}

/// Head of a replica's own answer to a request.
fn stamped(head: &Head, more: &str) -> String {
    format!(
        "papayayard-request-id: {}\r\npapayayard-server-stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{more}",
        head.id()
    )
}

const KEY: &str = "ctnfzs989anu6wsjnban";

fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    more: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","host":"one.example","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":400,"priority":1,"service":"{service}","public":false,{more}}}"#
    )
}

fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"sese880","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

const PLAIN: &str =
    r#"{"name":"studio","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}"#;
const KEPT: &str = r#"{"name":"prompt-keep","kvStoreAddr":"ADDRESS","zone":"bergen-b","kvCapacityTokens":3424777,"linkMbps":120000.0,"maxInflight":12}"#;
const ENGINE: &str = r#"{"name":"match","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":121713,"kvTokenBytes":35136,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":5,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}"#;

// ---------------------------------------------------------------- cases

mod cases {
    include!("cases-2.rs");
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory, program, trouble] = arguments.as_slice() else {
        eprintln!("usage: rig-2 CASE DIRECTORY PROGRAM TROUBLE");
        std::process::exit(2);
    };
    let trouble = trouble != "0";
    let record = Record::new(Path::new(directory));
    let work = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&work).expect("a temporary folder");
    let outcome = cases::play(case, &record, &work, Path::new(program), trouble);
    let code = match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    record.note(format!("exit {code}"));
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&work);
    } else {
        println!("{}", work.display());
    }
    std::process::exit(code);
}
