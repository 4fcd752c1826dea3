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

// Bounds of settings.
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

// checker collects faults.
type checker struct{ faults []error }

func (c *checker) fault(field string, value any, want string) {
	c.faults = append(c.faults, &FieldError{Field: field, Value: fmt.Sprintf("%.80q", fmt.Sprint(value)), Want: want})
}

func (c *checker) name(field, value string) {
	if len(value) > maxNameBytes || !namePattern.MatchString(value) {
		c.fault(field, value, fmt.Sprintf("1 to %d of a-z 0-9 . _ - starting with a letter or digit", maxNameBytes))
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(field, value, "an IP number and port, such as 10.1.2.3:6432")
	}
}

func (c *checker) intRange(field string, value, low, high int) {
	if value < low || value > high {
		c.fault(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) duration(field string, value Duration, low, high time.Duration) {
	if value.D() < low || value.D() > high {
		c.fault(field, value.D(), fmt.Sprintf("%v to %v", low, high))
	}
}

// tls checks that a certificate and its key come together.
func (c *checker) tls(field string, t TLS, needCA bool) {
	if !t.Set() {
		return
	}
	if t.CertFile == "" || t.KeyFile == "" {
		c.fault(field, t.CertFile+" "+t.KeyFile, "both certFile and keyFile")
	}
	if needCA && t.CAFile == "" {
		c.fault(field+".caFile", t.CAFile, "the file that checks the other side's certificate")
	}
}

// Check returns every fault of the settings, joined; each is a *FieldError.
func (s Settings) Check() error {
	c := &checker{}
	s.checkVM(c)
	s.checkCallers(c)
	s.checkPeers(c)
	s.checkRest(c)
	return errors.Join(c.faults...)
}

func (s Settings) checkVM(c *checker) {
	c.name("vm.id", s.VM.ID)
	c.name("vm.dataCentre", s.VM.DataCentre)
	c.name("vm.region", s.VM.Region)
	if _, err := netip.ParseAddr(s.VM.Address); err != nil {
		c.fault("vm.address", s.VM.Address, "an IP number")
	}
}

func (s Settings) checkCallers(c *checker) {
	c.address("callers.listen", s.Callers.Listen)
	if s.Callers.Advertise != "" {
		c.address("callers.advertise", s.Callers.Advertise)
	}
	c.tls("callers.tls", s.Callers.TLS, false)
	c.intRange("callers.maxConnections", s.Callers.MaxConnections, 1, maxCallerConnections)
	c.intRange("callers.maxMessageBytes", s.Callers.MaxMessage, minMessageBytes, maxMessageBytes)
	seen := map[string]bool{}
	for i, u := range s.Callers.Users {
		field := fmt.Sprintf("callers.users[%d]", i)
		if u.Name == "" || len(u.Name) > maxNameBytes || seen[u.Name] {
			c.fault(field+".name", u.Name, fmt.Sprintf("a unique name of 1 to %d bytes", maxNameBytes))
		}
		seen[u.Name] = true
		if u.Password == "" {
			c.fault(field+".password", "", "a password")
		}
	}
}

func (s Settings) checkPeers(c *checker) {
	c.address("peers.listen", s.Peers.Listen)
	if s.Peers.Advertise != "" {
		c.address("peers.advertise", s.Peers.Advertise)
	}
	if len(s.Peers.FleetKey) < minFleetKeyBytes {
		c.fault("peers.fleetKey", fmt.Sprintf("%d bytes", len(s.Peers.FleetKey)), fmt.Sprintf("at least %d bytes, the same on all VMs", minFleetKeyBytes))
	}
	for i, seed := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.tls("peers.tls", s.Peers.TLS, true)
}

func (s Settings) checkRest(c *checker) {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fault("platform.url", s.Platform.URL, "an address such as http://10.1.2.3:8080")
	} else if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.fault("platform.url", s.Platform.URL, "an IP number as host")
	}
	c.duration("platform.timeout", s.Platform.Timeout, minPlatformTimeout, maxPlatformTimeout)
	if !(s.Platform.CallsPerSecond >= 1 && s.Platform.CallsPerSecond <= maxCallsPerSecond) {
		c.fault("platform.callsPerSecond", s.Platform.CallsPerSecond, fmt.Sprintf("1 to %d", maxCallsPerSecond))
	}
	if s.Servers.User == "" {
		c.fault("servers.user", "", "the user name for backend servers")
	}
	c.address("operator.listen", s.Operator.Listen)
	if hclog.LevelFromString(s.Log.Level) == hclog.NoLevel {
		c.fault("log.level", s.Log.Level, "trace, debug, info, warn or error")
	}
	c.duration("shutdown.drainTimeout", s.Shutdown.DrainTimeout, 0, maxDrainTimeout)
}
