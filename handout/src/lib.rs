//! Which addresses an answer gives, and a ledger of what is out there.
//!
//! No I/O, no clock; chance comes in as an argument. [`Hosts`] says what an asker is worth, [`Ledger`] what is
//! outstanding at each server, [`Handout`] chooses addresses so that no cold server gets more than the tables
//! give it. `docs/notes/0007-dns-clients.md` weighs the options.

mod choice;
mod holds;
mod hosts;
mod ledger;

pub use choice::{AddressSelector, Answer, Client, Counters, Lifetimes};
pub use holds::ExpiryWheel;
pub use hosts::HeavyHitters;
pub use ledger::Ledger;
