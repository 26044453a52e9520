package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/configurer"
)

// authority signs test certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (a *authority) issue(t *testing.T, folder, name string) configurer.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := configurer.TLSFiles{
		Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+"-key.pem"), Authorities: filepath.Join(folder, name+"-ca.pem"),
	}
	write := func(path, kind string, bytes []byte) {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
	}
	write(files.Certificate, "CERTIFICATE", der)
	write(files.Key, "EC PRIVATE KEY", keyDER)
	require.NoError(t, os.WriteFile(files.Authorities, a.pem, 0o600))
	return files
}

func load(t *testing.T, files configurer.TLSFiles) *Identity {
	identity, err := Load(Config{Files: files, Timer: timer.New(timer.Config{}), Log: logger.Discard()})
	require.NoError(t, err)
	return identity
}

func handshake(t *testing.T, server, client *Identity) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	group := grouper.NewGroup(-1)
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write([]byte{1})
		_ = conn.Close()
	})
	defer group.Wait()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client.ClientConfig())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	// In TLS 1.3, the client learns only from its first read that the server refused its certificate.
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against a server that accepts a client certificate of another authority, that does not use changed files, or that
// loses its identity because of a damaged file.
func TestMutualTLSReloadsChangedFiles(t *testing.T) {
	folder := t.TempDir()
	ours, foreign := newAuthority(t), newAuthority(t)
	server := load(t, ours.issue(t, folder, "server"))
	require.NoError(t, handshake(t, server, load(t, ours.issue(t, folder, "client"))))
	require.Error(t, handshake(t, server, load(t, foreign.issue(t, folder, "foreign"))))

	files := foreign.issue(t, folder, "server")
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.Certificate, later, later))
	server.reload()
	require.NoError(t, handshake(t, server, load(t, foreign.issue(t, folder, "foreign"))))

	require.NoError(t, os.WriteFile(files.Certificate, []byte("damaged"), 0o600))
	server.reload()
	require.NoError(t, handshake(t, server, load(t, foreign.issue(t, folder, "foreign"))), "a damaged file must not replace the identity that was loaded last")
}
