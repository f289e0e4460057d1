//! Which upstream a request goes to, and whether it is sent at all.
