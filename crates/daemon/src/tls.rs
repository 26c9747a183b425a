//! TLS towards callers, from a certificate and a key in PEM files.

use std::{io::ErrorKind, path::Path, sync::Arc};

use rustls::{
    ServerConfig,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem, pem::PemObject},
};

/// Why a certificate and a key can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("the file can't be read: {0}")]
    File(ErrorKind),
    /// The file is not PEM.
    #[error("the file is not in PEM form")]
    Pem,
    /// The file has no certificate, or no key.
    #[error("the file has no {0} in PEM form")]
    Empty(&'static str),
    /// The key does not fit the certificate, or is of a kind not served.
    #[error("the key does not fit the certificate, or is not served")]
    Key,
}

/// The TLS that callers are served with.
#[derive(Debug, Clone)]
pub struct Tls {
    conf: Arc<ServerConfig>,
}

impl Tls {
    /// The library's settings.
    pub(crate) fn conf(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.conf)
    }
}

/// Reads a chain of certificates, the server's own first.
///
/// # Errors
///
/// [`Error`] when there is none to be read.
pub fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let found = CertificateDer::pem_file_iter(path).map_err(|it| error(&it, "certificate"))?;
    let found: Result<Vec<_>, _> = found.collect();
    let found = found.map_err(|it| error(&it, "certificate"))?;
    if found.is_empty() {
        return Err(Error::Empty("certificate"));
    }
    Ok(found)
}

/// Reads a private key.
///
/// # Errors
///
/// [`Error`] when there is none to be read.
pub fn key(path: &Path) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_file(path).map_err(|it| error(&it, "key"))
}

/// Joins a chain and its key.
///
/// # Errors
///
/// [`Error::Key`] when they don't belong together.
pub fn join(
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Tls, Error> {
    let provider = Arc::new(ring::default_provider());
    let conf = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|_| Error::Key)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|_| Error::Key)?;
    Ok(Tls {
        conf: Arc::new(conf),
    })
}

fn error(error: &pem::Error, what: &'static str) -> Error {
    match error {
        pem::Error::Io(error) => Error::File(error.kind()),
        pem::Error::NoItemsFound => Error::Empty(what),
        _ => Error::Pem,
    }
}
