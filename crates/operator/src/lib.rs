//! Administration interface for operators.
