package hingelink

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// peerName returns the host ID in the peer's verified certificate, or "" if there is none.
func peerName(s tls.ConnectionState) hingeids.HostID {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) == 0 {
		return ""
	}
	return hingeids.HostID(s.PeerCertificates[0].DNSNames[0])
}

// ownName returns the host ID in the own certificate, or "" if there is none. It
// is checked at startup: otherwise each peer would reject the connection, which
// looks like a network failure.
func ownName(t *tls.Config) hingeids.HostID {
	var own *tls.Certificate
	if t.GetCertificate != nil {
		own, _ = t.GetCertificate(&tls.ClientHelloInfo{})
	} else if len(t.Certificates) > 0 {
		own = &t.Certificates[0]
	}
	if own == nil || len(own.Certificate) == 0 {
		return ""
	}
	leaf, err := x509.ParseCertificate(own.Certificate[0])
	if err != nil || len(leaf.DNSNames) == 0 {
		return ""
	}
	return hingeids.HostID(leaf.DNSNames[0])
}

// dialTLS accepts only the certificate of one host. Rule 5.
func (q *QUIC) dialTLS(host hingeids.HostID) *tls.Config {
	return q.withNameCheck(func(name hingeids.HostID) error {
		if name == host {
			return nil
		}
		return eris.Errorf("certificate is for host %q, want %q", name, host)
	})
}

// acceptTLS accepts the certificate of any peer. Rule 5.
func (q *QUIC) acceptTLS() *tls.Config {
	return q.withNameCheck(func(name hingeids.HostID) error {
		if q.findOrAddPeer(name) != nil {
			return nil
		}
		return eris.Errorf("certificate is for host %q, which is not a peer", name)
	})
}

// withNameCheck checks the host ID after the configured verification of the
// chain. The ID is compared byte for byte and not by crypto/tls, since it isn't a
// DNS name and wildcards must not match it.
func (q *QUIC) withNameCheck(check func(hingeids.HostID) error) *tls.Config {
	t := q.config.TLS.Clone()
	verifyChain := t.VerifyConnection
	t.NextProtos = []string{protocolName}
	t.MinVersion = tls.VersionTLS13
	// A resumed session would skip verification against a renewed authority.
	t.SessionTicketsDisabled = true
	t.ServerName = "swifthinge"
	t.VerifyConnection = func(s tls.ConnectionState) error {
		if verifyChain != nil {
			if err := verifyChain(s); err != nil {
				return err
			}
		}
		return check(peerName(s))
	}
	return t
}

// insecureTLS returns a config with a generated self-signed certificate that
// doesn't verify the peer's certificate.
func insecureTLS(self hingeids.HostID) (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate a key for the self-signed certificate")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{string(self)},
		NotAfter:     time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, eris.Wrap(err, "create the self-signed certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{
			{
				Certificate: [][]byte{der},
				PrivateKey:  private,
			},
		},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
	}, nil
}
