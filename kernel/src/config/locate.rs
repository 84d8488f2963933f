//! Where in a YAML text a field stands.

use std::fmt;

use derive_more::Display;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// One step on the way to a field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathStep {
    /// A field of a mapping.
    Field(Box<str>),
    /// An item of a list, from 0.
    Item(usize),
}

/// The way to a field from the top of a document; shown as `rules[3].then.class`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FieldPath(pub Vec<PathStep>);

impl FieldPath {
    /// This path with a field behind it.
    #[must_use]
    pub fn field(mut self, name: &str) -> Self {
        self.0.push(PathStep::Field(name.into()));
        self
    }

    /// This path with an item behind it.
    #[must_use]
    pub fn item(mut self, position: usize) -> Self {
        self.0.push(PathStep::Item(position));
        self
    }

    /// This path with another behind it.
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

/// A place in a text; lines and columns count from 1.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{line}:{column}")]
pub struct TextPosition {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// The place of a field, or of the innermost part of its path that the text has.
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

/// The parser knows places only in its errors, so the walk ends in one at the field looked for.
fn locate_exactly(text: &str, steps: &[PathStep]) -> Option<TextPosition> {
    let walk = PathWalk { steps };
    let error = walk
        .deserialize(serde_yaml_ng::Deserializer::from_str(text))
        .err()?;
    let location = error.location()?;
    error.to_string().contains(FOUND).then_some(TextPosition {
        line: location.line(),
        column: location.column(),
    })
}

const FOUND: &str = "the field that is looked for";

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
    fn leaf<E: Error>(&self) -> Result<(), E> {
        if self.steps.is_empty() {
            return Err(E::custom(FOUND));
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
        self.leaf()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.leaf()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.leaf()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.leaf()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.leaf()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.leaf()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.leaf()?;
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
        self.leaf()?;
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
