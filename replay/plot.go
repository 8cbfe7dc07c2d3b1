package replay

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.7 * vg.Centimeter
)

// Plot draws a bar chart of the served fraction of each client account under each
// policy, and saves it to file in the format of its extension, such as .svg or .png.
func Plot(results []Measures, title, file string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "attained / requests inside the rate"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, m := range results {
		values := make(plotter.Values, 0, len(m.Accounts))
		for _, a := range m.Accounts {
			values = append(values, a.ServedFraction)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, "replay.Plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(results)-1)/2)
		p.Add(bars)
		p.Legend.Add(m.Policy, bars)
	}
	if len(results) > 0 {
		names := make([]string, 0, len(results[0].Accounts))
		for _, a := range results[0].Accounts {
			names = append(names, a.Account)
		}
		p.NominalX(names...)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "replay.Plot")
}
