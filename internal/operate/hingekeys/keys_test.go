package hingekeys

import (
	"crypto/tls"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var startTime = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

func makeTestKeys(t *testing.T) string {
	t.Helper()
	// CreateAuthority must create a missing folder.
	folder := filepath.Join(t.TempDir(), "new", "keys")
	must(t, CreateAuthority(folder, startTime))
	must(t, CreateHostCertificate(folder, "cancale-1", startTime))
	must(t, CreateHostCertificate(folder, "roscoff-1", startTime))
	return folder
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func handshake(t *testing.T, dial, accept Paths, now time.Time) error {
	t.Helper()
	clock := func() time.Time {
		return now
	}
	d, err := loadTLS(dial, clock)
	must(t, err)
	a, err := loadTLS(accept, clock)
	must(t, err)
	return handshakeConfigs(d, a)
}

func handshakeConfigs(d, a *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", a)
	if err != nil {
		return err
	}
	accepted := make(chan error, 1)
	go func() {
		s, err := listener.Accept()
		if err == nil {
			err = s.(*tls.Conn).Handshake()
			_ = s.Close()
		}
		accepted <- err
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), d)
	if err == nil {
		// The server verifies last; a read returns the alert by which it rejects
		// the client.
		_, err = c.Read(make([]byte, 1))
		_ = c.Close()
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return errors.Join(err, <-accepted, listener.Close())
}

func wantErrorText(t *testing.T, err error, text string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Fatalf("error %v, want one that contains %q", err, text)
	}
}

// Guards against files with which hosts of one authority can't connect, key files
// that other users can read, overwritten files and host names outside the folder.
func TestHostsOfOneAuthorityAuthenticate(t *testing.T) {
	folder := makeTestKeys(t)
	must(t, handshake(t, HostPaths(folder, "cancale-1"), HostPaths(folder, "roscoff-1"), startTime))
	info, err := os.Stat(HostPaths(folder, "cancale-1").Key)
	must(t, err)
	if diff := cmp.Diff(os.FileMode(0o600), info.Mode().Perm()); diff != "" {
		t.Fatal(diff)
	}
	wantErrorText(t, CreateHostCertificate(folder, "cancale-1", startTime), "not overwritten")
	wantErrorText(t, CreateAuthority(folder, startTime), "not overwritten")
	wantErrorText(t, CreateHostCertificate(folder, "../cancale-1", startTime), "can't be the name")
}

// Guards against accepting a certificate that another authority signed for the
// name of a known host, as client or as server.
func TestHostOfAnotherAuthorityIsRefused(t *testing.T) {
	ours := HostPaths(makeTestKeys(t), "cancale-1")
	theirs := HostPaths(makeTestKeys(t), "roscoff-1")
	wantErrorText(t, handshake(t, ours, theirs, startTime), `"roscoff-1" is signed by another authority`)
	wantErrorText(t, handshake(t, theirs, ours, startTime), `signed by another authority`)
	mixed := ours
	mixed.Authority = theirs.Authority
	_, err := loadTLS(mixed, time.Now)
	wantErrorText(t, err, "signed by another authority")
	mixed = ours
	mixed.Key = theirs.Key
	_, err = loadTLS(mixed, time.Now)
	wantErrorText(t, err, "private key")
}

// Guards against accepting expired certificates, and against requiring a restart
// after renewal.
func TestExpiredCertificateIsRefusedUntilRenewedWithoutRestart(t *testing.T) {
	folder := makeTestKeys(t)
	now := startTime
	clock := func() time.Time {
		return now
	}
	d, err := loadTLS(HostPaths(folder, "cancale-1"), clock)
	must(t, err)
	a, err := loadTLS(HostPaths(folder, "roscoff-1"), clock)
	must(t, err)
	now = startTime.Add(hostValidity + time.Hour)
	wantErrorText(t, handshakeConfigs(d, a), "renew it or set the clock")
	_, err = loadTLS(HostPaths(folder, "cancale-1"), clock)
	wantErrorText(t, err, "renew it or set the clock")
	must(t, RenewAuthority(folder, now))
	must(t, RenewHostCertificate(folder, "cancale-1", now))
	must(t, RenewHostCertificate(folder, "roscoff-1", now))
	must(t, handshakeConfigs(d, a))
}

// Guards against a corrupt file on a running host breaking new links, and against
// a start with such a file.
func TestInvalidFileKeepsLastValid(t *testing.T) {
	folder := makeTestKeys(t)
	clock := func() time.Time {
		return startTime
	}
	d, err := loadTLS(HostPaths(folder, "cancale-1"), clock)
	must(t, err)
	a, err := loadTLS(HostPaths(folder, "roscoff-1"), clock)
	must(t, err)
	must(t, os.WriteFile(HostPaths(folder, "cancale-1").Certificate, []byte("torn"), 0o600))
	must(t, handshakeConfigs(d, a))
	_, err = loadTLS(HostPaths(folder, "cancale-1"), clock)
	wantErrorText(t, err, "cancale-1.pem")
}
