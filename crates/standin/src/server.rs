//! HTTP servers of the stand-ins, each in a thread of its own.
//!
//! A stand-in has to answer while the test's thread is busy. Some faults close a
//! connection without an answer, so the server keeps the socket of each connection.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Mutex, mpsc};
use std::thread::JoinHandle;

use actix_web::dev::{Extensions, ServerHandle};
use actix_web::rt::net::TcpStream as ServerStream;
use actix_web::web::{JsonConfig, PayloadConfig, ServiceConfig, get};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use tokio::sync::OwnedSemaphorePermit;

use crate::socket::bind_listener;

/// Largest request body that a stand-in accepts; appends of large records need it.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Handle to a running server; dropping it ends the server and its connections.
pub struct RunningServer {
    address: SocketAddr,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Listens on `address`; port 0 selects a free one.
    pub fn spawn<F>(address: SocketAddr, threads: usize, configure: F) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let listener = bind_listener(address)?;
        let address = listener.local_addr()?;
        let (started, server) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                match listen(listener, threads, configure) {
                    Ok(server) => {
                        drop(started.send(Ok(server.handle())));
                        if let Err(error) = server.await {
                            log::error!("server at {address} ended: {error}");
                        }
                    }
                    Err(error) => drop(started.send(Err(error))),
                }
            });
        });
        let server = server.recv().map_err(io::Error::other)??;
        Ok(Self { address, server, thread: Some(thread) })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        // The call itself sends the stop command; the future only waits for the server to end.
        drop(self.server.stop(false));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn listen<F>(
    listener: TcpListener,
    threads: usize,
    configure: F,
) -> io::Result<actix_web::dev::Server>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let server = HttpServer::new(move || {
        App::new()
            .app_data(JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(PayloadConfig::default().limit(MAX_BODY_BYTES))
            .route("/readyz", get().to(HttpResponse::Ok))
            .configure(configure.clone())
    });
    let server = server.on_connect(store_socket).workers(threads).disable_signals();
    Ok(server.listen(listener)?.run())
}

/// Socket of a connection, through which a fault can close it.
struct ConnectionSocket(TcpStream);

/// Permit of a connection to carry requests, held until the connection closes.
#[derive(Default)]
pub struct ConnectionPermit(pub(crate) Mutex<Option<OwnedSemaphorePermit>>);

/// Stores the socket and an empty permit with each new connection.
fn store_socket(connection: &dyn std::any::Any, data: &mut Extensions) {
    data.insert(ConnectionPermit::default());
    let Some(stream) = connection.downcast_ref::<ServerStream>() else { return };
    match stream.as_fd().try_clone_to_owned() {
        Ok(socket) => drop(data.insert(ConnectionSocket(TcpStream::from(socket)))),
        Err(error) => {
            log::error!("could not duplicate a socket; faults cannot cut its connection: {error}")
        }
    }
}

/// Closes the connection of `request` at once; unsent data is lost.
pub fn cut_connection(request: &HttpRequest) {
    if let Some(socket) = request.conn_data::<ConnectionSocket>() {
        drop(socket.0.shutdown(Shutdown::Both));
    }
}
