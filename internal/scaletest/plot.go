package scaletest

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	panelColumns          = 3
	panelWidth            = 9 * vg.Centimeter
	panelHeight           = 7 * vg.Centimeter
	panelGap              = 3 * vg.Millimeter
	curvePoints           = 64
	limitWidth            = vg.Length(1.5)
	axisMargin            = 1.3 // axes end at the largest value times this, and start at the smallest value divided by it
	maxDrawnTarget        = 1e9
	minDrawnValue         = 1e-9
	dashLength, dashSpace = vg.Length(4), vg.Length(3)
)

var (
	limitColor  = color.RGBA{R: 200, A: 255}
	targetColor = color.Gray{Y: 120}
)

// WriteSVG draws a panel with logarithmic axes for each measure whose values are all above 0. A panel shows the measured
// values, the law up to the target size (at most maxDrawnTarget), and the budget.
func (r *Report) WriteSVG(to io.Writer) error {
	var panels []*plot.Plot
	for _, law := range r.Laws {
		panel, err := r.panel(law)
		if err != nil {
			return fmt.Errorf("plot: %s: %w", law.Name, err)
		}
		if panel != nil {
			panels = append(panels, panel)
		}
	}
	if len(panels) == 0 {
		return fmt.Errorf("plot: no measure has only values above 0")
	}
	rows := (len(panels) + panelColumns - 1) / panelColumns
	grid := make([][]*plot.Plot, rows)
	for i := range grid {
		grid[i] = make([]*plot.Plot, panelColumns)
		copy(grid[i], panels[i*panelColumns:min(len(panels), (i+1)*panelColumns)])
	}
	canvas := vgsvg.New(panelColumns*panelWidth, vg.Length(rows)*panelHeight)
	tiles := draw.Tiles{Rows: rows, Cols: panelColumns, PadX: panelGap, PadY: panelGap, PadTop: panelGap,
		PadBottom: panelGap, PadLeft: panelGap, PadRight: panelGap}
	panelCanvases := plot.Align(grid, tiles, draw.New(canvas))
	for i, row := range grid {
		for j, panel := range row {
			if panel != nil {
				panel.Draw(panelCanvases[i][j])
			}
		}
	}
	_, err := canvas.WriteTo(to)
	return err
}

// panel draws one measure. It returns nil if a value is not above minDrawnValue, because the axes are logarithmic.
func (r *Report) panel(law Extrapolation) (*plot.Plot, error) {
	measured := observationsOf(r.Measurements, law.Measure, law.Source)
	points := make(plotter.XYs, len(measured.values))
	for i, v := range measured.values {
		if v <= minDrawnValue {
			return nil, nil
		}
		points[i] = plotter.XY{X: measured.sizes[i], Y: v}
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (%s)", law.Name, law.Source)
	p.X.Label.Text, p.Y.Label.Text = string(r.Scenario.Dimension), string(law.Unit)
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	scatter.Color, scatter.Shape = plotutil.Color(0), draw.CircleGlyph{}
	p.Add(scatter)
	if err := addLaw(p, law); err != nil {
		return nil, err
	}
	if err := addLimit(p, law); err != nil {
		return nil, err
	}
	p.X.Min, p.X.Max = p.X.Min/axisMargin, p.X.Max*axisMargin
	p.Y.Min, p.Y.Max = p.Y.Min/axisMargin, p.Y.Max*axisMargin
	return p, nil
}

// maxDrawnSize returns the size up to which the law is drawn.
func (e Extrapolation) maxDrawnSize() float64 {
	return min(maxDrawnTarget, max(float64(e.MaxSize), e.Target))
}

// addLaw draws the law, dashed beyond the largest size of the fit. If there is no law, the title says why.
func addLaw(p *plot.Plot, law Extrapolation) error {
	if law.Law == "" {
		p.Title.Text += ": " + string(law.Why)
		return nil
	}
	p.Title.Text += ": " + string(law.Law)
	if err := addCurve(p, law, float64(law.MinSize), float64(law.MaxSize), nil); err != nil {
		return err
	}
	if law.Target <= float64(law.MaxSize) {
		return nil
	}
	return addCurve(p, law, float64(law.MaxSize), law.maxDrawnSize(), []vg.Length{dashLength, dashSpace})
}

// addCurve draws the law between two sizes.
func addCurve(p *plot.Plot, law Extrapolation, from, to float64, dashes []vg.Length) error {
	var curve plotter.XYs
	low, high := math.Log(from), math.Log(to)
	for i := range curvePoints {
		n := math.Exp(low + (high-low)*float64(i)/(curvePoints-1))
		if at := law.At(n); at > minDrawnValue {
			curve = append(curve, plotter.XY{X: n, Y: at})
		}
	}
	line, err := plotter.NewLine(curve)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(1), dashes
	p.Add(line)
	return nil
}

// addLimit draws the budget up to the target size, and a vertical line at that size, if the measure has a budget.
func addLimit(p *plot.Plot, law Extrapolation) error {
	if law.Limit <= 0 {
		return nil
	}
	budgetLine, err := plotter.NewLine(plotter.XYs{{X: float64(law.MinSize), Y: law.Limit}, {X: law.maxDrawnSize(), Y: law.Limit}})
	if err != nil {
		return err
	}
	budgetLine.Color, budgetLine.Width = limitColor, limitWidth
	p.Add(budgetLine)
	p.Legend.Add("budget", budgetLine)
	if law.Target <= 0 {
		return nil
	}
	targetLine, err := plotter.NewLine(plotter.XYs{{X: law.Target, Y: p.Y.Min}, {X: law.Target, Y: p.Y.Max}})
	if err != nil {
		return err
	}
	targetLine.Color, targetLine.Dashes = targetColor, []vg.Length{dashLength, dashSpace}
	p.Add(targetLine)
	p.Legend.Add("target", targetLine)
	return nil
}
