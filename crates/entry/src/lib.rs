//! The entry process: routing and admission for callers.
