package hingeprogram

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Scripts rely on the exit status: invalid arguments, and a run that loses every
// request because no host is reachable, must return 1 with one line on standard error.
func TestFailuresGiveStatusOne(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"no host": {
			args: []string{"run"},
			want: "host",
		},
		"unknown mix": {
			args: []string{"run", "--host", "127.0.0.1:1", "--mix", "oysters"},
			want: "--mix",
		},
		"burst longer than the run": {
			args: []string{"run", "--host", "127.0.0.1:1", "--duration", "1s", "--burst-for", "2s"},
			want: "--burst-for",
		},
		"no load": {
			args: []string{"model", "--load", "0"},
			want: "--load",
		},
		"all lost": {
			args: []string{
				"run", "--host", "127.0.0.1:1", "--duration", "100ms", "--rate", "100", "--attempts", "1",
				"--out", t.TempDir(),
			},
			want: "guarantees were violated",
		},
	} {
		var out, errors bytes.Buffer
		status := Run(context.Background(), append([]string{"swifthinge-load"}, c.args...), &out, &errors, time.Now)
		text := strings.TrimSpace(errors.String())
		if status != 1 || !strings.Contains(text, c.want) || strings.Contains(text, "\n") {
			t.Errorf("%s: status %d, %q", name, status, text)
		}
	}
}

// The report must be the same for the same seeds, so that the policies of two
// versions can be compared.
func TestModelReport(t *testing.T) {
	var reports []string
	for range 2 {
		folder := t.TempDir()
		var out, errors bytes.Buffer
		args := []string{"swifthinge-load", "model", "--load", "1", "--seeds", "1", "--duration", "10s", "--out", folder}
		if status := Run(context.Background(), args, &out, &errors, time.Now); status != 0 {
			t.Fatalf("status %d: %s", status, errors.String())
		}
		var report struct {
			Points json.RawMessage `json:"points"`
		}
		b, err := os.ReadFile(filepath.Join(folder, "report.json"))
		if err == nil {
			err = json.Unmarshal(b, &report)
		}
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, string(report.Points))
		for _, name := range []string{"report.md", "goodput.png", "tokenGoodput.png", "wasted.png"} {
			if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
				t.Error(err)
			}
		}
	}
	if diff := cmp.Diff(reports[0], reports[1]); diff != "" {
		t.Error(diff)
	}
}
