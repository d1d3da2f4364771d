//! Listeners and the HTTP/1.1 service on them, all on the thread of the actors.
//!
//! Owns the listening sockets and the limit of open connections. Incoming connections must never use up the
//! sockets that the controller needs for its own requests.

use super::StartError;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::dev::{AppConfig, ServiceResponse};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tracing::debug;

/// Maximum number of connections that the operating system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Timeout for receiving the head of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for shutting down a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Limit of the open connections of one listener.
#[derive(Debug, Clone)]
pub(super) struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl ConnectionLimit {
    /// Allows at most `max_open` connections at a time.
    pub(super) fn new(max_open: usize) -> Self {
        Self {
            open: Rc::default(),
            max_open,
        }
    }

    /// Counts one more connection, or returns `None` if the limit is reached.
    fn try_open(&self) -> Option<ConnectionGuard> {
        let open = self.open.get();
        (open < self.max_open).then(|| {
            self.open.set(open + 1);
            ConnectionGuard(self.open.clone())
        })
    }
}

/// Guard of one open connection, which counts until the guard is dropped.
#[derive(Debug)]
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Listens on an address. Address reuse lets a restarted controller bind its address at once.
pub(super) async fn listen(addr: &str) -> Result<TcpListener, StartError> {
    let fail = |source| StartError::Listen {
        addr: addr.to_owned(),
        source,
    };
    let socket_addr: SocketAddr = addr
        .parse()
        .map_err(|e| fail(std::io::Error::new(std::io::ErrorKind::InvalidInput, e)))?;
    let socket = match socket_addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
    .map_err(fail)?;
    let _ = socket.set_reuseaddr(true);
    socket.bind(socket_addr).map_err(fail)?;
    socket.listen(LISTEN_BACKLOG).map_err(fail)
}

/// Serves one listener on this thread until the process ends.
pub(super) async fn serve<F, S, B>(
    listener: TcpListener,
    app: F,
    limit: ConnectionLimit,
) -> Result<(), StartError>
where
    F: IntoServiceFactory<S, actix_http::Request> + 'static,
    S: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = ServiceResponse<B>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    S::Service: 'static,
    S::Future: 'static,
    B: actix_web::body::MessageBody + 'static,
{
    let http = actix_http::HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(REQUEST_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1(map_config(app.into_factory(), |_| AppConfig::default()))
        .tcp();
    let service = http.new_service(()).await.map_err(|_| StartError::Http)?;
    let service = Rc::new(service);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(io_error) => {
                debug!(error = %io_error, "failed to accept a connection");
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(connection) = limit.try_open() else {
            // Dropping the stream closes it, and the load balancer tries another controller.
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        actix_rt::spawn(async move {
            if let Err(dispatch_error) = service.call(stream).await {
                debug!(error = %dispatch_error, "connection closed with an error");
            }
            drop(connection);
        });
    }
}
