//! Sends callers' requests from the HTTP threads to the actors.

use actix::prelude::*;
use cactusdoor_caller::answer::ServiceAnswer;
use cactusdoor_caller::job::{JobReceipt, JobStatus};
use cactusdoor_caller::request::{BindingRequest, InteractiveRequest};
use cactusdoor_caller::{CallerError, CallerHandler, ErrorCode, RetryAdvice};
use cactusdoor_core::job::{JobId, JobSpec};

use crate::job::{CancelJob, GetJob, JobActor, SubmitJob};
use crate::request::{RequestActor, ServeBinding, ServeInteractive};

/// Handler of the caller API.
#[derive(Clone)]
pub struct CallerApi {
    pub requests: Addr<RequestActor>,
    pub jobs: Addr<JobActor>,
}

fn actor_stopped(_: MailboxError) -> CallerError {
    let text = "this entry is stopping";
    CallerError::unknown(ErrorCode::Draining, RetryAdvice::SameKey, text)
}

impl CallerHandler for CallerApi {
    async fn interactive(&self, request: InteractiveRequest) -> Result<ServiceAnswer, CallerError> {
        self.requests.send(ServeInteractive(request)).await.map_err(actor_stopped)?
    }

    async fn binding(&self, request: BindingRequest) -> Result<ServiceAnswer, CallerError> {
        self.requests.send(ServeBinding(request)).await.map_err(actor_stopped)?
    }

    async fn submit(&self, spec: JobSpec) -> Result<JobReceipt, CallerError> {
        self.jobs.send(SubmitJob(spec)).await.map_err(actor_stopped)?
    }

    async fn job(&self, job: JobId) -> Result<JobStatus, CallerError> {
        self.jobs.send(GetJob(job)).await.map_err(actor_stopped)?
    }

    async fn cancel(&self, job: JobId) -> Result<JobReceipt, CallerError> {
        self.jobs.send(CancelJob(job)).await.map_err(actor_stopped)?
    }
}
