//! The actor that receives requests from the HTTP threads and runs each as a future.

use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use cactusdoor_caller::CallerError;
use cactusdoor_caller::answer::ServiceAnswer;
use cactusdoor_caller::request::{BindingRequest, InteractiveRequest};

use super::interactive;
use super::router::RequestRouter;
use crate::binding::{BindingContext, serve_binding};
use crate::membership::MembersChanged;

/// Time between removals of rates of plans that no longer exist.
const PLAN_CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Answer to a request, or the error sent to its caller.
pub type ServeResult = Result<ServiceAnswer, CallerError>;

#[derive(Message)]
#[rtype(result = "ServeResult")]
pub struct ServeInteractive(pub InteractiveRequest);

#[derive(Message)]
#[rtype(result = "ServeResult")]
pub struct ServeBinding(pub BindingRequest);

/// Serves interactive and binding requests.
pub struct RequestActor {
    router: Rc<RequestRouter>,
    binding: Rc<BindingContext>,
}

impl RequestActor {
    #[must_use]
    pub fn new(router: Rc<RequestRouter>, binding: Rc<BindingContext>) -> Self {
        Self { router, binding }
    }
}

impl Actor for RequestActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(16_384);
        ctx.run_interval(PLAN_CLEANUP_INTERVAL, |actor, _| actor.router.drop_unknown_plans());
    }
}

impl Handler<ServeInteractive> for RequestActor {
    type Result = ResponseFuture<ServeResult>;

    fn handle(&mut self, message: ServeInteractive, _: &mut Self::Context) -> Self::Result {
        Box::pin(interactive::serve(Rc::clone(&self.router), message.0))
    }
}

impl Handler<ServeBinding> for RequestActor {
    type Result = ResponseFuture<ServeResult>;

    fn handle(&mut self, message: ServeBinding, _: &mut Self::Context) -> Self::Result {
        Box::pin(serve_binding(Rc::clone(&self.binding), message.0))
    }
}

impl Handler<MembersChanged> for RequestActor {
    type Result = ();

    fn handle(&mut self, message: MembersChanged, _: &mut Self::Context) {
        self.router.apply_change(&message.0);
    }
}
