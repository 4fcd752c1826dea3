package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"egretroad/internal/demo"
	"egretroad/internal/eventlog"
	"egretroad/internal/standin/deployment"
)

func newDemo(e *env) *cobra.Command {
	o := deployment.DefaultOptions()
	level := "warn"
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a demonstration deployment on loopback",
		Long: `Runs stand-ins of the platform and of the backend servers, and real proxies in
front of them, in this process and on loopback. The first line of output names
the proxies, the databases and the platform. A signal ends it.

The stand-ins speak the PostgreSQL protocol over one table
kv(key text primary key, value text) with a fixed set of statements.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			logLevel, err := parseLevel(level)
			if err != nil {
				return err
			}
			d, err := demo.Start(cmd.Context(), demo.Options{Deployment: o, Log: eventlog.New(e.errOut, logLevel)})
			if err != nil {
				return err
			}
			defer d.Stop()
			if err := d.WriteReady(e.out); err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&o.Name, "deployment", o.Name, "bright-spokes or cabra-ronda")
	cmd.Flags().IntVar(&o.Proxies, "proxies", o.Proxies, "number of proxies")
	cmd.Flags().IntVar(&o.FirstPort, "port", o.FirstPort, "callers' port of the first proxy, the others follow; 0: free ports")
	cmd.Flags().Float64Var(&o.Scale, "scale", o.Scale, "factor of the stand-ins' delays; 1 is the real size")
	cmd.Flags().StringVar(&level, "log-level", level, "level of the proxies' event log on standard error")
	cmd.AddCommand(newFault(e))
	return cmd
}

// FaultError reports a fault that the demo did not inject.
type FaultError struct {
	Detail string
	Cause  error // nil: the demo refused the action
}

func (e *FaultError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the demo's platform does not answer: %v; its address is in the demo's first line", e.Cause)
	}
	return e.Detail
}

// Unwrap returns the cause.
func (e *FaultError) Unwrap() error { return e.Cause }

// ExitCode tells refused actions from a demo that cannot be reached.
func (e *FaultError) ExitCode() int {
	if e.Cause != nil {
		return ExitUnreachable
	}
	return ExitInvalid
}

func newFault(e *env) *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "fault ACTION [ARGUMENT...]",
		Short: "Inject a fault of the demo's stand-ins",
		Long:  "Injects a fault of the demo's stand-ins:\n\n  " + strings.Join(deployment.Actions(), "\n  "),
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := injectFault(address, args); err != nil {
				return err
			}
			return e.printLine(map[string]any{"fault": args}, "injected %s", strings.Join(args, " "))
		},
	}
	addPlatformFlag(cmd, &address)
	return cmd
}

func injectFault(address string, args []string) error {
	body, err := json.Marshal(deployment.FaultRequest{Action: args[0], Args: args[1:]})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: operatorTimeout}
	resp, err := client.Post(platformURL(address)+deployment.PathFault, "application/json", bytes.NewReader(body))
	if err != nil {
		return &FaultError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }() // only read from
	var reply deployment.FaultReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return &FaultError{Cause: err}
	}
	if reply.Error != "" {
		return &FaultError{Detail: reply.Error}
	}
	return nil
}

// platformVariable names the environment variable with the platform's address.
const platformVariable = "EGRETROAD_PLATFORM"

// addPlatformFlag adds the flag for the platform's address.
func addPlatformFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "platform", os.Getenv(platformVariable),
		"address of the platform, IP:PORT or URL; default: $"+platformVariable)
}

// platformURL returns the URL of an address given as IP:PORT or URL.
func platformURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
