//! FastCGI 1.0 and CGI/1.1, free of I/O: bytes in, events out, and bytes to write.
//!
//! | section of the FastCGI specification | here |
//! | --- | --- |
//! | 3.1 accepting connections, `FCGI_WEB_SERVER_ADDRS` | the host's matter |
//! | 3.3 records, ids, padding, stream and discrete records | [`record`], [`client`], [`server`] |
//! | 3.4 name-value pairs | [`pairs`] |
//! | 3.5 closing connections, `FCGI_KEEP_CONN` | [`client::Upload::begin`], [`server::Server::is_over`] |
//! | 4.1 `FCGI_GET_VALUES`, 4.2 `FCGI_UNKNOWN_TYPE` | [`client::Upload::get_values`], [`server`] |
//! | 5.1 `FCGI_BEGIN_REQUEST`, 5.2 `FCGI_PARAMS`, 5.3 byte streams, 5.4 abort, 5.5 `FCGI_END_REQUEST` | both roles |
//! | 6.2 responder | yes |
//! | 6.3 authorizer, 6.4 filter, `FCGI_DATA` | refused with `FCGI_UNKNOWN_ROLE` |
//! | 8 types and constants | [`record`] |
//!
//! [`client`] is the side of a web server, which sends requests; [`server`] is that of an application, which answers
//! them. [`cgi`] makes variables of requests and back (RFC 3875).
//!
//! Memory is bounded whatever comes in: a record holds at most 65,535 bytes and is kept as far as it has come, and
//! every sum over records has a bound in [`server::Bounds`] or [`cgi`], with an error of its own.

pub mod cgi;
pub mod client;
pub mod pairs;
pub mod record;
pub mod server;
