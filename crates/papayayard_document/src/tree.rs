//! Parses YAML text into a tree of values with line numbers.
//!
//! The tree is built from the events of the YAML library, because a decoder
//! that stops at the first fault cannot list all of them. Scalars remain text
//! until they are decoded for a particular key, so that a version `1.10` is not
//! parsed as a number.

use std::borrow::Cow;
use std::collections::HashMap;

use serde_saphyr::granit_parser::{self, Event, ScalarStyle};

use crate::fault::{Fault, List};

/// Maximum length of a text, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

type Parser<'text> = granit_parser::Parser<'text, granit_parser::StrInput<'text>>;

/// A value and its line in the text.
#[derive(Clone, Debug)]
pub struct Node {
    /// Line, starting at 1.
    pub line: usize,
    pub value: Value,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum Value {
    /// Text, a number or a boolean, kept as text.
    Scalar {
        /// Content with YAML escapes resolved.
        text: String,
        /// Whether the scalar is unquoted.
        plain: bool,
    },
    Sequence(Vec<Node>),
    /// Keys and values in source order, without duplicate keys.
    Mapping(Vec<Entry>),
}

/// A key and its value.
#[derive(Clone, Debug)]
pub struct Entry {
    pub key: String,
    /// Line of the key, starting at 1.
    pub line: usize,
    pub node: Node,
}

/// Parses a single YAML document; syntax faults are added to `faults`.
pub fn parse(text: &str, faults: &mut List) -> Option<Node> {
    if text.len() > MAX_BYTES {
        faults.push(Fault {
            line: None,
            key: String::new(),
            problem: format!("the text has {} bytes, more than {MAX_BYTES}", text.len()),
            remedy: "split the deployment or shorten the text".to_owned(),
        });
        return None;
    }
    let mut builder = Builder {
        parser: Parser::new_from_str(text),
        line: 1,
        faults,
    };
    builder.document()
}

struct Builder<'text, 'faults> {
    parser: Parser<'text>,
    line: usize,
    faults: &'faults mut List,
}

impl<'text> Builder<'text, '_> {
    fn document(&mut self) -> Option<Node> {
        while let Some(event) = self.next() {
            match event {
                Event::StreamStart => {}
                Event::DocumentStart(..) => break,
                _ => {
                    self.fault("", "the text is empty", "add the required keys");
                    return None;
                }
            }
        }
        let first = self.next()?;
        let root = self.node(first, "")?;
        while let Some(event) = self.next() {
            if matches!(event, Event::DocumentStart(..)) {
                self.fault(
                    "",
                    "a second document follows",
                    "keep only one document in the file",
                );
                return None;
            }
        }
        Some(root)
    }

    /// Returns the next event that is not a comment; `None` at the end of the text
    /// or after a syntax fault.
    fn next(&mut self) -> Option<Event<'text>> {
        loop {
            match self.parser.next_event()? {
                Ok((Event::Comment(..), _)) => {}
                Ok((event, span)) => {
                    self.line = span.start.line();
                    return Some(event);
                }
                Err(error) => {
                    self.line = error.marker().line();
                    let problem = format!("the text is not valid YAML: {error}");
                    self.fault("", &problem, "correct the text at this line");
                    return None;
                }
            }
        }
    }

    fn node(&mut self, event: Event<'text>, path: &str) -> Option<Node> {
        let line = self.line;
        let value = match event {
            Event::Scalar(text, style, anchor, tag) => {
                self.reject_anchor_and_tag(path, anchor, tag.is_some());
                scalar(text, style)
            }
            Event::SequenceStart(_, anchor, tag) => {
                self.reject_anchor_and_tag(path, anchor, tag.is_some());
                self.sequence(path)?
            }
            Event::MappingStart(_, anchor, tag) => {
                self.reject_anchor_and_tag(path, anchor, tag.is_some());
                self.mapping(path)?
            }
            Event::Alias(_) => {
                self.fault(
                    path,
                    "YAML aliases are not supported",
                    "write out the value",
                );
                scalar(Cow::Borrowed("~"), ScalarStyle::Plain)
            }
            _ => return None,
        };
        Some(Node { line, value })
    }

    fn sequence(&mut self, path: &str) -> Option<Value> {
        let mut items = Vec::new();
        loop {
            let event = self.next()?;
            if event == Event::SequenceEnd {
                return Some(Value::Sequence(items));
            }
            let path = item_path(path, items.len());
            items.push(self.node(event, &path)?);
        }
    }

    fn mapping(&mut self, path: &str) -> Option<Value> {
        let mut entries = Vec::new();
        let mut lines: HashMap<String, usize> = HashMap::new();
        loop {
            let event = self.next()?;
            if event == Event::MappingEnd {
                return Some(Value::Mapping(entries));
            }
            let line = self.line;
            let key = self.key(event, path)?;
            let path = field_path(path, &key);
            let earlier = lines.get(&key).copied();
            if let Some(earlier) = earlier {
                let problem = format!("duplicate key, first used in line {earlier}");
                self.fault(&path, &problem, "remove one of the two");
            }
            let event = self.next()?;
            let node = self.node(event, &path)?;
            if earlier.is_none() {
                lines.insert(key.clone(), line);
                entries.push(Entry { key, line, node });
            }
        }
    }

    fn key(&mut self, event: Event<'text>, path: &str) -> Option<String> {
        if let Event::Scalar(text, ..) = event {
            return Some(text.into_owned());
        }
        self.fault(
            path,
            "a key is a list or a mapping",
            "use a plain string as the key",
        );
        None
    }

    fn reject_anchor_and_tag(&mut self, path: &str, anchor: usize, tagged: bool) {
        if anchor != 0 {
            self.fault(
                path,
                "YAML anchors are not supported",
                "write out the value",
            );
        }
        if tagged {
            self.fault(path, "YAML tags are not supported", "remove the tag");
        }
    }

    fn fault(&mut self, path: &str, problem: &str, remedy: &str) {
        self.faults.push(Fault {
            line: Some(self.line),
            key: path.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

fn scalar(text: Cow<'_, str>, style: ScalarStyle) -> Value {
    Value::Scalar {
        text: text.into_owned(),
        plain: style == ScalarStyle::Plain,
    }
}

/// Returns the path of a list item.
pub(crate) fn item_path(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// Returns the path of a value in a mapping.
pub(crate) fn field_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
