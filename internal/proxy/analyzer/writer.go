package analyzer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// listed is how many causes and servers are printed.
const listed = 12

// Write prints the summary as tables.
func (s *Summary) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%d statements lost from %s, held %s in the median, %s in the 90th percentile\n\n", s.Lost, s.From.Format(time.RFC3339), short(s.Median), short(s.Ninetieth))
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	s.writeGroups(t)
	_ = t.Flush()
	b.WriteByte('\n')
	t = tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "lost\tmedian\t90th\toutcome\tcode\twhy\n")
	for _, c := range s.Causes[:min(len(s.Causes), listed)] {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\n", c.Lost, short(c.Median), short(c.Ninetieth), c.Outcome, c.Code, c.Why)
	}
	_ = t.Flush()
	writeCounts(b, "server", s.Servers)
	writeCounts(b, "operation", s.Operations)
	b.WriteString("\nsent")
	for i, n := range s.Tries {
		fmt.Fprintf(b, "  %d times: %d", i, n)
	}
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}

// writeGroups prints a row for each window and a column for each group.
func (s *Summary) writeGroups(w io.Writer) {
	fmt.Fprint(w, "from\t")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t", g.Group)
	}
	fmt.Fprintln(w)
	for i := range s.windows() {
		fmt.Fprintf(w, "%s\t", time.Duration(i)*s.Window)
		for _, g := range s.Groups {
			fmt.Fprintf(w, "%d\t", g.Windows[i])
		}
		fmt.Fprintln(w)
	}
}

func (s *Summary) windows() int {
	if len(s.Groups) == 0 {
		return 0
	}
	return len(s.Groups[0].Windows)
}

func writeCounts(b *strings.Builder, name string, l []Count) {
	fmt.Fprintf(b, "\n%s:", name)
	for _, c := range l[:min(len(l), listed)] {
		fmt.Fprintf(b, "  %s %d", c.Name, c.Lost)
	}
	b.WriteByte('\n')
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
