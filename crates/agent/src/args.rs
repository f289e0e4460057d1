//! Arguments of `cactusdoor-agent`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs the agent of one VM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct AgentArgs {
    /// Settings file
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}
