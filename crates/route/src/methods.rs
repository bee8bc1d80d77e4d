//! Sets of methods in two bytes: a bit for each common method, and a bit for methods that are listed
//! elsewhere.

use http::Method;

use crate::Methods;

/// Methods with a bit each (RFC 9110 section 9.3, RFC 5789), in the order of the bits.
static COMMON: [Method; 9] = [
    Method::GET,
    Method::HEAD,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
    Method::OPTIONS,
    Method::TRACE,
    Method::CONNECT,
];
/// Bit of a set with every method.
const ANY: u16 = 1 << 15;
/// Bit of a set that also has methods without a bit of their own.
const RARE: u16 = 1 << 14;

/// A set of methods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MethodSet(u16);

impl MethodSet {
    /// Encodes the methods of a route. Also returns those without a bit.
    pub fn new(methods: &Methods) -> (Self, Vec<Method>) {
        let Methods::Only(list) = methods else { return (Self(ANY), Vec::new()) };
        let mut bits = 0;
        let mut rare: Vec<Method> = Vec::new();
        for method in list {
            match bit(method) {
                Some(bit) => bits |= bit,
                None if rare.contains(method) => {}
                None => rare.push(method.clone()),
            }
        }
        if !rare.is_empty() {
            bits |= RARE;
        }
        (Self(bits), rare)
    }

    /// Decodes the set: methods in the order of their bits, followed by `rare`.
    pub fn methods(self, rare: &[Method]) -> Methods {
        if self.0 & ANY != 0 {
            return Methods::Any;
        }
        let common = COMMON.iter().enumerate().filter(|(position, _)| self.0 & 1 << position != 0);
        Methods::Only(common.map(|(_, method)| method).chain(rare).cloned().collect())
    }

    /// Whether the set has methods without a bit.
    pub fn has_rare(self) -> bool {
        self.0 & RARE != 0
    }

    /// Whether the set has a method; `None` if the bits do not decide it and the list of rare methods must be
    /// searched.
    pub fn allows(self, method: RequestMethod) -> Option<bool> {
        if self.0 & (method.0 | ANY) != 0 {
            return Some(true);
        }
        (method.0 != 0 || !self.has_rare()).then_some(false)
    }
}

/// The method of a request as its bit; 0 for a method without one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestMethod(u16);

impl RequestMethod {
    /// Encodes the method of a request.
    pub fn new(method: &Method) -> Self {
        Self(bit(method).unwrap_or(0))
    }
}

fn bit(method: &Method) -> Option<u16> {
    let position = match *method {
        Method::GET => 0,
        Method::HEAD => 1,
        Method::POST => 2,
        Method::PUT => 3,
        Method::PATCH => 4,
        Method::DELETE => 5,
        Method::OPTIONS => 6,
        Method::TRACE => 7,
        Method::CONNECT => 8,
        _ => return None,
    };
    Some(1 << position)
}
