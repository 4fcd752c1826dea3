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

// DrainCutError reports a shutdown that cut off requests in progress.
type DrainCutError struct{ Cause string }

func (e *DrainCutError) Error() string {
	return "stopped before all requests in progress had finished: " + e.Cause
}

// Serve runs a proxy until ctx ends, then drains it. A second signal during the drain
// or the end of the drain time-out stops it with *DrainCutError. Once the listeners are
// open, Serve writes one line with the proxy's addresses to out.
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
	return p.drainAndStop(log)
}

// drainAndStop stops the proxy gracefully. It returns early on a second signal or when
// the time-out ends.
func (p *Proxy) drainAndStop(log hclog.Logger) error {
	secondSignal := make(chan os.Signal, 1)
	signal.Notify(secondSignal, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(secondSignal)
	log.Info("draining", "timeout", p.settings.Shutdown.DrainTimeout.D())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Shutdown.DrainTimeout.D()+stopMargin)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.Stop(ctx) }()
	select {
	case err := <-done:
		cut := p.drainCut.Load() || ctx.Err() != nil
		log.Info("stopped", "cut", cut)
		if cut {
			return &DrainCutError{Cause: "shutdown.drainTimeout expired"}
		}
		return err
	case sig := <-secondSignal:
		log.Warn("stopped", "cut", true, "signal", sig)
		return &DrainCutError{Cause: "a second signal"}
	}
}
