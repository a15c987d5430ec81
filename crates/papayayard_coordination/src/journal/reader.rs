//! Read position in a stream, with detection of gaps.

use papayayard_wire::log;

/// Mismatch between a page of the stream and the read position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gap {
    /// Records from `from` up to but not including `to` were removed unread.
    Missed {
        /// First missed offset.
        from: log::Offset,
        /// Offset to read next.
        to: log::Offset,
    },
    /// The stream ends before the position: the log lost records.
    Rewound {
        /// End of the stream.
        end: log::Offset,
        /// Position of the reader.
        next: log::Offset,
    },
}

/// Read position in a stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    next: log::Offset,
    end: log::Offset,
}

impl Reader {
    /// Offset to read next.
    pub fn next(&self) -> log::Offset {
        self.next
    }

    /// End of the stream in the newest page.
    pub fn end(&self) -> log::Offset {
        self.end
    }

    /// Whether everything is read up to the stream's end in the newest page.
    pub fn is_caught_up(&self) -> bool {
        self.next >= self.end
    }

    pub fn seek(&mut self, next: log::Offset) {
        self.next = next;
    }

    /// Advances over a page; returns the gap before its new records, and those records.
    pub fn take<'a>(&mut self, page: &'a log::Page) -> (Option<Gap>, &'a [log::Record]) {
        self.end = page.end;
        if page.end < self.next {
            let next = self.next;
            return (
                Some(Gap::Rewound {
                    end: page.end,
                    next,
                }),
                &[],
            );
        }
        let already_read = page
            .records
            .partition_point(|record| record.offset < self.next);
        let fresh = contiguous(&page.records[already_read..]);
        let start = fresh.first().map_or(page.first, |record| record.offset);
        let gap = (start > self.next).then_some(Gap::Missed {
            from: self.next,
            to: start,
        });
        self.next = fresh
            .last()
            .map_or(self.next.max(start), |record| record.offset.next());
        (gap, fresh)
    }
}

/// The records before the first hole; the rest is read again as a new page.
fn contiguous(records: &[log::Record]) -> &[log::Record] {
    let hole = records
        .windows(2)
        .position(|pair| pair[1].offset != pair[0].offset.next());
    hole.map_or(records, |last| &records[..=last])
}
