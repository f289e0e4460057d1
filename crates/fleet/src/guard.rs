//! Server of callers' connections, within the limits of connections.
//!
//! A connection above a limit takes the place of one that waits for its client; if none does, it
//! is answered without reading its request.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Protocol};
use actix_rt::Arbiter;
use actix_service::{Service, ServiceFactory as _, ServiceFactoryExt as _, map_config};
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::http::ConnectionType;
use actix_web::web::ServiceConfig;
use actix_web::{App, Error};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::body::DeclaredBody;
use crate::connection::{Connection, GuardedStream};
use crate::connection_table::{CallerConnection, ConnectionTable, ServedAddress};
use crate::limits::ClientLimits;
use crate::rejections::Rejections;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after an accept that failed, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a refused connection stays open, so that its client can read the answer.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Refused connections that are open at once; further ones are closed without an answer.
const REFUSALS: usize = 32;
/// Interval of the checks whether all connections have ended.
const STOP_PAUSE: Duration = Duration::from_millis(50);
/// Answer to a connection above a limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// An address to listen at.
pub struct GuardedAddress {
    pub address: SocketAddr,
    pub kind: ServedAddress,
}

/// Adds the handlers of a server.
pub type ConfigureApp = Arc<dyn Fn(&mut ServiceConfig) + Send + Sync>;

/// Handlers and limits of a server.
#[derive(Clone)]
pub struct GuardContext {
    pub configure: ConfigureApp,
    pub limits: ClientLimits,
    pub rejections: Rejections,
}

/// Stops servers; waits for the requests in progress.
pub struct GuardHandle {
    stop: watch::Sender<bool>,
    ended: mpsc::Receiver<()>,
}

impl GuardHandle {
    /// Accepts no more connections, and waits up to `grace` for those in progress.
    pub async fn stop(mut self, grace: Duration) {
        self.stop.send_replace(true);
        if tokio::time::timeout(grace, self.ended.recv()).await.is_err() {
            log::warn!("connections of callers did not end in time");
        }
    }
}

/// Starts a thread for each group of addresses.
pub fn serve(groups: Vec<(GuardContext, Vec<GuardedAddress>)>) -> io::Result<GuardHandle> {
    let (stop, stopping) = watch::channel(false);
    let (running, ended) = mpsc::channel(1);
    for (context, addresses) in groups {
        let listeners = addresses.into_iter().map(|GuardedAddress { address, kind }| {
            listen(address).map(|listener| (listener, kind)).map_err(|error| {
                io::Error::new(error.kind(), format!("could not listen at {address}: {error}"))
            })
        });
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let (stopping, running) = (stopping.clone(), running.clone());
        Arbiter::new().spawn_fn(move || {
            for (listener, kind) in listeners {
                let (context, stopping) = (context.clone(), stopping.clone());
                let running = running.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = run(context, listener, kind, stopping).await {
                        log::error!("a server has ended: {error}");
                    }
                    drop(running);
                });
            }
        });
    }
    Ok(GuardHandle { stop, ended })
}

fn listen(address: SocketAddr) -> io::Result<StdListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

async fn run(
    context: GuardContext,
    listener: StdListener,
    kind: ServedAddress,
    mut stopping: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let GuardContext { configure, limits, rejections } = context;
    let table = Rc::new(ConnectionTable::default());
    let app = App::new().configure(|config| configure(config)).wrap_fn(track_request);
    let app = map_config(app, |()| AppConfig::default());
    let app = app.map_err(|error: Error| error.error_response());
    let known = Rc::clone(&table);
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(REFUSAL_TIME)
        .on_connect_ext(move |stream: &GuardedStream, data| {
            let (connection, table) = (Rc::clone(&stream.connection), Rc::clone(&known));
            data.insert(CallerConnection { connection, table, address: kind });
        })
        .finish(app);
    let service = service.new_service(()).await;
    let service = Rc::new(service.map_err(|()| io::Error::other("could not start the server"))?);
    let refusals = Rc::new(());
    loop {
        let (stream, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("could not accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = requested(&mut stopping) => break,
        };
        if let Some(cause) = table.find_excess(peer.ip(), &limits) {
            rejections.record(cause, peer.ip());
            refuse(stream, &refusals);
            continue;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("could not set up a connection: {error}");
        }
        let connection = Connection::open(peer.ip(), limits);
        let entry = TableEntry::open(Rc::clone(&table), Rc::clone(&connection));
        let stream = GuardedStream::new(stream, Rc::clone(&connection));
        let handled = service.call((stream, Protocol::Http1, Some(peer)));
        let rejections = rejections.clone();
        actix_rt::spawn(async move {
            if let Err(error) = handled.await {
                log::debug!("a connection has ended: {error}");
            }
            drop(entry);
            if let Some(cause) = connection.cause() {
                rejections.record(cause, connection.peer);
            }
        });
    }
    drop(listener);
    while !table.is_empty() {
        table.end_all();
        tokio::time::sleep(STOP_PAUSE).await;
    }
    Ok(())
}

/// Place of an open connection in the table; given back also if a handler panics.
struct TableEntry {
    table: Rc<ConnectionTable>,
    number: u64,
}

impl TableEntry {
    fn open(table: Rc<ConnectionTable>, connection: Rc<Connection>) -> Self {
        let number = table.insert(connection);
        Self { table, number }
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.remove(self.number);
    }
}

/// Waits until the server is to stop; forever if its handle was dropped.
async fn requested(stopping: &mut watch::Receiver<bool>) {
    if stopping.wait_for(|stop| *stop).await.is_err() {
        std::future::pending().await
    }
}

/// Tells the connection when a request is handled, and closes it if the body was not read.
fn track_request<B, S>(
    request: ServiceRequest,
    service: &S,
) -> impl Future<Output = Result<ServiceResponse<B>, Error>> + use<B, S>
where
    S: Service<ServiceRequest, Response = ServiceResponse<B>, Error = Error>,
{
    let caller = request.conn_data::<CallerConnection>().cloned();
    if let Some(caller) = &caller {
        caller.connection.begin(DeclaredBody::of(request.headers()) != DeclaredBody::Empty);
    }
    let answered = service.call(request);
    async move {
        let mut answer = answered.await;
        if caller.is_some_and(|caller| caller.connection.finish())
            && let Ok(response) = &mut answer
        {
            response.response_mut().head_mut().set_connection_type(ConnectionType::Close);
        }
        answer
    }
}

/// Answers a connection above a limit without reading its request.
fn refuse(stream: TcpStream, refusals: &Rc<()>) {
    if Rc::strong_count(refusals) > REFUSALS {
        return;
    }
    let refusal = Rc::clone(refusals);
    actix_rt::spawn(async move {
        let closed = tokio::time::timeout(REFUSAL_TIME, discard(stream)).await;
        if let Ok(Err(error)) = closed {
            log::debug!("a refused connection has ended: {error}");
        }
        drop(refusal);
    });
}

/// Sends the refusal and discards what the client has sent: a reset would discard the refusal.
async fn discard(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(TOO_MANY_CONNECTIONS).await?;
    stream.shutdown().await?;
    let mut block = [0; 4096];
    while stream.read(&mut block).await? > 0 {}
    Ok(())
}
