//! `cactusdoor bring-back`: brings a data centre back into service.

use std::io::Write;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_operator::OperatorClient;

use crate::args::BringBack;
use crate::{CommandError, Run};

impl Run for BringBack {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        let client = OperatorClient::open(self.entry);
        let accepted = client.set_data_centre(&self.data_centre, DataCentreState::In).await?;
        let revision = accepted.revision;
        writeln!(out, "data centre {} is in as of revision {revision}", self.data_centre)?;
        Ok(())
    }
}
