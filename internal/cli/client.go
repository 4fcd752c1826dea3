package cli

import (
	"context"
	"fmt"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"egretroad/internal/operate"
	"egretroad/internal/platform/objectclient"
)

// Time-outs of operator commands.
const (
	commandTimeout     = 15 * time.Second
	defaultWaitTimeout = 30 * time.Second
)

// platformClient holds the flags of commands that access the platform.
type platformClient struct {
	address      string
	operatorName string
}

// addFlags adds --platform and --by to cmd.
func (c *platformClient) addFlags(cmd *cobra.Command) {
	addPlatformFlag(cmd, &c.address)
	cmd.Flags().StringVar(&c.operatorName, "by", defaultOperatorName(), "name of the operator, recorded in the history")
}

// defaultOperatorName returns the name of the operating system's user.
func defaultOperatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// newOperator returns an Operator on the platform that the flags specify.
func (c *platformClient) newOperator() (*operate.Operator, error) {
	if c.address == "" {
		return nil, &UsageError{Detail: fmt.Sprintf("the platform's address is missing: give --platform IP:PORT or set %s", platformEnvVar)}
	}
	store := objectclient.New(platformURL(c.address), objectclient.DefaultOptions())
	return operate.New(store, c.operatorName), nil
}

// withOperator calls run with an Operator and a context that ends after
// commandTimeout.
func (c *platformClient) withOperator(cmd *cobra.Command, run func(context.Context, *operate.Operator) error) error {
	o, err := c.newOperator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
	defer cancel()
	return run(ctx, o)
}

// waitOptions holds the flags of commands that can wait until a change is in force.
type waitOptions struct {
	enabled bool
	timeout time.Duration
}

func (w *waitOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.enabled, "wait", false, "wait until every live proxy reports the change as in force")
	cmd.Flags().DurationVar(&w.timeout, "wait-timeout", defaultWaitTimeout, "time-out of --wait; when it expires, the command lists the lagging proxies and exits with 5")
}

// waitInForce waits until a version of an object is in force, if --wait is set.
func (w *waitOptions) waitInForce(cmd *cobra.Command, e *env, o *operate.Operator, kind, name string, version uint64) error {
	if !w.enabled {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), w.timeout)
	defer cancel()
	start := time.Now()
	if err := o.Wait(ctx, kind, name, version, nil); err != nil {
		return err
	}
	if e.format == outputText {
		_, _ = fmt.Fprintf(e.errOut, "in force on every live proxy after %v\n", time.Since(start).Round(time.Millisecond)) // informational only
	}
	return nil
}
