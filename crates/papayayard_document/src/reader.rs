//! Decodes typed values from a YAML tree and collects every fault.
//!
//! A value that cannot be decoded yields `None` and a fault. Decoding continues
//! with the next value, so that one run reports all faults. Configuration
//! documents and the daemon's settings are decoded by the same functions.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::fault::{Fault, List};
use crate::tree;

/// Decodes values and collects the faults found on the way.
#[derive(Debug, Default)]
pub struct Reader {
    faults: List,
}

/// A value together with the path of its key.
#[derive(Clone, Debug)]
pub struct Place<'tree> {
    /// Path from the root, such as `accounts[2].id`.
    pub path: String,
    pub node: &'tree tree::Node,
}

/// Decoder for the keys of a mapping; each key is requested once.
#[derive(Debug)]
pub struct Fields<'tree> {
    place: Place<'tree>,
    entries: &'tree [tree::Entry],
    known_keys: Vec<&'static str>,
}

impl Reader {
    /// Parses a text and decodes it; returns a value only if there are no faults.
    pub fn read<Value, Decode>(text: &str, decode: Decode) -> Result<Value, Vec<Fault>>
    where
        Decode: FnOnce(&mut Self, &Place<'_>) -> Option<Value>,
    {
        let mut reader = Self::default();
        let value = tree::parse(text, &mut reader.faults).and_then(|node| {
            let place = Place {
                path: String::new(),
                node: &node,
            };
            decode(&mut reader, &place)
        });
        let faults = reader.faults.into_sorted();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }

    /// Records a fault at `place`.
    pub fn fault<Problem, Remedy>(&mut self, place: &Place<'_>, problem: Problem, remedy: Remedy)
    where
        Problem: Into<String>,
        Remedy: Into<String>,
    {
        self.faults.push(Fault {
            line: Some(place.node.line),
            key: place.path.clone(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// Starts decoding a mapping.
    pub fn fields<'tree>(&mut self, place: &Place<'tree>) -> Option<Fields<'tree>> {
        if let tree::Value::Mapping(entries) = &place.node.value {
            return Some(Fields {
                place: place.clone(),
                entries,
                known_keys: Vec::new(),
            });
        }
        self.fault(
            place,
            "is not a mapping",
            "write `key: value` lines below it",
        );
        None
    }

    /// Returns the items of a list.
    pub fn items<'tree>(&mut self, place: &Place<'tree>) -> Option<Vec<Place<'tree>>> {
        if let tree::Value::Sequence(nodes) = &place.node.value {
            let place_of = |(index, node)| Place {
                path: tree::item_path(&place.path, index),
                node,
            };
            return Some(nodes.iter().enumerate().map(place_of).collect());
        }
        self.fault(place, "is not a list", "write `- item` lines below it");
        None
    }

    /// Decodes the items of a list; items with faults are left out.
    pub fn list<Value, Decode>(
        &mut self,
        place: &Place<'_>,
        mut decode: Decode,
    ) -> Option<Vec<Value>>
    where
        Decode: FnMut(&mut Self, &Place<'_>) -> Option<Value>,
    {
        let items = self.items(place)?;
        Some(items.iter().filter_map(|item| decode(self, item)).collect())
    }

    /// Decodes the items of a list and reports a fault if the list is empty.
    pub fn nonempty_list<Value, Decode>(
        &mut self,
        place: &Place<'_>,
        decode: Decode,
    ) -> Option<Vec<Value>>
    where
        Decode: FnMut(&mut Self, &Place<'_>) -> Option<Value>,
    {
        if matches!(&place.node.value, tree::Value::Sequence(nodes) if nodes.is_empty()) {
            self.fault(place, "is an empty list", "add at least one item");
        }
        self.list(place, decode)
    }

    /// Decodes text that is not empty.
    pub fn text<'tree>(&mut self, place: &Place<'tree>) -> Option<&'tree str> {
        match &place.node.value {
            tree::Value::Scalar { text, plain } if !is_null(text, *plain) => Some(text),
            tree::Value::Scalar { .. } => {
                self.fault(place, "is empty", "write a value or remove the key");
                None
            }
            _ => {
                self.fault(place, "is a list or a mapping", "write one value");
                None
            }
        }
    }

    /// Decodes a whole number within `range`.
    pub fn number<Number>(
        &mut self,
        place: &Place<'_>,
        range: RangeInclusive<Number>,
    ) -> Option<Number>
    where
        Number: Copy + Display + PartialOrd + TryFrom<i128>,
    {
        let text = self.text(place)?;
        let remedy = format!(
            "write a whole number from {} to {}, without quotes",
            range.start(),
            range.end()
        );
        let quoted = matches!(place.node.value, tree::Value::Scalar { plain: false, .. });
        let Ok(number) = text.parse::<i128>() else {
            self.fault(place, format!("{text:?} is not a whole number"), remedy);
            return None;
        };
        if quoted {
            self.fault(place, format!("{text:?} is quoted text"), remedy);
            return None;
        }
        match Number::try_from(number) {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                self.fault(place, format!("{number} is out of range"), remedy);
                None
            }
        }
    }

    /// Decodes a duration, written as a whole number of milliseconds.
    pub fn milliseconds(
        &mut self,
        place: &Place<'_>,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.number(place, range).map(Duration::from_millis)
    }

    /// Decodes `true` or `false`.
    pub fn flag(&mut self, place: &Place<'_>) -> Option<bool> {
        self.choice(place, &[("true", true), ("false", false)])
    }

    /// Decodes one of a fixed set of names into its value.
    pub fn choice<Value>(&mut self, place: &Place<'_>, options: &[(&str, Value)]) -> Option<Value>
    where
        Value: Copy,
    {
        let text = self.text(place)?;
        let found = options.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let names: Vec<&str> = options.iter().map(|(name, _)| *name).collect();
            let remedy = format!("write one of: {}", names.join(", "));
            self.fault(place, format!("{text:?} is not an allowed value"), remedy);
        }
        found.map(|(_, value)| *value)
    }

    /// Decodes an IP address and port.
    pub fn address(&mut self, place: &Place<'_>) -> Option<SocketAddr> {
        let text = self.text(place)?;
        let address = text.parse().ok();
        if address.is_none() {
            let problem = format!("{text:?} is not a valid address");
            self.fault(
                place,
                problem,
                "write an IP address and a port, such as 10.0.0.1:8080",
            );
        }
        address
    }
}

impl<'tree> Fields<'tree> {
    /// Decodes a required key.
    pub fn required<Value, Decode>(
        &mut self,
        reader: &mut Reader,
        key: &'static str,
        decode: Decode,
    ) -> Option<Value>
    where
        Decode: FnOnce(&mut Reader, &Place<'tree>) -> Option<Value>,
    {
        if let Some(place) = self.find(key) {
            return decode(reader, &place);
        }
        let missing = Place {
            path: tree::field_path(&self.place.path, key),
            node: self.place.node,
        };
        reader.fault(&missing, "is missing", format!("add the key `{key}`"));
        None
    }

    /// Decodes an optional key; returns `default` if the key is absent.
    pub fn optional<Value, Decode>(
        &mut self,
        reader: &mut Reader,
        key: &'static str,
        default: Value,
        decode: Decode,
    ) -> Option<Value>
    where
        Decode: FnOnce(&mut Reader, &Place<'tree>) -> Option<Value>,
    {
        match self.find(key) {
            Some(place) => decode(reader, &place),
            None => Some(default),
        }
    }

    /// Returns the value of an optional key.
    pub fn find(&mut self, key: &'static str) -> Option<Place<'tree>> {
        self.known_keys.push(key);
        let entry = self.entries.iter().find(|entry| entry.key == key)?;
        Some(Place {
            path: tree::field_path(&self.place.path, key),
            node: &entry.node,
        })
    }

    /// Reports a fault for each key that was not requested.
    pub fn reject_unknown(self, reader: &mut Reader) {
        for entry in self.entries {
            if self.known_keys.contains(&entry.key.as_str()) {
                continue;
            }
            reader.faults.push(Fault {
                line: Some(entry.line),
                key: tree::field_path(&self.place.path, &entry.key),
                problem: "is an unknown key".to_owned(),
                remedy: format!("remove it, or use one of: {}", self.known_keys.join(", ")),
            });
        }
    }
}

fn is_null(text: &str, plain: bool) -> bool {
    text.is_empty() || (plain && matches!(text, "~" | "null" | "Null" | "NULL"))
}
