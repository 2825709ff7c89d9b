package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// man prints the manual page of the command tree.
func (r *reed) man(_ context.Context, c *cli.Command) error {
	root := c.Root()
	p := &page{out: r.out}
	p.say(".TH REED 1\n.SH NAME\nreed \\- %s", roff(root.Usage))
	p.say(".SH SYNOPSIS\n.B reed\n[options] command [options] [arguments]")
	p.say(".SH DESCRIPTION")
	p.text(root.Description)
	p.say(".SH OPTIONS")
	p.flags(root.Flags)
	p.say(".SH COMMANDS")
	p.commands("reed", root.Commands)
	return p.err
}

// page is a manual page under way.
type page struct {
	out io.Writer
	err error
}

func (p *page) say(form string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, form+"\n", args...)
	}
}

// text sets paragraphs; lines that begin with four blanks stand as they are.
func (p *page) text(text string) {
	code := false
	for _, line := range strings.Split(text, "\n") {
		is := strings.HasPrefix(line, "    ")
		if is != code && line != "" {
			p.say("%s", map[bool]string{true: ".RS 4\n.nf", false: ".fi\n.RE"}[is])
			code = is
		}
		if line == "" && !code {
			line = ".PP"
		} else {
			line = roff(strings.TrimPrefix(line, "    "))
		}
		p.say("%s", line)
	}
	if code {
		p.say(".fi\n.RE")
	}
}

func (p *page) flags(all []cli.Flag) {
	for _, f := range all {
		d, ok := f.(cli.DocGenerationFlag)
		if !ok || f.Names()[0] == "help" {
			continue
		}
		name, usage := "--"+f.Names()[0], d.GetUsage()
		if d.TakesValue() {
			name += " " + strings.ToUpper(d.TypeName())
		}
		if v := d.GetDefaultText(); d.TakesValue() && v != "" {
			usage += " (" + v + " if left out)"
		}
		if env := d.GetEnvVars(); len(env) > 0 {
			usage += "; from " + strings.Join(env, ", ")
		}
		p.say(".TP\n.B %s\n%s", roff(name), roff(usage))
	}
}

func (p *page) commands(above string, all []*cli.Command) {
	for _, c := range all {
		if c.Name == "help" {
			continue
		}
		name := above + " " + c.Name
		p.say(".SS %s\n%s.", roff(strings.TrimSpace(name+" "+c.ArgsUsage)), roff(c.Usage))
		if c.Description != "" {
			p.say(".PP")
			p.text(c.Description)
		}
		p.flags(c.Flags)
		p.commands(name, c.Commands)
	}
}

// roff keeps what the page's language would take for its own.
func roff(s string) string {
	s = strings.NewReplacer(`\`, `\e`, "-", `\-`, "…", "...", "→", "->").Replace(s)
	if strings.HasPrefix(s, ".") || strings.HasPrefix(s, "'") {
		s = `\&` + s
	}
	return s
}
