//! Methods in two bytes: a bit for each common one, and one that says that rarer ones are listed elsewhere.

use http::Method;

use crate::Methods;

/// Methods with a bit of their own (RFC 9110 section 9.3, RFC 5789), in the order of their bits.
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
/// Every method.
const ANY: u16 = 1 << 15;
/// Methods without a bit of their own as well.
const RARE: u16 = 1 << 14;

/// A set of methods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MethodSet(u16);

impl MethodSet {
    /// The set of a route, with the methods that have no bit.
    pub fn of(methods: &Methods) -> (Self, Vec<Method>) {
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

    /// The methods again, in the order of their bits and then of `rare`.
    pub fn methods(self, rare: &[Method]) -> Methods {
        if self.0 & ANY != 0 {
            return Methods::Any;
        }
        let common = COMMON.iter().enumerate().filter(|(place, _)| self.0 & 1 << place != 0);
        Methods::Only(common.map(|(_, method)| method).chain(rare).cloned().collect())
    }

    /// Whether methods without a bit are in it.
    pub fn has_rare(self) -> bool {
        self.0 & RARE != 0
    }

    /// Whether it holds a method, as far as bits tell; `None` where the rare ones must be asked.
    pub fn allows(self, asked: AskedMethod) -> Option<bool> {
        if self.0 & (asked.0 | ANY) != 0 {
            return Some(true);
        }
        (asked.0 != 0 || !self.has_rare()).then_some(false)
    }
}

/// A request's method as its bit, or none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AskedMethod(u16);

impl AskedMethod {
    /// Of a request's method.
    pub fn of(method: &Method) -> Self {
        Self(bit(method).unwrap_or(0))
    }
}

fn bit(method: &Method) -> Option<u16> {
    let place = match *method {
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
    Some(1 << place)
}
