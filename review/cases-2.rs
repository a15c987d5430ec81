use super::*;

pub(super) fn play(
    case: &str,
    record: &Arc<Record>,
    work: &Path,
    program: &Path,
    trouble: bool,
) -> Option<bool> {
    match case {
        "listing" => listing(record, work, program, trouble),
        "changes" => changes(record, work, program, trouble),
        "chunks" => chunks(record, work, program, trouble),
        "timeout" => timeout(record, work, program, trouble),
        _ => None,
    }
}

/// Requests that were passed on to a sound replica from kept connections, and what became of
/// them.
#[derive(Default)]
struct Tally {
    arrived: Mutex<std::collections::HashSet<String>>,
    answered: AtomicUsize,
    refused: AtomicUsize,
    lost: Mutex<Vec<String>>,
    failed: AtomicUsize,
}

/// A sound plain replica, which works on each request for a while.
fn sound_replica(
    store: &Arc<Store>,
    service: &str,
    id: &str,
    work_ms: u64,
    tally: &Arc<Tally>,
    record: &Arc<Record>,
) {
    let (listener, address) = listen();
    let (tally, record) = (Arc::clone(tally), Arc::clone(record));
    serve(listener, move |mut stream| {
        while let Ok(Some(head)) = stream.head() {
            let Ok(_) = stream.body(&head) else { return };
            if head.id().is_empty() {
                let _ = stream.send(&answer(404, "", b""));
                continue;
            }
            tally.arrived.lock().unwrap().insert(head.id().to_owned());
            record.note(format!("replica runs {}", head.id()));
            sleep_ms(work_ms);
            if stream
                .send(&answer(200, &stamped(&head, ""), b"booked"))
                .is_err()
            {
                return;
            }
        }
    });
    register(store, service, id, address, "");
}

/// A client that sends requests to a host over one kept connection, and over a new one after
/// that was closed.
fn kept_client(
    host: Arc<Host>,
    prefix: &'static str,
    number: usize,
    tally: Arc<Tally>,
    record: Arc<Record>,
    until: Instant,
) {
    thread::spawn(move || {
        let mut kept: Option<(Stream, usize)> = None;
        sleep_ms(number as u64 * 41 % 250);
        for turn in 0_u64.. {
            if Instant::now() > until {
                return;
            }
            let (mut stream, used) = match kept.take() {
                Some(kept) => kept,
                None => match Stream::connect(host.callers) {
                    Ok(stream) => (stream, 0),
                    Err(_) => {
                        sleep_ms(100);
                        continue;
                    }
                },
            };
            let id = format!("{number:04x}{turn:012x}");
            let text = format!(
                "POST {prefix}a HTTP/1.1\r\nhost: one.example\r\npapayayard-request-id: {id}\r\npapayayard-deadline-ms: 1500\r\nauthorization: Bearer {KEY}\r\ncontent-length: 4\r\n\r\nslot"
            );
            let _ = stream.socket.set_read_timeout(Some(Duration::from_secs(3)));
            let mut reply = Err(io::ErrorKind::BrokenPipe.into());
            if stream.send(text.as_bytes()).is_ok() {
                reply = stream.head().and_then(|head| match head {
                    Some(head) => stream.body(&head).map(|_| head),
                    None => Err(io::ErrorKind::UnexpectedEof.into()),
                });
            }
            match reply {
                Ok(head) => {
                    match head.word(1) {
                        "200" => tally.answered.fetch_add(1, Ordering::SeqCst),
                        "503" | "429" => tally.refused.fetch_add(1, Ordering::SeqCst),
                        _ => tally.failed.fetch_add(1, Ordering::SeqCst),
                    };
                    record.note(format!(
                        "client {number} got {} for {id} on its {used}. reuse",
                        head.word(1)
                    ));
                    if head.get("connection") != Some("close") {
                        kept = Some((stream, used + 1));
                    }
                }
                Err(error) => {
                    let arrived = tally.arrived.lock().unwrap().contains(&id);
                    record.note(format!("client {number}: {id} on its {used}. reuse ends without an answer: {error}; passed on to a replica: {arrived}"));
                    if arrived && used > 0 {
                        tally.lost.lock().unwrap().push(id);
                    }
                }
            }
            sleep_ms(20 + (number as u64 * 7 + turn * 13) % 60);
        }
    });
}

