package config

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Limits on settings.
const (
	maxNameBytes         = 63
	maxCallerConnections = 100_000
	minMessageBytes      = 1 << 10
	maxMessageBytes      = 64 << 20
	minFleetKeyBytes     = 16
	minPlatformTimeout   = 10 * time.Millisecond
	maxPlatformTimeout   = time.Minute
	maxCallsPerSecond    = 1000
	maxDrainTimeout      = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// FieldError reports one invalid setting.
type FieldError struct {
	Field string // path, such as "callers.listen"
	Value string
	Want  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("setting %s is %s, want %s", e.Field, e.Value, e.Want)
}

// checker collects the violations found in the settings.
type checker struct{ errs []error }

func (c *checker) addError(field string, value any, want string) {
	c.errs = append(c.errs, &FieldError{Field: field, Value: fmt.Sprintf("%.80q", fmt.Sprint(value)), Want: want})
}

func (c *checker) checkName(field, value string) {
	if len(value) > maxNameBytes || !namePattern.MatchString(value) {
		c.addError(field, value, fmt.Sprintf("1 to %d of a-z 0-9 . _ - starting with a letter or digit", maxNameBytes))
	}
}

func (c *checker) checkAddrPort(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(field, value, "an IP address and port, such as 10.1.2.3:6432")
	}
}

func (c *checker) checkInt(field string, value, low, high int) {
	if value < low || value > high {
		c.addError(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) checkDuration(field string, value Duration, low, high time.Duration) {
	if value.D() < low || value.D() > high {
		c.addError(field, value.D(), fmt.Sprintf("%v to %v", low, high))
	}
}

// checkTLS requires a certificate together with its key and, if needCA, a CA file.
func (c *checker) checkTLS(field string, t TLS, needCA bool) {
	if !t.Set() {
		return
	}
	if t.CertFile == "" || t.KeyFile == "" {
		c.addError(field, t.CertFile+" "+t.KeyFile, "both certFile and keyFile")
	}
	if needCA && t.CAFile == "" {
		c.addError(field+".caFile", t.CAFile, "the CA file that verifies the peer's certificate")
	}
}

// Check validates the settings and returns all violations joined; each is a
// *FieldError.
func (s Settings) Check() error {
	c := &checker{}
	s.checkVM(c)
	s.checkCallers(c)
	s.checkPeers(c)
	s.checkOtherSections(c)
	return errors.Join(c.errs...)
}

func (s Settings) checkVM(c *checker) {
	c.checkName("vm.id", s.VM.ID)
	c.checkName("vm.dataCentre", s.VM.DataCentre)
	c.checkName("vm.region", s.VM.Region)
	if _, err := netip.ParseAddr(s.VM.Address); err != nil {
		c.addError("vm.address", s.VM.Address, "an IP address")
	}
}

func (s Settings) checkCallers(c *checker) {
	c.checkAddrPort("callers.listen", s.Callers.Listen)
	if s.Callers.Advertise != "" {
		c.checkAddrPort("callers.advertise", s.Callers.Advertise)
	}
	c.checkTLS("callers.tls", s.Callers.TLS, false)
	c.checkInt("callers.maxConnections", s.Callers.MaxConnections, 1, maxCallerConnections)
	c.checkInt("callers.maxMessageBytes", s.Callers.MaxMessage, minMessageBytes, maxMessageBytes)
	seen := map[string]bool{}
	for i, u := range s.Callers.Users {
		field := fmt.Sprintf("callers.users[%d]", i)
		if u.Name == "" || len(u.Name) > maxNameBytes || seen[u.Name] {
			c.addError(field+".name", u.Name, fmt.Sprintf("a unique name of 1 to %d bytes", maxNameBytes))
		}
		seen[u.Name] = true
		if u.Password == "" {
			c.addError(field+".password", "", "a password")
		}
	}
}

func (s Settings) checkPeers(c *checker) {
	c.checkAddrPort("peers.listen", s.Peers.Listen)
	if s.Peers.Advertise != "" {
		c.checkAddrPort("peers.advertise", s.Peers.Advertise)
	}
	if len(s.Peers.FleetKey) < minFleetKeyBytes {
		c.addError("peers.fleetKey", fmt.Sprintf("%d bytes", len(s.Peers.FleetKey)), fmt.Sprintf("at least %d bytes, the same on all VMs", minFleetKeyBytes))
	}
	for i, seed := range s.Peers.Seeds {
		c.checkAddrPort(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.checkTLS("peers.tls", s.Peers.TLS, true)
}

func (s Settings) checkOtherSections(c *checker) {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addError("platform.url", s.Platform.URL, "a URL such as http://10.1.2.3:8080")
	} else if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addError("platform.url", s.Platform.URL, "an IP address as host")
	}
	c.checkDuration("platform.timeout", s.Platform.Timeout, minPlatformTimeout, maxPlatformTimeout)
	if !(s.Platform.CallsPerSecond >= 1 && s.Platform.CallsPerSecond <= maxCallsPerSecond) {
		c.addError("platform.callsPerSecond", s.Platform.CallsPerSecond, fmt.Sprintf("1 to %d", maxCallsPerSecond))
	}
	if s.Servers.User == "" {
		c.addError("servers.user", "", "the user name for backend servers")
	}
	c.checkAddrPort("operator.listen", s.Operator.Listen)
	if hclog.LevelFromString(s.Log.Level) == hclog.NoLevel {
		c.addError("log.level", s.Log.Level, "trace, debug, info, warn or error")
	}
	c.checkDuration("shutdown.drainTimeout", s.Shutdown.DrainTimeout, 0, maxDrainTimeout)
}
