//! A lead in a small world: what it promises, with and without faults.

mod faults;
mod work;
mod world;
