package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"egretroad/internal/cli"
	"egretroad/internal/standin/deployment"
)

// run executes a command line and returns its exit code and outputs.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func writeInput(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "input.json")
	gomega.NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	return file
}

// startPlatform starts the stand-in deployment without proxies and returns the
// platform's address.
func startPlatform(t *testing.T) string {
	t.Helper()
	o := deployment.DefaultOptions()
	o.Scale = 0
	d, err := deployment.Start(o)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(d.Close)
	return d.Platform.Addr()
}

func TestUsageErrors(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"bogus"}, cli.ExitInvalid, `unknown command "bogus"`},
		{[]string{"serve"}, cli.ExitInvalid, "serve needs --config FILE"},
		{[]string{"serve", "--nope"}, cli.ExitInvalid, "unknown flag: --nope"},
		{[]string{"serve", "--config", "/does/not/exist"}, cli.ExitInvalid, "cannot read settings"},
		{[]string{"check-config"}, cli.ExitInvalid, "takes 1 arguments [FILE], got 0"},
		{[]string{"version", "--output", "xml"}, cli.ExitInvalid, `--output is "xml", want text or json`},
		{[]string{"dump", "--operator", "localhost:1"}, cli.ExitInvalid, "want an IP address and port"},
		{[]string{"dump", "--operator", "127.0.0.1:1"}, cli.ExitUnreachable, "check operator.listen"},
		{[]string{"status"}, cli.ExitInvalid, "the platform's address is missing"},
		{[]string{"status", "--platform", "127.0.0.1:1"}, cli.ExitUnreachable, "has no answer"},
		{[]string{"node", "--log-level", "loud"}, cli.ExitInvalid, `--log-level is "loud", want trace`},
		{[]string{"node", "--log-lines", "0"}, cli.ExitInvalid, "--log-lines is 0, want at least 1"},
		{[]string{"demo", "--proxies", "0"}, cli.ExitInvalid, "--proxies is 0, want 1 to 64"},
		{[]string{"demo", "--deployment", "x"}, cli.ExitInvalid, `unknown deployment "x"`},
		{[]string{"demo", "fault", "cut", "--platform", "127.0.0.1:1"}, cli.ExitUnreachable, "does not answer"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			g := gomega.NewWithT(t)
			t.Setenv("EGRETROAD_PLATFORM", "")
			code, _, errOut := run(c.args...)
			g.Expect(errOut).To(gomega.ContainSubstring(c.want))
			g.Expect(code).To(gomega.Equal(c.code))
		})
	}
}

func TestCatalogueErrors(t *testing.T) {
	address := startPlatform(t)
	unclosedEntry := `{"name":"orders1.x","kind":"x","owner":"o","database":"orders1","rank":2,"access":"read","repeatable":true,"deadlineMs":100`
	for name, c := range map[string]struct {
		text string
		code int
		want string
	}{
		"unknown field": {unclosedEntry + `,"dedline":1}`, cli.ExitInvalid, `"dedline"`},
		"bad rank":      {strings.Replace(unclosedEntry, `"rank":2`, `"rank":9`, 1) + `}`, cli.ExitInvalid, "rank is 9, want 1 to 3"},
		"no deadline":   {strings.Replace(unclosedEntry, `,"deadlineMs":100`, "", 1) + `}`, cli.ExitInvalid, "deadlineMs is 0"},
		"not JSON":      {`{"name"`, cli.ExitInvalid, "line 1"},
		"stale version": {unclosedEntry + `,"version":77}`, cli.ExitConflict, "your change is based on version 77"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			code, _, errOut := run("catalogue", "apply", writeInput(t, c.text), "--platform", address)
			g.Expect(errOut).To(gomega.ContainSubstring(c.want))
			g.Expect(code).To(gomega.Equal(c.code))
		})
	}
	g := gomega.NewWithT(t)
	code, out, _ := run("catalogue", "apply", writeInput(t, "// a comment\n"+unclosedEntry+"}"), "--platform", address)
	g.Expect(code).To(gomega.Equal(cli.ExitOK))
	g.Expect(out).To(gomega.ContainSubstring("applied orders1.x"))
	code, _, errOut := run("catalogue", "apply", writeInput(t, unclosedEntry+`,"floorPercent":5}`), "--platform", address, "--wait", "--wait-timeout", "300ms")
	g.Expect(code).To(gomega.Equal(cli.ExitNotInForce), "no proxy runs")
	g.Expect(errOut).NotTo(gomega.BeEmpty())
}

func TestJSONOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startPlatform(t)
	code, out, _ := run("server", "list", "--output", "json", "--platform", address)
	g.Expect(code).To(gomega.Equal(cli.ExitOK))
	var servers []struct{ ID, Database string }
	g.Expect(json.Unmarshal([]byte(out), &servers)).To(gomega.Succeed())
	g.Expect(servers).To(gomega.HaveLen(9))
	code, _, errOut := run("server", "leave", "nope", "--output", "json", "--platform", address)
	g.Expect(code).To(gomega.Equal(cli.ExitInvalid))
	var failure struct {
		Errors   []string
		ExitCode int
	}
	g.Expect(json.Unmarshal([]byte(errOut), &failure)).To(gomega.Succeed())
	g.Expect(failure.ExitCode).To(gomega.Equal(cli.ExitInvalid))
	g.Expect(failure.Errors).To(gomega.HaveLen(1))
}

func TestServerStatesAndHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startPlatform(t)
	code, out, errOut := run("server", "leave", "orders1-b", "--platform", address, "--by", "ana")
	g.Expect(code).To(gomega.Equal(cli.ExitOK), errOut)
	g.Expect(out).To(gomega.ContainSubstring("server orders1-b of database orders1 is leaving"))
	code, out, errOut = run("server", "join", "orders1-b", "--platform", address)
	g.Expect(code).To(gomega.Equal(cli.ExitOK), errOut)
	g.Expect(out).To(gomega.ContainSubstring("joining"))
	code, _, _ = run("catalogue", "delete", "orders1.grants", "--platform", address, "--by", "ana")
	g.Expect(code).To(gomega.Equal(cli.ExitOK))
	_, out, _ = run("catalogue", "history", "orders1.grants", "--platform", address)
	g.Expect(out).To(gomega.ContainSubstring("ana"))
}
