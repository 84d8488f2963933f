//! Nodes.
