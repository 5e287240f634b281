package bench

import (
	"fmt"
	"math"
	"slices"
)

// Point is one measured figure at one size.
type Point struct {
	X, Y float64
}

// Line is a straight line through points; Residual is the root mean square of the distances in Y.
type Line struct {
	Slope, Intercept, Residual float64
	Points                     int
}

// Fit returns the line with the least squares; it needs points at two sizes at least.
func Fit(points []Point) (Line, error) {
	count := float64(len(points))
	var meanX, meanY float64
	for _, point := range points {
		meanX += point.X / count
		meanY += point.Y / count
	}
	var spread, product float64
	for _, point := range points {
		spread += (point.X - meanX) * (point.X - meanX)
		product += (point.X - meanX) * (point.Y - meanY)
	}
	if spread == 0 {
		return Line{}, fmt.Errorf("found %d points at one size, expected at least two sizes", len(points))
	}
	line := Line{Slope: product / spread, Points: len(points)}
	line.Intercept = meanY - line.Slope*meanX
	var squares float64
	for _, point := range points {
		distance := point.Y - line.At(point.X)
		squares += distance * distance
	}
	line.Residual = math.Sqrt(squares / count)
	return line, nil
}

// At returns the line's value at the size.
func (line Line) At(x float64) float64 { return line.Intercept + line.Slope*x }

// Spread is the range of one figure over daemons or repetitions.
type Spread struct {
	Min, Median, Max float64
}

// SpreadOf returns the spread of the values; zero when there are none.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Min: sorted[0], Median: median, Max: sorted[len(sorted)-1]}
}
