//! Validation rules for names, digests and routes.

use std::collections::HashMap;

use crate::reader::{Place, Reader};

/// Maximum length of a name.
const MAX_NAME_CHARS: usize = 128;
/// Length of a BLAKE3 digest in hexadecimal.
const DIGEST_CHARS: usize = 64;
/// Maximum length of a route's path.
const MAX_PATH_CHARS: usize = 1024;
/// HTTP methods allowed in a route.
const METHODS: [(&str, &str); 7] = [
    ("GET", "GET"),
    ("HEAD", "HEAD"),
    ("POST", "POST"),
    ("PUT", "PUT"),
    ("PATCH", "PATCH"),
    ("DELETE", "DELETE"),
    ("OPTIONS", "OPTIONS"),
];

/// Decodes a name that is valid in a URL path, a header and a stream name.
pub fn name<Name>(reader: &mut Reader, place: &Place<'_>) -> Option<Name>
where
    Name: for<'text> From<&'text str>,
{
    checked_name(reader, place, "").map(Name::from)
}

/// Decodes a model's public name, which may contain `/` between its parts.
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
        "start with a letter or digit, then use only letters, digits and `._-{separators}`, \
         at most {MAX_NAME_CHARS} characters"
    );
    reader.fault(place, format!("{text:?} is not a valid name"), remedy);
    None
}

/// Decodes a BLAKE3 digest in hexadecimal.
pub fn digest(reader: &mut Reader, place: &Place<'_>) -> Option<String> {
    let text = reader.text(place)?;
    let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    if text.len() != DIGEST_CHARS || !text.chars().all(is_digit) {
        let problem = format!(
            "{} characters that are not a BLAKE3 digest",
            text.chars().count()
        );
        let remedy =
            format!("write the digest of the key's bytes as {DIGEST_CHARS} digits 0-9 a-f");
        reader.fault(place, problem, remedy);
        return None;
    }
    if text == blake3::hash(b"").to_hex().as_str() {
        reader.fault(
            place,
            "is the digest of an empty key",
            "use the digest of a non-empty key",
        );
        return None;
    }
    Some(text.to_owned())
}

/// Decodes an HTTP method.
pub fn method(reader: &mut Reader, place: &Place<'_>) -> Option<String> {
    reader.choice(place, &METHODS).map(str::to_owned)
}

/// Decodes the path of a route, relative to its service.
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
        return Err("has characters that are not allowed in a path");
    }
    let is_invalid = |segment: &str| matches!(segment, "" | "." | "..");
    if !rest.is_empty() && rest.split('/').any(is_invalid) {
        return Err("has an empty, `.` or `..` segment");
    }
    Ok(())
}

/// Checks that values are unique and stores the path of each value's first use.
#[derive(Debug)]
pub struct Unique {
    label: &'static str,
    remedy: &'static str,
    first_paths: HashMap<String, String>,
}

impl Unique {
    /// `label` is the term for the values in fault messages.
    pub fn new(label: &'static str, remedy: &'static str) -> Self {
        Self {
            label,
            remedy,
            first_paths: HashMap::new(),
        }
    }

    /// Adds a value; reports a fault if the value was added before.
    pub fn insert<Text>(&mut self, reader: &mut Reader, place: &Place<'_>, value: Text)
    where
        Text: Into<String>,
    {
        let value = value.into();
        if let Some(first) = self.first_paths.get(&value) {
            let problem = format!("the {} is already used by {first}", self.label);
            reader.fault(place, problem, self.remedy);
            return;
        }
        self.first_paths.insert(value, place.path.clone());
    }
}
