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

// Time bounds of operator commands.
const (
	commandTimeout     = 15 * time.Second
	defaultWaitTimeout = 30 * time.Second
)

// client holds the flags that lead to the platform.
type client struct {
	platform string
	by       string
}

// addFlags adds the flags of commands that talk to the platform.
func (c *client) addFlags(cmd *cobra.Command) {
	addPlatformFlag(cmd, &c.platform)
	cmd.Flags().StringVar(&c.by, "by", defaultOperator(), "name of the operator, kept in the history")
}

// defaultOperator returns the name of the user that runs the command.
func defaultOperator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// operator returns the operations on the platform.
func (c *client) operator() (*operate.Operator, error) {
	if c.platform == "" {
		return nil, &UsageError{Detail: fmt.Sprintf("the platform's address is missing: give --platform IP:PORT or set %s", platformVariable)}
	}
	store := objectclient.New(platformURL(c.platform), objectclient.DefaultOptions())
	return operate.New(store, c.by), nil
}

// with runs f with the operations on the platform, within the command's time.
func (c *client) with(cmd *cobra.Command, f func(context.Context, *operate.Operator) error) error {
	o, err := c.operator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
	defer cancel()
	return f(ctx, o)
}

// waiter holds the flags of commands that can wait for a change to be in force.
type waiter struct {
	wait    bool
	timeout time.Duration
}

func (w *waiter) addFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.wait, "wait", false, "return once every live proxy reports the change in force")
	cmd.Flags().DurationVar(&w.timeout, "wait-timeout", defaultWaitTimeout, "longest wait; then the command names the proxies that lag and exits with 5")
}

// waitFor waits for a change of an object, when asked to.
func (w *waiter) waitFor(cmd *cobra.Command, e *env, o *operate.Operator, kind, name string, version uint64) error {
	if !w.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), w.timeout)
	defer cancel()
	began := time.Now()
	if err := o.Wait(ctx, kind, name, version, nil); err != nil {
		return err
	}
	if e.format == outputText {
		_, _ = fmt.Fprintf(e.errOut, "in force on every live proxy after %v\n", time.Since(began).Round(time.Millisecond)) // progress for people
	}
	return nil
}
