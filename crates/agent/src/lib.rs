//! The agent process: one beside each upstream.
