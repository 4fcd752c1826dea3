package proxy_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/onsi/gomega"

	"egretroad/internal/config"
	"egretroad/internal/demo"
	"egretroad/internal/eventlog"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
)

const fleetKey = "fleet-key-of-the-test"

// writeCertificate creates files with a self-signed certificate for loopback addresses and
// its key.
func writeCertificate(t *testing.T) config.TLS {
	t.Helper()
	g := gomega.NewWithT(t)
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "egretroad"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for dc := range 4 {
		template.IPAddresses = append(template.IPAddresses, net.IPv4(127, 0, byte(dc), 1))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	dir := t.TempDir()
	write := func(name, kind string, raw []byte) string {
		file := filepath.Join(dir, name)
		g.Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)).To(gomega.Succeed())
		return file
	}
	return config.TLS{CertFile: write("cert.pem", "CERTIFICATE", der), KeyFile: write("key.pem", "EC PRIVATE KEY", keyDER)}
}

// startFleet starts a deployment of stand-ins and a proxy on each of its VMs, and waits
// until they are ready.
func startFleet(t *testing.T, edit func(*config.Settings)) (*deployment.Deployment, []*proxy.Proxy) {
	t.Helper()
	g := gomega.NewWithT(t)
	o := deployment.DefaultOptions()
	o.Scale = 0
	d, err := deployment.Start(o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(d.Close)
	var proxies []*proxy.Proxy
	for _, vm := range d.VMs {
		s := demo.Settings(d, vm, fleetKey)
		edit(&s)
		p, err := proxy.New(s, eventlog.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(p.Start(context.Background())).To(gomega.Succeed())
		t.Cleanup(func() { _ = p.Stop(context.Background()) })
		proxies = append(proxies, p)
	}
	for _, p := range proxies {
		g.Eventually(p.Ready, "20s").Should(gomega.BeTrue())
	}
	return d, proxies
}

func dsn(p *proxy.Proxy, options string) string {
	host, port, _ := net.SplitHostPort(p.CallerAddr())
	return fmt.Sprintf("host=%s port=%s dbname=orders1 %s", host, port, options)
}

func TestTLSAndPasswordAuthentication(t *testing.T) {
	g := gomega.NewWithT(t)
	callerTLS := writeCertificate(t)
	peerTLS := callerTLS
	peerTLS.CAFile = callerTLS.CertFile
	_, proxies := startFleet(t, func(s *config.Settings) {
		s.Callers.TLS = callerTLS
		s.Callers.Users = []config.User{{Name: "shop", Password: "secret"}}
		s.Peers.TLS = peerTLS
	})
	ctx := context.Background()
	for _, p := range proxies {
		conn, err := pgx.Connect(ctx, dsn(p, "user=shop password=secret sslmode=require"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('a', 'b') ON CONFLICT (key) DO UPDATE SET value = 'b'")
		g.Expect(err).NotTo(gomega.HaveOccurred(), "two of the three proxies forward the write over peer TLS")
		g.Expect(conn.Close(ctx)).To(gomega.Succeed())
	}
	_, err := pgx.Connect(ctx, dsn(proxies[0], "user=shop password=wrong sslmode=require"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("28P01")))
	_, err = pgx.Connect(ctx, dsn(proxies[0], "user=stranger password=secret sslmode=require"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("28P01")))
}

func TestStartErrorsAreTyped(t *testing.T) {
	g := gomega.NewWithT(t)
	d, _ := startFleet(t, func(*config.Settings) {})
	s := demo.Settings(d, d.VMs[0], fleetKey)
	_, err := proxy.New(s, eventlog.Discard())
	var listen *proxy.ListenError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(listen), "the address is in use")
	s.Callers.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.TLS = config.TLS{CertFile: "/none", KeyFile: "/none"}
	_, err = proxy.New(s, eventlog.Discard())
	var tlsErr *proxy.TLSError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(tlsErr))
	_, err = proxy.New(config.Settings{}, eventlog.Discard())
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("setting vm.id")))
}

func TestOperatorEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	_, proxies := startFleet(t, func(*config.Settings) {})
	for path, want := range map[string]int{"/ready": 200, "/dump": 200, "/debug/vars": 200, "/debug/pprof/": 200, "/nothing": 404} {
		resp, err := http.Get("http://" + proxies[0].OperatorAddr() + path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = resp.Body.Close() // only the status matters
		g.Expect(resp.StatusCode).To(gomega.Equal(want), path)
	}
	for _, section := range []string{"vm", "control", "authority", "homes", "gateway"} {
		g.Expect(proxies[0].Dump()).To(gomega.HaveKey(section))
	}
}

// A proxy that starts while the platform is down fetches its configuration from a peer.
func TestStartWithPlatformDown(t *testing.T) {
	g := gomega.NewWithT(t)
	d, proxies := startFleet(t, func(*config.Settings) {})
	g.Expect(d.Fault("platform-down")).To(gomega.Succeed())
	proxies[1].Kill()
	restarted, err := proxy.New(demo.Settings(d, d.VMs[1], fleetKey), eventlog.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(restarted.Start(context.Background())).To(gomega.Succeed())
	defer func() { _ = restarted.Stop(context.Background()) }()
	g.Eventually(restarted.Ready, "20s").Should(gomega.BeTrue())
	g.Expect(restarted.Snapshot().Revision).To(gomega.Equal(proxies[0].Snapshot().Revision))
}

// serveWithStatement runs Serve with the given drain time-out and starts a statement of
// 1.5 s. It returns once the server runs the statement. stop ends Serve's context.
func serveWithStatement(t *testing.T, drain time.Duration) (stop context.CancelFunc, result <-chan error) {
	t.Helper()
	g := gomega.NewWithT(t)
	o := deployment.DefaultOptions()
	o.Scale, o.Proxies, o.Record = 0, 1, true
	d, err := deployment.Start(o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(d.Close)
	s := demo.Settings(d, d.VMs[0], fleetKey)
	s.Shutdown.DrainTimeout = config.Duration(drain)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	done := make(chan error, 1)
	go func() { done <- proxy.Serve(ctx, s, eventlog.Discard(), io.Discard) }()
	running := make(chan error, 1)
	g.Eventually(func() error {
		conn, err := pgx.Connect(context.Background(), "host=127.0.0.1 port="+port(s.Callers.Listen)+" dbname=orders1 user=x sslmode=disable egretroad.work=stock")
		if err != nil {
			return err
		}
		if _, err := conn.Exec(context.Background(), "SELECT value FROM kv WHERE key = 'x'"); err != nil {
			return err
		}
		go func() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(1.5)")
			running <- err
		}()
		return nil
	}, "20s").Should(gomega.Succeed())
	g.Eventually(func() int { return d.Groups["orders1"].Seen("pg_sleep") }, "20s").Should(gomega.BeNumerically(">", 0))
	return stop, done
}

func port(addr string) string {
	_, p, _ := net.SplitHostPort(addr)
	return p
}

func TestDrainTimeoutReturnsDrainCutError(t *testing.T) {
	g := gomega.NewWithT(t)
	stop, result := serveWithStatement(t, 50*time.Millisecond)
	stop()
	var cut *proxy.DrainCutError
	g.Eventually(result, "30s").Should(gomega.Receive(gomega.BeAssignableToTypeOf(cut)))
}

func TestCompletedDrainReturnsNoError(t *testing.T) {
	g := gomega.NewWithT(t)
	stop, result := serveWithStatement(t, time.Minute)
	stop()
	g.Eventually(result, "30s").Should(gomega.Receive(gomega.BeNil()))
}

func TestSecondSignalInterruptsDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	// Stays registered until the process ends: without it, a late signal would kill the
	// test process.
	guard := make(chan os.Signal, 100)
	signal.Notify(guard, syscall.SIGTERM)
	stop, result := serveWithStatement(t, time.Minute)
	stop()
	var cut *proxy.DrainCutError
	g.Eventually(func() error {
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(gomega.Succeed())
		select {
		case err := <-result:
			return err
		default:
			return nil
		}
	}, "30s").Should(gomega.BeAssignableToTypeOf(cut))
}