fn conclude(record: &Record, tally: &Tally, hosts: &[Arc<Host>]) -> bool {
    let lost = tally.lost.lock().unwrap().len();
    let kills: usize = hosts
        .iter()
        .map(|host| host.kills.load(Ordering::SeqCst))
        .sum();
    record.note(format!(
        "bookings: {} answered, {} refused, {} failed; {lost} passed on from a kept connection and closed without an answer; hosts ended {kills} times",
        tally.answered.load(Ordering::SeqCst), tally.refused.load(Ordering::SeqCst), tally.failed.load(Ordering::SeqCst)
    ));
    for host in hosts {
        record.note(format!(
            "{}: peak {} MB since its last start, ended {} times",
            host.name,
            host.peak_kb.load(Ordering::SeqCst) / 1024,
            host.kills.load(Ordering::SeqCst)
        ));
        host.stop();
    }
    let often = hosts
        .iter()
        .filter(|host| host.kills.load(Ordering::SeqCst) >= 3)
        .count();
    record.note(format!(
        "LOST broken: {}; machines whose processes ended by themselves three times: {often}",
        lost > 3
    ));
    lost > 3
}

/// Sends bytes that are no answer, in chunks of the given size, until the caller closes.
fn send_without_end(stream: &mut Stream, chunk: usize) -> usize {
    let one = format!("{chunk:x}\r\n{}\r\n", " ".repeat(chunk));
    let many = one.repeat(65536 / one.len());
    let head =
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut sent = 0;
    if stream.send(head).is_ok() {
        while stream.send(many.as_bytes()).is_ok() {
            sent += many.len();
        }
    }
    sent
}

