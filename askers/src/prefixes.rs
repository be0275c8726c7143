//! Longest-prefix matching of IPv4 addresses to askers.
//!
//! A path-compressed binary trie (radix tree) in one vector: chains of nodes with a single child are merged,
//! so that a lookup visits only the nodes where prefixes branch or end.

use std::net::Ipv4Addr;

#[derive(Clone, Debug)]
struct Node {
    /// The bits from the root to this node; the remaining bits are zero.
    path: u32,
    bits: u8,
    owner: Option<u16>,
    children: [Option<u32>; 2],
}

/// Maps IPv4 prefixes to owners.
#[derive(Clone, Debug)]
pub struct PrefixTrie {
    nodes: Vec<Node>,
}

fn masked(path: u32, bits: u8) -> u32 {
    path & u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0)
}

/// The bit that follows the first `bits` bits: the child to descend to.
fn branch(path: u32, bits: u8) -> usize {
    (path >> (31 - u32::from(bits)) & 1) as usize
}

impl Default for PrefixTrie {
    fn default() -> Self {
        PrefixTrie { nodes: vec![Node { path: 0, bits: 0, owner: None, children: [None; 2] }] }
    }
}

impl PrefixTrie {
    /// Assigns a prefix of up to 32 bits to `owner`, replacing its previous owner.
    pub fn insert(&mut self, prefix: Ipv4Addr, bits: u8, owner: u16) {
        let (bits, path) = (bits.min(32), masked(prefix.into(), bits.min(32)));
        let mut current = 0;
        loop {
            if self.nodes[current].bits == bits {
                self.nodes[current].owner = Some(owner);
                return;
            }
            let side = branch(path, self.nodes[current].bits);
            let Some(next) = self.nodes[current].children[side] else {
                let leaf = self.push(Node { path, bits, owner: Some(owner), children: [None; 2] });
                self.nodes[current].children[side] = Some(leaf);
                return;
            };
            let child = &self.nodes[next as usize];
            let common = ((child.path ^ path).leading_zeros() as u8).min(child.bits).min(bits);
            if common == child.bits {
                current = next as usize;
                continue;
            }
            // The new prefix diverges from the compressed path to the child, or ends on it: split the path.
            let mut fork =
                Node { path: masked(path, common), bits: common, owner: None, children: [None; 2] };
            fork.children[branch(child.path, common)] = Some(next);
            if common == bits {
                fork.owner = Some(owner);
            } else {
                let leaf = self.push(Node { path, bits, owner: Some(owner), children: [None; 2] });
                fork.children[branch(path, common)] = Some(leaf);
            }
            let fork = self.push(fork);
            self.nodes[current].children[side] = Some(fork);
            return;
        }
    }

    fn push(&mut self, node: Node) -> u32 {
        self.nodes.push(node);
        (self.nodes.len() - 1) as u32
    }

    /// The owner of the longest matching prefix, and the number of leading bits that determine the result:
    /// every address that shares them has the same owner.
    pub fn longest_match(&self, address: Ipv4Addr) -> (Option<u16>, u8) {
        let path = u32::from(address);
        let (mut current, mut owner) = (0, self.nodes[0].owner);
        loop {
            let bits = self.nodes[current].bits;
            if bits == 32 {
                return (owner, 32);
            }
            let Some(next) = self.nodes[current].children[branch(path, bits)] else {
                let has_other_child = self.nodes[current].children.iter().any(Option::is_some);
                return (owner, bits + u8::from(has_other_child));
            };
            let child = &self.nodes[next as usize];
            let common = (child.path ^ path).leading_zeros() as u8;
            if common < child.bits {
                return (owner, common + 1);
            }
            current = next as usize;
            owner = child.owner.or(owner);
        }
    }
}
