package bench

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"time"

	"asterwell/internal/sysconfig"
)

// configFigures are what a configuration of the size costs to carry and to read: whole, packed, and as
// what differs from the one before.
func configFigures(o ScaleOptions) (map[string]float64, error) {
	text := scaleText(o, 1)
	figure := map[string]float64{"bytes": float64(len(text))}
	for name, level := range map[string]int{"packed_fast": flate.BestSpeed, "packed": flate.DefaultCompression} {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, level)
		if err != nil {
			return nil, err
		}
		began := time.Now()
		w.Write(text)
		if err := w.Close(); err != nil {
			return nil, err
		}
		figure[name+"_bytes"], figure[name+"_ms"] = float64(b.Len()), ms(time.Since(began))
	}
	began := time.Now()
	one, err := sysconfig.Parse(text)
	if err != nil {
		return nil, err
	}
	figure["parse_ms"] = ms(time.Since(began))
	began = time.Now()
	one.Table()
	figure["table_ms"] = ms(time.Since(began))
	two, err := sysconfig.Parse(scaleText(o, 2))
	if err != nil {
		return nil, err
	}
	began = time.Now()
	change, err := json.Marshal(sysconfig.Diff(one, two))
	if err != nil {
		return nil, err
	}
	figure["change_ms"], figure["change_bytes"] = ms(time.Since(began)), float64(len(change))
	return figure, nil
}

func ms(d time.Duration) float64 { return round3(d.Seconds() * 1e3) }
