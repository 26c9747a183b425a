//! Which upstream a read goes to.
