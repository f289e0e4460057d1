//! The actor that takes requests over from the HTTP threads.

use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use cactusdoor_caller::CallerError;
use cactusdoor_caller::answer::ServiceAnswer;
use cactusdoor_caller::request::{BindingRequest, InteractiveRequest};

use super::core::RequestCore;
use super::interactive;
use crate::binding::{BindingCore, serve_binding};
use crate::membership::MembersChanged;

const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// Result of a request.
pub type ServeResult = Result<ServiceAnswer, CallerError>;

#[derive(Message)]
#[rtype(result = "ServeResult")]
pub struct ServeInteractive(pub InteractiveRequest);

#[derive(Message)]
#[rtype(result = "ServeResult")]
pub struct ServeBinding(pub BindingRequest);

/// Serves requests.
pub struct RequestActor {
    core: Rc<RequestCore>,
    binding: Rc<BindingCore>,
}

impl RequestActor {
    #[must_use]
    pub fn new(core: Rc<RequestCore>, binding: Rc<BindingCore>) -> Self {
        Self { core, binding }
    }
}

impl Actor for RequestActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(16_384);
        ctx.run_interval(FORGET_INTERVAL, |actor, _| actor.core.forget_plans());
    }
}

impl Handler<ServeInteractive> for RequestActor {
    type Result = ResponseFuture<ServeResult>;

    fn handle(&mut self, message: ServeInteractive, _: &mut Self::Context) -> Self::Result {
        Box::pin(interactive::serve(Rc::clone(&self.core), message.0))
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
        self.core.update(&message.0);
    }
}
