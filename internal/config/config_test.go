package config_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"egretroad/internal/config"
)

const valid = `{
  // The machine that runs this process.
  "vm": {"id": "vm-1", "dataCentre": "salish-a", "region": "salish", "address": "127.0.1.1"},
  "callers": {"listen": "127.0.0.1:6432"},
  "peers": {"listen": "127.0.1.1:7432", "fleetKey": "0123456789abcdef"},
  "platform": {"url": "http://127.0.250.1:8080", "timeout": "500ms"}, // trailing commas are fine
}`

func TestParseAcceptsValidSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := config.Parse("f", []byte(valid))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Check()).To(gomega.Succeed())
	g.Expect(s.Platform.Timeout.D().String()).To(gomega.Equal("500ms"))
	g.Expect(s.Operator.Listen).To(gomega.Equal("127.0.0.1:0"))
}

func TestSyntaxErrorsReportPosition(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown field": {`"timeout"`, `"timeuot"`, `f:6:50: unknown field "timeuot"`},
		"wrong type":    {`"address": "127.0.1.1"`, `"address": 5`, `f:3:`},
		"bad duration":  {`"500ms"`, `"500"`, `f:6:61: "500" is not a duration`},
		"bad JSON":      {`"vm": {`, `"vm": {{`, `f:3:10: `},
		"trailing text": {"// trailing commas are fine\n}", "}\n}", `f:7:`},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := strings.Replace(valid, c.old, c.new, 1)
			g.Expect(text).NotTo(gomega.Equal(valid))
			_, err := config.Parse("f", []byte(text))
			var syntax *config.SyntaxError
			g.Expect(errors.As(err, &syntax)).To(gomega.BeTrue())
			g.Expect(err.Error()).To(gomega.ContainSubstring(c.want))
		})
	}
}

func TestCheckReportsAllViolations(t *testing.T) {
	g := gomega.NewWithT(t)
	err := config.Settings{}.Check()
	for _, want := range []string{
		`setting vm.id is "", want 1 to 63 of`,
		`setting vm.address is "", want an IP address`,
		`setting callers.listen is "", want an IP address and port`,
		`setting callers.maxConnections is "0", want 1 to 100000`,
		`setting peers.fleetKey is "0 bytes", want at least 16 bytes`,
		`setting platform.url is "", want a URL`,
		`setting platform.timeout is "0s", want 10ms to 1m0s`,
		`setting platform.callsPerSecond is "0", want 1 to 1000`,
		`setting servers.user is "", want`,
		`setting operator.listen is ""`,
		`setting log.level is "", want trace`,
	} {
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
	}
}

func TestCheckRejectsInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"host name":       {"127.0.250.1:8080", "platform.local:8080", "an IP address as host"},
		"TLS without key": {`"listen": "127.0.0.1:6432"`, `"listen": "127.0.0.1:6432", "tls": {"certFile": "c"}`, "both certFile and keyFile"},
		"duplicate user":  {`"listen": "127.0.0.1:6432"`, `"listen": "127.0.0.1:6432", "users": [{"name":"a","password":"p"},{"name":"a","password":"p"}]`, "callers.users[1].name"},
		"bad seed":        {`"fleetKey"`, `"seeds": ["x"], "fleetKey"`, "peers.seeds[0]"},
		"short key":       {`0123456789abcdef`, `0123`, "the same on all VMs"},
		"long timeout":    {`"500ms"`, `"500h"`, "10ms to 1m0s"},
		"VM host name":    {`"address": "127.0.1.1"`, `"address": "vm.local"`, "vm.address"},
		"upper case":      {`"vm-1"`, `"VM-1"`, "vm.id"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := strings.Replace(valid, c.old, c.new, 1)
			g.Expect(text).NotTo(gomega.Equal(valid))
			s, err := config.Parse("f", []byte(text))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(s.Check()).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}
}
