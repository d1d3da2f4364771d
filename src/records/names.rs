//! Lists of names as text, front-coded: what a name shares with the one before is a single digit.

use crate::ranges::write_number;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Most characters that a name may share with the one before: one digit of base 36.
const MAX_SHARED_CHARACTERS: usize = 35;
/// Characters of a malformed text that an error shows.
const MAX_SHOWN_CHARACTERS: usize = 60;

/// Text that is no part of a stored value.
#[derive(Debug, thiserror::Error)]
#[error("not a stored value: {0:?}")]
pub struct MalformedText(String);

impl MalformedText {
    /// The error for this text, which is shown in part.
    pub(super) fn of(text: &str) -> Self {
        Self(text.chars().take(MAX_SHOWN_CHARACTERS).collect())
    }
}

/// Names in ascending order, each once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameList(Vec<String>);

impl NameList {
    /// The names.
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

/// Writes names without what they share with the one before.
#[derive(Default)]
pub(super) struct NameWriter<'a> {
    previous: &'a str,
}

impl<'a> NameWriter<'a> {
    pub(super) fn write(&mut self, name: &'a str, out: &mut String) {
        let pairs = self.previous.bytes().zip(name.bytes());
        let common = pairs.take_while(|(previous, next)| previous == next);
        let mut shared = common.count().min(MAX_SHARED_CHARACTERS);
        while !name.is_char_boundary(shared) {
            shared -= 1;
        }
        write_number(shared as u64, 36, out);
        for character in name[shared..].chars() {
            // What separates names and numbers cannot stand in a name.
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

/// Reads a name after the one before.
pub(super) fn read_name(previous: &str, text: &str) -> Option<String> {
    let shared = text.chars().next()?.to_digit(36)? as usize;
    let rest = text[1..].replace("%20", " ").replace("%3b", ";");
    let shared = previous.get(..shared)?;
    Some(format!("{shared}{}", rest.replace("%25", "%")))
}

/// Writes a list of names, separated by spaces.
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

/// Reads what [`write_names`] wrote.
pub(super) fn read_names(text: &str) -> Result<Vec<String>, MalformedText> {
    let mut names: Vec<String> = Vec::new();
    for part in split_nonempty(text, ' ') {
        let previous = names.last().map_or("", String::as_str);
        let name = read_name(previous, part).ok_or_else(|| MalformedText::of(part))?;
        names.push(name);
    }
    Ok(names)
}

/// The parts of a text; none of an empty one.
pub(super) fn split_nonempty(text: &str, separator: char) -> impl Iterator<Item = &str> {
    let whole = (!text.is_empty()).then_some(text);
    whole
        .into_iter()
        .flat_map(move |text| text.split(separator))
}
