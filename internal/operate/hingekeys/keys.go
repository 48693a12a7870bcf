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
	"errors"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

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
	authorityName       = "swifthinge authority"
	certificateBlock    = "CERTIFICATE"
	privateKeyBlock     = "PRIVATE KEY"
	ownerOnlyMode       = 0o600
	ownerOnlyFolderMode = 0o700
	serialNumberBits    = 120
)

// Paths holds the paths of a process's PEM files.
type Paths struct {
	Authority   string
	Certificate string
	Key         string
}

// HostPaths returns the paths of the files that CreateHostCertificate writes for a host.
func HostPaths(folder string, host hingeids.HostID) Paths {
	return Paths{
		Authority:   filepath.Join(folder, "authority.pem"),
		Certificate: filepath.Join(folder, string(host)+".pem"),
		Key:         filepath.Join(folder, string(host)+".key.pem"),
	}
}

func authorityPaths(folder string) Paths {
	return HostPaths(folder, "authority")
}

// CreateAuthority creates a certificate authority in the folder, and the folder if
// it doesn't exist. Only authority.pem belongs on the hosts, authority.key.pem
// doesn't. It fails if the folder already contains an authority.
func CreateAuthority(folder string, now time.Time) error {
	if err := os.MkdirAll(folder, ownerOnlyFolderMode); err != nil {
		return eris.Wrap(err, "create key folder")
	}
	p := authorityPaths(folder)
	private, err := generateKey(p.Key)
	if err != nil {
		return err
	}
	return signAuthority(p, private, now, writeNew)
}

// RenewAuthority replaces authority.pem by one that expires later (Rule 3).
func RenewAuthority(folder string, now time.Time) error {
	p := authorityPaths(folder)
	private, err := readKey(p.Key)
	if err != nil {
		return err
	}
	return signAuthority(p, private, now, replaceFile)
}

// CreateHostCertificate creates a host's key and certificate. It fails if one of the files exists.
func CreateHostCertificate(folder string, host hingeids.HostID, now time.Time) error {
	if err := checkName(host); err != nil {
		return err
	}
	p := HostPaths(folder, host)
	private, err := generateKey(p.Key)
	if err != nil {
		return err
	}
	return signHost(folder, host, private, now, writeNew)
}

// RenewHostCertificate replaces a host's certificate by one that expires later (Rule 2).
func RenewHostCertificate(folder string, host hingeids.HostID, now time.Time) error {
	if err := checkName(host); err != nil {
		return err
	}
	private, err := readKey(HostPaths(folder, host).Key)
	if err != nil {
		return err
	}
	return signHost(folder, host, private, now, replaceFile)
}

// checkName rejects names that would place a host's files outside the folder or
// collide with the authority's files.
func checkName(host hingeids.HostID) error {
	name := string(host)
	if name == "" || name == "authority" || filepath.Base(name) != name {
		return eris.Errorf("host ID %q can't be the name of key files: it is empty, reserved or contains a path separator", host)
	}
	return nil
}

type writeFunc func(path string, block *pem.Block) error

func signAuthority(p Paths, private ed25519.PrivateKey, now time.Time, write writeFunc) error {
	template, err := newTemplate(authorityName, now, authorityValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(p.Certificate, template, template, private, private, write)
}

func signHost(folder string, host hingeids.HostID, private ed25519.PrivateKey, now time.Time, write writeFunc) error {
	p := authorityPaths(folder)
	authorityKey, err := readKey(p.Key)
	if err != nil {
		return err
	}
	authority, err := readCertificates(p.Authority)
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
	return sign(HostPaths(folder, host).Certificate, template, authority[0], private, authorityKey, write)
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
	path string, template, parent *x509.Certificate, subjectKey, signerKey ed25519.PrivateKey, write writeFunc,
) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, subjectKey.Public(), signerKey)
	if err != nil {
		return eris.Wrapf(err, "sign certificate %s", path)
	}
	return write(path, &pem.Block{
		Type:  certificateBlock,
		Bytes: der,
	})
}

func generateKey(path string) (ed25519.PrivateKey, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate private key")
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	return private, writeNew(path, &pem.Block{
		Type:  privateKeyBlock,
		Bytes: der,
	})
}

func writeNew(path string, block *pem.Block) error {
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		return eris.Errorf("%s already exists and is not overwritten", path)
	}
	return replaceFile(path, block)
}

// replaceFile atomically replaces a file by writing, syncing and renaming a
// temporary one. Without the sync, a power loss could leave an empty file, with
// which the host can't start.
func replaceFile(path string, block *pem.Block) error {
	next := path + ".next"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, ownerOnlyMode)
	if err != nil {
		return eris.Wrap(err, "create temporary key file")
	}
	err = errors.Join(pem.Encode(f, block), f.Sync(), f.Close())
	if err != nil {
		return eris.Wrapf(err, "write %s", next)
	}
	return eris.Wrap(os.Rename(next, path), "replace key file")
}
