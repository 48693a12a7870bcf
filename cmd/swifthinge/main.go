// Command swifthinge runs an entry host and provides the operators' commands.
package main

import (
	"context"
	"os"
	"time"

	"github.com/swifthinge/swifthinge/internal/operate/hingecommand"
	"github.com/swifthinge/swifthinge/internal/operate/hingekeys"
)

func main() {
	os.Exit(hingecommand.Run(context.Background(), os.Args, hingecommand.Config{
		Out:   os.Stdout,
		Err:   os.Stderr,
		Now:   time.Now,
		Serve: serve,

		CreateAuthority:       hingekeys.CreateAuthority,
		RenewAuthority:        hingekeys.RenewAuthority,
		CreateHostCertificate: hingekeys.CreateHostCertificate,
		RenewHostCertificate:  hingekeys.RenewHostCertificate,
	}))
}
