package reporter

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Size of one plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 180
)

// plot shows one or more curves over the time of the run. Top is the value at its upper edge.
type plot struct {
	Title  string
	Top    string
	Curves []curve
	Marks  []faultMark
}

// curve is one line of a plot, with its points in the form of an SVG polyline.
type curve struct {
	Name   string
	Colour string
	Points string
}

// faultMark is a vertical line at the time of a fault or its end.
type faultMark struct {
	X    float64
	Name string
}

// page is the data of pageTemplate.
type page struct {
	Result *Result
	Plots  []plot
	JSON   string
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>cuminwick bench: {{.Result.Scenario}} on {{.Result.Deployment}}</title>
<style>body{font:14px sans-serif;margin:2em auto;max-width:940px}svg{background:#f7f7f7;border:1px solid #ccc}
pre{background:#f7f7f7;padding:1em;overflow:auto}h2{margin-bottom:.2em}.legend span{margin-right:1.5em}</style></head><body>
<h1>{{.Result.Scenario}} on {{.Result.Deployment}}</h1>
<p>Policy {{.Result.Policy}}, seed {{.Result.Seed}}, {{.Result.DurationSeconds}} s. Vertical lines are faults and their end.</p>
{{range .Plots}}<h2>{{.Title}}</h2>
<p class="legend">top of the plot: {{.Top}} {{range .Curves}}<span style="color:{{.Colour}}">{{.Name}}</span>{{end}}</p>
<svg width="900" height="180" viewBox="0 0 900 180">
{{range .Marks}}<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="180" stroke="#c00" stroke-dasharray="4"/><text x="{{.X}}" y="12" font-size="11" fill="#c00">{{.Name}}</text>
{{end}}{{range .Curves}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="1.5" points="{{.Points}}"/>
{{end}}</svg>
{{end}}<h2>Figures</h2><pre>{{.JSON}}</pre></body></html>
`))

// WritePage writes one self-contained HTML page with plots of the run over time.
func (r *Result) WritePage(w io.Writer) error {
	var j strings.Builder
	if err := r.WriteJSON(&j); err != nil {
		return err
	}
	p := page{Result: r, JSON: j.String(), Plots: r.plots()}
	return errors.Annotate(pageTemplate.Execute(w, p), "write page")
}

func (r *Result) plots() []plot {
	return []plot{
		r.plot("Requests a second", "%.0f/s",
			curveSpec{"ran", "#070", func(i Interval) float64 { return perSecond(i.Ran) }},
			curveSpec{"refused, cancelled or unknown", "#b60", func(i Interval) float64 { return perSecond(i.Refused) }}),
		r.plot("Acknowledged writes a second (the failover gap shows here)", "%.0f/s",
			curveSpec{"writes", "#00a", func(i Interval) float64 { return perSecond(i.Writes) }}),
		r.plot("Latency of requests that ran", "%.0f ms",
			curveSpec{"p50", "#070", func(i Interval) float64 { return milliseconds(i.P50) }},
			curveSpec{"p99", "#a0a", func(i Interval) float64 { return milliseconds(i.P99) }}),
		r.plot("Who served reads", "%.0f/s",
			curveSpec{"replicas", "#070", func(i Interval) float64 { return perSecond(int(i.ReplicaReads)) }},
			curveSpec{"primaries", "#b60", func(i Interval) float64 { return perSecond(int(i.PrimaryReads)) }}),
	}
}

// curveSpec describes a curve: its name, its colour and its value in an interval.
type curveSpec struct {
	name, colour string
	value        func(Interval) float64
}

func perSecond(n int) float64 {
	return float64(n) / intervalLength.Seconds()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// plot draws curves scaled to their common maximum. unit is the format of that maximum.
func (r *Result) plot(title, unit string, l ...curveSpec) plot {
	top := 1.0
	for _, i := range r.Series {
		for _, c := range l {
			top = max(top, c.value(i))
		}
	}
	p := plot{Title: title, Top: fmt.Sprintf(unit, top)}
	span := max(1, time.Duration(len(r.Series))*intervalLength)
	for _, c := range l {
		var b strings.Builder
		for k, i := range r.Series {
			x := plotWidth * float64(k) / float64(max(1, len(r.Series)-1))
			fmt.Fprintf(&b, "%.1f,%.1f ", x, plotHeight*(1-c.value(i)/top))
		}
		p.Curves = append(p.Curves, curve{Name: c.name, Colour: c.colour, Points: b.String()})
	}
	for _, m := range r.Faults {
		p.Marks = append(p.Marks, faultMark{X: plotWidth * float64(m.At) / float64(span), Name: m.Name})
	}
	return p
}
