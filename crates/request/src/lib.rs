//! The life of one request: outcomes, retries, request ids and cancels.
