package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/configurer"
)

// reloadPeriod is the time between two checks of the files' modification times.
const reloadPeriod = 2 * time.Second

// Config configures an Identity.
type Config struct {
	Files configurer.TLSFiles
	Timer *timer.Service
	Log   *logger.Logger
}

// Identity is a certificate with its key and, between hosts, the certificate authorities that sign the other side's
// certificate.
type Identity struct {
	config  Config
	current atomic.Pointer[credentials]
}

type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modified    time.Time
}

// Load returns an identity read from its files, or an error if they cannot be used.
func Load(config Config) (*Identity, error) {
	identity := &Identity{config: config}
	loaded, err := identity.read()
	if err != nil {
		return nil, err
	}
	identity.current.Store(loaded)
	return identity, nil
}

// Run reloads the files when they change, until the context ends. If they cannot be used, it logs a warning and keeps the
// identity that was loaded last.
func (i *Identity) Run(ctx context.Context) error {
	i.config.Timer.Each(ctx, reloadPeriod, i.reload)
	return nil
}

func (i *Identity) reload() {
	modified, err := i.modified()
	if err == nil && modified.Equal(i.current.Load().modified) {
		return
	}
	loaded, err := i.read()
	if err != nil {
		i.config.Log.Warn(logger.TLSNotReloaded).Err(err).Send()
		return
	}
	i.current.Store(loaded)
	i.config.Log.Info(logger.TLSReloaded).Str("certificate", i.config.Files.Certificate).Send()
}

func (i *Identity) paths() []string {
	paths := []string{i.config.Files.Certificate, i.config.Files.Key}
	if i.config.Files.Authorities != "" {
		paths = append(paths, i.config.Files.Authorities)
	}
	return paths
}

// modified returns the latest modification time of the files.
func (i *Identity) modified() (time.Time, error) {
	var latest time.Time
	for _, path := range i.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return latest, annotator.Wrap("stat TLS file", "self", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (i *Identity) read() (*credentials, error) {
	modified, err := i.modified()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(i.config.Files.Certificate, i.config.Files.Key)
	if err != nil {
		return nil, annotator.Wrap("load TLS certificate", "self", err)
	}
	loaded := &credentials{certificate: certificate, modified: modified}
	if path := i.config.Files.Authorities; path != "" {
		loaded.authorities, err = readAuthorities(path)
		if err != nil {
			return nil, err
		}
	}
	return loaded, nil
}

func readAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, annotator.Wrap("load TLS authorities", "self", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, annotator.Wrap("load TLS authorities", "self", errors.New(path+" contains no PEM certificate"))
	}
	return pool, nil
}

// ServerConfig returns the TLS settings of a listener; with authorities, it requires a client certificate that they signed.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := i.current.Load()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.certificate}}
			if loaded.authorities != nil {
				config.ClientCAs = loaded.authorities
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// ClientConfig returns the TLS settings of connections to other hosts. Hosts are addressed by IP address and may be replaced
// at any time, so the signature by an authority is verified but not the host name.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain against the current authorities instead.
		VerifyConnection:   i.verify,
	}
}

func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return annotator.Wrap("verify TLS peer", "peer", errors.New("peer presented no certificate"))
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: i.current.Load().authorities, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return annotator.Wrap("verify TLS peer", "peer", err)
}
