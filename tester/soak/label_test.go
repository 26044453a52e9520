package soak

import (
	"slices"
	"testing"

	"celerygap.example/lib/identifier"
	"celerygap.example/standin/inferrer"
)

// labelReport counts the samples by how their labels were compared with the engines' records.
type labelReport struct {
	// exact samples have one run, recorded from the first to the last token, whose versions must be equal; of covered
	// ones only parts or several attempts are recorded, so only the ends of the segments are compared; unmatched ones
	// have no recorded run. mixed counts samples with several segments.
	exact, covered, unmatched, mixed int
}

// checkLabels compares the segments and the text of each sample with the runs that the engines recorded (P1). A sample
// without a recorded run, for example because its engine was killed before it wrote the record, is only counted.
func (t *trainer) checkLabels() labelReport {
	runs := t.c.ledger.completions()
	var report labelReport
	for _, sample := range t.samples {
		bySeed := make(map[int64][]engineRun)
		for _, run := range runs[sample.prompt] {
			bySeed[run.Seed] = append(bySeed[run.Seed], run)
		}
		matched := matching(sample, bySeed)
		if len(sample.Segments) > 1 {
			report.mixed++
		}
		switch {
		case len(matched) == 0:
			report.unmatched++
		case len(matched) == 1 && matched[0].FirstToken == 0 && matched[0].Tokens == sample.Tokens:
			report.exact++
			if versions := segmentVersions(sample); !slices.Equal(versions, matched[0].Versions) {
				t.c.recordViolation("P1: step %d slot %d/%d is labelled with versions %v, but %s produced it with %v", sample.Step, sample.Group, sample.Index,
					versions, matched[0].engine, matched[0].Versions)
			}
		default:
			report.covered++
			t.checkCovered(sample, matched)
		}
	}
	return report
}

// matching returns the runs with the seed that produces the sample's text, or nil.
func matching(sample receivedSample, bySeed map[int64][]engineRun) []engineRun {
	for seed, candidates := range bySeed {
		if inferrer.NewScript(sample.prompt, seed).Text(0, sample.Tokens) == sample.Text {
			return candidates
		}
	}
	return nil
}

func segmentVersions(sample receivedSample) []identifier.WeightVersion {
	var versions []identifier.WeightVersion
	for _, segment := range sample.Segments {
		versions = append(versions, segment.WeightVersion)
	}
	return versions
}

// checkCovered checks that, where runs are recorded for a segment's first and last token, one of them used the
// segment's version.
func (t *trainer) checkCovered(sample receivedSample, runs []engineRun) {
	for i, segment := range sample.Segments {
		last := sample.Tokens - 1
		if i+1 < len(sample.Segments) {
			last = sample.Segments[i+1].FirstToken - 1
		}
		for _, position := range []identifier.Tokens{segment.FirstToken, last} {
			recorded, used := false, false
			for _, run := range runs {
				if run.FirstToken <= position && position < run.FirstToken+run.Tokens {
					recorded = true
					used = used || slices.Contains(run.Versions, segment.WeightVersion)
				}
			}
			if recorded && !used {
				t.c.recordViolation("P1: step %d slot %d/%d labels token %d with version %d, which no recorded run of that token used", sample.Step, sample.Group,
					sample.Index, position, segment.WeightVersion)
			}
		}
	}
}

// checkSeeds guards against samples that share a seed and so have equal texts, which are of no use for training.
func (t *trainer) checkSeeds(tb testing.TB) {
	texts := make(map[string]receivedSample)
	for _, sample := range t.samples {
		if other, ok := texts[sample.Text]; ok {
			tb.Errorf("step %d: slots %d/%d and %d/%d have the same text", sample.Step, sample.Group, sample.Index, other.Group, other.Index)
			return
		}
		texts[sample.Text] = sample
	}
}
