//! TLS credentials of an instance, and verification of its peers' certificates.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_config::settings::Peers;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::names::InstanceName;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::HandshakeData;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::DigitallySignedStruct;
use rustls::RootCertStore;
use rustls::SignatureScheme;
use rustls::client::Resumption;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::client::verify_server_name;
use rustls::crypto::CryptoProvider;
use rustls::crypto::verify_tls12_signature;
use rustls::crypto::verify_tls13_signature;
use rustls::server::ParsedCertificate;
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::PrivatePkcs8KeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::UnixTime;
use rustls_pki_types::pem::PemObject;

use crate::peer::certificate::self_signed;

/// Protocol that two peers agree on in the TLS handshake, by the names that both offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// Frames of [`wire::VERSION`](crate::peer::wire::VERSION) only.
    Base,
    /// These frames, messages about rollouts, and log entries and snapshots that hold rollouts.
    Rollouts,
}

impl Protocol {
    /// Protocols that this build speaks, in order of preference.
    pub const ALL: [Self; 2] = [Self::Rollouts, Self::Base];

    /// Returns the name in the TLS handshake.
    fn name(self) -> &'static [u8] {
        match self {
            Self::Base => b"hawthornkeel",
            Self::Rollouts => b"hawthornkeel/rollouts",
        }
    }

    fn names(protocols: &[Self]) -> Vec<Vec<u8>> {
        protocols.iter().map(|p| p.name().to_vec()).collect()
    }

    /// Returns the protocol of an established connection.
    pub fn of(connection: &Connection) -> Self {
        let data = connection.handshake_data();
        let data = data.and_then(|d| d.downcast::<HandshakeData>().ok());
        match data.and_then(|d| d.protocol) {
            Some(name) if name == Self::Rollouts.name() => Self::Rollouts,
            _ => Self::Base,
        }
    }
}
/// Idle timeout of a connection: time without a datagram from the peer, in milliseconds.
pub const IDLE_TIMEOUT_MS: u32 = 2_000;
/// Interval between keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Round-trip time assumed before the first measurement; a lost first datagram is sent again after
/// about three times this.
const INITIAL_RTT: Duration = Duration::from_millis(30);
/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: u32 = 1_024;

/// QUIC client and server configurations of an instance.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Configuration of outgoing connections.
    pub client: ClientConfig,
    /// Configuration of incoming connections.
    pub server: ServerConfig,
}

/// Error of loading credentials.
#[derive(Debug)]
pub enum CredentialsError {
    /// The settings lack this key of section `peers`, which names a file.
    Missing(&'static str),
    /// A file can't be read or holds no valid PEM.
    File(PathBuf, rustls_pki_types::pem::Error),
    /// The certificate, the key and the certificate authority don't match, or TLS rejects them.
    Invalid(String),
}

impl fmt::Display for CredentialsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(key) => write!(f, "settings lack peers.{key}"),
            Self::File(path, e) => write!(f, "{}: {e}", path.display()),
            Self::Invalid(reason) => write!(f, "credentials are not valid: {reason}"),
        }
    }
}

impl std::error::Error for CredentialsError {}

impl From<rustls::Error> for CredentialsError {
    fn from(error: rustls::Error) -> Self {
        Self::Invalid(error.to_string())
    }
}

impl Credentials {
    /// Returns the credentials for the kind of trust that `settings` name.
    ///
    /// # Errors
    ///
    /// Fails where a file is missing or invalid or the key doesn't match the certificate.
    pub fn from_settings(settings: &Settings) -> Result<Self, CredentialsError> {
        Self::with_protocols(settings, &Protocol::ALL)
    }

    /// Returns the credentials of an instance that offers only some protocols, like an older build.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Credentials::from_settings`].
    pub fn with_protocols(
        settings: &Settings,
        protocols: &[Protocol],
    ) -> Result<Self, CredentialsError> {
        match settings.peers.trust {
            Trust::Certificates => Self::load_with(&settings.peers, protocols),
            Trust::Addresses => Self::unauthenticated(&settings.peer_name(), protocols),
        }
    }

