//! Client of the platform worker on a VM.
