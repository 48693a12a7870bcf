package main

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/operate/hingecommand"
	"github.com/swifthinge/swifthinge/internal/serve/hingeserver"
)

func serve(ctx context.Context, s hingecommand.ServeOptions) error {
	server, err := hingeserver.New(hingeserver.Options{
		Settings:         s.Settings,
		Inventory:        s.Inventory,
		Rules:            s.Rules,
		HasConfiguration: s.HasConfiguration,
	}, time.Now())
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
