//! TLS key and certificate of a server.

use std::fmt;
use std::sync::Arc;

use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;

/// TLS key and certificate chain of a server.
#[derive(Clone)]
pub struct ServerTls {
    pub(super) acceptor: TlsAcceptor,
}

impl fmt::Debug for ServerTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ServerTls")
    }
}

impl ServerTls {
    /// Reads a certificate chain and its private key, both in PEM.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong with the certificate or the key.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_link::ServerTls;
    ///
    /// let problem = ServerTls::from_pem("no certificate", "no key").unwrap_err();
    /// assert!(problem.contains("certificate"));
    /// ```
    pub fn from_pem(certificates: &str, key: &str) -> Result<Self, String> {
        let chain: Result<Vec<CertificateDer<'static>>, _> =
            CertificateDer::pem_slice_iter(certificates.as_bytes()).collect();
        let chain = chain.map_err(|error| format!("expected a certificate in PEM: {error}"))?;
        if chain.is_empty() {
            return Err("expected a certificate in PEM, found none".into());
        }
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes())
            .map_err(|error| format!("expected a private key in PEM: {error}"))?;
        let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| error.to_string())?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(|error| {
                format!("expected a private key that matches the certificate: {error}")
            })?;
        Ok(Self {
            acceptor: TlsAcceptor::from(Arc::new(config)),
        })
    }
}
