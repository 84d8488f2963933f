//! Matches requests against the ordered rule list.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::config::spec::{RuleMatch, RuleSpec};

/// The attributes of a request that rules can match.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts<'a> {
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// The HTTP method, in capitals.
    pub method: &'a str,
    /// The model or service that the caller specified.
    pub model: &'a str,
    /// Header names, in lower case, and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// The declared body size, in bytes.
    pub bytes: u64,
    /// Whether the answer is streamed.
    pub streamed: bool,
}

/// Reason why a rule did not match a request: the first condition that did not hold.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RuleMismatch {
    /// The workspace is not in the rule's list.
    #[display("workspace is `{found}`, expected {expected}")]
    Workspace {
        /// Value of the request.
        found: Box<str>,
        /// Value that the rule requires.
        expected: Box<str>,
    },
    /// The model or service is not in the rule's list.
    #[display("model is `{found}`, expected {expected}")]
    Model {
        /// Value of the request.
        found: Box<str>,
        /// Value that the rule requires.
        expected: Box<str>,
    },
    /// The path does not begin with the rule's prefix.
    #[display("path is `{found}`, expected it to begin with `{expected}`")]
    Path {
        /// Value of the request.
        found: Box<str>,
        /// Value that the rule requires.
        expected: Box<str>,
    },
    /// The method differs from the rule's.
    #[display("method is `{found}`, expected `{expected}`")]
    Method {
        /// Value of the request.
        found: Box<str>,
        /// Value that the rule requires.
        expected: Box<str>,
    },
    /// The body is too small.
    #[display("size is {found} bytes, expected at least {expected}")]
    TooSmall {
        /// Size of the request body, in bytes.
        found: u64,
        /// Size that the rule requires, in bytes.
        expected: u64,
    },
    /// The body is too large.
    #[display("size is {found} bytes, expected at most {expected}")]
    TooLarge {
        /// Size of the request body, in bytes.
        found: u64,
        /// Size that the rule requires, in bytes.
        expected: u64,
    },
    /// The answer is streamed and the rule requires that it is not, or vice versa.
    #[display("streamed is {found}, expected {expected}")]
    Streamed {
        /// Value of the request.
        found: bool,
        /// Value that the rule requires.
        expected: bool,
    },
    /// A required header is absent or has another value.
    #[display("header `{name}` is {found}, expected `{expected}`")]
    Header {
        /// Name of the header.
        name: Box<str>,
        /// Value in the request, quoted, or `absent`.
        found: Box<str>,
        /// Value that the rule requires.
        expected: Box<str>,
    },
}

fn is_allowed(names: &[Box<str>], name: &str) -> bool {
    names.is_empty() || names.iter().any(|known| &**known == name)
}

fn quote_all(names: &[Box<str>]) -> Box<str> {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(" or ").into()
}

fn header<'a>(facts: &RequestFacts<'a>, name: &str) -> Option<&'a str> {
    facts
        .headers
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, value)| *value)
}

impl RuleMatch {
    /// Whether every given condition holds for the request.
    pub fn matches(&self, facts: &RequestFacts<'_>) -> bool {
        is_allowed(&self.workspaces, facts.workspace)
            && is_allowed(&self.models, facts.model)
            && self.method.as_deref().is_none_or(|m| m == facts.method)
            && self.streamed.is_none_or(|s| s == facts.streamed)
            && self.matches_rest(facts)
    }

    /// Whether the conditions that [`RuleIndex`] does not cover hold.
    fn matches_rest(&self, facts: &RequestFacts<'_>) -> bool {
        self.path_prefix
            .as_deref()
            .is_none_or(|prefix| facts.path.starts_with(prefix))
            && self.min_bytes.is_none_or(|least| facts.bytes >= least)
            && self.max_bytes.is_none_or(|most| facts.bytes <= most)
            && self.headers.iter().all(|(name, value)| {
                facts
                    .headers
                    .iter()
                    .any(|(n, v)| *n == &**name && *v == &**value)
            })
    }

    /// The first condition that does not hold; `None` if the rule matches.
    pub fn mismatch(&self, facts: &RequestFacts<'_>) -> Option<RuleMismatch> {
        if !is_allowed(&self.workspaces, facts.workspace) {
            return Some(RuleMismatch::Workspace {
                found: facts.workspace.into(),
                expected: quote_all(&self.workspaces),
            });
        }
        if !is_allowed(&self.models, facts.model) {
            return Some(RuleMismatch::Model {
                found: facts.model.into(),
                expected: quote_all(&self.models),
            });
        }
        self.path_mismatch(facts)
            .or_else(|| self.size_mismatch(facts))
            .or_else(|| self.header_mismatch(facts))
    }

    fn path_mismatch(&self, facts: &RequestFacts<'_>) -> Option<RuleMismatch> {
        if let Some(prefix) = &self.path_prefix
            && !facts.path.starts_with(&**prefix)
        {
            return Some(RuleMismatch::Path {
                found: facts.path.into(),
                expected: prefix.clone(),
            });
        }
        let method = self.method.as_ref()?;
        (**method != *facts.method).then(|| RuleMismatch::Method {
            found: facts.method.into(),
            expected: method.clone(),
        })
    }

