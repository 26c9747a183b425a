//! TLS for callers, from a certificate and a key in PEM files.

use std::{io::ErrorKind, path::Path, sync::Arc};

use rustls::{
    ServerConfig,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem, pem::PemObject},
};

/// Error of a certificate or a key.
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
    /// The key does not match the certificate, or its type is not supported.
    #[error("the key does not match the certificate, or its type is not supported")]
    Key,
}

/// TLS configuration for callers.
#[derive(Debug, Clone)]
pub struct Tls {
    conf: Arc<ServerConfig>,
}

impl Tls {
    /// Configuration for `rustls`.
    pub(crate) fn conf(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.conf)
    }
}

/// Reads a certificate chain, the server's own certificate first.
///
/// # Errors
///
/// [`Error`] if the file has no readable certificate.
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
/// [`Error`] if the file has no readable key.
pub fn key(path: &Path) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_file(path).map_err(|it| error(&it, "key"))
}

/// Combines a certificate chain and its private key.
///
/// # Errors
///
/// [`Error::Key`] if the key does not belong to the certificate.
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
