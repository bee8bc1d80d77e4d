//! Client connections over FastCGI, on which web servers send several requests at once.

mod session;

use std::net::IpAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Collected};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Response, StatusCode, Version};
use pumicehead_fastcgi::cgi::{parse_request, put_head};
use pumicehead_fastcgi::pairs::Pair;
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use self::session::FastCgiSession;
use super::connection::DownstreamConnection;
use super::request_body::ReceivedBody;
use super::{DownstreamListener, response};
use crate::net::admission::{RequestError, RequestHead};
use crate::net::response_body::ResponseBody;

/// Size of the read buffer, and of the output that is prepared for writing at once, in bytes.
const CHUNK_BYTES: usize = 32 << 10;

impl DownstreamListener {
    /// Serves a connection until it ends.
    pub(super) async fn serve_fastcgi(
        self: &Rc<Self>,
        connection: &Rc<DownstreamConnection>,
        client_ip: IpAddr,
    ) {
        let (finished_sender, mut finished) = mpsc::unbounded_channel();
        let idle_timeout = self.options.get().idle_timeout;
        let mut session = FastCgiSession::new(self.clone(), connection.clone(), client_ip, finished_sender);
        let (mut reader, mut writer) = split(connection.stream.clone());
        let mut input = vec![0; CHUNK_BYTES];
        loop {
            session.fill_output();
            session.update_stage();
            if session.is_finished() {
                return;
            }
            let read_due = session.read_due();
            let write_due = session.write_due(idle_timeout);
            tokio::select! {
                // Requests that have been read have priority over a close by this side, and responses over further
                // reads.
                biased;
                Some(request) = finished.recv() => session.on_finished(request),
                written = writer.write(&session.output), if !session.output.is_empty() => match written {
                    Ok(count) if count > 0 => session.on_written(count),
                    _ => return,
                },
                read = reader.read(&mut input) => match read {
                    Ok(count) if count > 0 => if !session.on_input(&input[..count]) {
                        return;
                    },
                    // The client has disconnected. Its requests end with the session's tasks.
                    _ => return,
                },
                () = sleep_until(read_due.unwrap_or(write_due)), if read_due.is_some() => {
                    session.end_slow_requests().await;
                }
                // A client that does not read would keep the memory of its responses in use.
                () = sleep_until(write_due), if !session.output.is_empty() => return,
                // The connection stays open if a request has been read since it was selected as idle.
                () = connection.close.notified() => if session.server.is_idle() && !connection.keep_for_unread_request() {
                    return;
                },
            }
        }
    }

    async fn respond_fastcgi(
        &self,
        client_ip: IpAddr,
        params: &[Pair],
        body: Bytes,
        over_limit: bool,
    ) -> Vec<Bytes> {
        let read = match parse_request(params) {
            Ok(read) => read,
            Err(fault) => {
                let error = RequestError::AmbiguousTarget(fault.to_string());
                return application_output(&Method::GET, response::error(&error)).await;
            }
        };
        let head = RequestHead {
            method: &read.method,
            uri: &read.uri,
            version: Version::HTTP_11,
            headers: read.headers,
            client_ip: read.client_address.unwrap_or(client_ip),
        };
        let is_complete = read.body_length.is_none_or(|length| length == body.len() as u64);
        let response = match self.admit(head) {
            Err(error) => response::error(&error),
            Ok(_) if !is_complete => response::error(&RequestError::BodyIncomplete),
            Ok(claimed) => self.proxy(claimed, ReceivedBody::Full(body), over_limit).await,
        };
        application_output(&read.method, response).await
    }
}

/// Returns a response as the output of a FastCGI application.
async fn application_output(method: &Method, response: Response<ResponseBody>) -> Vec<Bytes> {
    let (mut head, body) = response.into_parts();
    let Ok(body) = body.collect().await.map(Collected::to_bytes) else {
        // Nothing has been sent, so a response that ended before it was complete can be replaced.
        let mut out = BytesMut::new();
        put_head(&mut out, StatusCode::BAD_GATEWAY, &HeaderMap::new());
        return vec![out.freeze()];
    };
    head.headers.remove(header::CONNECTION);
    let is_bodiless =
        *method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !is_bodiless && !head.headers.contains_key(header::CONTENT_LENGTH) {
        head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut out = BytesMut::new();
    put_head(&mut out, head.status, &head.headers);
    if is_bodiless { vec![out.freeze()] } else { vec![out.freeze(), body] }
}
