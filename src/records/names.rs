//! Front-coded text form of lists of names: the length of the prefix shared with the previous name is
//! written as one digit.

use crate::ranges::write_number;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Maximum length of the prefix shared with the previous name, bytes: the largest digit in base 36.
const MAX_SHARED_BYTES: usize = 35;
/// Maximum number of characters of a malformed text that an error shows.
const MAX_SHOWN_CHARACTERS: usize = 60;

/// Error for text that cannot be parsed as part of a stored value.
#[derive(Debug, thiserror::Error)]
#[error("not a stored value: {0:?}")]
pub struct MalformedText(String);

impl MalformedText {
    /// The error for this text, which is truncated.
    pub(super) fn new(text: &str) -> Self {
        Self(text.chars().take(MAX_SHOWN_CHARACTERS).collect())
    }
}

/// Distinct names in ascending order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameList(Vec<String>);

impl NameList {
    /// The names in ascending order, without duplicates.
    pub fn names(&self) -> &[String] {
        &self.0
    }
}

impl FromIterator<String> for NameList {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> Self {
        let mut names: Vec<String> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        Self(names)
    }
}

impl Serialize for NameList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        write_names(&self.0).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for NameList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        read_names(&text).map(Self).map_err(D::Error::custom)
    }
}

/// Writes names without the prefix that each shares with the previous one.
#[derive(Default)]
pub(super) struct NameWriter<'a> {
    previous: &'a str,
}

impl<'a> NameWriter<'a> {
    pub(super) fn write(&mut self, name: &'a str, out: &mut String) {
        let pairs = self.previous.bytes().zip(name.bytes());
        let common = pairs.take_while(|(previous, next)| previous == next);
        let mut shared = common.count().min(MAX_SHARED_BYTES);
        while !name.is_char_boundary(shared) {
            shared -= 1;
        }
        write_number(shared as u64, 36, out);
        for character in name[shared..].chars() {
            // Separators, and the escape character itself, are escaped.
            match character {
                ' ' => out.push_str("%20"),
                ';' => out.push_str("%3b"),
                '%' => out.push_str("%25"),
                other => out.push(other),
            }
        }
        self.previous = name;
    }
}

/// Parses a name, given the previous one.
pub(super) fn read_name(previous: &str, text: &str) -> Option<String> {
    let shared = text.chars().next()?.to_digit(36)? as usize;
    let rest = text[1..].replace("%20", " ").replace("%3b", ";");
    let shared = previous.get(..shared)?;
    Some(format!("{shared}{}", rest.replace("%25", "%")))
}

/// Writes a front-coded list of names, separated by spaces.
pub(super) fn write_names(list: &[String]) -> String {
    let mut out = String::new();
    let mut names = NameWriter::default();
    for name in list {
        if !out.is_empty() {
            out.push(' ');
        }
        names.write(name, &mut out);
    }
    out
}

/// Parses the output of [`write_names`].
pub(super) fn read_names(text: &str) -> Result<Vec<String>, MalformedText> {
    let mut names: Vec<String> = Vec::new();
    for part in split_nonempty(text, ' ') {
        let previous = names.last().map_or("", String::as_str);
        let name = read_name(previous, part).ok_or_else(|| MalformedText::new(part))?;
        names.push(name);
    }
    Ok(names)
}

/// Splits a text at a separator. An empty text has no parts.
pub(super) fn split_nonempty(text: &str, separator: char) -> impl Iterator<Item = &str> {
    let whole = (!text.is_empty()).then_some(text);
    whole
        .into_iter()
        .flat_map(move |text| text.split(separator))
}
