package previewer

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// maximumListed is the maximum number of customers that a row of a table names.
const maximumListed = 6

// Write prints the preview as tables.
func (p *Preview) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	b := &strings.Builder{}
	p.writeHead(b)
	p.writeImportance(b)
	p.writeShares(b)
	if len(p.Operations) > 0 {
		b.WriteString("\nkind\tname\tchange\n")
	}
	for _, o := range p.Operations {
		fmt.Fprintf(b, "%s\t%s\t%s\n", o.Kind, o.Name, o.Change)
	}
	if len(p.Unmatched) > 0 {
		b.WriteByte('\n')
	}
	for _, u := range p.Unmatched {
		fmt.Fprintf(b, "warning: %s %q matches nothing\n", u.Kind, u.Name)
	}
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

func (p *Preview) writeHead(b *strings.Builder) {
	fmt.Fprintf(b, "version %d takes the place of %d\n", p.Version, p.RunningVersion)
	if p.Version <= p.RunningVersion {
		fmt.Fprintf(b, "warning: version %d isn't above %d, hosts keep the running configuration\n", p.Version, p.RunningVersion)
	}
	if p.Ranked != p.RankedBefore {
		fmt.Fprintf(b, "ranked: %s, before: %s\n", yesNo(p.Ranked), yesNo(p.RankedBefore))
	} else {
		fmt.Fprintf(b, "ranked: %s, as before\n", yesNo(p.Ranked))
	}
	if len(p.Importance)+len(p.Shares)+len(p.Operations) == 0 {
		b.WriteString("no change of importance, shares or operators' requests\n")
	}
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func (p *Preview) writeImportance(b *strings.Builder) {
	if len(p.Importance) == 0 {
		return
	}
	b.WriteString("\nroute\tbefore\timportance\tcustomers\n")
	for _, c := range p.Importance {
		fmt.Fprintf(b, "%s\t%s\t%s\t%s\n", c.Route, formatImportance(c.Before), formatImportance(c.After), c.customers())
	}
}

func formatImportance(i *admitter.Importance) string {
	if i == nil {
		return "-"
	}
	return strconv.Itoa(int(*i))
}

// customers lists those that the change applies to.
func (c ImportanceChange) customers() string {
	if c.All {
		return "all"
	}
	var l []string
	for _, n := range c.Customers[:min(len(c.Customers), maximumListed)] {
		if n == "" {
			n = "(none)"
		}
		l = append(l, n)
	}
	s := strings.Join(l, ", ")
	if n := len(c.Customers) - maximumListed; n > 0 {
		s += fmt.Sprintf(" and %d more", n)
	}
	return s
}

func (p *Preview) writeShares(b *strings.Builder) {
	if len(p.Shares) == 0 {
		return
	}
	b.WriteString("\nkind\tname\tbefore\tshare\n")
	for _, c := range p.Shares {
		fmt.Fprintf(b, "%s\t%s\t%s\t%s\n", c.Kind, c.Name, formatShare(c.Before, p.EqualSharesBefore), formatShare(c.After, p.EqualShares))
	}
}

// formatShare formats a share. equal reports that all are equal.
func formatShare(n int, equal bool) string {
	switch {
	case equal:
		return "equal"
	case n == 0:
		return "-"
	}
	return strconv.Itoa(n)
}
