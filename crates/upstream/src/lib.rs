//! Client of the upstream beside an agent.
