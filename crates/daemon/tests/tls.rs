//! TLS for callers, with a certificate generated for the test.

mod rig;

use std::{fs, path::PathBuf, sync::Arc};

use daemon::{
    Settings,
    settings::{Args, What},
    tls,
};
use rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed};
use rig::{Rig, run};
use rustls::{ClientConfig, RootCertStore, crypto::ring};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_postgres::config::SslMode;
use tokio_postgres_rustls::MakeRustlsConnect;

/// A certificate and a key, also as files in the test's temporary directory.
struct Files {
    certificate: PathBuf,
    key: PathBuf,
    pair: CertifiedKey<KeyPair>,
}

impl Files {
    fn make(name: &str) -> Self {
        let pair = generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).expect("a pair");
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let certificate = directory.join(format!("{name}.pem"));
        let key = directory.join(format!("{name}.key"));
        fs::write(&certificate, pair.cert.pem()).expect("a file");
        fs::write(&key, pair.signing_key.serialize_pem()).expect("a file");
        Self {
            certificate,
            key,
            pair,
        }
    }

    fn text(path: &std::path::Path) -> Option<String> {
        path.to_str().map(str::to_owned)
    }

    fn args(&self) -> Args {
        Args {
            tls_certificate: Self::text(&self.certificate),
            tls_key: Self::text(&self.key),
            ..Args::default()
        }
    }

    /// Returns a TLS connector that trusts this certificate only.
    fn connector(&self) -> MakeRustlsConnect {
        let mut roots = RootCertStore::empty();
        roots.add(self.pair.cert.der().clone()).expect("a root");
        let conf = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .expect("supported versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        MakeRustlsConnect::new(conf)
    }
}

#[test]
fn a_driver_that_requires_tls_gets_it() {
    let files = Files::make("driver");
    let rig = Rig::open_with(1, &files.args());
    run(async {
        // Callers without TLS are served as well.
        rig.connect(0, "slots").await;
        let mut conf = rig.config(0, "slots");
        conf.ssl_mode(SslMode::Require);
        let (client, connection) = conf.connect(files.connector()).await.expect("a login");
        tokio::spawn(connection);
        let big = "z".repeat(1_000_000);
        let insert = "INSERT INTO kv (key, value) VALUES ($1, $2)";
        client
            .execute(insert, &[&"a", &big])
            .await
            .expect("a write");
        let row = client
            .query_one("SELECT value FROM kv", &[])
            .await
            .expect("a row");
        assert_eq!(row.get::<_, &str>(0), big);

        let other = Files::make("other");
        assert!(conf.connect(other.connector()).await.is_err());
        conf.password("wrong");
        let refused = conf
            .connect(files.connector())
            .await
            .err()
            .expect("a refusal");
        assert_eq!(refused.code().map(|it| it.code()), Some("28P01"));
    });
}

/// Guards against injected statements: bytes that a man in the middle appends
/// to the TLS request must not be taken for the start of the encrypted session.
#[test]
fn bytes_before_the_handshake_are_refused() {
    let files = Files::make("ahead");
    let rig = Rig::open_with(1, &files.args());
    run(async {
        let mut raw = TcpStream::connect(rig.address(0))
            .await
            .expect("a connection");
        raw.write_all(&[0, 0, 0, 8, 4, 210, 22, 47, b'Q', 0])
            .await
            .expect("a write");
        let mut answer = Vec::new();
        let _ = raw.read_to_end(&mut answer).await;
        assert_eq!(answer.first(), Some(&b'E'));
        assert_eq!(pg::error_state(&answer[5..]), Some("08P01"));

        let mut raw = TcpStream::connect(rig.address(0))
            .await
            .expect("a connection");
        raw.write_all(&[0, 0, 0, 8, 4, 210, 22, 47])
            .await
            .expect("a write");
        assert_eq!(raw.read_u8().await.expect("an answer"), b'S');
        raw.write_all(b"this is no handshake")
            .await
            .expect("a write");
        let mut answer = Vec::new();
        let _ = raw.read_to_end(&mut answer).await;
        rig.connect(0, "slots").await;
    });
}

#[test]
fn faults_of_the_files_are_reported_at_startup() {
    let (files, other) = (Files::make("faults"), Files::make("faults-other"));
    let read = |certificate: Option<String>, key: Option<String>| {
        let args = Args {
            tls_certificate: certificate,
            tls_key: key,
            instance: Some("entry-1".to_owned()),
            zone: Some("nl-west-1".to_owned()),
            store: Some("127.0.0.1:2379".to_owned()),
            session_keys: Some(format!("1:{}", "5a".repeat(32))),
            peer_keys: Some(format!("1:{}", "3c".repeat(32))),
            upstream_user: Some("proxy".to_owned()),
            ..Args::default()
        };
        let faults = Settings::read(&args, &|_| None).err().unwrap_or_default();
        let faults = faults.into_iter().map(|it| (it.name, it.what));
        faults.collect::<Vec<_>>()
    };
    let (certificate, key) = (Files::text(&files.certificate), Files::text(&files.key));
    assert_eq!(read(certificate.clone(), key.clone()), []);
    assert_eq!(read(None, None), []);
    let alone = read(certificate.clone(), None);
    assert_eq!(alone, [("tls-key", What::Without("tls-certificate"))]);
    let alone = read(None, key.clone());
    assert_eq!(alone, [("tls-certificate", What::Without("tls-key"))]);
    let mixed = read(certificate.clone(), Files::text(&other.key));
    assert_eq!(mixed, [("tls-key", What::Tls(tls::Error::Key))]);
    let swapped = read(key, certificate);
    let empty = |what| What::Tls(tls::Error::Empty(what));
    let expected = [
        ("tls-certificate", empty("certificate")),
        ("tls-key", empty("key")),
    ];
    assert_eq!(swapped, expected);
    let missing = read(
        Some("nowhere.pem".to_owned()),
        Some("nowhere.key".to_owned()),
    );
    let file = || What::Tls(tls::Error::File(std::io::ErrorKind::NotFound));
    assert_eq!(missing, [("tls-certificate", file()), ("tls-key", file())]);
}
