//! `cactusdoor take-out`: takes a data centre out of service.

use std::io::Write;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_operator::OperatorClient;

use crate::args::TakeOut;
use crate::{CommandError, Run};

impl Run for TakeOut {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        let client = OperatorClient::open(self.entry);
        let accepted = client.set_data_centre(&self.data_centre, DataCentreState::Out).await?;
        let revision = accepted.revision;
        writeln!(out, "data centre {} is out as of revision {revision}", self.data_centre)?;
        Ok(())
    }
}