    /// Creates credentials that encrypt without authenticating: the peers' addresses are trusted.
    fn unauthenticated(
        name: &InstanceName,
        protocols: &[Protocol],
    ) -> Result<Self, CredentialsError> {
        let generated = self_signed(name).map_err(invalid)?;
        let chain = vec![CertificateDer::from(generated.certificate)];
        let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(generated.key));
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider.clone())))
            .with_no_client_auth();
        client.alpn_protocols = Protocol::names(protocols);
        client.resumption = Resumption::disabled();
        let mut server = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])?
            .with_no_client_auth()
            .with_single_cert(chain, key)?;
        server.alpn_protocols = Protocol::names(protocols);
        server.send_tls13_tickets = 0;
        Self::with_quic(client, server)
    }

    /// Loads the files that `peers` names.
    ///
    /// # Errors
    ///
    /// Fails where a file is missing or invalid or the key doesn't match the certificate.
    pub fn load(peers: &Peers) -> Result<Self, CredentialsError> {
        Self::load_with(peers, &Protocol::ALL)
    }

    fn load_with(peers: &Peers, protocols: &[Protocol]) -> Result<Self, CredentialsError> {
        let certificate = required_path(&peers.certificate, "certificate")?;
        let key = required_path(&peers.key, "key")?;
        let authority = required_path(&peers.authority, "authority")?;
        let chain = read_certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_file(key)
            .map_err(|e| CredentialsError::File(key.to_owned(), e))?;
        let mut roots = RootCertStore::empty();
        for root in read_certificates(authority)? {
            roots.add(root)?;
        }
        Self::new(chain, key, Arc::new(roots), protocols)
    }

    fn new(
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        roots: Arc<RootCertStore>,
        protocols: &[Protocol],
    ) -> Result<Self, CredentialsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut client = client_tls(&provider, chain.clone(), key.clone_key(), roots.clone())?;
        let mut server = server_tls(&provider, chain, key, roots)?;
        client.alpn_protocols = Protocol::names(protocols);
        server.alpn_protocols = Protocol::names(protocols);
        Self::with_quic(client, server)
    }

    /// Builds the QUIC configurations from the TLS ones.
    fn with_quic(
        client: rustls::ClientConfig,
        server: rustls::ServerConfig,
    ) -> Result<Self, CredentialsError> {
        let transport = Arc::new(transport());
        let client = QuicClientConfig::try_from(client).map_err(invalid)?;
        let server = QuicServerConfig::try_from(server).map_err(invalid)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport.clone());
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport);
        Ok(Self { client, server })
    }
}

fn invalid(error: impl fmt::Display) -> CredentialsError {
    CredentialsError::Invalid(error.to_string())
}

fn required_path<'a>(
    path: &'a Option<PathBuf>,
    key: &'static str,
) -> Result<&'a Path, CredentialsError> {
    path.as_deref().ok_or(CredentialsError::Missing(key))
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, CredentialsError> {
    CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect)
        .map_err(|e| CredentialsError::File(file.to_owned(), e))
}

fn transport() -> TransportConfig {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.initial_rtt(INITIAL_RTT);
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_CALLS));
    config
}

// Session resumption is disabled: a resumed session skips the certificate check, so a peer whose
// certificate has expired could reconnect.
fn client_tls(
    provider: &Arc<CryptoProvider>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
) -> Result<rustls::ClientConfig, CredentialsError> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    config.resumption = Resumption::disabled();
    Ok(config)
}

fn server_tls(
    provider: &Arc<CryptoProvider>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
) -> Result<rustls::ServerConfig, CredentialsError> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(invalid)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    config.send_tls13_tickets = 0;
    Ok(config)
}

/// Verifier that accepts any certificate whose key signed the handshake.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// Tells whether the peer's certificate on `connection` is valid for `name`.
pub fn certificate_matches(connection: &Connection, name: &str) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    let Some(certificate) = chain.first() else { return false };
    let Ok(certificate) = ParsedCertificate::try_from(certificate) else { return false };
    let Ok(name) = ServerName::try_from(name) else { return false };
    verify_server_name(&certificate, &name).is_ok()
}
