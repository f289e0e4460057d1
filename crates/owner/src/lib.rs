//! The owner of a scheduling shard.
