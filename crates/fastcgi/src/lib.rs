//! FastCGI 1.0 and CGI/1.1 without I/O: state machines that consume received bytes and produce events and bytes to
//! write.
//!
//! | section of the FastCGI specification | implemented by |
//! | --- | --- |
//! | 3.1 accepting connections, `FCGI_WEB_SERVER_ADDRS` | left to the caller |
//! | 3.3 records, ids, padding, stream and discrete records | [`record`], [`client`], [`server`] |
//! | 3.4 name-value pairs | [`pairs`] |
//! | 3.5 closing connections, `FCGI_KEEP_CONN` | [`client::Client::begin`], [`server::Server::should_close`] |
//! | 4.1 `FCGI_GET_VALUES`, 4.2 `FCGI_UNKNOWN_TYPE` | [`client::Client::get_values`], [`server`] |
//! | 5.1 `FCGI_BEGIN_REQUEST`, 5.2 `FCGI_PARAMS`, 5.3 byte streams, 5.4 abort, 5.5 `FCGI_END_REQUEST` | both roles |
//! | 6.2 responder | both roles |
//! | 6.3 authorizer, 6.4 filter, `FCGI_DATA` | refused with `FCGI_UNKNOWN_ROLE` |
//! | 8 types and constants | [`record`] |
//!
//! [`client`] is the web server's side, which sends requests; [`server`] is the application's side, which answers
//! them. [`cgi`] converts between requests and CGI variables (RFC 3875).
//!
//! Memory use is bounded for any input: the content of a record is at most 65,535 bytes and is buffered only as far as
//! it has been received, and every total over several records has a limit in [`server::Limits`] or [`cgi`], with an
//! error of its own.

pub mod cgi;
pub mod client;
pub mod pairs;
pub mod record;
pub mod server;
