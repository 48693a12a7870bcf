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

// peerName is the host that a verified certificate names.
func peerName(s tls.ConnectionState) hingeids.HostID {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) == 0 {
		return ""
	}
	return hingeids.HostID(s.PeerCertificates[0].DNSNames[0])
}

// ownName is the host that this end's certificate names. Peers would refuse another
// one each by itself, and the operator would look for the fault in the network.
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

// dialTLS asks for the certificate of one host. Rule 5.
func (q *QUIC) dialTLS(host hingeids.HostID) *tls.Config {
	return q.withNameCheck(func(name hingeids.HostID) error {
		if name == host {
			return nil
		}
		return eris.Errorf("certificate is for host %q, want %q", name, host)
	})
}

// acceptTLS takes the certificate of any peer. Rule 5.
func (q *QUIC) acceptTLS() *tls.Config {
	return q.withNameCheck(func(name hingeids.HostID) error {
		if q.meet(name) != nil {
			return nil
		}
		return eris.Errorf("certificate is for host %q, which is not a peer", name)
	})
}

// withNameCheck adds the check of the name to the configured one of the chain.
// The name is compared here, byte for byte, and not by crypto/tls: a host id
// is no DNS name, and no pattern matches it.
func (q *QUIC) withNameCheck(check func(hingeids.HostID) error) *tls.Config {
	t := q.config.TLS.Clone()
	verifyChain := t.VerifyConnection
	t.NextProtos = []string{protocolName}
	t.MinVersion = tls.VersionTLS13
	// A resumed session would pass over the checks of a renewed authority.
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

// insecureTLS makes a certificate in memory and verifies none.
func insecureTLS(self hingeids.HostID) (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "certificate in memory")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{string(self)},
		NotAfter:     time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, eris.Wrap(err, "certificate in memory")
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
