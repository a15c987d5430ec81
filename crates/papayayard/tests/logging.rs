//! A reader of the log that does not read costs lines, and no request's time.

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};

use papayayard::logging::queue::Queue;

/// An output that blocks until it is told to go on.
struct Blocked {
    go_on: Receiver<()>,
    written: Sender<String>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.go_on.recv().is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let text = String::from_utf8_lossy(bytes).into_owned();
        if self.written.send(text).is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_burst_before_a_blocked_reader_loses_lines_and_counts_them() {
    let (go_on, blocked) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let mut queue = Queue::start(Blocked {
        go_on: blocked,
        written,
    })
    .expect("a queue");
    let burst = 20_000;
    let started = Instant::now();
    for number in 0..burst {
        writeln!(queue, "line {number}").expect("a line is taken or dropped");
    }
    assert!(started.elapsed() < Duration::from_secs(5), "nothing waits");

    for _ in 0..burst {
        go_on.send(()).expect("a writer");
    }
    drop(queue);
    let written: Vec<String> = lines.iter().collect();
    let told = written.iter().find(|line| line.contains("log lines lost"));
    assert!(told.is_some(), "the loss is told");
    assert!(written.len() < burst);
}
