//! Reading position in a stream.

use papayayard_wire::log;

/// What a page shows to be wrong with the position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gap {
    /// Records from `from` to before `to` are gone unread.
    Missed {
        /// First offset missed.
        from: log::Offset,
        /// Offset that is read next.
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

/// Reading position in a stream.
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

    /// End of the stream at the newest page.
    pub fn end(&self) -> log::Offset {
        self.end
    }

    /// Whether all records of the newest page's stream are read.
    pub fn is_caught_up(&self) -> bool {
        self.next >= self.end
    }

    /// Moves the position.
    pub fn seek(&mut self, next: log::Offset) {
        self.next = next;
    }

    /// Takes a page in: the gap before its records, and the records to apply.
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

/// The records up to the first hole; what follows it is read as a new page.
fn contiguous(records: &[log::Record]) -> &[log::Record] {
    let hole = records
        .windows(2)
        .position(|pair| pair[1].offset != pair[0].offset.next());
    hole.map_or(records, |last| &records[..=last])
}
