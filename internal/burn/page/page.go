// Package page writes a burn report as one self-contained HTML page. Its plots are inline
// SVG, so the page loads nothing from the network.
//
// It is separate from package burn because only the command-line tool draws plots, and
// the daemon should not link the plotting library.
package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"merlintiller/internal/burn"
)

const (
	// maxBars is the largest number of lines in a plot, which keeps the plots readable. The
	// table below the plots has all lines.
	maxBars    = 8
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 7
	labelSize  = 7
)

// Write writes the HTML page for a report.
func Write(w io.Writer, report burn.Report) error {
	burnPlot, err := drawBurn(report)
	if err != nil {
		return err
	}
	latencyPlot, err := drawLatency(report)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, content{Report: report, Burn: burnPlot, Latency: latencyPlot})
}

// content is the data of the page template.
type content struct {
	Report  burn.Report
	Burn    template.HTML
	Latency template.HTML
}

var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x1b, G: 0x9e, B: 0x77, A: 0xff},
	color.RGBA{R: 0x75, G: 0x70, B: 0xb3, A: 0xff},
}

// drawBurn plots the burn rates of the most urgent lines in each window.
func drawBurn(report burn.Report) (template.HTML, error) {
	var lines []burn.Line
	for _, line := range report.Lines {
		if line.Objective > 0 && len(lines) < maxBars {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "Burn rate (at 1 the error budget lasts exactly for its period)"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	for w := range lines[0].Windows {
		values := make(plotter.Values, len(lines))
		for i, line := range lines {
			values[i] = line.Windows[w].Burn
		}
		if err := addBars(p, values, w, len(lines[0].Windows), lines[0].Windows[w].Window); err != nil {
			return "", err
		}
	}
	p.NominalX(labels(lines)...)
	return render(p)
}

// drawLatency plots the latency quantiles of the lines that have them.
func drawLatency(report burn.Report) (template.HTML, error) {
	var lines []burn.Line
	for _, line := range report.Lines {
		if line.Latency != nil && len(lines) < maxBars {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "Latency of the last one to two hours"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	quantiles := []struct {
		name string
		of   func(*burn.Quantiles) float64
	}{
		{"p50", func(q *burn.Quantiles) float64 { return q.P50 }},
		{"p95", func(q *burn.Quantiles) float64 { return q.P95 }},
		{"p99", func(q *burn.Quantiles) float64 { return q.P99 }},
	}
	for i, quantile := range quantiles {
		values := make(plotter.Values, len(lines))
		for j, line := range lines {
			values[j] = quantile.of(line.Latency)
		}
		if err := addBars(p, values, i, len(quantiles), quantile.name); err != nil {
			return "", err
		}
	}
	p.NominalX(labels(lines)...)
	return render(p)
}

func addBars(p *plot.Plot, values plotter.Values, index, count int, name string) error {
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = palette[index%len(palette)]
	bars.LineStyle.Width = 0
	bars.Offset = vg.Points(barWidth * (float64(index) - float64(count-1)/2))
	p.Add(bars)
	p.Legend.Add(name, bars)
	p.Legend.Top = true
	return nil
}

func labels(lines []burn.Line) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = fmt.Sprintf("%s\n%s\n%s", line.Organisation, line.Service, line.Signal)
	}
	return out
}

func render(p *plot.Plot) (template.HTML, error) {
	p.X.Tick.Label.Font.Size = vg.Points(labelSize)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The XML prologue is not allowed inside an HTML page.
	svg := out.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:]
	}
	return template.HTML(svg), nil
}

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"number": func(v float64) string { return fmt.Sprintf("%.4g", v) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>
<style>
body{font:14px sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}
td.t,th.t{text-align:left}.fast_burn{background:#f8c9c4}.slow_burn{background:#fbe8b8}
.missing{background:#f8c9c4;padding:.5em}
</style></head><body>
<h1>Burn report</h1>
<p>As of {{.Report.At.UTC.Format "2006-01-02 15:04:05"}} UTC, from {{len .Report.Merged}} instances.</p>
{{if .Report.Unreached}}<p class="missing">Instances that could not be reached, so their calls are missing:{{range .Report.Unreached}} {{.}}{{end}}</p>{{end}}
{{.Burn}}
{{.Latency}}
<table><tr><th class="t">Organisation</th><th class="t">Service</th><th class="t">Signal</th><th>Limit ms</th><th>Objective</th>
{{range .Report.Lines}}{{if .Windows}}{{range .Windows}}<th>{{.Window}}</th>{{end}}{{break}}{{end}}{{end}}
<th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th class="t">Alarm</th></tr>
{{range .Report.Lines}}<tr class="{{.Alarm}}"><td class="t">{{.Organisation}}</td><td class="t">{{.Service}}</td><td class="t">{{.Signal}}</td>
<td>{{if .Limit}}{{number .Limit}}{{end}}</td><td>{{if .Objective}}{{number .Objective}}{{end}}</td>
{{range .Windows}}<td title="{{.Good}} good, {{.Bad}} bad">{{number .Burn}}</td>{{end}}
{{with .Latency}}<td>{{number .P50}}</td><td>{{number .P95}}</td><td>{{number .P99}}</td>{{else}}<td></td><td></td><td></td>{{end}}
<td class="t">{{.Alarm}}</td></tr>
{{end}}</table>
</body></html>
`))
