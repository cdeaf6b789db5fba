//! Makes the authority and the instances' certificates.

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

/// File of the authority's certificate, in PEM.
const AUTHORITY_FILE: &str = "authority.pem";
/// File of the authority's private key, in PEM.
const AUTHORITY_KEY_FILE: &str = "authority.key";
/// Name in the authority's certificate.
const AUTHORITY_NAME: &str = "hawthornkeel authority";
/// Access rights of a file with a private key.
const KEY_MODE: u32 = 0o600;
/// Validity of the authority's certificate.
const AUTHORITY_VALIDITY: Duration = Duration::from_secs(10 * 365 * 24 * 3600);
/// Validity of an instance's certificate.
pub const INSTANCE_VALIDITY: Duration = Duration::from_secs(365 * 24 * 3600);
/// Time before issue from which a certificate counts, so that clocks may differ.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(300);

/// Files of one instance's certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedFiles {
    /// File of the authority's certificate.
    pub authority: PathBuf,
    /// File of the instance's certificate.
    pub certificate: PathBuf,
    /// File of the instance's private key.
    pub key: PathBuf,
}

/// Time from which and until which a certificate counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Validity {
    /// First moment.
    pub from: SystemTime,
    /// Last moment.
    pub until: SystemTime,
}

impl Validity {
    /// Returns the validity of `length` from now on.
    pub fn from_now(length: Duration) -> Self {
        let now = SystemTime::now();
        Self { from: now - CLOCK_DIFFERENCE, until: now + length }
    }
}

/// Issues a certificate for `name` into `folder`, from the authority there or from a new one.
///
/// # Errors
///
/// Fails where a file can't be read or written, or where the authority's files are damaged.
pub fn issue(folder: &Path, name: &InstanceName) -> io::Result<IssuedFiles> {
    issue_with_validity(folder, name, Validity::from_now(INSTANCE_VALIDITY))
}

/// Issues a certificate like [`issue`], with the given validity.
///
/// # Errors
///
/// Fails where a file can't be read or written, or where the authority's files are damaged.
pub fn issue_with_validity(
    folder: &Path,
    name: &InstanceName,
    validity: Validity,
) -> io::Result<IssuedFiles> {
    fs::create_dir_all(folder)?;
    let issuer = authority(folder)?;
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

/// Certificate that vouches for nobody, for instances that trust each other's addresses.
pub struct SelfSigned {
    /// Certificate in DER.
    pub certificate: Vec<u8>,
    /// Private key in DER, as PKCS #8.
    pub key: Vec<u8>,
}

/// Makes a certificate and a key that last as long as the process.
///
/// Its validity spans centuries, as no clock is asked.
///
/// # Errors
///
/// Fails where no key can be made.
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

/// Returns the authority of `folder`, made anew if there is none.
fn authority(folder: &Path) -> io::Result<Issuer<'static, KeyPair>> {
    let certificate_file = folder.join(AUTHORITY_FILE);
    let key_file = folder.join(AUTHORITY_KEY_FILE);
    if !certificate_file.exists() {
        return new_authority(&certificate_file, &key_file);
    }
    let key = KeyPair::from_pem(&fs::read_to_string(key_file)?).map_err(io::Error::other)?;
    // Signing needs only the authority's name and key, and the name is always the same.
    Ok(Issuer::new(authority_params(), key))
}

fn new_authority(certificate_file: &Path, key_file: &Path) -> io::Result<Issuer<'static, KeyPair>> {
    let key = KeyPair::generate().map_err(io::Error::other)?;
    let params = authority_params();
    let certificate = params.self_signed(&key).map_err(io::Error::other)?;
    // The key goes first: a certificate without its key would stop every later call.
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