    fn size_mismatch(&self, facts: &RequestFacts<'_>) -> Option<RuleMismatch> {
        let found = facts.bytes;
        if let Some(expected) = self.min_bytes.filter(|least| found < *least) {
            return Some(RuleMismatch::TooSmall { found, expected });
        }
        if let Some(expected) = self.max_bytes.filter(|most| found > *most) {
            return Some(RuleMismatch::TooLarge { found, expected });
        }
        let expected = self.streamed.filter(|wanted| *wanted != facts.streamed)?;
        let found = facts.streamed;
        Some(RuleMismatch::Streamed { found, expected })
    }

    fn header_mismatch(&self, facts: &RequestFacts<'_>) -> Option<RuleMismatch> {
        let (name, expected) = self.headers.iter().find(|(name, value)| {
            !facts
                .headers
                .iter()
                .any(|(n, v)| *n == &***name && *v == &***value)
        })?;
        let found = header(facts, name).map_or("absent".into(), |value| format!("`{value}`"));
        Some(RuleMismatch::Header {
            name: name.clone(),
            found: found.into(),
            expected: expected.clone(),
        })
    }

    /// Whether this match accepts every request that `other` accepts.
    pub fn covers(&self, other: &Self) -> bool {
        let names = |wide: &[Box<str>], narrow: &[Box<str>]| {
            wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|name| wide.contains(name)))
        };
        let path = match (&self.path_prefix, &other.path_prefix) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(wide), Some(narrow)) => narrow.starts_with(&**wide),
        };
        names(&self.workspaces, &other.workspaces)
            && names(&self.models, &other.models)
            && path
            && (self.method.is_none() || self.method == other.method)
            && (self.streamed.is_none() || self.streamed == other.streamed)
            && self.min_bytes.unwrap_or(0) <= other.min_bytes.unwrap_or(0)
            && self.max_bytes.unwrap_or(u64::MAX) >= other.max_bytes.unwrap_or(u64::MAX)
            && self
                .headers
                .iter()
                .all(|(name, value)| other.headers.get(name) == Some(value))
    }
}

/// Position of the first matching rule, found by linear search. Defines the result that
/// [`RuleIndex`] must reproduce.
pub fn first_match(rules: &[RuleSpec], facts: &RequestFacts<'_>) -> Option<usize> {
    rules.iter().position(|rule| rule.when.matches(facts))
}

type RuleSet = Box<[u64]>;

/// For each value of one field, the rules that may match: those that list it or list no value.
#[derive(Clone, Debug, Default, PartialEq)]
struct FieldIndex {
    any: RuleSet,
    named: BTreeMap<Box<str>, RuleSet>,
}

impl FieldIndex {
    fn new<'a>(rules: &'a [RuleSpec], names: impl Fn(&'a RuleMatch) -> &'a [Box<str>]) -> Self {
        let mut any = vec![0; rules.len().div_ceil(64)].into_boxed_slice();
        for (position, rule) in rules.iter().enumerate() {
            if names(&rule.when).is_empty() {
                set(&mut any, position);
            }
        }
        let mut values = BTreeMap::new();
        for (position, rule) in rules.iter().enumerate() {
            for name in names(&rule.when) {
                let rules = values.entry(name.clone()).or_insert_with(|| any.clone());
                set(rules, position);
            }
        }
        Self { any, named: values }
    }

    fn get(&self, name: &str) -> &[u64] {
        self.named.get(name).unwrap_or(&self.any)
    }
}

fn set(rules: &mut RuleSet, position: usize) {
    rules[position / 64] |= 1 << (position % 64);
}

/// Bitmap index that finds the first matching rule without evaluating each: one bit per rule and
/// field value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleIndex {
    rules: usize,
    workspaces: FieldIndex,
    models: FieldIndex,
    methods: FieldIndex,
    streamed: [RuleSet; 2],
}

impl RuleIndex {
    /// Builds the index of a rule list.
    pub fn new(rules: &[RuleSpec]) -> Self {
        let streamed = [false, true].map(|streamed| {
            let mut set_of = vec![0; rules.len().div_ceil(64)].into_boxed_slice();
            for (position, rule) in rules.iter().enumerate() {
                if rule.when.streamed.is_none_or(|wanted| wanted == streamed) {
                    set(&mut set_of, position);
                }
            }
            set_of
        });
        Self {
            rules: rules.len(),
            workspaces: FieldIndex::new(rules, |when| &when.workspaces),
            models: FieldIndex::new(rules, |when| &when.models),
            methods: FieldIndex::new(rules, |when| when.method.as_slice()),
            streamed,
        }
    }

    /// Position of the first matching rule. `rules` must be the list that the index was built from.
    pub fn first_match(&self, rules: &[RuleSpec], facts: &RequestFacts<'_>) -> Option<usize> {
        if self.rules != rules.len() {
            return first_match(rules, facts);
        }
        let workspaces = self.workspaces.get(facts.workspace);
        let models = self.models.get(facts.model);
        let methods = self.methods.get(facts.method);
        let streamed = &self.streamed[usize::from(facts.streamed)];
        for (word, streamed) in streamed.iter().enumerate() {
            let mut candidates = workspaces[word] & models[word] & methods[word] & streamed;
            while candidates != 0 {
                let position = word * 64 + candidates.trailing_zeros() as usize;
                if rules[position].when.matches_rest(facts) {
                    return Some(position);
                }
                candidates &= candidates - 1;
            }
        }
        None
    }
}
