//! A small driver for the cores: several hosts, fake servers with a ledger, a fake platform, and
//! links that lose, delay and reorder. One seed decides everything, and the ledger of the servers
//! judges, not the program's own word.

pub mod documents;
pub mod fault;
pub mod judge;
pub mod leaf;
pub mod world;
