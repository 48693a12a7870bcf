package hingekeys

import (
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// LoadTLS loads a process's key and certificates for both ends of a link. It
// fails if a file is missing, the files don't match or a certificate has expired.
// Renewed files are loaded without a restart (Rule 4).
func LoadTLS(p Paths) (*tls.Config, error) {
	return loadTLS(p, time.Now)
}

func loadTLS(p Paths, clock func() time.Time) (*tls.Config, error) {
	k := &fileReloader{
		paths: p,
		clock: clock,
	}
	if err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection replaces the verification by crypto/tls, which would
		// keep using the authority that was loaded at the start.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current().certificate, nil
		},
	}, nil
}

type fileSet struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	versions    versions
}

// versions is compared to detect replaced files.
type versions [3]fileVersion

type fileVersion struct {
	modTime time.Time
	size    int64
}

// fileReloader holds the newest valid files and reloads them when they change.
type fileReloader struct {
	paths Paths
	clock func() time.Time
	mu    sync.Mutex
	files fileSet
}

// current returns the newest valid files. It is safe for concurrent use.
func (r *fileReloader) current() fileSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, err := readVersions(r.paths); err == nil && v != r.files.versions {
		// Files may be replaced one by one while the host is serving. If they are
		// invalid, the loaded ones stay in use until the next handshake retries.
		_ = r.load()
	}
	return r.files
}

func (r *fileReloader) load() error {
	v, err := readVersions(r.paths)
	if err != nil {
		return err
	}
	roots, err := readCertificates(r.paths.Authority)
	if err != nil {
		return err
	}
	certificate, err := loadKeyPair(r.paths)
	if err != nil {
		return err
	}
	f := fileSet{
		certificate: certificate,
		authority:   x509.NewCertPool(),
		versions:    v,
	}
	for _, c := range roots {
		f.authority.AddCert(c)
	}
	if err := f.check(certificate.Leaf, r.clock()); err != nil {
		return eris.Wrapf(err, "%s", r.paths.Certificate)
	}
	r.files = f
	return nil
}

func (r *fileReloader) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	return r.current().check(s.PeerCertificates[0], r.clock())
}

// check implements Rule 5.
func (f fileSet) check(c *x509.Certificate, now time.Time) error {
	_, err := c.Verify(x509.VerifyOptions{
		Roots:       f.authority,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err == nil {
		return nil
	}
	name := c.Subject.CommonName
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &unknown) {
		return eris.Errorf("certificate of host %q is signed by another authority", name)
	}
	if now.Before(c.NotBefore) || now.After(c.NotAfter) {
		return eris.Errorf("certificate of host %q is valid from %s to %s, and now it is %s: renew it or set the clock",
			name, formatUTC(c.NotBefore), formatUTC(c.NotAfter), formatUTC(now))
	}
	return eris.Wrapf(err, "certificate of host %q", name)
}

func formatUTC(t time.Time) string {
	return t.UTC().Format(time.RFC3339)
}

func readVersions(p Paths) (versions, error) {
	var v versions
	for i, path := range []string{p.Authority, p.Certificate, p.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return v, eris.Wrap(err, "stat key file")
		}
		v[i] = fileVersion{
			modTime: info.ModTime(),
			size:    info.Size(),
		}
	}
	return v, nil
}

func loadKeyPair(p Paths) (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s and key %s", p.Certificate, p.Key)
	}
	return &c, nil
}

func readCertificates(path string) ([]*x509.Certificate, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate file")
	}
	return parseCertificates(path, raw)
}

func parseCertificates(path string, raw []byte) ([]*x509.Certificate, error) {
	var all []*x509.Certificate
	for block, rest := pem.Decode(raw); block != nil; block, rest = pem.Decode(rest) {
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, eris.Wrapf(err, "parse certificate %s", path)
		}
		all = append(all, c)
	}
	if len(all) == 0 {
		return nil, eris.Errorf("%s contains no PEM block", path)
	}
	return all, nil
}

func parseKey(path string, raw []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, eris.Errorf("%s contains no PEM block", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrapf(err, "parse private key %s", path)
	}
	private, ok := k.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.Errorf("%s contains a private key that is not ed25519", path)
	}
	return private, nil
}
