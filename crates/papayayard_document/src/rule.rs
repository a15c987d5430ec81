//! Rules for names, digests and routes.

use std::collections::HashMap;

use crate::reader::{Place, Reader};

/// Most characters of a name.
const MAX_NAME_CHARS: usize = 128;
/// Characters of a BLAKE3 digest in hexadecimal.
const DIGEST_CHARS: usize = 64;
/// Most characters of a route's path.
const MAX_PATH_CHARS: usize = 1024;
/// HTTP methods that a route may name.
const METHODS: [(&str, &str); 7] = [
    ("GET", "GET"),
    ("HEAD", "HEAD"),
    ("POST", "POST"),
    ("PUT", "PUT"),
    ("PATCH", "PATCH"),
    ("DELETE", "DELETE"),
    ("OPTIONS", "OPTIONS"),
];

/// A name that can stand in a URL's path, a header and a stream's name.
pub fn name<Name>(reader: &mut Reader, place: &Place<'_>) -> Option<Name>
where
    Name: for<'text> From<&'text str>,
{
    checked_name(reader, place, "").map(Name::from)
}

/// A model's public name, in which `/` may separate parts.
pub fn model_name<Name>(reader: &mut Reader, place: &Place<'_>) -> Option<Name>
where
    Name: for<'text> From<&'text str>,
{
    checked_name(reader, place, "/").map(Name::from)
}

fn checked_name<'tree>(
    reader: &mut Reader,
    place: &Place<'tree>,
    separators: &str,
) -> Option<&'tree str> {
    let text = reader.text(place)?;
    let allowed =
        |c: char| c.is_ascii_alphanumeric() || "._-".contains(c) || separators.contains(c);
    let is_valid = text.len() <= MAX_NAME_CHARS
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed);
    if is_valid {
        return Some(text);
    }
    let remedy = format!(
        "start with a letter or digit, go on with those and any of `._-{separators}`, \
         at most {MAX_NAME_CHARS} characters"
    );
    reader.fault(place, format!("{text:?} cannot be a name"), remedy);
    None
}

/// A BLAKE3 digest in hexadecimal.
pub fn digest(reader: &mut Reader, place: &Place<'_>) -> Option<String> {
    let text = reader.text(place)?;
    let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    if text.len() != DIGEST_CHARS || !text.chars().all(is_digit) {
        let problem = format!(
            "{} characters that are no BLAKE3 digest",
            text.chars().count()
        );
        let remedy = format!("write the digest of the key's bytes, {DIGEST_CHARS} digits 0-9 a-f");
        reader.fault(place, problem, remedy);
        return None;
    }
    if text == blake3::hash(b"").to_hex().as_str() {
        reader.fault(
            place,
            "is the digest of an empty key",
            "take the digest of a real key",
        );
        return None;
    }
    Some(text.to_owned())
}

/// An HTTP method.
pub fn method(reader: &mut Reader, place: &Place<'_>) -> Option<String> {
    reader.choice(place, &METHODS).map(str::to_owned)
}

/// The path of a route below its service.
pub fn path(reader: &mut Reader, place: &Place<'_>) -> Option<String> {
    let text = reader.text(place)?;
    let Err(problem) = check_path(text) else {
        return Some(text.to_owned());
    };
    let remedy = "write segments of letters, digits and `-._~!$&'()*+,;=:@`, each after one `/`";
    reader.fault(place, format!("{text:?} {problem}"), remedy);
    None
}

fn check_path(text: &str) -> Result<(), &'static str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._~!$&'()*+,;=:@/".contains(c);
    if text.len() > MAX_PATH_CHARS {
        return Err("is too long for a path");
    }
    let Some(rest) = text.strip_prefix('/') else {
        return Err("does not start with `/`");
    };
    if !text.chars().all(allowed) {
        return Err("has characters that cannot stand in a path");
    }
    let is_invalid = |segment: &str| matches!(segment, "" | "." | "..");
    if !rest.is_empty() && rest.split('/').any(is_invalid) {
        return Err("has an empty, `.` or `..` segment");
    }
    Ok(())
}

/// Values that may stand once each.
#[derive(Debug)]
pub struct Unique {
    label: &'static str,
    remedy: &'static str,
    first_paths: HashMap<String, String>,
}

impl Unique {
    /// Starts without values; `label` names them in faults.
    pub fn new(label: &'static str, remedy: &'static str) -> Self {
        Self {
            label,
            remedy,
            first_paths: HashMap::new(),
        }
    }

    /// Adds a value, and a fault where it was there before.
    pub fn insert<Text>(&mut self, reader: &mut Reader, place: &Place<'_>, value: Text)
    where
        Text: Into<String>,
    {
        let value = value.into();
        if let Some(first) = self.first_paths.get(&value) {
            let problem = format!("the {} is that of {first} too", self.label);
            reader.fault(place, problem, self.remedy);
            return;
        }
        self.first_paths.insert(value, place.path.clone());
    }
}
