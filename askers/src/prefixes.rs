//! The asker that an address belongs to: the longest prefix that holds it.
//!
//! A binary trie in one vector, with paths of single children folded into their end, so that a look-up
//! visits only places where prefixes part.

use std::net::Ipv4Addr;

#[derive(Clone, Debug)]
struct Node {
    /// The bits from the root to here, the rest zero.
    path: u32,
    bits: u8,
    owner: Option<u16>,
    children: [Option<u32>; 2],
}

#[derive(Clone, Debug)]
pub struct PrefixTrie {
    nodes: Vec<Node>,
}

fn masked(path: u32, bits: u8) -> u32 {
    path & u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0)
}

/// The bit after the first `bits`.
fn turn(path: u32, bits: u8) -> usize {
    (path >> (31 - u32::from(bits)) & 1) as usize
}

impl Default for PrefixTrie {
    fn default() -> Self {
        PrefixTrie { nodes: vec![Node { path: 0, bits: 0, owner: None, children: [None; 2] }] }
    }
}

impl PrefixTrie {
    /// A prefix, of up to 32 bits, belongs to `owner`; one given again moves to the later owner.
    pub fn insert(&mut self, prefix: Ipv4Addr, bits: u8, owner: u16) {
        let (bits, path) = (bits.min(32), masked(prefix.into(), bits.min(32)));
        let mut at = 0;
        loop {
            if self.nodes[at].bits == bits {
                self.nodes[at].owner = Some(owner);
                return;
            }
            let side = turn(path, self.nodes[at].bits);
            let Some(next) = self.nodes[at].children[side] else {
                let leaf = self.add(Node { path, bits, owner: Some(owner), children: [None; 2] });
                self.nodes[at].children[side] = Some(leaf);
                return;
            };
            let child = &self.nodes[next as usize];
            let alike = ((child.path ^ path).leading_zeros() as u8).min(child.bits).min(bits);
            if alike == child.bits {
                at = next as usize;
                continue;
            }
            // They part, or the new one ends, on the way to the child.
            let mut fork = Node { path: masked(path, alike), bits: alike, owner: None, children: [None; 2] };
            fork.children[turn(child.path, alike)] = Some(next);
            if alike == bits {
                fork.owner = Some(owner);
            } else {
                let leaf = self.add(Node { path, bits, owner: Some(owner), children: [None; 2] });
                fork.children[turn(path, alike)] = Some(leaf);
            }
            let fork = self.add(fork);
            self.nodes[at].children[side] = Some(fork);
            return;
        }
    }

    fn add(&mut self, node: Node) -> u32 {
        self.nodes.push(node);
        (self.nodes.len() - 1) as u32
    }

    /// The owner of the longest prefix that holds the address, and the bits that decided it: no address
    /// that shares so many with this one has another owner.
    pub fn longest_match(&self, address: Ipv4Addr) -> (Option<u16>, u8) {
        let path = u32::from(address);
        let (mut at, mut owner) = (0, self.nodes[0].owner);
        loop {
            let bits = self.nodes[at].bits;
            if bits == 32 {
                return (owner, 32);
            }
            let Some(next) = self.nodes[at].children[turn(path, bits)] else {
                let parts = self.nodes[at].children.iter().any(Option::is_some);
                return (owner, bits + u8::from(parts));
            };
            let child = &self.nodes[next as usize];
            let alike = (child.path ^ path).leading_zeros() as u8;
            if alike < child.bits {
                return (owner, alike + 1);
            }
            at = next as usize;
            owner = child.owner.or(owner);
        }
    }
}
