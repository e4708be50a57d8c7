package lang

import "time"

// Duration is a duration with a unit, such as 250ms.
type Duration time.Duration

// Capture implements participle.Capture.
func (d *Duration) Capture(values []string) error {
	v, err := time.ParseDuration(values[0])
	*d = Duration(v)
	return err
}
