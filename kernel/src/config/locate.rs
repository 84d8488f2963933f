//! Finds the position of a field in a YAML text.

use std::fmt;

use derive_more::Display;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// One step of a field path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathStep {
    /// A field of a mapping, by name.
    Field(Box<str>),
    /// An item of a list, by position from 0.
    Item(usize),
}

/// Path of a field from the top of a document; displayed as `rules[3].then.class`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FieldPath(pub Vec<PathStep>);

impl FieldPath {
    /// Appends a field to the path.
    #[must_use]
    pub fn field(mut self, name: &str) -> Self {
        self.0.push(PathStep::Field(name.into()));
        self
    }

    /// Appends a list item to the path.
    #[must_use]
    pub fn item(mut self, position: usize) -> Self {
        self.0.push(PathStep::Item(position));
        self
    }

    /// Appends another path to this one.
    #[must_use]
    pub fn join(mut self, rest: &Self) -> Self {
        self.0.extend(rest.0.iter().cloned());
        self
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Field(name) if position == 0 => write!(formatter, "{name}")?,
                PathStep::Field(name) => write!(formatter, ".{name}")?,
                PathStep::Item(item) => write!(formatter, "[{item}]")?,
            }
        }
        Ok(())
    }
}

/// A position in a text. Both parts are 0 if the position is unknown.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{line}:{column}")]
pub struct TextPosition {
    /// Line number, from 1.
    pub line: usize,
    /// Column number, from 1.
    pub column: usize,
}

/// Position of a field, or of the innermost part of its path that exists in the text; `None` if the
/// text cannot be parsed up to there.
pub fn locate(text: &str, path: &FieldPath) -> Option<TextPosition> {
    let mut steps = path.0.as_slice();
    loop {
        let found = locate_exactly(text, steps);
        if found.is_some() || steps.is_empty() {
            return found;
        }
        steps = &steps[..steps.len() - 1];
    }
}

/// Position of the field at exactly this path. The parser reports positions only in its errors, so
/// the visitor fails on purpose at the target field.
fn locate_exactly(text: &str, steps: &[PathStep]) -> Option<TextPosition> {
    let walk = PathWalk { steps };
    let error = walk
        .deserialize(serde_yaml_ng::Deserializer::from_str(text))
        .err()?;
    let location = error.location()?;
    error
        .to_string()
        .contains(TARGET_FOUND)
        .then_some(TextPosition {
            line: location.line(),
            column: location.column(),
        })
}

const TARGET_FOUND: &str = "target field reached";

struct PathWalk<'a> {
    steps: &'a [PathStep],
}

impl<'de> DeserializeSeed<'de> for PathWalk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl PathWalk<'_> {
    fn check_target<E: Error>(&self) -> Result<(), E> {
        if self.steps.is_empty() {
            return Err(E::custom(TARGET_FOUND));
        }
        Ok(())
    }
}

impl<'de> Visitor<'de> for PathWalk<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.check_target()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.check_target()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.check_target()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.check_target()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.check_target()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.check_target()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.check_target()?;
        let Some((PathStep::Item(wanted), rest)) = self.steps.split_first() else {
            while items.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        for _ in 0..*wanted {
            if items.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
        items.next_element_seed(PathWalk { steps: rest })?;
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        self.check_target()?;
        let wanted = match self.steps.split_first() {
            Some((PathStep::Field(name), rest)) => Some((&**name, rest)),
            _ => None,
        };
        while let Some(name) = fields.next_key::<String>()? {
            match wanted {
                Some((wanted, rest)) if wanted == name => {
                    fields.next_value_seed(PathWalk { steps: rest })?;
                }
                _ => {
                    fields.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }
}
