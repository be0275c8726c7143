//! Selects the addresses in DNS answers, with a ledger of which client may be using which server.
//!
//! Performs no I/O and reads no clock; randomness is passed in as an argument. [`HeavyHitters`] estimates
//! the query rate of each client, [`Ledger`] the rate outstanding at each server, and [`AddressSelector`]
//! selects addresses so that no cold server gets more than the tables give it.
//! `docs/notes/0007-dns-clients.md` weighs the options.

mod choice;
mod heavy_hitters;
mod holds;
mod ledger;

pub use choice::{AddressSelector, Answer, Client, Counters, Lifetimes};
pub use heavy_hitters::HeavyHitters;
pub use holds::ExpiryWheel;
pub use ledger::Ledger;
