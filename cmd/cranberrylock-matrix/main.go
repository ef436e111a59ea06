// Command cranberrylock-matrix plays a day of the users' bench for each single disturbance and each service of the given sites, and
// prints a table of the results. It must run in the repository. A run that was ended goes on where it stopped, as results are kept in
// the output directory.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"github.com/jessevdk/go-flags"

	"github.com/cranberrylock/cranberrylock/platform/matrix"
)

type options struct {
	Bench string   `long:"bench" required:"true" description:"program of the users' bench"`
	Sites []string `long:"site" required:"true" description:"site file; may be repeated"`
	Only  string   `long:"only" description:"regular expression that a day's name must match"`
	Out   string   `long:"out" default:"matrix" description:"directory of the days and their results"`
	Jobs  int      `long:"jobs" default:"1" description:"days that are played at a time"`
	Seed  uint64   `long:"seed" default:"1" description:"seed of the days"`
	Why   string   `long:"why" default:"matrix of single disturbances" description:"reason, for the bench's journal"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// play is one day of one site.
type play struct {
	site string // path of the site file
	name string
	day  string // content of the day's file
}

func run(o options) error {
	only, err := regexp.Compile(o.Only)
	if err != nil {
		return fmt.Errorf("compile --only: %w", err)
	}
	var plays []play
	for _, site := range o.Sites {
		content, err := os.ReadFile(site)
		if err != nil {
			return err
		}
		services, err := matrix.Services(content)
		if err != nil {
			return fmt.Errorf("%s: %w", site, err)
		}
		plays = append(plays, list(site, services, only, o.Seed)...)
	}
	failures := make([]error, len(plays))
	var wg sync.WaitGroup
	turns := make(chan struct{}, max(o.Jobs, 1))
	for i, p := range plays {
		wg.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			failures[i] = p.run(o)
		})
	}
	wg.Wait()
	printTable(o, plays)
	return errors.Join(failures...)
}

// list returns the days of a site whose names match only.
func list(site string, services []string, only *regexp.Regexp, seed uint64) (plays []play) {
	for _, v := range matrix.Variants() {
		affected := []string{""}
		if v.Service {
			affected = services
		}
		for _, service := range affected {
			name := strings.TrimSuffix(v.Name()+"-"+service, "-")
			if only.MatchString(name) {
				plays = append(plays, play{site: site, name: name, day: v.Day(name, service, seed)})
			}
		}
	}
	return plays
}

// path returns the path of a file of the play.
func (p play) path(o options, extension string) string {
	site := strings.TrimSuffix(filepath.Base(p.site), filepath.Ext(p.site))
	return filepath.Join(o.Out, site, p.name+extension)
}

const resultExtension = ".txt"

// run plays the day unless its result is there.
func (p play) run(o options) error {
	result := p.path(o, resultExtension)
	if output, err := os.ReadFile(result); err == nil {
		if _, ok := matrix.ParseResult(p.name, string(output)); ok {
			return nil
		}
	}
	day := p.path(o, ".toml")
	if err := os.MkdirAll(filepath.Dir(day), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(day, []byte(p.day), 0o644); err != nil {
		return err
	}
	// The bench's exit status is not 0 when a rule is broken, so only the output tells whether the day was played.
	output, runErr := exec.Command(o.Bench, "run", p.site, day, "--jobs", "1", "--why", o.Why).CombinedOutput()
	if err := os.WriteFile(result, output, 0o644); err != nil {
		return err
	}
	if matrix.LeftOut(string(output)) {
		return nil
	}
	if _, ok := matrix.ParseResult(p.name, string(output)); !ok {
		return fmt.Errorf("play %s: no result in %s: %w", p.name, result, runErr)
	}
	return nil
}

// printTable prints the results, broken rules first.
func printTable(o options, plays []play) {
	fmt.Println("| site | day | rules | worth | served | weakest part |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, broken := range []bool{true, false} {
		for _, p := range plays {
			output, err := os.ReadFile(p.path(o, resultExtension))
			if err != nil {
				continue
			}
			r, ok := matrix.ParseResult(p.name, string(output))
			if !ok || (r.Broken != "") != broken {
				continue
			}
			rules := r.Broken
			if !broken {
				rules = "kept"
			}
			fmt.Printf("| %s | %s | %s | %s | %s | %s |\n",
				strings.TrimSuffix(filepath.Base(p.site), filepath.Ext(p.site)), p.name, rules, r.Worth, r.Served, r.Weakest)
		}
	}
}
