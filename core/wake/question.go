package wake

import (
	"context"
	"time"
)

// Question is a question that is asked again when the process was paused meanwhile: its answer may be from before the pause, and its time
// limit may have passed during it.
type Question struct {
	Context context.Context // ends when a pause is detected
	Cancel  context.CancelFunc

	detector *Detector
	askedAt  time.Time
	woken    <-chan struct{}
}

// Ask begins a question; Cancel must be called at its end.
func (detector *Detector) Ask(ctx context.Context, now time.Time) *Question {
	question := &Question{detector: detector, askedAt: now, woken: detector.Woken()}
	question.Context, question.Cancel = context.WithCancel(ctx)
	go func() {
		select {
		case <-question.woken:
			question.Cancel()
		case <-question.Context.Done():
		}
	}()
	return question
}

// Outdated reports whether a pause was detected since the question was asked.
func (question *Question) Outdated() bool {
	select {
	case <-question.woken:
		return true
	default:
		return false
	}
}

// Check records that the state was compared with its source by the answer.
func (question *Question) Check() { question.detector.Check(question.askedAt) }
