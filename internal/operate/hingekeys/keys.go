// Package hingekeys creates and renews the keys and certificates with which the
// project's processes authenticate each other, and loads them for the links.
//
//  1. A single certificate authority signs one certificate for each host. The
//     certificate contains only the host ID and is valid for both client and
//     server authentication.
//  2. Creation never overwrites a file. Renewal keeps the private key and
//     replaces only the certificate, by an atomic rename, so that key and
//     certificate match at any time.
//  3. A renewed authority has the same key and name. Certificates that it signed
//     before remain valid, and the new file can be rolled out host by host.
//  4. A running process checks its files at each handshake. It loads changed
//     files if they are complete and valid, and otherwise keeps the ones that it
//     loaded last.
//  5. A peer's certificate must be within its validity period and signed by the
//     authority. The link compares the host name, because it knows the expected
//     one.
package hingekeys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// authorityValidity is long because the authority's file is on every host.
	authorityValidity = 10 * 365 * 24 * time.Hour
	// hostValidity is longer than a yearly renewal interval.
	hostValidity = 400 * 24 * time.Hour
	// clockSkewMargin backdates a certificate for hosts whose clock is behind the
	// signing machine's.
	clockSkewMargin = time.Hour
)

const (
	authorityName    = "swifthinge authority"
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
	serialNumberBits = 120
)

// Paths holds the paths of a process's PEM files.
type Paths struct {
	Authority   string
	Certificate string
	Key         string
}

// HostPaths returns the paths of the files that CreateHostCertificate writes for a host.
func HostPaths(folder string, host hingeids.HostID) Paths {
	n := fileNames(string(host))
	return Paths{
		Authority:   filepath.Join(folder, n.Authority),
		Certificate: filepath.Join(folder, n.Certificate),
		Key:         filepath.Join(folder, n.Key),
	}
}

const authorityID = "authority"

// fileNames returns the names of the files of a host or of the authority.
func fileNames(id string) Paths {
	return Paths{
		Authority:   authorityID + ".pem",
		Certificate: id + ".pem",
		Key:         id + ".key.pem",
	}
}

// keyFolder is the folder in which the authority's key is.
type keyFolder struct {
	hingefolder.Directory
}

// CreateAuthority creates a certificate authority in the folder, and the folder if
// it doesn't exist. Only authority.pem belongs on the hosts, authority.key.pem
// doesn't. It fails if the folder already contains an authority.
func CreateAuthority(folder string, now time.Time) error {
	d, err := hingefolder.Open(folder)
	if err != nil {
		return err
	}
	return keyFolder{d}.createAuthority(now)
}

func (k keyFolder) createAuthority(now time.Time) error {
	private, err := k.generateKey(authorityID)
	if err != nil {
		return err
	}
	return k.signAuthority(private, now, k.writeNew)
}

// RenewAuthority replaces authority.pem by one that expires later (Rule 3).
func RenewAuthority(folder string, now time.Time) error {
	k := keyFolder{hingefolder.At(folder)}
	private, err := k.readKey(authorityID)
	if err != nil {
		return err
	}
	return k.signAuthority(private, now, k.replaceFile)
}

// CreateHostCertificate creates a host's key and certificate. It fails if one of the files exists.
func CreateHostCertificate(folder string, host hingeids.HostID, now time.Time) error {
	if err := checkName(host); err != nil {
		return err
	}
	return keyFolder{hingefolder.At(folder)}.createHost(host, now)
}

func (k keyFolder) createHost(host hingeids.HostID, now time.Time) error {
	private, err := k.generateKey(string(host))
	if err != nil {
		return err
	}
	return k.signHost(host, private, now, k.writeNew)
}

// RenewHostCertificate replaces a host's certificate by one that expires later (Rule 2).
func RenewHostCertificate(folder string, host hingeids.HostID, now time.Time) error {
	if err := checkName(host); err != nil {
		return err
	}
	return keyFolder{hingefolder.At(folder)}.renewHost(host, now)
}

func (k keyFolder) renewHost(host hingeids.HostID, now time.Time) error {
	private, err := k.readKey(string(host))
	if err != nil {
		return err
	}
	return k.signHost(host, private, now, k.replaceFile)
}

// checkName rejects names that would place a host's files outside the folder or
// collide with the authority's files.
func checkName(host hingeids.HostID) error {
	name := string(host)
	if name == "" || name == authorityID || filepath.Base(name) != name {
		return eris.Errorf("host ID %q can't be the name of key files: it is empty, reserved or contains a path separator", host)
	}
	return nil
}

type writeFunc func(name string, block *pem.Block) error

func (k keyFolder) signAuthority(private ed25519.PrivateKey, now time.Time, write writeFunc) error {
	template, err := newTemplate(authorityName, now, authorityValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(fileNames(authorityID).Certificate, template, template, private, private, write)
}

func (k keyFolder) signHost(host hingeids.HostID, private ed25519.PrivateKey, now time.Time, write writeFunc) error {
	authorityKey, err := k.readKey(authorityID)
	if err != nil {
		return err
	}
	authority, err := k.readCertificates(fileNames(authorityID).Authority)
	if err != nil {
		return err
	}
	template, err := newTemplate(string(host), now, hostValidity)
	if err != nil {
		return err
	}
	template.DNSNames = []string{string(host)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(fileNames(string(host)).Certificate, template, authority[0], private, authorityKey, write)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate certificate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: now.Add(-clockSkewMargin),
		NotAfter:  now.Add(validity),
	}, nil
}

func sign(
	name string, template, parent *x509.Certificate, subjectKey, signerKey ed25519.PrivateKey, write writeFunc,
) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, subjectKey.Public(), signerKey)
	if err != nil {
		return eris.Wrapf(err, "sign certificate %s", name)
	}
	return write(name, &pem.Block{
		Type:  certificateBlock,
		Bytes: der,
	})
}

func (k keyFolder) generateKey(id string) (ed25519.PrivateKey, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate private key")
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	return private, k.writeNew(fileNames(id).Key, &pem.Block{
		Type:  privateKeyBlock,
		Bytes: der,
	})
}

func (k keyFolder) writeNew(name string, block *pem.Block) error {
	names, err := k.List()
	if err != nil {
		return eris.Wrap(err, "list key folder")
	}
	if slices.Contains(names, name) {
		return eris.Errorf("%s already exists and is not overwritten", name)
	}
	return k.replaceFile(name, block)
}

// replaceFile replaces a file atomically. Once it returns, a power loss leaves neither an empty file nor none.
func (k keyFolder) replaceFile(name string, block *pem.Block) error {
	return eris.Wrap(hingefolder.WriteAtomically(k, name, pem.EncodeToMemory(block)), "write key file")
}

func (k keyFolder) readKey(id string) (ed25519.PrivateKey, error) {
	name := fileNames(id).Key
	raw, err := k.Read(name)
	if err != nil {
		return nil, eris.Wrap(err, "read private key file")
	}
	return parseKey(name, raw)
}

func (k keyFolder) readCertificates(name string) ([]*x509.Certificate, error) {
	raw, err := k.Read(name)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate file")
	}
	return parseCertificates(name, raw)
}
