//! Planned stops: a node or an upstream takes nothing new and finishes what it has.
