package main

import (
	"net/http"
	"time"

	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/standin/platformsrv"
)

type platformCmd struct {
	Listen           []string      `required:"" help:"Address for one failure domain, as NAME=ip:port. Repeatable."`
	AppendsPerSecond float64       `default:"400" help:"Limit on appends to the log."`
	Retention        time.Duration `default:"24h" help:"How long log entries are retained."`
	ListLag          time.Duration `default:"1s" help:"Age of the list of targets that is served."`
	WeightsPerSecond float64       `default:"5" help:"Limit on reads of the weight store."`
}

// Run serves until the process is terminated or a listener fails.
func (c *platformCmd) Run() error {
	server := platformsrv.New(platformsrv.Options{
		Log: memlog.Options{
			AppendsPerSecond: c.AppendsPerSecond,
			Retention:        c.Retention,
		},
		ListLag:          c.ListLag,
		WeightsPerSecond: c.WeightsPerSecond,
	})
	failed := make(chan error, len(c.Listen))
	for _, listen := range c.Listen {
		name, address, err := splitListen(listen)
		if err != nil {
			return err
		}
		go func() { failed <- http.ListenAndServe(address, server.Handler(name)) }()
	}
	return <-failed
}
