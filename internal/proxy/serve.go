package proxy

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/config"
)

// DrainCutError reports a stop in which requests in progress were cut.
type DrainCutError struct{ Cause string }

func (e *DrainCutError) Error() string {
	return "stopped before all requests in progress had ended: " + e.Cause
}

// Serve runs a proxy until ctx ends, then drains it. A second signal during the
// drain, or the end of the drain's time, ends it with a DrainCutError. It
// writes one line with the proxy's addresses to out once the listeners are open.
func Serve(ctx context.Context, settings config.Settings, log hclog.Logger, out io.Writer) error {
	p, err := New(settings, log)
	if err != nil {
		return err
	}
	if err := p.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "event=listening callers=%s operator=%s\n", p.CallerAddr(), p.OperatorAddr()); err != nil {
		log.Warn("output_closed", "error", err)
	}
	<-ctx.Done()
	return p.stopOrCut(log)
}

// stopOrCut drains until done, the deadline or a second signal.
func (p *Proxy) stopOrCut(log hclog.Logger) error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(again)
	log.Info("draining", "timeout", p.settings.Shutdown.DrainTimeout.D())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Shutdown.DrainTimeout.D()+stopMargin)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.Stop(ctx) }()
	select {
	case err := <-done:
		cut := p.cut.Load() || ctx.Err() != nil
		log.Info("stopped", "cut", cut)
		if cut {
			return &DrainCutError{Cause: "shutdown.drainTimeout ended"}
		}
		return err
	case s := <-again:
		log.Warn("stopped", "cut", true, "signal", s)
		return &DrainCutError{Cause: "a second signal"}
	}
}
