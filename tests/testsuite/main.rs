//! Integration tests, one file a promise or feature. Those that say so run the program's own
//! processes.

mod lasting;
mod ownership;
mod path;
mod support;
