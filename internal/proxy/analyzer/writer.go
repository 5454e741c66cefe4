package analyzer

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// maximumListed is the maximum number of causes, servers and operations that are printed.
const maximumListed = 12

// Write prints the summary as tables.
func (s *Summary) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%d statements lost from %s, held %s in the median, %s in the 90th percentile\n\n", s.Lost, s.From.Format(time.RFC3339), millis(s.Median), millis(s.Percentile90))
	if s.Unreadable > 0 {
		fmt.Fprintf(b, "%d lines can't be read and aren't counted\n\n", s.Unreadable)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	if err := writeTable(w, s.groupTable(), tabwriter.AlignRight); err != nil {
		return err
	}
	if err := writeTable(w, s.causeTable(), 0); err != nil {
		return err
	}
	held := ""
	if len(s.Held) > 0 {
		held = formatCounts("held", s.Held)
	}
	_, err := io.WriteString(w, formatCounts("server", s.Servers)+formatCounts("operation", s.Operations)+held+s.rankingLines()+s.attemptsLine())
	return err
}

// writeTable prints text whose columns are separated by tabs as an aligned table.
func writeTable(w io.Writer, text string, flags uint) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)
	if _, err := io.WriteString(t, text+"\n"); err != nil {
		return err
	}
	return t.Flush()
}

// groupTable returns a table with a row for each window and a column for each group.
func (s *Summary) groupTable() string {
	b := &strings.Builder{}
	b.WriteString("from\t")
	for _, g := range s.Groups {
		b.WriteString(g.Group + "\t")
	}
	for i := range s.windowCount() {
		fmt.Fprintf(b, "\n%s\t", time.Duration(i)*s.Window)
		for _, g := range s.Groups {
			fmt.Fprintf(b, "%d\t", g.Windows[i])
		}
	}
	b.WriteByte('\n')
	return b.String()
}

func (s *Summary) causeTable() string {
	b := &strings.Builder{}
	b.WriteString("lost\tmedian\t90th\toutcome\tcode\twhy\n")
	for _, c := range s.Causes[:min(len(s.Causes), maximumListed)] {
		fmt.Fprintf(b, "%d\t%s\t%s\t%s\t%s\t%s\n", c.Lost, millis(c.Median), millis(c.Percentile90), c.Outcome, c.Code, c.Reason)
	}
	return b.String()
}

func (s *Summary) attemptsLine() string {
	b := &strings.Builder{}
	b.WriteString("sent")
	for i, n := range s.AttemptCounts {
		fmt.Fprintf(b, "  %d times: %d", i, n)
	}
	b.WriteByte('\n')
	return b.String()
}

func (s *Summary) windowCount() int {
	if len(s.Groups) == 0 {
		return 0
	}
	return len(s.Groups[0].Windows)
}

// rankingLines returns the counts by priority and customer, if there are any.
func (s *Summary) rankingLines() string {
	if len(s.Priorities) == 0 {
		return ""
	}
	return formatCounts("priority", s.Priorities) + formatCounts("customer", s.Customers)
}

func formatCounts(name string, l []LossCount) string {
	b := &strings.Builder{}
	b.WriteString(name + ":")
	for _, c := range l[:min(len(l), maximumListed)] {
		fmt.Fprintf(b, "  %s %d", c.Name, c.Lost)
	}
	b.WriteString("\n\n")
	return b.String()
}

func millis(d time.Duration) string { return strconv.FormatFloat(d.Seconds()*1000, 'f', 1, 64) + " ms" }