fn knob(name: &str, usual: u64) -> u64 {
    let set = std::env::var(name).ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// A sound engine, which keeps no prompts and runs nothing.
fn sound_engine(stream: &mut Stream, head: &Head, born: u64) -> io::Result<()> {
    let path = head.word(1);
    let json = "content-type: application/json\r\n";
    if path.starts_with("/v1/kv-events") {
        let since = path.split("since=").nth(1).unwrap_or("0");
        let wait = head
            .get("wait-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        sleep_ms(wait);
        let text = format!(
            r#"{{"bootEpoch":{born},"next":{since},"lost":false,"events":[],"born":{born}}}"#
        );
        stream.send(&answer(200, json, text.as_bytes()))
    } else if path == "/v1/report" {
        let text = format!(
            r#"{{"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":121713,"handles":0,"born":{born}}}"#
        );
        stream.send(&answer(200, json, text.as_bytes()))
    } else {
        stream.send(&answer(404, "", b""))
    }
}

/// The store of kept prompts answers a call for its contents with bytes that are no answer and
/// have no end.
fn listing(record: &Arc<Record>, work: &Path, program: &Path, trouble: bool) -> Option<bool> {
    let store = Store::start();
    let tally = Arc::new(Tally::default());
    for number in 0..3 {
        sound_replica(
            &store,
            "studio",
            &format!("i-app{number}"),
            200,
            &tally,
            record,
        );
    }
    for number in 0..6 {
        let (listener, address) = listen();
        let born = unix_ms();
        serve(listener, move |mut stream| {
            while let Ok(Some(head)) = stream.head() {
                if stream.body(&head).is_err() || sound_engine(&mut stream, &head, born).is_err() {
                    return;
                }
            }
        });
        register(
            &store,
            "match",
            &format!("i-engine{number}"),
            address,
            r#"{"name":"m0","version":1,"adapters":[]}"#,
        );
    }
    // The store keeps the newest 4,000 events.
    let chunk = knob("CHUNK", 1) as usize;
    let newest = Arc::new(AtomicU64::new(118_000));
    let ill = Arc::new(AtomicBool::new(false));
    let (listener, kept) = listen();
    let (next, sick, noted) = (Arc::clone(&newest), Arc::clone(&ill), Arc::clone(record));
    let boot = unix_ms();
    serve(listener, move |mut stream| {
        let json = "content-type: application/json\r\n";
        while let Ok(Some(head)) = stream.head() {
            if stream.body(&head).is_err() {
                return;
            }
            let path = head.word(1).to_owned();
            let reply = if path.starts_with("/v1/kv-events") {
                let since: u64 = path
                    .split("since=")
                    .nth(1)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait = head
                    .get("wait-ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                while next.load(Ordering::SeqCst) <= since && Instant::now() < until {
                    sleep_ms(10);
                }
                let next = next.load(Ordering::SeqCst);
                let lost = since + 4000 < next;
                noted.note(format!(
                    "the store of prompts is asked for events since {since}; lost: {lost}"
                ));
                format!(
                    r#"{{"bootEpoch":{boot},"next":{next},"lost":{lost},"events":[],"born":{boot}}}"#
                )
            } else if path == "/v1/kv-list" {
                if sick.load(Ordering::SeqCst) {
                    noted.note("the store of prompts answers kv-list without end");
                    let sent = send_without_end(&mut stream, chunk);
                    noted.note(format!(
                        "the caller of kv-list closed after some {sent} bytes"
                    ));
                    return;
                }
                noted.note("the store of prompts answers kv-list");
                let next = next.load(Ordering::SeqCst);
                format!(r#"{{"bootEpoch":{boot},"next":{next},"held":[]}}"#)
            } else {
                if stream.send(&answer(404, "", b"")).is_err() {
                    return;
                }
                continue;
            };
            if stream.send(&answer(200, json, reply.as_bytes())).is_err() {
                return;
            }
        }
    });
    let routes = [
        route(
            "book",
            "/book/",
            "unsafe",
            "studio",
            1500,
            r#""maxAttempts":1"#,
        ),
        route(
            "pair",
            "/pair/",
            "streaming",
            "match",
            15000,
            r#""maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapAimMs":300"#,
        ),
    ];
    let kept = KEPT.replace("ADDRESS", &kept.to_string());
    store.write(
        "keyed.op",
        "config",
        &config(1, &routes, &[PLAIN, ENGINE, &kept]),
    );
    store.write("keyed.op", "version/m0", r#"{"model":"m0","version":1}"#);
    let hosts = start_hosts(3, &store, work, program, record)?;
    sleep_ms(500);
    let until = Instant::now() + Duration::from_secs(20);
    for number in 0..36 {
        kept_client(
            Arc::clone(&hosts[number % 3]),
            "/book/",
            number,
            Arc::clone(&tally),
            Arc::clone(record),
            until,
        );
    }
    // From here on each machine is in touch; then the store drops 10,000 parts at once.
    sleep_ms(5000);
    ill.store(trouble, Ordering::SeqCst);
    newest.fetch_add(10_000, Ordering::SeqCst);
    record.note(format!(
        "the store of prompts has dropped 10,000 parts; in trouble: {trouble}"
    ));
    sleep_ms(5500);
    ill.store(false, Ordering::SeqCst);
    record.note("the store of prompts is sound");
    while Instant::now() < until {
        sleep_ms(100);
    }
    sleep_ms(1500);
    Some(conclude(record, &tally, &hosts))
}

/// Engines answer polls for events with bytes that are no answer and have no end.
fn changes(record: &Arc<Record>, work: &Path, program: &Path, trouble: bool) -> Option<bool> {
    let store = Store::start();
    let tally = Arc::new(Tally::default());
    for number in 0..3 {
        sound_replica(
            &store,
            "studio",
            &format!("i-app{number}"),
            200,
            &tally,
            record,
        );
    }
    let chunk = knob("CHUNK", 1) as usize;
    let sick = knob("SICK", 6);
    let ill = Arc::new(AtomicBool::new(false));
    for number in 0..18 {
        let (listener, address) = listen();
        let (ill, noted) = (Arc::clone(&ill), Arc::clone(record));
        let born = unix_ms();
        serve(listener, move |mut stream| {
            while let Ok(Some(head)) = stream.head() {
                if stream.body(&head).is_err() {
                    return;
                }
                if head.word(1).starts_with("/v1/kv-events")
                    && number < sick
                    && ill.load(Ordering::SeqCst)
                {
                    let sent = send_without_end(&mut stream, chunk);
                    noted.note(format!(
                        "engine {number}: the caller of kv-events closed after some {sent} bytes"
                    ));
                    return;
                }
                if sound_engine(&mut stream, &head, born).is_err() {
                    return;
                }
            }
        });
        register(
            &store,
            "match",
            &format!("i-engine{number}"),
            address,
            r#"{"name":"m0","version":1,"adapters":[]}"#,
        );
    }
    let routes = [
        route(
            "book",
            "/book/",
            "unsafe",
            "studio",
            1500,
            r#""maxAttempts":1"#,
        ),
        route(
            "pair",
            "/pair/",
            "streaming",
            "match",
            15000,
            r#""maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapAimMs":300"#,
        ),
    ];
    store.write("keyed.op", "config", &config(1, &routes, &[PLAIN, ENGINE]));
    store.write("keyed.op", "version/m0", r#"{"model":"m0","version":1}"#);
    let hosts = start_hosts(3, &store, work, program, record)?;
    sleep_ms(500);
    let until = Instant::now() + Duration::from_secs(20);
    for number in 0..36 {
        kept_client(
            Arc::clone(&hosts[number % 3]),
            "/book/",
            number,
            Arc::clone(&tally),
            Arc::clone(record),
            until,
        );
    }
    sleep_ms(5000);
    ill.store(trouble, Ordering::SeqCst);
    record.note(format!(
        "{sick} of 18 engines answer kv-events without end: {trouble}"
    ));
    sleep_ms(5500);
    ill.store(false, Ordering::SeqCst);
    record.note("all engines are sound");
    while Instant::now() < until {
        sleep_ms(100);
    }
    sleep_ms(1500);
    Some(conclude(record, &tally, &hosts))
}

/// A client sends a body within the limits in small chunks.
fn chunks(record: &Arc<Record>, work: &Path, program: &Path, trouble: bool) -> Option<bool> {
    let store = Store::start();
    let tally = Arc::new(Tally::default());
    for number in 0..3 {
        sound_replica(
            &store,
            "studio",
            &format!("i-app{number}"),
            200,
            &tally,
            record,
        );
    }
    let routes = [
        route(
            "book",
            "/book/",
            "unsafe",
            "studio",
            1500,
            r#""maxAttempts":1"#,
        ),
        route(
            "file",
            "/file/",
            "unsafe",
            "studio",
            15000,
            r#""maxAttempts":1"#,
        ),
    ];
    store.write("keyed.op", "config", &config(1, &routes, &[PLAIN]));
    let hosts = start_hosts(3, &store, work, program, record)?;
    sleep_ms(500);
    let until = Instant::now() + Duration::from_secs(34);
    for number in 0..36 {
        kept_client(
            Arc::clone(&hosts[number % 3]),
            "/book/",
            number,
            Arc::clone(&tally),
            Arc::clone(record),
            until,
        );
    }
    sleep_ms(5000);
    let size = knob("SIZE", 4_000_000) as usize;
    let chunk = if trouble {
        knob("CHUNK", 1) as usize
    } else {
        65_536
    };
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    let text = one.repeat(size / chunk) + "0\r\n\r\n";
    for turn in 0..4_usize {
        let host = &hosts[turn % 3];
        record.note(format!(
            "a client sends a body of {size} bytes in chunks of {chunk} to {}",
            host.name
        ));
        if let Ok(mut stream) = Stream::connect(host.callers) {
            let head = format!(
                "POST /file/b HTTP/1.1\r\nhost: one.example\r\npapayayard-request-id: ff{turn:014x}\r\npapayayard-deadline-ms: 15000\r\nauthorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            let _ = stream
                .socket
                .set_read_timeout(Some(Duration::from_secs(15)));
            let mut sent = stream.send(head.as_bytes());
            for some in text.as_bytes().chunks(65_536) {
                sent = sent.and_then(|()| stream.send(some));
                if trouble {
                    sleep_ms(14);
                }
            }
            let got = stream.head().map(|head| head.map(|head| head.line));
            record.note(format!("the client's body: {sent:?}; its answer: {got:?}"));
        }
        sleep_ms(2000);
    }
    while Instant::now() < until {
        sleep_ms(100);
    }
    sleep_ms(1500);
    Some(conclude(record, &tally, &hosts))
}

/// Replicas state the longest time that a header can hold for connections without requests.
fn timeout(record: &Arc<Record>, work: &Path, program: &Path, trouble: bool) -> Option<bool> {
    let store = Store::start();
    let tally = Arc::new(Tally::default());
    let never = Arc::new(AtomicBool::new(false));
    for number in 0..3 {
        let (listener, address) = listen();
        let (tally, record, never) = (Arc::clone(&tally), Arc::clone(record), Arc::clone(&never));
        serve(listener, move |mut stream| {
            while let Ok(Some(head)) = stream.head() {
                let Ok(_) = stream.body(&head) else { return };
                if head.id().is_empty() {
                    let _ = stream.send(&answer(404, "", b""));
                    continue;
                }
                tally.arrived.lock().unwrap().insert(head.id().to_owned());
                record.note(format!("replica {number} runs {}", head.id()));
                sleep_ms(200);
                let is_never = number == 0 && never.load(Ordering::SeqCst);
                let seconds = if is_never { u64::MAX } else { 60 };
                let more = format!("keep-alive: timeout={seconds}\r\n");
                if stream
                    .send(&answer(200, &stamped(&head, &more), b"booked"))
                    .is_err()
                {
                    return;
                }
            }
        });
        register(&store, "studio", &format!("i-app{number}"), address, "");
    }
    let routes = [route(
        "book",
        "/book/",
        "unsafe",
        "studio",
        1500,
        r#""maxAttempts":1"#,
    )];
    store.write("keyed.op", "config", &config(1, &routes, &[PLAIN]));
    let hosts = start_hosts(3, &store, work, program, record)?;
    sleep_ms(500);
    let until = Instant::now() + Duration::from_secs(20);
    for number in 0..36 {
        kept_client(
            Arc::clone(&hosts[number % 3]),
            "/book/",
            number,
            Arc::clone(&tally),
            Arc::clone(record),
            until,
        );
    }
    sleep_ms(5000);
    never.store(trouble, Ordering::SeqCst);
    record.note(format!(
        "replica 0 states that it never closes connections: {trouble}"
    ));
    sleep_ms(5500);
    never.store(false, Ordering::SeqCst);
    record.note("replica 0 states 60 s again");
    while Instant::now() < until {
        sleep_ms(100);
    }
    sleep_ms(1500);
    Some(conclude(record, &tally, &hosts))
}
