//! A server with TLS serves clients that trust its certificate, and answers no unencrypted request.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use bankvalve_link::{HttpAnswer, HttpServer, ServerLimits, ServerTls};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::CertificateDer;

/// Starts a server with a self-signed certificate; returns the server and the certificate in PEM.
fn start() -> (HttpServer, String) {
    let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).unwrap();
    let certificate = made.cert.pem();
    let tls = ServerTls::from_pem(&certificate, &made.signing_key.serialize_pem()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = ServerLimits::default();
    let server = HttpServer::start_with("tls", listener, limits, Some(tls), |request| async move {
        HttpAnswer::new(200, "text/plain", request.path)
    });
    (server.unwrap(), certificate)
}

#[test]
fn trusted_certificate_is_served() {
    let (server, certificate) = start();
    let url = format!("https://{}/secret", server.address());
    let root = CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap();
    let trusted = attohttpc::get(&url).add_root_certificate(root).send();
    assert_eq!(trusted.unwrap().text().unwrap(), "/secret");
    assert!(attohttpc::get(&url).send().is_err());
}

#[test]
fn unencrypted_request_is_refused() {
    let (server, _) = start();
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream
        .write_all(b"GET /secret HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1"));
}
