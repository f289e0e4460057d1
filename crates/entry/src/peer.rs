//! RPC server for owners and other entries; it forwards each call to the membership actor.

use std::io;
use std::net::SocketAddr;

use actix::prelude::*;
use cactusdoor_peer::roster::{RosterReply, RosterUpdate};
use cactusdoor_peer::wire::{MAX_FRAME_BYTES, disable_nagle};
use cactusdoor_peer::{EntryService, EntryServiceRequest, EntryServiceResponse};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

use crate::membership::{ApplyRoster, Introduce, MembershipActor};

/// Server of [`EntryService`].
#[derive(Clone)]
pub struct PeerServer {
    membership: Addr<MembershipActor>,
}

impl EntryService for PeerServer {
    async fn roster(self, _: Context, update: RosterUpdate) -> RosterReply {
        let at = update.at;
        let reply = self.membership.send(ApplyRoster(update)).await;
        // The actor stops only with the process; the owner then calls another entry.
        reply.unwrap_or_else(|_| RosterReply {
            at,
            needs_full: true,
            newer_epoch: None,
            entries: Vec::new(),
            shards: Vec::new(),
            earlier_members: Vec::new(),
            config_revision: 0,
        })
    }

    async fn introduce(self, _: Context, entry: SocketAddr) -> Vec<SocketAddr> {
        self.membership.send(Introduce(entry)).await.unwrap_or_default()
    }
}

type PeerRequest = tarpc::ClientMessage<EntryServiceRequest>;
type PeerResponse = tarpc::Response<EntryServiceResponse>;
type PeerCodec = Bincode<PeerRequest, PeerResponse>;

/// A bound listener for connections of owners and other entries.
pub struct PeerListener {
    incoming: tcp::Incoming<PeerRequest, PeerResponse, PeerCodec, fn() -> PeerCodec>,
}

impl PeerListener {
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let codec: fn() -> PeerCodec = Bincode::default;
        let mut incoming = tcp::listen(address, codec).await?;
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
        Ok(Self { incoming })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.incoming.local_addr()
    }

    /// Serves connections on the current thread until the process ends.
    pub fn serve(mut self, membership: Addr<MembershipActor>) {
        let server = PeerServer { membership };
        actix_rt::spawn(async move {
            while let Some(accepted) = self.incoming.next().await {
                match accepted {
                    Ok(transport) => {
                        if let Err(error) = disable_nagle(transport.get_ref()) {
                            log::warn!(
                                "could not disable Nagle's algorithm on a peer connection: {error}"
                            );
                        }
                        let channel = BaseChannel::with_defaults(transport);
                        let serve = channel.execute(server.clone().serve());
                        actix_rt::spawn(serve.for_each(|call| async {
                            actix_rt::spawn(call);
                        }));
                    }
                    Err(error) => log::warn!("could not accept a peer connection: {error}"),
                }
            }
        });
    }
}
