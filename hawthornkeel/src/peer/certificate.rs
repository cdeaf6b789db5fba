//! Issues the certificate authority's and the instances' certificates.

use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use hawthornkeel_core::names::InstanceName;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

/// File name of the certificate authority's certificate, in PEM.
const AUTHORITY_FILE: &str = "authority.pem";
/// File name of the certificate authority's private key, in PEM.
const AUTHORITY_KEY_FILE: &str = "authority.key";
/// Common name in the certificate authority's certificate.
const AUTHORITY_NAME: &str = "hawthornkeel authority";
/// File mode of a private key.
const KEY_MODE: u32 = 0o600;
/// Validity of the authority's certificate.
const AUTHORITY_VALIDITY: Duration = Duration::from_secs(10 * 365 * 24 * 3600);
/// Validity of an instance's certificate.
pub const INSTANCE_VALIDITY: Duration = Duration::from_secs(365 * 24 * 3600);
/// Time by which the validity starts before the issue, to tolerate clock skew between instances.
const CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Files of an instance's issued certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedFiles {
    /// Certificate of the certificate authority.
    pub authority: PathBuf,
    /// Certificate of the instance.
    pub certificate: PathBuf,
    /// Private key of the instance.
    pub key: PathBuf,
}

/// Validity period of a certificate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Validity {
    /// Start of the period.
    pub from: SystemTime,
    /// End of the period.
    pub until: SystemTime,
}

impl Validity {
    /// Returns a period that ends `length` from now and starts earlier by the tolerated clock skew.
    pub fn from_now(length: Duration) -> Self {
        let now = SystemTime::now();
        Self { from: now - CLOCK_SKEW, until: now + length }
    }
}

/// Issues a certificate for `name` into `folder`, creating the certificate authority if needed.
///
/// # Errors
///
/// Fails where a file can't be read or written or the authority's files are invalid.
pub fn issue(folder: &Path, name: &InstanceName) -> io::Result<IssuedFiles> {
    issue_with_validity(folder, name, Validity::from_now(INSTANCE_VALIDITY))
}

/// Issues a certificate as [`issue`] does, with the given validity.
///
/// # Errors
///
/// Fails where a file can't be read or written or the authority's files are invalid.
pub fn issue_with_validity(
    folder: &Path,
    name: &InstanceName,
    validity: Validity,
) -> io::Result<IssuedFiles> {
    fs::create_dir_all(folder)?;
    let issuer = load_or_create_authority(folder)?;
    let key = KeyPair::generate().map_err(io::Error::other)?;
    let certificate = instance_params(name, validity)
        .and_then(|params| params.signed_by(&key, &issuer))
        .map_err(io::Error::other)?;
    let issued = IssuedFiles {
        authority: folder.join(AUTHORITY_FILE),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    };
    fs::write(&issued.certificate, certificate.pem())?;
    write_key(&issued.key, &key)?;
    Ok(issued)
}

/// Self-signed certificate, for instances that authenticate each other by their addresses.
pub struct SelfSigned {
    /// Certificate in DER.
    pub certificate: Vec<u8>,
    /// Private key in DER, as PKCS #8.
    pub key: Vec<u8>,
}

/// Generates a certificate and a key that are kept in memory only.
///
/// The validity is the library's default of centuries, so that it doesn't depend on the clock.
///
/// # Errors
///
/// Fails where no key can be generated.
pub fn self_signed(name: &InstanceName) -> io::Result<SelfSigned> {
    let key = KeyPair::generate().map_err(io::Error::other)?;
    let params =
        CertificateParams::new(vec![name.as_str().to_owned()]).map_err(io::Error::other)?;
    let certificate = params.self_signed(&key).map_err(io::Error::other)?;
    Ok(SelfSigned { certificate: certificate.der().to_vec(), key: key.serialize_der() })
}

fn instance_params(
    name: &InstanceName,
    validity: Validity,
) -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(vec![name.as_str().to_owned()])?;
    params.not_before = validity.from.into();
    params.not_after = validity.until.into();
    params.distinguished_name.push(DnType::CommonName, name.as_str());
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    Ok(params)
}

/// Loads the certificate authority of `folder`, or creates one if there is none.
fn load_or_create_authority(folder: &Path) -> io::Result<Issuer<'static, KeyPair>> {
    let certificate_file = folder.join(AUTHORITY_FILE);
    let key_file = folder.join(AUTHORITY_KEY_FILE);
    if !certificate_file.exists() {
        return create_authority(&certificate_file, &key_file);
    }
    let key = KeyPair::from_pem(&fs::read_to_string(key_file)?).map_err(io::Error::other)?;
    // Signing needs only the authority's name, which is constant, and its key.
    Ok(Issuer::new(authority_params(), key))
}

fn create_authority(
    certificate_file: &Path,
    key_file: &Path,
) -> io::Result<Issuer<'static, KeyPair>> {
    let key = KeyPair::generate().map_err(io::Error::other)?;
    let params = authority_params();
    let certificate = params.self_signed(&key).map_err(io::Error::other)?;
    // The key is written first: a certificate without its key would make every later call fail.
    write_key(key_file, &key)?;
    fs::write(certificate_file, certificate.pem())?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> CertificateParams {
    let validity = Validity::from_now(AUTHORITY_VALIDITY);
    let mut params = CertificateParams::default();
    params.not_before = validity.from.into();
    params.not_after = validity.until.into();
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
}

fn write_key(file: &Path, key: &KeyPair) -> io::Result<()> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(KEY_MODE);
    options.open(file)?.write_all(key.serialize_pem().as_bytes())
}
