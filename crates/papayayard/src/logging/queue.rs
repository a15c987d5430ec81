//! A bounded queue of log lines before a writer that may block.
//!
//! Requests must not wait for whoever reads the log. Lines that find the queue
//! full are dropped and counted, and the next line that is written tells how
//! many.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;

/// Lines that wait for the writer.
const CAPACITY: usize = 4_096;

/// The end that lines are written to; it never blocks.
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl Queue {
    /// Starts a thread that writes to `output`.
    pub fn start<Output>(output: Output) -> io::Result<Self>
    where
        Output: Write + Send + 'static,
    {
        let (lines, receiver) = mpsc::sync_channel(CAPACITY);
        let lost = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&lost);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&receiver, output, &counted))?;
        Ok(Self { lines, lost })
    }
}

impl Write for Queue {
    /// Takes whole lines only, as the logger writes them.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is gone; a reader that has left ends it.
fn write<Output>(lines: &Receiver<Vec<u8>>, mut output: Output, lost: &AtomicU64)
where
    Output: Write,
{
    for line in lines {
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 && writeln!(output, r#"{{"message":"log lines lost","lost":{lost}}}"#).is_err()
        {
            return;
        }
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
